#include "net/log.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace martencove {
namespace {

using Json = nlohmann::ordered_json;

/// Returns the text as a JSON string. Bytes that are not UTF-8 are replaced.
std::string quoted(const std::string& text) {
    return Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool needsNoQuotes(const std::string& text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c < '\x7f' && c != '"' && c != '=' && c != '\\';
    });
}

std::string fieldText(const LogField& field, LogFormat format) {
    if (const auto* number = std::get_if<std::int64_t>(&field.value)) return std::to_string(*number);
    const auto& text = std::get<std::string>(field.value);
    return format == LogFormat::text && needsNoQuotes(text) ? text : quoted(text);
}

}  // namespace

Log::Log(const Clock& clock, const Limits& limits, LogFormat format)
    : clock_(clock), maxLinesPerSecond_(limits.maxLogLinesPerSecond), format_(format) {
    spdlog::set_pattern(format == LogFormat::json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v})"
                                                  : "[%Y-%m-%d %H:%M:%S.%e] [%l] %v");
}

std::string Log::formatLine(const std::string& part, const std::string& message,
                            const LogFields& fields) const {
    const bool json = format_ == LogFormat::json;
    std::string out =
        json ? "\"part\":" + quoted(part) + ",\"message\":" + quoted(message) : part + ": " + message;
    for (const LogField& field : fields)
        out += (json ? ',' + quoted(field.key) + ':' : ' ' + field.key + '=') + fieldText(field, format_);
    return out;
}

void Log::info(const std::string& part, const std::string& message, const LogFields& fields) const {
    spdlog::info("{}", formatLine(part, message, fields));
}

bool Log::allowLine(const std::string& part) {
    RateWindow& window = rateWindows_[part];
    const double now = clock_.nowMs();
    if (now - window.startMs >= 1000) {
        if (window.lineCount > maxLinesPerSecond_)
            spdlog::warn("{}", formatLine(part, "suppressed log lines",
                                          {{"lines", window.lineCount - maxLinesPerSecond_}}));
        window = {now, 0};
    }
    return ++window.lineCount <= maxLinesPerSecond_;
}

void Log::warn(const std::string& part, const std::string& message, const LogFields& fields) {
    if (allowLine(part)) spdlog::warn("{}", formatLine(part, message, fields));
}

void Log::infoRateLimited(const std::string& part, const std::string& message, const LogFields& fields) {
    if (allowLine(part)) spdlog::info("{}", formatLine(part, message, fields));
}

}  // namespace martencove
