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
struct SlidingWindow {
    std::deque<std::pair<double, double>> entries;
    double totalUnits = 0;

    void add(double ms, double more) {
        if (more <= 0) return;
        entries.emplace_back(ms, more);
        totalUnits += more;
    }
    void dropBefore(double beforeMs) {
        while (!entries.empty() && entries.front().first < beforeMs) dropOldest();
    }
    /// Takes units from the oldest on; returns how many there were to take.
    double takeOldest(double wanted) {
        double taken = 0;
        while (!entries.empty() && taken < wanted) {
            const double part = std::min(wanted - taken, entries.front().second);
            taken += part;
            totalUnits -= part;
            entries.front().second -= part;
            if (entries.front().second <= 0) dropOldest();
        }
        return taken;
    }

private:
    void dropOldest() {
        totalUnits -= entries.front().second;
        entries.pop_front();
        if (entries.empty()) totalUnits = 0;
    }
};

/// What all hosts together may send: so many units within any window, or a store that fills in that time.
struct Budget {
    double units = 0;
    double windowMs = 0;
    bool isTokenBucket = false;
};
/// What was taken of a part of one.
struct BudgetPart {
    SlidingWindow used;
    double bucketLevel = 0;  // of a part that fills: empty at its host's start
    double lastRefillMs = -std::numeric_limits<double>::infinity();

    /// Units left in the part. What is taken counts `lagMs` longer, as it may be used late.
    double availableUnits(double nowMs, const Budget& b, double part, double startMs, double lagMs) {
        const double whole = part * b.units;
        // One that was handed over has filled since before this host's start.
        const double sinceMs = std::isfinite(lastRefillMs) ? lastRefillMs : startMs;
        bucketLevel = std::min(whole, bucketLevel + whole * std::max(0.0, nowMs - sinceMs) / b.windowMs);
        lastRefillMs = nowMs;
        used.dropBefore(nowMs - b.windowMs - lagMs);
        return b.isTokenBucket ? bucketLevel : std::max(0.0, whole - used.totalUnits);
    }
    void consume(double nowMs, double units) {
        bucketLevel -= units;
        used.add(nowMs, units);
    }
    /// Untouched for longer than any window: it would be full again.
    bool isIdle(double beforeMs) {
        used.dropBefore(beforeMs);
        return used.entries.empty() && lastRefillMs < beforeMs;
    }
};
/// A host's use of a budget.
struct BudgetShare {
    BudgetPart evenPart;                 // the even part
    SlidingWindow granted;               // by the keepers, by when it was asked for
    std::map<int, double> lastDeniedMs;  // by each of them, last

    bool isIdle(double beforeMs) {
        granted.dropBefore(beforeMs);
        return evenPart.isIdle(beforeMs) && granted.entries.empty();
    }
};
/// What this host dealt of one, as each of its keepers.
struct CoordinatorBudget {
    std::map<int, BudgetPart> parts;

    bool isIdle(double beforeMs) {
        return std::all_of(parts.begin(), parts.end(), [&](auto& e) { return e.second.isIdle(beforeMs); });
    }
};
template <typename Table>
void eraseIdle(Table& table, double beforeMs) {
    for (auto it = table.begin(); it != table.end();)
        it = it->second.isIdle(beforeMs) ? table.erase(it) : std::next(it);
}

struct Request {
    RequestEvent spec;
    double arrivalMs = 0;
    double dueMs = 0;
    double nextCheckMs = 0;   // when its time is looked at: part of it has passed, then all
    double worthPerUnit = 0;  // worth a unit: what shedding compares
    CellId cell = -1;
    int attemptsStarted = 0;
    int attemptsInFlight = 0;
    bool lateClientRetry = false;  // a client's repeat whose aim has passed
    bool limitCharged = false;     // its units have been taken from the volume's store
    int maxAttempts = 1;           // attempts that it may have in all
    bool queued = false;
    bool streaming = false;
    bool cancelPending = false;  // its attempt is being called off, its answer held for lost
    double mayHaveRunSinceMs =
        std::numeric_limits<double>::infinity();  // when the first that may have run was sent
    double notBeforeMs = 0;
    std::optional<BudgetId> blockingBudget;  // the shared budget that does not cover it
    int grantRequestCount = 0;
    double lastGrantRequestMs = 0;
    bool deniedByAllCoordinators = false;  // each of its keepers was asked in vain
};
struct Attempt {
    NodeId node = 0;
    CellId cell = 0;
    double sentMs = 0;
    double units = 0;
    bool presumedLost = false;  // no answer is expected any more
    std::string orderingKey;    // of an ordered class, else empty
    std::string volume;
};
struct Node {
    NodeId id = 0;
    CellId cell = 0;
    int shard = 0;
    double weight = 0;           // against the shard's other holders; 0: not told
    bool inCellHolders = false;  // listed with the holders of its cell
    int zone = 0;
    NodeState state = NodeState::gone;
    double bootMs = 0;
    double unitsInFlight = 0;
    int attemptsInFlight = 0;
    int sendsSinceAnswer = 0;         // sends since the last answer
    double lastHeardMs = 0;           // last answer, or when the first of the present attempts went out
    double latestAnsweredSendMs = 0;  // when the latest of the answered attempts went out
    double usualMsPerUnit = 0;        // usual answer time a unit; 0: not learned
    double delayMeasuredMs = 0;       // when the delay was last learned
    double smoothedDelayMs = 0;       // smoothed answer time over the usual
    double unitsPerSecond = 0;        // units a second by all bidders; 0: not learned
    double lastSweepMs = 0;
    double overloadMsThisRound = 0;  // felt this round, and in the last
    double overloadMsLastRound = 0;
    double lastOverloadSignMs = 0;                                      // last sign of pressure
    double localOverloadUntilMs = 0;                                    // as this host feels it
    double reportedOverloadUntilMs = 0;                                 // as the sum of bids tells
    double lastSaturatedMs = -std::numeric_limits<double>::infinity();  // last measured under pressure
    double silentSinceMs = 0;                                           // 0: answering
    double lastTrickleMs = 0;
    double suspectedRestartMs = 0;  // came back from a long silence then, perhaps cold; 0: no doubt

    /// An attempt is over, or no longer counted.
    void removeAttempt(double units) {
        attemptsInFlight = std::max(0, attemptsInFlight - 1);
        unitsInFlight = attemptsInFlight == 0 ? 0 : std::max(0.0, unitsInFlight - units);
    }
};
/// Why units got no answer, and how many.
enum UnservedCause {
    overLimit,
    coldNode,
    silentNode,
    thinnedOut,
    tooLate,
    expired,
    retriesExhausted,
    causeCount
};
struct UnservedUnits {
    double unitsByCause[causeCount] = {};

    std::string text() const {
        static constexpr const char* kNames[causeCount] = {"limit", "cold",    "silent", "thinned",
                                                           "late",  "expired", "retries"};
        std::string line;
        for (int i = 0; i < causeCount; ++i) {
            if (unitsByCause[i] > 0)
                line += ' ' + std::string(kNames[i]) + ' ' + std::to_string(std::lround(unitsByCause[i]));
        }
        return line;
    }
};
struct WorthDemand {
    double offeredThisRound = 0;  // units offered this round
    double offeredLastRound = 0;  // and in the last
    double admitProbability = 1;
};
struct Demand {
    double offeredThisRound = 0;                            // units offered this round
    double offeredLastRound = 0;                            // and in the last
    double fairUnitsPerSecond = 0;                          // units a second allotted
    std::map<double, WorthDemand, std::greater<>> byWorth;  // the same by the classes' worth a unit
};
/// A volume's claim on what a node can do, in units a second.
struct VolumeClaim {
    Demand* demand;
    double askedUnitsPerSecond = 0;
    double weight = 1;
};
/// Deals a budget out: what each already has as fair (`reserved` in all) first, scaled where it does not fit,
/// then by weight up to what each asks.
inline void distributeByWeight(std::vector<VolumeClaim>& claims, double budget, double reserved) {
    if (reserved > budget) {
        for (VolumeClaim& k : claims) k.demand->fairUnitsPerSecond *= budget / reserved;
    }
    budget -= std::min(budget, reserved);
    for (bool again = true; again && budget > 0;) {
        again = false;
        double weights = 0;
        for (const VolumeClaim& k : claims)
            weights += k.demand->fairUnitsPerSecond < k.askedUnitsPerSecond ? k.weight : 0;
        if (weights <= 0) break;
        const double each = budget / weights;
        for (VolumeClaim& k : claims) {
            if (k.demand->fairUnitsPerSecond >= k.askedUnitsPerSecond) continue;
            const double take =
                std::min(each * k.weight, k.askedUnitsPerSecond - k.demand->fairUnitsPerSecond);
            again = again || take < each * k.weight;
            k.demand->fairUnitsPerSecond += take;
            budget -= take;
        }
    }
}
struct Cell {
    CellId id = 0;
    std::size_t cellsWithHoldersIndex = 0;         // among the cells that have holders
    bool inRounds = false;                         // a round may change it
    std::set<std::pair<double, RequestId>> queue;  // by due time
    double queuedUnits = 0;
    double offeredThisRound = 0;
    double offeredLastRound = 0;
    double tokensSpent = 0;             // tokens, this round
    double overloadUnitsLastRound = 0;  // units served under pressure in the last round
    Bid currentRound;                   // what this round was served
    Bid ownBid;                         // this host's last bid
    Bid bidSum;                         // all bidders', as last told
    bool saturated = false;             // most was served late, all bidders together
    double bidSumMs = -std::numeric_limits<double>::infinity();
    double probabilitiesUpdatedMs = -std::numeric_limits<double>::infinity();
    std::map<std::string, Demand> volumes;
    std::vector<Node*> holders;  // of the table of nodes: those that hold this cell

    /// Counts a request for the bids. A client's late repeat, of 0 units, shows only that its volume is
    /// there.
    void addDemand(const std::string& volume, double worth, double units) {
        Demand& d = volumes[volume];
        if (units <= 0) return;
        offeredThisRound += units;
        d.offeredThisRound += units;
        d.byWorth[worth].offeredThisRound += units;
    }
    /// Another round would change nothing of it.
    bool isIdle() const {
        return volumes.empty() && !saturated &&
               offeredLastRound + offeredThisRound + ownBid.offeredUnits + ownBid.servedUnits +
                       currentRound.servedUnits <=
                   0;
    }
    void endRound() {
        ownBid = std::exchange(currentRound, {});
        ownBid.bidderCount = 1;
        ownBid.offeredUnits = offeredLastRound = std::exchange(offeredThisRound, 0);
        tokensSpent = 0;
        probabilitiesUpdatedMs = -std::numeric_limits<double>::infinity();
    }
};
struct Volume {
    int planNo = 0;
    int hostCount = 1;
    double servedViaThisHost =
        0;  // units served through this host, and through others where this one also asks
    double servedViaOtherHosts = 0;
    double offeredThisRound = 0;  // units offered this round and last, all cells
    double offeredLastRound = 0;
    double lastSeenMs = 0;

    /// What was seen served is forgotten by halves.
    void endRound() {
        offeredLastRound = std::exchange(offeredThisRound, 0);
        servedViaThisHost /= 2;
        servedViaOtherHosts /= 2;
    }
};
/// The requests of each key that go one at a time, in the order taken.
class KeyQueues {
public:
    void enqueue(const std::string& key, const RequestId& id) {
        queues_[key].entries.push_back({id, 0, false});
    }
    /// Whether it is this request's turn; a first attempt also waits for the key's rest.
    bool mayStart(const std::string& key, const RequestId& id, bool first, double nowMs) const {
        const auto lane = queues_.find(key);
        if (lane == queues_.end() || lane->second.entries.empty()) return true;
        return lane->second.entries.front().id == id && (!first || nowMs >= lane->second.pausedUntilMs);
    }
    void attemptSent(const std::string& key, const RequestId& id) { updateEntry(key, id, 1, false); }
    void attemptEnded(const std::string& key, const RequestId& id, double restUntilMs) {
        double& rest = queues_[key].pausedUntilMs;
        rest = std::max(rest, restUntilMs);
        updateEntry(key, id, -1, false);
    }
    void requestFinished(const std::string& key, const RequestId& id) { updateEntry(key, id, 0, true); }
    /// Lets go of keys without requests whose rest is over.
    void eraseIdle(double nowMs) {
        std::erase_if(queues_, [nowMs](const auto& e) {
            return e.second.entries.empty() && nowMs >= e.second.pausedUntilMs;
        });
    }
    std::size_t size() const { return queues_.size(); }

private:
    struct Entry {
        RequestId id;
        int attemptsInFlight = 0;
        bool finished = false;
    };
    struct KeyQueue {
        std::deque<Entry> entries;
        double pausedUntilMs = 0;
    };
    void updateEntry(const std::string& key, const RequestId& id, int outChange, bool finished) {
        auto& entries = queues_[key].entries;
        const auto it =
            std::find_if(entries.begin(), entries.end(), [&](const Entry& e) { return e.id == id; });
        if (it == entries.end()) return;
        it->attemptsInFlight += outChange;
        it->finished = it->finished || finished;
        if (it->finished && it->attemptsInFlight <= 0) entries.erase(it);
    }

    std::map<std::string, KeyQueue> queues_;
};

/// FNV-1a: a number for a name, the same on every host.
inline std::uint64_t fnv1aHash(const std::string& name) {
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return hash;
}

/// SplitMix64: the same seed gives the same draws on every machine.
class Random {
public:
    explicit Random(std::uint64_t seed) : state_(seed) {}
    /// From 0 up to 1.
    double uniform() {
        std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
    }
    int uniformInt(int count) { return static_cast<int>(uniform() * count); }

private:
    std::uint64_t state_;
};

}  // namespace limedrum
