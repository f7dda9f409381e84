#include "wire.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "settings_json/fields.h"
#include "settings_json/settings_json.h"

namespace limedrum::benchlink {
namespace {

using Json = nlohmann::json;

using namespace fields;

ListEvent listEvent(const Json& json) {
    ListEvent out;
    out.kind = word<ListKind>(text(need(json, "Kind"), "Kind"), "Kind",
                              {{"update", ListKind::update},
                               {"replace", ListKind::full},
                               {"restored", ListKind::restored},
                               {"unavailable", ListKind::unavailable}});
    const Json* entries = find(json, "Hosts");
    if (entries == nullptr && out.kind != ListKind::unavailable) complain("Hosts", "missing");
    if (entries == nullptr) return out;
    for (const Json& entry : list(*entries, "Hosts")) {
        NodeEntry node;
        node.node = nodeId(need(entry, "Server"), "Server");
        node.zone = small(entry, "Area", 0);
        node.cell = small(entry, "Group", 0);
        node.state = word<NodeState>(text(need(entry, "Availability"), "Availability"), "Availability",
                                     {{"SERVING", NodeState::serving},
                                      {"DRAINING", NodeState::draining},
                                      {"DELETED", NodeState::gone}});
        node.bootMs = number(entry, "BootTimeMs", 0.0);
        out.entries.push_back(node);
    }
    return out;
}

RequestEvent requestEvent(const Json& json) {
    RequestEvent out;
    out.id = text(need(json, "Corr"), "Corr");
    out.classNo = small(need(json, "Service"), "Service");
    out.planNo = small(json, "PolicyNo", 0);
    out.key = text(json, "Chunk", "");
    out.volume = text(json, "Volume", "");
    out.expiresMs = number(need(json, "ExpiresMs"), "ExpiresMs");
    out.units = number(json, "Units", 1.0);
    out.cell = small(json, "SlotNo", -1);
    out.hostsOfVolume = small(json, "SetSize", 1);
    return out;
}

OutcomeEvent outcomeEvent(const Json& json) {
    OutcomeEvent out;
    out.id = text(need(json, "Corr"), "Corr");
    out.attempt = small(need(json, "Shot"), "Shot");
    out.node = nodeId(need(json, "Server"), "Server");
    out.outcome = word<Outcome>(text(need(json, "Verdict"), "Verdict"), "Verdict",
                                {{"done", Outcome::done},
                                 {"err", Outcome::error},
                                 {"busy", Outcome::full},
                                 {"etimedout", Outcome::timedOut},
                                 {"econnrefused", Outcome::connectFailed},
                                 {"econnreset", Outcome::reset},
                                 {"ecanceled", Outcome::cancelled},
                                 {"skipped", Outcome::moot}});
    out.tookMs = number(need(json, "CostTimeMs"), "CostTimeMs");
    out.last = truth(need(json, "Last"), "Last");
    out.usePct = number(json, "UsePct", 0.0);
    out.unitsElsewhere = number(json, "Delta", 0.0);
    return out;
}

Event event(const std::string& verb, const Json& json) {
    if (verb == "Members") return listEvent(json);
    if (verb == "Submit") return requestEvent(json);
    if (verb == "Reply") return outcomeEvent(json);
    if (verb == "Opened")
        return StreamStartedEvent{text(need(json, "Corr"), "Corr"), small(need(json, "Shot"), "Shot")};
    if (verb == "Abandoned") return AbandonedEvent{text(need(json, "Corr"), "Corr")};
    if (verb == "Reminder") return ReminderEvent{whole(need(json, "KeyBack"), "KeyBack")};
    if (verb == "Pong") {
        return ProbedEvent{nodeId(need(json, "Server"), "Server"),
                           text(need(json, "Verdict"), "Verdict") == "done"};
    }
    if (verb == "Datagram")
        return PeerEvent{small(need(json, "Sender"), "Sender"), text(need(json, "Content"), "Content")};
    complain("verb", "unknown verb '" + verb + "'");
}

struct ActionToJson {
    int instance;
    Json make(const char* verb) const { return Json{{"verb", verb}, {"I", instance}}; }
    Json operator()(const Send& a) const {
        Json out = make("Place");
        out["Corr"] = a.id;
        out["Server"] = a.node;
        if (a.timeoutMs > 0) out["TryForMs"] = a.timeoutMs;
        return out;
    }
    Json operator()(const Cancel& a) const {
        Json out = make("AbortAttempt");
        out["Corr"] = a.id;
        out["Shot"] = a.attempt;
        return out;
    }
    Json operator()(const Refuse& a) const {
        Json out = make("Deny");
        out["Corr"] = a.id;
        if (a.retryAfterMs > 0) out["NotBeforeForMs"] = a.retryAfterMs;
        return out;
    }
    Json operator()(const Fail& a) const {
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
    Json operator()(const TellPeer& a) const {
        Json out = make("Tell");
        out["Target"] = a.to;
        out["Content"] = a.text;
        return out;
    }
    Json operator()(const Subscribe&) const {
        Json out = make("Track");
        out["Enable"] = true;
        return out;
    }
    Json operator()(const Log& a) const { return faultOrLog("SayLog", a.text); }
    Json faultOrLog(const char* verb, const std::string& reason) const {
        Json out = make(verb);
        out["ReasonText"] = reason;
        return out;
    }
};

}  // namespace

std::string Link::answer(const std::string& line) {
    ++lines_;
    std::string batchName = "line " + std::to_string(lines_);
    try {
        const Json batch = Json::parse(line, nullptr, false);
        if (batch.is_discarded()) complain("batch", "not JSON");
        if (!batch.is_object()) complain("batch", "not an object");
        const std::int64_t round = whole(need(batch, "round"), "round");
        batchName = "batch " + std::to_string(round);
        const double nowMs = number(need(batch, "ClockMs"), "ClockMs");
        Json decisions = Json::array();
        std::map<int, std::vector<Event>> waiting;
        for (const Json& entry : list(need(batch, "inbox"), "inbox")) {
            const int instance = small(need(entry, "I"), "I");
            const std::string verb = text(need(entry, "verb"), "verb");
            if (verb == "Born") {
                const Json& seed = need(entry, "RngSeed");
                if (!seed.is_number_integer()) complain("RngSeed", "not a whole number");
                const Json& info = need(entry, "Info");
                if (!info.is_object()) complain("Info", "not an object");
                const Settings parsed = decodeSettings(info).module;
                waiting.erase(instance);
                instances_.erase(instance);
                try {
                    instances_.emplace(instance, Scheduler(parsed, seed.get<std::uint64_t>(), nowMs));
                } catch (const std::exception& error) {
                    decisions.push_back(ActionToJson{instance}.faultOrLog("InternalError", error.what()));
                }
            } else if (verb == "CrashNow") {
                waiting.erase(instance);
                instances_.erase(instance);
            } else {
                waiting[instance].push_back(event(verb, entry));
            }
        }
        for (const auto& [instance, events] : waiting) {
            const auto it = instances_.find(instance);
            if (it == instances_.end()) continue;
            const ActionToJson toJson{instance};
            try {
                for (const Action& action : it->second.handle(nowMs, events)) {
                    decisions.push_back(std::visit(toJson, action));
                }
            } catch (const std::exception& error) {
                decisions.push_back(toJson.faultOrLog("InternalError", error.what()));
            }
        }
        const Json reply{{"round", round}, {"decisions", std::move(decisions)}};
        return reply.dump(-1, ' ', false, Json::error_handler_t::replace);
    } catch (const fields::FieldError& error) {
        throw WireError(batchName + ": " + error.what());
    }
}

}  // namespace limedrum::benchlink
