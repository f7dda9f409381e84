// The data that a host keeps about requests, attempts, nodes, volumes and budgets. The decisions are made in
// Scheduler::Impl (src/limedrum/scheduler_impl.h).
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

/// Units counted by time, with their sum.
struct SlidingWindow {
    std::deque<std::pair<double, double>> entries;  // time in ms and units, oldest first
    double totalUnits = 0;

    void add(double ms, double units) {
        if (units <= 0) return;
        entries.emplace_back(ms, units);
        totalUnits += units;
    }
    void dropBefore(double beforeMs) {
        while (!entries.empty() && entries.front().first < beforeMs) dropOldest();
    }
    /// Removes up to `maxUnits` units, oldest first, and returns how many were removed.
    double takeOldest(double maxUnits) {
        double removed = 0;
        while (!entries.empty() && removed < maxUnits) {
            const double units = std::min(maxUnits - removed, entries.front().second);
            removed += units;
            totalUnits -= units;
            entries.front().second -= units;
            if (entries.front().second <= 0) dropOldest();
        }
        return removed;
    }

private:
    void dropOldest() {
        totalUnits -= entries.front().second;
        entries.pop_front();
        if (entries.empty()) totalUnits = 0;
    }
};

/// A limit on what all hosts together may send: `units` within any window, or a token bucket of that capacity
/// which fills from empty in `windowMs`.
struct Budget {
    double units = 0;
    double windowMs = 0;
    bool isTokenBucket = false;
};
/// The use of one part of a budget.
struct BudgetLedger {
    SlidingWindow used;
    double bucketLevel = 0;  // of a token bucket; empty when its host starts
    double lastRefillMs = -std::numeric_limits<double>::infinity();

    /// Returns the units left in a `fraction` of `budget`. Consumed units count `lagMs` beyond the
    /// window, because they may be used that much later. A bucket that was never refilled has been filling
    /// since `startMs`.
    double availableUnits(double nowMs, const Budget& budget, double fraction, double startMs, double lagMs) {
        const double capacity = fraction * budget.units;
        // An imported bucket has been filling since before this host started.
        const double sinceMs = std::isfinite(lastRefillMs) ? lastRefillMs : startMs;
        bucketLevel =
            std::min(capacity, bucketLevel + capacity * std::max(0.0, nowMs - sinceMs) / budget.windowMs);
        lastRefillMs = nowMs;
        used.dropBefore(nowMs - budget.windowMs - lagMs);
        return budget.isTokenBucket ? bucketLevel : std::max(0.0, capacity - used.totalUnits);
    }
    void consume(double nowMs, double units) {
        bucketLevel -= units;
        used.add(nowMs, units);
    }
    /// Whether the part was not used since `beforeMs`. If that is longer ago than any window, it is full
    /// again and need not be kept.
    bool isUnusedSince(double beforeMs) {
        used.dropBefore(beforeMs);
        return used.entries.empty() && lastRefillMs < beforeMs;
    }
};
/// What this host may use of a shared budget.
struct BudgetShare {
    BudgetLedger evenPart;               // this host's part of the evenly split fraction
    SlidingWindow granted;               // units granted by the coordinators, by the time of asking
    std::map<int, double> lastDeniedMs;  // by coordinator index

    bool isUnusedSince(double beforeMs) {
        granted.dropBefore(beforeMs);
        return evenPart.isUnusedSince(beforeMs) && granted.entries.empty();
    }
};
/// What this host granted of a shared budget, by the coordinator index under which it did so.
struct CoordinatorBudget {
    std::map<int, BudgetLedger> ledgers;

    bool isUnusedSince(double beforeMs) {
        return std::all_of(ledgers.begin(), ledgers.end(),
                           [&](auto& e) { return e.second.isUnusedSince(beforeMs); });
    }
};
/// Erases the entries of a map that were not used since `beforeMs`.
template <typename Table>
void eraseUnusedSince(Table& table, double beforeMs) {
    for (auto it = table.begin(); it != table.end();)
        it = it->second.isUnusedSince(beforeMs) ? table.erase(it) : std::next(it);
}

/// An open request: one without its final answer.
struct Request {
    RequestEvent spec;
    double arrivalMs = 0;
    double dueMs = 0;         // when the aim ends; of a late client retry, when it expires
    double nextCheckMs = 0;   // when to check whether it can still be served
    double worthPerUnit = 0;  // requests with the lowest are shed first
    CellId cell = -1;
    int attemptsStarted = 0;
    int attemptsInFlight = 0;
    bool lateClientRetry = false;  // a client's retry that arrived after the aim of its first try
    bool limitCharged = false;     // its units were taken from the volume's limit
    int maxAttempts = 1;           // the first attempt included
    bool queued = false;
    bool streaming = false;
    bool cancelPending = false;  // its attempt is being cancelled, to be repeated at once
    /// Send time of the first attempt that may have been executed; infinity: none.
    double earliestPossibleRunMs = std::numeric_limits<double>::infinity();
    double notBeforeMs = 0;                  // earliest time of its next attempt
    std::optional<BudgetId> blockingBudget;  // the shared budget that is used up
    int grantRequestCount = 0;               // times that a coordinator of blockingBudget was asked
    double lastGrantRequestMs = 0;
    bool noGrantObtained = false;  // by those of blockingBudget
};
/// An attempt in flight; it may outlast its request.
struct Attempt {
    NodeId node = 0;
    CellId cell = 0;
    double sentMs = 0;
    double units = 0;
    bool presumedLost = false;  // no answer is expected; not counted among the node's attempts in flight
    std::string orderingKey;    // the request's key if its class is ordered, else empty
    std::string volume;
};
/// A listed node, and what this host has learned about it. Overload means that answers take longer than usual
/// by a fraction of the aim, or that the node rejects requests.
struct Node {
    NodeId id = 0;
    CellId cell = 0;
    int shard = 0;
    double weight = 0;           // relative to the shard's other holders; 0: not known
    bool inCellHolders = false;  // it is in Cell::holders
    int zone = 0;
    NodeState state = NodeState::gone;
    double bootMs = 0;
    double unitsInFlight = 0;
    int attemptsInFlight = 0;
    int sendsSinceAnswer = 0;
    double silenceCountsFromMs = 0;     // last answer, or send time of the first attempt in flight if later
    double latestAnsweredSendMs = 0;    // send time of the latest sent among the answered attempts
    double usualMsPerUnit = 0;          // usual answer time per unit; 0: not known
    double lastDelaySampleMs = 0;       // last measurement of smoothedDelayMs
    double smoothedDelayMs = 0;         // smoothed excess of answer times over the usual
    double unitsPerSecond = 0;          // capacity for all hosts together; 0: not known
    double overloadCountedUntilMs = 0;  // until when overloadMsThisRound is counted
    double overloadMsThisRound = 0;     // time for which this host observed overload
    double overloadMsLastRound = 0;
    double lastOverloadSignMs = 0;
    double localOverloadUntilMs = 0;                                    // overload that this host observed
    double reportedOverloadUntilMs = 0;                                 // overload inferred from the bid sums
    double lastSaturatedMs = -std::numeric_limits<double>::infinity();  // last bid sum that showed saturation
    double silentSinceMs = 0;                                           // 0: the node answers
    double lastTrialAttemptMs = 0;  // last attempt sent to check whether the silent node answers again
    double suspectedRestartMs = 0;  // answered then after a long silence, perhaps cold; 0: no suspicion

    /// Removes an attempt from those in flight, because it ended or is presumed lost.
    void removeAttempt(double units) {
        attemptsInFlight = std::max(0, attemptsInFlight - 1);
        unitsInFlight = attemptsInFlight == 0 ? 0 : std::max(0.0, unitsInFlight - units);
    }
};
/// Why requests were not served.
enum UnservedCause {
    overLimit,           // the plan's limit is used up
    coldNode,            // the budget of a cold node is used up
    nodeUnreachable,     // the node does not answer, or nobody serves the cell
    refusedAtAdmission,  // refused at random because its node is overloaded
    shedForOverload,     // shed from the queue of an overloaded node
    notStartedInTime,    // the request ran out of time
    notRepeated,         // an attempt failed and is not repeated
    causeCount
};
/// Units of the requests that were not served, by cause.
struct UnservedUnits {
    double unitsByCause[causeCount] = {};

    /// Returns the causes that occurred with their units, each after a space; empty if none did.
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
/// Units offered at one worth per unit.
struct WorthDemand {
    double offeredThisRound = 0;
    double offeredLastRound = 0;
    double admitProbability = 1;
};
/// What a volume asks of a cell through this host, in units.
struct Demand {
    double offeredThisRound = 0;
    double offeredLastRound = 0;
    double fairUnitsPerSecond = 0;                          // allotted to the volume
    std::map<double, WorthDemand, std::greater<>> byWorth;  // by ClassSettings::worth, highest first
};
/// A volume's claim on a node's capacity.
struct VolumeClaim {
    Demand* demand;
    double askedUnitsPerSecond = 0;
    double weight = 1;
};
/// Distributes `budget` units per second among the claims. Each keeps its present fairUnitsPerSecond, which
/// add up to `reserved`; they are scaled down if they exceed the budget. The rest is distributed by weight,
/// to each at most what it asks.
inline void distributeByWeight(std::vector<VolumeClaim>& claims, double budget, double reserved) {
    if (reserved > budget) {
        for (VolumeClaim& claim : claims) claim.demand->fairUnitsPerSecond *= budget / reserved;
    }
    budget -= std::min(budget, reserved);
    for (bool redistribute = true; redistribute && budget > 0;) {
        redistribute = false;
        double weights = 0;
        for (const VolumeClaim& claim : claims)
            weights += claim.demand->fairUnitsPerSecond < claim.askedUnitsPerSecond ? claim.weight : 0;
        if (weights <= 0) break;
        const double each = budget / weights;
        for (VolumeClaim& claim : claims) {
            if (claim.demand->fairUnitsPerSecond >= claim.askedUnitsPerSecond) continue;
            const double granted =
                std::min(each * claim.weight, claim.askedUnitsPerSecond - claim.demand->fairUnitsPerSecond);
            redistribute = redistribute || granted < each * claim.weight;
            claim.demand->fairUnitsPerSecond += granted;
            budget -= granted;
        }
    }
}
/// The unit in which requests are queued and bids are made: a shard, or one weighted holder of a shard. Units
/// are counted for this host unless said otherwise.
struct Cell {
    CellId id = 0;
    std::size_t cellsWithHoldersIndex = 0;         // index in Fleet::cellsWithHolders, if it has holders
    bool inRounds = false;                         // it is in Fleet::cellsInRounds
    std::set<std::pair<double, RequestId>> queue;  // by due time
    double queuedUnits = 0;
    double offeredThisRound = 0;
    double offeredLastRound = 0;
    double admittedUnitsThisRound = 0;  // units admitted this round
    double overloadUnitsLastRound = 0;  // units served under overload
    Bid currentRound;                   // units served so far in this round
    Bid ownBid;                         // this host's bid after the last round
    Bid bidSum;                         // of all bidders, as last received
    bool saturated = false;             // most units of all bidders were served under overload
    double bidSumMs = -std::numeric_limits<double>::infinity();  // when bidSum was received
    double admissionUpdatedMs = -std::numeric_limits<double>::infinity();
    std::map<std::string, Demand> volumes;
    std::vector<Node*> holders;  // owned by Fleet::nodes

    /// Counts a request for the bids. With 0 units, as for a client's late retry, it only registers the
    /// volume.
    void addDemand(const std::string& volume, double worth, double units) {
        Demand& d = volumes[volume];
        if (units <= 0) return;
        offeredThisRound += units;
        d.offeredThisRound += units;
        d.byWorth[worth].offeredThisRound += units;
    }
    /// Whether the end of another round would change nothing in the cell.
    bool isUnaffectedByRounds() const {
        return volumes.empty() && !saturated &&
               offeredLastRound + offeredThisRound + ownBid.offeredUnits + ownBid.servedUnits +
                       currentRound.servedUnits <=
                   0;
    }
    void endRound() {
        ownBid = std::exchange(currentRound, {});
        ownBid.bidderCount = 1;
        ownBid.offeredUnits = offeredLastRound = std::exchange(offeredThisRound, 0);
        admittedUnitsThisRound = 0;
        admissionUpdatedMs = -std::numeric_limits<double>::infinity();
    }
};
/// What this host knows of a volume, over all cells, in units. The served units halve each round, so that
/// older observations count less.
struct Volume {
    int planNo = 0;
    int hostCount = 1;  // hosts that receive requests for the volume
    double servedViaThisHost = 0;
    double servedViaOtherHosts = 0;  // by nodes that this host also uses
    double offeredThisRound = 0;
    double offeredLastRound = 0;
    double lastSeenMs = 0;

    void endRound() {
        offeredLastRound = std::exchange(offeredThisRound, 0);
        servedViaThisHost /= 2;
        servedViaOtherHosts /= 2;
    }
};
/// Queues of ordered requests by key, in order of arrival. Requests with the same key run one at a time.
class KeyQueues {
public:
    void enqueue(const std::string& key, const RequestId& id) {
        queues_[key].entries.push_back({id, 0, false});
    }
    /// Whether it is this request's turn. A first attempt also waits until the key's pause is over.
    bool mayStart(const std::string& key, const RequestId& id, bool firstAttempt, double nowMs) const {
        const auto queue = queues_.find(key);
        if (queue == queues_.end() || queue->second.entries.empty()) return true;
        return queue->second.entries.front().id == id &&
               (!firstAttempt || nowMs >= queue->second.pausedUntilMs);
    }
    void attemptSent(const std::string& key, const RequestId& id) { updateEntry(key, id, 1, false); }
    /// Records the end of an attempt; first attempts with the key then wait until `pausedUntilMs`.
    void attemptEnded(const std::string& key, const RequestId& id, double pausedUntilMs) {
        double& pausedUntil = queues_[key].pausedUntilMs;
        pausedUntil = std::max(pausedUntil, pausedUntilMs);
        updateEntry(key, id, -1, false);
    }
    /// Removes the request once its attempts have ended, too.
    void requestFinished(const std::string& key, const RequestId& id) { updateEntry(key, id, 0, true); }
    /// Erases keys that have no requests and no pause left.
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
    void updateEntry(const std::string& key, const RequestId& id, int inFlightChange, bool finished) {
        auto& entries = queues_[key].entries;
        const auto it =
            std::find_if(entries.begin(), entries.end(), [&](const Entry& e) { return e.id == id; });
        if (it == entries.end()) return;
        it->attemptsInFlight += inFlightChange;
        it->finished = it->finished || finished;
        if (it->finished && it->attemptsInFlight <= 0) entries.erase(it);
    }

    std::map<std::string, KeyQueue> queues_;
};

/// FNV-1a, the same on every host.
inline std::uint64_t fnv1aHash(const std::string& name) {
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return hash;
}

/// SplitMix64: the same seed gives the same numbers on every machine.
class Random {
public:
    explicit Random(std::uint64_t seed) : state_(seed) {}
    /// Returns a number in [0, 1).
    double uniform() {
        std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ULL);
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
        return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
    }
    /// Returns an integer in [0, count).
    int uniformInt(int count) { return static_cast<int>(uniform() * count); }

private:
    std::uint64_t state_;
};

}  // namespace limedrum
