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
/// Which source wins if a value is set in both.
enum class Precedence { variables, file };

/// Returns the value of an environment variable or of the file's field, whichever takes precedence and is
/// set.
std::string stringSetting(const Json& json, Precedence precedence, const char* variableName,
                          const char* field) {
    const std::string value = variable(variableName);
    const bool inFile = findField(json, field) != nullptr;
    return value.empty() || (precedence == Precedence::file && inFile)
               ? getString(requireField(json, field), field)
               : value;
}

std::uint64_t parseSeed(const std::string& hex) {
    std::size_t parsedChars = 0;
    std::uint64_t value = 0;
    try {
        value = std::stoull(hex, &parsedChars, 16);
    } catch (const std::exception&) {
        parsedChars = 0;
    }
    if (parsedChars == 0 || parsedChars != hex.size()) throwFieldError("seed", "not a hex number");
    return value;
}

std::size_t getCount(const Json& json, const char* name, std::size_t defaultValue, int minValue) {
    const int value = getInt(json, name, static_cast<int>(defaultValue));
    if (value < minValue) throwFieldError(name, "below " + std::to_string(minValue));
    return static_cast<std::size_t>(value);
}

Config decode(const Json& json, Precedence precedence) {
    Config out;
    out.name = stringSetting(json, precedence, "NODE_NAME", "name");
    out.listen = address(stringSetting(json, precedence, "NODE_LISTEN", "listen"), "listen");
    if (!variable("NODE_DISCOVERY").empty() || findField(json, "discovery") != nullptr)
        out.discovery = address(stringSetting(json, precedence, "NODE_DISCOVERY", "discovery"), "discovery");
    if (!variable("NODE_OPS").empty() || findField(json, "ops") != nullptr)
        out.ops = address(stringSetting(json, precedence, "NODE_OPS", "ops"), "ops");
    out.seed = parseSeed(getString(requireField(json, "seed"), "seed"));
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
    limits.maxDescriptors = getCount(getObject(json, "limits"), "sockets", limits.maxDescriptors, 64);
    limits.reservedDescriptors = std::min(limits.reservedDescriptors, limits.maxDescriptors / 4);
    // A quarter of the memory is for buffered answers, and an eighth of that for each of them.
    const std::size_t megabytes = getCount(getObject(json, "limits"), "memory_mb", 32, 16);
    limits.maxAnswerMemoryBytes = megabytes * 1024 * 1024 / 4;
    limits.maxBufferedAnswerBytes = limits.maxAnswerMemoryBytes / 8;
    // A list is decoded entry by entry, so its memory use is that of its text.
    limits.maxListBodyBytes = std::max(limits.maxListBodyBytes, megabytes * 1024 * 1024 / 8);
    // Clients get more connections than nodes, which take several requests on each. The platform allows at
    // most 1024 descriptors.
    const std::size_t maxConnections =
        std::min<std::size_t>(limits.maxDescriptors, 1024) - limits.reservedDescriptors;
    limits.maxNodeConnections = maxConnections * 2 / 5;
    // A third of what the program leaves is for requests. Of that, two thirds at most are for the
    // connections.
    const std::size_t requestBytes = (megabytes * 1024 * 1024 - limits.programBytes) / 3;
    limits.maxClientConnections = std::min(maxConnections - limits.maxNodeConnections,
                                           requestBytes * 2 / 3 / limits.clientConnectionBytes);
    limits.maxRequestMemoryBytes = requestBytes - limits.maxClientConnections * limits.clientConnectionBytes;
    // What an NBD client has sent of a command is counted, but has no limit on the sum of all clients.
    limits.maxNbdClients = std::clamp<std::size_t>(limits.maxRequestMemoryBytes / limits.maxNbdInputBytes(),
                                                   1, limits.maxNbdClients);
    limits.maxKeepAliveConnections = limits.maxClientConnections / 2;
    limits.maxLingeringConnections =
        std::min(limits.maxLingeringConnections, limits.maxClientConnections / 4);
    // The output buffers of all clients together may take as much memory as the buffered answers.
    limits.maxStreamBufferBytes = std::clamp<std::size_t>(
        limits.maxAnswerMemoryBytes / limits.maxClientConnections, 16 * 1024, limits.maxStreamBufferBytes);
    // Input that is read ahead may take half as much, up to one request of the largest size per client.
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
    const limedrum::Settings& schedulerSettings = out.settings.scheduler;
    const auto retryDelays = [&](bool onRequest, double mustAskInMs) {
        return makeRetryDelays(onRequest, schedulerSettings.hosts, mustAskInMs, limits.minDiscoveryRetryMs,
                               limits.discoveryCallSpacingMs);
    };
    limits.discoveryRetry =
        retryDelays(schedulerSettings.nodeListOnRequest, schedulerSettings.rules.mustAskInMs);
    limits.etcdRetry = retryDelays(true, 0);
    limits.listPushed = !schedulerSettings.nodeListOnRequest;
    if (const double graceMs = schedulerSettings.rules.drainGraceMs; limits.listPushed && graceMs > 0) {
        limits.drainGrace = divideDrainGrace(graceMs, limits.minAgentAnswerTimeoutMs);
        limits.longPollMs = std::min(limits.longPollMs, limits.drainGrace.longPollMs);
        limits.longPollSlackMs = std::min(limits.longPollSlackMs, limits.drainGrace.answerTimeoutMs);
        // Retry delays are drawn from 0.5 to 1.5 times their mean, which stays the same after each failure.
        limits.discoveryRetry.minMs = limits.discoveryRetry.maxMs =
            std::min(limits.discoveryRetry.minMs, limits.drainGrace.maxRetryDelayMs / 1.5);
        limits.firstListTimeoutMs = std::min(limits.firstListTimeoutMs, graceMs * 2 / 5);
    } else if (!limits.listPushed) {
        limits.onRequestList =
            divideOnRequestListTime(limits.listPropagationMs, graceMs, limits.longPollSlackMs);
        limits.longPollMs = std::min(limits.longPollMs, limits.onRequestList.longPollMs);
        // A retry delay is at most 1.5 times its mean.
        limits.discoveryRetry.initialMs =
            std::min(limits.discoveryRetry.initialMs, limits.onRequestList.maxRetryDelayMs);
        limits.discoveryRetry.maxMs =
            std::min(limits.discoveryRetry.maxMs, limits.onRequestList.maxRetryDelayMs / 1.5);
        limits.discoveryRetry.minMs = std::min(limits.discoveryRetry.minMs, limits.discoveryRetry.maxMs);
    }
    for (const auto& requestClass : out.settings.scheduler.classes)
        limits.longestDeadlineMs = std::max(limits.longestDeadlineMs, requestClass.deadlineMs);
    for (const char* field : {"name", "listen", "limits", "peer_listen", "ops"}) {
        if (const Json* value = findField(json, field)) out.startOnlyFields[field] = value->dump();
    }
    out.sourceJson = json;
    out.sourceJson.erase("known");
    return out;
}

Config read(Precedence precedence) {
    const std::string path = variable("NODE_CONFIG");
    if (path.empty()) throw ConfigError("NODE_CONFIG: not set");
    try {
        return decode(readJsonFile(path, "NODE_CONFIG"), precedence);
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

Config readConfig() { return read(Precedence::variables); }
Config reloadConfig() { return read(Precedence::file); }

}  // namespace martencove
