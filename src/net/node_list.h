// Discovery's list of storage nodes, from its JSON text.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "core/values.h"

namespace martencove {

/// The same number for a node on every scheduler: peers speak of nodes by it.
[[nodiscard]] NodeId nodeIdFromName(const std::string& name);

/// One entry of a list.
[[nodiscard]] NodeEntry decodeNodeEntry(const std::string& text);

/// Throws limedrum::fields::FieldError, naming the field: a bad list is of no use in part.
[[nodiscard]] NodeList decodeNodeList(const nlohmann::json& json);

/// What can be read of a list that may be spoilt or cut off.
struct DecodedNodeList {
    NodeList list;                      ///< the entries that can be read; of version -1: none is told
    std::vector<NodeId> unreadableIds;  ///< nodes that are named, but whose entries make no sense
    std::size_t invalidEntryCount = 0;  ///< entries that make no sense
    bool isMalformed = false;           ///< it is no whole list: of its entries only leaving nodes are kept
    std::string firstError;             ///< the first that was found wrong
};
/// Never throws: of a node that leaves, its name and that word are enough.
[[nodiscard]] DecodedNodeList decodeNodeListLenient(const std::string& text);

}  // namespace martencove
