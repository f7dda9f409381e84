// The program's log: one form of line for all parts, on spdlog. A line has a part, a message and fields, as
// text
//   [time] [level] PART: MESSAGE key=value key="a value"
// or, by option, as one JSON object with time, level, part, message and the fields by their keys.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/limits.h"

namespace martencove {

enum class LogFormat { text, json };

struct LogField {
    std::string key;
    std::variant<std::string, std::int64_t> value;

    LogField(std::string k, std::string v) : key(std::move(k)), value(std::move(v)) {}
    LogField(std::string k, const char* v) : key(std::move(k)), value(std::string(v)) {}
    template <typename Number>
    requires std::is_integral_v<Number> LogField(std::string k, Number v)
        : key(std::move(k)), value(static_cast<std::int64_t>(v)) {}
};
using LogFields = std::vector<LogField>;

/// Warnings are what clients, nodes, peers or files can cause: so many of a part in a second are let through,
/// the rest is counted. What the program says of itself is not bounded. What others wrote stands in fields
/// alone, where no byte of it can look like a line of its own.
class Log {
public:
    Log(const Clock& clock, const Limits& limits, LogFormat form);

    void info(const std::string& part, const std::string& message, const LogFields& fields = {}) const;
    void warn(const std::string& part, const std::string& message, const LogFields& fields = {});
    /// What others cause and nobody has to look after: bounded with the warnings of its part.
    void infoRateLimited(const std::string& part, const std::string& message, const LogFields& fields);

private:
    [[nodiscard]] bool allowLine(const std::string& part);
    [[nodiscard]] std::string formatLine(const std::string& part, const std::string& message,
                                         const LogFields& fields) const;

    struct RateWindow {
        double startMs = 0;
        std::size_t lineCount = 0;
    };
    const Clock& clock_;
    std::size_t maxLinesPerSecond_;
    LogFormat format_;
    std::map<std::string, RateWindow> rateWindows_;
};

}  // namespace martencove
