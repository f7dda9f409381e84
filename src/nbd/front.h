// The NBD front: clients' reads and writes on the operator's exports, to the dispatcher and back.
#pragma once

#include <map>
#include <memory>

#include "config/nbd_config.h"
#include "core/dispatcher.h"
#include "nbd/node_link.h"
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
    Front(event_base* base, NbdConfig config, Dispatcher& dispatcher, Pool& pool, const Limits& limits,
          Log& log, int listener = -1);
    ~Front();
    Front(const Front&) = delete;
    Front& operator=(const Front&) = delete;

    /// -1: closed.
    [[nodiscard]] int listener() const;
    /// New connections wait in the listener's queue until open().
    void hold();
    void open();
    /// Takes no new connections; handshakes end with "shutting down", commands taken are finished.
    void close();
    /// After close(): whether all that was taken is answered and the answers have left.
    [[nodiscard]] bool quiet() const;

private:
    friend class Session;
    friend class NbdJob;
    struct FreeListener {
        void operator()(evconnlistener* listener) const;
    };
    static void accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self);
    void remove(Session& session);

    event_base* base_;
    NbdConfig config_;
    Dispatcher& dispatcher_;
    Pool& pool_;
    const Limits& limits_;
    Log& log_;
    LingeringCloses lingering_;
    bool closing_ = false;
    std::uint64_t taken_ = 0;  // names the requests
    std::map<Session*, std::unique_ptr<Session>> sessions_;
    std::vector<std::unique_ptr<Session>> waste_;  // freed from the loop, never from their own callbacks
    Timer empty_;
    std::unique_ptr<evconnlistener, FreeListener> listener_;
};

}  // namespace martencove::nbd
