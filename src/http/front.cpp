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

/// Reads what a client has sent behind the request in progress, until `maxBytes` bytes are in the buffer from
/// which evhttp takes the next request. The client's close can be seen only behind these bytes. Returns false
/// if the client has disconnected.
bool readAhead(bufferevent* socket, std::size_t maxBytes) {
    const evutil_socket_t fd = bufferevent_getfd(socket);
    evbuffer* input = bufferevent_get_input(socket);
    char chunk[4096];
    while (evbuffer_get_length(input) < maxBytes) {
        const ssize_t received = recv(fd, chunk, sizeof chunk, MSG_DONTWAIT);
        if (received == 0) return false;
        if (received < 0) return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        evbuffer_unfreeze(input, 0);  // libevent allows only its own reads to append
        evbuffer_add(input, chunk, static_cast<std::size_t>(received));
        evbuffer_freeze(input, 0);
    }
    pollfd closeCheck{fd, POLLRDHUP, 0};  // with bytes left in the kernel, a close shows as POLLRDHUP
    return poll(&closeCheck, 1, 0) <= 0 || (closeCheck.revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0;
}

}  // namespace

/// Handles one client request until its answer is handed to the connection or the client has disconnected.
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

    /// Called when a long response begins. The dispatcher counts the request as served, so that no further
    /// attempt is made; the client's connection takes over the stream. Returns whether the stream goes on.
    bool streamStarted(int attemptNumber) {
        const auto started = streams_.find(attemptNumber);
        startedStream_ = std::move(started->second);
        streams_.erase(started);
        HttpFront& front = front_;
        const ResponseStream* stream = startedStream_.get();
        evhttp_connection* connection =
            request_ == nullptr ? nullptr : evhttp_request_get_connection(request_);
        front.dispatcher_.attemptEnded(RequestId(id()), attemptNumber,
                                       AttemptStatus::served);  // may free this object
        const auto client = front.connections_.find(connection);
        return client != front.connections_.end() && client->second.stream.get() == stream;
    }

    void attemptEnded(int attemptNumber, NodeReply reply) {
        const AttemptStatus status = reply.status;
        if (status == AttemptStatus::served && servedReply_.status != AttemptStatus::served)
            servedReply_ = std::move(reply);
        streams_.erase(attemptNumber);
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
                    front->streamDone(connection, complete);
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
                    char seconds[32];
                    std::snprintf(seconds, sizeof seconds, "%.3f", answer.retryAfterMs / 1000);
                    evhttp_add_header(headers, "Retry-After", seconds);
                }
                return front_.sendReply(request, 503, "Service Unavailable");
            case AnswerStatus::failed:
                return front_.sendReply(request, 502, "Bad Gateway");
        }
    }

    /// Called when the client's connection is being closed.
    void clientDisconnected() {
        evhttp_request* request = detachRequest();
        // evhttp has detached a request whose connection broke by itself; it has to be freed here.
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
            // With the buffer full the socket would stay readable, so it is checked by a timer instead.
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

/// Returns whether the socket has unread bytes. They may be a request, which closing the socket would lose.
bool hasUnreadBytes(bufferevent* socket) {
    int unreadBytes = 0;
    return ioctl(bufferevent_getfd(socket), FIONREAD, &unreadBytes) != 0 || unreadBytes > 0;
}

/// Returns whether the socket has unread bytes, or the input buffer has bytes that were not processed.
bool hasInput(bufferevent* socket) {
    return hasUnreadBytes(socket) || evbuffer_get_length(bufferevent_get_input(socket)) > 0;
}

/// Returns whether output is still to be written.
bool hasOutput(bufferevent* socket) { return evbuffer_get_length(bufferevent_get_output(socket)) > 0; }

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

/// Closes a connection at once by firing its read timeout. After a plain shutdown of the socket evhttp would
/// first read and accept a request that arrives in that moment, and could not answer it.
void timeOut(bufferevent* socket) {
    bufferevent_trigger_event(socket, BEV_EVENT_READING | BEV_EVENT_TIMEOUT, 0);
}

/// Returns whether a connection waits to be accepted.
bool connectionWaits(evutil_socket_t listener) {
    pollfd pending{listener, POLLIN, 0};
    return poll(&pending, 1, 0) > 0;
}

constexpr std::string_view kPartialRefusal =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

}  // namespace

HttpFront::InputTracker::InputTracker(bufferevent* connection) : buffers(connection) {
    evbuffer_add_cb(bufferevent_get_input(buffers), onInput, this);
}

HttpFront::InputTracker::~InputTracker() {
    evbuffer_remove_cb(bufferevent_get_input(buffers), onInput, this);
}

void HttpFront::InputTracker::onInput(evbuffer*, const evbuffer_cb_info* info, void* arg) {
    auto* self = static_cast<InputTracker*>(arg);
    if (info->n_added == 0) return;
    self->requestStarted = true;
    // Nothing processes what arrives after evhttp has closed the connection, so reading stops.
    if (closedByEvhttp(self->buffers)) bufferevent_disable(self->buffers, EV_READ);
}

bool HttpFront::InputTracker::isIdle() const {
    return !requestStarted && !hasInput(buffers) && !hasOutput(buffers);
}

// Unread bytes may complete the request, so evhttp has to read them first.
bool HttpFront::InputTracker::hasPartialRequest() const {
    const bool hasBytes = requestStarted || evbuffer_get_length(bufferevent_get_input(buffers)) > 0;
    return hasBytes && !hasUnreadBytes(buffers) && !hasOutput(buffers);
}

HttpFront::HttpFront(event_base* base, const Address& listen, Dispatcher& dispatcher,
                     HttpNodeConnectionPool& pool, const limedrum::ProgramSettings& settings,
                     const Limits& limits, Log& log, int listener)
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
    boundSocket_ = listener >= 0
                       ? evhttp_accept_socket_with_handle(server_.get(), listener)
                       : evhttp_bind_socket_with_handle(server_.get(), listen.host.c_str(), listen.port);
    if (boundSocket_ == nullptr) throw std::runtime_error("listen: cannot bind " + listen.toString());
    connectionCheckTimer_.start(limits.sweepIntervalMs);
}

HttpFront::~HttpFront() = default;

// If another process shares the listener, that one accepts the waiting connections.
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
    std::vector<bufferevent*> silent;
    for (const auto& [buffers, connection] : newConnections_)
        if (connection.acceptedAtMs <= acceptedBefore && connection.input->isIdle())
            silent.push_back(buffers);
    for (bufferevent* buffers : silent) timeOut(buffers);
    if (refusePartial) refusePartialRequests();
    std::erase_if(newConnections_, [](const auto& e) { return closedByEvhttp(e.first); });
}

void HttpFront::refusePartialRequests() {
    const auto refuse = [this](bufferevent* buffers) {
        dispatcher_.counters().add("request_partial_refused");
        (void)send(bufferevent_getfd(buffers), kPartialRefusal.data(), kPartialRefusal.size(), MSG_NOSIGNAL);
    };
    std::vector<evhttp_connection*> partial;
    for (auto& [connection, client] : connections_) {
        if (client.isBusy() || !client.input->hasPartialRequest()) continue;
        refuse(client.input->buffers);
        client.lingerOnClose = true;
        partial.push_back(connection);
    }
    for (evhttp_connection* connection : partial) evhttp_connection_free(connection);
    for (auto& [buffers, newConnection] : newConnections_) {
        if (closedByEvhttp(buffers) || !newConnection.input->hasPartialRequest()) continue;
        refuse(buffers);
        timeOut(buffers);
        newConnection.input.reset();
        lingeringCloses_.add(std::move(newConnection.buffers));
    }
    std::erase_if(newConnections_, [](const auto& e) { return e.second.buffers == nullptr; });
}

void HttpFront::flushOutput() {
    for (const auto& [connection, client] : connections_) {
        bufferevent* buffers = evhttp_connection_get_bufferevent(connection);
        evbuffer* output = bufferevent_get_output(buffers);
        evbuffer_unfreeze(output, 1);  // libevent allows only its own writes to remove
        while (evbuffer_get_length(output) > 0 && evbuffer_write(output, bufferevent_getfd(buffers)) > 0) {
        }
        evbuffer_freeze(output, 1);
    }
}

bool HttpFront::isDrained() const {
    return connections_.empty() && lingeringCloses_.allDelivered() &&
           std::all_of(newConnections_.begin(), newConnections_.end(),
                       [](const auto& entry) { return closedByEvhttp(entry.first); });
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

void HttpFront::closeSilentConnections(std::size_t maxCount, double silentMs) {
    const double silentSince = dispatcher_.nowMs() - silentMs;
    std::vector<std::pair<double, bufferevent*>> silent;
    std::erase_if(newConnections_, [](const auto& e) { return closedByEvhttp(e.first); });
    for (const auto& [buffers, newConnection] : newConnections_) {
        if (newConnection.acceptedAtMs <= silentSince && !hasUnreadBytes(buffers))
            silent.emplace_back(newConnection.acceptedAtMs, buffers);
    }
    // This includes clients that send a request piece by piece: each piece restarts evhttp's own timeout.
    for (const auto& [connection, client] : connections_) {
        bufferevent* buffers = evhttp_connection_get_bufferevent(connection);
        if (!client.isBusy() && client.lastUsedMs <= silentSince - limits_.clientIdleTimeoutMs &&
            !hasUnreadBytes(buffers))
            silent.emplace_back(client.lastUsedMs, buffers);
    }
    std::sort(silent.begin(), silent.end());
    silent.resize(std::min(silent.size(), maxCount));
    for (const auto& [sinceMs, buffers] : silent) timeOut(buffers);
    std::erase_if(newConnections_, [](const auto& e) { return closedByEvhttp(e.first); });
    if (!silent.empty()) dispatcher_.counters().add("client_silent", silent.size());
}

bool HttpFront::atConnectionLimit() const {
    const int fd = fcntl(STDERR_FILENO, F_DUPFD_CLOEXEC, 0);  // the lowest free descriptor
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

// At the connection limit silent connections are closed first, then those idle longest. Meanwhile new
// connections wait in the listener's queue, and requests on the open connections are still served.
void HttpFront::checkConnections() {
    closeSilentConnections(newConnections_.size() + connections_.size(), limits_.firstRequestTimeoutMs);
    if (atConnectionLimit()) {
        closeSilentConnections(limits_.reservedDescriptors, limits_.crowdedFirstRequestTimeoutMs);
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
    bufferevent* buffers = connection.get();
    self->newConnections_[buffers] = {std::move(connection), self->dispatcher_.nowMs(),
                                      std::make_unique<InputTracker>(buffers)};
    if (self->atConnectionLimit()) {  // before the next connection is accepted
        self->setAccepting(false);
        self->connectionCheckTimer_.start(0);
    }
    return buffers;
}

void HttpFront::onConnectionClosed(evhttp_connection* connection, void* arg) {
    auto* self = static_cast<HttpFront*>(arg);
    const auto client = self->connections_.find(connection);
    if (client == self->connections_.end()) return;
    HttpRequestHandler* handler = client->second.handler;
    evhttp_request* streamedRequest = client->second.stream ? client->second.stream->request() : nullptr;
    if (client->second.lingerOnClose) self->lingeringCloses_.add(std::move(client->second.buffers));
    self->connections_.erase(client);
    // evhttp has detached a request whose connection broke by itself; it has to be freed here.
    if (streamedRequest != nullptr && evhttp_request_get_connection(streamedRequest) == nullptr)
        evhttp_request_free(streamedRequest);
    if (handler != nullptr) handler->clientDisconnected();
}

void HttpFront::onRequest(evhttp_request* request, void* self) {
    static_cast<HttpFront*>(self)->handleRequest(request);
}

void HttpFront::handleRequest(evhttp_request* request) {
    evhttp_connection* connection = evhttp_request_get_connection(request);
    const char* uri = evhttp_request_get_uri(request);
    const std::string path = uri == nullptr ? "" : uri;
    const auto [client, isNew] = connections_.try_emplace(connection);
    client->second.lastUsedMs = dispatcher_.nowMs();
    if (isNew) {
        evhttp_connection_set_closecb(connection, onConnectionClosed, this);
        bufferevent* buffers = evhttp_connection_get_bufferevent(connection);
        auto newConnection =
            newConnections_.extract(buffers);  // empty if onAccept() could not allocate a bufferevent
        client->second.input =
            newConnection ? std::move(newConnection.mapped().input) : std::make_unique<InputTracker>(buffers);
        if (newConnection) client->second.buffers = std::move(newConnection.mapped().buffers);
        setTcpNoDelay(bufferevent_getfd(buffers));
    }
    client->second.lingerOnClose = false;
    // Bytes behind this request are the beginning of the next one.
    const evbuffer* input = bufferevent_get_input(evhttp_connection_get_bufferevent(connection));
    client->second.input->requestStarted = evbuffer_get_length(input) > 0;
    std::string error;
    if (!validateFraming(request, error)) return rejectMalformed(request, error);
    if (path == "/healthz" && (evacuating() || (readinessCheck_ && !readinessCheck_())))
        return sendReply(request, 503, "Service Unavailable", evacuating() ? "evacuated\n" : "no nodes\n");
    if (path == "/healthz") return sendReply(request, 200, "OK", "ok\n");
    if (path == "/counters") return sendReply(request, 200, "OK", dispatcher_.counters().toText());
    if (const auto page = pages_.find(path); page != pages_.end())
        return sendReply(request, 200, "OK", page->second());
    auto decoded = decodeRequest(request, settings_, dispatcher_.nowMs(), error);
    if (!decoded) return rejectMalformed(request, error);
    // A client that pipelines requests may have disconnected by the time its next one is taken.
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

// What follows a malformed request may not be a request at all, so the connection is closed after the answer.
void HttpFront::rejectMalformed(evhttp_request* request, const std::string& error) {
    dispatcher_.counters().add("request_malformed");
    log_.warn("client", "malformed request", {{"reason", error}});
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
    sendReply(request, 400, "Bad Request");
}

bool HttpFront::shouldCloseConnections() const {
    // Near the connection limit an idle connection takes the place of another client.
    return draining_ || listenerYielded_ || evacuating() ||
           connectionCount() > limits_.maxKeepAliveConnections;
}

// Closing would lose pipelined requests that have arrived behind this one, so these are answered first, at
// most `maxRequestsWhileClosing` of them. To a client that keeps sending, "Connection: close" says that what
// follows was not processed.
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

// The client detects a truncated answer by the missing bytes of Content-Length or by the missing last chunk.
void HttpFront::streamDone(evhttp_connection* connection, bool complete) {
    const auto client = connections_.find(connection);
    if (client == connections_.end()) return;
    const std::unique_ptr<ResponseStream> stream = std::move(client->second.stream);
    client->second.lastUsedMs = dispatcher_.nowMs();
    if (!complete) {
        dispatcher_.counters().add("answer_cut");
        return evhttp_connection_free(connection);
    }
    stream->finishResponse();
}

}  // namespace martencove
