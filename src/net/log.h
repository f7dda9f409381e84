// Log lines that hostile input could multiply are bounded by kind.
#pragma once

#include <spdlog/spdlog.h>

#include <map>
#include <string>

#include "core/clock.h"
#include "core/limits.h"

namespace martencove {

/// Lets through so many lines of a kind in a second, and counts the rest.
class BoundedLog {
public:
    BoundedLog(const Clock& clock, const Limits& limits) : clock_(clock), most_(limits.logLinesPerSecond) {}

    void warn(const std::string& kind, const std::string& text) {
        Kind& k = kinds_[kind];
        const double now = clock_.nowMs();
        if (now - k.sinceMs >= 1000) {
            if (k.lines > most_) spdlog::warn("{}: {} more lines left out", kind, k.lines - most_);
            k = {now, 0};
        }
        if (++k.lines <= most_) spdlog::warn("{}: {}", kind, text);
    }

private:
    struct Kind {
        double sinceMs = 0;
        std::size_t lines = 0;
    };
    const Clock& clock_;
    std::size_t most_;
    std::map<std::string, Kind> kinds_;
};

}  // namespace martencove
