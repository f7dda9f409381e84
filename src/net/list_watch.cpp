#include "net/list_watch.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace martencove {
ListWatch::ListWatch(event_base* base, Address address, std::int64_t version, bool whole, double firstMs,
                     std::uint64_t seed, const Limits& limits, Counters& counters, Log& log, Told told)
    : base_(base),
      address_(std::move(address)),
      version_(version),
      whole_(whole),
      limits_(limits),
      counters_(counters),
      log_(log),
      told_(std::move(told)),
      rest_(limits.list.leastMs, limits.list.mostMs, seed),
      next_(base, [this] { call(); }),
      silence_(base, [this] { fail("discovery_silent", "silent, calling again", true); }) {
    next_.start(firstMs);
}

void ListWatch::retire(std::function<void()> over) {
    retired_ = std::move(over);
    if (!connection_) next(0);
}

// After the last call of one that retires, its end.
void ListWatch::next(double ms) {
    if (!retired_) return next_.start(ms);
    over_ = true;
    next_.stop();
    retired_();
}

void ListWatch::call() {
    if (!connection_) {
        connection_.reset(evhttp_connection_base_new(base_, nullptr, address_.host.c_str(), address_.port));
        evhttp_connection_set_retries(connection_.get(), 0);
        evhttp_connection_set_timeout(connection_.get(), 120);  // silence_ comes long before
        evhttp_connection_set_max_body_size(connection_.get(), static_cast<ev_ssize_t>(limits_.listBody));
        evhttp_connection_set_max_headers_size(connection_.get(), static_cast<ev_ssize_t>(limits_.headers));
        // Of what a turn of the loop brings, lists come first: a send that is decided or written in the same
        // turn must know of them, above all after the loop stood still.
        bufferevent_priority_set(evhttp_connection_get_bufferevent(connection_.get()), kFirstPriority);
    }
    body_.clear();
    const double waitMs = soon_ ? 1 : limits_.watchWaitMs;
    evhttp_request* request = evhttp_request_new(answered, this);
    evhttp_request_set_chunked_cb(request, piece);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", address_.text().c_str());
    std::string path = "/v1/servers";
    if (!whole_)
        path += "?after=" + std::to_string(version_) + "&wait_ms=" + std::to_string(std::lround(waitMs));
    counters_.add("discovery_call");
    calledMs_ = clock_.nowMs();
    silence_.start((whole_ ? 0 : waitMs) + lateMs());
    if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, path.c_str()) != 0)
        fail("discovery_failed", "no connection", false);
}

// Pieces are kept here, since evhttp drops those of an answer that breaks off.
void ListWatch::piece(evhttp_request* request, void* arg) {
    auto* self = static_cast<ListWatch*>(arg);
    evbuffer* input = evhttp_request_get_input_buffer(request);
    const std::size_t size = evbuffer_get_length(input);
    if (evhttp_request_get_response_code(request) != 200 ||
        self->body_.size() + size > self->limits_.listBody)
        return;
    const std::size_t had = self->body_.size();
    self->body_.resize(had + size);
    evbuffer_copyout(input, self->body_.data() + had, size);
}

void ListWatch::answered(evhttp_request* request, void* arg) {
    auto* self = static_cast<ListWatch*>(arg);
    const int code = request == nullptr ? 0 : evhttp_request_get_response_code(request);
    if (code != 200)
        return self->fail("discovery_failed", code == 0 ? "no connection" : "an answer other than 200",
                          false);
    self->silence_.stop();
    const std::string text = std::exchange(self->body_, {});
    // The next call first, from the loop: a watch must not lapse over what the list leads to.
    if (!self->retired_) self->next_.start(0);
    const Next next = self->told_(*self, text, false);
    self->version_ = next.version;
    self->whole_ = next.whole;
    if (!next.failed) {
        self->rest_.reset();
        self->failed_ = self->silent_ = self->slow_ = 0;
        self->soon_ = false;
        self->heardMs_ = self->clock_.nowMs();
    }
    if (self->retired_ || next.failed) self->next(next.failed ? self->restMs(false) : 0);
}

// An answer that has begun and comes slowly is no silence: given up for good, a long list would never be
// heard. Each further call has twice the time; what came of the one before has been looked at meanwhile.
double ListWatch::lateMs() const {
    return std::min(std::ldexp(limits_.watchGraceMs, slow_),
                    std::max(limits_.watchGraceMs, limits_.slowListMs));
}

// Of an agent on this machine, which answers at once, the rest has its part of the grace. A service for all
// hosts is spared, but for one call soon after a silence: what the silent call missed counts as told before
// long.
double ListWatch::restMs(bool silent) {
    ++failed_;
    if (limits_.grace.restMs > 0) return std::min(rest_.nextMs(), limits_.grace.restMs);
    // Not held: a dial that hangs would else show as late as the silence did.
    soon_ = silent;
    if (silent && limits_.asked.soonMs > 0 && silent_++ == 0) return rest_.firstMs(limits_.asked.soonMs);
    return limits_.asked.restMs > 0 ? std::min(rest_.nextMs(), limits_.asked.restMs) : rest_.nextMs();
}

// A call that failed or fell silent: a new connection, after a rest. What had come of it is looked at.
void ListWatch::fail(const char* counter, const char* message, bool silent) {
    counters_.add(counter);
    log_.warn("discovery", message);
    silence_.stop();
    // Not within the connection's own callback.
    event_base_once(
        base_, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* c) { evhttp_connection_free(static_cast<evhttp_connection*>(c)); },
        connection_.release(), nullptr);
    const std::string text = std::exchange(body_, {});
    if (!text.empty()) {
        (void)told_(*this, text, true);
        slow_ = std::min(slow_ + 1, 30);
    }
    // An agent is asked for all that it holds: that is answered at once or not at all, while a call that may
    // be held shows its silence late.
    if (limits_.listPushed) whole_ = true;
    next(restMs(silent));
}

}  // namespace martencove
