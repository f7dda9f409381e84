// Connections to storage nodes that are kept and used again, for any wire. A `Wire` is a Link with a type
// Work, a name for its counter, fits() and start().
#pragma once

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "net/link.h"

namespace martencove {

template <typename Wire>
class LinkPool;

/// Work on its way. Letting go of it gives it up and closes its connection.
template <typename Wire>
class Exchange {
public:
    Exchange(std::unique_ptr<Wire> link, LinkPool<Wire>& pool) : link_(std::move(link)), pool_(pool) {}
    ~Exchange() {
        if (link_) pool_.discard(std::move(link_));
    }
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;
    /// Whether a byte of the work has left.
    [[nodiscard]] bool begun() const { return link_ && link_->begun(); }
    /// Whether what the node sends is read.
    void flow(bool on) {
        if (link_) link_->flow(on);
    }

private:
    friend class LinkPool<Wire>;
    std::unique_ptr<Wire> link_;
    LinkPool<Wire>& pool_;
};

/// Gives up an attempt of which no byte has left, among those on their way; false: it is not there, or has
/// begun.
template <typename Way>
[[nodiscard]] bool withdrawFrom(std::map<int, std::unique_ptr<Way>>& ways, int attempt) {
    const auto at = ways.find(attempt);
    if (at == ways.end() || at->second->begun()) return false;
    ways.erase(at);
    return true;
}

template <typename Wire>
class LinkPool {
public:
    using Done = std::function<void(Reply)>;

    LinkPool(event_base* base, const Clock& clock, const Limits& limits, Counters& counters)
        : base_(base),
          clock_(clock),
          limits_(limits),
          counters_(counters),
          sweep_(base, [this] { sweep(); }),
          empty_(base, [this] { waste_.clear(); }) {
        sweep_.start(limits_.sweepMs);
    }
    LinkPool(const LinkPool&) = delete;
    LinkPool& operator=(const LinkPool&) = delete;

    /// `done` is called once, from the loop, unless the exchange is let go first. It may let go of it itself.
    /// Nothing where no more connections are allowed.
    [[nodiscard]] std::unique_ptr<Exchange<Wire>> send(const Address& node, const typename Wire::Work& work,
                                                       const AttemptTimes& times, Done done) {
        std::unique_ptr<Wire> link = idleFor(node, work);
        if (!link) {
            if (links_ >= limits_.nodeConnections) giveWay();
            if (links_ >= limits_.nodeConnections) return nullptr;
            ++links_;
            counters_.add(Wire::kOpened);
            link = std::make_unique<Wire>(base_, node, work, limits_, counters_);
        }
        Wire& started = *link;
        auto exchange = std::make_unique<Exchange<Wire>>(std::move(link), *this);
        started.start(work, times,
                      [this, out = exchange.get(), done = std::move(done)](Link&, Reply reply, bool keep) {
                          take(std::move(out->link_), keep);
                          done(std::move(reply));
                      });
        return exchange;
    }

private:
    friend class Exchange<Wire>;
    struct Idle {
        std::unique_ptr<Wire> link;
        double sinceMs = 0;
    };
    using Place = typename std::list<Idle>::iterator;

    // The one used last, so that the others may fall idle and be retired; but not at once: what a node sends
    // behind an answer may come a moment after it.
    std::unique_ptr<Wire> idleFor(const Address& node, const typename Wire::Work& work) {
        const auto ours = byNode_.find(node);
        if (ours == byNode_.end()) return nullptr;
        const double rested = clock_.nowMs() - limits_.nodeRestMs;
        for (auto at = ours->second.rbegin(); at != ours->second.rend(); ++at) {
            const Place idle = *at;
            if (idle->sinceMs > rested || !idle->link->fits(node, work) || !idle->link->usable()) continue;
            return forget(idle);
        }
        return nullptr;
    }

    void take(std::unique_ptr<Wire> link, bool keep) {
        if (!keep) return discard(std::move(link));
        const Address node = link->node();
        idle_.push_back({std::move(link), clock_.nowMs()});
        byNode_[node].push_back(std::prev(idle_.end()));
    }

    std::unique_ptr<Wire> forget(Place idle) {
        std::unique_ptr<Wire> link = std::move(idle->link);
        const auto ours = byNode_.find(link->node());
        std::erase(ours->second, idle);
        if (ours->second.empty()) byNode_.erase(ours);
        idle_.erase(idle);
        return link;
    }

    // Gives the connection up. It is closed from the loop's next turn, since this may be its own callback.
    void discard(std::unique_ptr<Wire> link) {
        link->stop();
        --links_;
        waste_.push_back(std::move(link));
        empty_.start(0);
    }

    // At the bound the connection that has been idle longest goes.
    void giveWay() {
        if (!idle_.empty()) discard(forget(idle_.begin()));
    }

    // The nodes close idle connections; one that is used just then would end as broken.
    void sweep() {
        const double before = clock_.nowMs() - limits_.nodeIdleMs * limits_.idlePart;
        for (Place idle = idle_.begin(); idle != idle_.end();) {
            const Place now = idle++;
            if (now->link->closed() || now->sinceMs < before) discard(forget(now));
        }
        sweep_.start(limits_.sweepMs);
    }

    event_base* base_;
    const Clock& clock_;
    const Limits& limits_;
    Counters& counters_;
    std::list<Idle> idle_;  // longest idle first
    // The same by node, so that a send looks at its node's alone; no entry is empty.
    std::unordered_map<Address, std::vector<Place>, AddressHash> byNode_;
    std::vector<std::unique_ptr<Wire>> waste_;  // freed from the loop, never from their own callbacks
    std::size_t links_ = 0;
    Timer sweep_;
    Timer empty_;
};

}  // namespace martencove
