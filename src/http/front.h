// The HTTP front: accepts clients' requests over HTTP/1.1, passes them to the dispatcher and sends the
// answers.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "arrival/request_memory.h"
#include "core/clock.h"
#include "core/dispatcher.h"
#include "http/client_input.h"
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
///
/// State          Accepts connections   /healthz   Answers close their connections
/// paused         no                    -          no
/// yielded        no                    -          yes
/// evacuating     yes                   503        yes; idle ones are closed after a delay
/// draining       until closeListener() -          yes
/// "-": not affected. Answers close their connections as decideConnectionClose() describes.
///
/// Counters: request_partial_refused: requests refused that had arrived in part. request_no_memory: those of
/// them for which the memory did not suffice. client_silent: connections closed on which nothing arrived, or
/// a request too slowly. client_crowd: times that accepting stopped at the connection limit.
/// client_gone_untaken: requests whose client disconnected before they were submitted. request_not_taken:
/// requests that the dispatcher did not accept. answer_cut: streamed answers that were truncated.
class HttpFront {
public:
    /// `inheritedListenFd`: a socket that already listens at `listenAddress`; -1: binds a new one. Throws
    /// std::runtime_error if it cannot listen.
    HttpFront(event_base* base, const Address& listenAddress, Dispatcher& dispatcher,
              HttpNodeConnectionPool& pool, RequestMemory& requestMemory,
              const limedrum::ProgramSettings& settings, const Limits& limits, Log& log,
              int inheritedListenFd = -1);
    ~HttpFront();
    HttpFront(const HttpFront&) = delete;
    HttpFront& operator=(const HttpFront&) = delete;

    /// Serves the result of `text` at `path`, as /counters does.
    void addTextPage(const std::string& path, std::function<std::string()> text) {
        pages_[path] = std::move(text);
    }
    /// GET /healthz answers 503 with the text "no nodes" while `ready` returns false.
    void setReadinessCheck(std::function<bool()> ready) { readinessCheck_ = std::move(ready); }
    /// `on`: stops accepting, since another process accepts the connections of the shared listening socket
    /// (during an upgrade), and lets answers close their connections. `on` = false: accepts again.
    void setListenerYielded(bool on);
    /// Returns the listening socket, or -1 once it is closed.
    [[nodiscard]] int listenerFd() const;
    /// Leaves new connections in the listener's queue until resumeAccepting().
    void pauseAccepting();
    void resumeAccepting();
    /// `on`: makes clients reconnect elsewhere. Still accepts connections and requests, but /healthz answers
    /// 503, answers close their connections, and after `evacuateCloseDelayMs`, which gives load balancers
    /// time to notice /healthz, idle connections are closed.
    void setEvacuating(bool on);
    [[nodiscard]] bool evacuating() const { return evacuatingSinceMs_.has_value(); }
    /// To be called when the limit on the memory for requests has changed.
    void onRequestMemoryChanged() { blockedTimer_.start(0); }
    /// From now on answers close their connections.
    void startDraining() { draining_ = true; }
    /// Closes the listener once the connections in its queue have been accepted, for which it ends a pause of
    /// accepting. With `atOnce`, or if another process shares the listener, closes it without accepting them.
    /// Returns whether the listener is closed; to be called again until it is.
    [[nodiscard]] bool closeListener(bool atOnce);
    /// Closes idle connections: those without a request in progress, unprocessed input or unsent output.
    /// New connections without a request are kept for `shutdownFirstRequestTimeoutMs`. `refusePartial`:
    /// also refuses requests that have arrived in part, and closes their connections.
    void closeFinishedConnections(bool refusePartial);
    /// Returns whether no connection is open and the lingering closes have delivered all answers.
    [[nodiscard]] bool isDrained() const;
    /// Writes as much of the pending answers to the sockets as the kernel accepts. For the exit, when the
    /// event loop no longer runs.
    void flushOutput();
    /// Returns the number of client connections, without lingering closes. May include connections without a
    /// request that evhttp has closed already.
    [[nodiscard]] std::size_t connectionCount() const { return connections_.size() + newConnections_.size(); }

private:
    friend class HttpRequestHandler;
    static void onRequest(evhttp_request* request, void* self);
    static bufferevent* onAccept(event_base* base, void* self);
    static void onConnectionClosed(evhttp_connection* connection, void* self);
    void handleRequest(evhttp_request* request);
    void sendReply(evhttp_request* request, int code, const char* reason, std::string body = "");
    void rejectMalformed(evhttp_request* request, const std::string& error);
    /// Adds "Connection: close" to the answer if answers should close their connections, except that up to
    /// `maxRequestsWhileClosing` pipelined requests are answered first. Sets Client::lingerOnClose.
    void decideConnectionClose(evhttp_request* request);
    /// Returns whether answers should close their connections.
    [[nodiscard]] bool shouldCloseConnections() const;
    /// Answers requests that have arrived in part with 503 and closes their connections. Clients can
    /// safely repeat them, since nothing was executed.
    void refusePartialRequests();
    /// To be called before the answer is handed to evhttp: lets the next request on the connection follow.
    void readNextRequest(evhttp_connection* connection);
    /// Called when a streamed answer has ended. If it is not complete, closes the connection.
    void onStreamDone(evhttp_connection* connection, bool complete);
    /// Closes at most `maxCount` connections that have been idle for `idleMs` or longer, the longest idle
    /// first. Their clients can reconnect.
    void closeIdleConnections(std::size_t maxCount, double idleMs);
    /// A connection on which no request is in progress.
    struct WaitingInput {
        ClientInput* input;
        evhttp_connection* connection;  // null: it has had no request yet
    };
    [[nodiscard]] std::vector<WaitingInput> waitingInputs() const;
    /// Sends an answer in place of evhttp, which has not got the request, and closes the connection.
    void closeWithReply(const WaitingInput& waiting, std::string_view reply);
    /// Refuses a request that has not arrived whole. It was not executed.
    void refuseArriving(const WaitingInput& waiting);
    /// Serves the inputs that do not go on by themselves: answers malformed requests, and lets those that
    /// wait for memory go on or refuses them.
    void serveBlockedInputs();
    /// Lets the request that waits longest for memory go on, or makes room for it, or refuses it. Also makes
    /// room if more memory is used than is allowed. Returns false if nothing could be done.
    bool serveLongestWaiting();
    /// Closes the connections on which nothing has arrived for `firstRequestTimeoutMs`, or a request slower
    /// than `arrivalPace`.
    void closeOverdueConnections();
    /// At the connection limit, closes at most `reservedDescriptors` connections: those that have brought
    /// nothing for `crowdedFirstRequestTimeoutMs`, and as many as new ones wait of those whose request has
    /// not gone on for as long.
    void makeRoomForConnections();
    /// Whether no request has begun to arrive on the connection for `silentMs`.
    [[nodiscard]] bool isSilent(const WaitingInput& waiting, double silentMs) const;
    void closeSilent(const std::vector<bufferevent*>& connections);
    /// Returns whether too many descriptors or connections are in use to accept another connection.
    bool atConnectionLimit() const;
    void setAccepting(bool on);
    /// Runs periodically: closes stalled and idle connections, and decides whether new ones are accepted.
    void checkConnections();

    event_base* base_;
    Dispatcher& dispatcher_;
    HttpNodeConnectionPool& pool_;
    const limedrum::ProgramSettings& settings_;
    const Limits& limits_;
    Log& log_;
    bool draining_ = false;
    bool listenerYielded_ = false;
    std::optional<double> evacuatingSinceMs_;  // clock time in ms; nullopt: not evacuating
    bool accepting_ = true;
    bool acceptingPaused_ = false;
    struct Client {
        BuffereventRef bev;                      // holds the descriptor open for lingerOnClose
        bool lingerOnClose = false;              // on close, drop input for a while: net/lingering_closes.h
        std::size_t answersWhileClosing = 0;     // answers sent although the connection was to be closed
        HttpRequestHandler* handler = nullptr;   // of the request in progress, or null
        std::unique_ptr<ResponseStream> stream;  // the answer being streamed, or null
        double lastUsedMs = 0;                   // time of the last request or answer
        std::unique_ptr<ClientInput> input;

        bool isBusy() const { return handler != nullptr || stream != nullptr; }
        bool isIdle() const { return !isBusy() && input->isIdle(); }
    };
    const Clock clock_;
    RequestMemory& requestMemory_;
    Timer blockedTimer_;
    ClientInputContext inputContext_;
    std::map<evhttp_connection*, Client> connections_;  // with at least one request
    // A connection without any request so far. evhttp reports a connection only with its first request, so a
    // reference to its bufferevent is kept until then. When evhttp closes the connection, it removes the
    // bufferevent's callbacks, by which closedByEvhttp() recognises that.
    struct NewConnection {
        BuffereventRef bev;
        double acceptedAtMs = 0;
        std::unique_ptr<ClientInput> input;
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
