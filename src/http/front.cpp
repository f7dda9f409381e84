#include "http/front.h"

#include <event2/http_struct.h>
#include <event2/listener.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstdio>
#include <stdexcept>
#include <string_view>
#include <vector>

#include "http/text.h"

namespace martencove {
namespace {

/// Reads the pipelined input that follows the request in progress, because the client's close is seen only
/// after it. Stops at `maxBytes` bytes in the buffer from which evhttp takes the next request. Returns false
/// if the client has disconnected or the connection failed.
bool readAhead(bufferevent* bev, std::size_t maxBytes) {
    const evutil_socket_t fd = bufferevent_getfd(bev);
    evbuffer* input = bufferevent_get_input(bev);
    char chunk[4096];
    while (evbuffer_get_length(input) < maxBytes) {
        const ssize_t received = recv(fd, chunk, sizeof chunk, MSG_DONTWAIT);
        if (received == 0) return false;
        if (received < 0) return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        evbuffer_unfreeze(input, 0);  // 0: the end; libevent allows only its own reads to append
        evbuffer_add(input, chunk, static_cast<std::size_t>(received));
        evbuffer_freeze(input, 0);
    }
    pollfd closeCheck{fd, POLLRDHUP, 0};  // with bytes left in the kernel, a close shows as POLLRDHUP
    return poll(&closeCheck, 1, 0) <= 0 || (closeCheck.revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0;
}

}  // namespace

/// Handles one client request. Exists until the request is answered or its client has disconnected, and all
/// its attempts have ended.
class HttpRequestHandler final : public RequestHandler {
public:
    HttpRequestHandler(HttpFront& front, evhttp_request* request, DecodedRequest decoded)
        : front_(front), request_(request), decodedRequest_(std::move(decoded)) {
        // evhttp does not read while a request is in progress, so the client's close has to be detected here.
        disconnectWatch_.reset(
            event_new(front.base_, bufferevent_getfd(clientBufferevent()), EV_READ, onClientReadable, this));
        event_add(disconnectWatch_.get(), nullptr);
    }

    ~HttpRequestHandler() override { detachRequest(); }
    HttpRequestHandler(const HttpRequestHandler&) = delete;
    HttpRequestHandler& operator=(const HttpRequestHandler&) = delete;

    const RequestId& id() const { return decodedRequest_.request.id; }

    void sendAttempt(const Attempt& attempt, const NodeEntry& node) override {
        NodeRequest request = decodedRequest_.nodeRequest;
        const int attemptNumber = attempt.number;
        const auto address = parseAddress(node.address);
        auto stream = std::make_unique<ResponseStream>(
            front_.pool_, front_.limits_, front_.dispatcher_.counters(),
            ResponseStream::Callbacks{
                [this, attemptNumber] { return streamStarted(attemptNumber); },
                [this, attemptNumber](NodeReply reply) { attemptEnded(attemptNumber, std::move(reply)); }});
        // No streaming to HTTP/1.0 clients: they cannot tell a truncated answer from a complete one.
        if (request_ != nullptr && request_->major == 1 && request_->minor >= 1) request.sink = stream.get();
        if (!address || !stream->startAttempt(*address, request, attempt.timeouts))
            return front_.dispatcher_.attemptEnded(id(), attemptNumber, AttemptStatus::notConnected);
        streams_[attemptNumber] = std::move(stream);
    }

    void cancelAttempt(int attemptNumber) override { streams_.erase(attemptNumber); }

    bool cancelIfUnsent(int attemptNumber) override { return eraseIfUnsent(streams_, attemptNumber); }

    /// Called when a long response begins. Reports the attempt as served, so that no further attempt is made.
    /// The dispatcher then calls sendAnswer(), which moves startedStream_ to the Client. Returns whether that
    /// happened, so that the stream goes on.
    bool streamStarted(int attemptNumber) {
        const auto started = streams_.find(attemptNumber);
        startedStream_ = std::move(started->second);
        streams_.erase(started);
        HttpFront& front = front_;
        const ResponseStream* stream = startedStream_.get();
        evhttp_connection* connection =
            request_ == nullptr ? nullptr : evhttp_request_get_connection(request_);
        // Passes a copy of the id, since the call may free this object.
        front.dispatcher_.attemptEnded(RequestId(id()), attemptNumber, AttemptStatus::served);
        const auto client = front.connections_.find(connection);
        return client != front.connections_.end() && client->second.stream.get() == stream;
    }

    void attemptEnded(int attemptNumber, NodeReply reply) {
        const AttemptStatus status = reply.status;
        // The first served reply is the answer.
        if (status == AttemptStatus::served && servedReply_.status != AttemptStatus::served)
            servedReply_ = std::move(reply);
        streams_.erase(attemptNumber);
        // Passes a copy of the id, since the call may free this object.
        front_.dispatcher_.attemptEnded(RequestId(id()), attemptNumber, status);
    }

    void sendAnswer(const Answer& answer) override {
        if (request_ == nullptr) return;
        evhttp_request* request = detachRequest();
        if (answer.status == AnswerStatus::served && startedStream_) {
            auto& client = front_.connections_.at(evhttp_request_get_connection(request));
            client.stream = std::move(startedStream_);
            front_.decideConnectionClose(request);
            return client.stream->sendHeaders(
                request, [front = &front_](evhttp_connection* connection, bool complete) {
                    front->onStreamDone(connection, complete);
                });
        }
        evkeyvalq* headers = evhttp_request_get_output_headers(request);
        switch (answer.status) {
            case AnswerStatus::served:
                if (!servedReply_.contentType.empty())
                    evhttp_add_header(headers, "Content-Type", servedReply_.contentType.c_str());
                return front_.sendReply(request, 200, "OK", std::move(servedReply_.body));
            case AnswerStatus::refused:
                if (answer.retryAfterMs > 0) {
                    // With fractions, unlike RFC 9110: the advice may be shorter than a second.
                    char seconds[32];
                    std::snprintf(seconds, sizeof seconds, "%.3f", answer.retryAfterMs / 1000);
                    evhttp_add_header(headers, "Retry-After", seconds);
                }
                return front_.sendReply(request, 503, "Service Unavailable");
            case AnswerStatus::failed:
                return front_.sendReply(request, 502, "Bad Gateway");
        }
    }

    /// Called when evhttp is closing the client's connection. onClientReadable() handles closes that this
    /// object detects.
    void clientDisconnected() {
        evhttp_request* request = detachRequest();
        // If the client closed the connection or it failed, evhttp has detached the request, which has to be
        // freed here.
        if (request != nullptr && evhttp_request_get_connection(request) == nullptr)
            evhttp_request_free(request);
        front_.dispatcher_.clientDisconnected(id());
    }

private:
    /// Ends the handler's use of the request and marks its connection as no longer busy. Returns null if that
    /// has been done before.
    evhttp_request* detachRequest() {
        disconnectWatch_.reset();
        evhttp_request* request = std::exchange(request_, nullptr);
        if (request == nullptr) return nullptr;
        const auto client = front_.connections_.find(evhttp_request_get_connection(request));
        if (client != front_.connections_.end()) {
            client->second.handler = nullptr;
            client->second.lastUsedMs = front_.dispatcher_.nowMs();
        }
        return request;
    }

    bufferevent* clientBufferevent() const {
        return evhttp_connection_get_bufferevent(evhttp_request_get_connection(request_));
    }

    static void onClientReadable(evutil_socket_t, short, void* arg) {
        auto* self = static_cast<HttpRequestHandler*>(arg);
        const std::size_t maxBytes = self->front_.limits_.maxReadAheadBytes;
        if (readAhead(self->clientBufferevent(), maxBytes)) {
            // With the buffer full, EV_READ would fire continuously, so a timer checks the socket instead.
            const bool full =
                evbuffer_get_length(bufferevent_get_input(self->clientBufferevent())) >= maxBytes;
            if (full)
                event_assign(self->disconnectWatch_.get(), self->front_.base_, -1, 0, onClientReadable, self);
            const timeval checkInterval = toTimeval(self->front_.limits_.readAheadCheckIntervalMs);
            event_add(self->disconnectWatch_.get(), full ? &checkInterval : nullptr);
            return;
        }
        // Closing the connection also frees the request.
        evhttp_connection* connection = evhttp_request_get_connection(self->request_);
        const RequestId id = self->id();
        Dispatcher& dispatcher = self->front_.dispatcher_;
        self->detachRequest();
        evhttp_connection_free(connection);
        dispatcher.clientDisconnected(id);
    }

    HttpFront& front_;
    evhttp_request* request_;  // null: answered, or the client has disconnected
    DecodedRequest decodedRequest_;
    NodeReply servedReply_;
    std::map<int, std::unique_ptr<ResponseStream>> streams_;  // by attempt number
    std::unique_ptr<ResponseStream> startedStream_;           // of a long response that has begun
    LibeventPtr<event> disconnectWatch_;
};

namespace {

/// Returns whether the socket has unread bytes, also true on error. Closing it would lose a request in them.
bool hasUnreadBytes(bufferevent* bev) {
    int unreadBytes = 0;
    return ioctl(bufferevent_getfd(bev), FIONREAD, &unreadBytes) != 0 || unreadBytes > 0;
}

/// Returns whether the socket has unread bytes, or the input buffer has bytes that were not processed.
bool hasInput(bufferevent* bev) {
    return hasUnreadBytes(bev) || evbuffer_get_length(bufferevent_get_input(bev)) > 0;
}

/// Returns whether output is still to be written.
bool hasOutput(bufferevent* bev) { return evbuffer_get_length(bufferevent_get_output(bev)) > 0; }

/// Returns whether evhttp closes the connection once the request's answer is written.
bool endsWithAnswer(evhttp_request* request) {
    const auto hasConnectionOption = [](evkeyvalq* headers, const char* option) {
        const char* value = evhttp_find_header(headers, "Connection");
        return value != nullptr && equalsIgnoreCase(value, option);
    };
    evkeyvalq* requestHeaders = evhttp_request_get_input_headers(request);
    const bool isHttp10 = request->major < 1 || (request->major == 1 && request->minor < 1);
    return hasConnectionOption(evhttp_request_get_output_headers(request), "close") ||
           hasConnectionOption(requestHeaders, "close") ||
           (isHttp10 && !hasConnectionOption(requestHeaders, "keep-alive"));
}

/// Closes a connection at once by making evhttp handle a read timeout. After a plain shutdown of the socket
/// evhttp would first read and accept a request that arrives in that moment, and could not answer it.
void closeViaTimeoutEvent(bufferevent* bev) {
    bufferevent_trigger_event(bev, BEV_EVENT_READING | BEV_EVENT_TIMEOUT, 0);
}

/// Returns whether a connection waits to be accepted.
bool connectionWaits(evutil_socket_t listener) {
    pollfd pending{listener, POLLIN, 0};
    return poll(&pending, 1, 0) > 0;
}

constexpr std::string_view kPartialRefusal =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

}  // namespace

HttpFront::InputTracker::InputTracker(bufferevent* connectionBev) : bev(connectionBev) {
    evbuffer_add_cb(bufferevent_get_input(bev), onInput, this);
}

HttpFront::InputTracker::~InputTracker() { evbuffer_remove_cb(bufferevent_get_input(bev), onInput, this); }

void HttpFront::InputTracker::onInput(evbuffer*, const evbuffer_cb_info* info, void* arg) {
    auto* self = static_cast<InputTracker*>(arg);
    if (info->n_added == 0) return;
    self->requestStarted = true;
    // Input after evhttp has closed the connection is not consumed, so reading stops.
    if (isClosedByEvhttp(self->bev)) bufferevent_disable(self->bev, EV_READ);
}

bool HttpFront::InputTracker::isIdle() const { return !requestStarted && !hasInput(bev) && !hasOutput(bev); }

bool HttpFront::InputTracker::hasPartialRequest() const {
    const bool hasBytes = requestStarted || evbuffer_get_length(bufferevent_get_input(bev)) > 0;
    // Unread bytes may complete the request, so evhttp has to read them first.
    return hasBytes && !hasUnreadBytes(bev) && !hasOutput(bev);
}

HttpFront::HttpFront(event_base* base, const Address& listenAddress, Dispatcher& dispatcher,
                     HttpNodeConnectionPool& pool, const limedrum::ProgramSettings& settings,
                     const Limits& limits, Log& log, int inheritedListenFd)
    : base_(base),
      dispatcher_(dispatcher),
      pool_(pool),
      settings_(settings),
      limits_(limits),
      log_(log),
      connectionCheckTimer_(base, [this] { checkConnections(); }),
      lingeringCloses_(base, limits, dispatcher.counters()),
      server_(evhttp_new(base)) {
    evhttp_set_max_body_size(server_.get(), static_cast<ev_ssize_t>(limits.maxRequestBodyBytes));
    evhttp_set_max_headers_size(server_.get(), static_cast<ev_ssize_t>(limits.maxHeaderBytes));
    const timeval idle = toTimeval(limits.clientIdleTimeoutMs);
    evhttp_set_timeout_tv(server_.get(), &idle);
    evhttp_set_gencb(server_.get(), onRequest, this);
    evhttp_set_bevcb(server_.get(), onAccept, this);
    boundSocket_ =
        inheritedListenFd >= 0
            ? evhttp_accept_socket_with_handle(server_.get(), inheritedListenFd)
            : evhttp_bind_socket_with_handle(server_.get(), listenAddress.host.c_str(), listenAddress.port);
    if (boundSocket_ == nullptr) throw std::runtime_error("listen: cannot bind " + listenAddress.toString());
    connectionCheckTimer_.start(limits.sweepIntervalMs);
}

HttpFront::~HttpFront() = default;

// If another process shares the listener, the connections still queued are left to that one.
bool HttpFront::closeListener(bool atOnce) {
    if (boundSocket_ == nullptr) return true;
    if (!atOnce && !listenerYielded_ && connectionWaits(listenerFd())) {
        acceptingPaused_ = false;
        setAccepting(!atConnectionLimit());
        return false;
    }
    evhttp_del_accept_socket(server_.get(), boundSocket_);
    boundSocket_ = nullptr;
    return true;
}

void HttpFront::closeFinishedConnections(bool refusePartial) {
    closeIdleConnections(connections_.size(), 0);
    const double acceptedBefore = dispatcher_.nowMs() - limits_.shutdownFirstRequestTimeoutMs;
    std::vector<bufferevent*> stalled;
    for (const auto& [bev, connection] : newConnections_)
        if (connection.acceptedAtMs <= acceptedBefore && connection.input->isIdle()) stalled.push_back(bev);
    for (bufferevent* bev : stalled) closeViaTimeoutEvent(bev);
    if (refusePartial) refusePartialRequests();
    std::erase_if(newConnections_, [](const auto& e) { return isClosedByEvhttp(e.first); });
}

void HttpFront::refusePartialRequests() {
    const auto refuse = [this](bufferevent* bev) {
        dispatcher_.counters().add("request_partial_refused");
        (void)send(bufferevent_getfd(bev), kPartialRefusal.data(), kPartialRefusal.size(), MSG_NOSIGNAL);
    };
    std::vector<evhttp_connection*> partial;
    for (auto& [connection, client] : connections_) {
        if (client.isBusy() || !client.input->hasPartialRequest()) continue;
        refuse(client.input->bev);
        client.lingerOnClose = true;
        partial.push_back(connection);
    }
    for (evhttp_connection* connection : partial) evhttp_connection_free(connection);
    for (auto& [bev, newConnection] : newConnections_) {
        if (isClosedByEvhttp(bev) || !newConnection.input->hasPartialRequest()) continue;
        refuse(bev);
        closeViaTimeoutEvent(bev);
        newConnection.input.reset();
        lingeringCloses_.add(std::move(newConnection.bev));
    }
    std::erase_if(newConnections_, [](const auto& e) { return e.second.bev == nullptr; });
}

void HttpFront::flushOutput() {
    for (const auto& [connection, client] : connections_) {
        bufferevent* bev = evhttp_connection_get_bufferevent(connection);
        evbuffer* output = bufferevent_get_output(bev);
        evbuffer_unfreeze(output, 1);  // 1: the start; libevent allows only its own writes to remove
        while (evbuffer_get_length(output) > 0 && evbuffer_write(output, bufferevent_getfd(bev)) > 0) {
        }
        evbuffer_freeze(output, 1);
    }
}

bool HttpFront::isDrained() const {
    return connections_.empty() && lingeringCloses_.allDelivered() &&
           std::all_of(newConnections_.begin(), newConnections_.end(),
                       [](const auto& entry) { return isClosedByEvhttp(entry.first); });
}

void HttpFront::closeIdleConnections(std::size_t maxCount, double idleMs) {
    std::vector<std::pair<double, evhttp_connection*>> idle;
    for (const auto& [connection, client] : connections_) {
        if (client.lastUsedMs <= dispatcher_.nowMs() - idleMs && client.isIdle())
            idle.emplace_back(client.lastUsedMs, connection);
    }
    std::sort(idle.begin(), idle.end());
    idle.resize(std::min(idle.size(), maxCount));
    for (const auto& [lastUsedMs, connection] : idle) evhttp_connection_free(connection);
}

void HttpFront::closeStalledConnections(std::size_t maxCount, double stalledMs) {
    const double stalledSinceMs = dispatcher_.nowMs() - stalledMs;
    std::vector<std::pair<double, bufferevent*>> stalled;
    std::erase_if(newConnections_, [](const auto& e) { return isClosedByEvhttp(e.first); });
    for (const auto& [bev, newConnection] : newConnections_) {
        if (newConnection.acceptedAtMs <= stalledSinceMs && !hasUnreadBytes(bev))
            stalled.emplace_back(newConnection.acceptedAtMs, bev);
    }
    // This includes clients that send a request piece by piece: each piece restarts evhttp's own timeout.
    for (const auto& [connection, client] : connections_) {
        bufferevent* bev = evhttp_connection_get_bufferevent(connection);
        if (!client.isBusy() && client.lastUsedMs <= stalledSinceMs - limits_.clientIdleTimeoutMs &&
            !hasUnreadBytes(bev))
            stalled.emplace_back(client.lastUsedMs, bev);
    }
    std::sort(stalled.begin(), stalled.end());
    stalled.resize(std::min(stalled.size(), maxCount));
    for (const auto& [sinceMs, bev] : stalled) closeViaTimeoutEvent(bev);
    std::erase_if(newConnections_, [](const auto& e) { return isClosedByEvhttp(e.first); });
    if (!stalled.empty()) dispatcher_.counters().add("client_silent", stalled.size());
}

bool HttpFront::atConnectionLimit() const {
    // The lowest free descriptor number tells about how many descriptors are open.
    const int fd = fcntl(STDERR_FILENO, F_DUPFD_CLOEXEC, 0);
    if (fd >= 0) ::close(fd);
    return fd < 0 || static_cast<std::size_t>(fd) + limits_.reservedDescriptors >= limits_.maxDescriptors ||
           connectionCount() + lingeringCloses_.size() >= limits_.maxClientConnections;
}

void HttpFront::setAccepting(bool on) {
    if (on == accepting_ || boundSocket_ == nullptr) return;
    evconnlistener* listener = evhttp_bound_socket_get_listener(boundSocket_);
    on ? evconnlistener_enable(listener) : evconnlistener_disable(listener);
    accepting_ = on;
    if (!on) dispatcher_.counters().add("client_crowd");
}

int HttpFront::listenerFd() const {
    return boundSocket_ == nullptr ? -1 : evhttp_bound_socket_get_fd(boundSocket_);
}

void HttpFront::setListenerYielded(bool on) {
    listenerYielded_ = on;
    on ? pauseAccepting() : resumeAccepting();
}

void HttpFront::pauseAccepting() {
    if (boundSocket_ == nullptr) return;
    evconnlistener_disable(evhttp_bound_socket_get_listener(boundSocket_));
    acceptingPaused_ = true;
    accepting_ = false;
}

void HttpFront::setEvacuating(bool on) {
    if (!on) return evacuatingSinceMs_.reset();
    if (!evacuating()) evacuatingSinceMs_ = dispatcher_.nowMs();
}

void HttpFront::resumeAccepting() {
    acceptingPaused_ = false;
    connectionCheckTimer_.start(0);
}

// Connections stalled for `firstRequestTimeoutMs` are always closed. At the connection limit, those stalled
// for a shorter time are closed too, then those idle longest; `reservedDescriptors` also serves as the number
// of connections closed at once. Meanwhile new connections wait in the listener's queue, and requests on the
// open connections are still served.
void HttpFront::checkConnections() {
    closeStalledConnections(newConnections_.size() + connections_.size(), limits_.firstRequestTimeoutMs);
    if (atConnectionLimit()) {
        closeStalledConnections(limits_.reservedDescriptors, limits_.crowdedFirstRequestTimeoutMs);
        closeIdleConnections(limits_.reservedDescriptors, limits_.crowdedIdleTimeoutMs);
    }
    if (evacuating() && dispatcher_.nowMs() - *evacuatingSinceMs_ >= limits_.evacuateCloseDelayMs)
        closeIdleConnections(connections_.size(), 0);
    if (!acceptingPaused_) setAccepting(!atConnectionLimit());
    connectionCheckTimer_.start(accepting_ || acceptingPaused_ ? limits_.sweepIntervalMs
                                                               : limits_.crowdedCheckIntervalMs);
}

bufferevent* HttpFront::onAccept(event_base* base, void* arg) {
    auto* self = static_cast<HttpFront*>(arg);
    self->dispatcher_.counters().add("client_connection");
    BuffereventRef connection = newBufferevent(base);
    if (!connection) return nullptr;
    bufferevent* bev = connection.get();
    self->newConnections_[bev] = {std::move(connection), self->dispatcher_.nowMs(),
                                  std::make_unique<InputTracker>(bev)};
    if (self->atConnectionLimit()) {  // before the next connection is accepted
        self->setAccepting(false);
        self->connectionCheckTimer_.start(0);
    }
    return bev;
}

void HttpFront::onConnectionClosed(evhttp_connection* connection, void* arg) {
    auto* self = static_cast<HttpFront*>(arg);
    const auto client = self->connections_.find(connection);
    if (client == self->connections_.end()) return;
    HttpRequestHandler* handler = client->second.handler;
    evhttp_request* streamedRequest = client->second.stream ? client->second.stream->request() : nullptr;
    if (client->second.lingerOnClose) self->lingeringCloses_.add(std::move(client->second.bev));
    self->connections_.erase(client);
    // As in HttpRequestHandler::clientDisconnected().
    if (streamedRequest != nullptr && evhttp_request_get_connection(streamedRequest) == nullptr)
        evhttp_request_free(streamedRequest);
    if (handler != nullptr) handler->clientDisconnected();
}

void HttpFront::onRequest(evhttp_request* request, void* self) {
    static_cast<HttpFront*>(self)->handleRequest(request);
}

void HttpFront::handleRequest(evhttp_request* request) {
    evhttp_connection* connection = evhttp_request_get_connection(request);
    const char* rawUri = evhttp_request_get_uri(request);
    const std::string uri = rawUri == nullptr ? "" : rawUri;
    const auto [client, isNew] = connections_.try_emplace(connection);
    client->second.lastUsedMs = dispatcher_.nowMs();
    if (isNew) {
        evhttp_connection_set_closecb(connection, onConnectionClosed, this);
        bufferevent* bev = evhttp_connection_get_bufferevent(connection);
        auto newConnection =
            newConnections_.extract(bev);  // empty if onAccept() could not allocate a bufferevent
        client->second.input =
            newConnection ? std::move(newConnection.mapped().input) : std::make_unique<InputTracker>(bev);
        if (newConnection) client->second.bev = std::move(newConnection.mapped().bev);
        setTcpNoDelay(bufferevent_getfd(bev));
    }
    client->second.lingerOnClose = false;
    // Bytes that follow this request are the beginning of the next one.
    const evbuffer* input = bufferevent_get_input(evhttp_connection_get_bufferevent(connection));
    client->second.input->requestStarted = evbuffer_get_length(input) > 0;
    std::string error;
    if (!validateFraming(request, error)) return rejectMalformed(request, error);
    if (uri == "/healthz" && (evacuating() || (readinessCheck_ && !readinessCheck_())))
        return sendReply(request, 503, "Service Unavailable", evacuating() ? "evacuated\n" : "no nodes\n");
    if (uri == "/healthz") return sendReply(request, 200, "OK", "ok\n");
    if (uri == "/counters") return sendReply(request, 200, "OK", dispatcher_.counters().toText());
    if (const auto page = pages_.find(uri); page != pages_.end())
        return sendReply(request, 200, "OK", page->second());
    auto decoded = decodeRequest(request, settings_, dispatcher_.nowMs(), error);
    if (!decoded) return rejectMalformed(request, error);
    // A client that pipelines requests may have disconnected before this one is submitted. The answer, which
    // nobody receives, lets evhttp free the request.
    if (!readAhead(evhttp_connection_get_bufferevent(connection), limits_.maxReadAheadBytes)) {
        dispatcher_.counters().add("client_gone_untaken");
        evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
        return sendReply(request, 503, "Service Unavailable");
    }
    const Request dispatched = decoded->request;
    const auto handler = std::make_shared<HttpRequestHandler>(*this, request, std::move(*decoded));
    client->second.handler = handler.get();
    if (dispatcher_.submit(dispatched, handler)) return;
    // The dispatcher has not accepted the request and keeps no state of it.
    dispatcher_.counters().add("request_not_taken");
    handler->sendAnswer({dispatched.id, AnswerStatus::refused, limits_.overloadRetryAfterMs});
}

// After an error of the framing, the start of the next request is unknown, so the connection is closed after
// the answer. The same is done after other errors.
void HttpFront::rejectMalformed(evhttp_request* request, const std::string& error) {
    dispatcher_.counters().add("request_malformed");
    log_.warn("client", "malformed request", {{"reason", error}});
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
    sendReply(request, 400, "Bad Request");
}

bool HttpFront::shouldCloseConnections() const {
    // Above this limit, connections kept alive would take the places of new clients.
    return draining_ || listenerYielded_ || evacuating() ||
           connectionCount() > limits_.maxKeepAliveConnections;
}

// Closing would lose pipelined requests that have arrived after this one, so these are answered first, at
// most `maxRequestsWhileClosing` of them. A client that has sent more learns from "Connection: close" that
// the rest was not processed and has to be sent again.
void HttpFront::decideConnectionClose(evhttp_request* request) {
    evhttp_connection* connection = evhttp_request_get_connection(request);
    const auto found = connections_.find(connection);
    if (found == connections_.end()) return;
    Client& client = found->second;
    if (shouldCloseConnections() && !endsWithAnswer(request)) {
        const bool keepOpen = hasInput(evhttp_connection_get_bufferevent(connection)) &&
                              client.answersWhileClosing < limits_.maxRequestsWhileClosing;
        if (keepOpen)
            ++client.answersWhileClosing;
        else
            evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
    }
    client.lingerOnClose = endsWithAnswer(request);
}

void HttpFront::sendReply(evhttp_request* request, int code, const char* reason, std::string body) {
    decideConnectionClose(request);
    addAccountedBody(evhttp_request_get_output_buffer(request), std::move(body), dispatcher_.counters());
    evhttp_send_reply(request, code, reason, nullptr);
}

void HttpFront::onStreamDone(evhttp_connection* connection, bool complete) {
    const auto client = connections_.find(connection);
    if (client == connections_.end()) return;
    const std::unique_ptr<ResponseStream> stream = std::move(client->second.stream);
    client->second.lastUsedMs = dispatcher_.nowMs();
    if (!complete) {
        // The client detects the truncation by missing bytes of Content-Length or the missing last chunk.
        dispatcher_.counters().add("answer_cut");
        return evhttp_connection_free(connection);
    }
    stream->finishResponse();
}

}  // namespace martencove
