// The program's time: monotonic, with the Unix time at its start as origin. Hosts agree on it as far as
// their clocks do, which the module's rounds need; a step of the system's clock does not move it.
#pragma once

#include <chrono>

namespace martencove {

class Clock {
public:
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
