// Test driver for one Scheduler: passes events to it with explicit times and records the resulting actions.
#pragma once

#include <limedrum/scheduler.h>

#include <array>
#include <string>
#include <vector>

namespace limedrum::testing {

/// Settings with one class, one plan and four hosts; all rules that are not set are off.
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

/// Returns a request of 2 units of volume "v".
inline RequestEvent request(const RequestId& id, double expiresMs, int shard = 0) {
    RequestEvent event;
    event.id = id;
    event.volume = "v";
    event.expiresMs = expiresMs;
    event.units = 2;
    event.shard = shard;
    return event;
}

class Driver {
public:
    /// Starts the scheduler with nodes 100, 101, ... that serve shards 0, 1, ...
    explicit Driver(const Settings& settings, std::uint64_t seed = 1, double startMs = 0, int nodes = 2)
        : scheduler_(settings, seed, startMs), nowMs(startMs) {
        NodeListEvent list{NodeListKind::restored, {}};
        for (int i = 0; i < nodes; ++i) list.entries.push_back({.node = NodeId(100 + i), .shard = i});
        handle(startMs, list);
    }
    /// Passes one event to the scheduler and returns the resulting actions.
    std::vector<Action> handle(double atMs, const Event& event) { return handleAll(atMs, {event}); }
    std::vector<Action> handleAll(double atMs, const std::vector<Event>& events) {
        nowMs = atMs;
        lastActions = scheduler_.handle(atMs, events);
        allActions.insert(allActions.end(), lastActions.begin(), lastActions.end());
        return lastActions;
    }
    /// Advances the time in small steps with a timer event at each.
    void advanceTo(double untilMs, double stepMs = 2) {
        while (nowMs < untilMs) handle(std::min(untilMs, nowMs + stepMs), TimerFiredEvent{1});
    }
    std::vector<Action> outcome(double atMs, const RequestId& id, int attempt, NodeId node, Outcome outcome,
                                double durationMs = 10) {
        return handle(atMs, OutcomeEvent{.id = id,
                                         .attempt = attempt,
                                         .node = node,
                                         .outcome = outcome,
                                         .durationMs = durationMs,
                                         .requestFinished = outcome == Outcome::done});
    }
    /// Counts the actions of one type, for one request or all.
    template <typename ActionType>
    static int count(const std::vector<Action>& actions, const RequestId& id = "") {
        int matches = 0;
        for (const Action& action : actions) {
            const ActionType* match = std::get_if<ActionType>(&action);
            if (match == nullptr) continue;
            if constexpr (requires { match->id; }) {
                if (!id.empty() && match->id != id) continue;
            }
            ++matches;
        }
        return matches;
    }
    int sendCount(const RequestId& id = "") const { return count<SendAttempt>(allActions, id); }
    /// Counts the refusals and failures.
    int answerCount(const RequestId& id = "") const {
        return count<RefuseRequest>(allActions, id) + count<FailRequest>(allActions, id);
    }
    std::string exportState() { return scheduler_.exportState(nowMs); }
    bool importState(const std::string& text) { return scheduler_.importState(nowMs, text); }
    std::size_t tableSize() const { return scheduler_.tableSize(); }

private:
    Scheduler scheduler_;

public:
    double nowMs;
    std::vector<Action> lastActions;
    std::vector<Action> allActions;
};

/// Overloads the node of shard 0 by slow answers, so that the scheduler learns its rate. With two classes,
/// the requests alternate between them. Returns how many requests of each class were sent.
inline std::array<int, 2> saturate(Driver& driver, double fromMs, double untilMs, double intervalMs = 5,
                                   int classes = 1) {
    std::array<int, 2> sent{};
    int i = 0;
    for (double timeMs = fromMs; timeMs < untilMs; timeMs += intervalMs, ++i) {
        RequestEvent event = request(std::to_string(timeMs), timeMs + 1000, 0);
        event.classNo = i % classes;
        for (const Action& action : driver.handle(timeMs, event)) {
            const auto* send = std::get_if<SendAttempt>(&action);
            if (send == nullptr) continue;
            ++sent[event.classNo];
            driver.outcome(timeMs, send->id, 0, 100, Outcome::done, i % 4 < 2 ? 10 : 700);
        }
    }
    return sent;
}

}  // namespace limedrum::testing
