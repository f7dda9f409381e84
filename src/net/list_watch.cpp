#include "net/list_watch.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace martencove {
ListWatch::ListWatch(event_base* base, Address address, std::int64_t version, bool wantsSnapshot,
                     double initialDelayMs, std::uint64_t seed, const Limits& limits, Counters& counters,
                     Log& log, ResponseHandler onResponse)
    : base_(base),
      address_(std::move(address)),
      version_(version),
      wantsSnapshot_(wantsSnapshot),
      limits_(limits),
      counters_(counters),
      log_(log),
      onResponse_(std::move(onResponse)),
      backoff_(limits.discoveryRetry.minMs, limits.discoveryRetry.maxMs, seed),
      nextRequestTimer_(base, [this] { sendRequest(); }),
      responseTimer_(base, [this] { handleFailure("discovery_silent", "no response, retrying", true); }) {
    nextRequestTimer_.start(initialDelayMs);
}

void ListWatch::stopAfterCurrentRequest(std::function<void()> onFinished) {
    onFinished_ = std::move(onFinished);
    if (!connection_) scheduleNext(0);
}

// Finishes the watch instead if it is to stop after the current request.
void ListWatch::scheduleNext(double delayMs) {
    if (!onFinished_) return nextRequestTimer_.start(delayMs);
    isFinished_ = true;
    nextRequestTimer_.stop();
    onFinished_();
}

void ListWatch::sendRequest() {
    if (!connection_) {
        connection_.reset(evhttp_connection_base_new(base_, nullptr, address_.host.c_str(), address_.port));
        evhttp_connection_set_retries(connection_.get(), 0);
        evhttp_connection_set_timeout(connection_.get(), 120);  // s; responseTimer_ fires earlier
        evhttp_connection_set_max_body_size(connection_.get(),
                                            static_cast<ev_ssize_t>(limits_.maxListBodyBytes));
        evhttp_connection_set_max_headers_size(connection_.get(),
                                               static_cast<ev_ssize_t>(limits_.maxHeaderBytes));
        // Lists are handled before the other events of a loop turn, so that a send decided or written in the
        // same turn already respects them, above all after the loop was blocked.
        bufferevent_priority_set(evhttp_connection_get_bufferevent(connection_.get()), kHighPriority);
    }
    body_.clear();
    const double waitMs = skipLongPoll_ ? 1 : limits_.longPollMs;
    evhttp_request* request = evhttp_request_new(onRequestDone, this);
    evhttp_request_set_chunked_cb(request, onChunk);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", address_.toString().c_str());
    std::string path = "/v1/servers";
    if (!wantsSnapshot_)
        path += "?after=" + std::to_string(version_) + "&wait_ms=" + std::to_string(std::lround(waitMs));
    counters_.add("discovery_call");
    lastRequestMs_ = clock_.nowMs();
    responseTimer_.start((wantsSnapshot_ ? 0 : waitMs) + responseSlackMs());
    if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, path.c_str()) != 0)
        handleFailure("discovery_failed", "no connection", false);
}

// Collects the body in chunks, since evhttp drops what it has of a response that breaks off.
void ListWatch::onChunk(evhttp_request* request, void* arg) {
    auto* self = static_cast<ListWatch*>(arg);
    evbuffer* input = evhttp_request_get_input_buffer(request);
    const std::size_t size = evbuffer_get_length(input);
    if (evhttp_request_get_response_code(request) != 200 ||
        self->body_.size() + size > self->limits_.maxListBodyBytes)
        return;
    const std::size_t oldSize = self->body_.size();
    self->body_.resize(oldSize + size);
    evbuffer_copyout(input, self->body_.data() + oldSize, size);
}

void ListWatch::onRequestDone(evhttp_request* request, void* arg) {
    auto* self = static_cast<ListWatch*>(arg);
    const int code = request == nullptr ? 0 : evhttp_request_get_response_code(request);
    if (code != 200)
        return self->handleFailure("discovery_failed", code == 0 ? "no connection" : "unexpected status code",
                                   false);
    self->responseTimer_.stop();
    const std::string text = std::exchange(self->body_, {});
    // Schedules the next request before the list is handled, so that the reaction to it does not interrupt
    // the watch.
    if (!self->onFinished_) self->nextRequestTimer_.start(0);
    const NextRequest next = self->onResponse_(*self, text, false);
    self->version_ = next.version;
    self->wantsSnapshot_ = next.wantsSnapshot;
    if (!next.treatAsFailure) {
        self->backoff_.reset();
        self->failedRequests_ = self->timedOutRequests_ = self->partialResponses_ = 0;
        self->skipLongPoll_ = false;
        self->lastGoodResponseMs_ = self->clock_.nowMs();
    }
    if (self->onFinished_ || next.treatAsFailure)
        self->scheduleNext(next.treatAsFailure ? self->retryDelayMs(false) : 0);
}

// A response that has begun but arrives slowly needs more time, otherwise a long list would never be
// received. So the time allowed doubles with each partial response, up to a limit.
double ListWatch::responseSlackMs() const {
    return std::min(std::ldexp(limits_.longPollSlackMs, partialResponses_),
                    std::max(limits_.longPollSlackMs, limits_.maxLongPollSlackMs));
}

// The delay for an agent on this machine, which answers at once, is limited to a share of the drain grace. A
// service shared by all hosts is asked less often, except for one early retry after a timeout: the changes
// that the timed-out request missed soon count as delivered.
double ListWatch::retryDelayMs(bool timedOut) {
    ++failedRequests_;
    if (limits_.drainGrace.maxRetryDelayMs > 0)
        return std::min(backoff_.nextDelayMs(), limits_.drainGrace.maxRetryDelayMs);
    // The retry does not long-poll; otherwise a connection attempt that hangs would be noticed as late as the
    // timeout was.
    skipLongPoll_ = timedOut;
    if (timedOut && limits_.onRequestList.maxDelayAfterTimeoutMs > 0 && timedOutRequests_++ == 0)
        return backoff_.initialDelayMs(limits_.onRequestList.maxDelayAfterTimeoutMs);
    return limits_.onRequestList.maxRetryDelayMs > 0
               ? std::min(backoff_.nextDelayMs(), limits_.onRequestList.maxRetryDelayMs)
               : backoff_.nextDelayMs();
}

// Closes the connection, handles what had arrived of the response and schedules a retry.
void ListWatch::handleFailure(const char* counter, const char* message, bool timedOut) {
    counters_.add(counter);
    log_.warn("discovery", message);
    responseTimer_.stop();
    // Freed from the loop, since this may run in the connection's own callback.
    event_base_once(
        base_, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* connection) {
            evhttp_connection_free(static_cast<evhttp_connection*>(connection));
        },
        connection_.release(), nullptr);
    const std::string text = std::exchange(body_, {});
    if (!text.empty()) {
        (void)onResponse_(*this, text, true);
        partialResponses_ = std::min(partialResponses_ + 1, 30);
    }
    // An agent is asked for a snapshot, which it answers at once or not at all. The silence of a long poll
    // would be noticed late.
    if (limits_.listPushed) wantsSnapshot_ = true;
    scheduleNext(retryDelayMs(timedOut));
}

}  // namespace martencove
