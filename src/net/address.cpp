#include "net/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace martencove {

sockaddr_in Address::socketAddress() const {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &out.sin_addr);
    return out;
}

std::optional<Address> parseAddress(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    Address out;
    out.host = text.substr(0, colon);
    const char* end = text.data() + text.size();
    const auto [next, error] = std::from_chars(text.data() + colon + 1, end, out.port);
    in_addr unused{};
    if (error != std::errc{} || next != end || inet_pton(AF_INET, out.host.c_str(), &unused) != 1)
        return std::nullopt;
    return out;
}

}  // namespace martencove
