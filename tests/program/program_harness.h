// The world around the program, for tests: it is started as a process, and its clients, storage nodes,
// discovery and peers are stand-ins on loopback, all on one event loop.
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

#include "net/address.h"
#include "net/loop.h"

namespace martencove::test {

using Json = nlohmann::json;

/// An address that nothing listens on but the program, if it is told to: its port is bound here meanwhile, so
/// that the system gives it to no other listener and no connection.
struct ReservedAddress : Address {
    ReservedAddress();
    ~ReservedAddress();
    ReservedAddress(const ReservedAddress&) = delete;
    ReservedAddress& operator=(
        const ReservedAddress& other);  ///< the same address, which the other one keeps free

private:
    int fd_ = -1;
};

/// A connection that keeps all that came.
class TestConnection {
public:
    TestConnection(event_base* base, const Address& to);         ///< a client's
    TestConnection(event_base* base, evutil_socket_t accepted);  ///< a server's
    void send(const std::string& bytes);
    void close() { socket_.reset(); }
    void sendAndShutdown(const std::string& bytes);  ///< at once, and ends its sending
    void sendAndReset(const std::string& bytes);     ///< at once, and breaks the connection off
    void setReading(bool on);   ///< as a side does that takes what has come, or leaves it
    std::string received;       ///< what has come and nobody has taken
    bool closedByPeer = false;  ///< by the other side
    bool connected = false;     ///< as a client
    std::function<void(TestConnection&)> onData;

private:
    void installCallbacks();
    LibeventPtr<bufferevent> socket_;
};

/// A raw TCP server on a port of its own.
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

/// A port at which a connection may be kept from coming up, as its queue is full.
class FullBacklogServer {
public:
    explicit FullBacklogServer(bool full = true);
    ~FullBacklogServer();
    FullBacklogServer(const FullBacklogServer&) = delete;
    FullBacklogServer& operator=(const FullBacklogServer&) = delete;
    void fillBacklog();
    /// Takes what waits: from here on connections come up. What any has brought so far, in turn of arrival.
    const std::string& acceptAndRead();
    const std::string& readAccepted();  ///< the same, and takes none
    void resetAccepted();               ///< breaks off those that were taken
    /// On all of them that have brought something since.
    void replyToUnanswered(const std::string& bytes);

    Address address;

private:
    int listenerFd_;
    std::vector<int> fillerFds_, acceptedFds_;
    std::set<int> unansweredFds_;
    std::string received_;
};

/// One HTTP message off the front of `text`: its head and body; nothing where it is not whole.
struct ParsedHttpMessage {
    std::string head, body;
    [[nodiscard]] std::string header(const std::string& name) const;
    [[nodiscard]] int statusCode() const { return std::stoi(head.substr(9, 3)); }
    [[nodiscard]] std::string startLine() const { return head.substr(0, head.find("\r\n")); }
};
[[nodiscard]] std::optional<ParsedHttpMessage> takeHttpMessage(std::string& text);
[[nodiscard]] std::string makeHttpReply(int code, const std::string& body, const std::string& headers = "");

/// A storage node over HTTP: `answer` gets each request, and answers on the wire or doesn't.
struct StubHttpNode {
    using Handler = std::function<void(TestConnection&, const ParsedHttpMessage&)>;
    StubHttpNode(event_base* base, Handler answer);
    std::vector<ParsedHttpMessage> requests;
    Handler handler;
    TestServer listener;
};
/// Answers 200 with a text that names the request.
void replyWithRequestId(TestConnection& wire, const ParsedHttpMessage& request);

class ProgramHarness {
public:
    /// On an event loop of its own, or on one that it shares with another world.
    explicit ProgramHarness(event_base* shared = nullptr);
    ~ProgramHarness();

    /// Starts the program with what `config` and `nbd` say now, and waits until it is ready.
    void start();
    /// The same, until it answers at all.
    void startUntilAnswering();
    /// Starts it and tells it to end as soon as it listens.
    void startAndTerminate();
    /// Tells it to end while it reads its configuration; its exit code.
    [[nodiscard]] int terminateDuringConfigRead();
    /// Runs the loop until it holds. The time-out only keeps a broken program from hanging the test.
    [[nodiscard]] bool waitUntil(const std::function<bool()>& holds, double mostMs = 20000);
    /// Waits for longer than a node's connection rests after an answer.
    void waitForNodeReuse() {
        (void)waitUntil([] { return false; }, 30);
    }
    /// Lets the program end, unless it has been told to; its exit code.
    [[nodiscard]] int stopAndWait(int signal = SIGTERM);
    [[nodiscard]] bool running();
    /// A folder of the test's own, gone with it.
    [[nodiscard]] const std::string& folder() const { return folder_; }
    /// Writes the configuration anew, for SIGHUP: `config` as it is now, or any text.
    void rewriteConfig() const { rewriteConfig(config.dump()); }
    void rewriteConfig(const std::string& text) const;
    void sendSignal(int number) {
        terminationRequested_ = terminationRequested_ || number == SIGTERM;
        kill(pid_, number);
    }

    /// Tells of a node; `health` "gone" removes it.
    void announceNode(const std::string& name, const Address& dial, int shard,
                      const std::string& health = "ready");
    void replyRawToNextWatch(const std::string& body);
    /// The same as bytes of the wire, after which the connection ends.
    void replyRawThenClose(const std::string& bytes);
    std::function<void()> whileStarting;  ///< called again and again until the program is ready

    TestConnection& connect();
    TestConnection& connect(const Address& to);
    /// Sends it on a new connection and waits for the answer.
    [[nodiscard]] ParsedHttpMessage sendRequest(const std::string& request);
    [[nodiscard]] std::string makeRequest(const std::string& id, const std::string& more = "",
                                          int deadlineMs = 5000, const std::string& body = "");
    [[nodiscard]] long long readCounter(const std::string& name);
    [[nodiscard]] Json makeNodeEntry(const std::string& name, const Address& dial, int shard,
                                     const std::string& health) const;

    LibeventPtr<event_base> ownedBase;
    struct EventBaseRef {  // reads as a pointer
        event_base* pointer;
        event_base* get() const { return pointer; }
    } base;
    Json config;
    Json nbdSection, etcdSection, xdsSection,
        nodesSection;                         ///< sections of the operator's file; null: not there
    std::string tmpDir;                       ///< the folder in TMPDIR; empty: none of its own
    std::vector<std::string> extraArguments;  ///< further ones on the command line
    ReservedAddress listenAddress, nbdListenAddress, peerListenAddress;
    std::string log;                ///< what the program wrote
    int discoveryCallCount = 0;     ///< calls that discovery got
    std::string lastDiscoveryCall;  ///< the last one's first line
    /// Whether discovery answers; what waits is answered once it does.
    void setDiscoveryAnswers(bool on);
    /// What waits is never answered; calls that come later are.
    void dropPendingDiscoveryCalls() { pendingCalls_.clear(); }

private:
    void launch();
    void startUntilHealthReply(const std::string& answer);
    void answerDiscoveryCalls();
    void readLog();

    struct PendingCall {
        TestConnection* connection;
        bool wantsSnapshot;
        int afterVersion;
        std::chrono::steady_clock::time_point answerByTime;
    };
    std::map<int, Json> changesByVersion_;  // by version
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
    bool terminationRequested_ = false;  // to end
    int waitStatus_ = -1;
};

/// The exit code and standard error of the program, for settings that it should not take.
[[nodiscard]] std::pair<int, std::string> runUntilExit(const Json& config, const Json& nbd = {},
                                                       const Json& etcd = {});

}  // namespace martencove::test
