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
    struct Next {
        std::int64_t version = 0;  ///< to watch from
        bool whole = false;        ///< the whole list, at once
        bool failed = false;       ///< the answer was of no use: as after a failed call
    };
    /// `cut`: the answer broke off or was not for this call's end; what there is of it comes before the
    /// repeat.
    using Told = std::function<Next(ListWatch&, const std::string& text, bool cut)>;

    /// The first call comes after `firstMs`: for the whole list, or from `version` on.
    ListWatch(event_base* base, Address address, std::int64_t version, bool whole, double firstMs,
              std::uint64_t seed, const Limits& limits, Counters& counters, Log& log, Told told);
    ListWatch(const ListWatch&) = delete;
    ListWatch& operator=(const ListWatch&) = delete;

    [[nodiscard]] const Address& address() const { return address_; }
    /// Of the path of what is told now: since the last good answer, since this call, and the calls that
    /// failed between the two.
    [[nodiscard]] double sinceHeardMs() const { return clock_.nowMs() - heardMs_; }
    [[nodiscard]] double sinceCalledMs() const { return clock_.nowMs() - calledMs_; }
    [[nodiscard]] int failedCalls() const { return failed_; }
    /// No more calls; what the one that is out still brings is told. `over` comes from the loop, once.
    void retire(std::function<void()> over);
    [[nodiscard]] bool over() const { return over_; }

private:
    static void piece(evhttp_request* request, void* self);
    static void answered(evhttp_request* request, void* self);
    void call();
    void fail(const char* counter, const char* message, bool silent);
    [[nodiscard]] double restMs(bool silent);
    [[nodiscard]] double lateMs() const;
    void next(double ms);

    event_base* base_;
    Address address_;
    std::int64_t version_;
    bool whole_;
    const Limits& limits_;
    Counters& counters_;
    Log& log_;
    Told told_;
    std::function<void()> retired_;  // set: no more calls
    bool over_ = false;
    std::string body_;  // of the answer that is coming
    Owned<evhttp_connection> connection_;
    const Clock clock_;
    double heardMs_ = clock_.nowMs();
    double calledMs_ = heardMs_;
    Backoff rest_;       // between failed calls
    bool soon_ = false;  // the next call is answered at once
    int failed_ = 0;     // calls since the last good answer
    int silent_ = 0;     // and of these, those that fell silent
    int slow_ = 0;       // and of these, those whose answer had begun
    Timer next_;
    Timer silence_;
};

}  // namespace martencove
