#include "net/link.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <utility>

namespace martencove {

Link::Link(event_base* base, Address node, const Limits& limits, Counters& counters)
    : limits_(limits),
      counters_(counters),
      node_(std::move(node)),
      socket_(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE)),
      dial_(base, [this] { fail(Ending::notConnected); }),
      timeout_(base, [this] { fail(Ending::timedOut); }) {
    if (!socket_) throw std::bad_alloc();
    bufferevent_setcb(socket_.get(), readable, nullptr, happened, this);
    bufferevent_enable(socket_.get(), EV_READ | EV_WRITE);
    evbuffer_add_cb(bufferevent_get_output(socket_.get()), moved, this);
}

Link::~Link() { evbuffer_remove_cb(bufferevent_get_output(socket_.get()), moved, this); }

bool Link::usable() {
    if (closed_) return false;
    char byte = 0;
    const ssize_t got = recv(bufferevent_getfd(socket_.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    closed_ = got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    return !closed_;
}

void Link::stop() {
    over_ = nullptr;
    whenDialled_ = nullptr;
    dial_.stop();
    timeout_.stop();
    bufferevent_disable(socket_.get(), EV_READ | EV_WRITE);
}

void Link::flow(bool on) {
    if (!over_) return;
    on ? bufferevent_enable(socket_.get(), EV_READ) : bufferevent_disable(socket_.get(), EV_READ);
    on ? wait(limits_.passStillMs) : timeout_.stop();
}

void Link::wait(double stillMs) { timeout_.start(stillMs); }

void Link::begin(const AttemptTimes& times, Over over) {
    over_ = std::move(over);
    settled_ = begun_ = sent_ = written_ = false;
    const double now = clock_.nowMs();
    endsMs_ = now + times.timeoutMs;
    startByMs_ = now + times.startWithinMs;
    timeout_.start(times.timeoutMs);
    if (std::exchange(dialled_, true)) {
        if (std::isfinite(startByMs_)) dial_.start(times.startWithinMs);
        return;
    }
    connect(std::min(limits_.dialMs, times.startWithinMs));
}

void Link::connect(double withinMs) {
    dial_.start(withinMs);
    const sockaddr_in to = node_.socketAddress();
    if (bufferevent_socket_connect(socket_.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0)
        dial_.start(0);  // told from the loop, as every end is
}

void Link::dial(Dialled then) {
    whenDialled_ = std::move(then);
    if (!std::exchange(dialled_, true)) connect(limits_.dialMs);
}

Link::Over Link::leaveWork() {
    timeout_.stop();
    return std::exchange(over_, nullptr);
}

void Link::write(const std::string& bytes) { bufferevent_write(socket_.get(), bytes.data(), bytes.size()); }

void Link::writeLast(const std::string& bytes) {
    if (clock_.nowMs() > startByMs_) return dial_.start(0);  // told from the loop, as every end is
    sent_ = true;
    std::size_t left = 0;
    if (evbuffer_get_length(bufferevent_get_output(socket_.get())) == 0) {
        const ssize_t now = send(bufferevent_getfd(socket_.get()), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        left = static_cast<std::size_t>(std::max<ssize_t>(now, 0));  // an error shows with the rest
    }
    begun_ = left > 0;
    if (left == bytes.size()) return lastLeft();
    bufferevent_write(socket_.get(), bytes.data() + left, bytes.size() - left);
}

void Link::lastLeft() {
    written_ = true;
    dial_.stop();
}

void Link::settle(Reply reply, bool keep) {
    if (std::exchange(settled_, true)) return;
    reply_ = std::move(reply);
    keep_ = keep;
}

void Link::spoil() {
    closed_ = true;
    settle({written_ ? Ending::spoilt : Ending::notConnected, {}, {}}, false);
}

void Link::happened(bufferevent*, short what, void* arg) {
    auto* self = static_cast<Link*>(arg);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        self->up_ = true;
        sendAtOnce(bufferevent_getfd(self->socket_.get()));
        self->dial_.stop();
        if (const Dialled then = std::exchange(self->whenDialled_, nullptr)) return then(true);
        if (!self->over_) return;
        if (std::isfinite(self->startByMs_)) self->dial_.start(self->startByMs_ - self->clock_.nowMs());
        return self->cameUp();
    }
    self->closed_ = true;
    if ((what & BEV_EVENT_EOF) != 0 && self->over_ && !self->settled_) self->closes();
    self->fail(Ending::broken);  // what came before the close still counts: it has been read
}

void Link::moved(evbuffer* buffer, const evbuffer_cb_info* info, void* arg) {
    auto* self = static_cast<Link*>(arg);
    if (!self->sent_ || info->n_deleted == 0) return;
    self->begun_ = true;
    if (evbuffer_get_length(buffer) == 0) self->lastLeft();
}

void Link::read() {
    evbuffer* input = bufferevent_get_input(socket_.get());
    const std::size_t size = evbuffer_get_length(input);
    std::string_view rest(reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), size);
    if (over_ && !settled_) arrived(rest);
    // What comes behind an answer belongs to none: the next one on this connection could not be told from it.
    if ((!over_ || settled_) && !rest.empty()) {
        counters_.add("node_bytes_left_over");
        closed_ = true;
    }
    evbuffer_drain(input, size - rest.size());
    if (closed_) bufferevent_disable(socket_.get(), EV_READ);
    if (settled_) finish();
}

// Before the last byte of the work is written, it never ran.
void Link::fail(Ending afterwards) {
    closed_ = true;
    dial_.stop();
    if (const Dialled then = std::exchange(whenDialled_, nullptr)) return then(false);
    settle({written_ ? afterwards : Ending::notConnected, {}, {}}, false);
    finish();
}

void Link::finish() {
    dial_.stop();
    timeout_.stop();
    if (const Over over = std::exchange(over_, nullptr)) over(*this, std::move(reply_), keep_ && !closed_);
}

}  // namespace martencove
