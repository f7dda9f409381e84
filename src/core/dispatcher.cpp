#include "core/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <unordered_set>
#include <vector>

namespace martencove {
namespace {

const char* nameOf(AttemptStatus ending) {
    static constexpr const char* kNames[kAttemptStatusCount] = {
        "attempt_served",    "attempt_error",         "attempt_turned_away",
        "attempt_timed_out", "attempt_not_connected", "attempt_broken",
        "attempt_cancelled", "attempt_not_sent",      "attempt_spoilt"};
    return kNames[static_cast<int>(ending)];
}
const char* nameOf(AnswerStatus verdict) {
    static constexpr const char* kNames[] = {"answer_served", "answer_refused", "answer_failed"};
    return kNames[static_cast<int>(verdict)];
}

}  // namespace

Dispatcher::Dispatcher(SchedulerFacade& facade, const Clock& clock, const Limits& limits, Counters& counters,
                       DispatcherCallbacks ports, const NodeList& known)
    : facade_(facade), clock_(clock), limits_(limits), counters_(counters), callbacks_(std::move(ports)) {
    storeNodes(known);
}

bool Dispatcher::submit(const Request& request, std::shared_ptr<RequestHandler> job) {
    if (facade_.openRequestCount() >= limits_.maxOpenRequests || activeRequests_.contains(request.id))
        return false;
    counters_.add("request_taken");
    ActiveRequest& held = activeRequests_[request.id];
    held.handler = std::move(job);
    held.planNo = request.planNo;
    held.units = request.units;
    countUnits("units_taken_plan_", held);
    execute(facade_.addRequest(nowMs(), request));
    return true;
}

void Dispatcher::attemptEnded(const RequestId& id, int attempt, AttemptStatus ending) {
    const auto at = activeRequests_.find(id);
    if (at == activeRequests_.end()) return;
    const auto out = at->second.attemptsInFlight.find(attempt);
    if (out == at->second.attemptsInFlight.end()) return;
    const SentAttempt sent = out->second;
    at->second.attemptsInFlight.erase(out);
    counters_.add(nameOf(ending));
    const double now = nowMs();
    execute(facade_.handleEvent(now, AttemptOutcome{id, attempt, sent.node, ending, now - sent.sentMs}));
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
    std::vector<AttemptId> back;
    for (const auto& [id, held] : activeRequests_)
        for (const auto& [number, out] : held.attemptsInFlight)
            if (leaving.contains(out.node)) back.push_back({id, number});
    for (const AttemptId& name : back) {
        const auto at = activeRequests_.find(name.id);
        if (at == activeRequests_.end() || !at->second.attemptsInFlight.contains(name.number)) continue;
        const auto job = at->second.handler;  // keeps the handler alive during the call
        if (!job->cancelIfUnsent(name.number)) continue;
        counters_.add("attempt_withdrawn");
        attemptEnded(name.id, name.number, AttemptStatus::notConnected);
    }
}

void Dispatcher::receivePeerMessage(const PeerMessage& message) {
    execute(facade_.handleEvent(nowMs(), message));
}

void Dispatcher::shutDown(const ShutdownSchedule& moments) { execute(facade_.handleEvent(nowMs(), moments)); }

void Dispatcher::tick() { execute(facade_.tick(nowMs())); }

std::vector<NodeStatus> Dispatcher::nodeStatuses() const {
    std::vector<NodeStatus> out = facade_.nodeStatuses();
    for (NodeStatus& view : out) {
        const auto known = nodes_.find(view.node.id);
        if (known == nodes_.end()) continue;
        view.node.name = known->second.name;
        view.node.address = known->second.address;
    }
    return out;
}

// Executing actions can cause further events, for example an attempt that fails at once. The actions that
// follow from these are queued instead of being executed recursively, so that the remaining actions of the
// current set are executed first.
void Dispatcher::execute(Actions todo) {
    pendingActions_.push_back(std::move(todo));
    if (executing_) return;
    executing_ = true;
    while (!pendingActions_.empty()) {
        const Actions now = std::move(pendingActions_.front());
        pendingActions_.pop_front();
        for (const Answer& answer : now.answers) {
            counters_.add(nameOf(answer.status));
            const auto at = activeRequests_.find(answer.id);
            if (at == activeRequests_.end()) continue;
            if (answer.status == AnswerStatus::served) countUnits("units_served_plan_", at->second);
            const auto job = at->second.handler;  // keeps the handler alive during the call
            job->sendAnswer(answer);
            eraseIfFinished(answer.id);
        }
        for (const AttemptId& name : now.cancellations) {
            const auto at = activeRequests_.find(name.id);
            if (at == activeRequests_.end() || !at->second.attemptsInFlight.contains(name.number)) continue;
            at->second.handler->cancelAttempt(name.number);
            attemptEnded(name.id, name.number, AttemptStatus::cancelled);
        }
        for (const Attempt& attempt : now.attempts) execute(attempt);
        for (const PeerMessage& message : now.peerMessages) callbacks_.sendToPeer(message);
        for (const std::string& note : now.logMessages) callbacks_.writeLog(note);
    }
    executing_ = false;
    const double next = facade_.nextTickMs();
    if (std::isfinite(next)) callbacks_.scheduleTick(std::max(0.0, next - nowMs()));
}

void Dispatcher::execute(const Attempt& attempt) {
    const auto at = activeRequests_.find(attempt.id);
    if (at == activeRequests_.end()) return;
    at->second.attemptsInFlight[attempt.number] = {attempt.node, nowMs()};
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
    const auto job = at->second.handler;
    job->sendAttempt(attempt, node->second);
}

void Dispatcher::eraseIfFinished(const RequestId& id) {
    const auto at = activeRequests_.find(id);
    if (at != activeRequests_.end() && at->second.attemptsInFlight.empty() && !facade_.isOpen(id))
        activeRequests_.erase(at);
}

void Dispatcher::countUnits(const char* what, const ActiveRequest& held) {
    counters_.add(what + std::to_string(held.planNo), static_cast<std::uint64_t>(std::llround(held.units)));
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
