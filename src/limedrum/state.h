// What a host keeps of requests, attempts, nodes, volumes and peers. Plain data: what decides stands behind
// src/limedrum/scheduler_impl.h.
#pragma once

#include <limedrum/scheduler.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bids.h"

namespace limedrum {

/// Units by time, and their sum.
struct Window {
    std::deque<std::pair<double, double>> entries;
    double units = 0;

    void add(double ms, double more) {
        if (more <= 0) return;
        entries.emplace_back(ms, more);
        units += more;
    }
    void trim(double beforeMs) {
        while (!entries.empty() && entries.front().first < beforeMs) drop();
    }
    /// Takes units from the oldest on; returns how many there were to take.
    double take(double wanted) {
        double taken = 0;
        while (!entries.empty() && taken < wanted) {
            const double part = std::min(wanted - taken, entries.front().second);
            taken += part;
            units -= part;
            entries.front().second -= part;
            if (entries.front().second <= 0) drop();
        }
        return taken;
    }

private:
    void drop() {
        units -= entries.front().second;
        entries.pop_front();
        if (entries.empty()) units = 0;
    }
};

/// What all hosts together may send: so many units within any window, or a store that fills in that time.
struct Budget {
    double units = 0;
    double windowMs = 0;
    bool fills = false;
};
/// What was taken of a part of one.
struct Ledger {
    Window taken;
    double level = 0;  // of a part that fills: empty at its host's start
    double filledMs = -std::numeric_limits<double>::infinity();

    /// Units left in the part. What is taken counts `lagMs` longer, as it may be used late.
    double room(double nowMs, const Budget& b, double part, double startMs, double lagMs) {
        const double whole = part * b.units;
        // One that was handed over has filled since before this host's start.
        const double sinceMs = std::isfinite(filledMs) ? filledMs : startMs;
        level = std::min(whole, level + whole * std::max(0.0, nowMs - sinceMs) / b.windowMs);
        filledMs = nowMs;
        taken.trim(nowMs - b.windowMs - lagMs);
        return b.fills ? level : std::max(0.0, whole - taken.units);
    }
    void take(double nowMs, double units) {
        level -= units;
        taken.add(nowMs, units);
    }
    /// Untouched for longer than any window: it would be full again.
    bool idle(double beforeMs) {
        taken.trim(beforeMs);
        return taken.entries.empty() && filledMs < beforeMs;
    }
};
/// A host's use of a budget.
struct Share {
    Ledger own;                      // the even part
    Window dealt;                    // by the keepers, by when it was asked for
    std::map<int, double> deniedMs;  // by each of them, last

    bool idle(double beforeMs) {
        dealt.trim(beforeMs);
        return own.idle(beforeMs) && dealt.entries.empty();
    }
};
/// What this host dealt of one, as each of its keepers.
struct Till {
    std::map<int, Ledger> parts;

    bool idle(double beforeMs) {
        return std::all_of(parts.begin(), parts.end(), [&](auto& e) { return e.second.idle(beforeMs); });
    }
};
template <typename Table>
void eraseIdle(Table& table, double beforeMs) {
    for (auto it = table.begin(); it != table.end();)
        it = it->second.idle(beforeMs) ? table.erase(it) : std::next(it);
}

struct Request {
    RequestEvent told;
    double takenMs = 0;
    double dueMs = 0;
    double lookMs = 0;  // when its time is looked at: part of it has passed, then all
    double merit = 0;   // worth a unit: what shedding compares
    CellId cell = -1;
    int attempts = 0;
    int out = 0;
    bool lateTry = false;  // a client's repeat whose aim has passed
    bool drawn = false;    // its units have been taken from the volume's store
    int cap = 1;           // attempts that it may have in all
    bool queued = false;
    bool streaming = false;
    bool givenUp = false;  // its attempt is being called off, its answer held for lost
    double ranMs = std::numeric_limits<double>::infinity();  // when the first that may have run was sent
    double notBeforeMs = 0;
    std::optional<BudgetId> shortOf;  // the shared budget that does not cover it
    int asks = 0;
    double askedMs = 0;
    bool denied = false;  // each of its keepers was asked in vain
};
struct Flight {
    NodeId node = 0;
    CellId cell = 0;
    double sentMs = 0;
    double units = 0;
    bool lost = false;  // no answer is expected any more
    std::string key;    // of an ordered class, else empty
    std::string volume;
};
struct Node {
    NodeId id = 0;
    CellId cell = 0;
    int shard = 0;
    double weight = 0;  // against the shard's other holders; 0: not told
    bool held = false;  // listed with the holders of its cell
    int zone = 0;
    NodeState state = NodeState::gone;
    double bootMs = 0;
    double outUnits = 0;
    int outCount = 0;
    int unheard = 0;            // sends since the last answer
    double heardMs = 0;         // last answer, or when the first of the present attempts went out
    double answeredSentMs = 0;  // when the latest of the answered attempts went out
    double unitMs = 0;          // usual answer time a unit; 0: not learned
    double timedMs = 0;         // when the delay was last learned
    double delayMs = 0;         // smoothed answer time over the usual
    double rate = 0;            // units a second by all bidders; 0: not learned
    double sweptMs = 0;
    double pressedMs = 0;  // felt this round, and in the last
    double lastPressedMs = 0;
    double signMs = 0;                                            // last sign of pressure
    double pressedUntilMs = 0;                                    // as this host feels it
    double toldPressedUntilMs = 0;                                // as the sum of bids tells
    double crowdedMs = -std::numeric_limits<double>::infinity();  // last measured under pressure
    double silentSinceMs = 0;                                     // 0: answering
    double trickledMs = 0;
    double doubtedMs = 0;  // came back from a long silence then, perhaps cold; 0: no doubt

    /// An attempt is over, or no longer counted.
    void leave(double units) {
        outCount = std::max(0, outCount - 1);
        outUnits = outCount == 0 ? 0 : std::max(0.0, outUnits - units);
    }
};
/// Why units got no answer, and how many.
enum Cause { overLimit, coldNode, silentNode, thin, tooLate, expired, retrySpent, causes };
struct TurnedAway {
    double units[causes] = {};

    std::string text() const {
        static constexpr const char* kNames[causes] = {"limit", "cold",    "silent", "thinned",
                                                       "late",  "expired", "retries"};
        std::string line;
        for (int i = 0; i < causes; ++i) {
            if (units[i] > 0)
                line += ' ' + std::string(kNames[i]) + ' ' + std::to_string(std::lround(units[i]));
        }
        return line;
    }
};
struct Offer {
    double now = 0;   // units offered this round
    double last = 0;  // and in the last
    double chance = 1;
};
struct Demand {
    double now = 0;                                   // units offered this round
    double last = 0;                                  // and in the last
    double fair = 0;                                  // units a second allotted
    std::map<double, Offer, std::greater<>> byWorth;  // the same by the classes' worth a unit
};
/// A volume's claim on what a node can do, in units a second.
struct Claim {
    Demand* demand;
    double asked = 0;
    double weight = 1;
};
/// Deals a budget out: what each already has as fair (`reserved` in all) first, scaled where it does not fit,
/// then by weight up to what each asks.
inline void dealByWeight(std::vector<Claim>& claims, double budget, double reserved) {
    if (reserved > budget) {
        for (Claim& k : claims) k.demand->fair *= budget / reserved;
    }
    budget -= std::min(budget, reserved);
    for (bool again = true; again && budget > 0;) {
        again = false;
        double weights = 0;
        for (const Claim& k : claims) weights += k.demand->fair < k.asked ? k.weight : 0;
        if (weights <= 0) break;
        const double each = budget / weights;
        for (Claim& k : claims) {
            if (k.demand->fair >= k.asked) continue;
            const double take = std::min(each * k.weight, k.asked - k.demand->fair);
            again = again || take < each * k.weight;
            k.demand->fair += take;
            budget -= take;
        }
    }
}
struct Cell {
    CellId id = 0;
    std::size_t place = 0;                         // among the cells that have holders
    bool live = false;                             // a round may change it
    std::set<std::pair<double, RequestId>> queue;  // by due time
    double queuedUnits = 0;
    double offered = 0;
    double lastOffered = 0;
    double spent = 0;      // tokens, this round
    double felt = 0;       // units served under pressure in the last round
    Bid now;               // what this round was served
    Bid own;               // this host's last bid
    Bid sum;               // all bidders', as last told
    bool crowded = false;  // most was served late, all bidders together
    double sumMs = -std::numeric_limits<double>::infinity();
    double chancesMs = -std::numeric_limits<double>::infinity();
    std::map<std::string, Demand> volumes;
    std::vector<Node*> holders;  // of the table of nodes: those that hold this cell

    /// Counts a request for the bids. A client's late repeat, of 0 units, shows only that its volume is
    /// there.
    void offer(const std::string& volume, double worth, double units) {
        Demand& d = volumes[volume];
        if (units <= 0) return;
        offered += units;
        d.now += units;
        d.byWorth[worth].now += units;
    }
    /// Another round would change nothing of it.
    bool idle() const {
        return volumes.empty() && !crowded &&
               lastOffered + offered + own.offered + own.served + now.served <= 0;
    }
    void endRound() {
        own = std::exchange(now, {});
        own.hosts = 1;
        own.offered = lastOffered = std::exchange(offered, 0);
        spent = 0;
        chancesMs = -std::numeric_limits<double>::infinity();
    }
};
struct Volume {
    int plan = 0;
    int hosts = 1;
    double own = 0;  // units served through this host, and through others where this one also asks
    double others = 0;
    double now = 0;  // units offered this round and last, all cells
    double last = 0;
    double seenMs = 0;

    /// What was seen served is forgotten by halves.
    void endRound() {
        last = std::exchange(now, 0);
        own /= 2;
        others /= 2;
    }
};
/// The requests of each key that go one at a time, in the order taken.
class Lanes {
public:
    void enter(const std::string& key, const RequestId& id) { lanes_[key].entries.push_back({id, 0, false}); }
    /// Whether it is this request's turn; a first attempt also waits for the key's rest.
    bool open(const std::string& key, const RequestId& id, bool first, double nowMs) const {
        const auto lane = lanes_.find(key);
        if (lane == lanes_.end() || lane->second.entries.empty()) return true;
        return lane->second.entries.front().id == id && (!first || nowMs >= lane->second.restUntilMs);
    }
    void sent(const std::string& key, const RequestId& id) { change(key, id, 1, false); }
    void ended(const std::string& key, const RequestId& id, double restUntilMs) {
        double& rest = lanes_[key].restUntilMs;
        rest = std::max(rest, restUntilMs);
        change(key, id, -1, false);
    }
    void finished(const std::string& key, const RequestId& id) { change(key, id, 0, true); }
    /// Lets go of keys without requests whose rest is over.
    void tidy(double nowMs) {
        std::erase_if(lanes_, [nowMs](const auto& e) {
            return e.second.entries.empty() && nowMs >= e.second.restUntilMs;
        });
    }
    std::size_t size() const { return lanes_.size(); }

private:
    struct Entry {
        RequestId id;
        int out = 0;
        bool finished = false;
    };
    struct Lane {
        std::deque<Entry> entries;
        double restUntilMs = 0;
    };
    void change(const std::string& key, const RequestId& id, int outChange, bool finished) {
        auto& entries = lanes_[key].entries;
        const auto it =
            std::find_if(entries.begin(), entries.end(), [&](const Entry& e) { return e.id == id; });
        if (it == entries.end()) return;
        it->out += outChange;
        it->finished = it->finished || finished;
        if (it->finished && it->out <= 0) entries.erase(it);
    }

    std::map<std::string, Lane> lanes_;
};

/// FNV-1a: a number for a name, the same on every host.
inline std::uint64_t hashOf(const std::string& name) {
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return hash;
}

/// SplitMix64: the same seed gives the same draws on every machine.
class Random {
public:
    explicit Random(std::uint64_t seed) : state_(seed) {}
    /// From 0 up to 1.
    double draw() {
        std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
    }
    int below(int count) { return static_cast<int>(draw() * count); }

private:
    std::uint64_t state_;
};

}  // namespace limedrum
