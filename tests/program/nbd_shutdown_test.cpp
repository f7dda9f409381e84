// What the NBD front owes between SIGTERM and the exit, and when a client leaves whose commands are not read.
#include <doctest/doctest.h>

#include "nbd_site.h"

using namespace martencove::test;

namespace {

constexpr int kInWork = 16;  // commands of one client that are in work at once
constexpr double kLongBeforeDeadlineMs = 10'000;

const auto hangs = [](TestConnection&, const CommandMessage&) {};

/// A site whose deadlines are far longer than any shutdown takes.
struct LongSite : NbdSite {
    LongSite() : NbdSite(hangs, 1000, 20'000) {}

    /// A client with as many commands in work as it may have; the server holds the answers of those it has
    /// got.
    TestConnection& fullClient() {
        TestConnection& wire = ready();
        for (int i = 1; i <= kInWork; ++i) wire.send(encode(readOf(static_cast<std::uint64_t>(i), 0, 512)));
        REQUIRE(until([&] { return world.readCounter("request_taken") == kInWork; }));
        return wire;
    }
    void terminate() {
        world.sendSignal(SIGTERM);
        REQUIRE(until([&] { return world.log.find("end: finishing") != std::string::npos; }));
    }
};

}  // namespace

TEST_CASE("nbd shutdown: commands whose server hangs have their reply long before their deadline") {
    LongSite t;
    TestConnection& wire = t.ready();
    wire.send(encode(readOf(1, 0, 512)) + encode(writeOf(2, 0, "text")));
    REQUIRE(t.until([&] { return t.node.commands.size() == 2; }));
    t.terminate();
    std::set<std::uint64_t> answered;
    for (int i = 0; i < 2; ++i) {
        ChunkMessage reply;
        REQUIRE(
            t.world.waitUntil([&] { return takeFrom(wire.received, reply, kMost); }, kLongBeforeDeadlineMs));
        CHECK(reply.type == ChunkType::error);
        answered.insert(reply.cookie);
    }
    CHECK(answered == std::set<std::uint64_t>{1, 2});
    CHECK(t.world.stopAndWait() == 0);
}

// Guards against a close over commands that have come and were not read: it resets the connection, and with
// it go the replies that are on their way.
TEST_CASE("nbd shutdown: a client paused at its bound has a reply to each command that has come") {
    LongSite t;
    TestConnection& wire = t.fullClient();
    constexpr int kMore = 8;  // of 64 KiB: more than is read before their turn
    for (int i = 1; i <= kMore; ++i)
        wire.send(encode(writeOf(static_cast<std::uint64_t>(kInWork + i), 0, std::string(65'536, 'x'))));
    t.world.waitForNodeReuse();
    t.terminate();
    std::map<std::uint64_t, Error> replies;
    REQUIRE(t.world.waitUntil(
        [&] {
            ChunkMessage reply;
            while (takeFrom(wire.received, reply, kMost))
                replies[reply.cookie] = decodeError(reply.payload)->error;
            return replies.size() == kInWork + kMore || wire.closedByPeer;
        },
        kLongBeforeDeadlineMs));
    CHECK(replies.size() == kInWork + kMore);
    for (const auto& [cookie, error] : replies)
        CHECK(error == (cookie > kInWork ? Error::shutdown : Error::noMemory));
    CHECK(t.world.stopAndWait() == 0);
}

TEST_CASE("nbd shutdown: handshakes that stand still do not hold the exit up") {
    LongSite t;
    TestConnection& silent = t.client();
    TestConnection& half = t.client();
    half.send(encode(OptionMessage{Option::list, ""}).substr(0, 5));
    t.terminate();
    REQUIRE(t.world.waitUntil([&] { return t.world.log.find("end: exits") != std::string::npos; },
                              kLongBeforeDeadlineMs));
    CHECK(t.world.stopAndWait() == 0);
    CHECK(t.world.waitUntil([&] { return silent.closedByPeer && half.closedByPeer; }));
}

// Guards against attempts for a client that has gone, where its close stands behind commands that nobody
// reads.
TEST_CASE("nbd: a client that leaves while its commands are not read has them called off") {
    LongSite t;
    TestConnection& wire = t.fullClient();
    const std::string more = encode(writeOf(99, 0, std::string(65'536, 'x')));
    bool reset = false;
    SUBCASE("in order, with few commands behind") { wire.send(more); }
    SUBCASE("in order, with more commands than are read before their turn") {
        for (int i = 0; i < 2; ++i) wire.send(more);
    }
    SUBCASE("broken off, with more commands than are read before their turn") {
        for (int i = 0; i < 8; ++i) wire.send(more);
        reset = true;
    }
    t.world.waitForNodeReuse();
    reset ? wire.sendAndReset("") : wire.close();
    CHECK(t.until([&] {
        for (TestConnection& server : t.node.listener.connections)
            if (!server.closedByPeer) return false;
        return true;
    }));
    CHECK(t.world.readCounter("client_gone") == kInWork);
    CHECK(t.world.readCounter("request_taken") == kInWork);
    CHECK(t.world.stopAndWait() == 0);
}
