// Decodes the discovery service's JSON lists of storage nodes.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "core/values.h"

namespace martencove {

/// Returns a hash of the name. It is the same on every scheduler, since peers refer to nodes by it.
[[nodiscard]] NodeId nodeIdFromName(const std::string& name);

/// Decodes one entry of a list. Throws limedrum::fields::FieldError if it is invalid.
[[nodiscard]] NodeEntry decodeNodeEntry(const std::string& text);

/// Decodes a whole list. Throws limedrum::fields::FieldError, naming the field, if any part is invalid.
[[nodiscard]] NodeList decodeNodeList(const nlohmann::json& json);

/// The readable part of a list that may be invalid or truncated.
struct DecodedNodeList {
    NodeList list;                      ///< the valid entries; version -1 if absent
    std::vector<NodeId> unreadableIds;  ///< named nodes with invalid entries
    std::size_t invalidEntryCount = 0;  ///< number of invalid entries
    bool isMalformed = false;           ///< not a complete list: only leaving nodes are kept
    std::string firstError;             ///< description of the first error
};
/// Decodes as much of a list as possible and never throws. A leaving node needs only its name and its health.
[[nodiscard]] DecodedNodeList decodeNodeListLenient(const std::string& text);

}  // namespace martencove
