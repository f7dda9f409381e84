#include "net/peer_socket.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace martencove {

namespace {

std::uint64_t addressKey(const sockaddr_in& address) {
    return static_cast<std::uint64_t>(address.sin_addr.s_addr) << 16 | address.sin_port;
}

}  // namespace

PeerSocket::PeerSocket(event_base* base, const Address& listen, const std::vector<Address>& peers,
                       const Limits& limits, Counters& counters, Log& log,
                       std::function<void(const PeerMessage&)> onMessage, int boundSocket)
    : limits_(limits), counters_(counters), log_(log), onMessage_(std::move(onMessage)) {
    if (boundSocket >= 0) {
        socket_ = boundSocket;
    } else {
        bind(listen);
    }
    setPeers(peers);
    readEvent_.reset(event_new(base, socket_, EV_READ | EV_PERSIST, onReadable, this));
    event_add(readEvent_.get(), nullptr);
}

void PeerSocket::setYielded(bool yielded) {
    yielded ? event_del(readEvent_.get()) : event_add(readEvent_.get(), nullptr);
}

void PeerSocket::bind(const Address& listen) {
    socket_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = listen.socketAddress();
    if (socket_ < 0 || ::bind(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        const int error = errno;
        if (socket_ >= 0) close(socket_);
        throw std::system_error(error, std::generic_category(), "peer_listen " + listen.toString());
    }
}

PeerSocket::~PeerSocket() {
    readEvent_.reset();
    close(socket_);
}

void PeerSocket::setPeers(const std::vector<Address>& peers) {
    peerAddresses_.clear();
    peerNumberByAddress_.clear();
    for (const Address& peer : peers) {
        peerNumberByAddress_.try_emplace(addressKey(peer.socketAddress()),
                                         static_cast<int>(peerAddresses_.size()));
        peerAddresses_.push_back(peer.socketAddress());
    }
    growReceiveBuffer();
}

// Rounds begin at the same moment on all schedulers, so their bids arrive together. The system doubles the
// requested size to cover its own overhead, and caps it at its limit.
void PeerSocket::growReceiveBuffer() {
    const int wantedBytes = static_cast<int>(
        std::min(limits_.maxQueuedDatagrams, limits_.maxQueuedDatagramsPerPeer * peerAddresses_.size()) *
        limits_.datagramBufferCostBytes);
    int currentBytes = 0;
    socklen_t size = sizeof currentBytes;
    if (getsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &currentBytes, &size) == 0 && currentBytes >= wantedBytes)
        return;
    if (setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &wantedBytes, sizeof wantedBytes) != 0)
        log_.warn("peer", "cannot enlarge the receive buffer", {{"bytes", wantedBytes}});
}

// A datagram that cannot be sent is treated like one lost in the network, which the module tolerates.
void PeerSocket::send(const PeerMessage& message) {
    if (message.peer < 0 || message.peer >= static_cast<int>(peerAddresses_.size()) ||
        message.text.size() > limits_.maxDatagramBytes) {
        counters_.add("peer_unsent");
        return;
    }
    const sockaddr_in& target = peerAddresses_[message.peer];
    const ssize_t sent = sendto(socket_, message.text.data(), message.text.size(), MSG_DONTWAIT,
                                reinterpret_cast<const sockaddr*>(&target), sizeof target);
    counters_.add(sent < 0 ? "peer_unsent" : "peer_sent");
}

void PeerSocket::onReadable(evutil_socket_t, short, void* self) { static_cast<PeerSocket*>(self)->receive(); }

// Limits the datagrams of one turn of the loop to the number of peers (but at least 64), so that other events
// are not delayed.
void PeerSocket::receive() {
    std::string text(limits_.maxDatagramBytes + 1, '\0');
    const std::size_t maxDatagrams = std::max<std::size_t>(64, peerAddresses_.size());
    for (std::size_t i = 0; i < maxDatagrams; ++i) {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const ssize_t received =
            recvfrom(socket_, text.data(), text.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
        if (received < 0) return;
        const auto peer = peerNumberByAddress_.find(addressKey(from));
        if (peer == peerNumberByAddress_.end() ||
            static_cast<std::size_t>(received) > limits_.maxDatagramBytes) {
            counters_.add("peer_bad");
            log_.warn("peer", peer == peerNumberByAddress_.end() ? "datagram from an unknown sender"
                                                                 : "datagram too long");
            continue;
        }
        counters_.add("peer_received");
        onMessage_({peer->second, text.substr(0, static_cast<std::size_t>(received))});
    }
}

}  // namespace martencove
