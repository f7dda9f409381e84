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

const auto silent = [](TestConnection&, const ParsedHttpMessage&) {};

/// A program with one node that holds shard 5. Unless a handler is given, the node never answers.
struct Site {
    explicit Site(
        StubHttpNode::Handler answer = silent,
        const std::function<void(ProgramHarness&)>& set = [](ProgramHarness&) {})
        : node(world.base.get(), std::move(answer)) {
        set(world);
        world.config["known"]["hosts"] =
            Json::array({world.makeNodeEntry("s-1", node.listener.address, 5, "ready")});
        world.start();
    }
    /// Returns a client that has sent a request, which the node has received.
    TestConnection& heldClient(const std::string& id, int deadlineMs = 5000) {
        TestConnection& client = world.connect();
        const std::size_t before = node.requests.size();
        client.send(world.makeRequest(id, "", deadlineMs));
        REQUIRE(world.waitUntil([&] { return node.requests.size() == before + 1; }));
        return client;
    }
    /// Returns a client that has sent only the first `sent` bytes of `text`.
    TestConnection& halfClient(const std::string& text, std::size_t sent) {
        TestConnection& client = world.connect();
        client.send(text.substr(0, sent));
        REQUIRE(world.waitUntil([&] { return client.connected; }));
        world.waitForNodeReuse();
        return client;
    }
    void terminate() {
        world.sendSignal(SIGTERM);
        REQUIRE(logged("end: finishing"));
    }
    bool logged(const std::string& text, double mostMs = 20'000) {
        return world.waitUntil([&] { return world.log.find(text) != std::string::npos; }, mostMs);
    }
    /// Returns the next answer on a connection, or nothing if the connection is closed without one.
    std::optional<ParsedHttpMessage> answer(TestConnection& client, double mostMs = 20'000) {
        std::optional<ParsedHttpMessage> out;
        (void)world.waitUntil(
            [&] { return (out = takeHttpMessage(client.received)).has_value() || client.closedByPeer; },
            mostMs);
        return out;
    }

    ProgramHarness world;
    StubHttpNode node;
};

void longDeadlines(ProgramHarness& world) {
    for (Json& one : world.config["settings"]["Classes"]) one["DeadlineMs"] = kLongDeadlineMs;
}
void deadlinesOf(ProgramHarness& world, int ms) {
    for (Json& one : world.config["settings"]["Classes"]) one["DeadlineMs"] = ms;
}

}  // namespace

// Guards against a schedule that waits for a long deadline in full: the time until SIGKILL counts only 3 s of
// it.
TEST_CASE(
    "shutdown: a request at a hanging node is answered long before its deadline, and the exit code is 0") {
    Site t(silent, longDeadlines);
    TestConnection* client = nullptr;
    SUBCASE("accepted before SIGTERM") {
        client = &t.heldClient("0000000000000001", kLongDeadlineMs);
        t.terminate();
    }
    SUBCASE("accepted after SIGTERM") {
        t.terminate();
        client = &t.heldClient("0000000000000001", kLongDeadlineMs);
    }
    SUBCASE("accepted before SIGTERM, and discovery is silent") {
        t.world.setDiscoveryAnswers(false);
        t.world.dropPendingDiscoveryCalls();
        client = &t.heldClient("0000000000000001", kLongDeadlineMs);
        t.terminate();
    }
    const auto answer = t.answer(*client, kLongBeforeDeadlineMs);
    REQUIRE(answer);
    CHECK(answer->statusCode() == 503);  // a repeat of a read is harmless
    CHECK(t.world.stopAndWait() == 0);
    CHECK(t.world.log.find("end: exits open=0") != std::string::npos);
}

// Guards against a connection that is established late and then sends a request that has been answered.
TEST_CASE("shutdown: a request whose connection is never established is answered, and not sent afterwards") {
    ProgramHarness world;
    FullBacklogServer jam;
    longDeadlines(world);
    world.config["settings"]["Limits"]["DialTimeoutMs"] = 60'000;
    world.config["known"]["hosts"] = Json::array({world.makeNodeEntry("s-1", jam.address, 5, "ready")});
    world.start();
    TestConnection& client = world.connect();
    client.send(world.makeRequest("0000000000000001", "", kLongDeadlineMs));
    REQUIRE(world.waitUntil([&] { return world.readCounter("attempt_sent") == 1; }));
    world.sendSignal(SIGTERM);
    std::optional<ParsedHttpMessage> answer;
    (void)world.waitUntil(
        [&] { return (answer = takeHttpMessage(client.received)).has_value() || client.closedByPeer; },
        kLongBeforeDeadlineMs);
    REQUIRE(answer);
    CHECK(answer->statusCode() == 503);
    CHECK(jam.acceptAndRead().empty());
    CHECK(world.stopAndWait() == 0);
}

// Guards against forwarding a request that is read too late for its node to answer: the process is stopped
// while the last byte arrives and the time for first attempts ends.
TEST_CASE("shutdown: a request that is read too late is refused and not forwarded") {
    Site t(silent, [](ProgramHarness& world) { deadlinesOf(world, 1000); });
    TestConnection& held = t.heldClient("0000000000000001", 1000);
    const std::string text = t.world.makeRequest("0000000000000002", "", 1000);
    TestConnection& late = t.halfClient(text, 20);
    t.terminate();
    t.world.sendSignal(SIGSTOP);
    late.send(text.substr(20));
    (void)t.world.waitUntil([] { return false; }, 1200);  // first attempts may start during 0.97 s
    t.world.sendSignal(SIGCONT);
    const auto answer = t.answer(late);
    REQUIRE(answer);
    CHECK(answer->statusCode() == 503);
    CHECK(answer->header("Connection") == "close");
    REQUIRE(t.answer(held));
    CHECK(t.node.requests.size() == 1);
    CHECK(t.world.stopAndWait() == 0);
}

// Guards against an exit that ignores what arrived while the process was stopped for longer than the schedule
// allows.
TEST_CASE("shutdown: a process stopped beyond its time to exit answers what has arrived before it exits") {
    Site t(silent, [](ProgramHarness& world) { deadlinesOf(world, 1000); });
    TestConnection& held = t.heldClient("0000000000000001", 1000);
    const std::string text = t.world.makeRequest("0000000000000002", "", 1000);
    TestConnection& late = t.halfClient(text, 20);
    t.terminate();
    t.world.sendSignal(SIGSTOP);
    late.send(text.substr(20));
    (void)t.world.waitUntil([] { return false; }, 1700);
    t.world.sendSignal(SIGCONT);
    const auto answer = t.answer(late);
    REQUIRE(answer);
    CHECK(answer->statusCode() == 503);
    REQUIRE(t.answer(held));
    CHECK(t.node.requests.size() == 1);
    CHECK(t.world.stopAndWait() == 0);
}

// Guards against closing the connection after an answer while the client's next requests have been read
// already.
TEST_CASE("shutdown: pipelined requests are all answered") {
    Site t(silent, longDeadlines);
    TestConnection& client = t.heldClient("0000000000000001", kLongDeadlineMs);
    client.send(t.world.makeRequest("0000000000000002", "", kLongDeadlineMs) +
                t.world.makeRequest("0000000000000003", "", kLongDeadlineMs));
    t.world.waitForNodeReuse();
    t.terminate();
    for (int i = 0; i < 3; ++i) {
        const auto answer = t.answer(client, kLongBeforeDeadlineMs);
        REQUIRE(answer);
        CHECK(answer->statusCode() == 503);
    }
    CHECK(t.node.requests.size() == 1);
    CHECK(t.world.stopAndWait() == 0);
}

TEST_CASE("shutdown: half a request is refused, and does not delay the exit") {
    Site t(silent, longDeadlines);
    const std::string text = t.world.makeRequest("0000000000000001", "", kLongDeadlineMs, "the body");
    TestConnection* client = nullptr;
    bool trickles = false;
    SUBCASE("half of its headers, on a new connection") { client = &t.halfClient(text, 20); }
    SUBCASE("its headers, on a new connection") { client = &t.halfClient(text, text.find("the body")); }
    SUBCASE("half of its headers, on a used connection") {
        client = &t.halfClient("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n" + text, 60);
        REQUIRE(t.answer(*client));
    }
    SUBCASE("its headers, pipelined behind another request") {
        const std::string both = "GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n" + text;
        client = &t.halfClient(both, both.find("the body"));
        REQUIRE(t.answer(*client));
    }
    SUBCASE("a client that continues byte by byte") {
        client = &t.halfClient(text, 20);
        trickles = true;
    }
    t.terminate();
    std::optional<ParsedHttpMessage> answer;
    std::size_t sent = 20;
    REQUIRE(t.world.waitUntil(
        [&] {
            if (trickles && !client->closedByPeer && sent < 60) client->send(text.substr(sent++, 1));
            return (answer = takeHttpMessage(client->received)).has_value() || client->closedByPeer;
        },
        kLongBeforeDeadlineMs));
    REQUIRE(answer);
    CHECK(answer->statusCode() == 503);
    CHECK(answer->header("Connection") == "close");
    REQUIRE(t.logged("end: exits", kLongBeforeDeadlineMs));
    CHECK(t.world.stopAndWait() == 0);
    CHECK(t.node.requests.empty());
}

// Guards against closing a connection with unread bytes: that resets the connection, and the end of the
// answer in transit is lost.
TEST_CASE("shutdown: an answer arrives completely though its client sends more after its request") {
    const std::string body(48'000, 'y');
    TestConnection* held = nullptr;
    Site t([&](TestConnection& wire, const ParsedHttpMessage&) { held = &wire; });
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const int small = 4096;  // so that most of the answer waits in the program
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    const sockaddr_in to = t.world.listenAddress.socketAddress();
    REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0);
    const std::string text = t.world.makeRequest("0000000000000001");
    REQUIRE(::send(fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
    REQUIRE(t.world.waitUntil([&] { return held != nullptr; }));
    t.terminate();
    held->send(makeHttpReply(200, body));
    REQUIRE(t.world.waitUntil([&] { return t.world.readCounter("answer_served") == 1; }));
    t.world.waitForNodeReuse();
    // Sent in pieces, so that some arrive before the close and some after it.
    for (int i = 0; i < 10; ++i) {
        (void)!::send(fd, text.data(), 20, MSG_NOSIGNAL);
        t.world.waitForNodeReuse();
    }
    std::string got;
    char some[4096];
    for (ssize_t more = 0; (more = recv(fd, some, sizeof some, 0)) > 0;)
        got.append(some, static_cast<std::size_t>(more));
    close(fd);
    const auto answer = takeHttpMessage(got);
    REQUIRE(answer);
    CHECK(answer->body == body);
    CHECK(t.world.stopAndWait() == 0);
}

// Guards against closing the listener while connections wait to be accepted: none can be accepted while open
// requests use all descriptors.
TEST_CASE("shutdown: connections in the listen queue are accepted and answered once descriptors are free") {
    constexpr int kClients = 40;  // more than the program has descriptors for
    std::vector<TestConnection*> held;
    bool holds = true;
    Site t(
        [&](TestConnection& wire, const ParsedHttpMessage& request) {
            holds ? held.push_back(&wire) : replyWithRequestId(wire, request);
        },
        [](ProgramHarness& world) {
            longDeadlines(world);
            world.config["limits"]["sockets"] = 64;
        });
    t.world.sendSignal(SIGSTOP);
    std::vector<TestConnection*> clients;
    for (int i = 0; i < kClients; ++i) {
        clients.push_back(&t.world.connect());
        clients.back()->send(
            t.world.makeRequest("00000000000000" + std::to_string(10 + i), "", kLongDeadlineMs));
    }
    REQUIRE(t.world.waitUntil([&] {
        return std::all_of(clients.begin(), clients.end(),
                           [](const TestConnection* client) { return client->connected; });
    }));
    t.world.sendSignal(SIGTERM);
    t.world.sendSignal(SIGCONT);
    REQUIRE(t.world.waitUntil([&] { return !held.empty(); }));
    (void)t.world.waitUntil([] { return false; }, 600);  // the listener's closing time has passed
    holds = false;
    for (TestConnection* wire : held) wire->send(makeHttpReply(200, "late"));
    for (TestConnection* client : clients) {
        const auto answer = t.answer(*client, kLongBeforeDeadlineMs);
        REQUIRE(answer);
        CHECK((answer->statusCode() == 200 || answer->statusCode() == 503));
    }
    CHECK(t.world.stopAndWait() == 0);
}

TEST_CASE("shutdown: a process stopped at the listener's closing time loses no connection") {
    Site t(replyWithRequestId);
    t.terminate();
    t.world.sendSignal(SIGSTOP);
    TestConnection& client = t.world.connect();
    client.send(t.world.makeRequest("0000000000000001"));
    REQUIRE(t.world.waitUntil([&] { return client.connected; }));
    (void)t.world.waitUntil([] { return false; }, 700);
    t.world.sendSignal(SIGCONT);
    const auto answer = t.answer(client);
    REQUIRE(answer);
    CHECK(answer->statusCode() == 200);
    CHECK(t.world.stopAndWait() == 0);
}

TEST_CASE("shutdown: with SIGTERM before the first list, waiting clients are served") {
    ProgramHarness world;
    StubHttpNode node(world.base.get(), replyWithRequestId);
    world.config["known"]["hosts"] =
        Json::array({world.makeNodeEntry("s-1", node.listener.address, 5, "ready")});
    world.config["settings"]["Rules"]["DrainGraceMs"] = 60'000;  // the program waits 0.4 s for a list
    world.setDiscoveryAnswers(false);
    world.startAndTerminate();
    TestConnection& client = world.connect();
    client.send(world.makeRequest("0000000000000001"));
    std::optional<ParsedHttpMessage> answer;
    (void)world.waitUntil(
        [&] { return (answer = takeHttpMessage(client.received)).has_value() || client.closedByPeer; });
    REQUIRE(answer);
    CHECK(answer->statusCode() == 200);
    CHECK(world.stopAndWait() == 0);
}

TEST_CASE("shutdown: idle and silent clients do not delay the exit beyond the closing of the listener") {
    Site t(silent, longDeadlines);
    TestConnection& rests = t.world.connect();
    rests.send("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n");
    REQUIRE(t.answer(rests));
    TestConnection& says = t.world.connect();
    REQUIRE(t.world.waitUntil([&] { return says.connected; }));
    t.terminate();
    REQUIRE(t.logged("end: exits", kLongBeforeDeadlineMs));
    CHECK(t.world.stopAndWait() == 0);
    CHECK(t.world.waitUntil([&] { return rests.closedByPeer && says.closedByPeer; }));
    CHECK(rests.received.empty());
    CHECK(says.received.empty());
}

TEST_CASE("shutdown: a stalled long answer is cut off, and the program exits") {
    const std::string part(200'000, 'y');
    Site t(
        [&](TestConnection& wire, const ParsedHttpMessage&) {
            wire.send("HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + part);
        },
        longDeadlines);
    TestConnection& client = t.world.connect();
    client.send(t.world.makeRequest("0000000000000001", "", kLongDeadlineMs));
    REQUIRE(t.world.waitUntil([&] { return client.received.size() >= part.size(); }));
    t.terminate();
    // Without a shutdown an answer may stall for 10 s.
    REQUIRE(t.logged("end: exits", 8000));
    REQUIRE(t.world.waitUntil([&] { return client.closedByPeer; }));
    CHECK(client.received.size() < 400'000);
    CHECK(t.world.stopAndWait() == 0);
}

TEST_CASE("shutdown: a second signal changes nothing") {
    Site t(silent, longDeadlines);
    TestConnection& client = t.heldClient("0000000000000001", kLongDeadlineMs);
    t.terminate();
    SUBCASE("SIGTERM") { t.world.sendSignal(SIGTERM); }
    SUBCASE("SIGINT") { t.world.sendSignal(SIGINT); }
    const auto answer = t.answer(client, kLongBeforeDeadlineMs);
    REQUIRE(answer);
    CHECK(answer->statusCode() == 503);
    CHECK(t.world.stopAndWait() == 0);
}

// Guards against a shutdown that counts by outdated deadlines, and one that becomes longer while it runs.
TEST_CASE("shutdown: the shorter of the deadlines before and after a SIGHUP counts") {
    int before = 2500, after = 300;
    bool during = false;
    SUBCASE("shorter ones, just before SIGTERM") {}
    SUBCASE("shorter ones, during the shutdown") { during = true; }
    SUBCASE("longer ones, just before SIGTERM") { std::swap(before, after); }
    SUBCASE("longer ones, during the shutdown") {
        std::swap(before, after);
        during = true;
    }
    Site t(silent, [&](ProgramHarness& world) { deadlinesOf(world, before); });
    if (during) t.terminate();
    deadlinesOf(t.world, after);
    t.world.rewriteConfig();
    t.world.sendSignal(SIGHUP);
    REQUIRE(t.logged("configuration: read"));
    if (!during) t.terminate();
    // 300 ms and 0.7 s, less the time that may pass until the signal is handled.
    CHECK(t.logged("sigkill_after_ms=830", 1000));
    CHECK(t.world.stopAndWait() == 0);
}

// Guards against the signal's default action, which ends a process that has not installed its handlers yet
// with exit code 143.
TEST_CASE("shutdown: SIGTERM while the configuration is read leads to exit code 0") {
    ProgramHarness world;
    CHECK(world.terminateDuringConfigRead() == 0);
}

TEST_CASE("shutdown: an evacuated program answers all pipelined requests") {
    ReservedAddress ops;
    Site t(replyWithRequestId, [&](ProgramHarness& world) { world.config["ops"] = ops.toString(); });
    TestConnection& caller = t.world.connect(ops);
    caller.send("PUT /api/evacuate HTTP/1.1\r\nHost: o\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(t.answer(caller));
    TestConnection& client = t.world.connect();
    client.send(t.world.makeRequest("0000000000000001") + t.world.makeRequest("0000000000000002"));
    for (int i = 0; i < 2; ++i) {
        const auto answer = t.answer(client);
        REQUIRE(answer);
        CHECK(answer->statusCode() == 200);
    }
    CHECK(t.world.waitUntil([&] { return client.closedByPeer; }));
    CHECK(t.world.stopAndWait() == 0);
}

// Guards against an exit that is delayed by a client that never stops pipelining requests.
TEST_CASE("shutdown: a flood of requests on one connection is ended and delays no other client's answer") {
    Site t(replyWithRequestId, longDeadlines);
    const std::string one = t.world.makeRequest("0000000000000001", "", kLongDeadlineMs);
    std::string many;
    while (many.size() < 60'000) many += one;
    TestConnection& flood = t.world.connect();
    bool reads = true;
    SUBCASE("whose answers are read") {}
    SUBCASE("whose answers are not read") { reads = false; }
    flood.setReading(reads);
    flood.send(many);
    REQUIRE(t.world.waitUntil([&] { return t.world.readCounter("request_taken") > 0; }));
    t.terminate();
    TestConnection& other = t.world.connect();
    other.send(t.world.makeRequest("0000000000000002", "", kLongDeadlineMs));
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(t.world.waitUntil(
        [&] {
            if (!flood.closedByPeer) flood.send(one);
            return (answer = takeHttpMessage(other.received)).has_value() || other.closedByPeer;
        },
        kLongBeforeDeadlineMs));
    REQUIRE(answer);
    CHECK(answer->statusCode() == 200);
    REQUIRE(t.world.waitUntil(
        [&] {
            if (!flood.closedByPeer) flood.send(one);
            return t.world.log.find("end: exits") != std::string::npos;
        },
        kLongBeforeDeadlineMs));
    CHECK(t.world.stopAndWait() == 0);
}
