// Requests to storage nodes over HTTP/1.1.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http/answer.h"
#include "net/link_pool.h"

namespace martencove {

/// Where a long answer goes as it comes. Its end is told as that of any work.
class AnswerSink {
public:
    virtual ~AnswerSink() = default;
    /// A good answer begins; `length`: of its body, nothing where that is not known. False: it is not wanted
    /// any more, and neither link nor sink may be there.
    virtual bool begins(const std::string& contentType, std::optional<std::uint64_t> length) = 0;
    virtual void piece(std::string bytes) = 0;
};

struct NodeRequest {
    AnswerSink* sink = nullptr;  ///< null: the answer is held whole
    bool write = false;
    std::string uri;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};
/// `deadlineMs`: what is left of its time, as the node is told.
[[nodiscard]] std::string encode(const NodeRequest& request, const Address& node, double deadlineMs);

class NodeLink final : public Link {
public:
    using Work = NodeRequest;
    static constexpr const char* kOpened = "node_connection_opened";
    static constexpr bool kDialsWithoutWork = true;

    NodeLink(event_base* base, const Address& node, const NodeRequest&, const Limits& limits,
             Counters& counters)
        : Link(base, node, limits, counters) {}

    ~NodeLink() override { hold(0); }

    [[nodiscard]] bool fits(const Address& to, const NodeRequest&) const { return node() == to; }
    void start(const NodeRequest& request, const AttemptTimes& times, Over over);
    /// The work that waits for it to come up.
    [[nodiscard]] const NodeRequest& waiting() const { return *waiting_; }
    /// Another one that is up does it.
    void passTo(NodeLink& other);

private:
    void cameUp() override;
    void arrived(std::string_view& in) override;
    void closes() override;

    void hold(std::size_t bytes);
    /// Passes on what has come of a long answer. False: this link may be gone.
    [[nodiscard]] bool pass(bool whole);

    std::optional<NodeRequest> waiting_;  // for the connection to come up
    std::optional<AnswerReader> reader_;  // of the present request
    AnswerSink* sink_ = nullptr;          // of it
    bool passing_ = false;                // it has begun
    std::size_t held_ = 0;                // of its answer, as counted
};

using NodePool = LinkPool<NodeLink>;

}  // namespace martencove
