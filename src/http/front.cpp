#include "http/front.h"

#include <event2/http_struct.h>
#include <event2/listener.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
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
/// after it. Returns false if the client has disconnected or the connection failed.
bool readAhead(ClientInput& input) {
    const evutil_socket_t fd = bufferevent_getfd(input.connection());
    char chunk[4096];
    while (!input.isReadAheadFull()) {
        const ssize_t received = recv(fd, chunk, std::min(sizeof chunk, input.readAheadRoom()), MSG_DONTWAIT);
        if (received == 0) return false;
        if (received < 0) return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        input.addReadAhead({chunk, static_cast<std::size_t>(received)});
    }
    pollfd closeCheck{fd, POLLRDHUP, 0};  // with bytes left in the kernel, a close shows as POLLRDHUP
    return poll(&closeCheck, 1, 0) <= 0 || (closeCheck.revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0;
}

/// The value of Retry-After, in seconds. It has fractions, unlike in RFC 9110: the advice may be shorter than
/// a second.
std::string retryAfterSeconds(double retryAfterMs) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", retryAfterMs / 1000);
    return seconds;
}

/// Frees the body and the header fields that evhttp holds of a request, but for the field on which its answer
/// depends. An answer may take long to be written, and a short field takes many times its size.
void releaseContent(evhttp_request* request) {
    evbuffer* body = evhttp_request_get_input_buffer(request);
    evbuffer_drain(body, evbuffer_get_length(body));
    evkeyvalq* headers = evhttp_request_get_input_headers(request);
    const char* value = evhttp_find_header(headers, "Connection");
    const std::string connection = value == nullptr ? "" : value;
    evhttp_clear_headers(headers);
    if (!connection.empty()) evhttp_add_header(headers, "Connection", connection.c_str());
}

}  // namespace

/// Handles one client request. Exists until the request is answered or its client has disconnected, and all
/// its attempts have ended.
class HttpRequestHandler final : public RequestHandler {
public:
    HttpRequestHandler(HttpFront& front, evhttp_request* request, DecodedRequest decoded)
        : front_(front),
          request_(request),
          decodedRequest_(std::move(decoded)),
          charge_(front.requestMemory_) {
        charge_.set(decodedRequest_.heldBytes());
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
                request, [input = client.input.get()] { input->limitReadAhead(); },
                [front = &front_](evhttp_connection* connection, bool complete) {
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
                if (answer.retryAfterMs > 0)
                    evhttp_add_header(headers, "Retry-After", retryAfterSeconds(answer.retryAfterMs).c_str());
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
        ClientInput& input =
            *self->front_.connections_.at(evhttp_request_get_connection(self->request_)).input;
        if (readAhead(input)) {
            // While no more is read, EV_READ would fire continuously, so a timer checks the socket instead.
            const bool full = input.isReadAheadFull();
            event_assign(self->disconnectWatch_.get(), self->front_.base_,
                         full ? -1 : bufferevent_getfd(input.connection()), full ? 0 : EV_READ,
                         onClientReadable, self);
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
    RequestMemory::Charge charge_;  // of decodedRequest_
    NodeReply servedReply_;
    std::map<int, std::unique_ptr<ResponseStream>> streams_;  // by attempt number
    std::unique_ptr<ResponseStream> startedStream_;           // of a long response that has begun
    LibeventPtr<event> disconnectWatch_;
};

namespace {

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

/// Returns whether a connection waits to be accepted.
bool connectionWaits(evutil_socket_t listener) {
    pollfd pending{listener, POLLIN, 0};
    return poll(&pending, 1, 0) > 0;
}

/// Returns how many connections wait to be accepted; 0 if the system cannot tell.
std::size_t waitingConnectionCount(evutil_socket_t listener) {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(listener, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
    return info.tcpi_unacked;  // of a listening socket: the length of its accept queue
}

/// An answer without a body that closes its connection, as it is sent in place of evhttp.
std::string closingReply(const std::string& status, const std::string& fields = "") {
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: 0\r\nConnection: close\r\n\r\n";
}

std::string malformedReply(int status) {
    return closingReply(status == 413   ? "413 Content Too Large"
                        : status == 431 ? "431 Request Header Fields Too Large"
                                        : "400 Bad Request");
}

}  // namespace

HttpFront::HttpFront(event_base* base, const Address& listenAddress, Dispatcher& dispatcher,
                     HttpNodeConnectionPool& pool, RequestMemory& requestMemory,
                     const limedrum::ProgramSettings& settings, const Limits& limits, Log& log,
                     int inheritedListenFd)
    : base_(base),
      dispatcher_(dispatcher),
      pool_(pool),
      settings_(settings),
      limits_(limits),
      log_(log),
      requestMemory_(requestMemory),
      blockedTimer_(base, [this] { serveBlockedInputs(); }),
      inputContext_{{limits.maxHeaderBytes, limits.maxRequestBodyBytes},
                    limits.uncountedInputBytes,
                    limits.maxReadAheadBytes,
                    requestMemory,
                    clock_,
                    [this] { blockedTimer_.start(0); }},
      connectionCheckTimer_(base, [this] { checkConnections(); }),
      lingeringCloses_(base, limits, dispatcher.counters()),
      server_(evhttp_new(base)) {
    evhttp_set_max_body_size(server_.get(), static_cast<ev_ssize_t>(limits.maxRequestBodyBytes));
    evhttp_set_max_headers_size(server_.get(), static_cast<ev_ssize_t>(limits.maxHeaderBytes));
    const timeval timeout = toTimeval(limits.clientIoTimeoutMs);
    evhttp_set_timeout_tv(server_.get(), &timeout);
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
    for (bufferevent* bev : stalled) closeEvhttpConnection(bev);
    if (refusePartial) refusePartialRequests();
    std::erase_if(newConnections_, [](const auto& e) { return isClosedByEvhttp(e.first); });
}

std::vector<HttpFront::WaitingInput> HttpFront::waitingInputs() const {
    std::vector<WaitingInput> inputs;
    for (const auto& [connection, client] : connections_)
        if (!client.isBusy()) inputs.push_back({client.input.get(), connection});
    for (const auto& [bev, connection] : newConnections_)
        if (!isClosedByEvhttp(bev)) inputs.push_back({connection.input.get(), nullptr});
    return inputs;
}

void HttpFront::closeWithReply(const WaitingInput& waiting, std::string_view reply) {
    bufferevent* bev = waiting.input->connection();
    (void)send(bufferevent_getfd(bev), reply.data(), reply.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (waiting.connection != nullptr) {
        connections_.at(waiting.connection).lingerOnClose = true;
        return evhttp_connection_free(waiting.connection);
    }
    auto newConnection = newConnections_.extract(bev);
    closeEvhttpConnection(bev);
    newConnection.mapped().input.reset();
    lingeringCloses_.add(std::move(newConnection.mapped().bev));
}

void HttpFront::refuseArriving(const WaitingInput& waiting) {
    dispatcher_.counters().add("request_partial_refused");
    const double retryAfterMs = limits_.overloadRetryAfterMs;
    closeWithReply(
        waiting,
        closingReply("503 Service Unavailable",
                     retryAfterMs > 0 ? "Retry-After: " + retryAfterSeconds(retryAfterMs) + "\r\n" : ""));
}

void HttpFront::refusePartialRequests() {
    for (const WaitingInput& waiting : waitingInputs())
        if (waiting.input->hasPartialRequest()) refuseArriving(waiting);
}

void HttpFront::serveBlockedInputs() {
    while (serveLongestWaiting()) {
    }
    bool blocked = requestMemory_.isOver();
    for (const WaitingInput& waiting : waitingInputs()) {
        const ClientInput::State state = waiting.input->state();
        blocked = blocked || state == ClientInput::State::waitingForMemory ||
                  state == ClientInput::State::malformed;
        // An answer that is still being written goes first.
        if (state != ClientInput::State::malformed || hasOutput(waiting.input->connection())) continue;
        const int status = waiting.input->errorStatus();
        dispatcher_.counters().add("request_malformed");
        log_.warn("client", "malformed request", {{"reason", "framing"}, {"status", status}});
        closeWithReply(waiting, malformedReply(status));
    }
    if (blocked) blockedTimer_.start(limits_.requestMemoryCheckIntervalMs);
}

bool HttpFront::serveLongestWaiting() {
    const double now = clock_.nowMs();
    const std::vector<WaitingInput> inputs = waitingInputs();
    const WaitingInput* longest = nullptr;
    std::vector<ArrivingRequest> arriving;
    std::vector<const WaitingInput*> arrivingInputs;
    for (const WaitingInput& candidate : inputs) {
        const ClientInput& input = *candidate.input;
        if (input.state() == ClientInput::State::waitingForMemory) {
            if (hasOutput(input.connection())) continue;  // the answer before it goes first
            if (longest == nullptr ||
                *input.arrival().pausedSinceMs() < *longest->input->arrival().pausedSinceMs())
                longest = &candidate;
        } else if (input.chargedBytes() > 0 && input.hasPartialRequest()) {
            arriving.push_back({&input.arrival(), input.chargedBytes()});
            arrivingInputs.push_back(&candidate);
        }
    }
    if (longest == nullptr && !requestMemory_.isOver()) return false;
    if (longest != nullptr && longest->input->tryResume()) return true;
    if (const auto stalled = chooseLongestStalled(arriving, now, limits_.arrivalPace)) {
        dispatcher_.counters().add("request_no_memory");
        refuseArriving(*arrivingInputs[*stalled]);
        return true;
    }
    if (longest == nullptr) return false;
    const bool givenUp = now - *longest->input->arrival().pausedSinceMs() >= limits_.requestMemoryWaitMs;
    if (!givenUp) return false;
    dispatcher_.counters().add("request_no_memory");
    refuseArriving(*longest);
    return true;
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

void HttpFront::closeOverdueConnections() {
    const double now = clock_.nowMs();
    std::vector<bufferevent*> overdue;
    for (const WaitingInput& waiting : waitingInputs()) {
        const ClientInput& input = *waiting.input;
        const bool hasUnread = hasUnreadBytes(input.connection());
        // Unread bytes have waited for this program as long as it was held up.
        const double heldUpMs = hasUnread ? limits_.arrivalPace.graceMs : 0;
        const bool late = input.arrival().isOverdue(now - heldUpMs, limits_.arrivalPace);
        if (late || (!hasUnread && isSilent(waiting, limits_.firstRequestTimeoutMs)))
            overdue.push_back(input.connection());
    }
    closeSilent(overdue);
}

bool HttpFront::isSilent(const WaitingInput& waiting, double silentMs) const {
    const double silentSinceMs = dispatcher_.nowMs() - silentMs;
    const ClientInput& input = *waiting.input;
    if (input.state() == ClientInput::State::waitingForMemory) return false;
    if (input.state() == ClientInput::State::receiving && input.hasBytes()) return false;
    if (waiting.connection == nullptr)
        return newConnections_.at(input.connection()).acceptedAtMs <= silentSinceMs;
    return connections_.at(waiting.connection).lastUsedMs <= silentSinceMs - limits_.clientIdleTimeoutMs;
}

void HttpFront::makeRoomForConnections() {
    std::vector<bufferevent*> inputs;
    std::vector<WaitingConnection> candidates;
    for (const WaitingInput& waiting : waitingInputs()) {
        const ClientInput& input = *waiting.input;
        if (hasUnreadBytes(input.connection())) continue;
        inputs.push_back(input.connection());
        candidates.push_back({&input.arrival(), isSilent(waiting, limits_.crowdedFirstRequestTimeoutMs),
                              input.hasPartialRequest()});
    }
    // While accepting is paused, what waits is not for this process.
    const std::size_t waitingCount = acceptingPaused_ ? 0 : waitingConnectionCount(listenerFd());
    const RoomNeeded needed{limits_.reservedDescriptors, waitingCount, limits_.crowdedFirstRequestTimeoutMs};
    std::vector<bufferevent*> closing;
    for (const std::size_t i :
         chooseConnectionsForRoom(candidates, clock_.nowMs(), limits_.arrivalPace, needed))
        closing.push_back(inputs[i]);
    closeSilent(closing);
}

void HttpFront::closeSilent(const std::vector<bufferevent*>& connections) {
    for (bufferevent* bev : connections) closeEvhttpConnection(bev);
    std::erase_if(newConnections_, [](const auto& e) { return isClosedByEvhttp(e.first); });
    if (!connections.empty()) dispatcher_.counters().add("client_silent", connections.size());
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

// Overdue connections are always closed. At the connection limit, those on which nothing goes on for a
// shorter time are closed too, then those idle longest; `reservedDescriptors` also serves as the number
// of connections closed at once. A request that has arrived in part is given up only for a connection that
// waits. Meanwhile new connections wait in the listener's queue, and requests on the
// open connections are still served.
void HttpFront::checkConnections() {
    closeOverdueConnections();
    closeIdleConnections(connections_.size(), limits_.clientIdleTimeoutMs);
    if (atConnectionLimit()) {
        makeRoomForConnections();
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
                                  std::make_unique<ClientInput>(bev, self->inputContext_)};
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
        client->second.input = newConnection ? std::move(newConnection.mapped().input)
                                             : std::make_unique<ClientInput>(bev, inputContext_);
        if (newConnection) client->second.bev = std::move(newConnection.mapped().bev);
        setTcpNoDelay(bufferevent_getfd(bev));
    }
    client->second.lingerOnClose = false;
    client->second.input->requestTaken();
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
    releaseContent(request);
    // A client that pipelines requests may have disconnected before this one is submitted. The answer, which
    // nobody receives, lets evhttp free the request.
    if (!readAhead(*client->second.input)) {
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
        const bool keepOpen = (client.input->hasBytes() || hasUnreadBytes(client.input->connection())) &&
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
    releaseContent(request);
    readNextRequest(evhttp_request_get_connection(request));
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
    readNextRequest(connection);
    stream->finishResponse();
}

void HttpFront::readNextRequest(evhttp_connection* connection) {
    const auto client = connections_.find(connection);
    if (client != connections_.end() && !client->second.lingerOnClose)
        client->second.input->requestAnswered();
}

}  // namespace martencove
