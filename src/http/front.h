// The platform's front: clients' requests over HTTP/1.1, to the dispatcher and back.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include "core/dispatcher.h"
#include "http/message.h"
#include "http/node_connection.h"
#include "http/response_stream.h"
#include "net/address.h"
#include "net/lingering_closes.h"
#include "net/log.h"
#include "net/loop.h"

namespace martencove {

class HttpRequestHandler;

class HttpFront {
public:
    /// Throws std::runtime_error where `listen` cannot be bound.
    /// `listener`: a socket that listens there already; -1: it binds one.
    HttpFront(event_base* base, const Address& listen, Dispatcher& dispatcher, HttpNodeConnectionPool& pool,
              const limedrum::ProgramSettings& site, const Limits& limits, Log& log, int listener = -1);
    ~HttpFront();
    HttpFront(const HttpFront&) = delete;
    HttpFront& operator=(const HttpFront&) = delete;

    /// Answers a GET of `path` with a text, as /counters does.
    void addTextPage(const std::string& path, std::function<std::string()> text) {
        pages_[path] = std::move(text);
    }
    /// GET /healthz answers 503 until `ready` says yes.
    void setReadinessCheck(std::function<bool()> ready) { readinessCheck_ = std::move(ready); }
    /// Another process takes the new connections of the socket that both have, or no longer: each answer here
    /// ends its connection.
    void setListenerYielded(bool on);
    [[nodiscard]] int listenerFd() const;
    /// New connections wait in the listener's queue until open().
    void pauseAccepting();
    void resumeAccepting();
    /// Sends clients away, or no longer: the front says that it is not ready, each answer ends its
    /// connection, and those that rest are closed once new ones have stopped coming.
    void setEvacuating(bool on);
    [[nodiscard]] bool evacuating() const { return evacuatingSinceMs_.has_value(); }
    /// From now on each answer ends its connection.
    void startDraining() { draining_ = true; }
    /// Takes no new connections, once those that wait in the listener's queue have been taken; `atOnce`:
    /// these are left, unread. Whether it is so; called again until then.
    [[nodiscard]] bool closeListener(bool atOnce);
    /// Closes the connections that owe nothing. `refusePartial`: a request that has come in part is refused.
    void closeFinishedConnections(bool refusePartial);
    /// Whether no connection is left that may still bring a request, and all answers have arrived.
    [[nodiscard]] bool isDrained() const;
    /// Hands as much of the answers to the kernel as it takes, since the loop does not turn any more.
    void flushOutput();
    /// Connections of clients that are still there.
    [[nodiscard]] std::size_t connectionCount() const { return connections_.size() + newConnections_.size(); }

private:
    friend class HttpRequestHandler;
    static void onRequest(evhttp_request* request, void* self);
    static bufferevent* onAccept(event_base* base, void* self);
    static void onConnectionClosed(evhttp_connection* connection, void* self);
    void handleRequest(evhttp_request* request);
    void sendReply(evhttp_request* request, int code, const char* reason, std::string body = "");
    void rejectMalformed(evhttp_request* request, const std::string& wrong);
    /// Tells the client where its connection ends with this answer.
    void decideConnectionClose(evhttp_request* request);
    /// Whether connections should end with their answers.
    [[nodiscard]] bool shouldCloseConnections() const;
    /// Ends connections on which a request has come in part, with a refusal: it never ran.
    void refusePartialRequests();
    /// The end of an answer that was passed on; where it is not whole, the connection's too.
    void streamDone(evhttp_connection* connection, bool whole);
    /// Closes connections that have been idle longest; their clients come back on new ones.
    void closeIdleConnections(std::size_t most, double idleMs);
    /// Closes those that have said nothing whole for so long, the longest silent first.
    void closeSilentConnections(std::size_t most, double silentMs);
    /// Whether so many descriptors are in use that no more connections are taken.
    bool atConnectionLimit() const;
    void setAccepting(bool on);
    void checkConnections();

    event_base* base_;
    Dispatcher& dispatcher_;
    HttpNodeConnectionPool& pool_;
    const limedrum::ProgramSettings& settings_;
    const Limits& limits_;
    Log& log_;
    bool draining_ = false;
    bool listenerYielded_ = false;
    std::optional<double> evacuatingSinceMs_;  // since when
    bool accepting_ = true;
    bool acceptingPaused_ = false;
    /// Whether anything has come on a connection since its last whole request. evhttp takes headers out of
    /// the buffers before the body is there, and does not show it.
    struct InputTracker {
        explicit InputTracker(bufferevent* b);
        ~InputTracker();
        InputTracker(const InputTracker&) = delete;
        InputTracker& operator=(const InputTracker&) = delete;
        /// Nothing has come since, and what was to leave is written.
        bool isIdle() const;
        /// Something has come since and waits for its rest, and what was to leave is written.
        bool hasPartialRequest() const;

        bufferevent* buffers;
        bool requestStarted = false;

    private:
        static void onInput(evbuffer*, const evbuffer_cb_info* info, void* self);
    };
    struct Client {
        BuffereventRef buffers;                  // keeps its descriptor for a lingering close
        bool lingerOnClose = false;              // its present answer ends it
        std::size_t answersWhileClosing = 0;     // answers since it should end, as more had come behind each
        HttpRequestHandler* handler = nullptr;   // the request in work
        std::unique_ptr<ResponseStream> stream;  // its answer, while that is passed on as it comes
        double lastUsedMs = 0;                   // when the last one came
        std::unique_ptr<InputTracker> input;

        bool isBusy() const { return handler != nullptr || stream != nullptr; }
        bool isIdle() const { return !isBusy() && input->isIdle(); }
    };
    std::map<evhttp_connection*, Client> connections_;  // that have sent a request
    // Those that have not, since when. evhttp shows a connection only with its first request: a reference to
    // its buffers is held meanwhile, which evhttp's end of it leaves without callbacks.
    struct NewConnection {
        BuffereventRef buffers;
        double acceptedAtMs = 0;
        std::unique_ptr<InputTracker> input;
    };
    std::map<bufferevent*, NewConnection> newConnections_;
    std::map<std::string, std::function<std::string()>, std::less<>> pages_;
    std::function<bool()> readinessCheck_;
    evhttp_bound_socket* boundSocket_ = nullptr;
    Timer connectionCheckTimer_;
    LingeringCloses lingeringCloses_;
    LibeventPtr<evhttp> server_;  // last: its end closes the connections
};

}  // namespace martencove
