// Long-polls one discovery address for its list of storage nodes: one request after the other on one
// connection, with retries after failures and timeouts. The response handler decodes the lists.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/backoff.h"
#include "core/clock.h"
#include "core/counters.h"
#include "core/limits.h"
#include "net/address.h"
#include "net/log.h"
#include "net/loop.h"

namespace martencove {

/// The watch at one address. Times are in milliseconds.
class ListWatch {
public:
    /// What the response handler wants to request next.
    struct NextRequest {
        std::int64_t version = 0;     ///< list version to watch from
        bool wantsSnapshot = false;   ///< request the whole list, without waiting
        bool treatAsFailure = false;  ///< the response was unusable: retry as after a failure
    };
    /// Handles the body of a response. `truncated`: the request failed or timed out and `text` is what had
    /// arrived; the result is then ignored.
    using ResponseHandler = std::function<NextRequest(ListWatch&, const std::string& text, bool truncated)>;

    /// Sends the first request after `initialDelayMs`: for a snapshot, or for the changes after `version`.
    ListWatch(event_base* base, Address address, std::int64_t version, bool wantsSnapshot,
              double initialDelayMs, std::uint64_t seed, const Limits& limits, Counters& counters, Log& log,
              ResponseHandler onResponse);
    ListWatch(const ListWatch&) = delete;
    ListWatch& operator=(const ListWatch&) = delete;

    [[nodiscard]] const Address& address() const { return address_; }
    /// For the response being handled: the time since the last good response and since this request was sent,
    /// and the number of requests that failed in between.
    [[nodiscard]] double sinceGoodResponseMs() const { return clock_.nowMs() - lastGoodResponseMs_; }
    [[nodiscard]] double sinceRequestMs() const { return clock_.nowMs() - lastRequestMs_; }
    [[nodiscard]] int failedRequestCount() const { return failedRequests_; }
    /// Sends no further requests; the response to the open one is still handled. `onFinished` is called once,
    /// when no request is open any more.
    void stopAfterCurrentRequest(std::function<void()> onFinished);
    [[nodiscard]] bool isFinished() const { return isFinished_; }

private:
    static void onChunk(evhttp_request* request, void* self);
    static void onRequestDone(evhttp_request* request, void* self);
    void sendRequest();
    void handleFailure(const char* counter, const char* message, bool timedOut);
    [[nodiscard]] double retryDelayMs(bool timedOut);
    [[nodiscard]] double responseSlackMs() const;
    void scheduleNext(double delayMs);

    event_base* base_;
    Address address_;
    std::int64_t version_;
    bool wantsSnapshot_;
    const Limits& limits_;
    Counters& counters_;
    Log& log_;
    ResponseHandler onResponse_;
    std::function<void()> onFinished_;  // set: no further requests
    bool isFinished_ = false;
    std::string body_;  // response body received so far
    LibeventPtr<evhttp_connection> connection_;
    const Clock clock_;
    double lastGoodResponseMs_ = clock_.nowMs();
    double lastRequestMs_ = lastGoodResponseMs_;
    Backoff backoff_;            // between failed requests
    bool skipLongPoll_ = false;  // the next request does not wait for changes
    int failedRequests_ = 0;     // since the last good response
    int timedOutRequests_ = 0;   // of these, those without a response in time
    int partialResponses_ = 0;   // of these, those whose response had begun
    Timer nextRequestTimer_;
    Timer responseTimer_;
};

}  // namespace martencove
