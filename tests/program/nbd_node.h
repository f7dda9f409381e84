// A stand-in storage node that speaks NBD, for tests.
#pragma once

#include "nbd/codec.h"
#include "program_harness.h"

namespace martencove::test {

using namespace martencove::nbd;

inline constexpr std::size_t kMost = 1 << 20;
inline constexpr std::uint64_t kSize = 1 << 20;

/// Takes one message off the front of what has come.
template <typename Message, typename... More>
bool takeFrom(std::string& text, Message& out, More... more) {
    std::string_view in = text;
    const bool whole = decode(in, out, more...) == DecodeResult::complete;
    text.erase(0, text.size() - in.size());
    return whole;
}

/// A stand-in node: fixed newstyle and structured replies; `serve` gets each command.
struct NbdNode {
    using Serve = std::function<void(TestConnection&, const CommandMessage&)>;
    NbdNode(event_base* base, Serve s)
        : serve(std::move(s)), listener(base, [this](TestConnection& wire) { read(wire); }) {}

    void read(TestConnection& wire) {
        if (!greeted.contains(&wire)) return;
        if (!flagged.contains(&wire)) {
            if (wire.received.size() < 4) return;
            wire.received.erase(0, 4);
            flagged.insert(&wire);
        }
        OptionMessage option;
        while (!ready.contains(&wire) && takeFrom(wire.received, option, kMost)) {
            if (option.option == Option::go && draining) {
                --draining;
                wire.send(encode(OptionReplyMessage{Option::go, OptionReplyType::shutdown, ""}));
                continue;
            }
            if (option.option == Option::go) {
                wire.send(encode(OptionReplyMessage{Option::go, OptionReplyType::info,
                                                    encodeExportInfo({kSize, kExportHasFlags})}));
                ready.insert(&wire);
            }
            wire.send(encode(OptionReplyMessage{option.option, OptionReplyType::ack, ""}));
        }
        CommandMessage command;
        while (ready.contains(&wire) && takeFrom(wire.received, command, kMost)) {
            commands.push_back(command);
            serve(wire, command);
        }
    }
    /// The server speaks first.
    void greet() {
        for (TestConnection& wire : listener.connections) {
            if (!greeted.insert(&wire).second) continue;
            wire.send(encode(Greeting{kFixedNewstyle | kNoZeroes}));
        }
    }

    Serve serve;
    int draining = 0;  ///< so many handshakes are told of the shutdown
    std::vector<CommandMessage> commands;
    std::set<TestConnection*> greeted, flagged, ready;
    TestServer listener;
};

inline void chunk(TestConnection& wire, const CommandMessage& c, ChunkType type, const std::string& payload,
                  bool done = false) {
    wire.send(encode(ChunkMessage{done ? kReplyFlagDone : std::uint16_t{0}, type, c.cookie, payload}));
}
inline std::string pattern(std::uint64_t offset, std::size_t length) {
    std::string out(length, '\0');
    for (std::size_t i = 0; i < length; ++i) out[i] = static_cast<char>('a' + (offset + i) % 23);
    return out;
}
/// A read in three chunks out of order, one a hole; a write at once.
inline void inChunks(TestConnection& wire, const CommandMessage& c) {
    if (c.command == Command::write) return chunk(wire, c, ChunkType::none, "", true);
    const std::uint32_t third = c.length / 3;
    chunk(wire, c, ChunkType::data,
          encodeData(c.offset + 2 * third, pattern(c.offset + 2 * third, c.length - 2 * third)));
    chunk(wire, c, ChunkType::hole, encodeHole(c.offset + third, third));
    chunk(wire, c, ChunkType::data, encodeData(c.offset, pattern(c.offset, third)), true);
}

}  // namespace martencove::test
