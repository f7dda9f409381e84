// The platform's front: clients' requests over HTTP/1.1, to the desk and back.
#pragma once

#include <map>
#include <memory>

#include "core/desk.h"
#include "http/message.h"
#include "http/node_link.h"
#include "net/address.h"
#include "net/log.h"
#include "net/loop.h"

namespace martencove {

class HttpJob;

class HttpFront {
public:
    /// Throws std::runtime_error where `listen` cannot be bound.
    HttpFront(event_base* base, const Address& listen, Desk& desk, NodePool& pool, const limedrum::Site& site,
              const Limits& limits, BoundedLog& log);
    ~HttpFront();
    HttpFront(const HttpFront&) = delete;
    HttpFront& operator=(const HttpFront&) = delete;

    /// From now on each answer ends its connection.
    void drain() { draining_ = true; }
    /// Takes no new connections and closes those without a request in work.
    void close();

private:
    friend class HttpJob;
    static void requested(evhttp_request* request, void* self);
    static bufferevent* accepted(event_base* base, void* self);
    static void connectionClosed(evhttp_connection* connection, void* self);
    void take(evhttp_request* request);
    void reply(evhttp_request* request, int code, const char* reason, const std::string& body = "");
    /// Closes connections that have been idle longest; their clients come back on new ones.
    void closeIdle(std::size_t most, double idleMs);
    /// Whether so many descriptors are in use that no more connections are taken.
    bool crowded() const;
    void look();

    event_base* base_;
    Desk& desk_;
    NodePool& pool_;
    const limedrum::Site& site_;
    const Limits& limits_;
    BoundedLog& log_;
    bool draining_ = false;
    bool accepting_ = true;
    struct Client {
        HttpJob* job = nullptr;  // the request in work
        double usedMs = 0;       // when the last one came
    };
    std::map<evhttp_connection*, Client> connections_;
    evhttp_bound_socket* socket_ = nullptr;
    Timer look_;
    Owned<evhttp> server_;  // last: its end closes the connections
};

}  // namespace martencove
