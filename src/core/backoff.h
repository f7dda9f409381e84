// How long to rest before a failed call is made again. Decides only: no clock, no I/O; randomness comes from
// the seed handed in.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

namespace martencove {

/// Mean rests around calls for the list of nodes, in ms: at most before the first, after one failure, after
/// several.
struct RetryDelays {
    double initialMs = 0;
    double minMs = 0;
    double maxMs = 0;
};

/// `agentMs`: the mean rest where the list is pushed to an agent on the caller's own machine. That one has
/// room for every call, and what it holds counts as told whether or not it was called: nothing is gained by
/// waiting. Where the list is one service for all hosts, `eachMs` for each of them, but the first call comes
/// by half of the time in which it must be asked, and the longest rest (half as much again as its mean) ends
/// within the four such times that a failed call gives.
[[nodiscard]] inline RetryDelays makeRetryDelays(bool onRequest, int hosts, double mustAskInMs,
                                                 double agentMs, double eachMs) {
    if (!onRequest) return {0, agentMs, 4 * agentMs};
    RetryDelays rests;
    rests.minMs = std::max(agentMs, eachMs * hosts);
    rests.maxMs = 4 * rests.minMs;
    rests.initialMs = rests.minMs;
    if (mustAskInMs > 0) {
        rests.initialMs = std::min(rests.initialMs, mustAskInMs / 2);
        rests.maxMs = std::min(rests.maxMs, 2 * mustAskInMs);
        rests.minMs = std::min(rests.minMs, rests.maxMs);
    }
    return rests;
}

/// Rests that double from one failure to the next and are drawn from half to one and a half times their mean,
/// so that callers who failed together, as at a server with too little room for all, neither come back
/// together nor keep it full for good.
class Backoff {
public:
    /// `leastMs` and `mostMs`: the mean rest after the first failure, and at most.
    Backoff(double leastMs, double mostMs, std::uint64_t seed)
        : minMeanMs_(leastMs), maxMeanMs_(std::max(leastMs, mostMs)), meanMs_(leastMs), random_(seed) {}

    /// Before the first call of all, in ms: callers who start together are spread over `overMs`.
    [[nodiscard]] double initialDelayMs(double overMs) {
        return overMs * std::uniform_real_distribution<double>()(random_);
    }
    /// The rest after one more failure, in ms.
    [[nodiscard]] double nextDelayMs() {
        const double restMs = meanMs_ * std::uniform_real_distribution<double>(0.5, 1.5)(random_);
        meanMs_ = std::min(2 * meanMs_, maxMeanMs_);
        return restMs;
    }
    /// A call went well: the next failure is a first one.
    void reset() { meanMs_ = minMeanMs_; }

private:
    double minMeanMs_;
    double maxMeanMs_;
    double meanMs_;
    std::mt19937_64 random_;
};

}  // namespace martencove
