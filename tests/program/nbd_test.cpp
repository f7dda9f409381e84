// The NBD front: the program between NBD clients and stand-in nodes that speak NBD.
#include <doctest/doctest.h>

#include "nbd_site.h"

using namespace martencove::test;

// Guards against a codec that only agrees with itself: bytes as the specification has them.
TEST_CASE("the codec's bytes are the specification's") {
    using namespace std::string_literals;
    CHECK(encode(Greeting{3}) == "NBDMAGICIHAVEOPT\0\3"s);
    CHECK(encode(OptionMessage{Option::go, "x"}) == "IHAVEOPT\0\0\0\7\0\0\0\1x"s);
    CHECK(encode(OptionReplyMessage{Option::list, OptionReplyType::unknown, ""}) ==
          "\0\3\xe8\x89\x04\x55\x65\xa9\0\0\0\3\x80\0\0\6\0\0\0\0"s);
    CHECK(encode(readOf(7, 512, 16)) ==
          "\x25\x60\x95\x13\0\0\0\0\0\0\0\0\0\0\0\7\0\0\0\0\0\0\2\0\0\0\0\x10"s);
    CHECK(encode(SimpleReply{Error::io, 7}) == "\x67\x44\x66\x98\0\0\0\5\0\0\0\0\0\0\0\7"s);
    CHECK(encode(ChunkMessage{kReplyFlagDone, ChunkType::error, 7, encodeError({Error::noMemory, "no"})}) ==
          "\x66\x8e\x33\xef\0\1\x80\1\0\0\0\0\0\0\0\7\0\0\0\x8\0\0\0\xc\0\2no"s);
}

TEST_CASE("chunks are put together once, in any order, and nothing else") {
    const auto data = [](std::uint64_t at, const std::string& text) {
        return ChunkMessage{0, ChunkType::data, 1, encodeData(at, text)};
    };
    ReadAssembler good(100, 6, 9);
    CHECK(good.add(data(103, "def")));
    CHECK(!good.isComplete());
    CHECK(good.add(data(100, "abc")));
    CHECK(good.isComplete());
    CHECK(good.data() == "abcdef");
    CHECK(!good.add(data(100, "a")));                                                     // twice
    CHECK(!ReadAssembler(100, 6, 9).add(data(99, "ab")));                                 // before
    CHECK(!ReadAssembler(100, 6, 9).add(data(104, "abc")));                               // beyond
    CHECK(!ReadAssembler(100, 6, 9).add({0, ChunkType::hole, 1, encodeHole(~0ull, 2)}));  // far beyond
    CHECK(!ReadAssembler(100, 6, 0).add(data(100, "a")));                                 // one too many
    CHECK(!ReadAssembler(100, 6, 9).add({0, static_cast<ChunkType>(77), 1, ""}));
}

TEST_CASE("handshake: LIST, INFO, unknown names and options, ABORT, EXPORT_NAME") {
    NbdSite t;
    TestConnection& wire = t.client();
    CHECK(t.option(wire, Option::list).data == encodeListEntry("disk"));
    CHECK(t.next(wire).data == encodeListEntry("capped"));
    CHECK(t.next(wire).data == encodeListEntry("nowhere"));
    CHECK(t.next(wire).data == encodeListEntry("at once"));
    CHECK(t.next(wire).type == OptionReplyType::ack);
    CHECK(t.option(wire, Option::info, encode(InfoRequest{"none", {}})).type == OptionReplyType::unknown);
    CHECK(t.option(wire, Option::go, "short").type == OptionReplyType::invalid);
    CHECK(t.option(wire, static_cast<Option>(5)).type == OptionReplyType::unsupported);
    const OptionReplyMessage info = t.option(wire, Option::info, encode(InfoRequest{"capped", {}}));
    REQUIRE(decodeExportInfo(info.data));
    CHECK(decodeExportInfo(info.data)->size == kSize);
    CHECK((decodeExportInfo(info.data)->flags & kExportReadOnly) != 0);
    CHECK(t.next(wire).type == OptionReplyType::info);  // block sizes
    CHECK(t.next(wire).type == OptionReplyType::ack);
    CHECK(t.option(wire, Option::abort).type == OptionReplyType::ack);
    REQUIRE(t.until([&] { return wire.closedByPeer; }));

    TestConnection& old = t.client();
    old.send(encode(OptionMessage{Option::exportName, "disk"}) + encode(readOf(1, 0, 512)));
    const std::size_t size = encodeExportNameReply({}, false).size() + encode(SimpleReply{}).size() + 512;
    REQUIRE(t.until([&] { return old.received.size() == size; }));  // no structured replies were agreed on
}

TEST_CASE("a read in many chunks is answered by one; a write passes on; simple replies without the option") {
    NbdSite t;
    TestConnection& wire = t.ready();
    const ChunkMessage read = t.ask(wire, readOf(7, 1024, 3000));
    REQUIRE(read.type == ChunkType::data);
    std::string expected = pattern(1024, 3000);
    expected.replace(1000, 1000, 1000, '\0');
    CHECK(read.payload == encodeData(1024, expected));
    t.world.waitForNodeReuse();
    CHECK(t.ask(wire, writeOf(8, 0, "text")).type == ChunkType::none);
    CHECK(t.node.commands.back().data == "text");
    CHECK(t.node.listener.connections.size() == 1);

    TestConnection& simple = t.ready("disk", false);
    simple.send(encode(readOf(9, 0, 3)));
    REQUIRE(t.until([&] { return simple.received.size() == 16 + 3; }));
    CHECK(simple.received == encode(SimpleReply{Error::none, 9}) + std::string("a\0c", 3));
}

TEST_CASE("a refusal says when to come back; a node without the shard is one") {
    NbdSite t;
    TestConnection& wire = t.ready("nowhere");
    const ChunkMessage refused = t.ask(wire, readOf(1, 0, 512));
    REQUIRE(refused.type == ChunkType::error);
    CHECK(decodeError(refused.payload)->text == "refused, never ran: come back in 1.000 s");
    CHECK(t.node.commands.empty());
}

// Guards against turning a command away beyond the bound without a word of when to come back, as HTTP says
// it.
TEST_CASE("beyond the bound on open requests a command is refused and told when to come back") {
    NbdSite t([](TestConnection&, const CommandMessage&) {}, 1);
    TestConnection& wire = t.ready();
    wire.send(encode(readOf(1, 0, 512)));
    REQUIRE(t.until([&] { return t.node.commands.size() == 1; }));
    const ChunkMessage refused = t.ask(wire, readOf(2, 0, 512));
    REQUIRE(refused.type == ChunkType::error);
    CHECK(decodeError(refused.payload)->text == "refused, never ran: come back in 1.000 s");
    CHECK(t.world.readCounter("request_not_taken") == 1);
}

// Guards against taking a command's bytes twice where its answer comes within the call that takes it: such a
// short deadline is over at once.
TEST_CASE("commands that are refused at once are each answered once") {
    NbdSite t;
    TestConnection& wire = t.ready("at once");
    wire.send(encode(readOf(1, 0, 512)) + encode(readOf(2, 0, 512)) + encode(readOf(3, 0, 512)));
    for (const std::uint64_t cookie : {1, 2, 3}) {
        const ChunkMessage refused = t.reply(wire);
        CHECK(refused.type == ChunkType::error);
        CHECK(refused.cookie == cookie);
    }
    CHECK(t.world.readCounter("request_taken") == 3);
}

// The plan's limit holds on this front as on the other: 4 units at once, 20 a second; 8 commands of 2 units
// take over half a second of it.
TEST_CASE("a plan's limit holds for NBD, and what it does not cover in time is refused") {
    NbdSite t;
    TestConnection& wire = t.ready("capped");
    for (std::uint64_t i = 0; i < 40; ++i) wire.send(encode(readOf(i, 0, 1024)));
    int refused = 0;
    for (int i = 0; i < 40; ++i) refused += t.reply(wire).type == ChunkType::error;
    CHECK(refused > 0);
    CHECK(t.node.commands.size() + refused == 40);
}

// NBD has no key by which a node could drop a repeat.
TEST_CASE("a write that may have run is not sent again; a read is") {
    bool broken = false;
    NbdSite t([&](TestConnection& wire, const CommandMessage& c) {
        if (!std::exchange(broken, true)) return wire.close();
        inChunks(wire, c);
    });
    TestConnection& wire = t.ready();
    const ChunkMessage failed = t.ask(wire, writeOf(1, 0, "text"));
    REQUIRE(failed.type == ChunkType::error);
    CHECK(decodeError(failed.payload)->error == Error::io);
    CHECK(t.node.commands.size() == 1);
    broken = false;
    CHECK(t.ask(wire, readOf(2, 0, 512)).type == ChunkType::data);
    CHECK(t.node.commands.size() == 3);
}

TEST_CASE("a node's error chunk, and one that answers out of place") {
    int turn = 0;
    NbdSite t([&](TestConnection& wire, const CommandMessage& c) {
        if (++turn == 1) return chunk(wire, c, ChunkType::error, encodeError({Error::io, "disk"}), true);
        if (turn == 2) return chunk(wire, c, ChunkType::data, encodeData(c.offset + c.length, "x"), true);
        inChunks(wire, c);
    });
    CHECK(t.ask(t.ready(), readOf(1, 0, 512)).type == ChunkType::data);
    CHECK(t.world.readCounter("attempt_error") == 1);
    CHECK(t.world.readCounter("nbd_node_bad") == 1);
    CHECK(t.world.readCounter("attempt_spoilt") == 1);
}

// Guards against a later command being answered with what came behind an earlier one's reply.
TEST_CASE("bytes behind a node's reply: it stands, and the connection is not used again") {
    NbdSite t([&](TestConnection& wire, const CommandMessage& c) {
        inChunks(wire, c);
        wire.send("more");
    });
    TestConnection& wire = t.ready();
    CHECK(t.ask(wire, readOf(1, 0, 512)).type == ChunkType::data);
    t.world.waitForNodeReuse();
    CHECK(t.ask(wire, readOf(2, 0, 512)).type == ChunkType::data);
    CHECK(t.node.listener.connections.size() == 2);
    CHECK(t.world.readCounter("attempt_served") == 2);
}

// Hard case: a reply of many chunks when the client gives up halfway.
TEST_CASE("a client that leaves mid-reply: its attempt is called off and nothing is answered twice") {
    TestConnection* half = nullptr;
    NbdSite t([&](TestConnection& wire, const CommandMessage& c) {
        if (half != nullptr) return inChunks(wire, c);
        half = &wire;
        chunk(wire, c, ChunkType::data, encodeData(c.offset, pattern(c.offset, 512)));
    });
    TestConnection& wire = t.ready();
    wire.send(encode(readOf(1, 0, 4096)));
    REQUIRE(t.until([&] { return half != nullptr; }));
    wire.close();
    REQUIRE(t.until([&] { return half->closedByPeer; }));
    CHECK(t.ask(t.ready(), readOf(2, 0, 512)).type == ChunkType::data);
    CHECK(t.world.readCounter("request_taken") == 2);
    CHECK(t.world.readCounter("client_gone") == 1);
    CHECK(t.world.readCounter("answer_served") == 1);
    CHECK(t.world.readCounter("answer_failed") + t.world.readCounter("answer_refused") == 0);
}

// Hard case: a server that drains during a handshake. Nothing has run: even a write goes out again.
TEST_CASE("a node that drains during the handshake never ran the command") {
    NbdSite t;
    t.node.draining = 1;
    CHECK(t.ask(t.ready(), writeOf(1, 0, "text")).type == ChunkType::none);
    CHECK(t.node.commands.size() == 1);
    CHECK(t.world.readCounter("attempt_turned_away") == 1);
}

TEST_CASE("the program drains: handshakes are told, commands in work are finished, exit 0") {
    TestConnection* held = nullptr;
    CommandMessage command;
    NbdSite t([&](TestConnection& wire, const CommandMessage& c) {
        held = &wire;
        command = c;
    });
    TestConnection& wire = t.ready();
    TestConnection& shaking = t.client();
    wire.send(encode(readOf(1, 0, 512)));
    REQUIRE(t.until([&] { return held != nullptr; }));
    t.world.sendSignal(SIGTERM);
    REQUIRE(t.until([&] {  // until the listener is closed
        TestConnection probe(t.world.base.get(), t.world.nbdListenAddress);
        return t.world.waitUntil([&] { return probe.closedByPeer && probe.received.empty(); }, 50);
    }));
    CHECK(t.option(shaking, Option::go, encode(InfoRequest{"disk", {}})).type == OptionReplyType::shutdown);
    inChunks(*held, command);
    CHECK(t.reply(wire).type == ChunkType::data);
    CHECK(t.world.stopAndWait() == 0);
}

TEST_CASE("hostile clients: a defined answer or close, and the program stands") {
    NbdSite t;
    const auto closes = [&](const std::string& bytes) {
        TestConnection& wire = t.client();
        wire.send(bytes);
        CHECK(t.until([&] { return wire.closedByPeer; }));
    };
    closes("garbage garbage garbage");
    closes("IHAVEOPT\1\1\1\1\xff\xff\xff\xff");
    closes(encode(OptionMessage{Option::exportName, "none"}));
    TestConnection& flags = t.world.connect(t.world.nbdListenAddress);
    flags.send("\xff\xff\xff\xff");
    CHECK(t.until([&] { return flags.closedByPeer; }));

    TestConnection& wire = t.ready();
    const auto errorOf = [&](const CommandMessage& c) { return decodeError(t.ask(wire, c).payload)->error; };
    CHECK(errorOf(readOf(1, kSize - 1, 2)) == Error::invalid);
    CHECK(errorOf(readOf(2, ~0ull, 2)) == Error::invalid);
    CHECK(errorOf(readOf(3, 0, 0)) == Error::invalid);
    CHECK(errorOf(readOf(4, 0, 0xffffffff)) == Error::invalid);
    CHECK(errorOf(writeOf(5, kSize - 1, "xx")) == Error::noSpace);
    CHECK(errorOf({1, Command::read, 6, 0, 1, ""}) == Error::invalid);
    CHECK(errorOf({0, static_cast<Command>(3), 7, 0, 0, ""}) == Error::invalid);
    CHECK(errorOf(writeOf(8, 0, std::string(70000, 'x'))) == Error::invalid);
    CHECK(t.until([&] { return wire.closedByPeer; }));
    CHECK(t.node.commands.empty());
    CHECK(t.ask(t.ready(), readOf(1, 0, 512)).type == ChunkType::data);
}

TEST_CASE("a bad value in the operator's file: one line that names the field, and no start") {
    NbdSite t;
    const auto refused = [&](const std::string& field, const std::function<void(Json&)>& spoil) {
        Json nbd = t.world.nbdSection;
        spoil(nbd);
        const auto [code, text] = runUntilExit(t.world.config, nbd);
        CHECK(code == 1);
        CHECK_MESSAGE(text.find("/operator.textproto:") != text.npos, text);  // with line and column
        CHECK_MESSAGE(text.find(": " + field + ": ") != text.npos, text);
    };
    refused("listen", [](Json& n) { n["listen"] = "x"; });
    refused("unit_bytes", [](Json& n) { n["unit_bytes"] = 0; });
    refused("read_class", [](Json& n) { n["exports"][0]["read_class"] = "x"; });
    refused("plan", [](Json& n) { n["exports"][0]["plan"] = "x"; });
    refused("name", [](Json& n) { n["exports"][1]["name"] = "disk"; });
    refused("nodes", [](Json& n) { n["nodes"]["s-1"] = "x"; });
}
