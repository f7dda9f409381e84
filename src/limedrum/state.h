// The data that a host keeps about requests, attempts, nodes, volumes and budgets. The decisions are made in
// Scheduler::Impl (src/limedrum/scheduler_impl.h).
//
// Terms:
// host: one scheduler process; the other hosts are its peers. All hosts share the nodes.
// unit: the measure of a request's expected work. volume: a client's storage, sized by its plan.
// plan: rate, reserve, weight and limit of its volumes. aim: target answer time of a request class.
// worth: value of an answer within the aim; under overload, requests of the least worth are refused first.
// cell: what requests are queued and bids are made for: a shard, or one node of it if the nodes have weights.
// holder: a node that holds a shard's data. cold node: one that started recently and bears less work.
// round: a period of kRoundMs. bid: a host's figures for a cell in a round, sent to the cell's auctioneer,
// a host drawn anew each round, which returns the sum over all bidders. Hosts derive their shares from it.
// coordinator: a host that grants units of a budget which all hosts share.
//
// Members in ...Ms are points in time by the scheduler's clock, except for durations: windowMs,
// smoothedDelayMs, usualMsPerUnit and overloadMs...Round.
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

/// Amounts with the time of each, and their sum. The owner drops old ones with dropBefore(). Used for units
/// and for counts of requests.
struct SlidingWindow {
    std::deque<std::pair<double, double>> entries;  // time in ms and amount, oldest first
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

/// A limit on what all hosts together may send.
struct Budget {
    double units = 0;
    double windowMs = 0;
    /// true: a token bucket of capacity `units`, refilled at units / windowMs;
    /// false: at most `units` in any period of `windowMs`.
    bool isTokenBucket = false;
};
/// What was used of one part of a budget.
struct BudgetLedger {
    SlidingWindow used;
    double bucketLevel = 0;  // of a token bucket, at lastRefillMs
    double lastRefillMs = -std::numeric_limits<double>::infinity();

    /// Refills the bucket, drops old uses and returns the units left in a `fraction` of `budget`. A bucket
    /// that was never refilled counts as empty at `startMs`. Without a bucket: units consumed at time t may
    /// be sent until t + lagMs, so they count until t + windowMs + lagMs.
    double availableUnits(double nowMs, const Budget& budget, double fraction, double startMs, double lagMs) {
        const double capacity = fraction * budget.units;
        // A ledger taken over from the preceding process (learned_state.h) keeps its refill time.
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
    /// Returns whether units were neither consumed nor queried since `beforeMs`. If that is longer ago than
    /// any budget's window, the whole part is available again and the ledger can be erased. Drops older uses.
    bool isUnusedSince(double beforeMs) {
        used.dropBefore(beforeMs);
        return used.entries.empty() && lastRefillMs < beforeMs;
    }
};
/// What this host may use of a shared budget.
struct BudgetShare {
    BudgetLedger evenPart;  // of this host's equal part of localBudgetFraction(), used without asking
    /// Units granted by coordinators, with the time of the request, from which kGrantLifetimeMs counts.
    SlidingWindow granted;
    std::map<int, double> lastDeniedMs;  // by coordinator index

    bool isUnusedSince(double beforeMs) {
        granted.dropBefore(beforeMs);
        return evenPart.isUnusedSince(beforeMs) && granted.entries.empty();
    }
};
/// What this host granted of a shared budget as its coordinator. A host may be several of the
/// kBudgetCoordinators coordinators; it has one ledger for each.
struct CoordinatorBudget {
    std::map<int, BudgetLedger> ledgers;  // by coordinator index

    bool isUnusedSince(double beforeMs) {
        return std::all_of(ledgers.begin(), ledgers.end(),
                           [&](auto& e) { return e.second.isUnusedSince(beforeMs); });
    }
};
/// Erases the entries of a map that were neither used nor queried since `beforeMs`.
template <typename Table>
void eraseUnusedSince(Table& table, double beforeMs) {
    for (auto it = table.begin(); it != table.end();)
        it = it->second.isUnusedSince(beforeMs) ? table.erase(it) : std::next(it);
}

/// The record of an open request, one without its final answer. (martencove::Request in core/values.h is the
/// request as the fronts pass it on.)
struct Request {
    RequestEvent spec;
    double arrivalMs = 0;
    /// Its order in the queue: when the aim ends, counted from the client's first try, but at most the
    /// expiry; of a late client retry, the expiry. A shutdown may move it forward.
    double dueMs = 0;
    double nextCheckMs = 0;   // when sweep() next decides whether to give the request up
    double worthPerUnit = 0;  // an overloaded node's queue drops those with the lowest value first
    CellId cell = -1;         // -1: none
    int attemptsStarted = 0;
    int attemptsInFlight = 0;
    /// Taken for a client's retry after the aim of its first try, because its remaining time is shorter than
    /// the longest seen in its class by more than the aim.
    bool lateClientRetry = false;
    bool limitCharged = false;  // set by the first attempt: the volume's limit needs no further check
    int maxAttempts = 1;        // the first attempt included
    bool queued = false;
    bool streaming = false;
    bool cancelPending = false;  // cancellation of its attempt requested; the retry then has no delay
    /// Earliest send time of its attempts that have ended and may have been executed; infinity: none.
    double earliestPossibleRunMs = std::numeric_limits<double>::infinity();
    double notBeforeMs = 0;                  // earliest time of its next attempt
    std::optional<BudgetId> blockingBudget;  // shared budget that does not cover its units now
    int grantRequestCount = 0;               // times that a coordinator of blockingBudget was asked
    double lastGrantRequestMs = 0;
    /// Each coordinator of blockingBudget was asked, none may still answer, and the units are not covered.
    bool noGrantObtained = false;
};
/// The record of an attempt whose outcome has not been reported; it may outlast its request.
struct Attempt {
    NodeId node = 0;
    CellId cell = 0;
    double sentMs = 0;
    double units = 0;
    bool presumedLost = false;  // no answer is expected; not counted in Node::attemptsInFlight
    std::string orderingKey;    // the request's key if its class is ordered, else empty
    std::string volume;
};
/// A listed node, and what this host has learned about it. A node counts as overloaded if its answers take
/// longer than usual by a fraction of the aim, if it rejects a request, if a request waits too long for an
/// in-flight slot, or if the bid sums show it; see markOverloaded() and isOverloaded().
struct Node {
    NodeId id = 0;
    CellId cell = 0;
    int shard = 0;
    double weight = 0;           // share relative to the shard's other holders, in a cell of its own;
                                 // 0: unweighted, in the shard's common cell
    bool inCellHolders = false;  // in the `holders` of `cell`; false for a new node
    int zone = 0;
    NodeState state = NodeState::gone;
    double bootMs = 0;  // start time by the scheduler's clock; 0: long ago
    double unitsInFlight = 0;
    int attemptsInFlight = 0;
    int sendsSinceAnswer = 0;
    double silenceCountsFromMs = 0;     // last answer, or later send while nothing was in flight
    double latestAnsweredSendMs = 0;    // latest send time of an answered attempt; older ones may be lost
    double usualMsPerUnit = 0;          // low quantile (kUnitTimeQuantile) of answer time; 0: not known
    double lastDelaySampleMs = 0;       // when smoothedDelayMs was last updated
    double smoothedDelayMs = 0;         // smoothed excess of answer times over usualMsPerUnit
    double unitsPerSecond = 0;          // capacity for all hosts together; 0: not known
    double overloadCountedUntilMs = 0;  // up to when overload has been added to overloadMsThisRound
    double overloadMsThisRound = 0;     // time for which this host observed overload
    double overloadMsLastRound = 0;
    double lastOverloadSignMs = 0;
    double localOverloadUntilMs = 0;     // end of the overload that this host observed
    double reportedOverloadUntilMs = 0;  // end of the overload shown by all hosts' bids
    /// When the node last counted as saturated: by a bid sum, or without one by this host's own bid.
    double lastSaturatedMs = -std::numeric_limits<double>::infinity();
    double silentSinceMs = 0;       // since when it counts as silent; 0: not silent
    double lastTrialAttemptMs = 0;  // last attempt to find whether the silent node answers, or when
                                    // silence was detected
    /// Time of an answer that ended a long silence; counts as a start time until the node list can have
    /// reported a restart. 0: none.
    double suspectedRestartMs = 0;

    /// Removes an attempt from those in flight, because it ended or is presumed lost.
    void removeAttempt(double units) {
        attemptsInFlight = std::max(0, attemptsInFlight - 1);
        unitsInFlight = attemptsInFlight == 0 ? 0 : std::max(0.0, unitsInFlight - units);
    }
};
/// Why requests were not served. The words of the log are in UnservedUnits::text(), in this order.
enum UnservedCause {
    overLimit,           // the plan's limit did not cover the request in time
    coldNode,            // a cold node's budget did not cover the request in time
    nodeUnreachable,     // the node does not answer, or no node serves the cell
    refusedAtAdmission,  // refused on arrival by shouldThin(), because its node is overloaded
    shedForOverload,     // of least worth in an overloaded queue that cannot be served in time as a whole
    notStartedInTime,    // no attempt by kFirstAttemptTimeFraction of its time or by a shutdown, or expired
    notRepeated,         // an attempt failed, and a repeat is not allowed or has no prospect
    causeCount
};
/// Units of the requests that were not served, by cause.
struct UnservedUnits {
    double unitsByCause[causeCount] = {};

    /// Returns the causes that occurred with their units, for example " limit 12 cold 3", or "".
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
/// Units offered by requests whose classes have the same ClassSettings::worth.
struct WorthDemand {
    double offeredThisRound = 0;
    double offeredLastRound = 0;
    double admitProbability = 1;  // from updateAdmissionProbabilities(); used while the node is overloaded
};
/// The units that clients of a volume offer to a cell through this host.
struct Demand {
    double offeredThisRound = 0;
    double offeredLastRound = 0;
    double fairUnitsPerSecond = 0;                          // this host's share, see distributeByWeight()
    std::map<double, WorthDemand, std::greater<>> byWorth;  // by ClassSettings::worth, highest first
};
/// A volume's claim on a node's capacity.
struct VolumeClaim {
    Demand* demand;
    double askedUnitsPerSecond = 0;
    double weight = 1;
};
/// Distributes `capacity` units per second among the claims and sets their fairUnitsPerSecond. On entry
/// these hold the reserves, which add up to `reserved`. Reserves beyond the capacity are scaled down to fit;
/// otherwise the rest is distributed by weight, to each claim at most what it asks.
inline void distributeByWeight(std::vector<VolumeClaim>& claims, double capacity, double reserved) {
    if (reserved > capacity) {
        for (VolumeClaim& claim : claims) claim.demand->fairUnitsPerSecond *= capacity / reserved;
    }
    capacity -= std::min(capacity, reserved);
    // Repeats while a claim takes less than its weight allows, which leaves units for the others.
    for (bool redistribute = true; redistribute && capacity > 0;) {
        redistribute = false;
        double weights = 0;
        for (const VolumeClaim& claim : claims)
            weights += claim.demand->fairUnitsPerSecond < claim.askedUnitsPerSecond ? claim.weight : 0;
        if (weights <= 0) break;
        const double each = capacity / weights;
        for (VolumeClaim& claim : claims) {
            if (claim.demand->fairUnitsPerSecond >= claim.askedUnitsPerSecond) continue;
            const double added =
                std::min(each * claim.weight, claim.askedUnitsPerSecond - claim.demand->fairUnitsPerSecond);
            redistribute = redistribute || added < each * claim.weight;
            claim.demand->fairUnitsPerSecond += added;
            capacity -= added;
        }
    }
}
/// Requests are queued and bids made per cell: a shard, or a single node where nodes have weights. Figures
/// are of this host unless said otherwise.
struct Cell {
    CellId id = 0;
    std::size_t cellsWithHoldersIndex = 0;         // index in Fleet::cellsWithHolders, if it has holders
    bool inRounds = false;                         // it is in Fleet::cellsInRounds
    std::set<std::pair<double, RequestId>> queue;  // by due time
    double queuedUnits = 0;
    double offeredThisRound = 0;
    double offeredLastRound = 0;
    double admittedUnitsThisRound = 0;  // not reduced if a request is dropped later
    double overloadUnitsLastRound = 0;  // without the unanswered units that the bid includes
    Bid currentRound;                   // servedUnits and overloadUnits so far in this round
    Bid ownBid;                         // this host's bid after the last round
    Bid bidSum;                         // of all bidders, as last received
    bool saturated = false;  // showsSaturation() of the last round's bid sum, or without one of ownBid
    double bidSumMs = -std::numeric_limits<double>::infinity();  // when bidSum was received
    /// When the admission probabilities of `volumes` were updated.
    double admissionUpdatedMs = -std::numeric_limits<double>::infinity();
    std::map<std::string, Demand> volumes;
    std::vector<Node*> holders;  // owned by Fleet::nodes

    /// Counts a request as demand. With 0 units, as for a client's late retry, it only adds an entry for the
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
    /// Starts the bid of the ended round; Impl::endRound() adds its reserved and weighted units.
    void endRound() {
        ownBid = std::exchange(currentRound, {});
        ownBid.bidderCount = 1;
        ownBid.offeredUnits = offeredLastRound = std::exchange(offeredThisRound, 0);
        admittedUnitsThisRound = 0;
        admissionUpdatedMs = -std::numeric_limits<double>::infinity();
    }
};
/// What this host knows of a volume, over all cells.
struct Volume {
    int planNo = 0;
    int hostCount = 1;               // hosts that receive requests for the volume
    double servedViaThisHost = 0;    // units
    double servedViaOtherHosts = 0;  // units, as reported with outcomes (unitsViaOtherHosts)
    double offeredThisRound = 0;     // units
    double offeredLastRound = 0;
    double lastSeenMs = 0;

    /// Halves the served units, so that older observations count less.
    void endRound() {
        offeredLastRound = std::exchange(offeredThisRound, 0);
        servedViaThisHost /= 2;
        servedViaOtherHosts /= 2;
    }
};
/// Queues of ordered requests by key, in order of arrival. Requests with the same key run one at a time.
/// After an attempt with an unknown outcome, which a node may still be executing, the key pauses
/// (orderPauseMs).
class KeyQueues {
public:
    void enqueue(const std::string& key, const RequestId& id) {
        queues_[key].entries.push_back({id, 0, false});
    }
    /// Returns whether it is this request's turn, or the key has no queue. A first attempt also waits until
    /// the key's pause is over.
    bool mayStart(const std::string& key, const RequestId& id, bool firstAttempt, double nowMs) const {
        const auto queue = queues_.find(key);
        if (queue == queues_.end() || queue->second.entries.empty()) return true;
        return queue->second.entries.front().id == id &&
               (!firstAttempt || nowMs >= queue->second.pausedUntilMs);
    }
    void attemptSent(const std::string& key, const RequestId& id) { updateEntry(key, id, 1, false); }
    /// Records the end of an attempt. First attempts with the key then wait until `pausedUntilMs` at least.
    void attemptEnded(const std::string& key, const RequestId& id, double pausedUntilMs) {
        double& keyPausedUntilMs = queues_[key].pausedUntilMs;
        keyPausedUntilMs = std::max(keyPausedUntilMs, pausedUntilMs);
        updateEntry(key, id, -1, false);
    }
    /// Removes the request now, or when its last attempt ends.
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

/// FNV-1a. Must not change: by it hosts agree on the coordinators of budgets and the holders of pieces.
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
