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

bool plain(const std::string& text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c < '\x7f' && c != '"' && c != '=' && c != '\\';
    });
}

std::string textOf(const LogField& field, LogFormat form) {
    if (const auto* number = std::get_if<std::int64_t>(&field.value)) return std::to_string(*number);
    const auto& text = std::get<std::string>(field.value);
    return form == LogFormat::text && plain(text) ? text : quoted(text);
}

}  // namespace

Log::Log(const Clock& clock, const Limits& limits, LogFormat form)
    : clock_(clock), maxLinesPerSecond_(limits.maxLogLinesPerSecond), format_(form) {
    spdlog::set_pattern(form == LogFormat::json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v})"
                                                : "[%Y-%m-%d %H:%M:%S.%e] [%l] %v");
}

std::string Log::formatLine(const std::string& part, const std::string& message,
                            const LogFields& fields) const {
    const bool json = format_ == LogFormat::json;
    std::string out =
        json ? "\"part\":" + quoted(part) + ",\"message\":" + quoted(message) : part + ": " + message;
    for (const LogField& field : fields)
        out += (json ? ',' + quoted(field.key) + ':' : ' ' + field.key + '=') + textOf(field, format_);
    return out;
}

void Log::info(const std::string& part, const std::string& message, const LogFields& fields) const {
    spdlog::info("{}", formatLine(part, message, fields));
}

bool Log::allowLine(const std::string& part) {
    RateWindow& p = rateWindows_[part];
    const double now = clock_.nowMs();
    if (now - p.startMs >= 1000) {
        if (p.lineCount > maxLinesPerSecond_)
            spdlog::warn("{}", formatLine(part, "suppressed log lines",
                                          {{"lines", p.lineCount - maxLinesPerSecond_}}));
        p = {now, 0};
    }
    return ++p.lineCount <= maxLinesPerSecond_;
}

void Log::warn(const std::string& part, const std::string& message, const LogFields& fields) {
    if (allowLine(part)) spdlog::warn("{}", formatLine(part, message, fields));
}

void Log::infoRateLimited(const std::string& part, const std::string& message, const LogFields& fields) {
    if (allowLine(part)) spdlog::info("{}", formatLine(part, message, fields));
}

}  // namespace martencove
