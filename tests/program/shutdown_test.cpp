// Tests of the time between SIGTERM and the exit. Races are forced: by a node that holds back its answer, a
// client that holds back a byte, a stopped process, or a connection that waits to be accepted. Where a test
// requires that something happens soon, its deadlines are so long that a wrong schedule is off by seconds.
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include "program_harness.h"

using namespace martencove::test;

namespace {

constexpr int kLongDeadlineMs = 20'000;
// Much later than any event of a shutdown schedule, which counts at most 3 s of a deadline, and much earlier
// than the deadline itself.
constexpr double kLongBeforeDeadlineMs = 10'000;

const auto neverReply = [](TestConnection&, const ParsedHttpMessage&) {};

/// A program with one node that holds shard 5. Unless a handler is given, the node never answers.
struct ShutdownFixture {
    explicit ShutdownFixture(
        StubHttpNode::Handler handler = neverReply,
        const std::function<void(ProgramHarness&)>& configure = [](ProgramHarness&) {})
        : node(program.base.get(), std::move(handler)) {
        configure(program);
        program.config["known"]["hosts"] =
            Json::array({program.makeNodeEntry("s-1", node.listener.address, 5, "ready")});
        program.start();
    }
    /// Returns a client that has sent a request, which the node has received.
    TestConnection& connectWaitingClient(const std::string& id, int deadlineMs = 5000) {
        TestConnection& client = program.connect();
        const std::size_t before = node.requests.size();
        client.send(program.makeRequest(id, "", deadlineMs));
        REQUIRE(program.waitUntil([&] { return node.requests.size() == before + 1; }));
        return client;
    }
    /// Returns a client that has sent only the first `sent` bytes of `text`.
    TestConnection& connectPartialClient(const std::string& text, std::size_t sent) {
        TestConnection& client = program.connect();
        client.send(text.substr(0, sent));
        REQUIRE(program.waitUntil([&] { return client.connected; }));
        program.waitBriefly();
        return client;
    }
    void terminate() {
        program.sendSignal(SIGTERM);
        REQUIRE(waitForLog("end: finishing"));
    }
    bool waitForLog(const std::string& text, double timeoutMs = 20'000) {
        return program.waitUntil([&] { return program.log.find(text) != std::string::npos; }, timeoutMs);
    }
    /// Returns the next answer on a connection, or nothing if the connection is closed without one.
    std::optional<ParsedHttpMessage> waitForAnswer(TestConnection& client, double timeoutMs = 20'000) {
        std::optional<ParsedHttpMessage> message;
        (void)program.waitUntil(
            [&] { return (message = takeHttpMessage(client.received)).has_value() || client.closedByPeer; },
            timeoutMs);
        return message;
    }

    ProgramHarness program;
    StubHttpNode node;
};

void setLongDeadlines(ProgramHarness& program) {
    for (Json& requestClass : program.config["settings"]["Classes"])
        requestClass["DeadlineMs"] = kLongDeadlineMs;
}
void setDeadlines(ProgramHarness& program, int ms) {
    for (Json& requestClass : program.config["settings"]["Classes"]) requestClass["DeadlineMs"] = ms;
}

}  // namespace

// Guards against a schedule that waits for a long deadline in full: the time until SIGKILL counts only 3 s of
// it.
TEST_CASE(
    "shutdown: a request at a hanging node is answered long before its deadline, and the exit code is 0") {
    ShutdownFixture test(neverReply, setLongDeadlines);
    TestConnection* client = nullptr;
    SUBCASE("accepted before SIGTERM") {
        client = &test.connectWaitingClient("0000000000000001", kLongDeadlineMs);
        test.terminate();
    }
    SUBCASE("accepted after SIGTERM") {
        test.terminate();
        client = &test.connectWaitingClient("0000000000000001", kLongDeadlineMs);
    }
    SUBCASE("accepted before SIGTERM, and discovery is silent") {
        test.program.setDiscoveryAnswers(false);
        test.program.dropPendingDiscoveryCalls();
        client = &test.connectWaitingClient("0000000000000001", kLongDeadlineMs);
        test.terminate();
    }
    const auto answer = test.waitForAnswer(*client, kLongBeforeDeadlineMs);
    REQUIRE(answer);
    CHECK(answer->statusCode() == 503);  // a repeat of a read is harmless
    CHECK(test.program.stopAndWait() == 0);
    CHECK(test.program.log.find("end: exits open=0") != std::string::npos);
}

// Guards against a connection that is established late and then sends a request that has been answered.
TEST_CASE("shutdown: a request whose connection is never established is answered, and not sent afterwards") {
    ProgramHarness program;
    FullBacklogServer server;
    setLongDeadlines(program);
    program.config["settings"]["Limits"]["DialTimeoutMs"] = 60'000;
    program.config["known"]["hosts"] =
        Json::array({program.makeNodeEntry("s-1", server.address, 5, "ready")});
    program.start();
    TestConnection& client = program.connect();
    client.send(program.makeRequest("0000000000000001", "", kLongDeadlineMs));
    REQUIRE(program.waitUntil([&] { return program.readCounter("attempt_sent") == 1; }));
    program.sendSignal(SIGTERM);
    std::optional<ParsedHttpMessage> answer;
    (void)program.waitUntil(
        [&] { return (answer = takeHttpMessage(client.received)).has_value() || client.closedByPeer; },
        kLongBeforeDeadlineMs);
    REQUIRE(answer);
    CHECK(answer->statusCode() == 503);
    CHECK(server.acceptAndRead().empty());
    CHECK(program.stopAndWait() == 0);
}

// Guards against forwarding a request that is read too late for its node to answer: the process is stopped
// while the last byte arrives and the time for first attempts ends.
TEST_CASE("shutdown: a request that is read too late is refused and not forwarded") {
    ShutdownFixture test(neverReply, [](ProgramHarness& program) { setDeadlines(program, 1000); });
    TestConnection& waiting = test.connectWaitingClient("0000000000000001", 1000);
    const std::string text = test.program.makeRequest("0000000000000002", "", 1000);
    TestConnection& late = test.connectPartialClient(text, 20);
    test.terminate();
    test.program.sendSignal(SIGSTOP);
    late.send(text.substr(20));
    (void)test.program.waitUntil([] { return false; }, 1200);  // first attempts may start during 0.97 s
    test.program.sendSignal(SIGCONT);
    const auto answer = test.waitForAnswer(late);
    REQUIRE(answer);
    CHECK(answer->statusCode() == 503);
    CHECK(answer->header("Connection") == "close");
    REQUIRE(test.waitForAnswer(waiting));
    CHECK(test.node.requests.size() == 1);
    CHECK(test.program.stopAndWait() == 0);
}

// Guards against an exit that ignores what arrived while the process was stopped for longer than the schedule
// allows.
TEST_CASE("shutdown: a process stopped beyond its time to exit answers what has arrived before it exits") {
    ShutdownFixture test(neverReply, [](ProgramHarness& program) { setDeadlines(program, 1000); });
    TestConnection& waiting = test.connectWaitingClient("0000000000000001", 1000);
    const std::string text = test.program.makeRequest("0000000000000002", "", 1000);
    TestConnection& late = test.connectPartialClient(text, 20);
    test.terminate();
    test.program.sendSignal(SIGSTOP);
    late.send(text.substr(20));
    (void)test.program.waitUntil([] { return false; }, 1700);
    test.program.sendSignal(SIGCONT);
    const auto answer = test.waitForAnswer(late);
    REQUIRE(answer);
    CHECK(answer->statusCode() == 503);
    REQUIRE(test.waitForAnswer(waiting));
    CHECK(test.node.requests.size() == 1);
    CHECK(test.program.stopAndWait() == 0);
}

// Guards against closing the connection after an answer while the client's next requests have been read
// already.
TEST_CASE("shutdown: pipelined requests are all answered") {
    ShutdownFixture test(neverReply, setLongDeadlines);
    TestConnection& client = test.connectWaitingClient("0000000000000001", kLongDeadlineMs);
    client.send(test.program.makeRequest("0000000000000002", "", kLongDeadlineMs) +
                test.program.makeRequest("0000000000000003", "", kLongDeadlineMs));
    test.program.waitBriefly();
    test.terminate();
    for (int i = 0; i < 3; ++i) {
        const auto answer = test.waitForAnswer(client, kLongBeforeDeadlineMs);
        REQUIRE(answer);
        CHECK(answer->statusCode() == 503);
    }
    CHECK(test.node.requests.size() == 1);
    CHECK(test.program.stopAndWait() == 0);
}

TEST_CASE("shutdown: half a request is refused, and does not delay the exit") {
    ShutdownFixture test(neverReply, setLongDeadlines);
    const std::string text = test.program.makeRequest("0000000000000001", "", kLongDeadlineMs, "the body");
    TestConnection* client = nullptr;
    bool sendsByteByByte = false;
    SUBCASE("half of its headers, on a new connection") { client = &test.connectPartialClient(text, 20); }
    SUBCASE("its headers, on a new connection") {
        client = &test.connectPartialClient(text, text.find("the body"));
    }
    SUBCASE("half of its headers, on a used connection") {
        client = &test.connectPartialClient("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n" + text, 60);
        REQUIRE(test.waitForAnswer(*client));
    }
    SUBCASE("its headers, pipelined behind another request") {
        const std::string twoRequests = "GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n" + text;
        client = &test.connectPartialClient(twoRequests, twoRequests.find("the body"));
        REQUIRE(test.waitForAnswer(*client));
    }
    SUBCASE("a client that continues byte by byte") {
        client = &test.connectPartialClient(text, 20);
        sendsByteByByte = true;
    }
    test.terminate();
    std::optional<ParsedHttpMessage> answer;
    std::size_t sent = 20;
    REQUIRE(test.program.waitUntil(
        [&] {
            if (sendsByteByByte && !client->closedByPeer && sent < 60) client->send(text.substr(sent++, 1));
            return (answer = takeHttpMessage(client->received)).has_value() || client->closedByPeer;
        },
        kLongBeforeDeadlineMs));
    REQUIRE(answer);
    CHECK(answer->statusCode() == 503);
    CHECK(answer->header("Connection") == "close");
    REQUIRE(test.waitForLog("end: exits", kLongBeforeDeadlineMs));
    CHECK(test.program.stopAndWait() == 0);
    CHECK(test.node.requests.empty());
}

// Guards against closing a connection with unread bytes: that resets the connection, and the end of the
// answer in transit is lost.
TEST_CASE("shutdown: an answer arrives completely though its client sends more after its request") {
    const std::string body(48'000, 'y');
    TestConnection* heldConnection = nullptr;
    ShutdownFixture test(
        [&](TestConnection& connection, const ParsedHttpMessage&) { heldConnection = &connection; });
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const int receiveBufferBytes = 4096;  // so that most of the answer waits in the program
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    const sockaddr_in address = test.program.listenAddress.socketAddress();
    REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    const std::string text = test.program.makeRequest("0000000000000001");
    REQUIRE(::send(fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
    REQUIRE(test.program.waitUntil([&] { return heldConnection != nullptr; }));
    test.terminate();
    heldConnection->send(makeHttpReply(200, body));
    REQUIRE(test.program.waitUntil([&] { return test.program.readCounter("answer_served") == 1; }));
    test.program.waitBriefly();
    // Sent in pieces, so that some arrive before the close and some after it.
    for (int i = 0; i < 10; ++i) {
        (void)!::send(fd, text.data(), 20, MSG_NOSIGNAL);
        test.program.waitBriefly();
    }
    std::string received;
    char chunk[4096];
    for (ssize_t count = 0; (count = recv(fd, chunk, sizeof chunk, 0)) > 0;)
        received.append(chunk, static_cast<std::size_t>(count));
    close(fd);
    const auto answer = takeHttpMessage(received);
    REQUIRE(answer);
    CHECK(answer->body == body);
    CHECK(test.program.stopAndWait() == 0);
}

// Guards against closing the listener while connections wait to be accepted: none can be accepted while open
// requests use all descriptors.
TEST_CASE("shutdown: connections in the listen queue are accepted and answered once descriptors are free") {
    constexpr int kClients = 40;  // more than the program has descriptors for
    std::vector<TestConnection*> heldConnections;
    bool holdRequests = true;
    ShutdownFixture test(
        [&](TestConnection& connection, const ParsedHttpMessage& request) {
            holdRequests ? heldConnections.push_back(&connection) : replyWithRequestId(connection, request);
        },
        [](ProgramHarness& program) {
            setLongDeadlines(program);
            program.config["limits"]["sockets"] = 64;
        });
    test.program.sendSignal(SIGSTOP);
    std::vector<TestConnection*> clients;
    for (int i = 0; i < kClients; ++i) {
        clients.push_back(&test.program.connect());
        clients.back()->send(
            test.program.makeRequest("00000000000000" + std::to_string(10 + i), "", kLongDeadlineMs));
    }
    REQUIRE(test.program.waitUntil([&] {
        return std::all_of(clients.begin(), clients.end(),
                           [](const TestConnection* client) { return client->connected; });
    }));
    test.program.sendSignal(SIGTERM);
    test.program.sendSignal(SIGCONT);
    REQUIRE(test.program.waitUntil([&] { return !heldConnections.empty(); }));
    (void)test.program.waitUntil([] { return false; }, 600);  // the listener's closing time has passed
    holdRequests = false;
    for (TestConnection* connection : heldConnections) connection->send(makeHttpReply(200, "late"));
    for (TestConnection* client : clients) {
        const auto answer = test.waitForAnswer(*client, kLongBeforeDeadlineMs);
        REQUIRE(answer);
        CHECK((answer->statusCode() == 200 || answer->statusCode() == 503));
    }
    CHECK(test.program.stopAndWait() == 0);
}

TEST_CASE("shutdown: a process stopped at the listener's closing time loses no connection") {
    ShutdownFixture test(replyWithRequestId);
    test.terminate();
    test.program.sendSignal(SIGSTOP);
    TestConnection& client = test.program.connect();
    client.send(test.program.makeRequest("0000000000000001"));
    REQUIRE(test.program.waitUntil([&] { return client.connected; }));
    (void)test.program.waitUntil([] { return false; }, 700);
    test.program.sendSignal(SIGCONT);
    const auto answer = test.waitForAnswer(client);
    REQUIRE(answer);
    CHECK(answer->statusCode() == 200);
    CHECK(test.program.stopAndWait() == 0);
}

TEST_CASE("shutdown: with SIGTERM before the first list, waiting clients are served") {
    ProgramHarness program;
    StubHttpNode node(program.base.get(), replyWithRequestId);
    program.config["known"]["hosts"] =
        Json::array({program.makeNodeEntry("s-1", node.listener.address, 5, "ready")});
    program.config["settings"]["Rules"]["DrainGraceMs"] = 60'000;  // the program waits 0.4 s for a list
    program.setDiscoveryAnswers(false);
    program.startAndTerminate();
    TestConnection& client = program.connect();
    client.send(program.makeRequest("0000000000000001"));
    std::optional<ParsedHttpMessage> answer;
    (void)program.waitUntil(
        [&] { return (answer = takeHttpMessage(client.received)).has_value() || client.closedByPeer; });
    REQUIRE(answer);
    CHECK(answer->statusCode() == 200);
    CHECK(program.stopAndWait() == 0);
}

TEST_CASE("shutdown: idle and silent clients do not delay the exit beyond the closing of the listener") {
    ShutdownFixture test(neverReply, setLongDeadlines);
    TestConnection& idleClient = test.program.connect();
    idleClient.send("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n");
    REQUIRE(test.waitForAnswer(idleClient));
    TestConnection& silentClient = test.program.connect();
    REQUIRE(test.program.waitUntil([&] { return silentClient.connected; }));
    test.terminate();
    REQUIRE(test.waitForLog("end: exits", kLongBeforeDeadlineMs));
    CHECK(test.program.stopAndWait() == 0);
    CHECK(test.program.waitUntil([&] { return idleClient.closedByPeer && silentClient.closedByPeer; }));
    CHECK(idleClient.received.empty());
    CHECK(silentClient.received.empty());
}

TEST_CASE("shutdown: a stalled long answer is cut off, and the program exits") {
    const std::string part(200'000, 'y');
    ShutdownFixture test(
        [&](TestConnection& connection, const ParsedHttpMessage&) {
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + part);
        },
        setLongDeadlines);
    TestConnection& client = test.program.connect();
    client.send(test.program.makeRequest("0000000000000001", "", kLongDeadlineMs));
    REQUIRE(test.program.waitUntil([&] { return client.received.size() >= part.size(); }));
    test.terminate();
    // Without a shutdown an answer may stall for 10 s.
    REQUIRE(test.waitForLog("end: exits", 8000));
    REQUIRE(test.program.waitUntil([&] { return client.closedByPeer; }));
    CHECK(client.received.size() < 400'000);
    CHECK(test.program.stopAndWait() == 0);
}

TEST_CASE("shutdown: a second signal changes nothing") {
    ShutdownFixture test(neverReply, setLongDeadlines);
    TestConnection& client = test.connectWaitingClient("0000000000000001", kLongDeadlineMs);
    test.terminate();
    SUBCASE("SIGTERM") { test.program.sendSignal(SIGTERM); }
    SUBCASE("SIGINT") { test.program.sendSignal(SIGINT); }
    const auto answer = test.waitForAnswer(client, kLongBeforeDeadlineMs);
    REQUIRE(answer);
    CHECK(answer->statusCode() == 503);
    CHECK(test.program.stopAndWait() == 0);
}

// Guards against a shutdown that counts by outdated deadlines, and one that becomes longer while it runs.
TEST_CASE("shutdown: the shorter of the deadlines before and after a SIGHUP counts") {
    int deadlineBeforeMs = 2500, deadlineAfterMs = 300;
    bool changeDuringShutdown = false;
    SUBCASE("shorter ones, just before SIGTERM") {}
    SUBCASE("shorter ones, during the shutdown") { changeDuringShutdown = true; }
    SUBCASE("longer ones, just before SIGTERM") { std::swap(deadlineBeforeMs, deadlineAfterMs); }
    SUBCASE("longer ones, during the shutdown") {
        std::swap(deadlineBeforeMs, deadlineAfterMs);
        changeDuringShutdown = true;
    }
    ShutdownFixture test(neverReply,
                         [&](ProgramHarness& program) { setDeadlines(program, deadlineBeforeMs); });
    if (changeDuringShutdown) test.terminate();
    setDeadlines(test.program, deadlineAfterMs);
    test.program.rewriteConfig();
    test.program.sendSignal(SIGHUP);
    REQUIRE(test.waitForLog("configuration: read"));
    if (!changeDuringShutdown) test.terminate();
    // 300 ms and 0.7 s, less the time that may pass until the signal is handled.
    CHECK(test.waitForLog("sigkill_after_ms=830", 1000));
    CHECK(test.program.stopAndWait() == 0);
}

// Guards against the signal's default action, which ends a process that has not installed its handlers yet
// with exit code 143.
TEST_CASE("shutdown: SIGTERM while the configuration is read leads to exit code 0") {
    ProgramHarness program;
    CHECK(program.terminateDuringConfigRead() == 0);
}

TEST_CASE("shutdown: an evacuated program answers all pipelined requests") {
    ReservedAddress opsAddress;
    ShutdownFixture test(replyWithRequestId,
                         [&](ProgramHarness& program) { program.config["ops"] = opsAddress.toString(); });
    TestConnection& caller = test.program.connect(opsAddress);
    caller.send("PUT /api/evacuate HTTP/1.1\r\nHost: o\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(test.waitForAnswer(caller));
    TestConnection& client = test.program.connect();
    client.send(test.program.makeRequest("0000000000000001") + test.program.makeRequest("0000000000000002"));
    for (int i = 0; i < 2; ++i) {
        const auto answer = test.waitForAnswer(client);
        REQUIRE(answer);
        CHECK(answer->statusCode() == 200);
    }
    CHECK(test.program.waitUntil([&] { return client.closedByPeer; }));
    CHECK(test.program.stopAndWait() == 0);
}

// Guards against an exit that is delayed by a client that never stops pipelining requests.
TEST_CASE("shutdown: a flood of requests on one connection is ended and delays no other client's answer") {
    ShutdownFixture test(replyWithRequestId, setLongDeadlines);
    const std::string request = test.program.makeRequest("0000000000000001", "", kLongDeadlineMs);
    std::string requests;
    while (requests.size() < 60'000) requests += request;
    TestConnection& flood = test.program.connect();
    bool readsAnswers = true;
    SUBCASE("whose answers are read") {}
    SUBCASE("whose answers are not read") { readsAnswers = false; }
    flood.setReading(readsAnswers);
    flood.send(requests);
    REQUIRE(test.program.waitUntil([&] { return test.program.readCounter("request_taken") > 0; }));
    test.terminate();
    TestConnection& other = test.program.connect();
    other.send(test.program.makeRequest("0000000000000002", "", kLongDeadlineMs));
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(test.program.waitUntil(
        [&] {
            if (!flood.closedByPeer) flood.send(request);
            return (answer = takeHttpMessage(other.received)).has_value() || other.closedByPeer;
        },
        kLongBeforeDeadlineMs));
    REQUIRE(answer);
    CHECK(answer->statusCode() == 200);
    REQUIRE(test.program.waitUntil(
        [&] {
            if (!flood.closedByPeer) flood.send(request);
            return test.program.log.find("end: exits") != std::string::npos;
        },
        kLongBeforeDeadlineMs));
    CHECK(test.program.stopAndWait() == 0);
}
