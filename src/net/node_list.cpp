#include "net/node_list.h"

#include <charconv>
#include <cstring>
#include <optional>
#include <set>

#include "net/address.h"
#include "settings_json/fields.h"

namespace martencove {

using namespace limedrum::fields;

// FNV-1a, folded to 32 bits.
NodeId nodeIdFromName(const std::string& name) {
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return static_cast<std::uint32_t>(hash ^ (hash >> 32));
}

namespace {

NodeEntry decodeEntry(const Json& entry) {
    NodeEntry node;
    node.name = getString(requireField(entry, "host"), "host");
    node.id = nodeIdFromName(node.name);
    node.shard = getInt(requireField(entry, "block"), "block");
    node.state = parseEnum<NodeState>(
        getString(requireField(entry, "health"), "health"), "health",
        {{"ready", NodeState::ready}, {"draining", NodeState::draining}, {"gone", NodeState::gone}});
    node.address = getString(entry, "dial", "");
    if (node.state != NodeState::gone && !parseAddress(node.address))
        throwFieldError("dial", "not an address");
    node.bootTimeMs = getNumber(entry, "born_ms", 0.0);
    return node;
}

/// Returns the node of an otherwise invalid entry if it can be read that the node is leaving.
std::optional<NodeEntry> decodeLeavingNode(const Json& entry) {
    if (!entry.is_object()) return std::nullopt;
    const auto text = [&](const char* name) {
        const Json* value = findField(entry, name);
        return value != nullptr && value->is_string() ? value->get<std::string>() : std::string();
    };
    const auto number = [&](const char* name, double fallback) {
        const Json* value = findField(entry, name);
        return value != nullptr && value->is_number() ? value->get<double>() : fallback;
    };
    const std::string health = text("health");
    if (text("host").empty() || (health != "draining" && health != "gone")) return std::nullopt;
    NodeEntry node;
    node.name = text("host");
    node.id = nodeIdFromName(node.name);
    const double shard = number("block", -1);  // -1: absent
    node.shard = shard >= 0 && shard <= INT32_MAX ? static_cast<int>(shard) : -1;
    // Without a valid address nothing can be sent to a draining node, so it counts as gone.
    node.state = health == "gone" || !parseAddress(text("dial")) ? NodeState::gone : NodeState::draining;
    node.address = text("dial");
    node.bootTimeMs = number("born_ms", 0);
    return node;
}

Json parseObject(const std::string& content) {
    Json json = Json::parse(content, nullptr, false);
    if (!json.is_object()) throwFieldError("list", "not a JSON object");
    return json;
}

}  // namespace

NodeEntry decodeNodeEntry(const std::string& content) { return decodeEntry(parseObject(content)); }

NodeList decodeNodeList(const Json& json) {
    NodeList out;
    out.version = getInt64(requireField(json, "seq"), "seq");
    out.isSnapshot = getBool(requireField(json, "whole"), "whole");
    std::set<NodeId> seen;
    for (const Json& entry : getArray(requireField(json, "hosts"), "hosts")) {
        out.nodes.push_back(decodeEntry(entry));
        if (!seen.insert(out.nodes.back().id).second) throwFieldError("host", "named twice");
    }
    return out;
}

DecodedNodeList decodeNodeListLenient(const std::string& text) {
    DecodedNodeList out;
    out.list.version = -1;
    const auto setFirstError = [&](const std::string& error) {
        if (out.firstError.empty()) out.firstError = error;
    };
    const auto addEntry = [&](const Json& entry) {
        try {
            out.list.nodes.push_back(decodeEntry(entry));
        } catch (const FieldError& error) {
            ++out.invalidEntryCount;
            setFirstError(error.what());
            if (const auto leaving = decodeLeavingNode(entry))
                out.list.nodes.push_back(*leaving);
            else if (const Json* name = entry.is_object() ? findField(entry, "host") : nullptr;
                     name && name->is_string())
                out.unreadableIds.push_back(nodeIdFromName(name->get<std::string>()));
        }
    };
    // Decodes each entry when its object ends, so that the complete entries of a truncated text are known.
    // An entry ends at depth 2.
    const auto onParseEvent = [&](int depth, Json::parse_event_t event, Json& value) {
        if (event != Json::parse_event_t::object_end || depth != 2) return true;
        addEntry(value);
        return false;  // removed from the parsed JSON
    };
    // Reads a number of a truncated text.
    const auto readTruncatedNumber = [&](const char* name) -> std::optional<std::int64_t> {
        const std::size_t namePos = text.find(name);
        if (namePos == text.npos) return std::nullopt;
        const std::size_t valuePos = text.find_first_not_of(": \t\r\n", namePos + std::strlen(name));
        if (valuePos == text.npos) return std::nullopt;
        std::int64_t value = 0;
        const auto [end, error] = std::from_chars(text.data() + valuePos, text.data() + text.size(), value);
        // A number at the very end of the text may be truncated.
        if (error != std::errc() || end == text.data() + text.size()) return std::nullopt;
        return value;
    };
    const Json json = Json::parse(text, onParseEvent, false);
    try {
        if (!json.is_object()) throwFieldError("list", "not a JSON object");
        out.list.version = getInt64(requireField(json, "seq"), "seq");
        out.list.isSnapshot = getBool(requireField(json, "whole"), "whole");
        // The parser has removed the objects.
        const Json& remaining = getArray(requireField(json, "hosts"), "hosts");
        out.invalidEntryCount += remaining.size();
        if (!remaining.empty()) setFirstError("hosts: an entry is not an object");
    } catch (const FieldError& error) {
        setFirstError(error.what());
        out.isMalformed = true;
        out.list.isSnapshot = false;
        if (out.list.version < 0) out.list.version = readTruncatedNumber("\"seq\"").value_or(-1);
        std::erase_if(out.list.nodes, [](const NodeEntry& n) { return n.state == NodeState::ready; });
    }
    return out;
}

}  // namespace martencove
