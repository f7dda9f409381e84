// Tests the NBD front between SIGTERM and the exit, and clients that disconnect with unread commands.
#include <doctest/doctest.h>

#include "nbd_harness.h"

using namespace martencove::test;

namespace {

constexpr int kMaxCommandsInFlight = 16;  // per client
constexpr double kLongBeforeDeadlineMs = 10'000;

const auto ignoreCommands = [](TestConnection&, const CommandMessage&) {};

/// Uses deadlines far longer than any shutdown takes. The node answers no command.
struct LongDeadlineHarness : NbdHarness {
    LongDeadlineHarness() : NbdHarness(ignoreCommands, 1000, 20'000) {}

    /// Connects a client with the maximum number of commands in flight.
    TestConnection& connectFullClient() {
        TestConnection& connection = openExport();
        for (int i = 1; i <= kMaxCommandsInFlight; ++i)
            connection.send(encode(readCommand(static_cast<std::uint64_t>(i), 0, 512)));
        REQUIRE(waitUntil([&] { return program.readCounter("request_taken") == kMaxCommandsInFlight; }));
        return connection;
    }
    void sendSigterm() {
        program.sendSignal(SIGTERM);
        REQUIRE(waitUntil([&] { return program.log.find("end: finishing") != std::string::npos; }));
    }
};

}  // namespace

TEST_CASE("nbd shutdown: commands on a node that hangs are answered long before their deadline") {
    LongDeadlineHarness harness;
    TestConnection& connection = harness.openExport();
    connection.send(encode(readCommand(1, 0, 512)) + encode(writeCommand(2, 0, "text")));
    REQUIRE(harness.waitUntil([&] { return harness.node.commands.size() == 2; }));
    harness.sendSigterm();
    std::set<std::uint64_t> answered;
    for (int i = 0; i < 2; ++i) {
        ChunkMessage reply;
        REQUIRE(harness.program.waitUntil(
            [&] { return takeMessage(connection.received, reply, kMaxMessageBytes); },
            kLongBeforeDeadlineMs));
        CHECK(reply.type == ChunkType::error);
        answered.insert(reply.cookie);
    }
    CHECK(answered == std::set<std::uint64_t>{1, 2});
    CHECK(harness.program.stopAndWait() == 0);
}

// Guards against closing a connection with unread commands, which resets it and loses replies in flight.
TEST_CASE("nbd shutdown: a client paused at its limit gets a reply to each command that has arrived") {
    LongDeadlineHarness harness;
    TestConnection& connection = harness.connectFullClient();
    constexpr int kMoreCommands = 8;  // of 64 KiB each: more than is read ahead
    for (int i = 1; i <= kMoreCommands; ++i)
        connection.send(encode(
            writeCommand(static_cast<std::uint64_t>(kMaxCommandsInFlight + i), 0, std::string(65'536, 'x'))));
    harness.program.waitBriefly();
    harness.sendSigterm();
    std::map<std::uint64_t, Error> replies;
    REQUIRE(harness.program.waitUntil(
        [&] {
            ChunkMessage reply;
            while (takeMessage(connection.received, reply, kMaxMessageBytes))
                replies[reply.cookie] = decodeError(reply.payload)->error;
            return replies.size() == kMaxCommandsInFlight + kMoreCommands || connection.closedByPeer;
        },
        kLongBeforeDeadlineMs));
    CHECK(replies.size() == kMaxCommandsInFlight + kMoreCommands);
    for (const auto& [cookie, error] : replies)
        CHECK(error == (cookie > kMaxCommandsInFlight ? Error::shutdown : Error::noMemory));
    CHECK(harness.program.stopAndWait() == 0);
}

TEST_CASE("nbd shutdown: stalled handshakes do not delay the exit") {
    LongDeadlineHarness harness;
    TestConnection& silentClient = harness.connectClient();
    TestConnection& partialOptionClient = harness.connectClient();
    partialOptionClient.send(encode(OptionMessage{Option::list, ""}).substr(0, 5));
    harness.sendSigterm();
    REQUIRE(harness.program.waitUntil(
        [&] { return harness.program.log.find("end: exits") != std::string::npos; }, kLongBeforeDeadlineMs));
    CHECK(harness.program.stopAndWait() == 0);
    CHECK(harness.program.waitUntil(
        [&] { return silentClient.closedByPeer && partialOptionClient.closedByPeer; }));
}

// Guards against attempts for a disconnected client whose close is queued behind unread commands.
TEST_CASE("nbd: the commands of a client that disconnects with unread commands are cancelled") {
    LongDeadlineHarness harness;
    TestConnection& connection = harness.connectFullClient();
    const std::string moreCommands = encode(writeCommand(99, 0, std::string(65'536, 'x')));
    bool resetConnection = false;
    SUBCASE("orderly close, with few unread commands") { connection.send(moreCommands); }
    SUBCASE("orderly close, with more unread commands than are read ahead") {
        for (int i = 0; i < 2; ++i) connection.send(moreCommands);
    }
    SUBCASE("reset, with more unread commands than are read ahead") {
        for (int i = 0; i < 8; ++i) connection.send(moreCommands);
        resetConnection = true;
    }
    harness.program.waitBriefly();
    resetConnection ? connection.sendAndReset("") : connection.close();
    CHECK(harness.waitUntil([&] {
        for (TestConnection& server : harness.node.listener.connections)
            if (!server.closedByPeer) return false;
        return true;
    }));
    CHECK(harness.program.readCounter("client_gone") == kMaxCommandsInFlight);
    CHECK(harness.program.readCounter("request_taken") == kMaxCommandsInFlight);
    CHECK(harness.program.stopAndWait() == 0);
}
