// The small grammar that both sides of HTTP/1.1 share.
#pragma once

#include <strings.h>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace martencove {

/// A whole number of decimal digits and nothing else.
template <typename Number>
[[nodiscard]] bool parseDecimal(std::string_view text, Number& out) {
    const auto [next, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    return !text.empty() && text.find_first_not_of("0123456789") == text.npos && error == std::errc{} &&
           next == text.data() + text.size();
}
/// A field's name: RFC 9110's token.
[[nodiscard]] inline bool isToken(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
               std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos;
    });
}
[[nodiscard]] inline std::string_view trimWhitespace(std::string_view text) {
    const std::size_t from = std::min(text.find_first_not_of(" \t"), text.size());
    const std::size_t to = text.find_last_not_of(" \t");
    return to == text.npos ? std::string_view{} : text.substr(from, to + 1 - from);
}
/// Whether they are the same but for the case of letters.
[[nodiscard]] inline bool equalsIgnoreCase(std::string_view a, std::string_view b) {
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace martencove
