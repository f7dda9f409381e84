// Harness for tests of the whole program. Starts the program as a process and provides stand-ins for its
// clients, storage nodes, discovery service and peers on loopback addresses, all on one event loop.
#pragma once

#include <signal.h>
#include <sys/types.h>

#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "core/limits.h"
#include "net/address.h"
#include "net/loop.h"

namespace martencove::test {

using Json = nlohmann::json;

/// A loopback address whose TCP port stays bound, without listening, for the lifetime of the object, so that
/// the system assigns it to no other TCP listener or TCP connection, while the program can still bind it and
/// listen on it. A UDP socket of another process may still have the same port number.
struct ReservedAddress : Address {
    ReservedAddress();
    ~ReservedAddress();
    ReservedAddress(const ReservedAddress&) = delete;
    /// Copies the address only: `other` keeps its port reserved.
    ReservedAddress& operator=(const ReservedAddress& other);

private:
    int fd_ = -1;
};

/// A TCP connection of a test, as client or as server, that buffers everything it receives.
class TestConnection {
public:
    /// Starts to connect to a server.
    TestConnection(event_base* base, const Address& server);
    /// Wraps a connection that a server accepted.
    TestConnection(event_base* base, evutil_socket_t accepted);
    /// Queues the bytes for sending; does nothing after close().
    void send(const std::string& bytes);
    void close() { socket_.reset(); }
    /// Writes the bytes to the socket at once, then shuts down the sending side.
    void sendAndShutdown(const std::string& bytes);
    /// Writes the bytes to the socket at once, then closes the connection with a TCP reset.
    void sendAndReset(const std::string& bytes);
    /// Starts or stops reading from the socket. Unread bytes stay in the system's receive buffer.
    void setReading(bool on);
    std::string received;                         ///< received bytes that no test has consumed yet
    bool closedByPeer = false;                    ///< also set by any error of the connection
    bool connected = false;                       ///< set on client connections only
    std::function<void(TestConnection&)> onData;  ///< called after bytes were added to `received`

private:
    void installCallbacks();
    LibeventPtr<bufferevent> socket_;
};

/// A TCP server on a loopback port that the system assigns.
class TestServer {
public:
    TestServer(event_base* base, std::function<void(TestConnection&)> onData);
    ~TestServer();
    Address address;
    std::list<TestConnection> connections;

private:
    static void onAccept(struct evconnlistener*, evutil_socket_t, struct sockaddr*, int, void*);
    event_base* base_;
    std::function<void(TestConnection&)> onData_;
    struct evconnlistener* listener_;
};

/// A TCP server whose accept queue can be filled by its own connections, so that further connection attempts
/// stay unanswered until acceptAndRead() is called.
class FullBacklogServer {
public:
    /// Fills the accept queue at once unless `full` is false.
    explicit FullBacklogServer(bool full = true);
    ~FullBacklogServer();
    FullBacklogServer(const FullBacklogServer&) = delete;
    FullBacklogServer& operator=(const FullBacklogServer&) = delete;
    void fillBacklog();
    /// Accepts all waiting connections, which lets further ones through, and returns readAccepted().
    const std::string& acceptAndRead();
    /// Reads from the accepted connections. Returns all bytes received so far on any of them.
    const std::string& readAccepted();
    /// Closes the accepted connections with a TCP reset.
    void resetAccepted();
    /// Sends the bytes on every connection that has received data since the last call.
    void replyToUnanswered(const std::string& bytes);

    Address address;

private:
    int listenerFd_;
    std::vector<int> fillerFds_, acceptedFds_;
    std::set<int> unansweredFds_;
    std::string received_;
};

/// One HTTP request or response.
struct ParsedHttpMessage {
    std::string head;  ///< start line and headers, each with its CRLF
    std::string body;  ///< without chunk framing
    /// The value of a header, whose name is compared case-sensitively; empty if the header is missing.
    [[nodiscard]] std::string header(const std::string& name) const;
    /// The status code of a response.
    [[nodiscard]] int statusCode() const { return std::stoi(head.substr(9, 3)); }
    [[nodiscard]] std::string startLine() const { return head.substr(0, head.find("\r\n")); }
};
/// Removes the first HTTP message from the front of `text` and returns it. Returns nullopt and leaves `text`
/// unchanged if the message is incomplete.
[[nodiscard]] std::optional<ParsedHttpMessage> takeHttpMessage(std::string& text);
/// Composes a response with a Content-Length; every line of `headers` ends with CRLF.
[[nodiscard]] std::string makeHttpReply(int code, const std::string& body, const std::string& headers = "");

/// A stand-in for a storage node over HTTP. Records each request and passes it to `handler`, which may reply
/// on the connection.
struct StubHttpNode {
    using Handler = std::function<void(TestConnection&, const ParsedHttpMessage&)>;
    StubHttpNode(event_base* base, Handler handler);
    std::vector<ParsedHttpMessage> requests;
    Handler handler;
    TestServer listener;
};
/// Replies 200 with "made for ID:BODY", of the request's Req-Id and body.
void replyWithRequestId(TestConnection& connection, const ParsedHttpMessage& request);

/// Runs one process of the program with its configuration, a stand-in for discovery and client connections.
/// The destructor kills the process if it still runs.
class ProgramHarness {
public:
    /// Uses `sharedBase`, the event base of another harness, or creates one if it is null.
    explicit ProgramHarness(event_base* sharedBase = nullptr);
    ~ProgramHarness();

    /// Starts the program with the current configuration and sections and waits until /healthz returns 200.
    /// Throws std::runtime_error with the program's log if it does not come up.
    void start();
    /// Like start(), but waits only until /healthz returns any status.
    void startUntilAnswering();
    /// Starts the program and sends SIGTERM as soon as it listens.
    void startAndTerminate();
    /// Starts the program, sends SIGTERM while it reads its configuration and returns its exit code, or 128
    /// plus the signal that ended it.
    [[nodiscard]] int terminateDuringConfigRead();
    /// Runs the event loop until `condition` returns true. Returns false after `timeoutMs`, which only keeps
    /// a faulty program from blocking the test.
    [[nodiscard]] bool waitUntil(const std::function<bool()>& condition, double timeoutMs = 20000);
    /// Waits for 30 ms, for bytes in transit to arrive.
    void waitBriefly() {
        (void)waitUntil([] { return false; }, 30);
    }
    /// Waits until the program reuses a node connection on which it has just received an answer.
    void waitForNodeReuse() {
        (void)waitUntil([] { return false; }, Limits{}.httpNodeReuseDelayMs + 30);
    }
    /// Sends the signal, unless it is SIGTERM and SIGTERM was sent before, and waits for the program to exit.
    /// Returns its exit code, 128 plus the number of the signal that ended it, or -1 if it still runs after
    /// 20 s.
    [[nodiscard]] int stopAndWait(int signal = SIGTERM);
    [[nodiscard]] bool running();
    /// The program's private memory now (RssAnon), in bytes; 0 if it does not run.
    [[nodiscard]] long long privateMemoryBytes() const;
    /// How many descriptors the program has open; 0 if it does not run.
    [[nodiscard]] std::size_t descriptorCount() const;
    /// Whether privateMemoryBytes() is the program's own memory: with sanitizers, it is mostly theirs.
#ifdef __SANITIZE_ADDRESS__
    static constexpr bool kMeasuresMemory = false;
#else
    static constexpr bool kMeasuresMemory = true;
#endif
    /// The temporary folder of this harness, which the destructor removes.
    [[nodiscard]] const std::string& folder() const { return folder_; }
    /// Writes the current `config` to the configuration file; the program reads it again upon SIGHUP.
    void rewriteConfig() const { rewriteConfig(config.dump()); }
    /// Writes any text to the configuration file.
    void rewriteConfig(const std::string& text) const;
    void sendSignal(int signal) {
        terminationRequested_ = terminationRequested_ || signal == SIGTERM;
        kill(pid_, signal);
    }

    /// Adds or changes a node in the list of discovery; the health "gone" removes it.
    void announceNode(const std::string& name, const Address& address, int shard,
                      const std::string& health = "ready");
    /// Answers the next watch call with 200 and this body.
    void replyRawToNextWatch(const std::string& body);
    /// Answers the next watch call with exactly these bytes, then shuts down the sending side.
    void replyRawThenClose(const std::string& bytes);
    std::function<void()> whileStarting;  ///< called repeatedly until the program has started

    /// Opens a client connection to the program's HTTP address. The harness owns it.
    TestConnection& connect();
    TestConnection& connect(const Address& server);
    /// Sends a request on a new connection and waits for the response. Returns one with the status code 0 if
    /// the program closes the connection or does not answer within 20 s.
    [[nodiscard]] ParsedHttpMessage sendRequest(const std::string& request);
    /// Composes a read request, or a write request if `body` is not empty. Every line of `extraHeaders` ends
    /// with CRLF.
    [[nodiscard]] std::string makeRequest(const std::string& id, const std::string& extraHeaders = "",
                                          int deadlineMs = 5000, const std::string& body = "");
    /// Reads a counter from /counters; 0 if it is not listed.
    [[nodiscard]] long long readCounter(const std::string& name);
    /// A node's entry in a list of discovery.
    [[nodiscard]] Json makeNodeEntry(const std::string& name, const Address& address, int shard,
                                     const std::string& health) const;

    LibeventPtr<event_base> ownedBase;  ///< null if the event base is shared
    /// A non-owning reference to the event base in use, with the accessor of a smart pointer.
    struct EventBaseRef {
        event_base* pointer;
        event_base* get() const { return pointer; }
    } base;
    Json config;
    /// Sections of the operator's file; a null section is left out, and the file if all are.
    Json nbdSection, etcdSection, xdsSection, nodesSection;
    std::string tmpDir;                       ///< TMPDIR of the program; empty: that of the test
    std::vector<std::string> extraArguments;  ///< added to the program's command line
    ReservedAddress listenAddress, nbdListenAddress, peerListenAddress;
    std::string log;                ///< standard output and error of the program, updated by waitUntil()
    int discoveryCallCount = 0;     ///< calls to discovery so far
    std::string lastDiscoveryCall;  ///< start line of the last call to discovery
    /// Sets whether discovery answers. Calls that arrive while it does not are answered once it does again.
    void setDiscoveryAnswers(bool on);
    /// Leaves all pending calls to discovery unanswered for good; later calls are answered.
    void dropPendingDiscoveryCalls() { pendingCalls_.clear(); }

private:
    void launch();
    void startUntilHealthReply(const std::string& expectedPrefix);
    void answerDiscoveryCalls();
    void readLog();

    struct PendingCall {
        TestConnection* connection;
        bool wantsSnapshot;
        int afterVersion;
        std::chrono::steady_clock::time_point answerByTime;
    };
    std::map<int, Json> changesByVersion_;
    std::map<std::string, Json> nodesByName_;
    std::string rawReply_;
    bool closeAfterRawReply_ = false;
    int version_ = 0;
    bool answersDiscovery_ = true;
    std::vector<PendingCall> pendingCalls_;
    TestServer discovery_;
    std::list<TestConnection> clients_;
    std::string folder_;
    pid_t pid_ = 0;
    bool terminationRequested_ = false;  // SIGTERM was sent
    int waitStatus_ = -1;
};

/// Runs the program until it exits by itself, without a time limit, for configurations that it should reject.
/// Returns its exit code, or -1 if a signal ended it, and its standard output and error.
[[nodiscard]] std::pair<int, std::string> runUntilExit(const Json& config, const Json& nbd = {},
                                                       const Json& etcd = {});

}  // namespace martencove::test
