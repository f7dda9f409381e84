// Divides the drain grace among the steps between a node's leaving and the last first byte sent to it. Pure
// computation: reads no clock and does no I/O.
//
// Where the list of nodes is pushed to an agent on this machine, the platform counts a change as known to
// this host once the agent has it, even if the pending call to the agent is never answered. The drain grace
// runs from that moment. In the worst case it is spent on these steps:
//
//     unanswered call        begun just before the change: the long poll and the answer timeout
//     retries                for each failed call, the retry delay and the answer timeout
//     event loop turns       the answer is read, decoded and passed to the scheduler
//     attempts               no time: attempts of which no byte was sent are cancelled in the same turn
//
// Each step has a share of its own. The rest of the grace is a margin for delays that are not modelled.
#pragma once

#include <algorithm>

namespace martencove {

/// Shares of the drain grace where the list is pushed to an agent on this machine, in ms.
struct DrainGraceBudget {
    double totalMs = 0;          ///< the drain grace of the settings
    double longPollMs = 0;       ///< how long the agent may hold a call when there are no changes
    double answerTimeoutMs = 0;  ///< how much later the answer may end before the call fails
    double maxRetryDelayMs = 0;  ///< upper bound between a failed call and the next one
    double loopTurnMs = 0;       ///< event loop time from the answer to the last cancelled attempt

    /// Returns the time from the change to the last cancelled attempt if `furtherFailures` more calls fail
    /// after the unanswered one.
    [[nodiscard]] double worstCaseMs(int furtherFailures) const {
        return longPollMs + answerTimeoutMs + (furtherFailures + 1) * (maxRetryDelayMs + answerTimeoutMs) +
               loopTurnMs;
    }
    /// Returns how many more calls may fail within the grace, at most kMaxToleratedFailures; -1 if the grace
    /// is too short even for the first call after the unanswered one.
    [[nodiscard]] int toleratedFailures() const {
        int failures = -1;
        while (failures < kMaxToleratedFailures && worstCaseMs(failures + 1) <= totalMs) ++failures;
        return failures;
    }
    static constexpr int kMaxToleratedFailures = 100;
};

/// Divides the drain grace of a list that is pushed to an agent. The answer timeout is at least
/// `minAnswerTimeoutMs`, the time in which an agent that has an answer delivers it.
[[nodiscard]] inline DrainGraceBudget divideDrainGrace(double graceMs, double minAnswerTimeoutMs) {
    DrainGraceBudget budget;
    budget.totalMs = graceMs;
    budget.longPollMs = graceMs * 0.15;
    budget.answerTimeoutMs = std::max(graceMs * 0.1, minAnswerTimeoutMs);
    budget.maxRetryDelayMs = graceMs * 0.05;
    budget.loopTurnMs = graceMs * 0.1;
    return budget;
}

/// Shares of the time that a change may take where one service serves the list to all hosts, in ms.
///
/// A change counts as known to this host a fixed time, the list propagation time, after the service had it
/// and was reachable, whether calls failed, were refused or stayed unanswered meanwhile. The drain grace
/// begins then. In the worst case both times together are spent on these steps:
///
///     unanswered call      begun just before the change: the long poll and the answer timeout
///     next call            a short delay; the remaining time is for its answer
///     event loop turns
///
/// The service handles calls in turn, and a call that is given up while it waits still costs its turn. When
/// calls were given up early and retried soon, 30 hosts kept the service full and some of them received no
/// list for 20 s. Therefore a call may be late by as much as the protocol allows, and all retry delays grow
/// except the one after an unanswered call.
struct OnRequestListBudget {
    double totalMs = 0;     ///< the list propagation time and the drain grace
    double longPollMs = 0;  ///< how long the service may hold a call when there are no changes
    /// How much later the answer may end before the call fails; also the timeout of a connect.
    double answerTimeoutMs = 0;
    double maxDelayAfterTimeoutMs = 0;  ///< upper bound before the call that follows an unanswered one
    double maxRetryDelayMs = 0;         ///< upper bound before the call that follows any other failure
    double loopTurnMs = 0;              ///< event loop time

    /// Returns the time left for the answer of the call that follows an unanswered one.
    [[nodiscard]] double remainingAnswerMs() const {
        return totalMs - longPollMs - answerTimeoutMs - maxDelayAfterTimeoutMs - loopTurnMs;
    }
    /// Returns the worst case from the moment when the service is reachable again: a retry delay that began
    /// just before, then a call that takes the whole answer timeout.
    [[nodiscard]] double worstCaseAfterReturnMs() const {
        return maxRetryDelayMs + answerTimeoutMs + loopTurnMs;
    }
};

/// Divides the list propagation time `propagationMs` and the drain grace `graceMs`. `answerTimeoutMs` is the
/// answer timeout that the protocol allows. The 60 % for the retry delay limit worstCaseAfterReturnMs() and
/// do not add to the other shares.
[[nodiscard]] inline OnRequestListBudget divideOnRequestListTime(double propagationMs, double graceMs,
                                                                 double answerTimeoutMs) {
    const double totalMs = propagationMs + graceMs;
    return {totalMs, totalMs * 0.42, answerTimeoutMs, totalMs * 0.07, totalMs * 0.6, totalMs * 0.05};
}

}  // namespace martencove
