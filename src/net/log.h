// Structured logging on top of spdlog. A line has a part of the program, a message and fields, either as text
//   [time] [level] PART: MESSAGE key=value key="a value"
// or as one JSON object with time, level, part, message and the fields by their keys.
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

/// A key with a text or an integer.
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

/// Writes log lines. Warnings can be caused by clients, nodes, peers or files, so they are limited per part
/// and second, and the rest is counted. info() is for the program's own events and is not limited. Text from
/// outside belongs in fields only, where it is escaped and cannot forge a log line.
class Log {
public:
    Log(const Clock& clock, const Limits& limits, LogFormat format);

    void info(const std::string& part, const std::string& message, const LogFields& fields = {}) const;
    void warn(const std::string& part, const std::string& message, const LogFields& fields = {});
    /// For events that are caused from outside and need no action: shares the limit of the part's warnings.
    void infoRateLimited(const std::string& part, const std::string& message, const LogFields& fields);

private:
    [[nodiscard]] bool allowLine(const std::string& part);
    [[nodiscard]] std::string formatLine(const std::string& part, const std::string& message,
                                         const LogFields& fields) const;

    /// The lines of one part within one second.
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
