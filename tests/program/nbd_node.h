// A stand-in storage node that speaks NBD, for tests.
#pragma once

#include "nbd/codec.h"
#include "world.h"

namespace martencove::test {

using namespace martencove::nbd;

inline constexpr std::size_t kMost = 1 << 20;
inline constexpr std::uint64_t kSize = 1 << 20;

/// Takes one message off the front of what has come.
template <typename Message, typename... More>
bool takeFrom(std::string& text, Message& out, More... more) {
    std::string_view in = text;
    const bool whole = take(in, out, more...) == Got::whole;
    text.erase(0, text.size() - in.size());
    return whole;
}

/// A stand-in node: fixed newstyle and structured replies; `serve` gets each command.
struct NbdNode {
    using Serve = std::function<void(Wire&, const CommandMessage&)>;
    NbdNode(event_base* base, Serve s)
        : serve(std::move(s)), listener(base, [this](Wire& wire) { read(wire); }) {}

    void read(Wire& wire) {
        if (!greeted.contains(&wire)) return;
        if (!flagged.contains(&wire)) {
            if (wire.got.size() < 4) return;
            wire.got.erase(0, 4);
            flagged.insert(&wire);
        }
        OptionMessage option;
        while (!ready.contains(&wire) && takeFrom(wire.got, option, kMost)) {
            if (option.option == Option::go && draining) {
                --draining;
                wire.send(encode(OptionAnswer{Option::go, OptionReply::shutdown, ""}));
                continue;
            }
            if (option.option == Option::go) {
                wire.send(
                    encode(OptionAnswer{Option::go, OptionReply::info, encodeExport({kSize, kHasFlags})}));
                ready.insert(&wire);
            }
            wire.send(encode(OptionAnswer{option.option, OptionReply::ack, ""}));
        }
        CommandMessage command;
        while (ready.contains(&wire) && takeFrom(wire.got, command, kMost)) {
            commands.push_back(command);
            serve(wire, command);
        }
    }
    /// The server speaks first.
    void greet() {
        for (Wire& wire : listener.wires) {
            if (!greeted.insert(&wire).second) continue;
            wire.send(encode(Greeting{kFixedNewstyle | kNoZeroes}));
        }
    }

    Serve serve;
    int draining = 0;  ///< so many handshakes are told of the shutdown
    std::vector<CommandMessage> commands;
    std::set<Wire*> greeted, flagged, ready;
    Listener listener;
};

inline void chunk(Wire& wire, const CommandMessage& c, Chunk type, const std::string& payload,
                  bool done = false) {
    wire.send(encode(ChunkMessage{done ? kDone : std::uint16_t{0}, type, c.cookie, payload}));
}
inline std::string pattern(std::uint64_t offset, std::size_t length) {
    std::string out(length, '\0');
    for (std::size_t i = 0; i < length; ++i) out[i] = static_cast<char>('a' + (offset + i) % 23);
    return out;
}
/// A read in three chunks out of order, one a hole; a write at once.
inline void inChunks(Wire& wire, const CommandMessage& c) {
    if (c.command == Command::write) return chunk(wire, c, Chunk::none, "", true);
    const std::uint32_t third = c.length / 3;
    chunk(wire, c, Chunk::data,
          encodeData(c.offset + 2 * third, pattern(c.offset + 2 * third, c.length - 2 * third)));
    chunk(wire, c, Chunk::hole, encodeHole(c.offset + third, third));
    chunk(wire, c, Chunk::data, encodeData(c.offset, pattern(c.offset, third)), true);
}

}  // namespace martencove::test
