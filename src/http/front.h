// The HTTP front: accepts clients' requests over HTTP/1.1, passes them to the dispatcher and sends the
// answers.
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

/// The HTTP server for clients. It also serves /healthz, /counters and further text pages.
class HttpFront {
public:
    /// `listener`: a socket that already listens at `listen`; -1: binds a new one. Throws std::runtime_error
    /// if `listen` cannot be bound.
    HttpFront(event_base* base, const Address& listen, Dispatcher& dispatcher, HttpNodeConnectionPool& pool,
              const limedrum::ProgramSettings& settings, const Limits& limits, Log& log, int listener = -1);
    ~HttpFront();
    HttpFront(const HttpFront&) = delete;
    HttpFront& operator=(const HttpFront&) = delete;

    /// Serves the result of `text` at `path`, as /counters does.
    void addTextPage(const std::string& path, std::function<std::string()> text) {
        pages_[path] = std::move(text);
    }
    /// GET /healthz answers 503 while `ready` returns false.
    void setReadinessCheck(std::function<bool()> ready) { readinessCheck_ = std::move(ready); }
    /// `on`: another process accepts the connections of the shared listening socket. This one stops
    /// accepting, and each answer closes its connection.
    void setListenerYielded(bool on);
    /// Returns the listening socket, or -1 once it is closed.
    [[nodiscard]] int listenerFd() const;
    /// Leaves new connections in the listener's queue until resumeAccepting().
    void pauseAccepting();
    void resumeAccepting();
    /// `on`: sends clients away. /healthz answers 503, each answer closes its connection, and idle
    /// connections are closed after `evacuateCloseDelayMs`, by when new ones have stopped coming.
    void setEvacuating(bool on);
    [[nodiscard]] bool evacuating() const { return evacuatingSinceMs_.has_value(); }
    /// From now on each answer closes its connection.
    void startDraining() { draining_ = true; }
    /// Closes the listener once the connections in its queue have been accepted, or at once and without them
    /// (`atOnce`). Returns whether the listener is closed; to be called again until it is.
    [[nodiscard]] bool closeListener(bool atOnce);
    /// Closes the connections without a request in progress or unsent output. `refusePartial`: also refuses
    /// requests that have arrived in part, and closes their connections.
    void closeFinishedConnections(bool refusePartial);
    /// Returns whether no connection is left that may still bring a request, and all answers have been
    /// delivered.
    [[nodiscard]] bool isDrained() const;
    /// Writes as much of the pending answers to the sockets as the kernel accepts. For the exit, when the
    /// event loop no longer runs.
    void flushOutput();
    /// Returns the number of open client connections.
    [[nodiscard]] std::size_t connectionCount() const { return connections_.size() + newConnections_.size(); }

private:
    friend class HttpRequestHandler;
    static void onRequest(evhttp_request* request, void* self);
    static bufferevent* onAccept(event_base* base, void* self);
    static void onConnectionClosed(evhttp_connection* connection, void* self);
    void handleRequest(evhttp_request* request);
    void sendReply(evhttp_request* request, int code, const char* reason, std::string body = "");
    void rejectMalformed(evhttp_request* request, const std::string& error);
    /// Adds "Connection: close" to the answer if its connection should be closed after it.
    void decideConnectionClose(evhttp_request* request);
    /// Returns whether answers should close their connections.
    [[nodiscard]] bool shouldCloseConnections() const;
    /// Answers requests that have arrived in part with 503 and closes their connections. Such requests never
    /// ran.
    void refusePartialRequests();
    /// Ends a streamed answer. If it is not complete, closes the connection.
    void streamDone(evhttp_connection* connection, bool complete);
    /// Closes at most `maxCount` connections that have been idle for `idleMs` or longer, the longest idle
    /// first. Their clients can reconnect.
    void closeIdleConnections(std::size_t maxCount, double idleMs);
    /// Closes at most `maxCount` connections without a complete request since they were accepted `silentMs`
    /// or longer ago, or, after a request, for `silentMs` plus the idle timeout. The longest silent go first.
    void closeSilentConnections(std::size_t maxCount, double silentMs);
    /// Returns whether too many descriptors or connections are in use to accept another connection.
    bool atConnectionLimit() const;
    void setAccepting(bool on);
    /// Runs periodically: closes silent and idle connections, and decides whether new ones are accepted.
    void checkConnections();

    event_base* base_;
    Dispatcher& dispatcher_;
    HttpNodeConnectionPool& pool_;
    const limedrum::ProgramSettings& settings_;
    const Limits& limits_;
    Log& log_;
    bool draining_ = false;
    bool listenerYielded_ = false;
    std::optional<double> evacuatingSinceMs_;  // clock time in ms; nothing: not evacuating
    bool accepting_ = true;
    bool acceptingPaused_ = false;
    /// Tracks whether bytes have arrived on a connection since its last complete request. The length of the
    /// input buffer alone does not tell, since evhttp removes the headers from it before the body has
    /// arrived.
    struct InputTracker {
        explicit InputTracker(bufferevent* connection);
        ~InputTracker();
        InputTracker(const InputTracker&) = delete;
        InputTracker& operator=(const InputTracker&) = delete;
        /// Returns whether no bytes have arrived since and all output is written.
        bool isIdle() const;
        /// Returns whether part of a request has arrived, nothing is left to read and all output is written.
        bool hasPartialRequest() const;

        bufferevent* buffers;
        bool requestStarted = false;

    private:
        static void onInput(evbuffer*, const evbuffer_cb_info* info, void* self);
    };
    struct Client {
        BuffereventRef buffers;                  // keeps the descriptor for a lingering close
        bool lingerOnClose = false;              // the present answer closes the connection
        std::size_t answersWhileClosing = 0;     // answers since the connection should be closed
        HttpRequestHandler* handler = nullptr;   // of the request in progress, or null
        std::unique_ptr<ResponseStream> stream;  // the answer being streamed, or null
        double lastUsedMs = 0;                   // time of the last request or answer
        std::unique_ptr<InputTracker> input;

        bool isBusy() const { return handler != nullptr || stream != nullptr; }
        bool isIdle() const { return !isBusy() && input->isIdle(); }
    };
    std::map<evhttp_connection*, Client> connections_;  // with at least one request
    // A connection without any request so far. evhttp reports a connection only with its first request, so a
    // reference to its bufferevent is kept until then. When evhttp closes the connection, it removes the
    // bufferevent's callbacks.
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
    LibeventPtr<evhttp> server_;  // last member: its destruction closes the connections
};

}  // namespace martencove
