// Tests of RequestScanner: where requests end, whatever pieces they come in, and bounds of every part.
#include "http/request_scanner.h"

#include <doctest/doctest.h>

#include <random>
#include <string>
#include <vector>

using martencove::RequestBounds;
using martencove::RequestScanner;
using State = RequestScanner::State;

namespace {

constexpr RequestBounds kBounds{400, 1000};
const std::string kPut = "PUT /write/1/2 HTTP/1.1\r\nHost: b\r\n";
const std::string kChunkedHead = kPut + "Transfer-Encoding: chunked\r\n\r\n";

struct Scanned {
    State state;
    int errorStatus;
    std::string kept;
    std::string rest;  // not consumed
};

/// Scans the text in pieces of the given size.
Scanned scanInPieces(const std::string& text, std::size_t pieceBytes) {
    RequestScanner scanner(kBounds);
    Scanned out;
    std::size_t consumed = 0;
    for (std::size_t begin = 0; begin < text.size(); begin += pieceBytes) {
        const std::string piece = text.substr(begin, pieceBytes);
        for (std::size_t used = 0; used < piece.size();) {
            const std::size_t count = scanner.scan(std::string_view(piece).substr(used), out.kept);
            used += count;
            consumed += count;
            if (scanner.state() == State::complete || scanner.state() == State::malformed) break;
        }
        if (scanner.state() == State::complete || scanner.state() == State::malformed) break;
    }
    out.state = scanner.state();
    out.errorStatus = scanner.errorStatus();
    out.rest = text.substr(consumed);
    return out;
}

/// Feeds the piece again and again until the request has ended; returns how many bytes that took.
std::size_t scanEndless(const std::string& begin, const std::string& piece, RequestScanner& scanner) {
    std::string kept;
    std::size_t bytes = 0, mostHeld = 0;
    const auto feed = [&](std::string_view in) {
        while (!in.empty() && scanner.state() != State::complete && scanner.state() != State::malformed) {
            const std::size_t count = scanner.scan(in, kept);
            in.remove_prefix(count);
            bytes += count;
            mostHeld = std::max(mostHeld, kept.size());
        }
    };
    feed(begin);
    while (scanner.state() != State::complete && scanner.state() != State::malformed && bytes < 1'000'000)
        feed(piece);
    CHECK(mostHeld <= 3 * kBounds.maxHeadBytes + kBounds.maxBodyBytes);
    return bytes;
}

}  // namespace

TEST_CASE("request scanner: a request ends at the same byte in whatever pieces it comes") {
    struct Case {
        std::string request, kept;
    };
    const std::string get = "GET /read/1/2 HTTP/1.1\r\nHost: b\r\n\r\n";
    const std::string put = kPut + "Content-Length: 5\r\n\r\nhello";
    const std::string bareLineFeeds = "PUT /w HTTP/1.1\nContent-Length:2\n\nab";
    const std::vector<Case> cases = {
        {get, get},
        {put, put},
        {bareLineFeeds, bareLineFeeds},
        {kPut + "\r\n", kPut + "\r\n"},
        {"GET /read/1/2 HTTP/1.1\r\nContent-Length: 2\r\n\r\nab",
         "GET /read/1/2 HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"},
        {kChunkedHead + "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n", kChunkedHead + "5\r\nabcde\r\n0\r\n\r\n"},
        {kChunkedHead + "0\r\n\r\n", kChunkedHead + "0\r\n\r\n"},
        {kChunkedHead + "A\r\n0123456789\r\n000\r\nT: 1\r\n\r\n",
         kChunkedHead + "a\r\n0123456789\r\n0\r\nT: 1\r\n\r\n"}};
    for (const Case& example : cases)
        for (const std::size_t pieceBytes : {1, 2, 3, 7, 4096}) {
            CAPTURE(example.request);
            CAPTURE(pieceBytes);
            const Scanned scanned = scanInPieces(example.request + get, pieceBytes);
            CHECK(scanned.state == State::complete);
            CHECK(scanned.kept == example.kept);
            CHECK(scanned.rest == get);
            const Scanned cut =
                scanInPieces(example.request.substr(0, example.request.size() - 1), pieceBytes);
            CHECK(cut.state != State::complete);
            CHECK(cut.state != State::malformed);
        }
}

// Guards against a request that never ends: each part has a bound, so that none goes on for longer.
TEST_CASE("request scanner: every form of a request without an end is refused within bounds") {
    struct Case {
        std::string begin, piece;
        int status;
    };
    const std::vector<Case> cases = {{"GET /", "a", 431},
                                     {"GET / HTTP/1.1\r\nX: ", "a", 431},
                                     {"GET / HTTP/1.1\r\n", "x: 1\r\n", 431},
                                     {"GET / HTTP/1.1\r\nX: 1\r\n", " \t\r\n", 431},
                                     {kChunkedHead, "0", 400},
                                     {kChunkedHead, "f", 400},
                                     {kChunkedHead + "1;", "a", 400},
                                     {kChunkedHead, "\r\n", 400},
                                     {kChunkedHead + "1\r\na", "\r\n", 400},
                                     {kChunkedHead + "1\r\na", "b", 400},
                                     {kChunkedHead, "1\r\na\r\n", 413},
                                     {kChunkedHead, "0000001;x=y\r\na\r\n", 413},
                                     {kChunkedHead + "0\r\n", "x: 1\r\n", 431},
                                     {kChunkedHead + "0\r\nX: ", "a", 431}};
    for (const Case& example : cases) {
        CAPTURE(example.begin);
        CAPTURE(example.piece);
        RequestScanner scanner(kBounds);
        const std::size_t bytes = scanEndless(example.begin, example.piece, scanner);
        CHECK(scanner.state() == State::malformed);
        CHECK(scanner.errorStatus() == example.status);
        CHECK(bytes <= 150 * kBounds.maxBodyBytes);
    }
}

TEST_CASE("request scanner: what cannot be a request is refused as soon as that is known") {
    const std::vector<std::pair<std::string, int>> cases = {
        {"\r\n", 400},
        {"noise\r\n", 400},
        {std::string("\0\xff\x80 noise\r\n", 11), 400},
        {kPut + "no colon\r\n", 400},
        {kPut + "Content-Length: -5\r\n", 400},
        {kPut + "Content-Length: +0\r\n", 400},
        {kPut + "Content-Length: 99999999999999999999999\r\n", 400},
        {kPut + "Content-Length: 1\r\n 2\r\n", 400},
        {kPut + "Content-Length: 1001\r\n\r\n", 413},
        {kPut + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
        {kChunkedHead + "g\r\n", 400},
        {kChunkedHead + "-1\r\n", 400},
        {kChunkedHead + "0x5\r\n", 400},
        {kChunkedHead + "ffffffffffffffffff\r\n", 400},
        {kChunkedHead + "3e9\r\n", 413},
        {kChunkedHead + "1\r\nab", 400}};
    for (const auto& [text, status] : cases)
        for (const std::size_t pieceBytes : {1, 4096}) {
            CAPTURE(text);
            const Scanned scanned = scanInPieces(text, pieceBytes);
            CHECK(scanned.state == State::malformed);
            CHECK(scanned.errorStatus == status);
        }
}

TEST_CASE("request scanner: what a request may still need is known from the end of its head on") {
    RequestScanner put(kBounds);
    std::string kept;
    const std::string head = kPut + "Content-Length: 100\r\nExpect: 100-continue\r\n\r\n";
    CHECK(put.scan(head + "body", kept) == head.size());
    CHECK(put.headComplete());
    CHECK(put.expectsContinue());
    CHECK(put.maxRemainingBytes() == 100);
    CHECK(put.scan("body", kept) == 4);
    CHECK(put.maxRemainingBytes() == 96);
    CHECK_FALSE(put.expectsContinue());
    RequestScanner chunked(kBounds);
    kept.clear();
    CHECK(chunked.scan(kChunkedHead, kept) == kChunkedHead.size());
    CHECK(chunked.maxRemainingBytes() >= kBounds.maxBodyBytes);
}

// Guards against a scanner that depends on how bytes are divided, or keeps more than its bounds allow.
TEST_CASE("request scanner: random bytes end within bounds and alike in all pieces") {
    std::mt19937 random(20261204);
    const std::vector<std::string> tokens = {"PUT / HTTP/1.1\r\n",
                                             "GET / HTTP/1.1\r\n",
                                             "Content-Length: 3\r\n",
                                             "Transfer-Encoding: chunked\r\n",
                                             "\r\n",
                                             "\n",
                                             "\r",
                                             "0",
                                             "5",
                                             "a",
                                             ":",
                                             ";",
                                             " ",
                                             "x: y\r\n",
                                             "hello",
                                             std::string(1, '\0')};
    for (int round = 0; round < 20'000; ++round) {
        std::string text = round % 2 == 0 ? kChunkedHead : "";
        for (int i = 0; i < 30; ++i) text += tokens[random() % tokens.size()];
        const Scanned whole = scanInPieces(text, text.size());
        const Scanned pieces = scanInPieces(text, 1 + random() % 5);
        REQUIRE(whole.state == pieces.state);
        REQUIRE(whole.errorStatus == pieces.errorStatus);
        REQUIRE(whole.kept.size() <= 3 * kBounds.maxHeadBytes + kBounds.maxBodyBytes);
        if (whole.state == State::complete) REQUIRE(whole.kept == pieces.kept);
    }
}
