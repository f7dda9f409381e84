// Outcomes: learns from the outcomes of attempts and gives requests their final answers.
#include "scheduler_impl.h"

namespace limedrum {

void Scheduler::Impl::on(const OutcomeEvent& event) {
    const auto attemptIt = attempts_.find({event.id, event.attempt});
    if (attemptIt == attempts_.end()) return;
    const Attempt attempt = attemptIt->second;
    attempts_.erase(attemptIt);
    const bool outcomeUnknown = event.outcome == Outcome::timedOut || event.outcome == Outcome::reset ||
                                event.outcome == Outcome::cancelled;
    if (!attempt.orderingKey.empty())
        keyQueues_.attemptEnded(attempt.orderingKey, event.id,
                                outcomeUnknown ? now_ + settings_.rules.orderPauseMs : 0);
    const bool answered = event.outcome == Outcome::done || event.outcome == Outcome::error ||
                          event.outcome == Outcome::rejected;
    if (const auto nodeIt = fleet_.nodes.find(attempt.node); nodeIt != fleet_.nodes.end()) {
        Node& node = nodeIt->second;
        if (!attempt.presumedLost) node.removeAttempt(attempt.units);
        if (answered) {
            if (node.silentSinceMs > 0) {
                log("node " + std::to_string(attempt.node) + " answers again");
                if (now_ - node.silentSinceMs > kRestartSilenceFactor * kSilentAfterAims * tightestAimMs_)
                    node.suspectedRestartMs = now_;
                node.silentSinceMs = 0;
            }
            node.silenceCountsFromMs = now_;
            node.sendsSinceAnswer = 0;
            node.latestAnsweredSendMs = std::max(node.latestAnsweredSendMs, attempt.sentMs);
        } else if (((event.outcome == Outcome::timedOut && node.sendsSinceAnswer >= kMinSendsForSilence) ||
                    event.outcome == Outcome::connectFailed) &&
                   node.state == NodeState::serving && node.silenceCountsFromMs <= attempt.sentMs &&
                   node.silentSinceMs <= 0) {
            node.silentSinceMs = attempt.sentMs;
        }
        if (event.outcome == Outcome::rejected) markOverloaded(node);
        // If the node has answered an attempt that was sent later, it has served this one too and only the
        // answer was lost.
        if (outcomeUnknown && node.latestAnsweredSendMs > attempt.sentMs)
            fleet_.cellForUpdate(attempt.cell).currentRound.servedUnits += attempt.units;
        if (event.outcome == Outcome::done && attempt.units > 0) {
            const double durationMs = finiteOr(event.durationMs, 0);
            if (node.usualMsPerUnit <= 0) node.usualMsPerUnit = durationMs / attempt.units;
            const double delayMs = durationMs - attempt.units * node.usualMsPerUnit;
            const double weight = std::clamp((now_ - node.lastDelaySampleMs) / kDelayEwmaFullWeightMs,
                                             kDelayEwmaMinWeight, 1.0);
            node.lastDelaySampleMs = now_;
            node.smoothedDelayMs += weight * (std::max(0.0, delayMs) - node.smoothedDelayMs);
            if (node.smoothedDelayMs > kOverloadDelayAimFraction * tightestAimMs_)
                markOverloaded(node);
            else
                node.localOverloadUntilMs =
                    std::min(node.localOverloadUntilMs, node.lastOverloadSignMs + kOverloadHoldMs);
            if (!isOverloaded(node))
                node.usualMsPerUnit *=
                    1 + kUnitTimeQuantileStep * (delayMs > 0 ? kUnitTimeQuantile : kUnitTimeQuantile - 1);
            fleet_.cellForUpdate(attempt.cell).currentRound.servedUnits += attempt.units;
            if (observesOverload(node))
                fleet_.cellForUpdate(attempt.cell).currentRound.overloadUnits += attempt.units;
        }
    }
    if (const auto volumeIt = volumes_.find(attempt.volume); volumeIt != volumes_.end()) {
        if (event.outcome == Outcome::done) volumeIt->second.servedViaThisHost += attempt.units;
        volumeIt->second.servedViaOtherHosts +=
            std::clamp(finiteOr(event.unitsViaOtherHosts, 0), 0.0, kMaxPlausibleUnits);
    }
    const auto requestIt = requests_.find(event.id);
    if (requestIt == requests_.end()) return sendQueued(attempt.cell);
    Request& request = requestIt->second;
    --request.attemptsInFlight;
    if (outcomeUnknown || event.outcome == Outcome::error)
        request.earliestPossibleRunMs = std::min(request.earliestPossibleRunMs, attempt.sentMs);
    if (event.requestFinished || event.outcome == Outcome::done) {
        eraseRequest(event.id);
    } else if (request.attemptsInFlight == 0) {
        request.notBeforeMs = now_ + (request.cancelPending ? 0 : kRetryDelayAimFraction * tightestAimMs_);
        request.cancelPending = false;
        const bool pointless = event.outcome == Outcome::notSent || event.outcome == Outcome::timedOut ||
                               request.streaming ||
                               request.notBeforeMs >= request.spec.expiresMs - settings_.tickMs ||
                               request.notBeforeMs > shutdown_.furtherAttemptUntilMs;
        const bool exhausted =
            pointless || !mayRepeat(request, request.earliestPossibleRunMs) || !retryBudgetAllows();
        if (exhausted) return refuseOrFail(event.id, notRepeated), sendQueued(attempt.cell);
        if (const auto nodeIt = fleet_.nodes.find(attempt.node); nodeIt != fleet_.nodes.end())
            request.cell = route(request, &nodeIt->second, false);
        fleet_.enqueue(request);
        if (request.cell != attempt.cell) sendQueued(request.cell);
    }
    sendQueued(attempt.cell);
}

void Scheduler::Impl::on(const StreamStartedEvent& event) {
    const auto requestIt = requests_.find(event.id);
    if (requestIt == requests_.end()) return;
    requestIt->second.streaming = true;  // a started stream has no deadline
    requestChecks_.erase({requestIt->second.nextCheckMs, event.id});
}

void Scheduler::Impl::on(const RequestAbandonedEvent& event) { eraseRequest(event.id); }

void Scheduler::Impl::refuseOrFail(const RequestId& id, UnservedCause cause) {
    const auto requestIt = requests_.find(id);
    if (requestIt == requests_.end()) return;
    const Request& request = requestIt->second;
    unservedThisRound_.unitsByCause[cause] += request.spec.units;
    const ClassSettings& classSettings = classOf(request);
    const bool safeToRepeat = classSettings.idempotency == Idempotency::idempotent ||
                              (request.attemptsInFlight == 0 && request.earliestPossibleRunMs == kNever) ||
                              (classSettings.idempotency == Idempotency::deduplicated &&
                               classSettings.dedupScope == DedupScope::all);
    // The client can retry soon enough to be answered in time. If no node answers, it waits as long as
    // permitted.
    const Node* node = servingNode(fleet_.cellForUpdate(request.cell));
    const double retryAfterMs =
        node == nullptr || node->silentSinceMs > 0 ? settings_.maxRetryAfterMs : kRefusalRetryAfterMs;
    if (safeToRepeat)
        actions_.push_back(RefuseRequest{id, std::min(retryAfterMs, settings_.maxRetryAfterMs)});
    else
        actions_.push_back(FailRequest{id});
    eraseRequest(id);
}

void Scheduler::Impl::eraseRequest(const RequestId& id) {
    const auto requestIt = requests_.find(id);
    if (requestIt == requests_.end()) return;
    Request& request = requestIt->second;
    fleet_.dequeue(request);
    if (settings_.mayCancel && request.attemptsInFlight > 0 && !request.streaming) {
        for (auto attemptIt = attempts_.lower_bound({id, 0});
             attemptIt != attempts_.end() && attemptIt->first.first == id; ++attemptIt)
            actions_.push_back(CancelAttempt{id, attemptIt->first.second});
    }
    requestChecks_.erase({request.nextCheckMs, id});
    if (isOrdered(request)) keyQueues_.requestFinished(request.spec.key, id);
    requests_.erase(requestIt);
}

}  // namespace limedrum
