// Tests the NBD front: the program runs between NBD clients and stub NBD nodes.
#include <doctest/doctest.h>

#include "nbd_harness.h"

using namespace martencove::test;

// Guards against a codec that is only consistent with itself: compares with bytes from the specification.
TEST_CASE("codec: encoded messages match the specification") {
    using namespace std::string_literals;
    CHECK(encode(Greeting{3}) == "NBDMAGICIHAVEOPT\0\3"s);
    CHECK(encode(OptionMessage{Option::go, "x"}) == "IHAVEOPT\0\0\0\7\0\0\0\1x"s);
    CHECK(encode(OptionReplyMessage{Option::list, OptionReplyType::unknown, ""}) ==
          "\0\3\xe8\x89\x04\x55\x65\xa9\0\0\0\3\x80\0\0\6\0\0\0\0"s);
    CHECK(encode(readCommand(7, 512, 16)) ==
          "\x25\x60\x95\x13\0\0\0\0\0\0\0\0\0\0\0\7\0\0\0\0\0\0\2\0\0\0\0\x10"s);
    CHECK(encode(SimpleReply{Error::io, 7}) == "\x67\x44\x66\x98\0\0\0\5\0\0\0\0\0\0\0\7"s);
    CHECK(encode(ChunkMessage{kReplyFlagDone, ChunkType::error, 7, encodeError({Error::noMemory, "no"})}) ==
          "\x66\x8e\x33\xef\0\1\x80\1\0\0\0\0\0\0\0\7\0\0\0\x8\0\0\0\xc\0\2no"s);
}

TEST_CASE("ReadAssembler accepts each byte once, in any order, and rejects other chunks") {
    const auto data = [](std::uint64_t offset, const std::string& text) {
        return ChunkMessage{0, ChunkType::data, 1, encodeData(offset, text)};
    };
    ReadAssembler assembler(100, 6, 9);
    CHECK(assembler.add(data(103, "def")));
    CHECK(!assembler.isComplete());
    CHECK(assembler.add(data(100, "abc")));
    CHECK(assembler.isComplete());
    CHECK(assembler.data() == "abcdef");
    CHECK(!assembler.add(data(100, "a")));                                                // duplicate
    CHECK(!ReadAssembler(100, 6, 9).add(data(99, "ab")));                                 // before the read
    CHECK(!ReadAssembler(100, 6, 9).add(data(104, "abc")));                               // past its end
    CHECK(!ReadAssembler(100, 6, 9).add({0, ChunkType::hole, 1, encodeHole(~0ull, 2)}));  // far past its end
    CHECK(!ReadAssembler(100, 6, 0).add(data(100, "a")));                                 // too many chunks
    CHECK(!ReadAssembler(100, 6, 9).add({0, static_cast<ChunkType>(77), 1, ""}));
}

TEST_CASE("handshake: LIST, INFO, unknown names and options, ABORT, EXPORT_NAME") {
    NbdHarness harness;
    TestConnection& connection = harness.connectClient();
    CHECK(harness.sendOption(connection, Option::list).data == encodeListEntry("disk"));
    CHECK(harness.readOptionReply(connection).data == encodeListEntry("capped"));
    CHECK(harness.readOptionReply(connection).data == encodeListEntry("nowhere"));
    CHECK(harness.readOptionReply(connection).data == encodeListEntry("at once"));
    CHECK(harness.readOptionReply(connection).type == OptionReplyType::ack);
    CHECK(harness.sendOption(connection, Option::info, encode(InfoRequest{"none", {}})).type ==
          OptionReplyType::unknown);
    CHECK(harness.sendOption(connection, Option::go, "short").type == OptionReplyType::invalid);
    CHECK(harness.sendOption(connection, static_cast<Option>(5)).type == OptionReplyType::unsupported);
    const OptionReplyMessage info =
        harness.sendOption(connection, Option::info, encode(InfoRequest{"capped", {}}));
    REQUIRE(decodeExportInfo(info.data));
    CHECK(decodeExportInfo(info.data)->size == kExportBytes);
    CHECK((decodeExportInfo(info.data)->flags & kExportReadOnly) != 0);
    CHECK(harness.readOptionReply(connection).type == OptionReplyType::info);  // block sizes
    CHECK(harness.readOptionReply(connection).type == OptionReplyType::ack);
    CHECK(harness.sendOption(connection, Option::abort).type == OptionReplyType::ack);
    REQUIRE(harness.waitUntil([&] { return connection.closedByPeer; }));

    TestConnection& oldStyleClient = harness.connectClient();
    oldStyleClient.send(encode(OptionMessage{Option::exportName, "disk"}) + encode(readCommand(1, 0, 512)));
    const std::size_t size = encodeExportNameReply({}, false).size() + encode(SimpleReply{}).size() + 512;
    REQUIRE(harness.waitUntil(
        [&] { return oldStyleClient.received.size() == size; }));  // no structured replies were negotiated
}

TEST_CASE(
    "a read in many chunks is answered in one; a write is forwarded; simple replies without the option") {
    NbdHarness harness;
    TestConnection& connection = harness.openExport();
    const ChunkMessage read = harness.sendCommand(connection, readCommand(7, 1024, 3000));
    REQUIRE(read.type == ChunkType::data);
    std::string expected = patternBytes(1024, 3000);
    expected.replace(1000, 1000, 1000, '\0');
    CHECK(read.payload == encodeData(1024, expected));
    harness.program.waitForNodeReuse();
    CHECK(harness.sendCommand(connection, writeCommand(8, 0, "text")).type == ChunkType::none);
    CHECK(harness.node.commands.back().data == "text");
    CHECK(harness.node.listener.connections.size() == 1);

    TestConnection& simpleReplyClient = harness.openExport("disk", false);
    simpleReplyClient.send(encode(readCommand(9, 0, 3)));
    REQUIRE(harness.waitUntil([&] { return simpleReplyClient.received.size() == 16 + 3; }));
    CHECK(simpleReplyClient.received == encode(SimpleReply{Error::none, 9}) + std::string("a\0c", 3));
}

TEST_CASE("a command for a shard without nodes is refused with a retry time") {
    NbdHarness harness;
    TestConnection& connection = harness.openExport("nowhere");
    const ChunkMessage refused = harness.sendCommand(connection, readCommand(1, 0, 512));
    REQUIRE(refused.type == ChunkType::error);
    CHECK(decodeError(refused.payload)->text == "refused, never ran: come back in 1.000 s");
    CHECK(harness.node.commands.empty());
}

// Guards against a refusal beyond the limit without a retry time, which the HTTP front also sends.
TEST_CASE("a command beyond the limit of open requests is refused with a retry time") {
    NbdHarness harness([](TestConnection&, const CommandMessage&) {}, 1);
    TestConnection& connection = harness.openExport();
    connection.send(encode(readCommand(1, 0, 512)));
    REQUIRE(harness.waitUntil([&] { return harness.node.commands.size() == 1; }));
    const ChunkMessage refused = harness.sendCommand(connection, readCommand(2, 0, 512));
    REQUIRE(refused.type == ChunkType::error);
    CHECK(decodeError(refused.payload)->text == "refused, never ran: come back in 1.000 s");
    CHECK(harness.program.readCounter("request_not_taken") == 1);
}

// Guards against processing a command's bytes twice if it is answered inside the call that submits it. The
// export's deadline is so short that this always happens.
TEST_CASE("commands that are refused immediately are each answered once") {
    NbdHarness harness;
    TestConnection& connection = harness.openExport("at once");
    connection.send(encode(readCommand(1, 0, 512)) + encode(readCommand(2, 0, 512)) +
                    encode(readCommand(3, 0, 512)));
    for (const std::uint64_t cookie : {1, 2, 3}) {
        const ChunkMessage refused = harness.readReply(connection);
        CHECK(refused.type == ChunkType::error);
        CHECK(refused.cookie == cookie);
    }
    CHECK(harness.program.readCounter("request_taken") == 3);
}

// The plan's limit is a burst of 4 units and 20 units per second, for NBD as for HTTP. 8 commands of 2 units
// need more than half a second.
TEST_CASE("a plan's limit applies to NBD, and commands that it does not admit in time are refused") {
    NbdHarness harness;
    TestConnection& connection = harness.openExport("capped");
    for (std::uint64_t i = 0; i < 40; ++i) connection.send(encode(readCommand(i, 0, 1024)));
    int refused = 0;
    for (int i = 0; i < 40; ++i) refused += harness.readReply(connection).type == ChunkType::error;
    CHECK(refused > 0);
    CHECK(harness.node.commands.size() + refused == 40);
}

// NBD has no key by which a node could recognize a repeated write.
TEST_CASE("a write that may have run is not sent again; a read is") {
    bool connectionClosed = false;
    NbdHarness harness([&](TestConnection& connection, const CommandMessage& command) {
        if (!std::exchange(connectionClosed, true)) return connection.close();
        replyInChunks(connection, command);
    });
    TestConnection& connection = harness.openExport();
    const ChunkMessage failed = harness.sendCommand(connection, writeCommand(1, 0, "text"));
    REQUIRE(failed.type == ChunkType::error);
    CHECK(decodeError(failed.payload)->error == Error::io);
    CHECK(harness.node.commands.size() == 1);
    connectionClosed = false;
    CHECK(harness.sendCommand(connection, readCommand(2, 0, 512)).type == ChunkType::data);
    CHECK(harness.node.commands.size() == 3);
}

TEST_CASE("a node's error chunk and a chunk outside the read each fail the attempt") {
    int commandNumber = 0;
    NbdHarness harness([&](TestConnection& connection, const CommandMessage& command) {
        if (++commandNumber == 1)
            return sendChunk(connection, command, ChunkType::error, encodeError({Error::io, "disk"}), true);
        if (commandNumber == 2)
            return sendChunk(connection, command, ChunkType::data,
                             encodeData(command.offset + command.length, "x"), true);
        replyInChunks(connection, command);
    });
    CHECK(harness.sendCommand(harness.openExport(), readCommand(1, 0, 512)).type == ChunkType::data);
    CHECK(harness.program.readCounter("attempt_error") == 1);
    CHECK(harness.program.readCounter("nbd_node_bad") == 1);
    CHECK(harness.program.readCounter("attempt_spoilt") == 1);
}

// Guards against answering a later command with bytes that followed an earlier one's reply.
TEST_CASE("extra bytes after a node's reply: the reply is valid, and the connection is not reused") {
    NbdHarness harness([&](TestConnection& connection, const CommandMessage& command) {
        replyInChunks(connection, command);
        connection.send("more");
    });
    TestConnection& connection = harness.openExport();
    CHECK(harness.sendCommand(connection, readCommand(1, 0, 512)).type == ChunkType::data);
    harness.program.waitForNodeReuse();
    CHECK(harness.sendCommand(connection, readCommand(2, 0, 512)).type == ChunkType::data);
    CHECK(harness.node.listener.connections.size() == 2);
    CHECK(harness.program.readCounter("attempt_served") == 2);
}

// The client disconnects while the node has sent only some chunks of the reply.
TEST_CASE("a client that disconnects mid-reply: its attempt is cancelled and nothing is answered twice") {
    TestConnection* halfAnswered = nullptr;
    NbdHarness harness([&](TestConnection& connection, const CommandMessage& command) {
        if (halfAnswered != nullptr) return replyInChunks(connection, command);
        halfAnswered = &connection;
        sendChunk(connection, command, ChunkType::data,
                  encodeData(command.offset, patternBytes(command.offset, 512)));
    });
    TestConnection& connection = harness.openExport();
    connection.send(encode(readCommand(1, 0, 4096)));
    REQUIRE(harness.waitUntil([&] { return halfAnswered != nullptr; }));
    connection.close();
    REQUIRE(harness.waitUntil([&] { return halfAnswered->closedByPeer; }));
    CHECK(harness.sendCommand(harness.openExport(), readCommand(2, 0, 512)).type == ChunkType::data);
    CHECK(harness.program.readCounter("request_taken") == 2);
    CHECK(harness.program.readCounter("client_gone") == 1);
    CHECK(harness.program.readCounter("answer_served") == 1);
    CHECK(harness.program.readCounter("answer_failed") + harness.program.readCounter("answer_refused") == 0);
}

// A node that shuts down during the handshake has run nothing, so even a write is retried.
TEST_CASE("a node that shuts down during the handshake has not run the command") {
    NbdHarness harness;
    harness.node.shutdownReplies = 1;
    CHECK(harness.sendCommand(harness.openExport(), writeCommand(1, 0, "text")).type == ChunkType::none);
    CHECK(harness.node.commands.size() == 1);
    CHECK(harness.program.readCounter("attempt_turned_away") == 1);
}

TEST_CASE("shutdown: handshakes get a shutdown error, commands in flight are finished, exit code 0") {
    TestConnection* heldConnection = nullptr;
    CommandMessage heldCommand;
    NbdHarness harness([&](TestConnection& connection, const CommandMessage& command) {
        heldConnection = &connection;
        heldCommand = command;
    });
    TestConnection& connection = harness.openExport();
    TestConnection& handshakingClient = harness.connectClient();
    connection.send(encode(readCommand(1, 0, 512)));
    REQUIRE(harness.waitUntil([&] { return heldConnection != nullptr; }));
    harness.program.sendSignal(SIGTERM);
    REQUIRE(harness.waitUntil([&] {  // until the listener is closed
        TestConnection probe(harness.program.base.get(), harness.program.nbdListenAddress);
        return harness.program.waitUntil([&] { return probe.closedByPeer && probe.received.empty(); }, 50);
    }));
    CHECK(harness.sendOption(handshakingClient, Option::go, encode(InfoRequest{"disk", {}})).type ==
          OptionReplyType::shutdown);
    replyInChunks(*heldConnection, heldCommand);
    CHECK(harness.readReply(connection).type == ChunkType::data);
    CHECK(harness.program.stopAndWait() == 0);
}

TEST_CASE("invalid input from clients gets a defined reply or close, and the program keeps running") {
    NbdHarness harness;
    const auto expectClose = [&](const std::string& bytes) {
        TestConnection& connection = harness.connectClient();
        connection.send(bytes);
        CHECK(harness.waitUntil([&] { return connection.closedByPeer; }));
    };
    expectClose("garbage garbage garbage");
    expectClose("IHAVEOPT\1\1\1\1\xff\xff\xff\xff");
    expectClose(encode(OptionMessage{Option::exportName, "none"}));
    TestConnection& badFlagsClient = harness.program.connect(harness.program.nbdListenAddress);
    badFlagsClient.send("\xff\xff\xff\xff");
    CHECK(harness.waitUntil([&] { return badFlagsClient.closedByPeer; }));

    TestConnection& connection = harness.openExport();
    const auto errorOf = [&](const CommandMessage& command) {
        return decodeError(harness.sendCommand(connection, command).payload)->error;
    };
    CHECK(errorOf(readCommand(1, kExportBytes - 1, 2)) == Error::invalid);
    CHECK(errorOf(readCommand(2, ~0ull, 2)) == Error::invalid);
    CHECK(errorOf(readCommand(3, 0, 0)) == Error::invalid);
    CHECK(errorOf(readCommand(4, 0, 0xffffffff)) == Error::invalid);
    CHECK(errorOf(writeCommand(5, kExportBytes - 1, "xx")) == Error::noSpace);
    CHECK(errorOf({1, Command::read, 6, 0, 1, ""}) == Error::invalid);
    CHECK(errorOf({0, static_cast<Command>(3), 7, 0, 0, ""}) == Error::invalid);
    CHECK(errorOf(writeCommand(8, 0, std::string(70000, 'x'))) == Error::invalid);
    CHECK(harness.waitUntil([&] { return connection.closedByPeer; }));
    CHECK(harness.node.commands.empty());
    CHECK(harness.sendCommand(harness.openExport(), readCommand(1, 0, 512)).type == ChunkType::data);
}

TEST_CASE(
    "an invalid value in the operator's file: one line that names the field, and the program does not "
    "start") {
    NbdHarness harness;
    const auto expectRejected = [&](const std::string& field, const std::function<void(Json&)>& change) {
        Json nbd = harness.program.nbdSection;
        change(nbd);
        const auto [code, text] = runUntilExit(harness.program.config, nbd);
        CHECK(code == 1);
        CHECK_MESSAGE(text.find("/operator.textproto:") != text.npos, text);  // with line and column
        CHECK_MESSAGE(text.find(": " + field + ": ") != text.npos, text);
    };
    expectRejected("listen", [](Json& section) { section["listen"] = "x"; });
    expectRejected("unit_bytes", [](Json& section) { section["unit_bytes"] = 0; });
    expectRejected("read_class", [](Json& section) { section["exports"][0]["read_class"] = "x"; });
    expectRejected("plan", [](Json& section) { section["exports"][0]["plan"] = "x"; });
    expectRejected("name", [](Json& section) { section["exports"][1]["name"] = "disk"; });
    expectRejected("nodes", [](Json& section) { section["nodes"]["s-1"] = "x"; });
}
