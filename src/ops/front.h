// The operations endpoint: an HTTP server at an address of its own, for operators' tools. It has three calls
// (/api/ready, /api/evacuate, /api/rejoin) and serves one call per connection.
#pragma once

#include <functional>
#include <limits>
#include <list>
#include <memory>

#include "core/clock.h"
#include "core/counters.h"
#include "core/limits.h"
#include "http/client_input.h"
#include "net/address.h"
#include "net/log.h"
#include "net/loop.h"

namespace martencove::ops {

/// What the calls invoke.
struct Callbacks {
    std::function<bool()> isReady;   ///< returns whether the program accepts clients
    std::function<void()> evacuate;  ///< sends clients away; has no further effect when repeated
    std::function<void()> rejoin;    ///< accepts clients again
};

/// The HTTP server of the operations endpoint. It limits the number of connections, the time of each and what
/// it may send, so that callers that are silent or never end cannot keep others out.
class Front {
public:
    /// Throws std::runtime_error if the address cannot be bound.
    Front(event_base* base, const Address& listen, Callbacks callbacks, const Clock& clock,
          const Limits& limits, Counters& counters, Log& log);
    Front(const Front&) = delete;
    Front& operator=(const Front&) = delete;

private:
    static void onRequest(evhttp_request* request, void* self);
    static bufferevent* onAccept(event_base* base, void* self);
    void handleRequest(evhttp_request* request);
    /// Runs periodically: closes connections older than `opsRequestTimeoutMs`.
    void closeTimedOutCallers();
    /// Answers calls that cannot be read to their end, and closes their connections.
    void rejectMalformedCalls();

    Callbacks callbacks_;
    const Clock& clock_;
    const Limits& limits_;
    Counters& counters_;
    Log& log_;
    // Connections, the oldest first. Each keeps a reference to its bufferevent; when evhttp closes the
    // connection, it removes the bufferevent's callbacks.
    struct Caller {
        BuffereventRef buffers;
        double acceptedAtMs = 0;
        std::unique_ptr<ClientInput> input;
    };
    void close(const Caller& caller);

    // Bounded by the number of connections and the length of a call, so that it needs no limit of its own.
    std::size_t requestMemoryLimit_ = std::numeric_limits<std::size_t>::max();
    std::size_t requestMemoryBytes_ = 0;
    RequestMemory requestMemory_{requestMemoryLimit_, requestMemoryBytes_};
    Timer malformedTimer_;
    ClientInputContext inputContext_;
    std::list<Caller> callers_;
    Timer sweepTimer_;
    LibeventPtr<evhttp> server_;  // last member: its destruction closes the connections
};

}  // namespace martencove::ops
