// Tests of answers that are too long to be buffered and are streamed to the client.
#include <doctest/doctest.h>

#include "program_harness.h"

using namespace martencove::test;

namespace {

constexpr std::size_t kLongAnswerBytes = 32 * 1024 * 1024;

std::string makeBody(std::size_t bytes) {
    std::string body(bytes, ' ');
    for (std::size_t i = 0; i < bytes; ++i) body[i] = static_cast<char>('a' + (i * 7 + i / 1013) % 26);
    return body;
}

struct LongAnswerFixture {
    explicit LongAnswerFixture(StubHttpNode::Handler handler) : node(program.base.get(), std::move(handler)) {
        program.config["known"]["hosts"].push_back(
            program.makeNodeEntry("s-1", node.listener.address, 5, "ready"));
        program.config["limits"] = {{"memory_mb", 16}, {"sockets", 512}};
        program.start();
    }
    ProgramHarness program;
    StubHttpNode node;
};

std::string makeHead(std::size_t length) {
    return "HTTP/1.1 200 OK\r\nContent-Type: x/y\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

}  // namespace

// Guards against answers larger than the memory for them being refused or buffered.
TEST_CASE(
    "long answer: 32 MB arrive complete with 16 MB of memory, and are read only as fast as the client "
    "reads") {
    const std::string body = makeBody(kLongAnswerBytes);
    LongAnswerFixture test([&](TestConnection& connection, const ParsedHttpMessage&) {
        connection.send(makeHead(kLongAnswerBytes) + body);
    });
    TestConnection& client = test.program.connect();
    client.setReading(false);
    client.send(test.program.makeRequest("0000000000000001"));
    REQUIRE(test.program.waitUntil([&] { return test.program.readCounter("answer_passed_on") == 1; }));
    (void)test.program.waitUntil([] { return false; }, 200);
    CHECK(test.program.readCounter("answer_bytes") < 512 * 1024);  // besides what the socket buffers hold
    CHECK(test.program.readCounter("attempt_served") == 1);
    client.setReading(true);
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(test.program.waitUntil(
        [&] { return (answer = takeHttpMessage(client.received)).has_value() || client.closedByPeer; }));
    REQUIRE(answer);
    CHECK(answer->statusCode() == 200);
    CHECK(answer->header("Content-Type") == "x/y");
    CHECK(answer->body == body);
    REQUIRE(test.program.waitUntil([&] { return test.program.readCounter("answer_bytes") == 0; }));
    // Both connections are kept.
    test.program.waitForNodeReuse();
    test.node.handler = replyWithRequestId;
    client.send(test.program.makeRequest("0000000000000002"));
    REQUIRE(test.program.waitUntil(
        [&] { return (answer = takeHttpMessage(client.received)).has_value() || client.closedByPeer; }));
    REQUIRE(answer);
    CHECK(answer->statusCode() == 200);
    CHECK(test.node.listener.connections.size() == 1);
    CHECK(test.program.stopAndWait() == 0);
}

TEST_CASE("long answer: a chunked answer is streamed in chunks") {
    const std::string chunk = makeBody(40'000);
    LongAnswerFixture test([&](TestConnection& connection, const ParsedHttpMessage&) {
        connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < 50; ++i) connection.send("9c40\r\n" + chunk + "\r\n");
        connection.send("0\r\n\r\n");
    });
    const ParsedHttpMessage answer = test.program.sendRequest(test.program.makeRequest("0000000000000001"));
    CHECK(answer.header("Transfer-Encoding") == "chunked");
    REQUIRE(answer.body.size() == 50 * chunk.size());
    CHECK(answer.body.substr(49 * chunk.size()) == chunk);
    CHECK(test.program.readCounter("attempt_served") == 1);
}

// Guards against a truncated answer that looks complete, and against a second attempt after half an answer.
TEST_CASE("long answer: the client can detect that an answer is truncated") {
    TestConnection* heldConnection = nullptr;
    LongAnswerFixture test(
        [&](TestConnection& connection, const ParsedHttpMessage&) { heldConnection = &connection; });
    TestConnection& client = test.program.connect();
    client.send(test.program.makeRequest("0000000000000001"));
    REQUIRE(test.program.waitUntil([&] { return heldConnection != nullptr; }));
    SUBCASE("with a length") { heldConnection->send(makeHead(1'000'000) + makeBody(300'000)); }
    SUBCASE("in chunks") {
        heldConnection->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < 10; ++i) heldConnection->send("7530\r\n" + makeBody(30'000) + "\r\n");
    }
    REQUIRE(test.program.waitUntil([&] { return client.received.size() > 250'000; }));
    CHECK_FALSE(client.closedByPeer);
    heldConnection->close();
    REQUIRE(test.program.waitUntil([&] { return client.closedByPeer; }));
    CHECK_FALSE(client.received.ends_with("0\r\n\r\n"));
    CHECK(client.received.size() < 400'000);
    CHECK(test.program.readCounter("answer_cut") == 1);
    CHECK(test.node.requests.size() == 1);
    CHECK(test.program.stopAndWait() == 0);
}

TEST_CASE("long answer: an attempt that breaks before the first bytes is retried") {
    bool first = true;
    LongAnswerFixture test([&](TestConnection& connection, const ParsedHttpMessage&) {
        std::exchange(first, false) ? connection.close()
                                    : connection.send(makeHead(300'000) + makeBody(300'000));
    });
    CHECK(test.program.sendRequest(test.program.makeRequest("0000000000000001")).body == makeBody(300'000));
    CHECK(test.node.requests.size() == 2);
}

TEST_CASE("long answer: a client's disconnect ends it, and SIGTERM waits for its last byte") {
    TestConnection* heldConnection = nullptr;
    LongAnswerFixture test(
        [&](TestConnection& connection, const ParsedHttpMessage&) { heldConnection = &connection; });
    TestConnection& client = test.program.connect();
    client.send(test.program.makeRequest("0000000000000001"));
    REQUIRE(test.program.waitUntil([&] { return heldConnection != nullptr; }));
    heldConnection->send(makeHead(200'000) + makeBody(100'000));
    REQUIRE(test.program.waitUntil([&] { return client.received.size() > 100'000; }));
    SUBCASE("client disconnects") {
        client.close();
        REQUIRE(test.program.waitUntil([&] { return heldConnection->closedByPeer; }));
    }
    SUBCASE("SIGTERM") {
        test.program.sendSignal(SIGTERM);
        (void)test.program.waitUntil([] { return false; }, 1200);  // until after the listener is closed
        CHECK(test.program.running());
        heldConnection->send(makeBody(100'000));
        std::optional<ParsedHttpMessage> answer;
        REQUIRE(test.program.waitUntil(
            [&] { return (answer = takeHttpMessage(client.received)).has_value() || client.closedByPeer; }));
        REQUIRE(answer);
        CHECK(answer->body.size() == 200'000);
    }
    CHECK(test.program.stopAndWait() == 0);
}

TEST_CASE(
    "an answer without a length is complete when its node closes the connection, but not after a reset") {
    bool first = true, reset = false;
    std::size_t bytes = 0;
    LongAnswerFixture test([&](TestConnection& connection, const ParsedHttpMessage& request) {
        if (!std::exchange(first, false)) return replyWithRequestId(connection, request);
        const std::string response = "HTTP/1.1 200 OK\r\n\r\n" + makeBody(bytes);
        reset ? connection.sendAndReset(response) : connection.sendAndShutdown(response);
    });
    SUBCASE("short") { bytes = 1000; }
    SUBCASE("long") { bytes = 300'000; }
    SUBCASE("reset") { bytes = 1000, reset = true; }
    const ParsedHttpMessage answer = test.program.sendRequest(test.program.makeRequest("0000000000000001"));
    CHECK(answer.statusCode() == 200);
    if (reset) {
        CHECK(test.node.requests.size() == 2);
        CHECK(answer.body == "made for 0000000000000001:");
    } else {
        CHECK(test.node.requests.size() == 1);
        CHECK(answer.body == makeBody(bytes));
    }
}
