// The NBD server: passes clients' reads and writes on the configured exports to the dispatcher, and its
// answers back to the clients.
#pragma once

#include <map>
#include <memory>

#include "arrival/request_memory.h"
#include "config/nbd_config.h"
#include "core/dispatcher.h"
#include "nbd/node_connection.h"
#include "net/lingering_closes.h"
#include "net/log.h"
#include "net/loop.h"

struct evconnlistener;

namespace martencove::nbd {

class Session;

/// Listens for NBD clients and owns their sessions.
class Front {
public:
    /// `listener` is an inherited socket that already listens on `config.listen`, or -1 to bind a new one.
    /// Throws std::runtime_error if the address cannot be bound.
    Front(event_base* base, NbdConfig config, Dispatcher& dispatcher, NbdNodeConnectionPool& pool,
          RequestMemory& requestMemory, const Limits& limits, Log& log, int listener = -1);
    ~Front();
    Front(const Front&) = delete;
    Front& operator=(const Front&) = delete;

    /// Returns -1 once the listener is closed.
    [[nodiscard]] int listenerFd() const;
    /// Leaves new connections in the listener's queue until resumeAccepting().
    void pauseAccepting();
    void resumeAccepting();
    /// Closes the listener, ends handshakes with a shutdown error, and lets accepted commands finish.
    void startShutdown();
    /// Returns whether all accepted commands are answered and the answers delivered. Sessions in the
    /// handshake do not count. Call after startShutdown().
    [[nodiscard]] bool isDrained() const;

private:
    friend class Session;
    friend class NbdRequestHandler;
    struct ListenerDeleter {
        void operator()(evconnlistener* listener) const;
    };
    static void onAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self);
    void removeSession(Session& session);

    event_base* base_;
    NbdConfig config_;
    Dispatcher& dispatcher_;
    NbdNodeConnectionPool& pool_;
    RequestMemory& requestMemory_;
    const Limits& limits_;
    Log& log_;
    LingeringCloses lingeringCloses_;
    bool shuttingDown_ = false;
    std::uint64_t lastRequestNumber_ = 0;  // part of the request ids
    std::map<Session*, std::unique_ptr<Session>> sessions_;
    // Sessions are freed from a timer because removeSession() may run inside one of their callbacks.
    std::vector<std::unique_ptr<Session>> closedSessions_;
    Timer freeSessionsTimer_;
    std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
};

}  // namespace martencove::nbd
