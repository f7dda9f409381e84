#include "core/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <unordered_set>
#include <vector>

namespace martencove {
namespace {

const char* nameOf(Ending ending) {
    static constexpr const char* kNames[kEndings] = {
        "attempt_served",    "attempt_error",         "attempt_turned_away",
        "attempt_timed_out", "attempt_not_connected", "attempt_broken",
        "attempt_cancelled", "attempt_not_sent",      "attempt_spoilt"};
    return kNames[static_cast<int>(ending)];
}
const char* nameOf(Verdict verdict) {
    static constexpr const char* kNames[] = {"answer_served", "answer_refused", "answer_failed"};
    return kNames[static_cast<int>(verdict)];
}

}  // namespace

Dispatcher::Dispatcher(Facade& facade, const Clock& clock, const Limits& limits, Counters& counters,
                       DispatcherPorts ports, const NodeList& known)
    : facade_(facade), clock_(clock), limits_(limits), counters_(counters), ports_(std::move(ports)) {
    remember(known);
}

bool Dispatcher::take(const Request& request, std::shared_ptr<Job> job) {
    if (facade_.openRequests() >= limits_.openRequests || held_.contains(request.id)) return false;
    counters_.add("request_taken");
    Held& held = held_[request.id];
    held.job = std::move(job);
    held.planNo = request.planNo;
    held.units = request.units;
    countUnits("units_taken_plan_", held);
    carryOut(facade_.pick(nowMs(), request));
    return true;
}

void Dispatcher::over(const RequestId& id, int attempt, Ending ending) {
    const auto at = held_.find(id);
    if (at == held_.end()) return;
    const auto out = at->second.out.find(attempt);
    if (out == at->second.out.end()) return;
    const Out sent = out->second;
    at->second.out.erase(out);
    counters_.add(nameOf(ending));
    const double now = nowMs();
    carryOut(facade_.report(now, Outcome{id, attempt, sent.node, ending, now - sent.sentMs}));
    release(id);
}

void Dispatcher::gone(const RequestId& id) {
    if (!facade_.open(id)) return;
    counters_.add("client_gone");
    carryOut(facade_.report(nowMs(), id));
    release(id);
}

void Dispatcher::learn(const NodeList& list) {
    remember(list);
    carryOut(facade_.report(nowMs(), list));
    withdrawFrom(list);
}

// The rule on drains counts first bytes: an attempt that was decided before the list came may still wait for
// its connection, or for its turn of the loop. All of which no byte has left are taken back in the turn that
// learns of the leaving, so that no time passes in them. They never ran, and their requests go on as the
// decisions say.
void Dispatcher::withdrawFrom(const NodeList& list) {
    std::unordered_set<NodeId> leaving;
    for (const NodeEntry& node : list.nodes)
        if (node.state != NodeState::ready) leaving.insert(node.id);
    if (leaving.empty()) return;
    std::vector<AttemptName> back;
    for (const auto& [id, held] : held_)
        for (const auto& [number, out] : held.out)
            if (leaving.contains(out.node)) back.push_back({id, number});
    for (const AttemptName& name : back) {
        const auto at = held_.find(name.id);
        if (at == held_.end() || !at->second.out.contains(name.number)) continue;
        const auto job = at->second.job;  // lives through the call
        if (!job->withdraw(name.number)) continue;
        counters_.add("attempt_withdrawn");
        over(name.id, name.number, Ending::notConnected);
    }
}

void Dispatcher::hear(const PeerMessage& message) { carryOut(facade_.report(nowMs(), message)); }

void Dispatcher::shutDown(const ShutdownSchedule& moments) { carryOut(facade_.report(nowMs(), moments)); }

void Dispatcher::tick() { carryOut(facade_.tick(nowMs())); }

std::vector<NodeView> Dispatcher::view() const {
    std::vector<NodeView> out = facade_.view();
    for (NodeView& view : out) {
        const auto known = nodes_.find(view.node.id);
        if (known == nodes_.end()) continue;
        view.node.name = known->second.name;
        view.node.dial = known->second.dial;
    }
    return out;
}

// What carrying out leads to (an attempt that fails at once, say) waits its turn: the module is never called
// from within its own answer.
void Dispatcher::carryOut(Todo todo) {
    todos_.push_back(std::move(todo));
    if (busy_) return;
    busy_ = true;
    while (!todos_.empty()) {
        const Todo now = std::move(todos_.front());
        todos_.pop_front();
        for (const Answer& answer : now.answers) {
            counters_.add(nameOf(answer.verdict));
            const auto at = held_.find(answer.id);
            if (at == held_.end()) continue;
            if (answer.verdict == Verdict::served) countUnits("units_served_plan_", at->second);
            const auto job = at->second.job;  // lives through the call
            job->answer(answer);
            release(answer.id);
        }
        for (const AttemptName& name : now.cancels) {
            const auto at = held_.find(name.id);
            if (at == held_.end() || !at->second.out.contains(name.number)) continue;
            at->second.job->cancel(name.number);
            over(name.id, name.number, Ending::cancelled);
        }
        for (const Attempt& attempt : now.attempts) carryOut(attempt);
        for (const PeerMessage& message : now.messages) ports_.tell(message);
        for (const std::string& note : now.notes) ports_.note(note);
    }
    busy_ = false;
    const double next = facade_.nextTickMs();
    if (std::isfinite(next)) ports_.wake(std::max(0.0, next - nowMs()));
}

void Dispatcher::carryOut(const Attempt& attempt) {
    const auto at = held_.find(attempt.id);
    if (at == held_.end()) return;
    at->second.out[attempt.number] = {attempt.node, nowMs()};
    const auto node = nodes_.find(attempt.node);
    // An answer carried out a moment ago may have overtaken this attempt: it does not go out.
    if (node == nodes_.end() || !facade_.open(attempt.id))
        return over(attempt.id, attempt.number, Ending::notSent);
    // Decided before word of its leaving came, or while that was carried out.
    if (node->second.state != NodeState::ready) {
        counters_.add("attempt_withdrawn");
        return over(attempt.id, attempt.number, Ending::notConnected);
    }
    counters_.add("attempt_sent");
    const auto job = at->second.job;
    job->send(attempt, node->second);
}

void Dispatcher::release(const RequestId& id) {
    const auto at = held_.find(id);
    if (at != held_.end() && at->second.out.empty() && !facade_.open(id)) held_.erase(at);
}

void Dispatcher::countUnits(const char* what, const Held& held) {
    counters_.add(what + std::to_string(held.planNo), static_cast<std::uint64_t>(std::llround(held.units)));
}

// A node that left gets nothing any more: what is still out there needs no entry.
void Dispatcher::remember(const NodeList& list) {
    if (list.whole) nodes_.clear();
    for (const NodeEntry& node : list.nodes) {
        if (node.state == NodeState::gone) {
            nodes_.erase(node.id);
        } else if (nodes_.size() < limits_.nodes || nodes_.contains(node.id)) {
            nodes_[node.id] = node;
        } else {
            counters_.add("node_not_kept");
        }
    }
}

}  // namespace martencove
