// Calls for the list of storage nodes at one address: one after the other, on one connection, and again after
// failures and silence. What a list means is not its matter.
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

class ListWatch {
public:
    /// What the reader of an answer asks for next.
    struct NextRequest {
        std::int64_t version = 0;     ///< to watch from
        bool wantsSnapshot = false;   ///< the whole list, at once
        bool treatAsFailure = false;  ///< the answer was of no use: as after a failed call
    };
    /// `cut`: the answer broke off or was not for this call's end; what there is of it comes before the
    /// repeat.
    using ResponseHandler = std::function<NextRequest(ListWatch&, const std::string& text, bool cut)>;

    /// The first call comes after `firstMs`: for the whole list, or from `version` on.
    ListWatch(event_base* base, Address address, std::int64_t version, bool whole, double firstMs,
              std::uint64_t seed, const Limits& limits, Counters& counters, Log& log, ResponseHandler told);
    ListWatch(const ListWatch&) = delete;
    ListWatch& operator=(const ListWatch&) = delete;

    [[nodiscard]] const Address& address() const { return address_; }
    /// Of the path of what is told now: since the last good answer, since this call, and the calls that
    /// failed between the two.
    [[nodiscard]] double sinceGoodResponseMs() const { return clock_.nowMs() - lastGoodResponseMs_; }
    [[nodiscard]] double sinceRequestMs() const { return clock_.nowMs() - lastRequestMs_; }
    [[nodiscard]] int failedRequestCount() const { return failedRequests_; }
    /// No more calls; what the one that is out still brings is told. `over` comes from the loop, once.
    void stopAfterCurrentRequest(std::function<void()> over);
    [[nodiscard]] bool isFinished() const { return isFinished_; }

private:
    static void onChunk(evhttp_request* request, void* self);
    static void onRequestDone(evhttp_request* request, void* self);
    void sendRequest();
    void handleFailure(const char* counter, const char* message, bool silent);
    [[nodiscard]] double retryDelayMs(bool silent);
    [[nodiscard]] double responseSlackMs() const;
    void scheduleNext(double ms);

    event_base* base_;
    Address address_;
    std::int64_t version_;
    bool wantsSnapshot_;
    const Limits& limits_;
    Counters& counters_;
    Log& log_;
    ResponseHandler onResponse_;
    std::function<void()> onFinished_;  // set: no more calls
    bool isFinished_ = false;
    std::string body_;  // of the answer that is coming
    LibeventPtr<evhttp_connection> connection_;
    const Clock clock_;
    double lastGoodResponseMs_ = clock_.nowMs();
    double lastRequestMs_ = lastGoodResponseMs_;
    Backoff backoff_;            // between failed calls
    bool skipLongPoll_ = false;  // the next call is answered at once
    int failedRequests_ = 0;     // calls since the last good answer
    int timedOutRequests_ = 0;   // and of these, those that fell silent
    int partialResponses_ = 0;   // and of these, those whose answer had begun
    Timer nextRequestTimer_;
    Timer responseTimer_;
};

}  // namespace martencove
