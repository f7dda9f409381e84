// Tests of answers that are too long to be buffered and are streamed to the client.
#include <doctest/doctest.h>

#include "program_harness.h"

using namespace martencove::test;

namespace {

constexpr std::size_t kLong = 32 * 1024 * 1024;

std::string longBody(std::size_t bytes) {
    std::string out(bytes, ' ');
    for (std::size_t i = 0; i < bytes; ++i) out[i] = static_cast<char>('a' + (i * 7 + i / 1013) % 26);
    return out;
}

struct LongNode {
    explicit LongNode(StubHttpNode::Handler answer) : node(world.base.get(), std::move(answer)) {
        world.config["known"]["hosts"].push_back(
            world.makeNodeEntry("s-1", node.listener.address, 5, "ready"));
        world.config["limits"] = {{"memory_mb", 16}, {"sockets", 512}};
        world.start();
    }
    ProgramHarness world;
    StubHttpNode node;
};

std::string head(std::size_t length) {
    return "HTTP/1.1 200 OK\r\nContent-Type: x/y\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

}  // namespace

// Guards against answers larger than the memory for them being refused or buffered.
TEST_CASE(
    "long answer: 32 MB arrive complete with 16 MB of memory, and are read only as fast as the client "
    "reads") {
    const std::string body = longBody(kLong);
    LongNode t([&](TestConnection& wire, const ParsedHttpMessage&) { wire.send(head(kLong) + body); });
    TestConnection& client = t.world.connect();
    client.setReading(false);
    client.send(t.world.makeRequest("0000000000000001"));
    REQUIRE(t.world.waitUntil([&] { return t.world.readCounter("answer_passed_on") == 1; }));
    (void)t.world.waitUntil([] { return false; }, 200);
    CHECK(t.world.readCounter("answer_bytes") < 512 * 1024);  // besides what the socket buffers hold
    CHECK(t.world.readCounter("attempt_served") == 1);
    client.setReading(true);
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(t.world.waitUntil(
        [&] { return (answer = takeHttpMessage(client.received)).has_value() || client.closedByPeer; }));
    REQUIRE(answer);
    CHECK(answer->statusCode() == 200);
    CHECK(answer->header("Content-Type") == "x/y");
    CHECK(answer->body == body);
    REQUIRE(t.world.waitUntil([&] { return t.world.readCounter("answer_bytes") == 0; }));
    // Both connections are kept.
    t.world.waitForNodeReuse();
    t.node.handler = replyWithRequestId;
    client.send(t.world.makeRequest("0000000000000002"));
    REQUIRE(t.world.waitUntil(
        [&] { return (answer = takeHttpMessage(client.received)).has_value() || client.closedByPeer; }));
    REQUIRE(answer);
    CHECK(answer->statusCode() == 200);
    CHECK(t.node.listener.connections.size() == 1);
    CHECK(t.world.stopAndWait() == 0);
}

TEST_CASE("long answer: a chunked answer is streamed in chunks") {
    const std::string piece = longBody(40'000);
    LongNode t([&](TestConnection& wire, const ParsedHttpMessage&) {
        wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < 50; ++i) wire.send("9c40\r\n" + piece + "\r\n");
        wire.send("0\r\n\r\n");
    });
    const ParsedHttpMessage answer = t.world.sendRequest(t.world.makeRequest("0000000000000001"));
    CHECK(answer.header("Transfer-Encoding") == "chunked");
    REQUIRE(answer.body.size() == 50 * piece.size());
    CHECK(answer.body.substr(49 * piece.size()) == piece);
    CHECK(t.world.readCounter("attempt_served") == 1);
}

// Guards against a truncated answer that looks complete, and against a second attempt after half an answer.
TEST_CASE("long answer: the client can detect that an answer is truncated") {
    TestConnection* held = nullptr;
    LongNode t([&](TestConnection& wire, const ParsedHttpMessage&) { held = &wire; });
    TestConnection& client = t.world.connect();
    client.send(t.world.makeRequest("0000000000000001"));
    REQUIRE(t.world.waitUntil([&] { return held != nullptr; }));
    SUBCASE("with a length") { held->send(head(1'000'000) + longBody(300'000)); }
    SUBCASE("in chunks") {
        held->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < 10; ++i) held->send("7530\r\n" + longBody(30'000) + "\r\n");
    }
    REQUIRE(t.world.waitUntil([&] { return client.received.size() > 250'000; }));
    CHECK_FALSE(client.closedByPeer);
    held->close();
    REQUIRE(t.world.waitUntil([&] { return client.closedByPeer; }));
    CHECK_FALSE(client.received.ends_with("0\r\n\r\n"));
    CHECK(client.received.size() < 400'000);
    CHECK(t.world.readCounter("answer_cut") == 1);
    CHECK(t.node.requests.size() == 1);
    CHECK(t.world.stopAndWait() == 0);
}

TEST_CASE("long answer: an attempt that breaks before the first bytes is retried") {
    bool first = true;
    LongNode t([&](TestConnection& wire, const ParsedHttpMessage&) {
        std::exchange(first, false) ? wire.close() : wire.send(head(300'000) + longBody(300'000));
    });
    CHECK(t.world.sendRequest(t.world.makeRequest("0000000000000001")).body == longBody(300'000));
    CHECK(t.node.requests.size() == 2);
}

TEST_CASE("long answer: a client's disconnect ends it, and SIGTERM waits for its last byte") {
    TestConnection* held = nullptr;
    LongNode t([&](TestConnection& wire, const ParsedHttpMessage&) { held = &wire; });
    TestConnection& client = t.world.connect();
    client.send(t.world.makeRequest("0000000000000001"));
    REQUIRE(t.world.waitUntil([&] { return held != nullptr; }));
    held->send(head(200'000) + longBody(100'000));
    REQUIRE(t.world.waitUntil([&] { return client.received.size() > 100'000; }));
    SUBCASE("client disconnects") {
        client.close();
        REQUIRE(t.world.waitUntil([&] { return held->closedByPeer; }));
    }
    SUBCASE("SIGTERM") {
        t.world.sendSignal(SIGTERM);
        (void)t.world.waitUntil([] { return false; }, 1200);  // until after the listener is closed
        CHECK(t.world.running());
        held->send(longBody(100'000));
        std::optional<ParsedHttpMessage> answer;
        REQUIRE(t.world.waitUntil(
            [&] { return (answer = takeHttpMessage(client.received)).has_value() || client.closedByPeer; }));
        REQUIRE(answer);
        CHECK(answer->body.size() == 200'000);
    }
    CHECK(t.world.stopAndWait() == 0);
}

TEST_CASE(
    "an answer without a length is complete when its node closes the connection, but not after a reset") {
    bool first = true, cut = false;
    std::size_t bytes = 0;
    LongNode t([&](TestConnection& wire, const ParsedHttpMessage& request) {
        if (!std::exchange(first, false)) return replyWithRequestId(wire, request);
        const std::string text = "HTTP/1.1 200 OK\r\n\r\n" + longBody(bytes);
        cut ? wire.sendAndReset(text) : wire.sendAndShutdown(text);
    });
    SUBCASE("short") { bytes = 1000; }
    SUBCASE("long") { bytes = 300'000; }
    SUBCASE("reset") { bytes = 1000, cut = true; }
    const ParsedHttpMessage answer = t.world.sendRequest(t.world.makeRequest("0000000000000001"));
    CHECK(answer.statusCode() == 200);
    if (cut) {
        CHECK(t.node.requests.size() == 2);
        CHECK(answer.body == "made for 0000000000000001:");
    } else {
        CHECK(t.node.requests.size() == 1);
        CHECK(answer.body == longBody(bytes));
    }
}
