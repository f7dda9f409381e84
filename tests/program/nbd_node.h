// A stub storage node that speaks NBD, for tests.
#pragma once

#include "nbd/codec.h"
#include "program_harness.h"

namespace martencove::test {

using namespace martencove::nbd;

inline constexpr std::size_t kMaxMessageBytes = 1 << 20;
inline constexpr std::uint64_t kExportBytes = 1 << 20;

/// Removes one message from the front of `buffer`. Returns whether a complete one was there.
template <typename Message, typename... More>
bool takeMessage(std::string& buffer, Message& out, More... more) {
    std::string_view in = buffer;
    const bool complete = decode(in, out, more...) == DecodeResult::complete;
    buffer.erase(0, buffer.size() - in.size());
    return complete;
}

/// A stub node with the fixed newstyle handshake and structured replies. Calls `handler` for each command.
struct StubNbdNode {
    using Handler = std::function<void(TestConnection&, const CommandMessage&)>;
    StubNbdNode(event_base* base, Handler commandHandler)
        : handler(std::move(commandHandler)),
          listener(base, [this](TestConnection& connection) { handleInput(connection); }) {}

    void handleInput(TestConnection& connection) {
        if (!greetedConnections.contains(&connection)) return;
        if (!flagsReceived.contains(&connection)) {
            if (connection.received.size() < 4) return;
            connection.received.erase(0, 4);
            flagsReceived.insert(&connection);
        }
        OptionMessage option;
        while (!readyConnections.contains(&connection) &&
               takeMessage(connection.received, option, kMaxMessageBytes)) {
            if (option.option == Option::go && shutdownReplies) {
                --shutdownReplies;
                connection.send(encode(OptionReplyMessage{Option::go, OptionReplyType::shutdown, ""}));
                continue;
            }
            if (option.option == Option::go) {
                connection.send(encode(OptionReplyMessage{
                    Option::go, OptionReplyType::info, encodeExportInfo({kExportBytes, kExportHasFlags})}));
                readyConnections.insert(&connection);
            }
            connection.send(encode(OptionReplyMessage{option.option, OptionReplyType::ack, ""}));
        }
        CommandMessage command;
        while (readyConnections.contains(&connection) &&
               takeMessage(connection.received, command, kMaxMessageBytes)) {
            commands.push_back(command);
            handler(connection, command);
        }
    }
    /// Sends the greeting on new connections: in NBD the server sends first.
    void sendGreetings() {
        for (TestConnection& connection : listener.connections) {
            if (!greetedConnections.insert(&connection).second) continue;
            connection.send(encode(Greeting{kFixedNewstyle | kNoZeroes}));
        }
    }

    Handler handler;
    int shutdownReplies = 0;  ///< number of handshakes still to be answered with "shutdown"
    std::vector<CommandMessage> commands;
    std::set<TestConnection*> greetedConnections, flagsReceived, readyConnections;
    TestServer listener;
};

inline void sendChunk(TestConnection& connection, const CommandMessage& command, ChunkType type,
                      const std::string& payload, bool done = false) {
    connection.send(
        encode(ChunkMessage{done ? kReplyFlagDone : std::uint16_t{0}, type, command.cookie, payload}));
}
inline std::string patternBytes(std::uint64_t offset, std::size_t length) {
    std::string out(length, '\0');
    for (std::size_t i = 0; i < length; ++i) out[i] = static_cast<char>('a' + (offset + i) % 23);
    return out;
}
/// Answers a read in three chunks out of order, one of them a hole, and a write in one chunk.
inline void replyInChunks(TestConnection& connection, const CommandMessage& command) {
    if (command.command == Command::write) return sendChunk(connection, command, ChunkType::none, "", true);
    const std::uint32_t third = command.length / 3;
    sendChunk(connection, command, ChunkType::data,
              encodeData(command.offset + 2 * third,
                         patternBytes(command.offset + 2 * third, command.length - 2 * third)));
    sendChunk(connection, command, ChunkType::hole, encodeHole(command.offset + third, third));
    sendChunk(connection, command, ChunkType::data,
              encodeData(command.offset, patternBytes(command.offset, third)), true);
}

}  // namespace martencove::test
