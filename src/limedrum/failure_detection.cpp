// Failure detection: finds silent nodes and lost attempts.
#include "scheduler_impl.h"

namespace limedrum {

void Scheduler::Impl::detectSilence(Node& n) {
    if (n.silentSinceMs > 0 || n.attemptsInFlight == 0 || n.sendsSinceAnswer < kMinSendsForSilence ||
        now_ - n.lastHeardMs < kSilentAfterAims * tightestAimMs_)
        return;
    n.silentSinceMs = std::max(n.lastHeardMs, 1.0);
    n.lastTrickleMs = now_;
    log("node " + std::to_string(n.id) + " answers nothing");
    if (n.weight <= 0) return;
    for (const auto& [id, f] : attempts_)  // another holder may answer them
        if (f.node == n.id) cancelForRetry(id, f, n, tightestAimMs_);
}

double Scheduler::Impl::lossTimeoutMs(const Node& n, double units) const {
    return std::max(kLossTimeoutMinAims * tightestAimMs_,
                    kLossTimeoutAnswerTimes * (n.usualMsPerUnit * units + n.smoothedDelayMs));
}

void Scheduler::Impl::detectLostAttempts() {
    while (!attemptChecks_.empty() && attemptChecks_.begin()->first <= now_) {
        const AttemptId id = attemptChecks_.begin()->second;
        attemptChecks_.erase(attemptChecks_.begin());
        const auto at = attempts_.find(id);
        if (at == attempts_.end()) continue;
        Attempt& f = at->second;
        const auto node = fleet_.nodes.find(f.node);
        if (node == fleet_.nodes.end()) continue;
        Node& n = node->second;
        const double wait = lossTimeoutMs(n, f.units);
        if (n.latestAnsweredSendMs <= f.sentMs + wait / 2) {  // nothing sent well later is answered
            attemptChecks_.emplace(now_ + wait / 2, id);
            continue;
        }
        if (!f.presumedLost) n.removeAttempt(f.units);
        f.presumedLost = true;
        cancelForRetry(id, f, n, wait / 2);
    }
}

void Scheduler::Impl::cancelForRetry(const AttemptId& id, const Attempt& f, const Node& n, double neededMs) {
    const auto held = requests_.find(id.first);
    if (!settings_.mayCancel || held == requests_.end()) return;
    Request& r = held->second;
    const bool worth = !r.streaming && now_ + neededMs < r.spec.expiresMs &&
                       now_ <= shutdown_.furtherAttemptUntilMs &&
                       servingNode(fleet_.cellForUpdate(r.cell)) == &n && !r.cancelPending;
    if (!worth || !mayRepeat(r, std::min(r.mayHaveRunSinceMs, f.sentMs)) || !retryBudgetAllows()) return;
    r.cancelPending = true;
    actions_.push_back(CancelAttempt{id.first, id.second});
}

}  // namespace limedrum
