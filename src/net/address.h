// "host:port" as a socket address; numeric only, since there is no DNS.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace martencove {

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

/// Nothing for a text that is no IPv4 address with a port.
[[nodiscard]] std::optional<Address> parseAddress(const std::string& text);

}  // namespace martencove
