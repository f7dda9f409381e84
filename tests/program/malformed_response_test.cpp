// Tests of malformed responses and of surplus bytes from nodes, whose responses are written out byte by byte.
#include <doctest/doctest.h>

#include "program_harness.h"

using namespace martencove::test;

namespace {

/// A node that answers the first request on each of its first connections with `response` and serves all
/// others.
struct MalformedNodeFixture {
    explicit MalformedNodeFixture(std::string firstResponse, int connectionCount = 1)
        : response(std::move(firstResponse)),
          remaining(connectionCount),
          node(program.base.get(), [this](TestConnection& connection, const ParsedHttpMessage& request) {
              if (remaining > 0 && answered.insert(&connection).second) {
                  --remaining;
                  return connection.send(response);
              }
              replyWithRequestId(connection, request);
          }) {
        program.config["known"]["hosts"].push_back(
            program.makeNodeEntry("s-1", node.listener.address, 5, "ready"));
        program.start();
    }
    [[nodiscard]] std::size_t connections() const { return node.listener.connections.size(); }

    std::string response;
    int remaining;
    std::set<TestConnection*> answered;
    ProgramHarness program;
    StubHttpNode node;
};

const std::string kValidResponse = makeHttpReply(200, "the answer");

}  // namespace

// Guards against serving malformed responses: each of these was once accepted, or its connection was kept.
// Since the request may have run, a read is retried, on another connection.
TEST_CASE("a malformed response means that the request may have run, and its connection is not reused") {
    const std::string okHead = "HTTP/1.1 200 OK\r\n";
    for (const std::string& response : std::vector<std::string>{
             "\x16\x03\x01 noise \xff\xfe\r\n\r\n",
             "HTTP/1.1 2000 OK\r\nContent-Length: 1\r\n\r\nx",
             "HTTP/1.1 200abc\r\nContent-Length: 1\r\n\r\nx",
             "HTTP/9.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
             "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 1\r\n\r\nx",
             okHead + "Content-Length: 1x\r\n\r\nx",
             okHead + "Content-Length: +1\r\n\r\nx",
             okHead + "Content-Length: -1\r\n\r\nx",
             okHead + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxy",
             okHead + "Content-Length : 1\r\n\r\nx",
             okHead + "Content-Length: 3000000000\r\n\r\n" + std::string(100000, 'x'),
             okHead + "Content-Length: 99999999999999999999999\r\n\r\nx",
             okHead + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
             okHead + "Transfer-Encoding: gzip\r\n\r\nx",
             okHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\nx\r\n0\r\n\r\n",
             okHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nxy0\r\n\r\n",
             okHead + "Transfer-Encoding: chunked\r\n\r\nffffffff\r\nx",
             okHead + "X: " + std::string(20000, 'x'),
             "HTTP/1.1 101 Switching\r\n\r\n" + kValidResponse,
         }) {
        CAPTURE(response.substr(0, 80));
        MalformedNodeFixture test(response);
        CHECK(test.program.sendRequest(test.program.makeRequest("0000000000000001")).body ==
              "made for 0000000000000001:");
        CHECK(test.connections() == 2);
        CHECK(test.program.readCounter("attempt_spoilt") == 1);
        CHECK(test.program.readCounter("attempt_served") == 1);
    }
}

// Guards against serving the next request on a connection with the bytes behind the previous answer.
TEST_CASE("an answer with bytes behind it is served, and its connection is not reused") {
    for (const std::string& response : std::vector<std::string>{
             kValidResponse + kValidResponse, kValidResponse + "noise", kValidResponse + "\r\n"}) {
        MalformedNodeFixture test(response);
        CHECK(test.program.sendRequest(test.program.makeRequest("0000000000000001")).body == "the answer");
        test.program.waitForNodeReuse();
        CHECK(test.program.sendRequest(test.program.makeRequest("0000000000000002")).body ==
              "made for 0000000000000002:");
        CHECK(test.connections() == 2);
        CHECK(test.program.readCounter("attempt_served") == 2);
    }
}

// The same if the bytes arrive later, while the connection is idle.
TEST_CASE("bytes on an idle node connection close it") {
    MalformedNodeFixture test(kValidResponse);
    CHECK(test.program.sendRequest(test.program.makeRequest("0000000000000001")).body == "the answer");
    test.node.listener.connections.front().send(kValidResponse);
    REQUIRE(test.program.waitUntil([&] { return test.node.listener.connections.front().closedByPeer; }));
    CHECK(test.program.sendRequest(test.program.makeRequest("0000000000000002")).body ==
          "made for 0000000000000002:");
    CHECK(test.connections() == 2);
}

// Guards against taking 1xx responses for the final one, and against rejecting an answer for its load report.
TEST_CASE(
    "answers with 1xx responses, extra headers, chunk extensions or trailers are served, and the connection "
    "is kept") {
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n4;x=y\r\nthe \r\n6\r\nanswer\r\n0\r\nT: "
        "1\r\n\r\n";
    for (const std::string& response : std::vector<std::string>{
             "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + kValidResponse,
             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + kValidResponse,
             makeHttpReply(200, "the answer", "Srv-Load: {\"inflight\":\x01\xff nonsense\r\n"),
             chunked,
         }) {
        CAPTURE(response.substr(0, 80));
        MalformedNodeFixture test(response);
        CHECK(test.program.sendRequest(test.program.makeRequest("0000000000000001")).body == "the answer");
        test.program.waitForNodeReuse();
        CHECK(test.program.sendRequest(test.program.makeRequest("0000000000000002")).statusCode() == 200);
        CHECK(test.connections() == 1);
    }
}

// Guards against rejecting long answers: only requests are limited to 64 KiB. Also guards against answers
// that fill the memory: for an HTTP/1.0 client, which cannot detect a truncated answer, an answer beyond the
// limit for buffered ones is abandoned, and bytes that have been sent no longer count.
TEST_CASE("an answer longer than the request limit is served; a buffered answer is limited in memory") {
    const std::string longBody(500'000, 'y');
    MalformedNodeFixture test(makeHttpReply(200, longBody));
    CHECK(test.program.sendRequest(test.program.makeRequest("0000000000000001")).body == longBody);
    CHECK(test.program.readCounter("attempt_spoilt") == 0);
    REQUIRE(test.program.waitUntil([&] { return test.program.readCounter("answer_bytes") == 0; }));
    // The limit is 6 MB of 192 MB.
    MalformedNodeFixture tooLong(makeHttpReply(200, std::string(7'000'000, 'y')));
    std::string http10Request = tooLong.program.makeRequest("0000000000000001");
    http10Request.replace(http10Request.find("HTTP/1.1"), 8, "HTTP/1.0");
    // Served on the second connection; the first response was abandoned.
    CHECK(tooLong.program.sendRequest(http10Request).statusCode() == 200);
    CHECK(tooLong.connections() == 2);
    CHECK(tooLong.program.readCounter("attempt_spoilt") == 1);
}

// Guards against running a request a second time when the node no longer drops repeats.
TEST_CASE("an answer that is never completed ends with the request, in one failure") {
    MalformedNodeFixture test("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nhalf", 9);
    const ParsedHttpMessage answer =
        test.program.sendRequest(test.program.makeRequest("0000000000000001", "", 400, "text"));
    CHECK(answer.statusCode() == 502);
    CHECK(test.program.readCounter("answer_failed") == 1);
}
