// Failure detection: finds silent nodes and lost attempts.
#include "scheduler_impl.h"

namespace limedrum {

void Scheduler::Impl::detectSilence(Node& node) {
    if (node.silentSinceMs > 0 || node.attemptsInFlight == 0 || node.sendsSinceAnswer < kMinSendsForSilence ||
        now_ - node.silenceCountsFromMs < kSilentAfterAims * tightestAimMs_)
        return;
    node.silentSinceMs = std::max(node.silenceCountsFromMs, 1.0);
    node.lastTrialAttemptMs = now_;
    log("node " + std::to_string(node.id) + " answers nothing");
    if (node.weight <= 0) return;
    // Other holders of the shard may answer the attempts in flight.
    for (const auto& [id, attempt] : attempts_)
        if (attempt.node == node.id) cancelForRetry(id, attempt, node, tightestAimMs_);
}

double Scheduler::Impl::lossTimeoutMs(const Node& node, double units) const {
    return std::max(kLossTimeoutMinAims * tightestAimMs_,
                    kLossTimeoutAnswerTimes * (node.usualMsPerUnit * units + node.smoothedDelayMs));
}

void Scheduler::Impl::detectLostAttempts() {
    while (!attemptChecks_.empty() && attemptChecks_.begin()->first <= now_) {
        const AttemptId id = attemptChecks_.begin()->second;
        attemptChecks_.erase(attemptChecks_.begin());
        const auto attemptIt = attempts_.find(id);
        if (attemptIt == attempts_.end()) continue;
        Attempt& attempt = attemptIt->second;
        const auto nodeIt = fleet_.nodes.find(attempt.node);
        if (nodeIt == fleet_.nodes.end()) continue;
        Node& node = nodeIt->second;
        const double timeoutMs = lossTimeoutMs(node, attempt.units);
        // Not lost yet if no attempt that was sent well later has been answered.
        if (node.latestAnsweredSendMs <= attempt.sentMs + timeoutMs / 2) {
            attemptChecks_.emplace(now_ + timeoutMs / 2, id);
            continue;
        }
        if (!attempt.presumedLost) node.removeAttempt(attempt.units);
        attempt.presumedLost = true;
        cancelForRetry(id, attempt, node, timeoutMs / 2);
    }
}

void Scheduler::Impl::cancelForRetry(const AttemptId& id, const Attempt& attempt, const Node& node,
                                     double neededMs) {
    const auto requestIt = requests_.find(id.first);
    if (!settings_.mayCancel || requestIt == requests_.end()) return;
    Request& request = requestIt->second;
    const bool worthwhile = !request.streaming && now_ + neededMs < request.spec.expiresMs &&
                            now_ <= shutdown_.furtherAttemptUntilMs &&
                            servingNode(fleet_.cellForUpdate(request.cell)) == &node &&
                            !request.cancelPending;
    if (!worthwhile || !mayRepeat(request, std::min(request.earliestPossibleRunMs, attempt.sentMs)) ||
        !retryBudgetAllows())
        return;
    request.cancelPending = true;
    actions_.push_back(CancelAttempt{id.first, id.second});
}

}  // namespace limedrum
