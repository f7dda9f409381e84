#include "config/config.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "net/node_list.h"
#include "settings_json/fields.h"

namespace martencove {
namespace {

using namespace limedrum::fields;

std::string variable(const char* name) {
    const char* value = std::getenv(name);
    return value == nullptr ? "" : value;
}

Address address(const std::string& text, const char* name) {
    const auto parsed = parseAddress(text);
    if (!parsed) complain(name, "not an address: '" + text + "'");
    return *parsed;
}
enum class First { variables, file };

/// Of a variable and the file's value the one that goes first, else the other.
std::string told(const Json& json, First first, const char* var, const char* field) {
    const std::string value = variable(var);
    const bool inFile = find(json, field) != nullptr;
    return value.empty() || (first == First::file && inFile) ? text(need(json, field), field) : value;
}

std::uint64_t seedOf(const std::string& hex) {
    std::size_t used = 0;
    std::uint64_t value = 0;
    try {
        value = std::stoull(hex, &used, 16);
    } catch (const std::exception&) {
        used = 0;
    }
    if (used == 0 || used != hex.size()) complain("seed", "not a hex number");
    return value;
}

std::size_t count(const Json& json, const char* name, std::size_t otherwise, int least) {
    const int value = small(json, name, static_cast<int>(otherwise));
    if (value < least) complain(name, "below " + std::to_string(least));
    return static_cast<std::size_t>(value);
}

Config decode(const Json& json, First first) {
    Config out;
    out.name = told(json, first, "NODE_NAME", "name");
    out.listen = address(told(json, first, "NODE_LISTEN", "listen"), "listen");
    if (!variable("NODE_DISCOVERY").empty() || find(json, "discovery") != nullptr)
        out.discovery = address(told(json, first, "NODE_DISCOVERY", "discovery"), "discovery");
    if (!variable("NODE_OPS").empty() || find(json, "ops") != nullptr)
        out.ops = address(told(json, first, "NODE_OPS", "ops"), "ops");
    out.seed = seedOf(text(need(json, "seed"), "seed"));
    if (const Json* listen = find(json, "peer_listen")) {
        out.peerListen = address(text(*listen, "peer_listen"), "peer_listen");
        for (const Json& peer : list(need(json, "peers"), "peers"))
            out.peers.push_back(address(text(peer, "peers"), "peers"));
    }
    out.site = limedrum::decodeSettings(need(json, "settings"));
    try {
        if (const Json* known = find(json, "known")) out.known = decodeNodeList(*known);
    } catch (const FieldError& error) {
        complain("known", error.what());
    }

    Limits& limits = out.limits;
    limits.descriptors = count(part(json, "limits"), "sockets", limits.descriptors, 64);
    limits.spareDescriptors = std::min(limits.spareDescriptors, limits.descriptors / 4);
    // A quarter of the memory for answers on their way, and an eighth of that for one of them.
    const std::size_t megabytes = count(part(json, "limits"), "memory_mb", 32, 16);
    limits.answersHeld = megabytes * 1024 * 1024 / 4;
    limits.answerBody = limits.answersHeld / 8;
    // A list is decoded entry by entry: its text is what it costs.
    limits.listBody = std::max(limits.listBody, megabytes * 1024 * 1024 / 8);
    // Clients hold more connections than nodes, which take several requests on each. No more than a scored
    // day allows at most.
    const std::size_t both = std::min<std::size_t>(limits.descriptors, 1024) - limits.spareDescriptors;
    limits.nodeConnections = both * 2 / 5;
    limits.clientConnections = both - limits.nodeConnections;
    limits.keptConnections = limits.clientConnections / 2;
    limits.lingering = std::min(limits.lingering, limits.clientConnections / 4);
    // All clients together may have as much before them as answers that are held.
    limits.passAhead =
        std::clamp<std::size_t>(limits.answersHeld / limits.clientConnections, 16 * 1024, limits.passAhead);
    // And half as much of what they send before its turn, each up to one largest request.
    limits.earlyBytes = std::clamp<std::size_t>(limits.answersHeld / 2 / limits.clientConnections,
                                                limits.headers, limits.headers + limits.body);
    limits.openRequests =
        std::min(limits.openRequests, static_cast<std::size_t>(std::max(1, out.site.openRequests)));
    limits.notTakenBackMs = out.site.module.maxRetryAfterMs;
    if (!(out.site.dialMs > 0)) complain("DialTimeoutMs", "not above 0");
    if (!(out.site.nodeIdleMs >= 0)) complain("ConnIdleMs", "below 0");
    limits.dialMs = out.site.dialMs;
    limits.dialAgainMs = limits.dialMs / 4;
    limits.nodeIdleMs = out.site.nodeIdleMs;
    const limedrum::Settings& module = out.site.module;
    const auto rests = [&](bool onRequest, double mustAskInMs) {
        return callRests(onRequest, module.hosts, mustAskInMs, limits.watchAgainMs, limits.watchEachMs);
    };
    limits.list = rests(module.listOnRequest, module.rules.mustAskInMs);
    limits.etcd = rests(true, 0);
    limits.listPushed = !module.listOnRequest;
    if (const double graceMs = module.rules.drainGraceMs; limits.listPushed && graceMs > 0) {
        limits.grace = divideGrace(graceMs, limits.agentLateMs);
        limits.watchWaitMs = std::min(limits.watchWaitMs, limits.grace.holdMs);
        limits.watchGraceMs = std::min(limits.watchGraceMs, limits.grace.silentMs);
        // Drawn from half to one and a half times their mean, and the same after each failure.
        limits.list.leastMs = limits.list.mostMs = std::min(limits.list.leastMs, limits.grace.restMs / 1.5);
        limits.firstListMs = std::min(limits.firstListMs, graceMs * 2 / 5);
    } else if (!limits.listPushed) {
        limits.asked = divideAsked(limits.toldAfterMs, graceMs, limits.watchGraceMs);
        limits.watchWaitMs = std::min(limits.watchWaitMs, limits.asked.holdMs);
        // Drawn up to one and a half times their mean.
        limits.list.firstMs = std::min(limits.list.firstMs, limits.asked.restMs);
        limits.list.mostMs = std::min(limits.list.mostMs, limits.asked.restMs / 1.5);
        limits.list.leastMs = std::min(limits.list.leastMs, limits.list.mostMs);
    }
    for (const auto& c : out.site.module.classes)
        limits.longestDeadlineMs = std::max(limits.longestDeadlineMs, c.deadlineMs);
    for (const char* field : {"name", "listen", "limits", "peer_listen", "ops"}) {
        if (const Json* value = find(json, field)) out.fixed[field] = value->dump();
    }
    out.source = json;
    out.source.erase("known");
    return out;
}

Config read(First first) {
    const std::string path = variable("NODE_CONFIG");
    if (path.empty()) throw ConfigError("NODE_CONFIG: not set");
    try {
        return decode(readJsonFile(path, "NODE_CONFIG"), first);
    } catch (const FieldError& error) {
        throw ConfigError(error.what());
    }
}

}  // namespace

Json readJsonFile(const std::string& path, const char* name) {
    std::ifstream file(path);
    if (!file) complain(name, "cannot read '" + path + "'");
    std::ostringstream content;
    content << file.rdbuf();
    Json json = Json::parse(content.str(), nullptr, false);
    if (!json.is_object()) complain(name, "not a JSON object");
    return json;
}

Config readConfig() { return read(First::variables); }
Config readConfigAgain() { return read(First::file); }

}  // namespace martencove
