// An IPv4 address and port, parsed from "host:port". Host names are not resolved.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace martencove {

/// An IPv4 host in dotted notation and a port.
struct Address {
    std::string host;
    std::uint16_t port = 0;
    [[nodiscard]] std::string toString() const { return host + ':' + std::to_string(port); }
    [[nodiscard]] sockaddr_in socketAddress() const;
    bool operator==(const Address&) const = default;
};

struct AddressHash {
    std::size_t operator()(const Address& a) const { return std::hash<std::string>()(a.host) * 31 + a.port; }
};

/// Returns nothing if the text is not a numeric IPv4 address followed by ":" and a port.
[[nodiscard]] std::optional<Address> parseAddress(const std::string& text);

}  // namespace martencove
