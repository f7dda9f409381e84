// Pool of reusable connections to storage nodes, for any wire protocol. A `Wire` is a NodeConnection with a
// type Work, the constants kOpenedCounter and kCanPreconnect, and the functions reuseDelayMs(), matches() and
// start(). With kCanPreconnect it also has pendingRequest() and transferRequest().
//
// A request that finds no idle connection opens one, but uses whichever is available first: its own, one that
// another request has released, or a second one that is opened after a delay, since some connections are
// established late. The connection that it does not use becomes idle once it is established.
//
// After an answer a connection is not reused for Wire::reuseDelayMs(). A node may repeat its answer within
// that time, and over a protocol whose answers do not name their request, the repeated answer would be taken
// for the answer to the next request. Bytes that arrive on an idle connection make it unusable.
#pragma once

#include <algorithm>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "net/node_connection.h"

namespace martencove {

template <typename Wire>
class NodeConnectionPool;

/// A request in flight. Destroying it cancels the request and closes its connection.
template <typename Wire>
class InFlightRequest {
public:
    InFlightRequest(std::unique_ptr<Wire> connection, NodeConnectionPool<Wire>& pool)
        : connection_(std::move(connection)), pool_(pool) {}
    ~InFlightRequest() {
        if (connection_) pool_.cancelRequest(*this);
    }
    InFlightRequest(const InFlightRequest&) = delete;
    InFlightRequest& operator=(const InFlightRequest&) = delete;
    /// Whether a byte of the request has been sent.
    [[nodiscard]] bool hasSentBytes() const { return connection_ && connection_->hasSentBytes(); }
    /// Pauses or resumes reading from the node.
    void setReading(bool enabled) {
        if (connection_) connection_->setReading(enabled);
    }

private:
    friend class NodeConnectionPool<Wire>;
    std::unique_ptr<Wire> connection_;
    NodeConnectionPool<Wire>& pool_;
};

/// Cancels the attempt if no byte of it has been sent. Returns false if it is not in `requests` or has been
/// partly sent.
template <typename Request>
[[nodiscard]] bool eraseIfUnsent(std::map<int, std::unique_ptr<Request>>& requests, int attempt) {
    const auto found = requests.find(attempt);
    if (found == requests.end() || found->second->hasSentBytes()) return false;
    requests.erase(found);
    return true;
}

/// The connections of one wire protocol. Their number is limited, over all nodes.
template <typename Wire>
class NodeConnectionPool {
public:
    using DoneCallback = std::function<void(NodeReply)>;

    NodeConnectionPool(event_base* base, const Clock& clock, const Limits& limits, Counters& counters)
        : base_(base),
          clock_(clock),
          limits_(limits),
          counters_(counters),
          sweepTimer_(base, [this] { sweep(); }),
          reuseTimer_(base,
                      [this] {
                          reuseTimerAtMs_ = kNever;
                          if constexpr (Wire::kCanPreconnect) servePending();
                      }),
          secondConnectTimer_(base,
                              [this] {
                                  if constexpr (Wire::kCanPreconnect) startSecondConnects();
                              }),
          discardTimer_(base, [this] { discarded_.clear(); }) {
        sweepTimer_.start(limits_.sweepIntervalMs);
    }
    NodeConnectionPool(const NodeConnectionPool&) = delete;
    NodeConnectionPool& operator=(const NodeConnectionPool&) = delete;

    /// Sends a request. `done` is called once, from the loop, unless the returned object is destroyed first;
    /// `done` may destroy it itself. Returns null if the limit on connections is reached.
    [[nodiscard]] std::unique_ptr<InFlightRequest<Wire>> send(const Address& node,
                                                              const typename Wire::Work& work,
                                                              const AttemptTimeouts& timeouts,
                                                              DoneCallback done) {
        std::unique_ptr<Wire> connection = takeIdle(node, work);
        const bool isNew = !connection;
        if (isNew) connection = openConnection(node, work);
        if (!connection) return nullptr;
        Wire& started = *connection;
        auto request = std::make_unique<InFlightRequest<Wire>>(std::move(connection), *this);
        started.start(work, timeouts,
                      [this, raw = request.get(), done = std::move(done)](NodeConnection&, NodeReply reply,
                                                                          bool keepAlive) {
                          removePending(*raw);
                          releaseConnection(std::move(raw->connection_), keepAlive);
                          done(std::move(reply));
                      });
        if constexpr (Wire::kCanPreconnect) {
            if (isNew) addPending(*request);
        }
        return request;
    }

private:
    friend class InFlightRequest<Wire>;
    static constexpr double kNever = std::numeric_limits<double>::infinity();
    struct IdleConnection {
        std::unique_ptr<Wire> connection;
        double idleSinceMs = 0;
        double reusableAtMs = 0;
    };
    using IdleIterator = typename std::list<IdleConnection>::iterator;
    struct PendingRequest {
        InFlightRequest<Wire>* request;
        double secondConnectAtMs = 0;  // when a second connection is opened
        bool secondConnectStarted = false;
    };

    // Returns null if the limit on connections is reached.
    std::unique_ptr<Wire> openConnection(const Address& node, const typename Wire::Work& work) {
        if (connectionCount_ >= limits_.maxNodeConnections) evictOldest();
        if (connectionCount_ >= limits_.maxNodeConnections) return nullptr;
        ++connectionCount_;
        counters_.add(Wire::kOpenedCounter);
        return std::make_unique<Wire>(base_, node, work, limits_, counters_);
    }

    void addPending(InFlightRequest<Wire>& request) {
        if (pendingRequests_.empty()) secondConnectTimer_.start(limits_.secondConnectDelayMs);
        pendingRequests_.push_back({&request, clock_.nowMs() + limits_.secondConnectDelayMs});
        scheduleServePending();
    }

    void cancelRequest(InFlightRequest<Wire>& request) {
        removePending(request);
        discard(std::move(request.connection_));
    }

    void removePending(const InFlightRequest<Wire>& request) {
        std::erase_if(pendingRequests_,
                      [&](const PendingRequest& pending) { return pending.request == &request; });
    }
    void removeConnectedPending() {
        std::erase_if(pendingRequests_, [](const PendingRequest& pending) {
            return pending.request->connection_->isConnected();
        });
    }

    // Serves pending requests once the first connection to one of their nodes is reusable.
    void scheduleServePending() {
        removeConnectedPending();
        const double now = clock_.nowMs();
        double earliestMs = kNever;
        for (const PendingRequest& pending : pendingRequests_)
            earliestMs = std::min(earliestMs, nextReusableAtMs(pending.request->connection_->address(), now));
        if (earliestMs >= reuseTimerAtMs_) return;
        reuseTimerAtMs_ = earliestMs;
        reuseTimer_.start(earliestMs - now);
    }

    // When the first of the node's connections that may not be reused yet becomes reusable.
    double nextReusableAtMs(const Address& node, double now) const {
        double earliestMs = kNever;
        const auto idleOfNode = idleByAddress_.find(node);
        if (idleOfNode == idleByAddress_.end()) return earliestMs;
        for (const IdleIterator idle : idleOfNode->second)
            if (idle->reusableAtMs > now) earliestMs = std::min(earliestMs, idle->reusableAtMs);
        return earliestMs;
    }

    // Gives idle connections to requests whose own connection is not established, the oldest request first.
    void servePending() {
        removeConnectedPending();
        for (auto pending = pendingRequests_.begin(); pending != pendingRequests_.end();) {
            InFlightRequest<Wire>& request = *pending->request;
            std::unique_ptr<Wire> idle =
                takeIdle(request.connection_->address(), request.connection_->pendingRequest());
            if (!idle) {
                ++pending;
                continue;
            }
            pending = pendingRequests_.erase(pending);
            counters_.add("node_connection_other");
            std::unique_ptr<Wire> replaced = std::exchange(request.connection_, std::move(idle));
            replaced->transferRequest(*request.connection_);
            preconnect(std::move(replaced));
        }
        scheduleServePending();
    }

    // Opens a second connection for requests whose first one is slow: it may be established late, or never.
    void startSecondConnects() {
        removeConnectedPending();
        const double now = clock_.nowMs();
        for (PendingRequest& pending : pendingRequests_) {
            if (pending.secondConnectStarted) continue;
            if (pending.secondConnectAtMs > now)
                return secondConnectTimer_.start(pending.secondConnectAtMs - now);
            pending.secondConnectStarted = true;
            const Wire& slow = *pending.request->connection_;
            auto connection = connectionCount_ < limits_.maxNodeConnections
                                  ? openConnection(slow.address(), slow.pendingRequest())
                                  : nullptr;
            if (!connection) continue;
            counters_.add("node_connection_again");
            preconnect(std::move(connection));
        }
        if (!pendingRequests_.empty()) secondConnectTimer_.start(limits_.secondConnectDelayMs);
    }

    // Connects without a request and adds the connection to the idle ones.
    void preconnect(std::unique_ptr<Wire> connection) {
        Wire* const raw = connection.get();
        preconnecting_.push_back(std::move(connection));
        raw->preconnect([this, raw](bool connected) {
            const auto found = std::find_if(preconnecting_.begin(), preconnecting_.end(),
                                            [raw](const auto& candidate) { return candidate.get() == raw; });
            std::unique_ptr<Wire> done = std::move(*found);
            preconnecting_.erase(found);
            if (!connected) return discard(std::move(done));
            // Reusable at once: no request was sent on it that could be answered twice.
            addIdle(std::move(done), 0);
            servePending();
        });
    }

    // Takes the most recently used connection that is reusable, so that the others stay idle and are retired.
    std::unique_ptr<Wire> takeIdle(const Address& node, const typename Wire::Work& work) {
        const auto idleOfNode = idleByAddress_.find(node);
        if (idleOfNode == idleByAddress_.end()) return nullptr;
        const double now = clock_.nowMs();
        for (auto entry = idleOfNode->second.rbegin(); entry != idleOfNode->second.rend(); ++entry) {
            const IdleIterator idle = *entry;
            if (idle->reusableAtMs > now || !idle->connection->matches(node, work) ||
                !idle->connection->isUsable())
                continue;
            return removeIdle(idle);
        }
        return nullptr;
    }

    void releaseConnection(std::unique_ptr<Wire> connection, bool keepAlive) {
        if (!keepAlive) return discard(std::move(connection));
        this->addIdle(std::move(connection), Wire::reuseDelayMs(limits_));
        scheduleServePending();
    }

    void addIdle(std::unique_ptr<Wire> connection, double reuseDelayMs) {
        const Address node = connection->address();
        const double now = clock_.nowMs();
        idleConnections_.push_back({std::move(connection), now, now + reuseDelayMs});
        idleByAddress_[node].push_back(std::prev(idleConnections_.end()));
    }

    std::unique_ptr<Wire> removeIdle(IdleIterator idle) {
        std::unique_ptr<Wire> connection = std::move(idle->connection);
        const auto idleOfNode = idleByAddress_.find(connection->address());
        std::erase(idleOfNode->second, idle);
        if (idleOfNode->second.empty()) idleByAddress_.erase(idleOfNode);
        idleConnections_.erase(idle);
        return connection;
    }

    // Closes the connection in the next turn of the loop, since this may run in its own callback.
    void discard(std::unique_ptr<Wire> connection) {
        connection->cancel();
        --connectionCount_;
        discarded_.push_back(std::move(connection));
        discardTimer_.start(0);
    }

    // Makes room for a connection: discards the longest idle one, else the oldest without a request.
    void evictOldest() {
        if (!idleConnections_.empty()) return discard(removeIdle(idleConnections_.begin()));
        if (preconnecting_.empty()) return;
        std::unique_ptr<Wire> first = std::move(preconnecting_.front());
        preconnecting_.pop_front();
        discard(std::move(first));
    }

    // Closes idle connections before the nodes do, since a request that is sent just then would fail.
    void sweep() {
        const double now = clock_.nowMs();
        for (IdleIterator idle = idleConnections_.begin(); idle != idleConnections_.end();) {
            const IdleIterator current = idle++;
            if (current->connection->isClosed() || now - current->idleSinceMs > maxIdleMs(current))
                discard(removeIdle(current));
        }
        sweepTimer_.start(limits_.sweepIntervalMs);
    }

    // How long the connection may stay idle. The most recently used one of each node may stay longest.
    double maxIdleMs(IdleIterator idle) const {
        const double longestMs = limits_.nodeIdleTimeoutMs * limits_.idleRetireFraction;
        const bool isSurplus = idleByAddress_.at(idle->connection->address()).back() != idle;
        return isSurplus ? std::min(limits_.surplusNodeIdleTimeoutMs, longestMs) : longestMs;
    }

    event_base* base_;
    const Clock& clock_;
    const Limits& limits_;
    Counters& counters_;
    std::list<IdleConnection> idleConnections_;  // longest idle first
    // The idle connections by node address. No entry is empty.
    std::unordered_map<Address, std::vector<IdleIterator>, AddressHash> idleByAddress_;
    std::list<PendingRequest> pendingRequests_;       // waiting for a connection, oldest first
    std::list<std::unique_ptr<Wire>> preconnecting_;  // without a request, oldest first
    std::vector<std::unique_ptr<Wire>> discarded_;    // freed from the loop, not from their callbacks
    std::size_t connectionCount_ = 0;
    Timer sweepTimer_;
    Timer reuseTimer_;
    double reuseTimerAtMs_ = kNever;
    Timer secondConnectTimer_;
    Timer discardTimer_;
};

}  // namespace martencove
