// Requests to storage nodes over HTTP/1.1, on connections that are kept and used again.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/counters.h"
#include "core/limits.h"
#include "core/values.h"
#include "net/address.h"
#include "net/loop.h"

namespace martencove {

struct NodeRequest {
    bool write = false;
    std::string uri;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};
struct NodeReply {
    Ending ending = Ending::broken;
    std::string contentType;
    std::string body;
};

/// One connection to a node; it carries one request at a time.
class NodeLink;

/// A request on its way. Letting go of it gives it up and closes its connection.
class Exchange {
public:
    Exchange(std::unique_ptr<NodeLink> link, class NodePool& pool);
    ~Exchange();
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

private:
    std::unique_ptr<NodeLink> link_;
    NodePool& pool_;
    friend class NodePool;
};

class NodePool {
public:
    using Done = std::function<void(NodeReply)>;

    NodePool(event_base* base, const Clock& clock, const Limits& limits, Counters& counters);
    ~NodePool();
    NodePool(const NodePool&) = delete;
    NodePool& operator=(const NodePool&) = delete;

    /// `done` is called once, later, unless the exchange is let go first. It may let go of it itself.
    /// Nothing where no more connections are allowed.
    [[nodiscard]] std::unique_ptr<Exchange> send(const Address& node, const NodeRequest& request,
                                                 double timeoutMs, Done done);

private:
    friend class NodeLink;
    friend class Exchange;
    void finish(NodeLink& link, NodeReply reply, bool keep);
    void discard(std::unique_ptr<NodeLink> link);
    void sweep();
    bool makeRoom();

    event_base* base_;
    const Clock& clock_;
    const Limits& limits_;
    Counters& counters_;
    std::map<std::string, std::vector<std::unique_ptr<NodeLink>>> idle_;  // by address, longest idle first
    std::vector<std::unique_ptr<NodeLink>> waste_;  // freed from the loop, never from their own callbacks
    std::size_t links_ = 0;
    Timer sweep_;
    Timer empty_;
};

}  // namespace martencove
