// Tests of requests that end early: a client disconnects, a deadline expires, the program exits. Races are
// forced by a stopped process or a connection that is not established, so that the tests do not depend on
// timing.
#include <doctest/doctest.h>

#include <chrono>

#include "program_harness.h"

using namespace martencove::test;

namespace {

/// A program whose shard 5 is held by a node at `dial`.
void startWith(ProgramHarness& world, const martencove::Address& dial) {
    world.config["known"]["hosts"] = Json::array({world.makeNodeEntry("s-1", dial, 5, "ready")});
    world.start();
}
const auto silent = [](TestConnection&, const ParsedHttpMessage&) {};

}  // namespace

// Guards against sending the remaining time as it was when the attempt was decided: the node would keep
// working for a client that has given up.
TEST_CASE("ends: a node is sent the time that is left once its connection is established") {
    ProgramHarness world;
    FullBacklogServer jam;
    world.config["settings"]["Limits"]["DialTimeoutMs"] = 60'000;
    startWith(world, jam.address);
    const auto start = std::chrono::steady_clock::now();
    world.connect().send(world.makeRequest("0000000000000001", "", 5000));
    REQUIRE(world.waitUntil([&] { return world.readCounter("attempt_sent") == 1; }));
    (void)world.waitUntil([] { return false; }, 300);
    // The wait for the connection is subtracted from the remaining time.
    const double goneMs =
        std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
    std::optional<ParsedHttpMessage> request;
    REQUIRE(world.waitUntil([&] {
        std::string text = jam.acceptAndRead();
        return (request = takeHttpMessage(text)).has_value();
    }));
    CHECK(std::stod(request->header("Req-Deadline-Ms")) <=
          5000 - goneMs + 50);  // 50 ms for the client's request to arrive
}

// Guards against a repeat that reaches the node after its deduplication window: the repeat was decided in
// time, but its connection was established late.
TEST_CASE("ends: a keyed repeat whose connection is established after its window is not sent") {
    ProgramHarness world;
    FullBacklogServer jam(false);
    world.config["settings"]["Limits"]["DialTimeoutMs"] = 60'000;
    world.config["settings"]["Classes"][1]["DedupWindowMs"] = 600;
    startWith(world, jam.address);
    TestConnection& client = world.connect();
    client.send(world.makeRequest("0000000000000001", "", 5000, "text"));
    REQUIRE(world.waitUntil([&] { return jam.acceptAndRead().ends_with("text"); }));
    const std::string first = jam.acceptAndRead();
    jam.fillBacklog();
    jam.resetAccepted();  // the request may have run
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(world.waitUntil([&] {
        return (answer = takeHttpMessage(client.received)) || world.readCounter("attempt_sent") == 2;
    }));
    (void)world.waitUntil([&] { return (answer = takeHttpMessage(client.received)).has_value(); }, 900);
    (void)jam.acceptAndRead();  // the connection is established by the kernel's next SYN, 1 s after the first
    (void)world.waitUntil([&] { return jam.acceptAndRead() != first; }, 1500);
    CHECK(jam.acceptAndRead() == first);
    REQUIRE(answer);
    CHECK(answer->statusCode() == 502);  // a repeat is not harmless
}

// Guards against a request that waits only for its own connection, which may be established late or never.
TEST_CASE(
    "ends: a request whose connection is not established uses one that another request has finished with") {
    ProgramHarness world;
    FullBacklogServer jam(false);
    world.config["settings"]["Limits"]["DialTimeoutMs"] = 60'000;
    startWith(world, jam.address);
    TestConnection& first = world.connect();
    first.send(world.makeRequest("0000000000000001"));
    REQUIRE(world.waitUntil([&] { return !jam.acceptAndRead().empty(); }));
    jam.fillBacklog();
    TestConnection& second = world.connect();
    second.send(world.makeRequest("0000000000000002", "", 4000));
    REQUIRE(world.waitUntil([&] { return world.readCounter("attempt_sent") == 2; }));
    jam.replyToUnanswered(makeHttpReply(200, "one"));
    REQUIRE(world.waitUntil(
        [&] { return jam.readAccepted().find("Req-Id: 0000000000000002") != std::string::npos; }));
    jam.replyToUnanswered(makeHttpReply(200, "two"));
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(world.waitUntil([&] { return (answer = takeHttpMessage(second.received)).has_value(); }));
    CHECK(answer->body == "two");
    CHECK(world.readCounter("node_connection_other") == 1);
    CHECK(world.readCounter("attempt_sent") == 2);
}

TEST_CASE("ends: while a connection is late a second one is dialled, and the request is sent once") {
    ProgramHarness world;
    FullBacklogServer jam;
    world.config["settings"]["Limits"]["DialTimeoutMs"] = 10'000;  // a quarter: 2.5 s
    startWith(world, jam.address);
    TestConnection& client = world.connect();
    client.send(world.makeRequest("0000000000000001", "", 5000));
    REQUIRE(world.waitUntil([&] { return world.readCounter("node_connection_again") == 1; }));
    REQUIRE(world.waitUntil([&] { return jam.acceptAndRead().ends_with("\r\n\r\n"); }));
    jam.replyToUnanswered(makeHttpReply(200, "one"));
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(world.waitUntil([&] { return (answer = takeHttpMessage(client.received)).has_value(); }));
    CHECK(answer->body == "one");
    (void)world.waitUntil([] { return false; }, 200);
    std::string text = jam.acceptAndRead();
    CHECK(takeHttpMessage(text).has_value());
    CHECK(text.empty());
    CHECK(world.readCounter("attempt_sent") == 1);
}

// Guards against a client's disconnect that goes unnoticed behind pipelined bytes.
TEST_CASE("ends: a client's disconnect is detected behind the requests that it has pipelined") {
    ProgramHarness world;
    StubHttpNode node(world.base.get(), silent);
    startWith(world, node.listener.address);
    std::string early = world.makeRequest("0000000000000002");
    bool reset = false;
    SUBCASE("a whole request") {}
    SUBCASE("half a request") { early.resize(early.size() / 2); }
    SUBCASE("a whole request, and a reset") { reset = true; }
    SUBCASE("more than is read ahead") {
        while (early.size() < 80'000) early += early;
    }
    SUBCASE("more than the socket buffers hold, and a reset") {
        while (early.size() < 2'000'000) early += early;
        reset = true;
    }
    TestConnection& client = world.connect();
    client.send(world.makeRequest("0000000000000001"));
    REQUIRE(world.waitUntil([&] { return node.requests.size() == 1; }));
    client.send(early);
    world.waitForNodeReuse();
    reset ? client.sendAndReset("") : client.close();
    REQUIRE(world.waitUntil([&] { return node.listener.connections.front().closedByPeer; }));
    CHECK(world.readCounter("client_gone") == 1);
    CHECK(world.readCounter("answer_failed") + world.readCounter("answer_refused") == 0);
    CHECK(node.requests.size() == 1);
}

// Guards against an attempt for a client that disconnected before its request was read: the program is
// stopped while both arrive.
TEST_CASE("ends: a request whose client has disconnected before it is read is not forwarded") {
    ProgramHarness world;
    StubHttpNode node(world.base.get(), replyWithRequestId);
    startWith(world, node.listener.address);
    TestConnection& client = world.connect();
    REQUIRE(world.waitUntil([&] { return client.connected; }));
    const int connections = static_cast<int>(world.readCounter("client_connection"));
    CHECK(connections > 0);  // this client's connection is accepted
    world.sendSignal(SIGSTOP);
    SUBCASE("one") { client.sendAndShutdown(world.makeRequest("0000000000000001")); }
    SUBCASE("several pipelined") {
        client.sendAndShutdown(world.makeRequest("0000000000000001") + world.makeRequest("0000000000000002"));
    }
    world.sendSignal(SIGCONT);
    REQUIRE(world.waitUntil([&] { return world.readCounter("client_gone_untaken") == 1; }));
    CHECK(node.requests.empty());
    CHECK(world.readCounter("attempt_sent") == 0);
    REQUIRE(world.waitUntil([&] { return client.closedByPeer; }));
}

// Guards against a request that is dropped at the exit: it is completed late, on a connection that was kept
// for its first half, and its deadline is later than the program may run.
TEST_CASE("ends: SIGTERM: a request that is completed late is answered before the exit") {
    ProgramHarness world;
    StubHttpNode node(world.base.get(), silent);
    startWith(world, node.listener.address);
    TestConnection& client = world.connect();
    const std::string text = world.makeRequest("0000000000000001", "", 5000);
    client.send(text.substr(0, 20));
    world.waitForNodeReuse();
    world.sendSignal(SIGTERM);
    REQUIRE(world.waitUntil([&] { return world.log.find("end: finishing") != std::string::npos; }));
    (void)world.waitUntil(
        [] { return false; },
        1000);  // its deadline, unless shortened, is later than the program's exit after 5.55 s
    client.send(text.substr(20));
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(world.waitUntil(
        [&] { return (answer = takeHttpMessage(client.received)).has_value() || client.closedByPeer; }));
    REQUIRE(answer);
    CHECK(answer->statusCode() == 503);
    CHECK(world.stopAndWait() == 0);
    CHECK(world.log.find("end: exits open=0") != std::string::npos);
}
