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
struct Callbacks {
    std::function<bool()> isReady;   ///< whether it takes clients
    std::function<void()> evacuate;  ///< to empty itself; again: nothing new
    std::function<void()> rejoin;    ///< and back to work
};

class Front {
public:
    /// Throws std::runtime_error where the address cannot be bound.
    Front(event_base* base, const Address& listen, Callbacks ports, const Clock& clock, const Limits& limits,
          Counters& counters, Log& log);
    Front(const Front&) = delete;
    Front& operator=(const Front&) = delete;

private:
    static void onRequest(evhttp_request* request, void* self);
    static bufferevent* onAccept(event_base* base, void* self);
    void handleRequest(evhttp_request* request);
    void closeTimedOutCallers();

    Callbacks callbacks_;
    const Clock& clock_;
    const Limits& limits_;
    Counters& counters_;
    Log& log_;
    // Connections by age, the oldest first. A reference to each one's buffers is held, which evhttp's end of
    // it leaves without callbacks.
    struct Caller {
        BuffereventRef buffers;
        double acceptedAtMs = 0;
    };
    std::list<Caller> callers_;
    Timer sweepTimer_;
    LibeventPtr<evhttp> server_;  // last: its end closes the connections
};

}  // namespace martencove::ops
