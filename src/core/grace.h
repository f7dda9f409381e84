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

struct Grace {
    double wholeMs = 0;   ///< the settings' own figure
    double holdMs = 0;    ///< the agent may hold a call that waits for news
    double silentMs = 0;  ///< and answer later by so much: then the call is given up
    double restMs = 0;    ///< at most, between a call that failed and the next
    double turnMs = 0;    ///< the loop, from the answer to the last attempt taken back

    /// From the change to the end, where so many further calls fail after the silent one.
    [[nodiscard]] double usedMs(int furtherFailed) const {
        return holdMs + silentMs + (furtherFailed + 1) * (restMs + silentMs) + turnMs;
    }
    /// How many further calls may fail within the grace; below 0: not even the next call fits.
    [[nodiscard]] int mayFail() const {
        int failed = -1;
        while (failed < kMostFailed && usedMs(failed + 1) <= wholeMs) ++failed;
        return failed;
    }
    static constexpr int kMostFailed = 100;
};

/// An answer of the agent is on its way for less than `leastSilentMs`, however short the grace.
[[nodiscard]] inline Grace divideGrace(double graceMs, double leastSilentMs) {
    Grace out;
    out.wholeMs = graceMs;
    out.holdMs = graceMs * 0.15;
    out.silentMs = std::max(graceMs * 0.1, leastSilentMs);
    out.restMs = graceMs * 0.05;
    out.turnMs = graceMs * 0.1;
    return out;
}

}  // namespace martencove
