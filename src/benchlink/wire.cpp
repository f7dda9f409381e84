#include "wire.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "settings_json/fields.h"
#include "settings_json/settings_json.h"

namespace limedrum::benchlink {
namespace {

using Json = nlohmann::json;

using namespace fields;

NodeListEvent decodeNodeList(const Json& json) {
    NodeListEvent event;
    event.kind = parseEnum<NodeListKind>(getString(requireField(json, "Kind"), "Kind"), "Kind",
                                         {{"update", NodeListKind::update},
                                          {"replace", NodeListKind::full},
                                          {"restored", NodeListKind::restored},
                                          {"unavailable", NodeListKind::unavailable}});
    const Json* entries = findField(json, "Hosts");
    if (entries == nullptr && event.kind != NodeListKind::unavailable) throwFieldError("Hosts", "missing");
    if (entries == nullptr) return event;
    for (const Json& entry : getArray(*entries, "Hosts")) {
        NodeEntry node;
        node.node = getNodeId(requireField(entry, "Server"), "Server");
        node.zone = getInt(entry, "Area", 0);
        node.shard = getInt(entry, "Group", 0);
        node.state = parseEnum<NodeState>(getString(requireField(entry, "Availability"), "Availability"),
                                          "Availability",
                                          {{"SERVING", NodeState::serving},
                                           {"DRAINING", NodeState::draining},
                                           {"DELETED", NodeState::gone}});
        node.bootMs = getNumber(entry, "BootTimeMs", 0.0);
        event.entries.push_back(node);
    }
    return event;
}

RequestEvent decodeRequest(const Json& json) {
    RequestEvent event;
    event.id = getString(requireField(json, "Corr"), "Corr");
    event.classNo = getInt(requireField(json, "Service"), "Service");
    event.planNo = getInt(json, "PolicyNo", 0);
    event.key = getString(json, "Chunk", "");
    event.volume = getString(json, "Volume", "");
    event.expiresMs = getNumber(requireField(json, "ExpiresMs"), "ExpiresMs");
    event.units = getNumber(json, "Units", 1.0);
    event.shard = getInt(json, "SlotNo", -1);
    event.hostsOfVolume = getInt(json, "SetSize", 1);
    return event;
}

OutcomeEvent decodeOutcome(const Json& json) {
    OutcomeEvent event;
    event.id = getString(requireField(json, "Corr"), "Corr");
    event.attempt = getInt(requireField(json, "Shot"), "Shot");
    event.node = getNodeId(requireField(json, "Server"), "Server");
    event.outcome = parseEnum<Outcome>(getString(requireField(json, "Verdict"), "Verdict"), "Verdict",
                                       {{"done", Outcome::done},
                                        {"err", Outcome::error},
                                        {"busy", Outcome::rejected},
                                        {"etimedout", Outcome::timedOut},
                                        {"econnrefused", Outcome::connectFailed},
                                        {"econnreset", Outcome::reset},
                                        {"ecanceled", Outcome::cancelled},
                                        {"skipped", Outcome::notSent}});
    event.durationMs = getNumber(requireField(json, "CostTimeMs"), "CostTimeMs");
    event.requestFinished = getBool(requireField(json, "Last"), "Last");
    event.utilizationPct = getNumber(json, "UsePct", 0.0);
    event.unitsViaOtherHosts = getNumber(json, "Delta", 0.0);
    return event;
}

Event decodeEvent(const std::string& verb, const Json& json) {
    if (verb == "Members") return decodeNodeList(json);
    if (verb == "Submit") return decodeRequest(json);
    if (verb == "Reply") return decodeOutcome(json);
    if (verb == "Opened")
        return StreamStartedEvent{getString(requireField(json, "Corr"), "Corr"),
                                  getInt(requireField(json, "Shot"), "Shot")};
    if (verb == "Abandoned") return RequestAbandonedEvent{getString(requireField(json, "Corr"), "Corr")};
    if (verb == "Reminder") return TimerFiredEvent{getInt64(requireField(json, "KeyBack"), "KeyBack")};
    if (verb == "Pong") {
        return ProbeResultEvent{getNodeId(requireField(json, "Server"), "Server"),
                                getString(requireField(json, "Verdict"), "Verdict") == "done"};
    }
    if (verb == "Datagram")
        return PeerMessageEvent{getInt(requireField(json, "Sender"), "Sender"),
                                getString(requireField(json, "Content"), "Content")};
    throwFieldError("verb", "unknown verb '" + verb + "'");
}

struct ActionToJson {
    int instance;
    Json make(const char* verb) const { return Json{{"verb", verb}, {"I", instance}}; }
    Json operator()(const SendAttempt& a) const {
        Json out = make("Place");
        out["Corr"] = a.id;
        out["Server"] = a.node;
        if (a.timeoutMs > 0) out["TryForMs"] = a.timeoutMs;
        return out;
    }
    Json operator()(const CancelAttempt& a) const {
        Json out = make("AbortAttempt");
        out["Corr"] = a.id;
        out["Shot"] = a.attempt;
        return out;
    }
    Json operator()(const RefuseRequest& a) const {
        Json out = make("Deny");
        out["Corr"] = a.id;
        if (a.retryAfterMs > 0) out["NotBeforeForMs"] = a.retryAfterMs;
        return out;
    }
    Json operator()(const FailRequest& a) const {
        Json out = make("DropRequest");
        out["Corr"] = a.id;
        return out;
    }
    Json operator()(const SetTimer& a) const {
        Json out = make("Timer");
        out["AfterMs"] = a.afterMs;
        out["KeyBack"] = a.token;
        return out;
    }
    Json operator()(const SendPeerMessage& a) const {
        Json out = make("Tell");
        out["Target"] = a.peer;
        out["Content"] = a.text;
        return out;
    }
    Json operator()(const SubscribeToNodeList&) const {
        Json out = make("Track");
        out["Enable"] = true;
        return out;
    }
    Json operator()(const LogMessage& a) const { return makeWithReason("SayLog", a.text); }
    Json makeWithReason(const char* verb, const std::string& reason) const {
        Json out = make(verb);
        out["ReasonText"] = reason;
        return out;
    }
};

}  // namespace

std::string BenchSession::handleBatch(const std::string& line) {
    ++lineCount_;
    std::string batchName = "line " + std::to_string(lineCount_);
    try {
        const Json batch = Json::parse(line, nullptr, false);
        if (batch.is_discarded()) throwFieldError("batch", "not JSON");
        if (!batch.is_object()) throwFieldError("batch", "not an object");
        const std::int64_t round = getInt64(requireField(batch, "round"), "round");
        batchName = "batch " + std::to_string(round);
        const double nowMs = getNumber(requireField(batch, "ClockMs"), "ClockMs");
        Json decisions = Json::array();
        std::map<int, std::vector<Event>> pendingEvents;
        for (const Json& entry : getArray(requireField(batch, "inbox"), "inbox")) {
            const int instance = getInt(requireField(entry, "I"), "I");
            const std::string verb = getString(requireField(entry, "verb"), "verb");
            if (verb == "Born") {
                const Json& seed = requireField(entry, "RngSeed");
                if (!seed.is_number_integer()) throwFieldError("RngSeed", "not a whole number");
                const Json& info = requireField(entry, "Info");
                if (!info.is_object()) throwFieldError("Info", "not an object");
                const Settings settings = decodeSettings(info).scheduler;
                pendingEvents.erase(instance);
                instances_.erase(instance);
                try {
                    instances_.emplace(instance, Scheduler(settings, seed.get<std::uint64_t>(), nowMs));
                } catch (const std::exception& error) {
                    decisions.push_back(ActionToJson{instance}.makeWithReason("InternalError", error.what()));
                }
            } else if (verb == "CrashNow") {
                pendingEvents.erase(instance);
                instances_.erase(instance);
            } else {
                pendingEvents[instance].push_back(decodeEvent(verb, entry));
            }
        }
        for (const auto& [instance, events] : pendingEvents) {
            const auto it = instances_.find(instance);
            if (it == instances_.end()) continue;
            const ActionToJson toJson{instance};
            try {
                for (const Action& action : it->second.handle(nowMs, events)) {
                    decisions.push_back(std::visit(toJson, action));
                }
            } catch (const std::exception& error) {
                decisions.push_back(toJson.makeWithReason("InternalError", error.what()));
            }
        }
        const Json reply{{"round", round}, {"decisions", std::move(decisions)}};
        return reply.dump(-1, ' ', false, Json::error_handler_t::replace);
    } catch (const fields::FieldError& error) {
        throw WireError(batchName + ": " + error.what());
    }
}

}  // namespace limedrum::benchlink
