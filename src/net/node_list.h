// Discovery's list of storage nodes, from its JSON text.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "core/values.h"

namespace martencove {

/// The same number for a node on every scheduler: peers speak of nodes by it.
[[nodiscard]] NodeId nodeIdOf(const std::string& name);

/// One entry of a list.
[[nodiscard]] NodeEntry decodeNodeEntry(const std::string& text);

/// Throws limedrum::fields::FieldError, naming the field: a bad list is of no use in part.
[[nodiscard]] NodeList decodeNodeList(const nlohmann::json& json);
[[nodiscard]] NodeList decodeNodeList(const std::string& text);

}  // namespace martencove
