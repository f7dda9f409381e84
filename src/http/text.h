// Text helpers that the HTTP/1.1 server and client sides share.
#pragma once

#include <strings.h>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace martencove {

/// Parses a whole number that consists of decimal digits alone. Returns false for anything else, also
/// for a number out of the type's range.
template <typename Number>
[[nodiscard]] bool parseDecimal(std::string_view text, Number& number) {
    const auto [next, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return !text.empty() && text.find_first_not_of("0123456789") == text.npos && error == std::errc{} &&
           next == text.data() + text.size();
}
/// Returns whether the text is a token of RFC 9110, as header field names have to be.
[[nodiscard]] inline bool isToken(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') ||
               std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos;
    });
}
/// Removes leading and trailing spaces and tabs.
[[nodiscard]] inline std::string_view trimWhitespace(std::string_view text) {
    const std::size_t begin = std::min(text.find_first_not_of(" \t"), text.size());
    const std::size_t last = text.find_last_not_of(" \t");
    return last == text.npos ? std::string_view{} : text.substr(begin, last + 1 - begin);
}
[[nodiscard]] inline bool equalsIgnoreCase(std::string_view a, std::string_view b) {
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace martencove
