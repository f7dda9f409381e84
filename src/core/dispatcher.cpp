#include "core/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <unordered_set>
#include <vector>

namespace martencove {
namespace {

const char* counterName(AttemptStatus status) {
    static constexpr const char* kNames[kAttemptStatusCount] = {
        "attempt_served",    "attempt_error",         "attempt_turned_away",
        "attempt_timed_out", "attempt_not_connected", "attempt_broken",
        "attempt_cancelled", "attempt_not_sent",      "attempt_spoilt"};
    return kNames[static_cast<int>(status)];
}
const char* counterName(AnswerStatus status) {
    static constexpr const char* kNames[] = {"answer_served", "answer_refused", "answer_failed"};
    return kNames[static_cast<int>(status)];
}

}  // namespace

Dispatcher::Dispatcher(SchedulerFacade& facade, const Clock& clock, const Limits& limits, Counters& counters,
                       DispatcherCallbacks callbacks, const NodeList& known)
    : facade_(facade), clock_(clock), limits_(limits), counters_(counters), callbacks_(std::move(callbacks)) {
    storeNodes(known);
}

bool Dispatcher::submit(const Request& request, std::shared_ptr<RequestHandler> handler) {
    if (facade_.openRequestCount() >= limits_.maxOpenRequests || activeRequests_.contains(request.id))
        return false;
    counters_.add("request_taken");
    ActiveRequest& active = activeRequests_[request.id];
    active.handler = std::move(handler);
    active.planNo = request.planNo;
    active.units = request.units;
    countUnits("units_taken_plan_", active);
    execute(facade_.addRequest(nowMs(), request));
    return true;
}

void Dispatcher::attemptEnded(const RequestId& id, int attempt, AttemptStatus status) {
    const auto it = activeRequests_.find(id);
    if (it == activeRequests_.end()) return;
    const auto sentAttempt = it->second.attemptsInFlight.find(attempt);
    if (sentAttempt == it->second.attemptsInFlight.end()) return;
    const SentAttempt sent = sentAttempt->second;
    it->second.attemptsInFlight.erase(sentAttempt);
    counters_.add(counterName(status));
    const double now = nowMs();
    execute(facade_.handleEvent(now, AttemptOutcome{id, attempt, sent.node, status, now - sent.sentMs}));
    eraseIfFinished(id);
}

void Dispatcher::clientDisconnected(const RequestId& id) {
    if (!facade_.isOpen(id)) return;
    counters_.add("client_gone");
    execute(facade_.handleEvent(nowMs(), id));
    eraseIfFinished(id);
}

void Dispatcher::updateNodes(const NodeList& list) {
    storeNodes(list);
    execute(facade_.handleEvent(nowMs(), list));
    cancelUnsentAttempts(list);
}

// The drain rule counts the first bytes sent to a node. An attempt decided before the update arrived may
// still wait for its connection or for a turn of the event loop. Attempts of which no byte was sent are
// therefore cancelled in the turn that learns of the drain, so that they use up none of the drain grace. They
// end as notConnected, since they were not executed, and the scheduler decides how their requests proceed.
void Dispatcher::cancelUnsentAttempts(const NodeList& list) {
    std::unordered_set<NodeId> leaving;
    for (const NodeEntry& node : list.nodes)
        if (node.state != NodeState::ready) leaving.insert(node.id);
    if (leaving.empty()) return;
    std::vector<AttemptId> attemptIds;
    for (const auto& [id, request] : activeRequests_)
        for (const auto& [number, sentAttempt] : request.attemptsInFlight)
            if (leaving.contains(sentAttempt.node)) attemptIds.push_back({id, number});
    for (const AttemptId& attemptId : attemptIds) {
        const auto it = activeRequests_.find(attemptId.id);
        if (it == activeRequests_.end() || !it->second.attemptsInFlight.contains(attemptId.number)) continue;
        const auto handler = it->second.handler;  // keeps the handler alive during the call
        if (!handler->cancelIfUnsent(attemptId.number)) continue;
        counters_.add("attempt_withdrawn");
        attemptEnded(attemptId.id, attemptId.number, AttemptStatus::notConnected);
    }
}

void Dispatcher::receivePeerMessage(const PeerMessage& message) {
    execute(facade_.handleEvent(nowMs(), message));
}

void Dispatcher::shutDown(const ShutdownSchedule& schedule) {
    execute(facade_.handleEvent(nowMs(), schedule));
}

void Dispatcher::tick() { execute(facade_.tick(nowMs())); }

std::vector<NodeStatus> Dispatcher::nodeStatuses() const {
    std::vector<NodeStatus> statuses = facade_.nodeStatuses();
    for (NodeStatus& status : statuses) {
        const auto it = nodes_.find(status.node.id);
        if (it == nodes_.end()) continue;
        status.node.name = it->second.name;
        status.node.address = it->second.address;
    }
    return statuses;
}

// Executing actions can cause further events, for example an attempt that fails at once. The actions that
// follow from these are queued instead of being executed recursively, so that the remaining actions of the
// current set are executed first.
void Dispatcher::execute(Actions actions) {
    pendingActions_.push_back(std::move(actions));
    if (executing_) return;
    executing_ = true;
    while (!pendingActions_.empty()) {
        const Actions current = std::move(pendingActions_.front());
        pendingActions_.pop_front();
        for (const Answer& answer : current.answers) {
            counters_.add(counterName(answer.status));
            const auto it = activeRequests_.find(answer.id);
            if (it == activeRequests_.end()) continue;
            if (answer.status == AnswerStatus::served) countUnits("units_served_plan_", it->second);
            const auto handler = it->second.handler;  // keeps the handler alive during the call
            handler->sendAnswer(answer);
            eraseIfFinished(answer.id);
        }
        for (const AttemptId& attemptId : current.cancellations) {
            const auto it = activeRequests_.find(attemptId.id);
            if (it == activeRequests_.end() || !it->second.attemptsInFlight.contains(attemptId.number))
                continue;
            it->second.handler->cancelAttempt(attemptId.number);
            attemptEnded(attemptId.id, attemptId.number, AttemptStatus::cancelled);
        }
        for (const Attempt& attempt : current.attempts) execute(attempt);
        for (const PeerMessage& message : current.peerMessages) callbacks_.sendToPeer(message);
        for (const std::string& message : current.logMessages) callbacks_.writeLog(message);
    }
    executing_ = false;
    const double nextTickMs = facade_.nextTickMs();
    if (std::isfinite(nextTickMs)) callbacks_.scheduleTick(std::max(0.0, nextTickMs - nowMs()));
}

void Dispatcher::execute(const Attempt& attempt) {
    const auto it = activeRequests_.find(attempt.id);
    if (it == activeRequests_.end()) return;
    it->second.attemptsInFlight[attempt.number] = {attempt.node, nowMs()};
    const auto node = nodes_.find(attempt.node);
    // The request may have been answered after this attempt was decided. The attempt is not sent then.
    if (node == nodes_.end() || !facade_.isOpen(attempt.id))
        return attemptEnded(attempt.id, attempt.number, AttemptStatus::notSent);
    // The attempt was decided before the update that the node leaves, or while that update was handled.
    if (node->second.state != NodeState::ready) {
        counters_.add("attempt_withdrawn");
        return attemptEnded(attempt.id, attempt.number, AttemptStatus::notConnected);
    }
    counters_.add("attempt_sent");
    const auto handler = it->second.handler;
    handler->sendAttempt(attempt, node->second);
}

void Dispatcher::eraseIfFinished(const RequestId& id) {
    const auto it = activeRequests_.find(id);
    if (it != activeRequests_.end() && it->second.attemptsInFlight.empty() && !facade_.isOpen(id))
        activeRequests_.erase(it);
}

void Dispatcher::countUnits(const char* counterPrefix, const ActiveRequest& request) {
    counters_.add(counterPrefix + std::to_string(request.planNo),
                  static_cast<std::uint64_t>(std::llround(request.units)));
}

// Erases nodes that are gone. Attempts still in flight there do not need the entry.
void Dispatcher::storeNodes(const NodeList& list) {
    if (list.isSnapshot) nodes_.clear();
    for (const NodeEntry& node : list.nodes) {
        if (node.state == NodeState::gone) {
            nodes_.erase(node.id);
        } else if (nodes_.size() < limits_.maxNodes || nodes_.contains(node.id)) {
            nodes_[node.id] = node;
        } else {
            counters_.add("node_not_kept");
        }
    }
}

}  // namespace martencove
