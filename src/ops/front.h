// The second address, for operators' tools: three calls, one a connection, none of them a way to a request.
#pragma once

#include <functional>
#include <list>
#include <memory>

#include "core/clock.h"
#include "core/counters.h"
#include "core/limits.h"
#include "net/address.h"
#include "net/log.h"
#include "net/loop.h"

namespace martencove::ops {

/// What the calls ask of the program.
struct Ports {
    std::function<bool()> ready;     ///< whether it takes clients
    std::function<void()> evacuate;  ///< to empty itself; again: nothing new
    std::function<void()> rejoin;    ///< and back to work
};

class Front {
public:
    /// Throws std::runtime_error where the address cannot be bound.
    Front(event_base* base, const Address& listen, Ports ports, const Clock& clock, const Limits& limits,
          Counters& counters, Log& log);
    Front(const Front&) = delete;
    Front& operator=(const Front&) = delete;

private:
    static void requested(evhttp_request* request, void* self);
    static bufferevent* accepted(event_base* base, void* self);
    void take(evhttp_request* request);
    void sweep();

    Ports ports_;
    const Clock& clock_;
    const Limits& limits_;
    Counters& counters_;
    Log& log_;
    // Connections by age, the oldest first. A reference to each one's buffers is held, which evhttp's end of
    // it leaves without callbacks.
    struct Caller {
        HeldBuffers buffers;
        double sinceMs = 0;
    };
    std::list<Caller> callers_;
    Timer sweep_;
    Owned<evhttp> server_;  // last: its end closes the connections
};

}  // namespace martencove::ops
