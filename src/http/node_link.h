// Requests to storage nodes over HTTP/1.1.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http/answer.h"
#include "net/link_pool.h"

namespace martencove {

struct NodeRequest {
    bool write = false;
    std::string uri;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};
[[nodiscard]] std::string encode(const NodeRequest& request, const Address& node);

class NodeLink final : public Link {
public:
    using Work = NodeRequest;
    static constexpr const char* kOpened = "node_connection_opened";

    NodeLink(event_base* base, const Address& node, const NodeRequest&, const Limits& limits,
             Counters& counters)
        : Link(base, node, limits, counters) {}

    ~NodeLink() override { hold(0); }

    [[nodiscard]] bool fits(const Address& to, const NodeRequest&) const { return node() == to; }
    void start(const NodeRequest& request, double timeoutMs, Over over);

private:
    void arrived(std::string_view& in) override;

    void hold(std::size_t bytes);

    std::optional<AnswerReader> reader_;  // of the present request
    std::size_t held_ = 0;                // of its answer, as counted
};

using NodePool = LinkPool<NodeLink>;

}  // namespace martencove
