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
    return static_cast<std::uint32_t>(hash ^ (hash >> 32));
}

namespace {

NodeEntry nodeEntry(const Json& entry) {
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
    return node;
}

Json parsed(const std::string& content) {
    Json json = Json::parse(content, nullptr, false);
    if (!json.is_object()) complain("list", "not a JSON object");
    return json;
}

}  // namespace

NodeEntry decodeNodeEntry(const std::string& content) { return nodeEntry(parsed(content)); }

NodeList decodeNodeList(const Json& json) {
    NodeList out;
    out.version = whole(need(json, "seq"), "seq");
    out.whole = truth(need(json, "whole"), "whole");
    std::set<NodeId> seen;
    for (const Json& entry : list(need(json, "hosts"), "hosts")) {
        out.nodes.push_back(nodeEntry(entry));
        if (!seen.insert(out.nodes.back().id).second) complain("host", "named twice");
    }
    return out;
}

NodeList decodeNodeList(const std::string& content) { return decodeNodeList(parsed(content)); }

}  // namespace martencove
