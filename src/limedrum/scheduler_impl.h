// Implementation of limedrum::Scheduler; the public interface is include/limedrum/scheduler.h. Each concern
// has a source file of its own: admission, node_selection, token_allocation, shared_budgets, attempts,
// outcomes, failure_detection, rounds and shutdown. scheduler.cpp calls them in order.
//
// handle() processes the events in order. sweep() then handles what depends on time alone: requests about to
// expire, the end of the round, lost attempts, silent nodes, and queued requests that can no longer be
// answered in time. sendQueued() sends the requests that may start, earliest due time first.
//
// A request is refused at once or enters the queue of its cell (the part of a shard that one node holds). An
// Attempt is kept until its outcome arrives, even after the final answer of its request. maySend() holds all
// checks that a rule demands before an attempt; sendQueued() alone sends, and only what maySend() permits.
#pragma once

#include <limedrum/scheduler.h>

#include <unordered_map>

#include "bids.h"
#include "fleet.h"
#include "learned_state.h"
#include "state.h"
#include "tuning.h"

namespace limedrum {

class Scheduler::Impl {
public:
    Impl(Settings settings, std::uint64_t seed, double nowMs);
    // Replaces the settings. Open requests keep their class number and their maximum number of attempts.
    void updateSettings(Settings settings);
    std::vector<Action> handle(double nowMs, std::span<const Event> events);
    // Returns the learned state as text, for the next process on this machine.
    std::string exportState(double nowMs);
    // Restores the state that exportState() returned; returns false if the text is invalid or too old.
    bool importState(double nowMs, const std::string& text);
    std::vector<NodeStatus> nodeStatuses() const;
    std::size_t tableSize() const;

private:
    using AttemptId = std::pair<RequestId, int>;
    void on(const TimerFiredEvent&) {}
    void on(const ProbeResultEvent&) {}
    const ClassSettings& classOf(const Request& request) const {
        return settings_.classes[request.spec.classNo];
    }
    bool isOrdered(const Request& request) const {
        return classOf(request).ordered && !request.spec.key.empty();
    }
    const PlanSettings& planOf(int plan) const { return settings_.plans[plan]; }
    std::uint64_t roundAt(double ms) const {
        return static_cast<std::uint64_t>(std::max(ms, 0.0) / kRoundMs);
    }
    bool observesOverload(const Node& node) const { return now_ < node.localOverloadUntilMs; }
    // Without recent answers of its own, this host relies on the overload that the bid sums report.
    bool lacksRecentAnswers(const Node& node) const {
        return now_ - node.lastDelaySampleMs > kOwnObservationMaxAgeMs;
    }
    bool isOverloaded(const Node& node) const {
        return observesOverload(node) || (now_ < node.reportedOverloadUntilMs && lacksRecentAnswers(node));
    }
    double minInFlight(const Node& node) const {
        return isOverloaded(node) && node.unitsPerSecond > 0 ? kMinInFlightOverloaded : kMinInFlight;
    }
    void log(const std::string& text) { actions_.push_back(LogMessage{text}); }

    // ---- Node list and node selection ----
    void on(const NodeListEvent& event);
    // Returns the holder that gets the cell's requests, or nullptr if no holder serves: one that is not
    // silent, of these the one that started first, then the one with the lowest id.
    Node* servingNode(const Cell& cell) const;
    // Returns the cell whose node is expected to answer a request for a new object first. Where there are
    // many cells, a random sample is compared. Returns -1 if no node serves.
    CellId chooseCellForNewObject(double units);
    // Returns the cell of a request's next attempt: of its shard's weighted holders, the one with the highest
    // rendezvous score for the request's piece, except `avoid`, silent nodes and, if `avoidStrained`,
    // overloaded and cold nodes. Without weighted holders, or if none but `avoid` is suitable, the request's
    // present cell.
    CellId route(const Request& request, const Node* avoid, bool avoidStrained) const;
    // Moves the requests of a cell whose weighted holder no longer serves to other holders, and those for new
    // objects to the cell that should answer first.
    void rerouteQueue(const Cell& cell);
    // Returns the fraction of its normal work that a node may get: less than 1 while it may be cold.
    double warmUpFraction(const Node& node) const;
    bool isCold(const Node& node) const;
    // Estimates the rate in units per second of a weighted holder that has not been measured, from the
    // rates of the measured holders of its shard and the weights. Returns 0 if there are none.
    double estimateRate(const Node& node) const;

    // ---- Requests ----
    void on(const RequestEvent& event);
    // Returns whether a silent node is due no trial attempt yet. Every kSilentNodeAttemptIntervalMs, one real
    // request is sent to a silent node to detect its return.
    bool isBlockedAsSilent(const Node& node) const;
    // Adds a request to the demand that this host bids for. A client's late retry counts as 0 units.
    void recordDemand(const Request& request);
    // Returns the units per second to expect in the rest of the round: the rate of the last round, or that
    // of the current round if it is higher, so that a surge counts within its round.
    double expectedRate(double offeredThisRound, double offeredLastRound) const;
    // Returns the units of this round that this host may send to a node, in proportion to its demand in the
    // sum of bids: units inside reserves first, the rest by plan weight. (With many hosts, one host has too
    // few volumes to weigh them alone.) Without a valid bid sum or any demand, all hosts have equal shares.
    // The share is at least kMinRequestsPerRound requests, or an equal share of the bidders where less.
    double tokenShare(const Cell& cell, const Node& node) const;
    // Returns the units that this host may have in flight at a node.
    double maxInFlightUnits(const Cell& cell, const Node& node) const;
    // Marks a node as overloaded until it answers in time, but for one round at most, since with many hosts
    // one host gets an answer from a node only every few seconds.
    void markOverloaded(Node& node);
    // Returns how many of the units that a volume asks of one node (`askedUnits`) are inside this host's part
    // of the volume's reserve. That part follows the units served through this host and through others.
    // `askedEverywhere` is what the volume asks of all nodes through this host.
    double reservedUnits(const Volume& volume, double askedUnits, double askedEverywhere,
                         double seconds) const;
    // Updates the probability with which each volume's requests are admitted at a node: the tokens left
    // divided by the units expected, with tokens going to reserves first and then by weight. Requests of
    // a hot volume are refused before those of its neighbours, and within a volume the requests of the least
    // worth per unit first.
    void updateAdmissionProbabilities(Cell& cell, const Node& node);
    // Decides at random, by the admission probabilities, whether a request is refused at an overloaded node.
    bool shouldThin(Cell& cell, Node& node, const Request& request);

    // ---- Checks before an attempt ----
    // Returns since when a node may be cold, or 0 if its start time is unknown. A node that is back from a
    // long silence counts as cold until the node list can have reported a restart: a restarted node that got
    // its full load would fail for good. After a mere hang, this costs part of the node's work.
    double coldSinceMs(const Node& node) const;
    // Returns the units that all hosts together may send a cold node within the rule's window (fallMs), or
    // nothing if the node is not cold. Starts at what any cold node bears and grows as slowly as a node may
    // warm up; the value is that of the middle of the window.
    std::optional<Budget> coldBudget(double sinceMs) const;
    // Returns a plan's limit as a token bucket (depth in units and time to fill), or nothing without a limit.
    std::optional<Budget> limitBudget(int plan) const;

    // ---- Budgets that all hosts share: cold nodes and limits ----
    //
    // A quarter of a budget is split evenly among the hosts, and each uses its part without asking. The rest
    // belongs in equal halves to two coordinators, which all hosts derive from the budget's id. They grant
    // units on request, and a grant expires soon after. A request that both deny is given up at once.
    //
    // The total is never exceeded, whichever host crashes, restarts or loses messages, because a single host
    // counts each part. At its host's start, a part of a token bucket is empty, and a part of a window is
    // unusable for the length of the window, unless the node started later than the host. Faults can only
    // lose budget.

    // Returns whether the budget covers a request. If it does not, asks a coordinator for a grant, unless one
    // has been asked recently or all have denied. `bootMsOrPlanNo` is sent along: the node's boot time in ms
    // or the plan's number.
    bool ensureBudget(Request& request, BudgetId id, const std::optional<Budget>& budget, int hosts,
                      double bootMsOrPlanNo);
    // Returns the fraction of a budget that is split evenly. It is 0 for a cold node's budget where a host's
    // part would be less than one mean request; the coordinators then have all of it.
    double localBudgetFraction(BudgetId id) const;
    // Returns the units left in a part (`fraction`) of a budget. `ledgerStartMs` is the start of this host,
    // or -kNever for a node that started later, so that no earlier run of this host can have used its budget.
    double availableUnits(BudgetLedger& ledger, const Budget& budget, double fraction,
                          double ledgerStartMs) const;
    void consumeBudget(BudgetId id, const std::optional<Budget>& budget, double units);
    int budgetCoordinator(BudgetId id, int coordinatorIndex) const;
    void sendBudgetMessage(int to, const BudgetMessage& message);
    void on(int sender, const BudgetMessage& message);
    // Returns whether a request may be attempted again. `earliestPossibleRunMs` is the time at which the
    // first attempt that may have run was sent, or kNever.
    bool mayRepeat(const Request& request, double earliestPossibleRunMs) const;
    // Returns the time by which the last byte of a repeat must be sent, including all waits on the way.
    double repeatDeadlineMs(const Request& request, double earliestPossibleRunMs) const;
    // Returns whether the retry budget of the rules permits one more attempt after a request's first.
    bool retryBudgetAllows();
    // Returns the last time at which the shutdown lets an attempt of the request begin.
    double attemptUntilMs(const Request& request) const;
    // Returns whether an attempt may begin now. May send a message that asks for a budget grant.
    bool maySend(Request& request, Node& node);
    void send(Request& request, Node& node);
    void sendQueued(CellId cellId);
    // Refuses queued requests of an overloaded node that cannot all be answered in time, those of the least
    // worth per unit first; otherwise, sending the earliest due first would answer all of them just too late.
    // Also refuses requests that a shared budget does not cover by their due time. Requests of silent or
    // cold holders move to other holders where possible.
    void shedQueue(Cell& cell, Node& node);

    // ---- Answers ----
    void on(const OutcomeEvent& event);
    void on(const StreamStartedEvent& event);
    void on(const RequestAbandonedEvent& event);

    // ---- Shutdown ----
    void on(const ShutdownEvent& event);
    // Shortens the deadlines of an open request to those of the shutdown.
    void applyShutdownLimits(Request& request);
    // Ends a request without a result: refuses it if the client can safely repeat it, else fails it.
    void refuseOrFail(const RequestId& id, UnservedCause cause);
    // Removes a request that has its final answer and cancels its remaining attempts.
    void eraseRequest(const RequestId& id);

    // ---- Time ----
    // Marks a node that gets attempts and does not answer as silent, whatever the cause. Its requests are
    // then refused at once, except for occasional trial attempts that show its return. A pause longer than
    // the limit cannot be told from a failure, so the requests in the rest of the pause are refused too.
    void detectSilence(Node& node);
    // Returns the time of a request's next check: its expiry, or earlier the time from which the shutdown
    // lets no attempt begin.
    double nextCheckMs(const Request& request) const;
    void scheduleCheck(Request& request, double checkMs);
    // Returns the time in ms after which an attempt of so many units may count as lost.
    double lossTimeoutMs(const Node& node, double units) const;
    // Presumes attempts lost that are in flight much longer than usual and whose node has answered one that
    // was sent well later. A lost attempt frees its in-flight slot and may be cancelled and repeated. A long
    // time alone does not suffice, since repeats would add to the congestion of a slow node.
    void detectLostAttempts();
    // Cancels an attempt in order to repeat it, if the class, the maximum number of attempts and the retry
    // budget permit and the request has at least `neededMs` left.
    void cancelForRetry(const AttemptId& id, const Attempt& attempt, const Node& node, double neededMs);
    // Handles what depends on time alone; see the head of this file.
    void sweep();
    // Checks the cells that have queued requests or attempts in flight, and sends what may be sent.
    void processActiveCells();
    // Requests a timer for the next time at which sweep() has work, unless an earlier one is pending.
    void armTimer();

    // ---- Rounds ----
    void endRound();
    // Returns the host that sums a cell's bids in this round. All hosts derive it without communication. It
    // changes every round, so that a failed auctioneer costs one round. (If all hosts sent their bids to all,
    // the number of messages would grow with the square of the number of hosts.)
    int auctioneer(CellId cellId) const;
    // Sends this host's bids for the round that has just ended to the auctioneers of the cells.
    void sendBids();
    // Sends the sums of the bids that this host has gathered as auctioneer.
    void sendBidSums();
    void sendBidMessage(int to, const BidMessage& message);
    void receiveBidMessage(int sender, const BidMessage& message);
    // Returns whether a node served most of its units under overload, and more than kMinRequestsPerRound
    // requests of mean size.
    bool showsSaturation(const Bid& sum) const;
    // Updates the learned rate of a cell's node. What a saturated node served is a sample of its rate; what
    // any other node served is a lower bound.
    void learnRate(Cell& cell, const Bid& sum);
    // Ignores messages that cannot be parsed, are of another round, or hold implausible figures.
    void on(const PeerMessageEvent& event);

    // ---- Learned state ----
    LearnedState learnedState() {
        return {settings_,           fleet_,          volumes_,       budgetShares_,
                coordinatorBudgets_, recentRequests_, recentRetries_, budgetFillStartMs_};
    }

    Settings settings_;
    Random random_;
    double now_;
    ShutdownEvent shutdown_{kNever, kNever, kNever};  // times; kNever: no shutdown has begun
    // The start of this host, and the time from which unused parts of limits fill.
    double startMs_ = now_, budgetFillStartMs_ = now_;
    double tightestAimMs_ = kNever;
    double roundStartMs_ = std::floor(now_ / kRoundMs) * kRoundMs;
    double bidSumsDueMs_ = kNever;  // when this host sends the sums of the bids it gathers
    double lastSweepMs_ = now_;
    double timerDueMs_ = -1;
    double subscribeDueMs_ = kNever;            // next request for the node list subscription
    double longestBudgetWindowMs_ = 0;          // of all shared budgets
    std::map<int, double> longestLifetimesMs_;  // by class: longest time to expiry seen
    UnservedUnits unservedThisRound_;           // units
    std::vector<Action> actions_;
    std::unordered_map<RequestId, Request> requests_;
    std::set<std::pair<double, RequestId>> requestChecks_;  // by time of the next check
    std::map<AttemptId, Attempt> attempts_;
    std::set<std::pair<double, AttemptId>> attemptChecks_;  // by time of the next check
    Fleet fleet_;
    std::unordered_map<std::string, Volume> volumes_;  // by name; no decision depends on the order
    KeyQueues keyQueues_;
    std::map<BudgetId, BudgetShare> budgetShares_;              // this host's use of shared budgets
    std::map<BudgetId, CoordinatorBudget> coordinatorBudgets_;  // those that this host coordinates
    GatheredBids gatheredBids_;                                 // this round's bids
    SlidingWindow recentRequests_;                              // requests within the retry budget's window
    SlidingWindow recentRetries_;  // attempts after the first, in the same window
};

}  // namespace limedrum
