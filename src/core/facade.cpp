#include "core/facade.h"

#include <limits>
#include <span>

namespace martencove {
namespace {

limedrum::NodeListEvent listEvent(limedrum::NodeListKind kind, const NodeList& list) {
    limedrum::NodeListEvent event{kind, {}};
    for (const NodeEntry& node : list.nodes) {
        const auto state = node.state == NodeState::ready      ? limedrum::NodeState::serving
                           : node.state == NodeState::draining ? limedrum::NodeState::draining
                                                               : limedrum::NodeState::gone;
        event.entries.push_back({node.id, node.zone, node.shard, state, node.bootTimeMs, node.weight});
    }
    return event;
}

limedrum::Outcome outcomeOf(AttemptStatus ending) {
    switch (ending) {
        case AttemptStatus::served:
            return limedrum::Outcome::done;
        case AttemptStatus::error:
        case AttemptStatus::invalidReply:
            return limedrum::Outcome::error;
        case AttemptStatus::rejected:
            return limedrum::Outcome::rejected;
        case AttemptStatus::timedOut:
            return limedrum::Outcome::timedOut;
        case AttemptStatus::notConnected:
            return limedrum::Outcome::connectFailed;
        case AttemptStatus::connectionLost:
            return limedrum::Outcome::reset;
        case AttemptStatus::cancelled:
            return limedrum::Outcome::cancelled;
        case AttemptStatus::notSent:
            return limedrum::Outcome::notSent;
    }
    return limedrum::Outcome::error;
}

}  // namespace

SchedulerFacade::SchedulerFacade(limedrum::Settings settings, std::uint64_t seed, double nowMs,
                                 const NodeList& known)
    : scheduler_(std::move(settings), seed, nowMs) {
    (void)runScheduler(nowMs, listEvent(limedrum::NodeListKind::restored, known));
}

Actions SchedulerFacade::addRequest(double nowMs, const Request& r) {
    openRequests_.emplace(r.id, 0);
    return runScheduler(nowMs, limedrum::RequestEvent{r.id, r.classNo, r.planNo, r.piece, r.volume,
                                                      r.expiresMs, r.units, r.shard, r.hostsOfVolume});
}

Actions SchedulerFacade::handleEvent(double nowMs, const AttemptOutcome& o) {
    const bool first = o.status == AttemptStatus::served && openRequests_.erase(o.id) > 0;
    Actions todo =
        runScheduler(nowMs, limedrum::OutcomeEvent{.id = o.id,
                                                   .attempt = o.attempt,
                                                   .node = o.node,
                                                   .outcome = outcomeOf(o.status),
                                                   .durationMs = o.durationMs,
                                                   .requestFinished = !openRequests_.contains(o.id)});
    if (first) todo.answers.insert(todo.answers.begin(), {o.id, AnswerStatus::served, 0});
    return todo;
}

Actions SchedulerFacade::handleEvent(double nowMs, const RequestId& gone) {
    if (openRequests_.erase(gone) == 0) return {};
    return runScheduler(nowMs, limedrum::RequestAbandonedEvent{gone});
}

Actions SchedulerFacade::handleEvent(double nowMs, const NodeList& list) {
    return runScheduler(
        nowMs,
        listEvent(list.isSnapshot ? limedrum::NodeListKind::full : limedrum::NodeListKind::update, list));
}

Actions SchedulerFacade::handleEvent(double nowMs, const PeerMessage& message) {
    return runScheduler(nowMs, limedrum::PeerMessageEvent{message.peer, message.text});
}

Actions SchedulerFacade::handleEvent(double nowMs, const ShutdownSchedule& moments) {
    return runScheduler(nowMs, limedrum::ShutdownEvent{moments.firstAttemptUntilMs,
                                                       moments.furtherAttemptUntilMs, moments.answerByMs});
}

Actions SchedulerFacade::tick(double nowMs) {
    std::vector<limedrum::Event> due;
    while (!timers_.empty() && timers_.begin()->first <= nowMs) {
        due.push_back(limedrum::TimerFiredEvent{timers_.begin()->second});
        timers_.erase(timers_.begin());
    }
    return toActions(nowMs, scheduler_.handle(nowMs, due));
}

double SchedulerFacade::nextTickMs() const {
    return timers_.empty() ? std::numeric_limits<double>::infinity() : timers_.begin()->first;
}

std::vector<NodeStatus> SchedulerFacade::nodeStatuses() const {
    std::vector<NodeStatus> out;
    for (const limedrum::NodeStatus& seen : scheduler_.nodeStatuses()) {
        NodeStatus view{{}, seen.receivesNewWork, seen.unresponsive, seen.unitsPerSecond};
        view.node.id = seen.node;
        view.node.shard = seen.shard;
        view.node.state = seen.state == limedrum::NodeState::serving ? NodeState::ready : NodeState::draining;
        out.push_back(view);
    }
    return out;
}

Actions SchedulerFacade::runScheduler(double nowMs, limedrum::Event event) {
    return toActions(nowMs, scheduler_.handle(nowMs, std::span(&event, 1)));
}

Actions SchedulerFacade::toActions(double nowMs, const std::vector<limedrum::Action>& actions) {
    Actions todo;
    // Answers each request once, even if the scheduler returns further actions for it.
    const auto end = [&](const RequestId& id, AnswerStatus verdict, double retryAfterMs) {
        if (openRequests_.erase(id) > 0) todo.answers.push_back({id, verdict, retryAfterMs});
    };
    for (const limedrum::Action& action : actions) {
        if (const auto* send = std::get_if<limedrum::SendAttempt>(&action)) {
            const auto at = openRequests_.find(send->id);
            if (at != openRequests_.end())
                todo.attempts.push_back(
                    {send->id, at->second++, send->node, {send->timeoutMs, send->lastByteWithinMs}});
        } else if (const auto* cancel = std::get_if<limedrum::CancelAttempt>(&action)) {
            todo.cancellations.push_back({cancel->id, cancel->attempt});
        } else if (const auto* refuse = std::get_if<limedrum::RefuseRequest>(&action)) {
            end(refuse->id, AnswerStatus::refused, refuse->retryAfterMs);
        } else if (const auto* fail = std::get_if<limedrum::FailRequest>(&action)) {
            end(fail->id, AnswerStatus::failed, 0);
        } else if (const auto* timer = std::get_if<limedrum::SetTimer>(&action)) {
            timers_.emplace(nowMs + timer->afterMs, timer->token);
        } else if (auto* tell = std::get_if<limedrum::SendPeerMessage>(&action)) {
            todo.peerMessages.push_back({tell->peer, tell->text});
        } else if (const auto* log = std::get_if<limedrum::LogMessage>(&action)) {
            todo.logMessages.push_back(log->text);
        }
    }
    return todo;
}

}  // namespace martencove
