// How long to rest before a failed call is made again. Decides only: no clock, no I/O; randomness comes from
// the seed handed in.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

namespace martencove {

/// Rests that double from one failure to the next and are drawn from half to one and a half times their mean,
/// so that callers who failed together, as at a server with too little room for all, neither come back
/// together nor keep it full for good.
class Backoff {
public:
    /// `leastMs` and `mostMs`: the mean rest after the first failure, and at most.
    Backoff(double leastMs, double mostMs, std::uint64_t seed)
        : leastMs_(leastMs), mostMs_(std::max(leastMs, mostMs)), meanMs_(leastMs), random_(seed) {}

    /// Before the first call of all, in ms: callers who start together are spread over the first mean rest.
    [[nodiscard]] double firstMs() { return leastMs_ * std::uniform_real_distribution<double>()(random_); }
    /// The rest after one more failure, in ms.
    [[nodiscard]] double nextMs() {
        const double restMs = meanMs_ * std::uniform_real_distribution<double>(0.5, 1.5)(random_);
        meanMs_ = std::min(2 * meanMs_, mostMs_);
        return restMs;
    }
    /// A call went well: the next failure is a first one.
    void reset() { meanMs_ = leastMs_; }

private:
    double leastMs_;
    double mostMs_;
    double meanMs_;
    std::mt19937_64 random_;
};

}  // namespace martencove
