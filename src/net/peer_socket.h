// UDP socket for the messages between schedulers.
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

/// Sends datagrams to the peers and receives theirs. Peers are numbered by their order in the list.
class PeerSocket {
public:
    /// Uses the descriptor `boundSocket` if it is not -1, otherwise binds a socket to `listen`. Throws
    /// std::system_error if that fails.
    PeerSocket(event_base* base, const Address& listen, const std::vector<Address>& peers,
               const Limits& limits, Counters& counters, Log& log,
               std::function<void(const PeerMessage&)> onMessage, int boundSocket = -1);
    ~PeerSocket();
    PeerSocket(const PeerSocket&) = delete;
    PeerSocket& operator=(const PeerSocket&) = delete;

    /// Stops receiving while another process reads from the shared socket, or resumes.
    void setYielded(bool yielded);
    [[nodiscard]] int descriptor() const { return socket_; }
    /// Sends a datagram to message.peer. Failures are only counted.
    void send(const PeerMessage& message);
    /// Replaces the addresses of the peers.
    void setPeers(const std::vector<Address>& peers);

private:
    static void onReadable(evutil_socket_t, short, void* self);
    void receive();

    /// Enlarges the receive buffer to hold a burst from all peers, as far as the system allows.
    void growReceiveBuffer();
    void bind(const Address& listen);

    std::vector<sockaddr_in> peerAddresses_;                      // by peer number
    std::unordered_map<std::uint64_t, int> peerNumberByAddress_;  // lowest number of each address and port
    const Limits& limits_;
    Counters& counters_;
    Log& log_;
    std::function<void(const PeerMessage&)> onMessage_;
    int socket_ = -1;
    LibeventPtr<event> readEvent_;
};

}  // namespace martencove
