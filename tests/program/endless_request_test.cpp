// Tests of clients whose requests have no end: each is answered or closed, and the program keeps little of
// it.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "program_harness.h"

using namespace martencove::test;

namespace {

/// A request that goes on with `piece` for as long as its client likes.
struct EndlessRequest {
    std::string begin, piece;

    [[nodiscard]] std::string ofLength(std::size_t bytes) const {
        std::string text = begin;
        while (text.size() < bytes) text += piece;
        return text;
    }
};

const std::string kPut =
    "PUT /write/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: b\r\nReq-Id: 0000000000000001\r\n"
    "Tier: basic\r\nReq-Deadline-Ms: 5000\r\nIO-Info: units=2,shard=5,hosts=1\r\n";
const std::string kChunkedHead = kPut + "Transfer-Encoding: chunked\r\n\r\n";
const std::string kRead = "GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n";

const std::vector<EndlessRequest> kEndlessRequests = {{"GET /", "aaaaaaaa"},
                                                      {kPut + "X: ", "aaaaaaaa"},
                                                      {kPut, "x: 1\r\n"},
                                                      {kChunkedHead, "00000000"},
                                                      {kChunkedHead + "1;", "aaaaaaaa"},
                                                      {kChunkedHead, "\r\n"},
                                                      {kChunkedHead + "1\r\na", "\r\n"},
                                                      {kChunkedHead, "1\r\na\r\n"},
                                                      {kChunkedHead, "0001\r\na\r\n"},
                                                      {kChunkedHead + "0\r\n", "x: 1\r\n"},
                                                      {kChunkedHead + "0\r\nX: ", "aaaaaaaa"}};

}  // namespace

// Guards against a request that is read forever, and against one that is closed without an error only once
// nothing more of it arrives: a chunk's size without a line end had no bound.
TEST_CASE("endless requests of every form are answered with an error, on new and used connections") {
    ProgramHarness program;
    program.start();
    constexpr std::size_t kBytes = 700'000;  // less than a lingering close discards
    for (const EndlessRequest& request : kEndlessRequests)
        for (const bool isNew : {true, false}) {
            CAPTURE(request.begin);
            CAPTURE(request.piece);
            CAPTURE(isNew);
            TestConnection& client = program.connect();
            client.send((isNew ? "" : kRead) + request.ofLength(kBytes));
            REQUIRE(program.waitUntil([&] { return client.closedByPeer; }));
            if (!isNew) CHECK(takeHttpMessage(client.received)->statusCode() == 200);
            CHECK(client.received.starts_with("HTTP/1.1 4"));
        }
    CHECK(program.readCounter("request_malformed") == 2 * kEndlessRequests.size());
    CHECK(program.readCounter("request_bytes") == 0);
    CHECK(program.stopAndWait() == 0);
}

// Guards against a process that is killed for its memory: a few clients that send at full speed were read
// into memory without a bound (review, case 6).
TEST_CASE("clients that send a chunk size without an end do not take the program over its memory") {
    constexpr long long kMemoryMb = 16, kClients = 4;
    constexpr std::size_t kBytes = 12'000'000;
    ProgramHarness program;
    program.config["limits"]["memory_mb"] = kMemoryMb;
    program.start();
    std::vector<TestConnection*> clients;
    const std::string text = EndlessRequest{kChunkedHead, std::string(4096, '0')}.ofLength(kBytes);
    for (int i = 0; i < kClients; ++i) {
        clients.push_back(&program.connect());
        clients.back()->send(text);
    }
    long long peakBytes = 0;
    const bool allClosed = program.waitUntil([&] {
        peakBytes = std::max(peakBytes, program.privateMemoryBytes());
        return std::all_of(clients.begin(), clients.end(),
                           [](const TestConnection* client) { return client->closedByPeer; });
    });
    CHECK(allClosed);
    CHECK(program.running());
    if (ProgramHarness::kMeasuresMemory) CHECK(peakBytes < kMemoryMb * 1024 * 1024);
    CHECK(program.sendRequest(kRead).statusCode() == 200);
    CHECK(program.stopAndWait() == 0);
}
