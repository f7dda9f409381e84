// Sends read and write commands to storage nodes over NBD.
#pragma once

#include <optional>
#include <string>

#include "nbd/codec.h"
#include "net/node_connection_pool.h"

namespace martencove::nbd {

struct NodeCommand {
    std::string exportName;
    bool isWrite = false;
    std::uint64_t offset = 0;
    std::uint32_t length = 0;
    std::string data;  ///< the payload of a write
};

/// A connection to an export of a node. Performs the handshake, then sends one command at a time.
class NbdNodeConnection final : public NodeConnection {
public:
    using Work = nbd::NodeCommand;
    static constexpr const char* kOpenedCounter = "nbd_node_connection_opened";
    static constexpr bool kCanPreconnect = false;  // the handshake names the export of the first command

    NbdNodeConnection(event_base* base, const Address& node, const Work& command, const Limits& limits,
                      Counters& counters)
        : NodeConnection(base, node, limits, counters), exportName_(command.exportName) {}

    /// How long after a reply a connection may not be reused, in ms.
    [[nodiscard]] static double reuseDelayMs(const Limits& limits) { return limits.nbdNodeReuseDelayMs; }
    [[nodiscard]] bool matches(const Address& to, const Work& command) const {
        return address() == to && exportName_ == command.exportName;
    }
    void start(const Work& command, const AttemptTimeouts& timeouts, DoneCallback done);

private:
    enum class State { greeting, structuredReply, go, ready };

    void onData(std::string_view& in) override;
    DecodeResult handleMessage(std::string_view& in);
    DecodeResult handleGreeting(std::string_view& in);
    DecodeResult handleOptionReply(std::string_view& in);
    DecodeResult handleReply(std::string_view& in);
    DecodeResult handleSimpleReply(std::string_view& in);
    DecodeResult handleReplyChunk(std::string_view& in);
    void sendCommand();
    void finishCommand(AttemptStatus status);
    AttemptStatus attemptStatus(Error error) const;

    std::string exportName_;
    State state_ = State::greeting;
    bool structuredReplies_ = false;
    std::uint64_t exportSize_ = 0;
    std::uint64_t cookie_ = 0;
    Work command_;
    std::optional<ReadAssembler> readAssembler_;
    bool commandFinished_ = false;
};

using NbdNodeConnectionPool = NodeConnectionPool<NbdNodeConnection>;

}  // namespace martencove::nbd
