#include "net/log.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace martencove {
namespace {

using Json = nlohmann::ordered_json;

/// Quoted and escaped; bytes that are no UTF-8 are replaced.
std::string quoted(const std::string& text) {
    return Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool plain(const std::string& text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c < '\x7f' && c != '"' && c != '=' && c != '\\';
    });
}

std::string textOf(const LogField& field, LogForm form) {
    if (const auto* number = std::get_if<std::int64_t>(&field.value)) return std::to_string(*number);
    const auto& text = std::get<std::string>(field.value);
    return form == LogForm::text && plain(text) ? text : quoted(text);
}

}  // namespace

Log::Log(const Clock& clock, const Limits& limits, LogForm form)
    : clock_(clock), most_(limits.logLinesPerSecond), form_(form) {
    spdlog::set_pattern(form == LogForm::json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",%v})"
                                              : "[%Y-%m-%d %H:%M:%S.%e] [%l] %v");
}

std::string Log::line(const std::string& part, const std::string& message, const LogFields& fields) const {
    const bool json = form_ == LogForm::json;
    std::string out =
        json ? "\"part\":" + quoted(part) + ",\"message\":" + quoted(message) : part + ": " + message;
    for (const LogField& field : fields)
        out += (json ? ',' + quoted(field.key) + ':' : ' ' + field.key + '=') + textOf(field, form_);
    return out;
}

void Log::info(const std::string& part, const std::string& message, const LogFields& fields) const {
    spdlog::info("{}", line(part, message, fields));
}

bool Log::room(const std::string& part) {
    Part& p = parts_[part];
    const double now = clock_.nowMs();
    if (now - p.sinceMs >= 1000) {
        if (p.lines > most_)
            spdlog::warn("{}", line(part, "more lines left out", {{"lines", p.lines - most_}}));
        p = {now, 0};
    }
    return ++p.lines <= most_;
}

void Log::warn(const std::string& part, const std::string& message, const LogFields& fields) {
    if (room(part)) spdlog::warn("{}", line(part, message, fields));
}

void Log::tell(const std::string& part, const std::string& message, const LogFields& fields) {
    if (room(part)) spdlog::info("{}", line(part, message, fields));
}

}  // namespace martencove
