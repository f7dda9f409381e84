// The NBD front: clients' reads and writes on the operator's exports, to the dispatcher and back.
#pragma once

#include <map>
#include <memory>

#include "config/nbd_config.h"
#include "core/dispatcher.h"
#include "nbd/node_connection.h"
#include "net/lingering_closes.h"
#include "net/log.h"
#include "net/loop.h"

struct evconnlistener;

namespace martencove::nbd {

class Session;

class Front {
public:
    /// Throws std::runtime_error where the operator's address cannot be bound.
    /// `listener`: a socket that listens there already; -1: it binds one.
    Front(event_base* base, NbdConfig config, Dispatcher& dispatcher, NbdNodeConnectionPool& pool,
          const Limits& limits, Log& log, int listener = -1);
    ~Front();
    Front(const Front&) = delete;
    Front& operator=(const Front&) = delete;

    /// -1: closed.
    [[nodiscard]] int listenerFd() const;
    /// New connections wait in the listener's queue until open().
    void pauseAccepting();
    void resumeAccepting();
    /// Takes no new connections; handshakes end with "shutting down", commands taken are finished.
    void startShutdown();
    /// After close(): whether all that was taken is answered and the answers have left.
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
    const Limits& limits_;
    Log& log_;
    LingeringCloses lingeringCloses_;
    bool shuttingDown_ = false;
    std::uint64_t lastRequestNumber_ = 0;  // names the requests
    std::map<Session*, std::unique_ptr<Session>> sessions_;
    std::vector<std::unique_ptr<Session>>
        closedSessions_;  // freed from the loop, never from their own callbacks
    Timer freeSessionsTimer_;
    std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
};

}  // namespace martencove::nbd
