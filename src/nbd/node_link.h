// Commands to storage nodes that speak NBD.
#pragma once

#include <optional>
#include <string>

#include "nbd/codec.h"
#include "net/link_pool.h"

namespace martencove::nbd {

struct Work {
    std::string exportName;
    bool write = false;
    std::uint64_t offset = 0;
    std::uint32_t length = 0;
    std::string data;  ///< of a write
};

/// A connection to a node's export: its handshake, then one command at a time.
class NodeLink final : public Link {
public:
    using Work = nbd::Work;
    static constexpr const char* kOpened = "nbd_node_connection_opened";
    static constexpr bool kDialsWithoutWork = false;  // its handshake is part of the first one's

    NodeLink(event_base* base, const Address& node, const Work& work, const Limits& limits,
             Counters& counters)
        : Link(base, node, limits, counters), export_(work.exportName) {}

    [[nodiscard]] bool fits(const Address& to, const Work& work) const {
        return node() == to && export_ == work.exportName;
    }
    void start(const Work& work, const AttemptTimes& times, Over over);

private:
    enum class State { greeting, structured, go, ready };

    void arrived(std::string_view& in) override;
    Got step(std::string_view& in);
    Got greeted(std::string_view& in);
    Got negotiated(std::string_view& in);
    Got replied(std::string_view& in);
    Got simple(std::string_view& in);
    Got chunked(std::string_view& in);
    void command();
    void end(Ending ending);
    Ending endingOf(Error error) const;

    std::string export_;
    State state_ = State::greeting;
    bool structured_ = false;
    std::uint64_t size_ = 0;
    std::uint64_t cookie_ = 0;
    Work work_;
    std::optional<Assembly> assembly_;
    bool ended_ = false;
};

using Pool = LinkPool<NodeLink>;

}  // namespace martencove::nbd
