#include "net/peers.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace martencove {

Peers::Peers(event_base* base, const Address& listen, std::vector<Address> peers, const Limits& limits,
             Counters& counters, Log& log, std::function<void(const PeerMessage&)> heard)
    : peers_(std::move(peers)), limits_(limits), counters_(counters), log_(log), heard_(std::move(heard)) {
    socket_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = listen.socketAddress();
    if (socket_ < 0 || bind(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        const int error = errno;
        if (socket_ >= 0) close(socket_);
        throw std::system_error(error, std::generic_category(), "peer_listen " + listen.text());
    }
    event_.reset(event_new(base, socket_, EV_READ | EV_PERSIST, readable, this));
    event_add(event_.get(), nullptr);
}

Peers::~Peers() {
    event_.reset();
    close(socket_);
}

// A datagram that does not leave is one that the network lost: the module reckons with it.
void Peers::tell(const PeerMessage& message) {
    if (message.peer < 0 || message.peer >= static_cast<int>(peers_.size()) ||
        message.text.size() > limits_.datagram) {
        counters_.add("peer_unsent");
        return;
    }
    const sockaddr_in to = peers_[message.peer].socketAddress();
    const ssize_t sent = sendto(socket_, message.text.data(), message.text.size(), MSG_DONTWAIT,
                                reinterpret_cast<const sockaddr*>(&to), sizeof to);
    counters_.add(sent < 0 ? "peer_unsent" : "peer_sent");
}

void Peers::readable(evutil_socket_t, short, void* self) { static_cast<Peers*>(self)->receive(); }

void Peers::receive() {
    std::string text(limits_.datagram + 1, '\0');
    for (int i = 0; i < 64; ++i) {  // then others get their turn
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const ssize_t got =
            recvfrom(socket_, text.data(), text.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
        if (got < 0) return;
        const auto peer = std::find_if(peers_.begin(), peers_.end(), [&](const Address& a) {
            const sockaddr_in known = a.socketAddress();
            return known.sin_addr.s_addr == from.sin_addr.s_addr && known.sin_port == from.sin_port;
        });
        if (peer == peers_.end() || static_cast<std::size_t>(got) > limits_.datagram) {
            counters_.add("peer_bad");
            log_.warn("peer", peer == peers_.end() ? "datagram from a stranger" : "datagram too long");
            continue;
        }
        counters_.add("peer_received");
        heard_({static_cast<int>(peer - peers_.begin()), text.substr(0, static_cast<std::size_t>(got))});
    }
}

}  // namespace martencove
