// The program between NBD clients and a stand-in server that speaks NBD, for tests.
#pragma once

#include <doctest/doctest.h>

#include <algorithm>

#include "nbd_node.h"

namespace martencove::test {

/// A program with one node that speaks NBD, for shard 5, and one export there.
struct NbdSite {
    explicit NbdSite(NbdNode::Serve serve = inChunks, int mostOpen = 1000, int deadlineMs = 3000)
        : node(world.base.get(), std::move(serve)) {
        world.config["settings"]["Limits"]["MaxOpen"] = mostOpen;
        for (Json& one : world.config["settings"]["Classes"])
            one["DeadlineMs"] = std::max(deadlineMs, one["DeadlineMs"].get<int>());
        world.config["known"]["hosts"].push_back(
            world.makeNodeEntry("s-1", node.listener.address, 5, "ready"));
        const Json disk{{"name", "disk"},
                        {"bytes", kSize},
                        {"volume", "v"},
                        {"plan", "basic"},
                        {"shard", 5},
                        {"read_class", "read"},
                        {"write_class", "write"},
                        {"read_deadline_ms", deadlineMs},
                        {"write_deadline_ms", deadlineMs}};
        Json capped = disk, nowhere = disk, atOnce = disk;
        capped.update({{"name", "capped"}, {"plan", "capped"}, {"volume", "w"}, {"read_only", true}});
        nowhere.update({{"name", "nowhere"}, {"shard", 9}, {"read_deadline_ms", 400}});
        atOnce.update({{"name", "at once"}, {"read_deadline_ms", 1e-9}});
        world.nbdSection = {{"listen", world.nbdListenAddress.toString()},
                            {"unit_bytes", 512},
                            {"exports", {disk, capped, nowhere, atOnce}},
                            {"nodes", {{"s-1", node.listener.address.toString()}}}};
        world.start();
    }
    bool until(const std::function<bool()>& holds) {
        return world.waitUntil([&] {
            node.greet();
            return holds();
        });
    }
    /// A client after its greeting.
    TestConnection& client() {
        TestConnection& wire = world.connect(world.nbdListenAddress);
        Greeting greeting;
        REQUIRE(until([&] { return takeFrom(wire.received, greeting); }));
        wire.send(encodeClientFlags(kFixedNewstyle | kNoZeroes));
        return wire;
    }
    OptionReplyMessage option(TestConnection& wire, Option option, const std::string& data = "") {
        wire.send(encode(OptionMessage{option, data}));
        return next(wire);
    }
    OptionReplyMessage next(TestConnection& wire) {
        OptionReplyMessage answer;
        REQUIRE(until([&] { return takeFrom(wire.received, answer, kMost); }));
        return answer;
    }
    /// A client that may send commands.
    TestConnection& ready(const std::string& name = "disk", bool structured = true) {
        TestConnection& wire = client();
        if (structured) CHECK(option(wire, Option::structuredReply).type == OptionReplyType::ack);
        OptionReplyMessage answer = option(wire, Option::go, encode(InfoRequest{name, {}}));
        while (answer.type == OptionReplyType::info) answer = next(wire);
        CHECK(answer.type == OptionReplyType::ack);
        return wire;
    }
    ChunkMessage reply(TestConnection& wire) {
        ChunkMessage out;
        REQUIRE(until([&] { return takeFrom(wire.received, out, kMost); }));
        CHECK(out.flags == kReplyFlagDone);
        return out;
    }
    ChunkMessage ask(TestConnection& wire, const CommandMessage& command) {
        wire.send(encode(command));
        const ChunkMessage out = reply(wire);
        CHECK(out.cookie == command.cookie);
        return out;
    }
    ProgramHarness world;
    NbdNode node;
};

inline CommandMessage readOf(std::uint64_t cookie, std::uint64_t offset, std::uint32_t length) {
    return {0, Command::read, cookie, offset, length, ""};
}
inline CommandMessage writeOf(std::uint64_t cookie, std::uint64_t offset, const std::string& data) {
    return {0, Command::write, cookie, offset, static_cast<std::uint32_t>(data.size()), data};
}

}  // namespace martencove::test
