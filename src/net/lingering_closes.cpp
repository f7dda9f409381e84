#include "net/lingering_closes.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace martencove {
namespace {

/// Returns the bytes that the peer has not acknowledged, or 0 if the system cannot tell.
int unacknowledged(evutil_socket_t fd) {
    int bytes = 0;
    return ioctl(fd, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

}  // namespace

LingeringCloses::ClosingConnection::ClosingConnection(LingeringCloses& closes, BuffereventRef ref)
    : owner(closes),
      connection(std::move(ref)),
      deadlineMs(closes.clock_.nowMs() + closes.limits_.lingerTimeoutMs),
      readEvent(event_new(closes.base_, bufferevent_getfd(connection.get()), EV_READ, onEvent, this)) {
    shutdown(bufferevent_getfd(connection.get()), SHUT_WR);
    waitForInput();
}

void LingeringCloses::ClosingConnection::onEvent(evutil_socket_t, short events, void* arg) {
    auto* self = static_cast<ClosingConnection*>(arg);
    const bool expired = (events & EV_TIMEOUT) != 0 || self->owner.clock_.nowMs() >= self->deadlineMs;
    if (expired || !self->discardInput()) return self->owner.remove(*self);
    self->waitForInput();
}

void LingeringCloses::ClosingConnection::waitForInput() {
    const timeval left = toTimeval(std::max(0.0, deadlineMs - owner.clock_.nowMs()));
    event_add(readEvent.get(), &left);
}

bool LingeringCloses::ClosingConnection::discardInput() {
    char buffer[16 * 1024];
    const ssize_t received = recv(bufferevent_getfd(connection.get()), buffer, sizeof buffer, MSG_DONTWAIT);
    if (received == 0) return false;
    if (received < 0) return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    if (droppedBytes == 0) owner.counters_.add("client_bytes_dropped");
    droppedBytes += static_cast<std::size_t>(received);
    return droppedBytes < owner.limits_.maxLingerBytes;
}

void LingeringCloses::add(BuffereventRef connection) {
    if (!connection || bufferevent_getfd(connection.get()) < 0) return;
    bufferevent_disable(connection.get(), EV_READ | EV_WRITE);
    if (closing_.size() >= limits_.maxLingeringConnections) closing_.pop_front();
    closing_.emplace_back(*this, std::move(connection));
}

bool LingeringCloses::allDelivered() const {
    return std::all_of(closing_.begin(), closing_.end(), [](const ClosingConnection& closing) {
        return unacknowledged(bufferevent_getfd(closing.connection.get())) == 0;
    });
}

void LingeringCloses::remove(const ClosingConnection& closing) {
    closing_.remove_if([&](const ClosingConnection& c) { return &c == &closing; });
}

}  // namespace martencove
