// Computes the delays before the first call to a service and before retries of failed calls. Reads no clock
// and does no I/O; the random part of the delays follows from a given seed.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

namespace martencove {

/// Delays around the calls that fetch the list of nodes, in ms.
struct RetryDelays {
    double initialMs = 0;  ///< upper bound before the first call
    double minMs = 0;      ///< mean after the first failure
    double maxMs = 0;      ///< upper bound of the mean after several failures
};

/// Returns the delays for calls to discovery. `mustAskInMs` is the interval within which the list must be
/// requested; 0: none is set.
///
/// Where the list is pushed to an agent on this machine (`onRequest` is false), the first call is made at
/// once and the mean delay after a failure is `agentRetryMs`. The agent can serve every call, and a change
/// counts as known to this host once the agent has it, so a delay would only make the list older.
///
/// Where one service serves all hosts, its capacity requires a mean delay of `perHostMs` for each of the
/// `hosts`. The first call is made within half of `mustAskInMs`. The mean delay is at most twice
/// `mustAskInMs`, because the longest delay, 1.5 times the mean, must end within the four intervals that a
/// failed call grants.
[[nodiscard]] inline RetryDelays makeRetryDelays(bool onRequest, int hosts, double mustAskInMs,
                                                 double agentRetryMs, double perHostMs) {
    if (!onRequest) return {0, agentRetryMs, 4 * agentRetryMs};
    RetryDelays delays;
    delays.minMs = std::max(agentRetryMs, perHostMs * hosts);
    delays.maxMs = 4 * delays.minMs;
    delays.initialMs = delays.minMs;
    if (mustAskInMs > 0) {
        delays.initialMs = std::min(delays.initialMs, mustAskInMs / 2);
        delays.maxMs = std::min(delays.maxMs, 2 * mustAskInMs);
        delays.minMs = std::min(delays.minMs, delays.maxMs);
    }
    return delays;
}

/// Exponential backoff. The mean delay doubles with each failure in a row, and each delay is drawn from 0.5
/// to 1.5 times the mean, so that callers that failed together, for example at an overloaded server, do not
/// retry together and do not keep the server overloaded.
class Backoff {
public:
    /// `minMs` is the mean delay after the first failure, `maxMs` the upper bound of the mean.
    Backoff(double minMs, double maxMs, std::uint64_t seed)
        : minMeanMs_(minMs), maxMeanMs_(std::max(minMs, maxMs)), meanMs_(minMs), random_(seed) {}

    /// Returns the delay before the first call, in ms: evenly distributed over `spreadMs`, so that callers
    /// that start together are spread.
    [[nodiscard]] double initialDelayMs(double spreadMs) {
        return spreadMs * std::uniform_real_distribution<double>()(random_);
    }
    /// Returns the delay after a failure, in ms, and doubles the mean for the next one.
    [[nodiscard]] double nextDelayMs() {
        const double delayMs = meanMs_ * std::uniform_real_distribution<double>(0.5, 1.5)(random_);
        meanMs_ = std::min(2 * meanMs_, maxMeanMs_);
        return delayMs;
    }
    /// Resets the mean delay after a successful call.
    void reset() { meanMs_ = minMeanMs_; }

private:
    double minMeanMs_;
    double maxMeanMs_;
    double meanMs_;
    std::mt19937_64 random_;
};

}  // namespace martencove
