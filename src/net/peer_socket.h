// Datagrams between schedulers.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "core/counters.h"
#include "core/limits.h"
#include "core/values.h"
#include "net/address.h"
#include "net/log.h"
#include "net/loop.h"

namespace martencove {

class PeerSocket {
public:
    /// `bound`: a socket that is bound there already; -1: it binds one. Throws std::system_error where
    /// `listen` cannot be bound.
    PeerSocket(event_base* base, const Address& listen, const std::vector<Address>& peers,
               const Limits& limits, Counters& counters, Log& log,
               std::function<void(const PeerMessage&)> heard, int bound = -1);
    ~PeerSocket();
    PeerSocket(const PeerSocket&) = delete;
    PeerSocket& operator=(const PeerSocket&) = delete;

    /// Another process hears what comes on the socket that both have, or no longer.
    void setYielded(bool on);
    [[nodiscard]] int descriptor() const { return socket_; }
    void send(const PeerMessage& message);
    /// Their addresses from now on.
    void setPeers(const std::vector<Address>& peers);

private:
    static void onReadable(evutil_socket_t, short, void* self);
    void receive();

    /// Room for what all peers may send in a moment, as far as the system grants it.
    void growReceiveBuffer();
    void bind(const Address& listen);

    std::vector<sockaddr_in> peerAddresses_;  // by number
    std::unordered_map<std::uint64_t, int>
        peerNumberByAddress_;  // the same by address and port: the lowest of each
    const Limits& limits_;
    Counters& counters_;
    Log& log_;
    std::function<void(const PeerMessage&)> onMessage_;
    int socket_ = -1;
    LibeventPtr<event> readEvent_;
};

}  // namespace martencove
