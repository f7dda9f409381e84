// Tests of the HTTP front: the program between HTTP clients, storage nodes and discovery.
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <list>

#include "core/clock.h"
#include "program_harness.h"

using namespace martencove::test;

namespace {

/// A program with one node that holds shard 5.
struct OneNodeFixture {
    explicit OneNodeFixture(
        StubHttpNode::Handler handler = replyWithRequestId,
        const std::function<void(ProgramHarness&)>& configure = [](ProgramHarness&) {})
        : node(program.base.get(), std::move(handler)) {
        configure(program);
        program.config["known"]["hosts"].push_back(
            program.makeNodeEntry("s-1", node.listener.address, 5, "ready"));
        program.start();
    }
    ProgramHarness program;
    StubHttpNode node;
};

const auto neverReply = [](TestConnection&, const ParsedHttpMessage&) {};

/// Waits until the program has closed its listener; returns whether it has.
bool waitForListenerClose(ProgramHarness& program) {
    return program.waitUntil([&] {
        TestConnection probe(program.base.get(), program.listenAddress);
        return program.waitUntil([&] { return probe.closedByPeer; }, 50);
    });
}

}  // namespace

TEST_CASE("reads and writes are forwarded unchanged, and the node's answer is returned") {
    OneNodeFixture test;
    const ParsedHttpMessage read = test.program.sendRequest(test.program.makeRequest("0000000000000001"));
    CHECK(read.statusCode() == 200);
    CHECK(read.body == "made for 0000000000000001:");
    test.program.waitForNodeReuse();
    CHECK(test.program.sendRequest(test.program.makeRequest("0000000000000002", "", 5000, "new text")).body ==
          "made for 0000000000000002:new text");
    REQUIRE(test.node.requests.size() == 2);
    CHECK(test.node.requests[0].startLine() == "GET /read/00000003b4d60021/7f3a9c21e0b4d655?x=1 HTTP/1.1");
    CHECK(test.node.requests[1].header("Idempotency-Key") == "k");
    CHECK(test.node.listener.connections.size() == 1);  // the connection is reused
    CHECK(test.program.stopAndWait() == 0);
}

// Guards against a request to a silent node that is answered twice or not at all: the deadline triggers the
// only answer, and the attempt is cancelled by closing its connection.
TEST_CASE("a silent node: one final answer by the deadline, and the attempt is cancelled") {
    OneNodeFixture test(neverReply);
    TestConnection& client = test.program.connect();
    client.send(test.program.makeRequest("0000000000000001", "", 400));
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(test.program.waitUntil([&] { return (answer = takeHttpMessage(client.received)).has_value(); }));
    CHECK(answer->statusCode() == 503);
    REQUIRE(test.program.waitUntil([&] { return test.node.listener.connections.front().closedByPeer; }));
    CHECK(test.program.readCounter("answer_refused") == 1);
    CHECK(client.received.empty());
}

// Guards against continued work for a client that has disconnected: evhttp does not detect that while a
// request is open.
TEST_CASE("a client that disconnects cancels its attempt") {
    OneNodeFixture test(neverReply);
    TestConnection& client = test.program.connect();
    client.send(test.program.makeRequest("0000000000000001"));
    REQUIRE(test.program.waitUntil([&] { return test.node.requests.size() == 1; }));
    client.close();
    REQUIRE(test.program.waitUntil([&] { return test.node.listener.connections.front().closedByPeer; }));
    CHECK(test.program.readCounter("client_gone") == 1);
    CHECK(test.program.readCounter("answer_failed") + test.program.readCounter("answer_refused") == 0);
}

TEST_CASE("a read whose node connection breaks after the request is retried") {
    int requestCount = 0;
    OneNodeFixture test([&](TestConnection& connection, const ParsedHttpMessage& request) {
        if (requestCount++ == 0) return connection.close();
        replyWithRequestId(connection, request);
    });
    CHECK(test.program.sendRequest(test.program.makeRequest("0000000000000001")).statusCode() == 200);
    CHECK(test.node.requests.size() == 2);
    CHECK(test.program.readCounter("attempt_broken") == 1);
}

TEST_CASE("a node that declines, fails or is unreachable") {
    int requestCount = 0;
    OneNodeFixture test([&](TestConnection& connection, const ParsedHttpMessage& request) {
        if (++requestCount == 1) return connection.send(makeHttpReply(503, "", "Srv-Declined: 1\r\n"));
        if (requestCount == 2) return connection.send(makeHttpReply(500, ""));
        replyWithRequestId(connection, request);
    });
    CHECK(test.program.sendRequest(test.program.makeRequest("0000000000000001")).statusCode() == 200);
    CHECK(test.program.readCounter("attempt_turned_away") == 1);
    CHECK(test.program.readCounter("attempt_error") == 1);
    const int callsBefore = test.program.discoveryCallCount;
    const ReservedAddress unreachable;
    test.program.announceNode("s-1", unreachable, 5);
    REQUIRE(test.program.waitUntil([&] { return test.program.discoveryCallCount > callsBefore; }));
    // A node that cannot be connected to has run nothing, so the answer says that a repeat is harmless.
    const ParsedHttpMessage answer =
        test.program.sendRequest(test.program.makeRequest("0000000000000002", "", 300));
    CHECK(answer.statusCode() == 503);
    CHECK(test.program.readCounter("attempt_not_connected") > 0);
}

TEST_CASE("a draining node gets no new requests; the discovery watch continues") {
    OneNodeFixture test;
    const int callsBefore = test.program.discoveryCallCount;
    test.program.announceNode("s-1", test.node.listener.address, 5, "draining");
    REQUIRE(test.program.waitUntil([&] { return test.program.discoveryCallCount > callsBefore; }));
    CHECK(test.program.sendRequest(test.program.makeRequest("0000000000000001", "", 400)).statusCode() ==
          503);
    CHECK(test.node.requests.empty());
}

TEST_CASE("malformed requests get a defined answer, and the program keeps running") {
    OneNodeFixture test;
    const std::string validRequest = test.program.makeRequest("0000000000000001");
    const auto replaced = [&](const std::string& from, const std::string& to) {
        std::string text = validRequest;
        return text.replace(text.find(from), from.size(), to);
    };
    for (const std::string& badRequest :
         {replaced("GET /read", "GET /what"), replaced("00000003b4d60021", "xyz"),
          replaced("Tier: basic", "Tier: gold"), replaced("Ms: 5000", "Ms: soon"),
          replaced("units=2", "units=-2"), replaced("shard=5", "shard"), replaced("Req-Id: ", "No-Id: "),
          replaced("/7f3a9c21e0b4d655?x=1", ""), replaced("GET", "DELETE"),
          replaced("Tier: basic", "Tier: basic\r\nTier: basic"), replaced("Tier: basic", "Tier : basic")})
        CHECK(test.program.sendRequest(badRequest).statusCode() == 400);
    // There are 100 shards, numbered from 0.
    CHECK(test.program.sendRequest(replaced("shard=5", "shard=100")).statusCode() == 400);
    CHECK(test.program.sendRequest("PUT /write/1/2 HTTP/1.1\r\nHost: b\r\nContent-Length: 70000\r\n\r\n")
                  .statusCode() /
              100 ==
          4);
    CHECK(test.program.sendRequest("GET /" + std::string(20000, 'a') + " HTTP/1.1\r\n\r\n").statusCode() /
              100 !=
          2);
    TestConnection& garbage = test.program.connect();
    garbage.send(std::string("\0\xff\x80 garbage\r\n\r\n", 15));
    REQUIRE(test.program.waitUntil([&] { return garbage.closedByPeer || !garbage.received.empty(); }));
    CHECK(test.node.requests.empty());
    CHECK(test.program.sendRequest(validRequest).statusCode() == 200);
    CHECK(test.program.readCounter("request_malformed") >= 9);
}

// Guards against request smuggling: no request hidden in an ambiguous body reaches a node, and what follows
// on the connection is not read as a request either.
TEST_CASE("a request whose end is ambiguous is rejected and its connection closed") {
    OneNodeFixture test;
    const std::string hiddenRequest = test.program.makeRequest("0000000000000009");
    const std::string hiddenSize = std::to_string(hiddenRequest.size());
    const std::string writeRequest = test.program.makeRequest("0000000000000001", "", 5000, "x");
    const std::string headWithoutLength = writeRequest.substr(0, writeRequest.find("Content-Length"));
    for (const std::string& badRequest :
         {headWithoutLength + "Content-Length: " + hiddenSize +
              "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hiddenRequest,
          headWithoutLength + "Content-Length: 0\r\nContent-Length: " + hiddenSize + "\r\n\r\n" +
              hiddenRequest,
          headWithoutLength + "Content-Length: +0\r\n\r\n" + hiddenRequest,
          headWithoutLength + "Content-Length: -5\r\n\r\n" + hiddenRequest,
          headWithoutLength + "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n\r\n" + hiddenRequest,
          test.program.makeRequest("0000000000000001", "Content-Length: " + hiddenSize + "\r\n") +
              hiddenRequest,
          test.program.makeRequest("0000000000000001", "Transfer-Encoding: chunked\r\n") + "0\r\n\r\n" +
              hiddenRequest}) {
        CAPTURE(badRequest);
        TestConnection& client = test.program.connect();
        client.send(badRequest);
        REQUIRE(test.program.waitUntil([&] { return client.closedByPeer; }));
        CHECK(client.received.starts_with("HTTP/1.1 400"));
        CHECK(client.received.find("HTTP/1.1", 8) == std::string::npos);
    }
    CHECK(test.node.requests.empty());
    // Chunks alone are unambiguous: the body is forwarded with its length.
    CHECK(test.program
              .sendRequest(headWithoutLength +
                           "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
              .body == "made for 0000000000000001:abc");
}

// Guards against clients that connect and never send a complete request: evhttp does not report them, so they
// were never closed.
TEST_CASE("silent clients are closed, at the connection limit sooner") {
    ProgramHarness program;
    program.config["limits"]["sockets"] = 80;
    program.start();
    std::vector<TestConnection*> silent;
    for (int i = 0; i < 200; ++i) silent.push_back(&program.connect());
    silent.back()->send("GET /healthz HT");
    CHECK(program.sendRequest("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n").statusCode() == 200);
    REQUIRE(program.waitUntil([&] {
        return std::all_of(silent.begin(), silent.end(),
                           [](TestConnection* client) { return client->closedByPeer; });
    }));
    CHECK(program.readCounter("client_silent") >= 200);
    CHECK(program.readCounter("client_crowd") > 0);
}

// Guards against evhttp reading on while a request is in progress: the second request has to wait for its
// turn.
TEST_CASE("two pipelined requests are answered in order") {
    OneNodeFixture test;
    TestConnection& client = test.program.connect();
    client.send(test.program.makeRequest("0000000000000001") + test.program.makeRequest("0000000000000002"));
    std::vector<std::string> bodies;
    REQUIRE(test.program.waitUntil([&] {
        if (const auto answer = takeHttpMessage(client.received)) bodies.push_back(answer->body);
        return bodies.size() == 2;
    }));
    CHECK(bodies == std::vector<std::string>{"made for 0000000000000001:", "made for 0000000000000002:"});
}

TEST_CASE("a request with the id of an open request is refused") {
    OneNodeFixture test(neverReply);
    test.program.connect().send(test.program.makeRequest("0000000000000001"));
    REQUIRE(test.program.waitUntil([&] { return test.node.requests.size() == 1; }));
    CHECK(test.program.sendRequest(test.program.makeRequest("0000000000000001")).statusCode() == 503);
    CHECK(test.node.requests.size() == 1);
}

TEST_CASE("SIGTERM: new connections are still served, open requests are finished, and the exit code is 0") {
    TestConnection* heldConnection = nullptr;
    OneNodeFixture test([&](TestConnection& connection, const ParsedHttpMessage& request) {
        if (heldConnection == nullptr) {
            heldConnection = &connection;
        } else {
            replyWithRequestId(connection, request);
        }
    });
    TestConnection& earlyClient = test.program.connect();
    earlyClient.send(test.program.makeRequest("0000000000000001"));
    REQUIRE(test.program.waitUntil([&] { return heldConnection != nullptr; }));
    test.program.sendSignal(SIGTERM);
    REQUIRE(test.program.waitUntil(
        [&] { return test.program.log.find("end: finishing what was taken open=1") != std::string::npos; }));
    const ParsedHttpMessage lateAnswer =
        test.program.sendRequest(test.program.makeRequest("0000000000000002"));
    CHECK(lateAnswer.statusCode() == 200);
    CHECK(lateAnswer.header("Connection") == "close");
    REQUIRE(waitForListenerClose(test.program));  // the first request is answered only after that
    heldConnection->send(makeHttpReply(200, "late"));
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(
        test.program.waitUntil([&] { return (answer = takeHttpMessage(earlyClient.received)).has_value(); }));
    CHECK(answer->body == "late");
    CHECK(test.program.stopAndWait() == 0);
    CHECK(test.program.log.find("end: exits open=0") != std::string::npos);
}

// Guards against the signal's default action after the handler is removed at shutdown: a second SIGTERM would
// end the program with exit code 143.
TEST_CASE("SIGTERM: a signal that arrives after its handler is destroyed does not end the process") {
    const pid_t child = fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        const auto base = martencove::makeEventBase();
        {
            const martencove::SignalHandler handler(base.get(), SIGTERM, [] {});
        }
        raise(SIGTERM);
        _exit(0);
    }
    int status = -1;
    REQUIRE(waitpid(child, &status, 0) == child);
    CHECK(WIFEXITED(status));
}

// Guards against the loss of a request whose headers have been read: evhttp has removed them from the buffer,
// so the connection looks idle.
TEST_CASE(
    "SIGTERM: a request whose headers have arrived on a kept connection is still accepted and answered") {
    OneNodeFixture test;
    TestConnection& client = test.program.connect();
    std::optional<ParsedHttpMessage> answer;
    client.send(test.program.makeRequest("0000000000000001"));
    REQUIRE(test.program.waitUntil([&] { return (answer = takeHttpMessage(client.received)).has_value(); }));
    const std::string text = test.program.makeRequest("0000000000000002", "", 3000, "the body");
    const std::size_t headerBytes = text.find("the body");  // evhttp removes the headers from the buffer
    client.send(text.substr(0, headerBytes));
    test.program.waitBriefly();
    test.program.sendSignal(SIGTERM);
    REQUIRE(waitForListenerClose(test.program));
    test.program.waitBriefly();
    CHECK_FALSE(client.closedByPeer);
    client.send(text.substr(headerBytes));
    REQUIRE(test.program.waitUntil(
        [&] { return (answer = takeHttpMessage(client.received)).has_value() || client.closedByPeer; }));
    REQUIRE(answer);
    CHECK(answer->statusCode() == 200);
    CHECK(test.program.stopAndWait() == 0);
}

// Guards against an exit before the last byte of an answer is written: for the dispatcher the request has
// ended earlier.
TEST_CASE("SIGTERM: the program exits only after its answers are written completely") {
    const std::string longBody(5'900'000, 'y');  // more than the socket buffers hold
    OneNodeFixture test([&](TestConnection& connection,
                            const ParsedHttpMessage&) { connection.send(makeHttpReply(200, longBody)); },
                        [](ProgramHarness& program) {
                            for (auto& requestClass : program.config["settings"]["Classes"])
                                requestClass["DeadlineMs"] = 20000;
                        });
    TestConnection& client = test.program.connect();
    client.setReading(false);
    client.send(test.program.makeRequest("0000000000000001", "", 20000));
    REQUIRE(test.program.waitUntil([&] { return test.program.readCounter("answer_served") == 1; }));
    test.program.sendSignal(SIGTERM);
    REQUIRE(waitForListenerClose(test.program));
    (void)test.program.waitUntil([&] { return test.program.log.find("end: exits") != std::string::npos; },
                                 1000);
    client.setReading(true);
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(test.program.waitUntil(
        [&] { return (answer = takeHttpMessage(client.received)).has_value() || client.closedByPeer; }));
    REQUIRE(answer);
    CHECK(answer->body == longBody);
    CHECK(test.program.stopAndWait() == 0);
}

// Guards against schedulers that repeat failed calls in step: the pause grows with their number and with
// failures.
TEST_CASE("an overloaded discovery is called again after pauses that grow with the fleet and with failures") {
    ProgramHarness program;
    std::vector<double> callTimesMs;
    const martencove::Clock clock;
    TestServer overloadedDiscovery(program.base.get(), [&](TestConnection& connection) {
        if (!takeHttpMessage(connection.received)) return;
        callTimesMs.push_back(clock.nowMs());
        connection.send(makeHttpReply(503, ""));
    });
    program.config["discovery"] = overloadedDiscovery.address.toString();
    program.config["settings"]["Discovery"] = "on_request";
    // 50 ms for each scheduler: on average 500 ms, then 1000 ms; at least half of that.
    program.config["settings"]["Siblings"] = 10;
    program.start();
    REQUIRE(program.waitUntil([&] { return callTimesMs.size() == 3; }));
    CHECK(callTimesMs[1] - callTimesMs[0] >= 249);
    CHECK(callTimesMs[2] - callTimesMs[1] >= 499);
    CHECK(program.stopAndWait() == 0);
}

// Guards against SIGHUP ending the program, a discovery watch that stays at the old address, and lost
// requests.
TEST_CASE("SIGHUP: discovery moves, an invalid file changes nothing, and open requests are served") {
    TestConnection* heldConnection = nullptr;
    OneNodeFixture test(
        [&](TestConnection& connection, const ParsedHttpMessage&) { heldConnection = &connection; });
    TestConnection& earlyClient = test.program.connect();
    earlyClient.send(test.program.makeRequest("0000000000000001"));
    REQUIRE(test.program.waitUntil([&] { return heldConnection != nullptr; }));

    test.program.rewriteConfig("{\"listen\":");
    test.program.sendSignal(SIGHUP);
    REQUIRE(test.program.waitUntil([&] { return test.program.readCounter("config_bad") == 1; }));
    CHECK(test.program.log.find("not taken, the old one stands") != std::string::npos);

    StubHttpNode secondNode(test.program.base.get(), replyWithRequestId);
    std::string firstCallLine;
    TestServer newDiscovery(test.program.base.get(), [&](TestConnection& connection) {
        const auto call = takeHttpMessage(connection.received);
        if (!call || !firstCallLine.empty()) return;
        firstCallLine = call->startLine();
        const Json hosts = {test.program.makeNodeEntry("s-2", secondNode.listener.address, 5, "ready")};
        // The new address numbers its versions itself; they may be lower than those of the old address.
        connection.send(makeHttpReply(200, Json{{"seq", 0}, {"whole", true}, {"hosts", hosts}}.dump()));
    });
    test.program.config["discovery"] = newDiscovery.address.toString();
    test.program.config["limits"]["sockets"] = 512;
    test.program.rewriteConfig();
    test.program.sendSignal(SIGHUP);
    REQUIRE(test.program.waitUntil([&] { return !firstCallLine.empty(); }));
    REQUIRE(test.program.waitUntil(
        [&] { return test.program.log.find("next start field=limits") != std::string::npos; }));
    CHECK(firstCallLine == "GET /v1/servers HTTP/1.1");
    CHECK(test.program.log.find("next start field=limits") != std::string::npos);
    // The list of the new address omits the first node, so that only the second holds the shard.
    REQUIRE(test.program.waitUntil([&] { return test.program.readCounter("discovery_moved") == 1; }));
    CHECK(test.program.sendRequest(test.program.makeRequest("0000000000000002")).body ==
          "made for 0000000000000002:");

    heldConnection->send(makeHttpReply(200, "from before"));
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(
        test.program.waitUntil([&] { return (answer = takeHttpMessage(earlyClient.received)).has_value(); }));
    CHECK(answer->body == "from before");
    CHECK(test.program.stopAndWait() == 0);
}

// Guards against idle connections that keep other clients from connecting.
TEST_CASE("near the connection limit an answer closes its connection; otherwise the connection is kept") {
    ProgramHarness program;
    program.config["limits"]["sockets"] = 80;  // 36 for clients
    program.start();
    const std::string healthRequest = "GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n";
    std::vector<TestConnection*> clients;
    const auto countClosed = [&] {
        return std::count_if(clients.begin(), clients.end(),
                             [](TestConnection* client) { return client->closedByPeer; });
    };
    for (int i = 0; i < 25; ++i) {
        clients.push_back(&program.connect());
        clients.back()->send(healthRequest);
        REQUIRE(program.waitUntil([&] { return clients.back()->received.starts_with("HTTP/1.1 200"); }));
        if (i == 9) CHECK(countClosed() == 0);
    }
    CHECK(clients.back()->received.find("Connection: close") != std::string::npos);
    REQUIRE(program.waitUntil([&] { return clients.back()->closedByPeer; }));
    CHECK(countClosed() < 25);
}

// Guards against idle clients that lock others out at the limit on descriptors.
TEST_CASE("at the connection limit idle connections are closed for new ones") {
    ProgramHarness program;
    program.config["limits"]["sockets"] = 80;
    program.start();
    for (int i = 0; i < 100; ++i) program.connect().send("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n");
    CHECK(program.sendRequest("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n").statusCode() == 200);
    CHECK(program.running());
}

TEST_CASE("invalid and overlong peer datagrams are counted and ignored") {
    OneNodeFixture test;
    const int fd = socket(AF_INET, SOCK_DGRAM, 0);
    const sockaddr_in peerAddress = test.program.peerListenAddress.socketAddress();
    for (const std::size_t size : {std::size_t{3}, std::size_t{300}}) {
        const std::string text(size, 'x');
        sendto(fd, text.data(), text.size(), 0, reinterpret_cast<const sockaddr*>(&peerAddress),
               sizeof peerAddress);
    }
    evutil_closesocket(fd);
    REQUIRE(test.program.waitUntil([&] { return test.program.readCounter("peer_bad") == 2; }));
    CHECK(test.program.sendRequest(test.program.makeRequest("0000000000000001")).statusCode() == 200);
}

// Guards against bytes that go to a connection which evhttp has closed: its bufferevent is kept for a while,
// and the next connection may reuse its descriptor. A request that needs more than one read would lose bytes.
TEST_CASE("http: a request on a connection opened right after another was closed is read completely") {
    ProgramHarness program;
    StubHttpNode node(program.base.get(), replyWithRequestId);
    program.config["known"]["hosts"].push_back(
        program.makeNodeEntry("s-1", node.listener.address, 5, "ready"));
    program.start();
    std::string rejectedRequest;
    SUBCASE("closed for an invalid request line") { rejectedRequest = "NONSENSE\r\n\r\n"; }
    SUBCASE("closed for a body that is too long") {
        rejectedRequest =
            "PUT /write/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: b\r\nContent-Length: "
            "99999999\r\n\r\nabc";
    }
    SUBCASE("closed for headers that are too long") {
        rejectedRequest = "GET / HTTP/1.1\r\nA: " + std::string(80'000, 'a');
    }
    SUBCASE("closed by its client after half a request") { rejectedRequest = ""; }
    for (int i = 0; i < 3; ++i) {
        std::list<TestConnection> earlierConnections;
        for (int j = 0; j < 4; ++j) {
            TestConnection& earlier =
                earlierConnections.emplace_back(program.base.get(), program.listenAddress);
            earlier.send(rejectedRequest.empty() ? "GET /read" : rejectedRequest);
        }
        if (rejectedRequest.empty()) {
            (void)program.waitUntil([] { return false; }, 5);
            for (TestConnection& earlier : earlierConnections) earlier.close();
            (void)program.waitUntil([] { return false; }, 2);
        } else {
            REQUIRE(program.waitUntil([&] {
                return std::all_of(earlierConnections.begin(), earlierConnections.end(),
                                   [](const TestConnection& earlier) { return earlier.closedByPeer; });
            }));
        }
        std::list<TestConnection> clients;
        for (int j = 0; j < 4; ++j) {
            TestConnection& client = clients.emplace_back(program.base.get(), program.listenAddress);
            char id[17];
            std::snprintf(id, sizeof id, "%016x", static_cast<unsigned>(i * 4 + j + 1));
            client.send(program.makeRequest(id, "", 5000, std::string(4800, 'x')));
        }
        for (TestConnection& client : clients) {
            std::optional<ParsedHttpMessage> answer;
            (void)program.waitUntil(
                [&] { return (answer = takeHttpMessage(client.received)) || client.closedByPeer; }, 1500);
            REQUIRE(answer);  // evhttp would close it unanswered after 2.5 s
            CHECK(answer->statusCode() == 200);
        }
    }
}

TEST_CASE("an invalid configuration value stops the start with one line that names the field") {
    const ProgramHarness program;
    const auto expectRejected = [&](const std::string& field, const std::function<void(Json&)>& modify) {
        Json config = program.config;
        modify(config);
        const auto [exitCode, output] = runUntilExit(config);
        CHECK(exitCode == 1);
        CHECK_MESSAGE(output.starts_with("martencove: " + field), output);
        CHECK(std::count(output.begin(), output.end(), '\n') == 1);
    };
    expectRejected("listen", [](Json& config) { config["listen"] = "here"; });
    expectRejected("seed", [](Json& config) { config["seed"] = "xyz"; });
    expectRejected("settings: missing", [](Json& config) { config.erase("settings"); });
    expectRejected("DeadlineMs", [](Json& config) { config["settings"]["Classes"][0].erase("DeadlineMs"); });
    expectRejected("settings: classes.aimMs",
                   [](Json& config) { config["settings"]["Classes"][0]["AimMs"] = -1; });
    expectRejected("DialTimeoutMs", [](Json& config) { config["settings"]["Limits"]["DialTimeoutMs"] = 0; });
    expectRejected("ConnIdleMs", [](Json& config) { config["settings"]["Limits"]["ConnIdleMs"] = -1; });
    expectRejected("settings: rules.drainGraceMs",
                   [](Json& config) { config["settings"]["Rules"]["DrainGraceMs"] = -1; });
    expectRejected("sockets", [](Json& config) { config["limits"]["sockets"] = 3; });
    expectRejected("known", [](Json& config) { config["known"] = 5; });
    expectRejected("peers", [](Json& config) { config["peers"] = {"x"}; });
    expectRejected("NODE_CONFIG", [](Json& config) { config = "text"; });
}

// Guards against filling nodes with idle connections that a burst has left: a node holds only so many for all
// schedulers, and turns away the requests on further ones.
TEST_CASE("an idle node connection beside a more recently used one is closed long before the node does") {
    OneNodeFixture test(replyWithRequestId, [](ProgramHarness& program) {
        program.config["settings"]["Limits"]["ConnIdleMs"] = 600'000;
    });
    const std::list<TestConnection>& connections = test.node.listener.connections;
    // A connection pauses after an answer, so that requests one right after the other need a second one.
    for (int i = 1; i < 100 && connections.size() < 2; ++i)
        CHECK(
            test.program.sendRequest(test.program.makeRequest("00000000000000" + std::to_string(10 + i % 90)))
                .statusCode() == 200);
    REQUIRE(connections.size() == 2);
    const auto closedCount = [&] {
        return std::count_if(connections.begin(), connections.end(),
                             [](const TestConnection& connection) { return connection.closedByPeer; });
    };
    REQUIRE(test.program.waitUntil([&] { return closedCount() == 1; }));
    // Several checks for idle connections later the other one is still open.
    CHECK_FALSE(test.program.waitUntil([&] { return closedCount() == 2; }, 1000));
}
