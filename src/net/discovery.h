// The watch on discovery's list of storage nodes.
#pragma once

#include <functional>

#include "core/backoff.h"
#include "core/counters.h"
#include "core/limits.h"
#include "core/values.h"
#include "net/address.h"
#include "net/log.h"
#include "net/loop.h"

namespace martencove {

class Discovery {
public:
    /// The first call comes a drawn while later, as many schedulers may start together: up to
    /// `limits.list.firstMs`.
    Discovery(event_base* base, Address address, std::int64_t version, std::uint64_t seed,
              const Limits& limits, Counters& counters, Log& log, std::function<void(const NodeList&)> told);
    Discovery(const Discovery&) = delete;
    Discovery& operator=(const Discovery&) = delete;

    /// Goes on at another address, from its whole list: its versions need not be the old one's.
    void moveTo(Address address);

private:
    static void answered(evhttp_request* request, void* self);
    void call();
    void take(const std::string& text);
    /// A call that failed or fell silent: a new connection, after a rest.
    void again();

    event_base* base_;
    Address address_;
    std::int64_t version_;
    bool wantsWhole_ = false;
    const Limits& limits_;
    Counters& counters_;
    Log& log_;
    std::function<void(const NodeList&)> told_;
    Owned<evhttp_connection> connection_;
    Backoff rest_;  // between failed calls
    Timer next_;
    Timer silence_;
};

}  // namespace martencove
