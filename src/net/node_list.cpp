#include "net/node_list.h"

#include <set>

#include "net/address.h"
#include "settings_json/fields.h"

namespace martencove {

using namespace limedrum::fields;

// FNV-1a, folded to 32 bits.
NodeId nodeIdOf(const std::string& name) {
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return static_cast<NodeId>(hash ^ (hash >> 32));
}

NodeList decodeNodeList(const Json& json) {
    NodeList out;
    out.version = whole(need(json, "seq"), "seq");
    out.whole = truth(need(json, "whole"), "whole");
    std::set<NodeId> seen;
    for (const Json& entry : list(need(json, "hosts"), "hosts")) {
        NodeEntry node;
        node.name = text(need(entry, "host"), "host");
        node.id = nodeIdOf(node.name);
        node.shard = small(need(entry, "block"), "block");
        node.state = word<NodeState>(
            text(need(entry, "health"), "health"), "health",
            {{"ready", NodeState::ready}, {"draining", NodeState::draining}, {"gone", NodeState::gone}});
        node.dial = text(entry, "dial", "");
        if (node.state != NodeState::gone && !parseAddress(node.dial)) complain("dial", "not an address");
        node.bornMs = number(entry, "born_ms", 0.0);
        if (!seen.insert(node.id).second) complain("host", "named twice");
        out.nodes.push_back(std::move(node));
    }
    return out;
}

NodeList decodeNodeList(const std::string& text) {
    const Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded()) complain("list", "not JSON");
    return decodeNodeList(json);
}

}  // namespace martencove
