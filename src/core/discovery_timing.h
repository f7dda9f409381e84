// The one grace between word of a server's leaving and the last first byte to it, and how the stages on that
// path divide it. Decides only: figures in, figures out.
//
// Where lists are pushed to an agent on this machine, what the agent holds counts as told, though the call
// that is out may never be answered. From then on this passes, at the worst:
//
//     the silent call        begun just before: it may be held, and its answer late by as much as is allowed
//     its rest, next call    as often as calls fail one after the other, each with a rest before it
//     turns of the loop      that call's answer read, decoded and in the module
//     attempts out           nothing: all of which no byte has left are taken back in the turn that learns
//
// No stage has more than its own part, and what is not given out stays for what no figure covers.
#pragma once

#include <algorithm>

namespace martencove {

struct DrainGraceBudget {
    double totalMs = 0;          ///< the settings' own figure
    double longPollMs = 0;       ///< the agent may hold a call that waits for news
    double answerTimeoutMs = 0;  ///< and answer later by so much: then the call is given up
    double maxRetryDelayMs = 0;  ///< at most, between a call that failed and the next
    double loopTurnMs = 0;       ///< the loop, from the answer to the last attempt taken back

    /// From the change to the end, where so many further calls fail after the silent one.
    [[nodiscard]] double worstCaseMs(int furtherFailed) const {
        return longPollMs + answerTimeoutMs + (furtherFailed + 1) * (maxRetryDelayMs + answerTimeoutMs) +
               loopTurnMs;
    }
    /// How many further calls may fail within the grace; below 0: not even the next call fits.
    [[nodiscard]] int toleratedFailures() const {
        int failed = -1;
        while (failed < kMaxToleratedFailures && worstCaseMs(failed + 1) <= totalMs) ++failed;
        return failed;
    }
    static constexpr int kMaxToleratedFailures = 100;
};

/// An answer of the agent is on its way for less than `leastSilentMs`, however short the grace.
[[nodiscard]] inline DrainGraceBudget divideDrainGrace(double graceMs, double leastSilentMs) {
    DrainGraceBudget out;
    out.totalMs = graceMs;
    out.longPollMs = graceMs * 0.15;
    out.answerTimeoutMs = std::max(graceMs * 0.1, leastSilentMs);
    out.maxRetryDelayMs = graceMs * 0.05;
    out.loopTurnMs = graceMs * 0.1;
    return out;
}

/// Where the list is one service for all hosts, a change counts as told `toldAfterMs` after the service had
/// it and could be reached, whatever call failed, was refused or fell silent meanwhile, and the grace begins
/// then. At the worst this passes in the two together:
///
///     a held call that falls silent   begun just before
///     the next call                   soon after it; what is left is for its answer
///     turns of the loop
///
/// Calls wait at the service in turn, and one that is given up while it waits there still costs its turn:
/// given up early and called again soon, the calls of thirty hosts kept the service full, and some heard
/// nothing for 20 s. So a call may be late by as much as the protocol allows, and all rests but the one after
/// a silence grow.
struct OnRequestListBudget {
    double totalMs = 0;     ///< the time until a change counts as told, and the grace
    double longPollMs = 0;  ///< the service may hold a call that waits for news
    double answerTimeoutMs =
        0;  ///< and answer later by so much: then the call is given up; also a connection's dial
    double maxDelayAfterTimeoutMs = 0;  ///< at most, before the call after a silent one
    double maxRetryDelayMs = 0;         ///< at most, before any other after a failed one
    double loopTurnMs = 0;              ///< the loop

    /// What is left for the answer of the call that follows a silent one.
    [[nodiscard]] double remainingAnswerMs() const {
        return totalMs - longPollMs - answerTimeoutMs - maxDelayAfterTimeoutMs - loopTurnMs;
    }
    /// From the service's return to the end: a rest that began just before, and a call that is late.
    [[nodiscard]] double worstCaseAfterReturnMs() const {
        return maxRetryDelayMs + answerTimeoutMs + loopTurnMs;
    }
};

[[nodiscard]] inline OnRequestListBudget divideOnRequestListTime(double toldAfterMs, double graceMs,
                                                                 double lateMs) {
    const double whole = toldAfterMs + graceMs;
    return {whole, whole * 0.42, lateMs, whole * 0.07, whole * 0.6, whole * 0.05};
}

}  // namespace martencove
