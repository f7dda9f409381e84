// What is owed where something ends: a client that leaves, a time that runs out, the program's own end. The
// moment in which two things cross is forced, by a process that stands still or a connection that does not
// come up, and not hoped for.
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

// Guards against a time that is told as it was when the attempt was decided: the node would work on for a
// client that has given up.
TEST_CASE("ends: a node is told what is left of the time once its connection is up") {
    ProgramHarness world;
    FullBacklogServer jam;
    world.config["settings"]["Limits"]["DialTimeoutMs"] = 60'000;
    startWith(world, jam.address);
    const auto start = std::chrono::steady_clock::now();
    world.connect().send(world.makeRequest("0000000000000001", "", 5000));
    REQUIRE(world.waitUntil([&] { return world.readCounter("attempt_sent") == 1; }));
    (void)world.waitUntil([] { return false; }, 300);
    // What waited before the connection could come up is gone from the time, however long that took.
    const double goneMs =
        std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
    std::optional<ParsedHttpMessage> request;
    REQUIRE(world.waitUntil([&] {
        std::string text = jam.acceptAndRead();
        return (request = takeHttpMessage(text)).has_value();
    }));
    CHECK(std::stod(request->header("Req-Deadline-Ms")) <= 5000 - goneMs + 50);  // the client's way to it
}

// Guards against a copy that reaches its node when that has forgotten the first one: it was decided in time,
// but its connection came up late.
TEST_CASE("ends: a keyed repeat whose connection comes up after its window does not go out") {
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
    jam.resetAccepted();  // it may have run
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(world.waitUntil([&] {
        return (answer = takeHttpMessage(client.received)) || world.readCounter("attempt_sent") == 2;
    }));
    (void)world.waitUntil([&] { return (answer = takeHttpMessage(client.received)).has_value(); }, 900);
    (void)
        jam.acceptAndRead();  // the connection comes up with the system's next try, a second after its first
    (void)world.waitUntil([&] { return jam.acceptAndRead() != first; }, 1500);
    CHECK(jam.acceptAndRead() == first);
    REQUIRE(answer);
    CHECK(answer->statusCode() == 502);  // not harmless to repeat
}

// Guards against work that waits for its own connection alone, which comes up late, or never.
TEST_CASE("ends: work whose connection does not come up goes on one that another has done with") {
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

TEST_CASE("ends: beside a connection that is late a second one is dialled, and the request goes out once") {
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

// Guards against a client whose leaving is not seen behind what else it has sent.
TEST_CASE("ends: a client that leaves is seen behind the requests that it has sent before their turn") {
    ProgramHarness world;
    StubHttpNode node(world.base.get(), silent);
    startWith(world, node.listener.address);
    std::string early = world.makeRequest("0000000000000002");
    bool reset = false;
    SUBCASE("a whole one") {}
    SUBCASE("a half one") { early.resize(early.size() / 2); }
    SUBCASE("a whole one, and it breaks off") { reset = true; }
    SUBCASE("more than is read before its turn") {
        while (early.size() < 80'000) early += early;
    }
    SUBCASE("more than the sockets take, and it breaks off") {
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

// Guards against an attempt for a client that has left before its request was read: the program stands still
// while both come.
TEST_CASE("ends: a request whose client has left before it is read is not sent on") {
    ProgramHarness world;
    StubHttpNode node(world.base.get(), replyWithRequestId);
    startWith(world, node.listener.address);
    TestConnection& client = world.connect();
    REQUIRE(world.waitUntil([&] { return client.connected; }));
    const int connections = static_cast<int>(world.readCounter("client_connection"));
    CHECK(connections > 0);  // and this one is taken
    world.sendSignal(SIGSTOP);
    SUBCASE("one") { client.sendAndShutdown(world.makeRequest("0000000000000001")); }
    SUBCASE("several at once") {
        client.sendAndShutdown(world.makeRequest("0000000000000001") + world.makeRequest("0000000000000002"));
    }
    world.sendSignal(SIGCONT);
    REQUIRE(world.waitUntil([&] { return world.readCounter("client_gone_untaken") == 1; }));
    CHECK(node.requests.empty());
    CHECK(world.readCounter("attempt_sent") == 0);
    REQUIRE(world.waitUntil([&] { return client.closedByPeer; }));
}

// Guards against a request that the program's end drops: it came late, on a connection that was kept for its
// first half, and its client would wait for longer than the program may stay.
TEST_CASE("ends: SIGTERM: what comes late has its answer before the last moment") {
    ProgramHarness world;
    StubHttpNode node(world.base.get(), silent);
    startWith(world, node.listener.address);
    TestConnection& client = world.connect();
    const std::string text = world.makeRequest("0000000000000001", "", 5000);
    client.send(text.substr(0, 20));
    world.waitForNodeReuse();
    world.sendSignal(SIGTERM);
    REQUIRE(world.waitUntil([&] { return world.log.find("end: finishing") != std::string::npos; }));
    (void)world.waitUntil([] { return false; },
                          1000);  // its time ends after the program's 5.55 s, if not cut
    client.send(text.substr(20));
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(world.waitUntil(
        [&] { return (answer = takeHttpMessage(client.received)).has_value() || client.closedByPeer; }));
    REQUIRE(answer);
    CHECK(answer->statusCode() == 503);
    CHECK(world.stopAndWait() == 0);
    CHECK(world.log.find("end: exits open=0") != std::string::npos);
}
