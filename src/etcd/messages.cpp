#include "etcd/messages.h"

#include <array>
#include <string_view>

#include "settings_json/fields.h"

namespace martencove::etcd {
namespace {

using namespace limedrum::fields;

constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Returns the first key after all keys with the prefix: the prefix with its last byte below 0xff
/// incremented.
std::string prefixEnd(std::string prefix) {
    while (!prefix.empty() && prefix.back() == '\xff') prefix.pop_back();
    if (prefix.empty()) return std::string(1, '\0');  // all keys
    prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
    return prefix;
}

// Protobuf's JSON encoding represents 64-bit numbers as strings.
std::int64_t parseInt64(const Json& value, const char* name) {
    if (!value.is_string()) return getInt64(value, name);
    const auto text = value.get<std::string>();
    char* end = nullptr;
    const long long number = std::strtoll(text.c_str(), &end, 10);
    if (text.empty() || *end != '\0') throwFieldError(name, "not a whole number");
    return number;
}
std::string decodeBytes(const Json& object, const char* name) {
    const auto decoded = fromBase64(getString(object, name, ""));
    if (!decoded) throwFieldError(name, "not base64");
    return *decoded;
}
Json parseObject(const std::string& text) {
    Json json = Json::parse(text, nullptr, false);
    if (!json.is_object()) throwFieldError("answer", "not a JSON object");
    return json;
}
std::int64_t decodeRevision(const Json& json) {
    const Json& header = requireField(json, "header");
    return parseInt64(requireField(header, "revision"), "revision");
}

}  // namespace

std::string makeRangeRequest(const std::string& prefix) {
    return Json{{"key", toBase64(prefix)}, {"range_end", toBase64(prefixEnd(prefix))}}.dump();
}
std::string makeWatchRequest(const std::string& prefix, std::int64_t startRevision) {
    return Json{{"create_request",
                 {{"key", toBase64(prefix)},
                  {"range_end", toBase64(prefixEnd(prefix))},
                  {"start_revision", std::to_string(startRevision)}}}}
        .dump();
}

Update decodeRange(const std::string& text) {
    const Json json = parseObject(text);
    Update out;
    out.revision = decodeRevision(json);
    if (const Json* pairs = findField(json, "kvs")) {
        for (const Json& pair : getArray(*pairs, "kvs"))
            out.pairs.push_back({decodeBytes(pair, "key"), decodeBytes(pair, "value")});
    }
    return out;
}

Update decodeWatch(const std::string& text) {
    const Json json = parseObject(text);
    const Json& result = requireField(json, "result");
    Update out;
    out.revision = decodeRevision(result);
    out.canceled = getBool(result, "canceled", false);
    if (const Json* events = findField(result, "events")) {
        for (const Json& event : getArray(*events, "events")) {
            const Json& pair = requireField(event, "kv");
            const bool deleted = limedrum::fields::getString(event, "type", "PUT") == "DELETE";
            out.pairs.push_back(
                {decodeBytes(pair, "key"), deleted ? "" : decodeBytes(pair, "value"), deleted});
        }
    }
    return out;
}

std::string toBase64(const std::string& bytes) {
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0u);
        for (int shift = 18; shift >= 0; shift -= 6) out += kDigits[group >> shift & 63];
    }
    const std::size_t missing = (3 - bytes.size() % 3) % 3;
    return out.replace(out.size() - missing, missing, missing, '=');
}

std::optional<std::string> fromBase64(const std::string& text) {
    if (text.size() % 4 != 0) return std::nullopt;
    const std::size_t end = text.find('=');
    const std::size_t digits = end == text.npos ? text.size() : end;
    if (text.size() - digits > 2 || text.find_first_not_of('=', digits) != text.npos) return std::nullopt;
    std::string out;
    std::uint32_t group = 0;
    int bits = 0;
    for (std::size_t i = 0; i < digits; ++i) {
        const std::size_t digit = kDigits.find(text[i]);
        if (digit == kDigits.npos) return std::nullopt;
        group = group << 6 | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits < 8) continue;
        bits -= 8;
        out += static_cast<char>(group >> bits & 255);
    }
    return out;
}

}  // namespace martencove::etcd
