// Outcomes: learns from the outcomes of attempts and gives requests their final answers.
#include "scheduler_impl.h"

namespace limedrum {

void Scheduler::Impl::on(const OutcomeEvent& event) {
    const auto at = attempts_.find({event.id, event.attempt});
    if (at == attempts_.end()) return;
    const Attempt flight = at->second;
    attempts_.erase(at);
    const bool unsure = event.outcome == Outcome::timedOut || event.outcome == Outcome::reset ||
                        event.outcome == Outcome::cancelled;
    if (!flight.orderingKey.empty())
        keyQueues_.attemptEnded(flight.orderingKey, event.id,
                                unsure ? now_ + settings_.rules.orderPauseMs : 0);
    const bool answered = event.outcome == Outcome::done || event.outcome == Outcome::error ||
                          event.outcome == Outcome::rejected;
    if (const auto nodeAt = fleet_.nodes.find(flight.node); nodeAt != fleet_.nodes.end()) {
        Node& n = nodeAt->second;
        if (!flight.presumedLost) n.removeAttempt(flight.units);
        if (answered) {
            if (n.silentSinceMs > 0) {
                log("node " + std::to_string(flight.node) + " answers again");
                if (now_ - n.silentSinceMs > kRestartSilenceFactor * kSilentAfterAims * tightestAimMs_)
                    n.suspectedRestartMs = now_;
                n.silentSinceMs = 0;
            }
            n.lastHeardMs = now_;
            n.sendsSinceAnswer = 0;
            n.latestAnsweredSendMs = std::max(n.latestAnsweredSendMs, flight.sentMs);
        } else if (((event.outcome == Outcome::timedOut && n.sendsSinceAnswer >= kMinSendsForSilence) ||
                    event.outcome == Outcome::connectFailed) &&
                   n.state == NodeState::serving && n.lastHeardMs <= flight.sentMs && n.silentSinceMs <= 0) {
            n.silentSinceMs = flight.sentMs;
        }
        if (event.outcome == Outcome::rejected) markOverloaded(n);
        // If the node has answered an attempt that was sent later, it has served this one too and only the
        // answer was lost.
        if (unsure && n.latestAnsweredSendMs > flight.sentMs)
            fleet_.cellForUpdate(flight.cell).currentRound.servedUnits += flight.units;
        if (event.outcome == Outcome::done && flight.units > 0) {
            const double took = finiteOr(event.durationMs, 0);
            if (n.usualMsPerUnit <= 0) n.usualMsPerUnit = took / flight.units;
            const double over = took - flight.units * n.usualMsPerUnit;
            const double gain =
                std::clamp((now_ - n.delayMeasuredMs) / kDelayEwmaFullWeightMs, kDelayEwmaMinWeight, 1.0);
            n.delayMeasuredMs = now_;
            n.smoothedDelayMs += gain * (std::max(0.0, over) - n.smoothedDelayMs);
            if (n.smoothedDelayMs > kOverloadDelayAimFraction * tightestAimMs_)
                markOverloaded(n);
            else
                n.localOverloadUntilMs =
                    std::min(n.localOverloadUntilMs, n.lastOverloadSignMs + kOverloadHoldMs);
            if (!isOverloaded(n))
                n.usualMsPerUnit *=
                    1 + kUnitTimeQuantileStep * (over > 0 ? kUnitTimeQuantile : kUnitTimeQuantile - 1);
            fleet_.cellForUpdate(flight.cell).currentRound.servedUnits += flight.units;
            if (observesOverload(n))
                fleet_.cellForUpdate(flight.cell).currentRound.overloadUnits += flight.units;
        }
    }
    if (const auto v = volumes_.find(flight.volume); v != volumes_.end()) {
        if (event.outcome == Outcome::done) v->second.servedViaThisHost += flight.units;
        v->second.servedViaOtherHosts +=
            std::clamp(finiteOr(event.unitsViaOtherHosts, 0), 0.0, kMaxPlausibleUnits);
    }
    const auto held = requests_.find(event.id);
    if (held == requests_.end()) return sendQueued(flight.cell);
    Request& r = held->second;
    --r.attemptsInFlight;
    if (unsure || event.outcome == Outcome::error)
        r.mayHaveRunSinceMs = std::min(r.mayHaveRunSinceMs, flight.sentMs);
    if (event.requestFinished || event.outcome == Outcome::done) {
        eraseRequest(event.id);
    } else if (r.attemptsInFlight == 0) {
        r.notBeforeMs = now_ + (r.cancelPending ? 0 : kRetryDelayAimFraction * tightestAimMs_);
        r.cancelPending = false;
        const bool pointless = event.outcome == Outcome::notSent || event.outcome == Outcome::timedOut ||
                               r.streaming || r.notBeforeMs >= r.spec.expiresMs - settings_.tickMs ||
                               r.notBeforeMs > shutdown_.furtherAttemptUntilMs;
        const bool over = pointless || !mayRepeat(r, r.mayHaveRunSinceMs) || !retryBudgetAllows();
        if (over) return refuseOrFail(event.id, retriesExhausted), sendQueued(flight.cell);
        if (const auto at = fleet_.nodes.find(flight.node); at != fleet_.nodes.end())
            r.cell = route(r, &at->second, false);
        fleet_.enqueue(r);
        if (r.cell != flight.cell) sendQueued(r.cell);
    }
    sendQueued(flight.cell);
}

void Scheduler::Impl::on(const StreamStartedEvent& event) {
    const auto at = requests_.find(event.id);
    if (at == requests_.end()) return;
    at->second.streaming = true;  // a started stream has no deadline
    requestChecks_.erase({at->second.nextCheckMs, event.id});
}

void Scheduler::Impl::on(const RequestAbandonedEvent& event) { eraseRequest(event.id); }

void Scheduler::Impl::refuseOrFail(const RequestId& id, UnservedCause cause) {
    const auto at = requests_.find(id);
    if (at == requests_.end()) return;
    const Request& r = at->second;
    unservedThisRound_.unitsByCause[cause] += r.spec.units;
    const ClassSettings& cls = classOf(r);
    const bool harmless = cls.idempotency == Idempotency::idempotent ||
                          (r.attemptsInFlight == 0 && r.mayHaveRunSinceMs == kNever) ||
                          (cls.idempotency == Idempotency::deduplicated && cls.dedupScope == DedupScope::all);
    // The client can retry soon enough to be answered in time. If no node answers, it waits as long as
    // permitted.
    const Node* n = servingNode(fleet_.cellForUpdate(r.cell));
    const double backMs =
        n == nullptr || n->silentSinceMs > 0 ? settings_.maxRetryAfterMs : kRefusalRetryAfterMs;
    if (harmless)
        actions_.push_back(RefuseRequest{id, std::min(backMs, settings_.maxRetryAfterMs)});
    else
        actions_.push_back(FailRequest{id});
    eraseRequest(id);
}

void Scheduler::Impl::eraseRequest(const RequestId& id) {
    const auto at = requests_.find(id);
    if (at == requests_.end()) return;
    Request& r = at->second;
    fleet_.dequeue(r);
    if (settings_.mayCancel && r.attemptsInFlight > 0 && !r.streaming) {
        for (auto f = attempts_.lower_bound({id, 0}); f != attempts_.end() && f->first.first == id; ++f)
            actions_.push_back(CancelAttempt{id, f->first.second});
    }
    requestChecks_.erase({r.nextCheckMs, id});
    if (isOrdered(r)) keyQueues_.requestFinished(r.spec.key, id);
    requests_.erase(at);
}

}  // namespace limedrum
