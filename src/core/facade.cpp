#include "core/facade.h"

#include <limits>
#include <span>

namespace martencove {
namespace {

limedrum::NodeListEvent toNodeListEvent(limedrum::NodeListKind kind, const NodeList& list) {
    limedrum::NodeListEvent event{kind, {}};
    for (const NodeEntry& node : list.nodes) {
        const auto state = node.state == NodeState::ready      ? limedrum::NodeState::serving
                           : node.state == NodeState::draining ? limedrum::NodeState::draining
                                                               : limedrum::NodeState::gone;
        event.entries.push_back({node.id, node.zone, node.shard, state, node.bootTimeMs, node.weight});
    }
    return event;
}

limedrum::Outcome toSchedulerOutcome(AttemptStatus status) {
    switch (status) {
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
    (void)runScheduler(nowMs, toNodeListEvent(limedrum::NodeListKind::restored, known));
}

Actions SchedulerFacade::addRequest(double nowMs, const Request& request) {
    openRequests_.emplace(request.id, 0);
    return runScheduler(nowMs, limedrum::RequestEvent{request.id, request.classNo, request.planNo,
                                                      request.piece, request.volume, request.expiresMs,
                                                      request.units, request.shard, request.hostsOfVolume});
}

Actions SchedulerFacade::handleEvent(double nowMs, const AttemptOutcome& outcome) {
    const bool answersRequest =
        outcome.status == AttemptStatus::served && openRequests_.erase(outcome.id) > 0;
    Actions actions =
        runScheduler(nowMs, limedrum::OutcomeEvent{.id = outcome.id,
                                                   .attempt = outcome.attempt,
                                                   .node = outcome.node,
                                                   .outcome = toSchedulerOutcome(outcome.status),
                                                   .durationMs = outcome.durationMs,
                                                   .requestFinished = !openRequests_.contains(outcome.id)});
    if (answersRequest)
        actions.answers.insert(actions.answers.begin(), {outcome.id, AnswerStatus::served, 0});
    return actions;
}

Actions SchedulerFacade::handleEvent(double nowMs, const RequestId& id) {
    if (openRequests_.erase(id) == 0) return {};
    return runScheduler(nowMs, limedrum::RequestAbandonedEvent{id});
}

Actions SchedulerFacade::handleEvent(double nowMs, const NodeList& list) {
    return runScheduler(
        nowMs, toNodeListEvent(
                   list.isSnapshot ? limedrum::NodeListKind::full : limedrum::NodeListKind::update, list));
}

Actions SchedulerFacade::handleEvent(double nowMs, const PeerMessage& message) {
    return runScheduler(nowMs, limedrum::PeerMessageEvent{message.peer, message.text});
}

Actions SchedulerFacade::handleEvent(double nowMs, const ShutdownSchedule& schedule) {
    return runScheduler(nowMs, limedrum::ShutdownEvent{schedule.firstAttemptUntilMs,
                                                       schedule.furtherAttemptUntilMs, schedule.answerByMs});
}

Actions SchedulerFacade::tick(double nowMs) {
    std::vector<limedrum::Event> dueEvents;
    while (!timers_.empty() && timers_.begin()->first <= nowMs) {
        dueEvents.push_back(limedrum::TimerFiredEvent{timers_.begin()->second});
        timers_.erase(timers_.begin());
    }
    return toActions(nowMs, scheduler_.handle(nowMs, dueEvents));
}

double SchedulerFacade::nextTickMs() const {
    return timers_.empty() ? std::numeric_limits<double>::infinity() : timers_.begin()->first;
}

std::vector<NodeStatus> SchedulerFacade::nodeStatuses() const {
    std::vector<NodeStatus> statuses;
    for (const limedrum::NodeStatus& schedulerStatus : scheduler_.nodeStatuses()) {
        NodeStatus status{{},
                          schedulerStatus.receivesNewWork,
                          schedulerStatus.unresponsive,
                          schedulerStatus.unitsPerSecond};
        status.node.id = schedulerStatus.node;
        status.node.shard = schedulerStatus.shard;
        status.node.state =
            schedulerStatus.state == limedrum::NodeState::serving ? NodeState::ready : NodeState::draining;
        statuses.push_back(status);
    }
    return statuses;
}

Actions SchedulerFacade::runScheduler(double nowMs, limedrum::Event event) {
    return toActions(nowMs, scheduler_.handle(nowMs, std::span(&event, 1)));
}

Actions SchedulerFacade::toActions(double nowMs, const std::vector<limedrum::Action>& actions) {
    Actions result;
    // Answers each request once, even if the scheduler returns further actions for it.
    const auto addFinalAnswer = [&](const RequestId& id, AnswerStatus status, double retryAfterMs) {
        if (openRequests_.erase(id) > 0) result.answers.push_back({id, status, retryAfterMs});
    };
    for (const limedrum::Action& action : actions) {
        if (const auto* send = std::get_if<limedrum::SendAttempt>(&action)) {
            const auto it = openRequests_.find(send->id);
            if (it != openRequests_.end())
                result.attempts.push_back(
                    {send->id, it->second++, send->node, {send->timeoutMs, send->lastByteWithinMs}});
        } else if (const auto* cancel = std::get_if<limedrum::CancelAttempt>(&action)) {
            result.cancellations.push_back({cancel->id, cancel->attempt});
        } else if (const auto* refuse = std::get_if<limedrum::RefuseRequest>(&action)) {
            addFinalAnswer(refuse->id, AnswerStatus::refused, refuse->retryAfterMs);
        } else if (const auto* fail = std::get_if<limedrum::FailRequest>(&action)) {
            addFinalAnswer(fail->id, AnswerStatus::failed, 0);
        } else if (const auto* timer = std::get_if<limedrum::SetTimer>(&action)) {
            timers_.emplace(nowMs + timer->afterMs, timer->token);
        } else if (auto* peerMessage = std::get_if<limedrum::SendPeerMessage>(&action)) {
            result.peerMessages.push_back({peerMessage->peer, peerMessage->text});
        } else if (const auto* log = std::get_if<limedrum::LogMessage>(&action)) {
            result.logMessages.push_back(log->text);
        }
    }
    return result;
}

}  // namespace martencove
