#include "net/node_connection.h"

#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cmath>
#include <utility>

namespace martencove {

NodeConnection::NodeConnection(event_base* base, Address address, const Limits& limits, Counters& counters)
    : limits_(limits),
      counters_(counters),
      address_(std::move(address)),
      socket_(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE)),
      connectOrSendTimer_(base, [this] { fail(AttemptStatus::notConnected); }),
      timeoutTimer_(base, [this] { fail(AttemptStatus::timedOut); }) {
    if (!socket_) throw std::bad_alloc();
    bufferevent_setcb(socket_.get(), onReadable, nullptr, onEvent, this);
    bufferevent_enable(socket_.get(), EV_READ | EV_WRITE);
    evbuffer_add_cb(bufferevent_get_output(socket_.get()), onOutputChanged, this);
}

NodeConnection::~NodeConnection() {
    evbuffer_remove_cb(bufferevent_get_output(socket_.get()), onOutputChanged, this);
}

bool NodeConnection::isUsable() {
    if (closed_) return false;
    char byte = 0;
    const ssize_t received = recv(bufferevent_getfd(socket_.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received > 0) countLeftOverBytes();
    closed_ = received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    return !closed_;
}

void NodeConnection::cancel() {
    onDone_ = nullptr;
    onPreconnected_ = nullptr;
    connectOrSendTimer_.stop();
    timeoutTimer_.stop();
    bufferevent_disable(socket_.get(), EV_READ | EV_WRITE);
}

void NodeConnection::setReading(bool enabled) {
    if (!onDone_) return;
    enabled ? bufferevent_enable(socket_.get(), EV_READ) : bufferevent_disable(socket_.get(), EV_READ);
    enabled ? startStallTimeout(limits_.streamStallTimeoutMs) : timeoutTimer_.stop();
}

void NodeConnection::startStallTimeout(double stallMs) { timeoutTimer_.start(stallMs); }

void NodeConnection::beginRequest(const AttemptTimeouts& timeouts, DoneCallback onDone) {
    onDone_ = std::move(onDone);
    replySet_ = hasSentBytes_ = finalWriteStarted_ = finalWriteDone_ = false;
    const double now = clock_.nowMs();
    deadlineMs_ = now + timeouts.timeoutMs;
    sendByMs_ = now + timeouts.lastByteWithinMs;
    timeoutTimer_.start(timeouts.timeoutMs);
    if (std::exchange(connectStarted_, true)) {
        if (std::isfinite(sendByMs_)) connectOrSendTimer_.start(timeouts.lastByteWithinMs);
        return;
    }
    startConnect(std::min(limits_.connectTimeoutMs, timeouts.lastByteWithinMs));
}

void NodeConnection::startConnect(double timeoutMs) {
    connectOrSendTimer_.start(timeoutMs);
    const sockaddr_in target = address_.socketAddress();
    if (bufferevent_socket_connect(socket_.get(), reinterpret_cast<const sockaddr*>(&target),
                                   sizeof target) != 0)
        connectOrSendTimer_.start(0);  // reported from the loop, as every result is
}

void NodeConnection::preconnect(ConnectCallback onPreconnected) {
    onPreconnected_ = std::move(onPreconnected);
    if (!std::exchange(connectStarted_, true)) startConnect(limits_.connectTimeoutMs);
}

NodeConnection::DoneCallback NodeConnection::detachRequest() {
    timeoutTimer_.stop();
    return std::exchange(onDone_, nullptr);
}

void NodeConnection::write(const std::string& bytes) {
    bufferevent_write(socket_.get(), bytes.data(), bytes.size());
}

void NodeConnection::writeFinal(std::string_view bytes, const std::shared_ptr<const std::string>& body) {
    if (clock_.nowMs() > sendByMs_)
        return connectOrSendTimer_.start(0);  // reported from the loop, as every result is
    finalWriteStarted_ = true;
    const std::size_t bodyBytes = body ? body->size() : 0;
    std::size_t sentBytes = 0;
    if (evbuffer_get_length(bufferevent_get_output(socket_.get())) == 0)
        sentBytes = sendNow(bytes, body ? std::string_view(*body) : std::string_view());
    hasSentBytes_ = sentBytes > 0;
    if (sentBytes == bytes.size() + bodyBytes) return onFinalByteWritten();
    const std::size_t sentOfBytes = std::min(sentBytes, bytes.size());
    bufferevent_write(socket_.get(), bytes.data() + sentOfBytes, bytes.size() - sentOfBytes);
    if (bodyBytes > 0) queueBody(body, sentBytes - sentOfBytes);
}

// An error is reported by the bufferevent, which writes the rest.
std::size_t NodeConnection::sendNow(std::string_view bytes, std::string_view body) {
    std::array<iovec, 2> parts{
        {{const_cast<char*>(bytes.data()), bytes.size()}, {const_cast<char*>(body.data()), body.size()}}};
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = parts.size();
    const ssize_t result = sendmsg(bufferevent_getfd(socket_.get()), &message, MSG_NOSIGNAL);
    return static_cast<std::size_t>(std::max<ssize_t>(result, 0));
}

void NodeConnection::queueBody(const std::shared_ptr<const std::string>& body, std::size_t sentBytes) {
    using SharedBody = std::shared_ptr<const std::string>;
    auto owner = std::make_unique<SharedBody>(body);
    if (evbuffer_add_reference(
            bufferevent_get_output(socket_.get()), body->data() + sentBytes, body->size() - sentBytes,
            [](const void*, std::size_t, void* arg) { delete static_cast<SharedBody*>(arg); },
            owner.get()) == 0)
        (void)owner.release();  // owned by the buffer now
}

void NodeConnection::onFinalByteWritten() {
    finalWriteDone_ = true;
    connectOrSendTimer_.stop();
}

void NodeConnection::setReply(NodeReply reply, bool keepAlive) {
    if (std::exchange(replySet_, true)) return;
    reply_ = std::move(reply);
    keepAlive_ = keepAlive;
}

void NodeConnection::failInvalidReply() {
    closed_ = true;
    setReply({finalWriteDone_ ? AttemptStatus::invalidReply : AttemptStatus::notConnected, {}, {}}, false);
}

void NodeConnection::onEvent(bufferevent*, short events, void* arg) {
    auto* self = static_cast<NodeConnection*>(arg);
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        self->isConnected_ = true;
        setTcpNoDelay(bufferevent_getfd(self->socket_.get()));
        self->connectOrSendTimer_.stop();
        if (const ConnectCallback onPreconnected = std::exchange(self->onPreconnected_, nullptr))
            return onPreconnected(true);
        if (!self->onDone_) return;
        if (std::isfinite(self->sendByMs_))
            self->connectOrSendTimer_.start(self->sendByMs_ - self->clock_.nowMs());
        return self->onConnected();
    }
    self->closed_ = true;
    if ((events & BEV_EVENT_EOF) != 0 && self->onDone_ && !self->replySet_) self->onEof();
    self->fail(AttemptStatus::connectionLost);  // a reply that was read before the close still counts
}

void NodeConnection::onOutputChanged(evbuffer* buffer, const evbuffer_cb_info* info, void* arg) {
    auto* self = static_cast<NodeConnection*>(arg);
    if (!self->finalWriteStarted_ || info->n_deleted == 0) return;
    self->hasSentBytes_ = true;
    if (evbuffer_get_length(buffer) == 0) self->onFinalByteWritten();
}

void NodeConnection::read() {
    evbuffer* input = bufferevent_get_input(socket_.get());
    const std::size_t size = evbuffer_get_length(input);
    std::string_view rest(reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), size);
    if (onDone_ && !replySet_) onData(rest);
    // Bytes after a response make the connection unusable: they could not be told from the next response.
    if ((!onDone_ || replySet_) && !rest.empty()) {
        countLeftOverBytes();
        closed_ = true;
    }
    evbuffer_drain(input, size - rest.size());
    if (closed_) bufferevent_disable(socket_.get(), EV_READ);
    if (replySet_) reportDone();
}

void NodeConnection::countLeftOverBytes() {
    counters_.add("node_bytes_left_over");
    if (!onDone_) counters_.add("node_bytes_idle");
}

// A request whose last byte was not written has not been executed, so its status is notConnected.
void NodeConnection::fail(AttemptStatus statusIfSent) {
    closed_ = true;
    connectOrSendTimer_.stop();
    if (const ConnectCallback onPreconnected = std::exchange(onPreconnected_, nullptr))
        return onPreconnected(false);
    setReply({finalWriteDone_ ? statusIfSent : AttemptStatus::notConnected, {}, {}}, false);
    reportDone();
}

void NodeConnection::reportDone() {
    connectOrSendTimer_.stop();
    timeoutTimer_.stop();
    if (const DoneCallback onDone = std::exchange(onDone_, nullptr))
        onDone(*this, std::move(reply_), keepAlive_ && !closed_);
}

}  // namespace martencove
