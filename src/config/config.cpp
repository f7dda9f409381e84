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
    if (!parsed) throwFieldError(name, "not an address: '" + text + "'");
    return *parsed;
}
enum class First { variables, file };

/// Of a variable and the file's value the one that goes first, else the other.
std::string told(const Json& json, First first, const char* var, const char* field) {
    const std::string value = variable(var);
    const bool inFile = findField(json, field) != nullptr;
    return value.empty() || (first == First::file && inFile) ? getString(requireField(json, field), field)
                                                             : value;
}

std::uint64_t seedOf(const std::string& hex) {
    std::size_t used = 0;
    std::uint64_t value = 0;
    try {
        value = std::stoull(hex, &used, 16);
    } catch (const std::exception&) {
        used = 0;
    }
    if (used == 0 || used != hex.size()) throwFieldError("seed", "not a hex number");
    return value;
}

std::size_t count(const Json& json, const char* name, std::size_t otherwise, int least) {
    const int value = getInt(json, name, static_cast<int>(otherwise));
    if (value < least) throwFieldError(name, "below " + std::to_string(least));
    return static_cast<std::size_t>(value);
}

Config decode(const Json& json, First first) {
    Config out;
    out.name = told(json, first, "NODE_NAME", "name");
    out.listen = address(told(json, first, "NODE_LISTEN", "listen"), "listen");
    if (!variable("NODE_DISCOVERY").empty() || findField(json, "discovery") != nullptr)
        out.discovery = address(told(json, first, "NODE_DISCOVERY", "discovery"), "discovery");
    if (!variable("NODE_OPS").empty() || findField(json, "ops") != nullptr)
        out.ops = address(told(json, first, "NODE_OPS", "ops"), "ops");
    out.seed = seedOf(getString(requireField(json, "seed"), "seed"));
    if (const Json* listen = findField(json, "peer_listen")) {
        out.peerListen = address(getString(*listen, "peer_listen"), "peer_listen");
        for (const Json& peer : getArray(requireField(json, "peers"), "peers"))
            out.peers.push_back(address(getString(peer, "peers"), "peers"));
    }
    out.settings = limedrum::decodeSettings(requireField(json, "settings"));
    try {
        if (const Json* known = findField(json, "known")) out.knownNodes = decodeNodeList(*known);
    } catch (const FieldError& error) {
        throwFieldError("known", error.what());
    }

    Limits& limits = out.limits;
    limits.maxDescriptors = count(getObject(json, "limits"), "sockets", limits.maxDescriptors, 64);
    limits.reservedDescriptors = std::min(limits.reservedDescriptors, limits.maxDescriptors / 4);
    // A quarter of the memory for answers on their way, and an eighth of that for one of them.
    const std::size_t megabytes = count(getObject(json, "limits"), "memory_mb", 32, 16);
    limits.maxAnswerMemoryBytes = megabytes * 1024 * 1024 / 4;
    limits.maxBufferedAnswerBytes = limits.maxAnswerMemoryBytes / 8;
    // A list is decoded entry by entry: its text is what it costs.
    limits.maxListBodyBytes = std::max(limits.maxListBodyBytes, megabytes * 1024 * 1024 / 8);
    // Clients hold more connections than nodes, which take several requests on each. No more than a scored
    // day allows at most.
    const std::size_t both = std::min<std::size_t>(limits.maxDescriptors, 1024) - limits.reservedDescriptors;
    limits.maxNodeConnections = both * 2 / 5;
    limits.maxClientConnections = both - limits.maxNodeConnections;
    limits.maxKeepAliveConnections = limits.maxClientConnections / 2;
    limits.maxLingeringConnections =
        std::min(limits.maxLingeringConnections, limits.maxClientConnections / 4);
    // All clients together may have as much before them as answers that are held.
    limits.maxStreamBufferBytes = std::clamp<std::size_t>(
        limits.maxAnswerMemoryBytes / limits.maxClientConnections, 16 * 1024, limits.maxStreamBufferBytes);
    // And half as much of what they send before its turn, each up to one largest request.
    limits.maxReadAheadBytes =
        std::clamp<std::size_t>(limits.maxAnswerMemoryBytes / 2 / limits.maxClientConnections,
                                limits.maxHeaderBytes, limits.maxHeaderBytes + limits.maxRequestBodyBytes);
    limits.maxOpenRequests =
        std::min(limits.maxOpenRequests, static_cast<std::size_t>(std::max(1, out.settings.maxOpenRequests)));
    limits.overloadRetryAfterMs = out.settings.scheduler.maxRetryAfterMs;
    if (!(out.settings.connectTimeoutMs > 0)) throwFieldError("DialTimeoutMs", "not above 0");
    if (!(out.settings.nodeIdleTimeoutMs >= 0)) throwFieldError("ConnIdleMs", "below 0");
    limits.connectTimeoutMs = out.settings.connectTimeoutMs;
    limits.secondConnectDelayMs = limits.connectTimeoutMs / 4;
    limits.nodeIdleTimeoutMs = out.settings.nodeIdleTimeoutMs;
    const limedrum::Settings& module = out.settings.scheduler;
    const auto rests = [&](bool onRequest, double mustAskInMs) {
        return makeRetryDelays(onRequest, module.hosts, mustAskInMs, limits.minDiscoveryRetryMs,
                               limits.discoveryCallSpacingMs);
    };
    limits.discoveryRetry = rests(module.nodeListOnRequest, module.rules.mustAskInMs);
    limits.etcdRetry = rests(true, 0);
    limits.listPushed = !module.nodeListOnRequest;
    if (const double graceMs = module.rules.drainGraceMs; limits.listPushed && graceMs > 0) {
        limits.drainGrace = divideDrainGrace(graceMs, limits.minAgentAnswerTimeoutMs);
        limits.longPollMs = std::min(limits.longPollMs, limits.drainGrace.longPollMs);
        limits.longPollSlackMs = std::min(limits.longPollSlackMs, limits.drainGrace.answerTimeoutMs);
        // Drawn from half to one and a half times their mean, and the same after each failure.
        limits.discoveryRetry.minMs = limits.discoveryRetry.maxMs =
            std::min(limits.discoveryRetry.minMs, limits.drainGrace.maxRetryDelayMs / 1.5);
        limits.firstListTimeoutMs = std::min(limits.firstListTimeoutMs, graceMs * 2 / 5);
    } else if (!limits.listPushed) {
        limits.onRequestList =
            divideOnRequestListTime(limits.listPropagationMs, graceMs, limits.longPollSlackMs);
        limits.longPollMs = std::min(limits.longPollMs, limits.onRequestList.longPollMs);
        // Drawn up to one and a half times their mean.
        limits.discoveryRetry.initialMs =
            std::min(limits.discoveryRetry.initialMs, limits.onRequestList.maxRetryDelayMs);
        limits.discoveryRetry.maxMs =
            std::min(limits.discoveryRetry.maxMs, limits.onRequestList.maxRetryDelayMs / 1.5);
        limits.discoveryRetry.minMs = std::min(limits.discoveryRetry.minMs, limits.discoveryRetry.maxMs);
    }
    for (const auto& c : out.settings.scheduler.classes)
        limits.longestDeadlineMs = std::max(limits.longestDeadlineMs, c.deadlineMs);
    for (const char* field : {"name", "listen", "limits", "peer_listen", "ops"}) {
        if (const Json* value = findField(json, field)) out.startOnlyFields[field] = value->dump();
    }
    out.sourceJson = json;
    out.sourceJson.erase("known");
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
    if (!file) throwFieldError(name, "cannot read '" + path + "'");
    std::ostringstream content;
    content << file.rdbuf();
    Json json = Json::parse(content.str(), nullptr, false);
    if (!json.is_object()) throwFieldError(name, "not a JSON object");
    return json;
}

Config readConfig() { return read(First::variables); }
Config reloadConfig() { return read(First::file); }

}  // namespace martencove
