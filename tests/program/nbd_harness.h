// Runs the program between NBD clients and a stub NBD node, for tests.
#pragma once

#include <doctest/doctest.h>

#include <algorithm>

#include "nbd_node.h"

namespace martencove::test {

/// The program with one NBD node for shard 5 and four exports: "disk", "capped" by its plan, "nowhere" on a
/// shard without nodes, and "at once" with a read deadline that is over immediately.
struct NbdHarness {
    explicit NbdHarness(StubNbdNode::Handler handler = replyInChunks, int maxOpenRequests = 1000,
                        int deadlineMs = 3000)
        : node(program.base.get(), std::move(handler)) {
        program.config["settings"]["Limits"]["MaxOpen"] = maxOpenRequests;
        for (Json& requestClass : program.config["settings"]["Classes"])
            requestClass["DeadlineMs"] = std::max(deadlineMs, requestClass["DeadlineMs"].get<int>());
        program.config["known"]["hosts"].push_back(
            program.makeNodeEntry("s-1", node.listener.address, 5, "ready"));
        const Json diskExport{{"name", "disk"},
                              {"bytes", kExportBytes},
                              {"volume", "v"},
                              {"plan", "basic"},
                              {"shard", 5},
                              {"read_class", "read"},
                              {"write_class", "write"},
                              {"read_deadline_ms", deadlineMs},
                              {"write_deadline_ms", deadlineMs}};
        Json cappedExport = diskExport, missingShardExport = diskExport, expiredExport = diskExport;
        cappedExport.update({{"name", "capped"}, {"plan", "capped"}, {"volume", "w"}, {"read_only", true}});
        missingShardExport.update({{"name", "nowhere"}, {"shard", 9}, {"read_deadline_ms", 400}});
        expiredExport.update({{"name", "at once"}, {"read_deadline_ms", 1e-9}});
        program.nbdSection = {{"listen", program.nbdListenAddress.toString()},
                              {"unit_bytes", 512},
                              {"exports", {diskExport, cappedExport, missingShardExport, expiredExport}},
                              {"nodes", {{"s-1", node.listener.address.toString()}}}};
        program.start();
    }
    bool waitUntil(const std::function<bool()>& condition) {
        return program.waitUntil([&] {
            node.sendGreetings();
            return condition();
        });
    }
    /// Connects a client that has received the greeting and sent its flags.
    TestConnection& connectClient() {
        TestConnection& connection = program.connect(program.nbdListenAddress);
        Greeting greeting;
        REQUIRE(waitUntil([&] { return takeMessage(connection.received, greeting); }));
        connection.send(encodeClientFlags(kFixedNewstyle | kNoZeroes));
        return connection;
    }
    OptionReplyMessage sendOption(TestConnection& connection, Option option, const std::string& data = "") {
        connection.send(encode(OptionMessage{option, data}));
        return readOptionReply(connection);
    }
    OptionReplyMessage readOptionReply(TestConnection& connection) {
        OptionReplyMessage reply;
        REQUIRE(waitUntil([&] { return takeMessage(connection.received, reply, kMaxMessageBytes); }));
        return reply;
    }
    /// Connects a client and opens the export `name`, so that commands can be sent.
    TestConnection& openExport(const std::string& name = "disk", bool structuredReplies = true) {
        TestConnection& connection = connectClient();
        if (structuredReplies)
            CHECK(sendOption(connection, Option::structuredReply).type == OptionReplyType::ack);
        OptionReplyMessage reply = sendOption(connection, Option::go, encode(InfoRequest{name, {}}));
        while (reply.type == OptionReplyType::info) reply = readOptionReply(connection);
        CHECK(reply.type == OptionReplyType::ack);
        return connection;
    }
    ChunkMessage readReply(TestConnection& connection) {
        ChunkMessage out;
        REQUIRE(waitUntil([&] { return takeMessage(connection.received, out, kMaxMessageBytes); }));
        CHECK(out.flags == kReplyFlagDone);
        return out;
    }
    ChunkMessage sendCommand(TestConnection& connection, const CommandMessage& command) {
        connection.send(encode(command));
        const ChunkMessage out = readReply(connection);
        CHECK(out.cookie == command.cookie);
        return out;
    }
    ProgramHarness program;
    StubNbdNode node;
};

inline CommandMessage readCommand(std::uint64_t cookie, std::uint64_t offset, std::uint32_t length) {
    return {0, Command::read, cookie, offset, length, ""};
}
inline CommandMessage writeCommand(std::uint64_t cookie, std::uint64_t offset, const std::string& data) {
    return {0, Command::write, cookie, offset, static_cast<std::uint32_t>(data.size()), data};
}

}  // namespace martencove::test
