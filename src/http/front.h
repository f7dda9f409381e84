// The platform's front: clients' requests over HTTP/1.1, to the dispatcher and back.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "core/dispatcher.h"
#include "http/message.h"
#include "http/node_link.h"
#include "http/response_stream.h"
#include "net/address.h"
#include "net/lingering_closes.h"
#include "net/log.h"
#include "net/loop.h"

namespace martencove {

class HttpJob;

class HttpFront {
public:
    /// Throws std::runtime_error where `listen` cannot be bound.
    /// `listener`: a socket that listens there already; -1: it binds one.
    HttpFront(event_base* base, const Address& listen, Dispatcher& dispatcher, NodePool& pool,
              const limedrum::Site& site, const Limits& limits, Log& log, int listener = -1);
    ~HttpFront();
    HttpFront(const HttpFront&) = delete;
    HttpFront& operator=(const HttpFront&) = delete;

    /// Answers a GET of `path` with a text, as /counters does.
    void page(const std::string& path, std::function<std::string()> text) { pages_[path] = std::move(text); }
    /// GET /healthz answers 503 until `ready` says yes.
    void readyWhen(std::function<bool()> ready) { ready_ = std::move(ready); }
    /// Another process takes the new connections of the socket that both have, or no longer: each answer here
    /// ends its connection.
    void yield(bool on);
    [[nodiscard]] int listener() const;
    /// New connections wait in the listener's queue until open().
    void hold();
    void open();
    /// Sends clients away, or no longer: the front says that it is not ready, each answer ends its
    /// connection, and those that rest are closed once new ones have stopped coming.
    void evacuate(bool on);
    [[nodiscard]] bool evacuating() const { return evacuatedMs_.has_value(); }
    /// From now on each answer ends its connection.
    void drain() { draining_ = true; }
    /// Takes no new connections, once those that wait in the listener's queue have been taken; `atOnce`:
    /// these are left, unread. Whether it is so; called again until then.
    [[nodiscard]] bool closeListener(bool atOnce);
    /// Closes the connections that owe nothing. `refusePartial`: a request that has come in part is refused.
    void endConnections(bool refusePartial);
    /// Whether no connection is left that may still bring a request, and all answers have arrived.
    [[nodiscard]] bool quiet() const;
    /// Hands as much of the answers to the kernel as it takes, since the loop does not turn any more.
    void writeOut();
    /// Connections of clients that are still there.
    [[nodiscard]] std::size_t connections() const { return connections_.size() + unheard_.size(); }

private:
    friend class HttpJob;
    static void requested(evhttp_request* request, void* self);
    static bufferevent* accepted(event_base* base, void* self);
    static void connectionClosed(evhttp_connection* connection, void* self);
    void take(evhttp_request* request);
    void reply(evhttp_request* request, int code, const char* reason, std::string body = "");
    void refuse(evhttp_request* request, const std::string& wrong);
    /// Tells the client where its connection ends with this answer.
    void mayEnd(evhttp_request* request);
    /// Whether connections should end with their answers.
    [[nodiscard]] bool endsConnections() const;
    /// Ends connections on which a request has come in part, with a refusal: it never ran.
    void refusePartialRequests();
    /// The end of an answer that was passed on; where it is not whole, the connection's too.
    void passed(evhttp_connection* connection, bool whole);
    /// Closes connections that have been idle longest; their clients come back on new ones.
    void closeIdle(std::size_t most, double idleMs);
    /// Closes those that have said nothing whole for so long, the longest silent first.
    void closeSilent(std::size_t most, double silentMs);
    /// Whether so many descriptors are in use that no more connections are taken.
    bool crowded() const;
    void accept(bool on);
    void look();

    event_base* base_;
    Dispatcher& dispatcher_;
    NodePool& pool_;
    const limedrum::Site& site_;
    const Limits& limits_;
    Log& log_;
    bool draining_ = false;
    bool yields_ = false;
    std::optional<double> evacuatedMs_;  // since when
    bool accepting_ = true;
    bool onHold_ = false;
    /// Whether anything has come on a connection since its last whole request. evhttp takes headers out of
    /// the buffers before the body is there, and does not show it.
    struct Coming {
        explicit Coming(bufferevent* b);
        ~Coming();
        Coming(const Coming&) = delete;
        Coming& operator=(const Coming&) = delete;
        /// Nothing has come since, and what was to leave is written.
        bool rests() const;
        /// Something has come since and waits for its rest, and what was to leave is written.
        bool partial() const;

        bufferevent* buffers;
        bool begun = false;

    private:
        static void cameIn(evbuffer*, const evbuffer_cb_info* info, void* self);
    };
    struct Client {
        HeldBuffers buffers;                     // keeps its descriptor for a lingering close
        bool lingers = false;                    // its present answer ends it
        std::size_t answeredWhileEnding = 0;     // answers since it should end, as more had come behind each
        HttpJob* job = nullptr;                  // the request in work
        std::unique_ptr<ResponseStream> stream;  // its answer, while that is passed on as it comes
        double usedMs = 0;                       // when the last one came
        std::unique_ptr<Coming> coming;

        bool busy() const { return job != nullptr || stream != nullptr; }
        bool rests() const { return !busy() && coming->rests(); }
    };
    std::map<evhttp_connection*, Client> connections_;  // that have sent a request
    // Those that have not, since when. evhttp shows a connection only with its first request: a reference to
    // its buffers is held meanwhile, which evhttp's end of it leaves without callbacks.
    struct Unheard {
        HeldBuffers buffers;
        double sinceMs = 0;
        std::unique_ptr<Coming> coming;
    };
    std::map<bufferevent*, Unheard> unheard_;
    std::map<std::string, std::function<std::string()>, std::less<>> pages_;
    std::function<bool()> ready_;
    evhttp_bound_socket* socket_ = nullptr;
    Timer look_;
    LingeringCloses lingering_;
    Owned<evhttp> server_;  // last: its end closes the connections
};

}  // namespace martencove
