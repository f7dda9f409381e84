// Monotonic clock of the program, in ms since the Unix epoch.
#pragma once

#include <chrono>

namespace martencove {

/// Adds the monotonic time since its construction to the Unix time of its construction. Steps of the system
/// clock do not affect it. Hosts agree on the time as closely as their system clocks did at the start, which
/// the rounds of the scheduler depend on.
class Clock {
public:
    /// Returns the current time in ms since the Unix epoch.
    [[nodiscard]] double nowMs() const {
        return originMs_ + sinceMs(std::chrono::steady_clock::now() - start_);
    }

private:
    template <typename Duration>
    static double sinceMs(Duration time) {
        return std::chrono::duration<double, std::milli>(time).count();
    }
    std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
    double originMs_ = sinceMs(std::chrono::system_clock::now().time_since_epoch());
};

}  // namespace martencove
