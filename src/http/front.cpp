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

/// Reads what a client has sent before its turn, up to `most` bytes, into the buffers out of which evhttp
/// takes the next request: a close shows only behind it. False: the client has gone.
bool readEarly(bufferevent* socket, std::size_t most) {
    const evutil_socket_t fd = bufferevent_getfd(socket);
    evbuffer* input = bufferevent_get_input(socket);
    char some[4096];
    while (evbuffer_get_length(input) < most) {
        const ssize_t got = recv(fd, some, sizeof some, MSG_DONTWAIT);
        if (got == 0) return false;
        if (got < 0) return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        evbuffer_unfreeze(input, 0);  // libevent keeps the end to its own reads
        evbuffer_add(input, some, static_cast<std::size_t>(got));
        evbuffer_freeze(input, 0);
    }
    pollfd look{fd, POLLRDHUP, 0};  // the rest stays with the system, and a close behind it too
    return poll(&look, 1, 0) <= 0 || (look.revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0;
}

}  // namespace

/// A request of a client, until its answer is handed to its connection or the client is gone.
class HttpJob final : public Job {
public:
    HttpJob(HttpFront& front, evhttp_request* request, HttpMessage message)
        : front_(front), request_(request), message_(std::move(message)) {
        // evhttp does not read while a request is in work, so the client's close must be looked for.
        watch_.reset(event_new(front.base_, bufferevent_getfd(socket()), EV_READ, readable, this));
        event_add(watch_.get(), nullptr);
    }

    ~HttpJob() override { release(); }
    HttpJob(const HttpJob&) = delete;
    HttpJob& operator=(const HttpJob&) = delete;

    const RequestId& id() const { return message_.request.id; }

    void send(const Attempt& attempt, const NodeEntry& node) override {
        NodeRequest request = message_.toNode;
        const int number = attempt.number;
        const auto address = parseAddress(node.dial);
        auto stream = std::make_unique<ResponseStream>(
            front_.pool_, front_.limits_, front_.dispatcher_.counters(),
            ResponseStream::Owner{[this, number] { return passes(number); },
                                  [this, number](Reply reply) { ended(number, std::move(reply)); }});
        // An older client could not tell a long answer that breaks from one that ends.
        if (request_ != nullptr && request_->major == 1 && request_->minor >= 1) request.sink = stream.get();
        if (!address || !stream->start(*address, request, attempt.times))
            return front_.dispatcher_.over(id(), number, Ending::notConnected);
        streams_[number] = std::move(stream);
    }

    void cancel(int attempt) override { streams_.erase(attempt); }

    bool withdraw(int attempt) override { return withdrawFrom(streams_, attempt); }

    /// A long answer begins. To the decisions the request is served: what comes is the connection's matter.
    /// Whether it goes on.
    bool passes(int attempt) {
        const auto at = streams_.find(attempt);
        passing_ = std::move(at->second);
        streams_.erase(at);
        HttpFront& front = front_;
        const ResponseStream* stream = passing_.get();
        evhttp_connection* connection =
            request_ == nullptr ? nullptr : evhttp_request_get_connection(request_);
        front.dispatcher_.over(RequestId(id()), attempt, Ending::served);  // the last of this job
        const auto client = front.connections_.find(connection);
        return client != front.connections_.end() && client->second.stream.get() == stream;
    }

    void ended(int attempt, Reply reply) {
        const Ending ending = reply.ending;
        if (ending == Ending::served && reply_.ending != Ending::served) reply_ = std::move(reply);
        streams_.erase(attempt);
        front_.dispatcher_.over(RequestId(id()), attempt, ending);
    }

    void answer(const Answer& answer) override {
        if (request_ == nullptr) return;
        evhttp_request* request = release();
        if (answer.verdict == Verdict::served && passing_) {
            auto& client = front_.connections_.at(evhttp_request_get_connection(request));
            client.stream = std::move(passing_);
            front_.mayEnd(request);
            return client.stream->goOn(request, [front = &front_](evhttp_connection* connection, bool whole) {
                front->passed(connection, whole);
            });
        }
        evkeyvalq* headers = evhttp_request_get_output_headers(request);
        switch (answer.verdict) {
            case Verdict::served:
                if (!reply_.contentType.empty())
                    evhttp_add_header(headers, "Content-Type", reply_.contentType.c_str());
                return front_.reply(request, 200, "OK", std::move(reply_.body));
            case Verdict::refused:
                if (answer.retryAfterMs > 0) {
                    char seconds[32];
                    std::snprintf(seconds, sizeof seconds, "%.3f", answer.retryAfterMs / 1000);
                    evhttp_add_header(headers, "Retry-After", seconds);
                }
                return front_.reply(request, 503, "Service Unavailable");
            case Verdict::failed:
                return front_.reply(request, 502, "Bad Gateway");
        }
    }

    /// The client's connection is closing.
    void disconnected() {
        evhttp_request* request = release();
        // evhttp has let go of a request whose connection broke by itself.
        if (request != nullptr && evhttp_request_get_connection(request) == nullptr)
            evhttp_request_free(request);
        front_.dispatcher_.gone(id());
    }

private:
    /// Takes the request from the connection's care.
    evhttp_request* release() {
        watch_.reset();
        evhttp_request* request = std::exchange(request_, nullptr);
        if (request == nullptr) return nullptr;
        const auto at = front_.connections_.find(evhttp_request_get_connection(request));
        if (at != front_.connections_.end()) {
            at->second.job = nullptr;
            at->second.usedMs = front_.dispatcher_.nowMs();
        }
        return request;
    }

    bufferevent* socket() const {
        return evhttp_connection_get_bufferevent(evhttp_request_get_connection(request_));
    }

    static void readable(evutil_socket_t, short, void* arg) {
        auto* self = static_cast<HttpJob*>(arg);
        const std::size_t most = self->front_.limits_.earlyBytes;
        if (readEarly(self->socket(), most)) {
            // Of one that has sent more than is read now, looked at again and again instead.
            const bool full = evbuffer_get_length(bufferevent_get_input(self->socket())) >= most;
            if (full) event_assign(self->watch_.get(), self->front_.base_, -1, 0, readable, self);
            const timeval soon = timevalOf(self->front_.limits_.earlyLookMs);
            event_add(self->watch_.get(), full ? &soon : nullptr);
            return;
        }
        // Closes the connection, and with it frees the request.
        evhttp_connection* connection = evhttp_request_get_connection(self->request_);
        const RequestId id = self->id();
        Dispatcher& dispatcher = self->front_.dispatcher_;
        self->release();
        evhttp_connection_free(connection);
        dispatcher.gone(id);
    }

    HttpFront& front_;
    evhttp_request* request_;  // null: answered, or the client is gone
    HttpMessage message_;
    Reply reply_;
    std::map<int, std::unique_ptr<ResponseStream>> streams_;  // by attempt
    std::unique_ptr<ResponseStream> passing_;                 // whose long answer is about to go on
    Owned<event> watch_;
};

namespace {

/// Whether bytes have come that nobody has read: a request, perhaps, that a close would lose.
bool unread(bufferevent* socket) {
    int waiting = 0;
    return ioctl(bufferevent_getfd(socket), FIONREAD, &waiting) != 0 || waiting > 0;
}

/// The same, or it has been read and not taken.
bool hasInput(bufferevent* socket) {
    return unread(socket) || evbuffer_get_length(bufferevent_get_input(socket)) > 0;
}

/// Whether an answer has not been written whole.
bool hasOutput(bufferevent* socket) { return evbuffer_get_length(bufferevent_get_output(socket)) > 0; }

/// Whether evhttp ends the connection once the request's answer is written.
bool endsWithAnswer(evhttp_request* request) {
    const auto says = [](evkeyvalq* headers, const char* word) {
        const char* value = evhttp_find_header(headers, "Connection");
        return value != nullptr && sameText(value, word);
    };
    evkeyvalq* asked = evhttp_request_get_input_headers(request);
    const bool old = request->major < 1 || (request->major == 1 && request->minor < 1);
    return says(evhttp_request_get_output_headers(request), "close") || says(asked, "close") ||
           (old && !says(asked, "keep-alive"));
}

/// Ends a connection as evhttp does where its time is out: at once. After a shutdown it would first read, and
/// take, a request that comes in that moment, and could not answer it.
void timeOut(bufferevent* socket) {
    bufferevent_trigger_event(socket, BEV_EVENT_READING | BEV_EVENT_TIMEOUT, 0);
}

/// Whether a connection waits to be accepted.
bool connectionWaits(evutil_socket_t listener) {
    pollfd look{listener, POLLIN, 0};
    return poll(&look, 1, 0) > 0;
}

constexpr std::string_view kPartialRefusal =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

}  // namespace

HttpFront::Coming::Coming(bufferevent* b) : buffers(b) {
    evbuffer_add_cb(bufferevent_get_input(buffers), cameIn, this);
}

HttpFront::Coming::~Coming() { evbuffer_remove_cb(bufferevent_get_input(buffers), cameIn, this); }

void HttpFront::Coming::cameIn(evbuffer*, const evbuffer_cb_info* info, void* arg) {
    auto* self = static_cast<Coming*>(arg);
    if (info->n_added == 0) return;
    self->begun = true;
    // What still comes after evhttp's end of the connection is nobody's: no more is read.
    if (letGo(self->buffers)) bufferevent_disable(self->buffers, EV_READ);
}

bool HttpFront::Coming::rests() const { return !begun && !hasInput(buffers) && !hasOutput(buffers); }

// What waits unread may be the rest: that is for evhttp to read first.
bool HttpFront::Coming::partial() const {
    const bool come = begun || evbuffer_get_length(bufferevent_get_input(buffers)) > 0;
    return come && !unread(buffers) && !hasOutput(buffers);
}

HttpFront::HttpFront(event_base* base, const Address& listen, Dispatcher& dispatcher, NodePool& pool,
                     const limedrum::Site& site, const Limits& limits, Log& log, int listener)
    : base_(base),
      dispatcher_(dispatcher),
      pool_(pool),
      site_(site),
      limits_(limits),
      log_(log),
      look_(base, [this] { look(); }),
      lingering_(base, limits, dispatcher.counters()),
      server_(evhttp_new(base)) {
    evhttp_set_max_body_size(server_.get(), static_cast<ev_ssize_t>(limits.body));
    evhttp_set_max_headers_size(server_.get(), static_cast<ev_ssize_t>(limits.headers));
    const timeval idle = timevalOf(limits.clientIdleMs);
    evhttp_set_timeout_tv(server_.get(), &idle);
    evhttp_set_gencb(server_.get(), requested, this);
    evhttp_set_bevcb(server_.get(), accepted, this);
    socket_ = listener >= 0 ? evhttp_accept_socket_with_handle(server_.get(), listener)
                            : evhttp_bind_socket_with_handle(server_.get(), listen.host.c_str(), listen.port);
    if (socket_ == nullptr) throw std::runtime_error("listen: cannot bind " + listen.text());
    look_.start(limits.sweepMs);
}

HttpFront::~HttpFront() = default;

// Where another process has the listener too, it takes what waits there.
bool HttpFront::closeListener(bool atOnce) {
    if (socket_ == nullptr) return true;
    if (!atOnce && !yields_ && connectionWaits(listener())) {
        onHold_ = false;
        accept(!crowded());
        return false;
    }
    evhttp_del_accept_socket(server_.get(), socket_);
    socket_ = nullptr;
    return true;
}

void HttpFront::endConnections(bool refusePartial) {
    closeIdle(connections_.size(), 0);
    const double before = dispatcher_.nowMs() - limits_.newSilentMs;
    std::vector<bufferevent*> silent;
    for (const auto& [buffers, unheard] : unheard_)
        if (unheard.sinceMs <= before && unheard.coming->rests()) silent.push_back(buffers);
    for (bufferevent* buffers : silent) timeOut(buffers);
    if (refusePartial) refusePartialRequests();
    std::erase_if(unheard_, [](const auto& e) { return letGo(e.first); });
}

void HttpFront::refusePartialRequests() {
    const auto refuse = [this](bufferevent* buffers) {
        dispatcher_.counters().add("request_partial_refused");
        (void)send(bufferevent_getfd(buffers), kPartialRefusal.data(), kPartialRefusal.size(), MSG_NOSIGNAL);
    };
    std::vector<evhttp_connection*> used;
    for (auto& [connection, client] : connections_) {
        if (client.busy() || !client.coming->partial()) continue;
        refuse(client.coming->buffers);
        client.lingers = true;
        used.push_back(connection);
    }
    for (evhttp_connection* connection : used) evhttp_connection_free(connection);
    for (auto& [buffers, unheard] : unheard_) {
        if (letGo(buffers) || !unheard.coming->partial()) continue;
        refuse(buffers);
        timeOut(buffers);
        unheard.coming.reset();
        lingering_.take(std::move(unheard.buffers));
    }
    std::erase_if(unheard_, [](const auto& e) { return e.second.buffers == nullptr; });
}

void HttpFront::writeOut() {
    for (const auto& [connection, client] : connections_) {
        bufferevent* buffers = evhttp_connection_get_bufferevent(connection);
        evbuffer* output = bufferevent_get_output(buffers);
        evbuffer_unfreeze(output, 1);  // libevent keeps the front to its own writes
        while (evbuffer_get_length(output) > 0 && evbuffer_write(output, bufferevent_getfd(buffers)) > 0) {
        }
        evbuffer_freeze(output, 1);
    }
}

bool HttpFront::quiet() const {
    return connections_.empty() && lingering_.delivered() &&
           std::all_of(unheard_.begin(), unheard_.end(), [](const auto& u) { return letGo(u.first); });
}

void HttpFront::closeIdle(std::size_t most, double idleMs) {
    std::vector<std::pair<double, evhttp_connection*>> idle;
    for (const auto& [connection, client] : connections_) {
        if (client.usedMs <= dispatcher_.nowMs() - idleMs && client.rests())
            idle.emplace_back(client.usedMs, connection);
    }
    std::sort(idle.begin(), idle.end());
    idle.resize(std::min(idle.size(), most));
    for (const auto& [usedMs, connection] : idle) evhttp_connection_free(connection);
}

void HttpFront::closeSilent(std::size_t most, double silentMs) {
    const double before = dispatcher_.nowMs() - silentMs;
    std::vector<std::pair<double, bufferevent*>> silent;
    std::erase_if(unheard_, [](const auto& e) { return letGo(e.first); });
    for (const auto& [buffers, unheard] : unheard_) {
        if (unheard.sinceMs <= before && !unread(buffers)) silent.emplace_back(unheard.sinceMs, buffers);
    }
    // One that goes on with pieces of a request for longer than evhttp's time-out between them is no better.
    for (const auto& [connection, client] : connections_) {
        bufferevent* buffers = evhttp_connection_get_bufferevent(connection);
        if (!client.busy() && client.usedMs <= before - limits_.clientIdleMs && !unread(buffers))
            silent.emplace_back(client.usedMs, buffers);
    }
    std::sort(silent.begin(), silent.end());
    silent.resize(std::min(silent.size(), most));
    for (const auto& [sinceMs, buffers] : silent) timeOut(buffers);
    std::erase_if(unheard_, [](const auto& e) { return letGo(e.first); });
    if (!silent.empty()) dispatcher_.counters().add("client_silent", silent.size());
}

bool HttpFront::crowded() const {
    const int fd = fcntl(STDERR_FILENO, F_DUPFD_CLOEXEC, 0);  // the lowest that is free
    if (fd >= 0) ::close(fd);
    return fd < 0 || static_cast<std::size_t>(fd) + limits_.spareDescriptors >= limits_.descriptors ||
           connections() + lingering_.size() >= limits_.clientConnections;
}

void HttpFront::accept(bool on) {
    if (on == accepting_ || socket_ == nullptr) return;
    evconnlistener* listener = evhttp_bound_socket_get_listener(socket_);
    on ? evconnlistener_enable(listener) : evconnlistener_disable(listener);
    accepting_ = on;
    if (!on) dispatcher_.counters().add("client_crowd");
}

int HttpFront::listener() const { return socket_ == nullptr ? -1 : evhttp_bound_socket_get_fd(socket_); }

void HttpFront::yield(bool on) {
    yields_ = on;
    on ? hold() : open();
}

void HttpFront::hold() {
    if (socket_ == nullptr) return;
    evconnlistener_disable(evhttp_bound_socket_get_listener(socket_));
    onHold_ = true;
    accepting_ = false;
}

void HttpFront::evacuate(bool on) {
    if (!on) return evacuatedMs_.reset();
    if (!evacuating()) evacuatedMs_ = dispatcher_.nowMs();
}

void HttpFront::open() {
    onHold_ = false;
    look_.start(0);
}

// At the bound silent connections make room, then those idle longest, and new ones wait in the listener's
// queue meanwhile; requests on those there are still come.
void HttpFront::look() {
    closeSilent(unheard_.size() + connections_.size(), limits_.clientSilentMs);
    if (crowded()) {
        closeSilent(limits_.spareDescriptors, limits_.crowdedSilentMs);
        closeIdle(limits_.spareDescriptors, limits_.crowdedIdleMs);
    }
    if (evacuating() && dispatcher_.nowMs() - *evacuatedMs_ >= limits_.evacuateCloseMs)
        closeIdle(connections_.size(), 0);
    if (!onHold_) accept(!crowded());
    look_.start(accepting_ || onHold_ ? limits_.sweepMs : limits_.crowdedLookMs);
}

bufferevent* HttpFront::accepted(event_base* base, void* arg) {
    auto* self = static_cast<HttpFront*>(arg);
    self->dispatcher_.counters().add("client_connection");
    HeldBuffers held = heldBuffers(base);
    if (!held) return nullptr;
    bufferevent* buffers = held.get();
    self->unheard_[buffers] = {std::move(held), self->dispatcher_.nowMs(), std::make_unique<Coming>(buffers)};
    if (self->crowded()) {  // before the next one in the queue is taken
        self->accept(false);
        self->look_.start(0);
    }
    return buffers;
}

void HttpFront::connectionClosed(evhttp_connection* connection, void* arg) {
    auto* self = static_cast<HttpFront*>(arg);
    const auto at = self->connections_.find(connection);
    if (at == self->connections_.end()) return;
    HttpJob* job = at->second.job;
    evhttp_request* passing = at->second.stream ? at->second.stream->request() : nullptr;
    if (at->second.lingers) self->lingering_.take(std::move(at->second.buffers));
    self->connections_.erase(at);
    // evhttp has let go of a request whose connection broke by itself.
    if (passing != nullptr && evhttp_request_get_connection(passing) == nullptr) evhttp_request_free(passing);
    if (job != nullptr) job->disconnected();
}

void HttpFront::requested(evhttp_request* request, void* self) {
    static_cast<HttpFront*>(self)->take(request);
}

void HttpFront::take(evhttp_request* request) {
    evhttp_connection* connection = evhttp_request_get_connection(request);
    const char* uri = evhttp_request_get_uri(request);
    const std::string path = uri == nullptr ? "" : uri;
    const auto [client, fresh] = connections_.try_emplace(connection);
    client->second.usedMs = dispatcher_.nowMs();
    if (fresh) {
        evhttp_connection_set_closecb(connection, connectionClosed, this);
        bufferevent* buffers = evhttp_connection_get_bufferevent(connection);
        auto unheard = unheard_.extract(buffers);  // none if accepted() had no memory for buffers of its own
        client->second.coming =
            unheard ? std::move(unheard.mapped().coming) : std::make_unique<Coming>(buffers);
        if (unheard) client->second.buffers = std::move(unheard.mapped().buffers);
        sendAtOnce(bufferevent_getfd(buffers));
    }
    client->second.lingers = false;
    // What came behind it in the same bytes is the begin of the next one.
    const evbuffer* input = bufferevent_get_input(evhttp_connection_get_bufferevent(connection));
    client->second.coming->begun = evbuffer_get_length(input) > 0;
    std::string wrong;
    if (!framedWell(request, wrong)) return refuse(request, wrong);
    if (path == "/healthz" && (evacuating() || (ready_ && !ready_())))
        return reply(request, 503, "Service Unavailable", evacuating() ? "evacuated\n" : "no nodes\n");
    if (path == "/healthz") return reply(request, 200, "OK", "ok\n");
    if (path == "/counters") return reply(request, 200, "OK", dispatcher_.counters().text());
    if (const auto page = pages_.find(path); page != pages_.end())
        return reply(request, 200, "OK", page->second());
    auto message = decodeMessage(request, site_, dispatcher_.nowMs(), wrong);
    if (!message) return refuse(request, wrong);
    // The next request of one that sends several at once may come when it has gone.
    if (!readEarly(evhttp_connection_get_bufferevent(connection), limits_.earlyBytes)) {
        dispatcher_.counters().add("client_gone_untaken");
        evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
        return reply(request, 503, "Service Unavailable");
    }
    const Request decoded = message->request;
    const auto job = std::make_shared<HttpJob>(*this, request, std::move(*message));
    client->second.job = job.get();
    if (dispatcher_.take(decoded, job)) return;
    // Never in the dispatcher's hands: turned away without a trace.
    dispatcher_.counters().add("request_not_taken");
    job->answer({decoded.id, Verdict::refused, limits_.notTakenBackMs});
}

// What follows on such a connection may be no request at all: it ends with the answer.
void HttpFront::refuse(evhttp_request* request, const std::string& wrong) {
    dispatcher_.counters().add("request_malformed");
    log_.warn("client", "malformed request", {{"reason", wrong}});
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
    reply(request, 400, "Bad Request");
}

bool HttpFront::endsConnections() const {
    // Near the bound a connection that rests is one that another client cannot have.
    return draining_ || yields_ || evacuating() || connections() > limits_.keptConnections;
}

// What has come behind the request would be lost with its connection: it has its answer first. Of a client
// that goes on and on, the answer that ends its connection says that what follows was not taken.
void HttpFront::mayEnd(evhttp_request* request) {
    evhttp_connection* connection = evhttp_request_get_connection(request);
    const auto at = connections_.find(connection);
    if (at == connections_.end()) return;
    Client& client = at->second;
    if (endsConnections() && !endsWithAnswer(request)) {
        const bool behind = hasInput(evhttp_connection_get_bufferevent(connection)) &&
                            client.answeredWhileEnding < limits_.requestsWhileEnding;
        if (behind)
            ++client.answeredWhileEnding;
        else
            evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
    }
    client.lingers = endsWithAnswer(request);
}

void HttpFront::reply(evhttp_request* request, int code, const char* reason, std::string body) {
    mayEnd(request);
    leave(evhttp_request_get_output_buffer(request), std::move(body), dispatcher_.counters());
    evhttp_send_reply(request, code, reason, nullptr);
}

// A client that has been told of more than comes, or of chunks without a last one, knows that it broke.
void HttpFront::passed(evhttp_connection* connection, bool whole) {
    const auto client = connections_.find(connection);
    if (client == connections_.end()) return;
    const std::unique_ptr<ResponseStream> stream = std::move(client->second.stream);
    client->second.usedMs = dispatcher_.nowMs();
    if (!whole) {
        dispatcher_.counters().add("answer_cut");
        return evhttp_connection_free(connection);
    }
    stream->end();
}

}  // namespace martencove
