// Drives one Scheduler by events and keeps what it did. No bench, no clock.
#pragma once

#include <limedrum/scheduler.h>

#include <array>
#include <string>
#include <vector>

namespace limedrum::testing {

inline Settings plainSettings() {
    Settings s;
    s.classes.push_back({.aimMs = 200, .deadlineMs = 1000, .worth = 2, .lateWorth = 0.2});
    s.plans.push_back({.rate = 10});
    s.rules = {.answerSlackMs = 8, .drainGraceMs = 500};
    s.meanUnits = 2;
    s.maxUnits = 8;
    s.attemptCap = 3;
    s.mayCancel = true;
    s.mayMessagePeers = true;
    s.hosts = 4;
    return s;
}

inline RequestEvent request(const RequestId& id, double expiresMs, int cell = 0) {
    RequestEvent r;
    r.id = id;
    r.volume = "v";
    r.expiresMs = expiresMs;
    r.units = 2;
    r.shard = cell;
    return r;
}

class Driver {
public:
    explicit Driver(const Settings& settings, std::uint64_t seed = 1, double startMs = 0, int nodes = 2)
        : scheduler_(settings, seed, startMs), nowMs(startMs) {
        NodeListEvent list{NodeListKind::restored, {}};
        for (int i = 0; i < nodes; ++i) list.entries.push_back({.node = NodeId(100 + i), .shard = i});
        give(startMs, list);
    }
    std::vector<Action> give(double atMs, const Event& event) { return step(atMs, {event}); }
    std::vector<Action> step(double atMs, const std::vector<Event>& events) {
        nowMs = atMs;
        last = scheduler_.handle(atMs, events);
        all.insert(all.end(), last.begin(), last.end());
        return last;
    }
    /// Lets time pass in small steps, as reminders would.
    void pass(double untilMs, double stepMs = 2) {
        while (nowMs < untilMs) give(std::min(untilMs, nowMs + stepMs), TimerFiredEvent{1});
    }
    std::vector<Action> outcome(double atMs, const RequestId& id, int attempt, NodeId node, Outcome what,
                                double tookMs = 10) {
        return give(atMs, OutcomeEvent{.id = id,
                                       .attempt = attempt,
                                       .node = node,
                                       .outcome = what,
                                       .durationMs = tookMs,
                                       .requestFinished = what == Outcome::done});
    }
    template <typename A>
    static int count(const std::vector<Action>& actions, const RequestId& id = "") {
        int n = 0;
        for (const Action& action : actions) {
            const A* a = std::get_if<A>(&action);
            if (a == nullptr) continue;
            if constexpr (requires { a->id; }) {
                if (!id.empty() && a->id != id) continue;
            }
            ++n;
        }
        return n;
    }
    int sends(const RequestId& id = "") const { return count<SendAttempt>(all, id); }
    int answers(const RequestId& id = "") const {
        return count<RefuseRequest>(all, id) + count<FailRequest>(all, id);
    }
    std::string handOver() { return scheduler_.exportState(nowMs); }
    bool takeOver(const std::string& text) { return scheduler_.importState(nowMs, text); }
    std::size_t tableSize() const { return scheduler_.tableSize(); }

private:
    Scheduler scheduler_;

public:
    double nowMs;
    std::vector<Action> last;
    std::vector<Action> all;
};

/// Full answers put cell 0's node under pressure; answers under it teach its rate. Every other request is of
/// class 1 where there is one. How many of each class were sent.
inline std::array<int, 2> saturate(Driver& d, double fromMs, double untilMs, double everyMs = 5,
                                   int classes = 1) {
    std::array<int, 2> sent{};
    int i = 0;
    for (double t = fromMs; t < untilMs; t += everyMs, ++i) {
        RequestEvent r = request(std::to_string(t), t + 1000, 0);
        r.classNo = i % classes;
        for (const Action& a : d.give(t, r)) {
            const auto* send = std::get_if<SendAttempt>(&a);
            if (send == nullptr) continue;
            ++sent[r.classNo];
            d.outcome(t, send->id, 0, 100, Outcome::done, i % 4 < 2 ? 10 : 700);
        }
    }
    return sent;
}

}  // namespace limedrum::testing
