// Connections to storage nodes that are kept and used again, for any wire. A `Wire` is a Link with a type
// Work, a name for its counter, fits() and start().
//
// Work that finds none dials one, but it does not wait for just that one: the first that is up has it, be it
// one that another work has done with or one that was dialled a while later, as some come up late. What it no
// longer waits for comes up for others.
#pragma once

#include <algorithm>
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

/// Work on its way. Letting go of it gives it up and closes its connection.
template <typename Wire>
class InFlightRequest {
public:
    InFlightRequest(std::unique_ptr<Wire> link, NodeConnectionPool<Wire>& pool)
        : connection_(std::move(link)), pool_(pool) {}
    ~InFlightRequest() {
        if (connection_) pool_.cancelRequest(*this);
    }
    InFlightRequest(const InFlightRequest&) = delete;
    InFlightRequest& operator=(const InFlightRequest&) = delete;
    /// Whether a byte of the work has left.
    [[nodiscard]] bool hasSentBytes() const { return connection_ && connection_->hasSentBytes(); }
    /// Whether what the node sends is read.
    void setReading(bool on) {
        if (connection_) connection_->setReading(on);
    }

private:
    friend class NodeConnectionPool<Wire>;
    std::unique_ptr<Wire> connection_;
    NodeConnectionPool<Wire>& pool_;
};

/// Gives up an attempt of which no byte has left, among those on their way; false: it is not there, or has
/// begun.
template <typename Way>
[[nodiscard]] bool eraseIfUnsent(std::map<int, std::unique_ptr<Way>>& ways, int attempt) {
    const auto at = ways.find(attempt);
    if (at == ways.end() || at->second->hasSentBytes()) return false;
    ways.erase(at);
    return true;
}

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
          reuseDelayTimer_(base,
                           [this] {
                               reuseDelayTimerRunning_ = false;
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

    /// `done` is called once, from the loop, unless the exchange is let go first. It may let go of it itself.
    /// Nothing where no more connections are allowed.
    [[nodiscard]] std::unique_ptr<InFlightRequest<Wire>> send(const Address& node,
                                                              const typename Wire::Work& work,
                                                              const AttemptTimeouts& times,
                                                              DoneCallback done) {
        std::unique_ptr<Wire> link = takeIdle(node, work);
        const bool dials = !link;
        if (dials) link = openConnection(node, work);
        if (!link) return nullptr;
        Wire& started = *link;
        auto exchange = std::make_unique<InFlightRequest<Wire>>(std::move(link), *this);
        started.start(work, times,
                      [this, out = exchange.get(), done = std::move(done)](NodeConnection&, NodeReply reply,
                                                                           bool keep) {
                          removePending(*out);
                          releaseConnection(std::move(out->connection_), keep);
                          done(std::move(reply));
                      });
        if constexpr (Wire::kCanPreconnect) {
            if (dials) addPending(*exchange);
        }
        return exchange;
    }

private:
    friend class InFlightRequest<Wire>;
    struct IdleConnection {
        std::unique_ptr<Wire> connection;
        double idleSinceMs = 0;
    };
    using IdleIterator = typename std::list<IdleConnection>::iterator;
    struct PendingRequest {
        InFlightRequest<Wire>* request;
        double secondConnectAtMs = 0;       // when a second connection is dialled
        bool secondConnectStarted = false;  // it is
    };

    // Nothing where no more connections are allowed.
    std::unique_ptr<Wire> openConnection(const Address& node, const typename Wire::Work& work) {
        if (connectionCount_ >= limits_.maxNodeConnections) evictOldest();
        if (connectionCount_ >= limits_.maxNodeConnections) return nullptr;
        ++connectionCount_;
        counters_.add(Wire::kOpenedCounter);
        return std::make_unique<Wire>(base_, node, work, limits_, counters_);
    }

    void addPending(InFlightRequest<Wire>& exchange) {
        if (pendingRequests_.empty()) secondConnectTimer_.start(limits_.secondConnectDelayMs);
        pendingRequests_.push_back({&exchange, clock_.nowMs() + limits_.secondConnectDelayMs});
    }

    void cancelRequest(InFlightRequest<Wire>& exchange) {
        removePending(exchange);
        discard(std::move(exchange.connection_));
    }

    void removePending(const InFlightRequest<Wire>& exchange) {
        std::erase_if(pendingRequests_, [&](const PendingRequest& w) { return w.request == &exchange; });
    }
    void removeConnectedPending() {
        std::erase_if(pendingRequests_,
                      [](const PendingRequest& w) { return w.request->connection_->isConnected(); });
    }

    // Once one that has just done its work has rested. The timer runs on where it runs: it looks again
    // itself.
    void scheduleServePending() {
        if (!std::exchange(reuseDelayTimerRunning_, true)) reuseDelayTimer_.start(limits_.nodeReuseDelayMs);
    }

    // Those whose connection is not up yet, the longest waiting first, get what is idle.
    void servePending() {
        removeConnectedPending();
        for (auto at = pendingRequests_.begin(); at != pendingRequests_.end();) {
            InFlightRequest<Wire>& exchange = *at->request;
            std::unique_ptr<Wire> idle =
                takeIdle(exchange.connection_->address(), exchange.connection_->pendingRequest());
            if (!idle) {
                ++at;
                continue;
            }
            at = pendingRequests_.erase(at);
            counters_.add("node_connection_other");
            std::unique_ptr<Wire> late = std::exchange(exchange.connection_, std::move(idle));
            late->transferRequest(*exchange.connection_);
            preconnect(std::move(late));
        }
        if (!pendingRequests_.empty() && !idleConnections_.empty() &&
            idleConnections_.back().idleSinceMs > clock_.nowMs() - limits_.nodeReuseDelayMs)
            scheduleServePending();
    }

    // A connection that takes longer than usual may be one of those that come up late, or never.
    void startSecondConnects() {
        removeConnectedPending();
        const double now = clock_.nowMs();
        for (PendingRequest& w : pendingRequests_) {
            if (w.secondConnectStarted) continue;
            if (w.secondConnectAtMs > now) return secondConnectTimer_.start(w.secondConnectAtMs - now);
            w.secondConnectStarted = true;
            const Wire& late = *w.request->connection_;
            auto link = connectionCount_ < limits_.maxNodeConnections
                            ? openConnection(late.address(), late.pendingRequest())
                            : nullptr;
            if (!link) continue;
            counters_.add("node_connection_again");
            preconnect(std::move(link));
        }
        if (!pendingRequests_.empty()) secondConnectTimer_.start(limits_.secondConnectDelayMs);
    }

    // It comes up without work.
    void preconnect(std::unique_ptr<Wire> link) {
        Wire* const at = link.get();
        preconnecting_.push_back(std::move(link));
        at->preconnect([this, at](bool up) {
            const auto here = std::find_if(preconnecting_.begin(), preconnecting_.end(),
                                           [at](const auto& coming) { return coming.get() == at; });
            std::unique_ptr<Wire> come = std::move(*here);
            preconnecting_.erase(here);
            if (!up) return discard(std::move(come));
            // Nothing was sent on it that could be answered late.
            addIdle(std::move(come), clock_.nowMs() - limits_.nodeReuseDelayMs);
            servePending();
        });
    }

    // The one used last, so that the others may fall idle and be retired; but not at once: what a node sends
    // behind an answer may come a moment after it.
    std::unique_ptr<Wire> takeIdle(const Address& node, const typename Wire::Work& work) {
        const auto ours = idleByAddress_.find(node);
        if (ours == idleByAddress_.end()) return nullptr;
        const double rested = clock_.nowMs() - limits_.nodeReuseDelayMs;
        for (auto at = ours->second.rbegin(); at != ours->second.rend(); ++at) {
            const IdleIterator idle = *at;
            if (idle->idleSinceMs > rested || !idle->connection->matches(node, work) ||
                !idle->connection->isUsable())
                continue;
            return removeIdle(idle);
        }
        return nullptr;
    }

    void releaseConnection(std::unique_ptr<Wire> link, bool keep) {
        if (!keep) return discard(std::move(link));
        this->addIdle(std::move(link), clock_.nowMs());
        if (!pendingRequests_.empty()) scheduleServePending();
    }

    void addIdle(std::unique_ptr<Wire> link, double sinceMs) {
        const Address node = link->address();
        idleConnections_.push_back({std::move(link), sinceMs});
        idleByAddress_[node].push_back(std::prev(idleConnections_.end()));
    }

    std::unique_ptr<Wire> removeIdle(IdleIterator idle) {
        std::unique_ptr<Wire> link = std::move(idle->connection);
        const auto ours = idleByAddress_.find(link->address());
        std::erase(ours->second, idle);
        if (ours->second.empty()) idleByAddress_.erase(ours);
        idleConnections_.erase(idle);
        return link;
    }

    // Gives the connection up. It is closed from the loop's next turn, since this may be its own callback.
    void discard(std::unique_ptr<Wire> link) {
        link->cancel();
        --connectionCount_;
        discarded_.push_back(std::move(link));
        discardTimer_.start(0);
    }

    // At the bound the connection that has been idle longest goes.
    void evictOldest() {
        if (!idleConnections_.empty()) return discard(removeIdle(idleConnections_.begin()));
        if (preconnecting_.empty()) return;
        std::unique_ptr<Wire> first = std::move(preconnecting_.front());
        preconnecting_.pop_front();
        discard(std::move(first));
    }

    // The nodes close idle connections; one that is used just then would end as broken.
    void sweep() {
        const double before = clock_.nowMs() - limits_.nodeIdleTimeoutMs * limits_.idleRetireFraction;
        for (IdleIterator idle = idleConnections_.begin(); idle != idleConnections_.end();) {
            const IdleIterator now = idle++;
            if (now->connection->isClosed() || now->idleSinceMs < before) discard(removeIdle(now));
        }
        sweepTimer_.start(limits_.sweepIntervalMs);
    }

    event_base* base_;
    const Clock& clock_;
    const Limits& limits_;
    Counters& counters_;
    std::list<IdleConnection> idleConnections_;  // longest idle first
    // The same by node, so that a send looks at its node's alone; no entry is empty.
    std::unordered_map<Address, std::vector<IdleIterator>, AddressHash> idleByAddress_;
    std::list<PendingRequest> pendingRequests_;       // whose connection is not up, the longest waiting first
    std::list<std::unique_ptr<Wire>> preconnecting_;  // without work, oldest first
    std::vector<std::unique_ptr<Wire>> discarded_;    // freed from the loop, never from their own callbacks
    std::size_t connectionCount_ = 0;
    Timer sweepTimer_;
    Timer reuseDelayTimer_;
    bool reuseDelayTimerRunning_ = false;
    Timer secondConnectTimer_;
    Timer discardTimer_;
};

}  // namespace martencove
