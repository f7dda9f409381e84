// Tests of requests that end early: a client disconnects, a deadline expires, the program exits. Races are
// forced by a stopped process or a connection that is not established, so that the tests do not depend on
// timing.
#include <doctest/doctest.h>

#include <chrono>

#include "program_harness.h"

using namespace martencove::test;

namespace {

/// A program whose shard 5 is held by a node at `nodeAddress`.
void startWith(ProgramHarness& program, const martencove::Address& nodeAddress) {
    program.config["known"]["hosts"] = Json::array({program.makeNodeEntry("s-1", nodeAddress, 5, "ready")});
    program.start();
}
const auto neverReply = [](TestConnection&, const ParsedHttpMessage&) {};

}  // namespace

// Guards against sending the remaining time as it was when the attempt was decided: the node would keep
// working for a client that has given up.
TEST_CASE("ends: a node is sent the time that is left once its connection is established") {
    ProgramHarness program;
    FullBacklogServer server;
    program.config["settings"]["Limits"]["DialTimeoutMs"] = 60'000;
    startWith(program, server.address);
    const auto start = std::chrono::steady_clock::now();
    program.connect().send(program.makeRequest("0000000000000001", "", 5000));
    REQUIRE(program.waitUntil([&] { return program.readCounter("attempt_sent") == 1; }));
    (void)program.waitUntil([] { return false; }, 300);
    // The wait for the connection is subtracted from the remaining time.
    const double elapsedMs =
        std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
    std::optional<ParsedHttpMessage> request;
    REQUIRE(program.waitUntil([&] {
        std::string text = server.acceptAndRead();
        return (request = takeHttpMessage(text)).has_value();
    }));
    // 50 ms for the client's request to arrive.
    CHECK(std::stod(request->header("Req-Deadline-Ms")) <= 5000 - elapsedMs + 50);
}

// Guards against a repeat that reaches the node after its deduplication window: the repeat was decided in
// time, but its connection was established late.
TEST_CASE("ends: a keyed repeat whose connection is established after its window is not sent") {
    ProgramHarness program;
    FullBacklogServer server(false);
    program.config["settings"]["Limits"]["DialTimeoutMs"] = 60'000;
    program.config["settings"]["Classes"][1]["DedupWindowMs"] = 600;
    startWith(program, server.address);
    TestConnection& client = program.connect();
    client.send(program.makeRequest("0000000000000001", "", 5000, "text"));
    REQUIRE(program.waitUntil([&] { return server.acceptAndRead().ends_with("text"); }));
    const std::string firstRequest = server.acceptAndRead();
    server.fillBacklog();
    server.resetAccepted();  // the request may have run
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(program.waitUntil([&] {
        return (answer = takeHttpMessage(client.received)) || program.readCounter("attempt_sent") == 2;
    }));
    (void)program.waitUntil([&] { return (answer = takeHttpMessage(client.received)).has_value(); }, 900);
    // The connection is established by the kernel's next SYN, 1 s after the first.
    (void)server.acceptAndRead();
    (void)program.waitUntil([&] { return server.acceptAndRead() != firstRequest; }, 1500);
    CHECK(server.acceptAndRead() == firstRequest);
    REQUIRE(answer);
    CHECK(answer->statusCode() == 502);  // a repeat is not harmless
}

// Guards against a request that waits only for its own connection, which may be established late or never.
TEST_CASE(
    "ends: a request whose connection is not established uses one that another request has finished with") {
    ProgramHarness program;
    FullBacklogServer server(false);
    program.config["settings"]["Limits"]["DialTimeoutMs"] = 60'000;
    startWith(program, server.address);
    TestConnection& first = program.connect();
    first.send(program.makeRequest("0000000000000001"));
    REQUIRE(program.waitUntil([&] { return !server.acceptAndRead().empty(); }));
    server.fillBacklog();
    TestConnection& second = program.connect();
    second.send(program.makeRequest("0000000000000002", "", 4000));
    REQUIRE(program.waitUntil([&] { return program.readCounter("attempt_sent") == 2; }));
    server.replyToUnanswered(makeHttpReply(200, "one"));
    REQUIRE(program.waitUntil(
        [&] { return server.readAccepted().find("Req-Id: 0000000000000002") != std::string::npos; }));
    server.replyToUnanswered(makeHttpReply(200, "two"));
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(program.waitUntil([&] { return (answer = takeHttpMessage(second.received)).has_value(); }));
    CHECK(answer->body == "two");
    CHECK(program.readCounter("node_connection_other") == 1);
    CHECK(program.readCounter("attempt_sent") == 2);
}

TEST_CASE("ends: while a connection is late a second one is dialled, and the request is sent once") {
    ProgramHarness program;
    FullBacklogServer server;
    program.config["settings"]["Limits"]["DialTimeoutMs"] = 10'000;  // a quarter: 2.5 s
    startWith(program, server.address);
    TestConnection& client = program.connect();
    client.send(program.makeRequest("0000000000000001", "", 5000));
    REQUIRE(program.waitUntil([&] { return program.readCounter("node_connection_again") == 1; }));
    REQUIRE(program.waitUntil([&] { return server.acceptAndRead().ends_with("\r\n\r\n"); }));
    server.replyToUnanswered(makeHttpReply(200, "one"));
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(program.waitUntil([&] { return (answer = takeHttpMessage(client.received)).has_value(); }));
    CHECK(answer->body == "one");
    (void)program.waitUntil([] { return false; }, 200);
    std::string text = server.acceptAndRead();
    CHECK(takeHttpMessage(text).has_value());
    CHECK(text.empty());
    CHECK(program.readCounter("attempt_sent") == 1);
}

// Guards against a client's disconnect that goes unnoticed behind pipelined bytes.
TEST_CASE("ends: a client's disconnect is detected behind the requests that it has pipelined") {
    ProgramHarness program;
    StubHttpNode node(program.base.get(), neverReply);
    startWith(program, node.listener.address);
    std::string pipelined = program.makeRequest("0000000000000002");
    bool reset = false;
    SUBCASE("a whole request") {}
    SUBCASE("half a request") { pipelined.resize(pipelined.size() / 2); }
    SUBCASE("a whole request, and a reset") { reset = true; }
    SUBCASE("more than is read ahead") {
        while (pipelined.size() < 80'000) pipelined += pipelined;
    }
    SUBCASE("more than the socket buffers hold, and a reset") {
        while (pipelined.size() < 2'000'000) pipelined += pipelined;
        reset = true;
    }
    TestConnection& client = program.connect();
    client.send(program.makeRequest("0000000000000001"));
    REQUIRE(program.waitUntil([&] { return node.requests.size() == 1; }));
    client.send(pipelined);
    program.waitBriefly();
    reset ? client.sendAndReset("") : client.close();
    REQUIRE(program.waitUntil([&] { return node.listener.connections.front().closedByPeer; }));
    CHECK(program.readCounter("client_gone") == 1);
    CHECK(program.readCounter("answer_failed") + program.readCounter("answer_refused") == 0);
    CHECK(node.requests.size() == 1);
}

// Guards against an attempt for a client that disconnected before its request was read: the program is
// stopped while both arrive.
TEST_CASE("ends: a request whose client has disconnected before it is read is not forwarded") {
    ProgramHarness program;
    StubHttpNode node(program.base.get(), replyWithRequestId);
    startWith(program, node.listener.address);
    TestConnection& client = program.connect();
    REQUIRE(program.waitUntil([&] { return client.connected; }));
    const int connections = static_cast<int>(program.readCounter("client_connection"));
    CHECK(connections > 0);  // this client's connection is accepted
    program.sendSignal(SIGSTOP);
    SUBCASE("one") { client.sendAndShutdown(program.makeRequest("0000000000000001")); }
    SUBCASE("several pipelined") {
        client.sendAndShutdown(program.makeRequest("0000000000000001") +
                               program.makeRequest("0000000000000002"));
    }
    program.sendSignal(SIGCONT);
    REQUIRE(program.waitUntil([&] { return program.readCounter("client_gone_untaken") == 1; }));
    CHECK(node.requests.empty());
    CHECK(program.readCounter("attempt_sent") == 0);
    REQUIRE(program.waitUntil([&] { return client.closedByPeer; }));
}

// Guards against a request that is dropped at the exit: it is completed late, on a connection that was kept
// for its first half, and its deadline is later than the program may run.
TEST_CASE("ends: SIGTERM: a request that is completed late is answered before the exit") {
    ProgramHarness program;
    StubHttpNode node(program.base.get(), neverReply);
    startWith(program, node.listener.address);
    TestConnection& client = program.connect();
    const std::string text = program.makeRequest("0000000000000001", "", 5000);
    client.send(text.substr(0, 20));
    program.waitBriefly();
    program.sendSignal(SIGTERM);
    REQUIRE(program.waitUntil([&] { return program.log.find("end: finishing") != std::string::npos; }));
    // The request's deadline, unless shortened, is later than the program's exit after 5.55 s.
    (void)program.waitUntil([] { return false; }, 1000);
    client.send(text.substr(20));
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(program.waitUntil(
        [&] { return (answer = takeHttpMessage(client.received)).has_value() || client.closedByPeer; }));
    REQUIRE(answer);
    CHECK(answer->statusCode() == 503);
    CHECK(program.stopAndWait() == 0);
    CHECK(program.log.find("end: exits open=0") != std::string::npos);
}
