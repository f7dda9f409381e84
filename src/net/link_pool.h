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
        if (link_) pool_.giveUp(*this);
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
          rested_(base,
                  [this] {
                      restedRuns_ = false;
                      if constexpr (Wire::kDialsWithoutWork) serveWaiting();
                  }),
          again_(base,
                 [this] {
                     if constexpr (Wire::kDialsWithoutWork) dialAgain();
                 }),
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
        const bool dials = !link;
        if (dials) link = open(node, work);
        if (!link) return nullptr;
        Wire& started = *link;
        auto exchange = std::make_unique<Exchange<Wire>>(std::move(link), *this);
        started.start(work, times,
                      [this, out = exchange.get(), done = std::move(done)](Link&, Reply reply, bool keep) {
                          waitsNoMore(*out);
                          take(std::move(out->link_), keep);
                          done(std::move(reply));
                      });
        if constexpr (Wire::kDialsWithoutWork) {
            if (dials) wait(*exchange);
        }
        return exchange;
    }

private:
    friend class Exchange<Wire>;
    struct Idle {
        std::unique_ptr<Wire> link;
        double sinceMs = 0;
    };
    using Place = typename std::list<Idle>::iterator;
    struct Waiting {
        Exchange<Wire>* exchange;
        double againMs = 0;  // when a second connection is dialled
        bool again = false;  // it is
    };

    // Nothing where no more connections are allowed.
    std::unique_ptr<Wire> open(const Address& node, const typename Wire::Work& work) {
        if (links_ >= limits_.nodeConnections) giveWay();
        if (links_ >= limits_.nodeConnections) return nullptr;
        ++links_;
        counters_.add(Wire::kOpened);
        return std::make_unique<Wire>(base_, node, work, limits_, counters_);
    }

    void wait(Exchange<Wire>& exchange) {
        if (waiting_.empty()) again_.start(limits_.dialAgainMs);
        waiting_.push_back({&exchange, clock_.nowMs() + limits_.dialAgainMs});
    }

    void giveUp(Exchange<Wire>& exchange) {
        waitsNoMore(exchange);
        discard(std::move(exchange.link_));
    }

    void waitsNoMore(const Exchange<Wire>& exchange) {
        std::erase_if(waiting_, [&](const Waiting& w) { return w.exchange == &exchange; });
    }
    void forgetThoseUp() {
        std::erase_if(waiting_, [](const Waiting& w) { return w.exchange->link_->up(); });
    }

    // Once one that has just done its work has rested. The timer runs on where it runs: it looks again
    // itself.
    void serveRested() {
        if (!std::exchange(restedRuns_, true)) rested_.start(limits_.nodeRestMs);
    }

    // Those whose connection is not up yet, the longest waiting first, get what is idle.
    void serveWaiting() {
        forgetThoseUp();
        for (auto at = waiting_.begin(); at != waiting_.end();) {
            Exchange<Wire>& exchange = *at->exchange;
            std::unique_ptr<Wire> idle = idleFor(exchange.link_->node(), exchange.link_->waiting());
            if (!idle) {
                ++at;
                continue;
            }
            at = waiting_.erase(at);
            counters_.add("node_connection_other");
            std::unique_ptr<Wire> late = std::exchange(exchange.link_, std::move(idle));
            late->passTo(*exchange.link_);
            expect(std::move(late));
        }
        if (!waiting_.empty() && !idle_.empty() && idle_.back().sinceMs > clock_.nowMs() - limits_.nodeRestMs)
            serveRested();
    }

    // A connection that takes longer than usual may be one of those that come up late, or never.
    void dialAgain() {
        forgetThoseUp();
        const double now = clock_.nowMs();
        for (Waiting& w : waiting_) {
            if (w.again) continue;
            if (w.againMs > now) return again_.start(w.againMs - now);
            w.again = true;
            const Wire& late = *w.exchange->link_;
            auto link = links_ < limits_.nodeConnections ? open(late.node(), late.waiting()) : nullptr;
            if (!link) continue;
            counters_.add("node_connection_again");
            expect(std::move(link));
        }
        if (!waiting_.empty()) again_.start(limits_.dialAgainMs);
    }

    // It comes up without work.
    void expect(std::unique_ptr<Wire> link) {
        Wire* const at = link.get();
        coming_.push_back(std::move(link));
        at->dial([this, at](bool up) {
            const auto here = std::find_if(coming_.begin(), coming_.end(),
                                           [at](const auto& coming) { return coming.get() == at; });
            std::unique_ptr<Wire> come = std::move(*here);
            coming_.erase(here);
            if (!up) return discard(std::move(come));
            // Nothing was sent on it that could be answered late.
            keep(std::move(come), clock_.nowMs() - limits_.nodeRestMs);
            serveWaiting();
        });
    }

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
        this->keep(std::move(link), clock_.nowMs());
        if (!waiting_.empty()) serveRested();
    }

    void keep(std::unique_ptr<Wire> link, double sinceMs) {
        const Address node = link->node();
        idle_.push_back({std::move(link), sinceMs});
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
        if (!idle_.empty()) return discard(forget(idle_.begin()));
        if (coming_.empty()) return;
        std::unique_ptr<Wire> first = std::move(coming_.front());
        coming_.pop_front();
        discard(std::move(first));
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
    std::list<Waiting> waiting_;                // whose connection is not up, the longest waiting first
    std::list<std::unique_ptr<Wire>> coming_;   // without work, oldest first
    std::vector<std::unique_ptr<Wire>> waste_;  // freed from the loop, never from their own callbacks
    std::size_t links_ = 0;
    Timer sweep_;
    Timer rested_;
    bool restedRuns_ = false;
    Timer again_;
    Timer empty_;
};

}  // namespace martencove
