// Outcomes of attempts, and the final answers of requests.
#include "scheduler_impl.h"

namespace limedrum {

void Scheduler::Impl::on(const OutcomeEvent& event) {
    const auto at = flights_.find({event.id, event.attempt});
    if (at == flights_.end()) return;
    const Flight flight = at->second;
    flights_.erase(at);
    const bool unsure = event.outcome == Outcome::timedOut || event.outcome == Outcome::reset ||
                        event.outcome == Outcome::cancelled;
    if (!flight.key.empty()) lanes_.ended(flight.key, event.id, unsure ? now_ + set_.rules.orderPauseMs : 0);
    const bool answered =
        event.outcome == Outcome::done || event.outcome == Outcome::error || event.outcome == Outcome::full;
    if (const auto nodeAt = fleet_.nodes.find(flight.node); nodeAt != fleet_.nodes.end()) {
        Node& n = nodeAt->second;
        if (!flight.lost) n.leave(flight.units);
        if (answered) {
            if (n.silentSinceMs > 0) {
                say("node " + std::to_string(flight.node) + " answers again");
                if (now_ - n.silentSinceMs > kLongSilence * kSilentAims * aimMs_) n.doubtedMs = now_;
                n.silentSinceMs = 0;
            }
            n.heardMs = now_;
            n.unheard = 0;
            n.answeredSentMs = std::max(n.answeredSentMs, flight.sentMs);
        } else if (((event.outcome == Outcome::timedOut && n.unheard >= kSilentSends) ||
                    event.outcome == Outcome::connectFailed) &&
                   n.state == NodeState::serving && n.heardMs <= flight.sentMs && n.silentSinceMs <= 0) {
            n.silentSinceMs = flight.sentMs;
        }
        if (event.outcome == Outcome::full) press(n);
        // The node did the work of an answer that was lost: it has answered what was sent later.
        if (unsure && n.answeredSentMs > flight.sentMs) fleet_.touch(flight.cell).now.served += flight.units;
        if (event.outcome == Outcome::done && flight.units > 0) {
            const double took = finiteOr(event.tookMs, 0);
            if (n.unitMs <= 0) n.unitMs = took / flight.units;
            const double over = took - flight.units * n.unitMs;
            const double gain = std::clamp((now_ - n.timedMs) / kDelayMs, kDelayGain, 1.0);
            n.timedMs = now_;
            n.delayMs += gain * (std::max(0.0, over) - n.delayMs);
            if (n.delayMs > kPressAimPart * aimMs_)
                press(n);
            else
                n.pressedUntilMs = std::min(n.pressedUntilMs, n.signMs + kPressHoldMs);
            if (!pressed(n)) n.unitMs *= 1 + kUsualStep * (over > 0 ? kUsualQuantile : kUsualQuantile - 1);
            fleet_.touch(flight.cell).now.served += flight.units;
            if (feltPressed(n)) fleet_.touch(flight.cell).now.pressed += flight.units;
        }
    }
    if (const auto v = volumes_.find(flight.volume); v != volumes_.end()) {
        if (event.outcome == Outcome::done) v->second.own += flight.units;
        v->second.others += std::clamp(finiteOr(event.unitsElsewhere, 0), 0.0, kAbsurd);
    }
    const auto held = requests_.find(event.id);
    if (held == requests_.end()) return pump(flight.cell);
    Request& r = held->second;
    --r.out;
    if (unsure || event.outcome == Outcome::error) r.ranMs = std::min(r.ranMs, flight.sentMs);
    if (event.last || event.outcome == Outcome::done) {
        forget(event.id);
    } else if (r.out == 0) {
        r.notBeforeMs = now_ + (r.givenUp ? 0 : kRetryAimPart * aimMs_);
        r.givenUp = false;
        const bool pointless = event.outcome == Outcome::moot || event.outcome == Outcome::timedOut ||
                               r.streaming || r.notBeforeMs >= r.told.expiresMs - set_.tickMs ||
                               r.notBeforeMs > shutdown_.furtherAttemptUntilMs;
        const bool over = pointless || !mayRepeat(r, r.ranMs) || !budgetAllows();
        if (over) return finish(event.id, retrySpent), pump(flight.cell);
        if (const auto at = fleet_.nodes.find(flight.node); at != fleet_.nodes.end())
            r.cell = route(r, &at->second, false);
        fleet_.enqueue(r);
        if (r.cell != flight.cell) pump(r.cell);
    }
    pump(flight.cell);
}

void Scheduler::Impl::on(const StreamStartedEvent& event) {
    const auto at = requests_.find(event.id);
    if (at == requests_.end()) return;
    at->second.streaming = true;  // from here on it has no deadline
    expiries_.erase({at->second.lookMs, event.id});
}

void Scheduler::Impl::on(const AbandonedEvent& event) { forget(event.id); }

void Scheduler::Impl::finish(const RequestId& id, Cause cause) {
    const auto at = requests_.find(id);
    if (at == requests_.end()) return;
    const Request& r = at->second;
    turnedAway_.units[cause] += r.told.units;
    const ClassSettings& cls = classOf(r);
    const bool harmless = cls.repeat == Repeat::safe || (r.out == 0 && r.ranMs == kNever) ||
                          (cls.repeat == Repeat::keyed && cls.group == RepeatGroup::all);
    // Soon enough to be in time still; where nobody answers, as late as a client will come.
    const Node* n = nodeOf(fleet_.touch(r.cell));
    const double backMs = n == nullptr || n->silentSinceMs > 0 ? set_.maxRetryAfterMs : kComeBackMs;
    if (harmless)
        actions_.push_back(Refuse{id, std::min(backMs, set_.maxRetryAfterMs)});
    else
        actions_.push_back(Fail{id});
    forget(id);
}

void Scheduler::Impl::forget(const RequestId& id) {
    const auto at = requests_.find(id);
    if (at == requests_.end()) return;
    Request& r = at->second;
    fleet_.dequeue(r);
    if (set_.mayCancel && r.out > 0 && !r.streaming) {
        for (auto f = flights_.lower_bound({id, 0}); f != flights_.end() && f->first.first == id; ++f)
            actions_.push_back(Cancel{id, f->first.second});
    }
    expiries_.erase({r.lookMs, id});
    if (ordered(r)) lanes_.finished(r.told.key, id);
    requests_.erase(at);
}

}  // namespace limedrum
