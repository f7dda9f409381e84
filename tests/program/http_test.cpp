// Tests of the HTTP front: the program between HTTP clients, storage nodes and discovery.
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>

#include "core/clock.h"
#include "program_harness.h"

using namespace martencove::test;

namespace {

/// A program with one node that holds shard 5.
struct OneNode {
    explicit OneNode(
        StubHttpNode::Handler answer = replyWithRequestId,
        const std::function<void(ProgramHarness&)>& set = [](ProgramHarness&) {})
        : node(world.base.get(), std::move(answer)) {
        set(world);
        world.config["known"]["hosts"].push_back(
            world.makeNodeEntry("s-1", node.listener.address, 5, "ready"));
        world.start();
    }
    ProgramHarness world;
    StubHttpNode node;
};

const auto silent = [](TestConnection&, const ParsedHttpMessage&) {};

/// Waits until the program has closed its listener; returns whether it has.
bool listenerCloses(ProgramHarness& world) {
    return world.waitUntil([&] {
        TestConnection probe(world.base.get(), world.listenAddress);
        return world.waitUntil([&] { return probe.closedByPeer; }, 50);
    });
}

}  // namespace

TEST_CASE("reads and writes are forwarded unchanged, and the node's answer is returned") {
    OneNode t;
    const ParsedHttpMessage read = t.world.sendRequest(t.world.makeRequest("0000000000000001"));
    CHECK(read.statusCode() == 200);
    CHECK(read.body == "made for 0000000000000001:");
    t.world.waitForNodeReuse();
    CHECK(t.world.sendRequest(t.world.makeRequest("0000000000000002", "", 5000, "new text")).body ==
          "made for 0000000000000002:new text");
    REQUIRE(t.node.requests.size() == 2);
    CHECK(t.node.requests[0].startLine() == "GET /read/00000003b4d60021/7f3a9c21e0b4d655?x=1 HTTP/1.1");
    CHECK(t.node.requests[1].header("Idempotency-Key") == "k");
    CHECK(t.node.listener.connections.size() == 1);  // the connection is reused
    CHECK(t.world.stopAndWait() == 0);
}

// Guards against a request to a silent node that is answered twice or not at all: the deadline triggers the
// only answer, and the attempt is cancelled by closing its connection.
TEST_CASE("a silent node: one final answer by the deadline, and the attempt is cancelled") {
    OneNode t(silent);
    TestConnection& client = t.world.connect();
    client.send(t.world.makeRequest("0000000000000001", "", 400));
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(t.world.waitUntil([&] { return (answer = takeHttpMessage(client.received)).has_value(); }));
    CHECK(answer->statusCode() == 503);
    REQUIRE(t.world.waitUntil([&] { return t.node.listener.connections.front().closedByPeer; }));
    CHECK(t.world.readCounter("answer_refused") == 1);
    CHECK(client.received.empty());
}

// Guards against continued work for a client that has disconnected: evhttp does not detect that while a
// request is open.
TEST_CASE("a client that disconnects cancels its attempt") {
    OneNode t(silent);
    TestConnection& client = t.world.connect();
    client.send(t.world.makeRequest("0000000000000001"));
    REQUIRE(t.world.waitUntil([&] { return t.node.requests.size() == 1; }));
    client.close();
    REQUIRE(t.world.waitUntil([&] { return t.node.listener.connections.front().closedByPeer; }));
    CHECK(t.world.readCounter("client_gone") == 1);
    CHECK(t.world.readCounter("answer_failed") + t.world.readCounter("answer_refused") == 0);
}

TEST_CASE("a read whose node connection breaks after the request is retried") {
    int broken = 0;
    OneNode t([&](TestConnection& wire, const ParsedHttpMessage& request) {
        if (broken++ == 0) return wire.close();
        replyWithRequestId(wire, request);
    });
    CHECK(t.world.sendRequest(t.world.makeRequest("0000000000000001")).statusCode() == 200);
    CHECK(t.node.requests.size() == 2);
    CHECK(t.world.readCounter("attempt_broken") == 1);
}

TEST_CASE("a node that declines, fails or is unreachable") {
    int turn = 0;
    OneNode t([&](TestConnection& wire, const ParsedHttpMessage& request) {
        if (++turn == 1) return wire.send(makeHttpReply(503, "", "Srv-Declined: 1\r\n"));
        if (turn == 2) return wire.send(makeHttpReply(500, ""));
        replyWithRequestId(wire, request);
    });
    CHECK(t.world.sendRequest(t.world.makeRequest("0000000000000001")).statusCode() == 200);
    CHECK(t.world.readCounter("attempt_turned_away") == 1);
    CHECK(t.world.readCounter("attempt_error") == 1);
    const int watches = t.world.discoveryCallCount;
    const ReservedAddress nobody;
    t.world.announceNode("s-1", nobody, 5);
    REQUIRE(t.world.waitUntil([&] { return t.world.discoveryCallCount > watches; }));
    // A node that cannot be connected to has run nothing, so the answer says that a repeat is harmless.
    const ParsedHttpMessage answer = t.world.sendRequest(t.world.makeRequest("0000000000000002", "", 300));
    CHECK(answer.statusCode() == 503);
    CHECK(t.world.readCounter("attempt_not_connected") > 0);
}

TEST_CASE("a draining node gets no new requests; the discovery watch continues") {
    OneNode t;
    const int watches = t.world.discoveryCallCount;
    t.world.announceNode("s-1", t.node.listener.address, 5, "draining");
    REQUIRE(t.world.waitUntil([&] { return t.world.discoveryCallCount > watches; }));
    CHECK(t.world.sendRequest(t.world.makeRequest("0000000000000001", "", 400)).statusCode() == 503);
    CHECK(t.node.requests.empty());
}

TEST_CASE("malformed requests get a defined answer, and the program keeps running") {
    OneNode t;
    const std::string good = t.world.makeRequest("0000000000000001");
    const auto with = [&](const std::string& from, const std::string& to) {
        std::string text = good;
        return text.replace(text.find(from), from.size(), to);
    };
    for (const std::string& bad :
         {with("GET /read", "GET /what"), with("00000003b4d60021", "xyz"), with("Tier: basic", "Tier: gold"),
          with("Ms: 5000", "Ms: soon"), with("units=2", "units=-2"), with("shard=5", "shard"),
          with("Req-Id: ", "No-Id: "), with("/7f3a9c21e0b4d655?x=1", ""), with("GET", "DELETE"),
          with("Tier: basic", "Tier: basic\r\nTier: basic"), with("Tier: basic", "Tier : basic")})
        CHECK(t.world.sendRequest(bad).statusCode() == 400);
    CHECK(t.world.sendRequest(with("shard=5", "shard=100")).statusCode() ==
          400);  // there are 100 shards, numbered from 0
    CHECK(t.world.sendRequest("PUT /write/1/2 HTTP/1.1\r\nHost: b\r\nContent-Length: 70000\r\n\r\n")
                  .statusCode() /
              100 ==
          4);
    CHECK(t.world.sendRequest("GET /" + std::string(20000, 'a') + " HTTP/1.1\r\n\r\n").statusCode() / 100 !=
          2);
    TestConnection& garbage = t.world.connect();
    garbage.send(std::string("\0\xff\x80 garbage\r\n\r\n", 15));
    REQUIRE(t.world.waitUntil([&] { return garbage.closedByPeer || !garbage.received.empty(); }));
    CHECK(t.node.requests.empty());
    CHECK(t.world.sendRequest(good).statusCode() == 200);
    CHECK(t.world.readCounter("request_malformed") >= 9);
}

// Guards against request smuggling: no request hidden in an ambiguous body reaches a node, and what follows
// on the connection is not read as a request either.
TEST_CASE("a request whose end is ambiguous is rejected and its connection closed") {
    OneNode t;
    const std::string hidden = t.world.makeRequest("0000000000000009");
    const std::string size = std::to_string(hidden.size());
    const std::string write = t.world.makeRequest("0000000000000001", "", 5000, "x");
    const std::string head = write.substr(0, write.find("Content-Length"));
    for (const std::string& bad :
         {head + "Content-Length: " + size + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
          head + "Content-Length: 0\r\nContent-Length: " + size + "\r\n\r\n" + hidden,
          head + "Content-Length: +0\r\n\r\n" + hidden, head + "Content-Length: -5\r\n\r\n" + hidden,
          head + "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n\r\n" + hidden,
          t.world.makeRequest("0000000000000001", "Content-Length: " + size + "\r\n") + hidden,
          t.world.makeRequest("0000000000000001", "Transfer-Encoding: chunked\r\n") + "0\r\n\r\n" + hidden}) {
        CAPTURE(bad);
        TestConnection& client = t.world.connect();
        client.send(bad);
        REQUIRE(t.world.waitUntil([&] { return client.closedByPeer; }));
        CHECK(client.received.starts_with("HTTP/1.1 400"));
        CHECK(client.received.find("HTTP/1.1", 8) == std::string::npos);
    }
    CHECK(t.node.requests.empty());
    // Chunks alone are unambiguous: the body is forwarded with its length.
    CHECK(
        t.world.sendRequest(head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n").body ==
        "made for 0000000000000001:abc");
}

// Guards against clients that connect and never send a complete request: evhttp does not report them, so they
// were never closed.
TEST_CASE("silent clients are closed, at the connection limit sooner") {
    ProgramHarness world;
    world.config["limits"]["sockets"] = 80;
    world.start();
    std::vector<TestConnection*> silent;
    for (int i = 0; i < 200; ++i) silent.push_back(&world.connect());
    silent.back()->send("GET /healthz HT");
    CHECK(world.sendRequest("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n").statusCode() == 200);
    REQUIRE(world.waitUntil([&] {
        return std::all_of(silent.begin(), silent.end(), [](TestConnection* w) { return w->closedByPeer; });
    }));
    CHECK(world.readCounter("client_silent") >= 200);
    CHECK(world.readCounter("client_crowd") > 0);
}

// Guards against evhttp reading on while a request is in work: the second request has to wait for its turn.
TEST_CASE("two pipelined requests are answered in order") {
    OneNode t;
    TestConnection& client = t.world.connect();
    client.send(t.world.makeRequest("0000000000000001") + t.world.makeRequest("0000000000000002"));
    std::vector<std::string> bodies;
    REQUIRE(t.world.waitUntil([&] {
        if (const auto answer = takeHttpMessage(client.received)) bodies.push_back(answer->body);
        return bodies.size() == 2;
    }));
    CHECK(bodies == std::vector<std::string>{"made for 0000000000000001:", "made for 0000000000000002:"});
}

TEST_CASE("a request with the id of an open request is refused") {
    OneNode t(silent);
    t.world.connect().send(t.world.makeRequest("0000000000000001"));
    REQUIRE(t.world.waitUntil([&] { return t.node.requests.size() == 1; }));
    CHECK(t.world.sendRequest(t.world.makeRequest("0000000000000001")).statusCode() == 503);
    CHECK(t.node.requests.size() == 1);
}

TEST_CASE("SIGTERM: new connections are still served, open requests are finished, and the exit code is 0") {
    TestConnection* held = nullptr;
    OneNode t([&](TestConnection& wire, const ParsedHttpMessage& request) {
        if (held == nullptr) {
            held = &wire;
        } else {
            replyWithRequestId(wire, request);
        }
    });
    TestConnection& before = t.world.connect();
    before.send(t.world.makeRequest("0000000000000001"));
    REQUIRE(t.world.waitUntil([&] { return held != nullptr; }));
    t.world.sendSignal(SIGTERM);
    REQUIRE(t.world.waitUntil(
        [&] { return t.world.log.find("end: finishing what was taken open=1") != std::string::npos; }));
    const ParsedHttpMessage during = t.world.sendRequest(t.world.makeRequest("0000000000000002"));
    CHECK(during.statusCode() == 200);
    CHECK(during.header("Connection") == "close");
    REQUIRE(listenerCloses(t.world));  // the first request is answered only after that
    held->send(makeHttpReply(200, "late"));
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(t.world.waitUntil([&] { return (answer = takeHttpMessage(before.received)).has_value(); }));
    CHECK(answer->body == "late");
    CHECK(t.world.stopAndWait() == 0);
    CHECK(t.world.log.find("end: exits open=0") != std::string::npos);
}

// Guards against the signal's default action after the handler is removed at shutdown: a second SIGTERM would
// end the program with exit code 143.
TEST_CASE("SIGTERM: a signal that arrives after its handler is destroyed does not end the process") {
    const pid_t child = fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        const auto base = martencove::makeEventBase();
        {
            const martencove::SignalHandler watch(base.get(), SIGTERM, [] {});
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
    OneNode t;
    TestConnection& client = t.world.connect();
    std::optional<ParsedHttpMessage> answer;
    client.send(t.world.makeRequest("0000000000000001"));
    REQUIRE(t.world.waitUntil([&] { return (answer = takeHttpMessage(client.received)).has_value(); }));
    const std::string text = t.world.makeRequest("0000000000000002", "", 3000, "the body");
    const std::size_t half = text.find("the body");  // the headers, which evhttp removes from the buffer
    client.send(text.substr(0, half));
    t.world.waitForNodeReuse();
    t.world.sendSignal(SIGTERM);
    REQUIRE(listenerCloses(t.world));
    t.world.waitForNodeReuse();
    CHECK_FALSE(client.closedByPeer);
    client.send(text.substr(half));
    REQUIRE(t.world.waitUntil(
        [&] { return (answer = takeHttpMessage(client.received)).has_value() || client.closedByPeer; }));
    REQUIRE(answer);
    CHECK(answer->statusCode() == 200);
    CHECK(t.world.stopAndWait() == 0);
}

// Guards against an exit before the last byte of an answer is written: for the dispatcher the request has
// ended earlier.
TEST_CASE("SIGTERM: the program exits only after its answers are written completely") {
    const std::string longest(5'900'000, 'y');  // more than the socket buffers hold
    OneNode t([&](TestConnection& wire, const ParsedHttpMessage&) { wire.send(makeHttpReply(200, longest)); },
              [](ProgramHarness& world) {
                  for (auto& one : world.config["settings"]["Classes"]) one["DeadlineMs"] = 20000;
              });
    TestConnection& client = t.world.connect();
    client.setReading(false);
    client.send(t.world.makeRequest("0000000000000001", "", 20000));
    REQUIRE(t.world.waitUntil([&] { return t.world.readCounter("answer_served") == 1; }));
    t.world.sendSignal(SIGTERM);
    REQUIRE(listenerCloses(t.world));
    (void)t.world.waitUntil([&] { return t.world.log.find("end: exits") != std::string::npos; }, 1000);
    client.setReading(true);
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(t.world.waitUntil(
        [&] { return (answer = takeHttpMessage(client.received)).has_value() || client.closedByPeer; }));
    REQUIRE(answer);
    CHECK(answer->body == longest);
    CHECK(t.world.stopAndWait() == 0);
}

// Guards against schedulers that repeat failed calls in step: the pause grows with their number and with
// failures.
TEST_CASE("an overloaded discovery is called again after pauses that grow with the fleet and with failures") {
    ProgramHarness world;
    std::vector<double> callsMs;
    const martencove::Clock clock;
    TestServer full(world.base.get(), [&](TestConnection& wire) {
        if (!takeHttpMessage(wire.received)) return;
        callsMs.push_back(clock.nowMs());
        wire.send(makeHttpReply(503, ""));
    });
    world.config["discovery"] = full.address.toString();
    world.config["settings"]["Discovery"] = "on_request";
    world.config["settings"]["Siblings"] =
        10;  // 50 ms for each: on average 500 ms, then 1000 ms; at least half of that
    world.start();
    REQUIRE(world.waitUntil([&] { return callsMs.size() == 3; }));
    CHECK(callsMs[1] - callsMs[0] >= 249);
    CHECK(callsMs[2] - callsMs[1] >= 499);
    CHECK(world.stopAndWait() == 0);
}

// Guards against SIGHUP ending the program, a discovery watch that stays at the old address, and lost
// requests.
TEST_CASE("SIGHUP: discovery moves, an invalid file changes nothing, and open requests are served") {
    TestConnection* held = nullptr;
    OneNode t([&](TestConnection& wire, const ParsedHttpMessage&) { held = &wire; });
    TestConnection& before = t.world.connect();
    before.send(t.world.makeRequest("0000000000000001"));
    REQUIRE(t.world.waitUntil([&] { return held != nullptr; }));

    t.world.rewriteConfig("{\"listen\":");
    t.world.sendSignal(SIGHUP);
    REQUIRE(t.world.waitUntil([&] { return t.world.readCounter("config_bad") == 1; }));
    CHECK(t.world.log.find("not taken, the old one stands") != std::string::npos);

    StubHttpNode second(t.world.base.get(), replyWithRequestId);
    std::string asked;
    TestServer moved(t.world.base.get(), [&](TestConnection& wire) {
        const auto call = takeHttpMessage(wire.received);
        if (!call || !asked.empty()) return;
        asked = call->startLine();
        const Json hosts = {t.world.makeNodeEntry("s-2", second.listener.address, 5, "ready")};
        // The new address numbers its versions itself; they may be lower than those of the old address.
        wire.send(makeHttpReply(200, Json{{"seq", 0}, {"whole", true}, {"hosts", hosts}}.dump()));
    });
    t.world.config["discovery"] = moved.address.toString();
    t.world.config["limits"]["sockets"] = 512;
    t.world.rewriteConfig();
    t.world.sendSignal(SIGHUP);
    REQUIRE(t.world.waitUntil([&] { return !asked.empty(); }));
    REQUIRE(
        t.world.waitUntil([&] { return t.world.log.find("next start field=limits") != std::string::npos; }));
    CHECK(asked == "GET /v1/servers HTTP/1.1");
    CHECK(t.world.log.find("next start field=limits") != std::string::npos);
    // The list of the new address omits the first node, so that only the second holds the shard.
    REQUIRE(t.world.waitUntil([&] { return t.world.readCounter("discovery_moved") == 1; }));
    CHECK(t.world.sendRequest(t.world.makeRequest("0000000000000002")).body == "made for 0000000000000002:");

    held->send(makeHttpReply(200, "from before"));
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(t.world.waitUntil([&] { return (answer = takeHttpMessage(before.received)).has_value(); }));
    CHECK(answer->body == "from before");
    CHECK(t.world.stopAndWait() == 0);
}

// Guards against idle connections that keep other clients from connecting.
TEST_CASE("near the connection limit an answer closes its connection; otherwise the connection is kept") {
    ProgramHarness world;
    world.config["limits"]["sockets"] = 80;  // 36 for clients
    world.start();
    const std::string health = "GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n";
    std::vector<TestConnection*> clients;
    const auto ended = [&] {
        return std::count_if(clients.begin(), clients.end(),
                             [](TestConnection* w) { return w->closedByPeer; });
    };
    for (int i = 0; i < 25; ++i) {
        clients.push_back(&world.connect());
        clients.back()->send(health);
        REQUIRE(world.waitUntil([&] { return clients.back()->received.starts_with("HTTP/1.1 200"); }));
        if (i == 9) CHECK(ended() == 0);
    }
    CHECK(clients.back()->received.find("Connection: close") != std::string::npos);
    REQUIRE(world.waitUntil([&] { return clients.back()->closedByPeer; }));
    CHECK(ended() < 25);
}

// Guards against idle clients that lock others out at the limit on descriptors.
TEST_CASE("at the connection limit idle connections are closed for new ones") {
    ProgramHarness world;
    world.config["limits"]["sockets"] = 80;
    world.start();
    for (int i = 0; i < 100; ++i) world.connect().send("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n");
    CHECK(world.sendRequest("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n").statusCode() == 200);
    CHECK(world.running());
}

TEST_CASE("invalid and overlong peer datagrams are counted and ignored") {
    OneNode t;
    const int fd = socket(AF_INET, SOCK_DGRAM, 0);
    const sockaddr_in to = t.world.peerListenAddress.socketAddress();
    for (const std::size_t size : {std::size_t{3}, std::size_t{300}}) {
        const std::string text(size, 'x');
        sendto(fd, text.data(), text.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to);
    }
    evutil_closesocket(fd);
    REQUIRE(t.world.waitUntil([&] { return t.world.readCounter("peer_bad") == 2; }));
    CHECK(t.world.sendRequest(t.world.makeRequest("0000000000000001")).statusCode() == 200);
}

// Guards against bytes that go to a connection which evhttp has closed: its bufferevent is kept for a while,
// and the next connection may reuse its descriptor. A request that needs more than one read would lose bytes.
TEST_CASE("http: a request on a connection opened right after another was closed is read completely") {
    ProgramHarness world;
    StubHttpNode node(world.base.get(), replyWithRequestId);
    world.config["known"]["hosts"].push_back(world.makeNodeEntry("s-1", node.listener.address, 5, "ready"));
    world.start();
    std::string bad;
    SUBCASE("closed for an invalid request line") { bad = "NONSENSE\r\n\r\n"; }
    SUBCASE("closed for a body that is too long") {
        bad =
            "PUT /write/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: b\r\nContent-Length: "
            "99999999\r\n\r\nabc";
    }
    SUBCASE("closed for headers that are too long") {
        bad = "GET / HTTP/1.1\r\nA: " + std::string(80'000, 'a');
    }
    SUBCASE("closed by its client after half a request") { bad = ""; }
    for (int i = 0; i < 3; ++i) {
        std::list<TestConnection> others;
        for (int k = 0; k < 4; ++k) {
            TestConnection& other = others.emplace_back(world.base.get(), world.listenAddress);
            other.send(bad.empty() ? "GET /read" : bad);
        }
        if (bad.empty()) {
            (void)world.waitUntil([] { return false; }, 5);
            for (TestConnection& other : others) other.close();
            (void)world.waitUntil([] { return false; }, 2);
        } else {
            REQUIRE(world.waitUntil([&] {
                return std::all_of(others.begin(), others.end(),
                                   [](const TestConnection& w) { return w.closedByPeer; });
            }));
        }
        std::list<TestConnection> clients;
        for (int k = 0; k < 4; ++k) {
            TestConnection& client = clients.emplace_back(world.base.get(), world.listenAddress);
            char id[17];
            std::snprintf(id, sizeof id, "%016x", static_cast<unsigned>(i * 4 + k + 1));
            client.send(world.makeRequest(id, "", 5000, std::string(4800, 'x')));
        }
        for (TestConnection& client : clients) {
            std::optional<ParsedHttpMessage> answer;
            (void)world.waitUntil(
                [&] { return (answer = takeHttpMessage(client.received)) || client.closedByPeer; }, 1500);
            REQUIRE(answer);  // evhttp would close it unanswered after 2.5 s
            CHECK(answer->statusCode() == 200);
        }
    }
}

TEST_CASE("an invalid configuration value stops the start with one line that names the field") {
    const ProgramHarness world;
    const auto refused = [&](const std::string& field, const std::function<void(Json&)>& spoil) {
        Json config = world.config;
        spoil(config);
        const auto [code, text] = runUntilExit(config);
        CHECK(code == 1);
        CHECK_MESSAGE(text.starts_with("martencove: " + field), text);
        CHECK(std::count(text.begin(), text.end(), '\n') == 1);
    };
    refused("listen", [](Json& c) { c["listen"] = "here"; });
    refused("seed", [](Json& c) { c["seed"] = "xyz"; });
    refused("settings: missing", [](Json& c) { c.erase("settings"); });
    refused("DeadlineMs", [](Json& c) { c["settings"]["Classes"][0].erase("DeadlineMs"); });
    refused("settings: classes.aimMs", [](Json& c) { c["settings"]["Classes"][0]["AimMs"] = -1; });
    refused("DialTimeoutMs", [](Json& c) { c["settings"]["Limits"]["DialTimeoutMs"] = 0; });
    refused("ConnIdleMs", [](Json& c) { c["settings"]["Limits"]["ConnIdleMs"] = -1; });
    refused("settings: rules.drainGraceMs", [](Json& c) { c["settings"]["Rules"]["DrainGraceMs"] = -1; });
    refused("sockets", [](Json& c) { c["limits"]["sockets"] = 3; });
    refused("known", [](Json& c) { c["known"] = 5; });
    refused("peers", [](Json& c) { c["peers"] = {"x"}; });
    refused("NODE_CONFIG", [](Json& c) { c = "text"; });
}
