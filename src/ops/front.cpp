#include "ops/front.h"

#include <sys/socket.h>

#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace martencove::ops {
namespace {

constexpr std::string_view kBadRequest =
    "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// Answers 200 (`ok`), 405 (`allow` given) or 503, and closes the connection.
void sendAnswer(evhttp_request* request, bool ok, const char* allow = nullptr) {
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Connection", "close");
    if (allow != nullptr) evhttp_add_header(headers, "Allow", allow);
    const int code = ok ? 200 : allow != nullptr ? 405 : 503;
    evhttp_send_reply(request, code,
                      ok                 ? "OK"
                      : allow != nullptr ? "Method Not Allowed"
                                         : "Service Unavailable",
                      nullptr);
}

}  // namespace

Front::Front(event_base* base, const Address& listen, Callbacks callbacks, const Clock& clock,
             const Limits& limits, Counters& counters, Log& log)
    : callbacks_(std::move(callbacks)),
      clock_(clock),
      limits_(limits),
      counters_(counters),
      log_(log),
      malformedTimer_(base, [this] { rejectMalformedCalls(); }),
      inputContext_{{limits.maxHeaderBytes, limits.maxOpsBodyBytes},
                    0,
                    0,
                    requestMemory_,
                    clock,
                    [this] { malformedTimer_.start(0); }},
      sweepTimer_(base, [this] { closeTimedOutCallers(); }),
      server_(evhttp_new(base)) {
    evhttp_set_max_headers_size(server_.get(), static_cast<ev_ssize_t>(limits.maxHeaderBytes));
    evhttp_set_max_body_size(server_.get(), static_cast<ev_ssize_t>(limits.maxOpsBodyBytes));
    evhttp_set_allowed_methods(server_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_PUT | EVHTTP_REQ_HEAD |
                                                  EVHTTP_REQ_POST | EVHTTP_REQ_DELETE);
    evhttp_set_gencb(server_.get(), onRequest, this);
    evhttp_set_bevcb(server_.get(), onAccept, this);
    if (evhttp_bind_socket(server_.get(), listen.host.c_str(), listen.port) != 0)
        throw std::runtime_error("ops: cannot bind " + listen.toString());
    sweepTimer_.start(limits_.sweepIntervalMs);
}

// At the limit the oldest connection is closed. It has to be a silent one, since a connection whose call is
// served is closed at once.
bufferevent* Front::onAccept(event_base* base, void* arg) {
    auto* self = static_cast<Front*>(arg);
    self->counters_.add("ops_connection");
    self->closeTimedOutCallers();
    if (self->callers_.size() >= self->limits_.maxOpsConnections) {
        self->close(self->callers_.front());
        self->callers_.pop_front();
        self->counters_.add("ops_crowd");
    }
    BuffereventRef connection = newBufferevent(base);
    if (!connection) return nullptr;
    bufferevent* buffers = connection.get();
    // Calls have to be answered under any load.
    bufferevent_priority_set(buffers, kHighPriority);
    self->callers_.push_back({std::move(connection), self->clock_.nowMs(),
                              std::make_unique<ClientInput>(buffers, self->inputContext_)});
    return buffers;
}

void Front::closeTimedOutCallers() {
    std::erase_if(callers_, [](const Caller& caller) { return isClosedByEvhttp(caller.buffers.get()); });
    // evhttp's own timeout restarts with each byte.
    const double acceptedBefore = clock_.nowMs() - limits_.opsRequestTimeoutMs;
    while (!callers_.empty() && callers_.front().acceptedAtMs < acceptedBefore) {
        close(callers_.front());
        callers_.pop_front();
        counters_.add("ops_silent");
    }
    sweepTimer_.start(limits_.sweepIntervalMs);
}

// A caller whose answer is still being written has no timeout that evhttp could handle: its socket is shut
// down instead.
void Front::close(const Caller& caller) {
    if (caller.input->state() == ClientInput::State::delivered)
        shutdown(bufferevent_getfd(caller.buffers.get()), SHUT_RDWR);
    else
        closeEvhttpConnection(caller.buffers.get());
}

void Front::rejectMalformedCalls() {
    for (const Caller& caller : callers_) {
        bufferevent* buffers = caller.buffers.get();
        if (isClosedByEvhttp(buffers) || caller.input->state() != ClientInput::State::malformed) continue;
        counters_.add("ops_malformed");
        (void)send(bufferevent_getfd(buffers), kBadRequest.data(), kBadRequest.size(),
                   MSG_NOSIGNAL | MSG_DONTWAIT);
        closeEvhttpConnection(buffers);
    }
}

void Front::onRequest(evhttp_request* request, void* self) {
    static_cast<Front*>(self)->handleRequest(request);
}

void Front::handleRequest(evhttp_request* request) {
    counters_.add("ops_call");
    const char* uri = evhttp_request_get_uri(request);
    const std::string target = uri == nullptr ? "" : uri;
    const std::string path = target.substr(0, target.find('?'));
    const auto command = evhttp_request_get_command(request);
    if (path == "/api/ready") {
        if (command != EVHTTP_REQ_GET && command != EVHTTP_REQ_HEAD) return sendAnswer(request, false, "GET");
        return sendAnswer(request, callbacks_.isReady());
    }
    if (path == "/api/evacuate" || path == "/api/rejoin") {
        if (command != EVHTTP_REQ_PUT) return sendAnswer(request, false, "PUT");
        log_.info("ops", "called", {{"call", path}});
        path == "/api/evacuate" ? callbacks_.evacuate() : callbacks_.rejoin();
        return sendAnswer(request, true);
    }
    counters_.add("ops_unknown");
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
    evhttp_send_reply(request, 404, "Not Found", nullptr);
}

}  // namespace martencove::ops
