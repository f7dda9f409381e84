// What stands behind limedrum::Scheduler; the interface is include/limedrum/scheduler.h. Each concern has a
// file of its own: admission, node_selection, token_allocation, shared_budgets, attempts, outcomes,
// failure_detection, rounds, shutdown; scheduler.cpp calls them in their order.
//
// Flow. handle() takes the events in order, then sweep() looks at what time alone changes: requests about to
// expire, the round's end, lost attempts, silent nodes, held work that can no longer be in time; pump() sends
// what may go, earliest due first. A request is refused at once or enters the queue of its cell (the shard of
// data that one node holds). Its attempts are Flights until their outcome, also past its final answer. Every
// guard of a rule sits in maySend(); nothing else sends.
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
    // Requests go on by the class and the attempts that they were taken with.
    void updateSettings(Settings settings);
    std::vector<Action> handle(double nowMs, std::span<const Event> events);
    // What the next process on this machine goes on with.
    std::string exportState(double nowMs);
    bool importState(double nowMs, const std::string& text);
    std::vector<NodeStatus> nodeStatuses() const;
    std::size_t tableSize() const;

private:
    using AttemptId = std::pair<RequestId, int>;
    void on(const TimerFiredEvent&) {}
    void on(const ProbeResultEvent&) {}
    const ClassSettings& classOf(const Request& r) const { return settings_.classes[r.spec.classNo]; }
    bool isOrdered(const Request& r) const { return classOf(r).ordered && !r.spec.key.empty(); }
    const PlanSettings& planOf(int plan) const { return settings_.plans[plan]; }
    std::uint64_t roundAt(double ms) const {
        return static_cast<std::uint64_t>(std::max(ms, 0.0) / kRoundMs);
    }
    bool observesOverload(const Node& n) const { return now_ < n.localOverloadUntilMs; }
    // What the sum of bids tells counts where this host hears the node too seldom to feel it.
    bool lacksRecentAnswers(const Node& n) const {
        return now_ - n.delayMeasuredMs > kOwnObservationMaxAgeMs;
    }
    bool isOverloaded(const Node& n) const {
        return observesOverload(n) || (now_ < n.reportedOverloadUntilMs && lacksRecentAnswers(n));
    }
    double minInFlight(const Node& n) const {
        return isOverloaded(n) && n.unitsPerSecond > 0 ? kMinInFlightOverloaded : kMinInFlight;
    }
    void log(const std::string& text) { actions_.push_back(LogMessage{text}); }

    // ---- The list ----
    void on(const NodeListEvent& event);
    Node* servingNode(const Cell& c) const;
    // A new object may go to any node: to the one that should answer first, of a few drawn if they are many.
    CellId chooseCellForNewObject(double units);
    // Where a request goes next: its cell, or of weighted holders the one with the largest claim on its
    // piece, away from `avoid`, from those that answer nothing and, if `calm`, from pressed and cold ones.
    CellId route(const Request& r, const Node* avoid, bool calm) const;
    // What waits for a weighted holder that serves no more goes to another.
    void rerouteQueue(const Cell& c);
    // The part of its work that a node may take while it may be cold.
    double warmUpFraction(const Node& n) const;
    bool isCold(const Node& n) const;
    // What a holder not yet measured can do, by its weight against those that are.
    double estimateRate(const Node& n) const;

    // ---- Requests ----
    void on(const RequestEvent& event);
    bool isBlockedAsSilent(const Node& n) const;
    void recordDemand(const Request& r);
    // Units a second to expect in the rest of the round: as in the last round, or as this round shows a
    // surge.
    double expectedRate(double seen, double last) const;
    // The part of a node's pool that this host's demand has in the bids' sum: of units inside reserves first,
    // of the rest by weight, since at size a host has too few volumes to weigh them alone. Without a sum or
    // demand an even slice. The few requests at least give way to an even part where all bidders' do not fit.
    double tokenShare(const Cell& c, const Node& n) const;
    double maxInFlightUnits(const Cell& c, const Node& n) const;
    // Until an answer in good time, a round at most: at size a host hears a node once in seconds.
    void markOverloaded(Node& n);
    // Of units asked at one node, those in this host's part of the volume's reserve, by what was served
    // through it.
    double reservedUnits(const Volume& v, double asked, double everywhere, double seconds) const;
    // Percent thinning by volume: tokens left over units expected, dealt out to reserves first, then by
    // weight: a hot volume is thinned before its neighbours, and within a volume what earns least a unit
    // before the rest.
    void updateAdmissionProbabilities(Cell& c, const Node& n);
    bool shouldThin(Cell& c, Node& n, const Request& r);

    // ---- The rules' guards ----
    // Since when a node may be cold; 0: it is not. Back from a long silence it is taken for cold until the
    // list could tell a restart, as it falls for good if so. After a mere hang that costs part of its work.
    double coldSinceMs(const Node& n) const;
    // What all hosts together may send a cold node within the rule's window: what any bears, growing as
    // slowly as one may warm; that of the window's middle.
    std::optional<Budget> coldBudget(double since) const;
    // A plan's limit: a store so deep that fills in so long.
    std::optional<Budget> limitBudget(int plan) const;
    // ---- Budgets that all hosts share: cold nodes and limits ----
    //
    // A quarter of a budget is split evenly; a host uses its part without a word. The rest lies with two
    // keepers, half each, known to all from the budget's number; they deal it on asking, and what they deal
    // is void soon after. What both deny is given up at once. The total is safe whoever crashes, restarts or
    // loses messages: one host alone counts each part. A store's part is empty at its host's start; a
    // window's part is void for a window from then, unless the node started later still. Only budget is lost.
    bool ensureBudget(Request& r, BudgetId id, const std::optional<Budget>& b, int hosts, double figure);
    // Nothing of a cold node's budget where a host's part is under one request: the keepers have all.
    double localBudgetFraction(BudgetId id) const;
    double availableUnits(BudgetPart& ledger, const Budget& b, double part, double bornMs) const;
    void consumeBudget(BudgetId id, const std::optional<Budget>& b, double units);
    int budgetCoordinator(BudgetId id, int part) const;
    void sendBudgetMessage(int to, const BudgetMessage& m);
    void on(int sender, const BudgetMessage& m);
    // `ranMs`: when the first attempt that may have run was sent.
    bool mayRepeat(const Request& r, double ranMs) const;
    // By when a repeat's last byte has to be out, whatever it waits for on its way.
    double repeatDeadlineMs(const Request& r, double ranMs) const;
    bool retryBudgetAllows();
    // The shutdown's last moment at which an attempt of the request may begin.
    double attemptUntilMs(const Request& r) const;
    bool maySend(Request& r, Node& n);
    void send(Request& r, Node& n);
    void sendQueued(CellId cell);
    // Held work under pressure: where not all can be in time, what earns least for its size is refused, so
    // that earliest-due-first does not answer all just too late. And what a shared budget does not cover by
    // its aim.
    void shedQueue(Cell& c, Node& n);

    // ---- Answers ----
    void on(const OutcomeEvent& event);
    void on(const StreamStartedEvent& event);
    void on(const RequestAbandonedEvent& event);

    // ---- Shutdown ----
    void on(const ShutdownEvent& event);
    // Cuts an open request's time to what the shutdown leaves of it.
    void applyShutdownLimits(Request& r);
    // The final answer: refused where a repeat is harmless, else failed.
    void refuseOrFail(const RequestId& id, UnservedCause cause);
    // Lets go of a request that has its final answer, and calls off what is still out for it.
    void eraseRequest(const RequestId& id);

    // ---- Time ----
    // A node that takes work and answers nothing, whatever the cause: refused at once but for a trickle that
    // shows its return. A pause longer than the limit looks the same and costs the requests of its rest.
    void detectSilence(Node& n);
    // When a request that goes on is looked at again: one without an attempt out also when none may begin.
    double nextCheckMs(const Request& r) const;
    void scheduleCheck(Request& r, double ms);
    double lossTimeoutMs(const Node& n, double units) const;
    // An attempt out much longer than usual, overtaken by what was sent well later, is held for lost: it
    // takes no place any more and may be called off and repeated. Time alone is no proof: repeats feed a jam.
    void detectLostAttempts();
    // Calls an attempt off to repeat it, as class, cap and budget allow and its time may still serve.
    void cancelForRetry(const AttemptId& id, const Attempt& f, const Node& n, double neededMs);
    void sweep();
    void processActiveCells();
    void armTimer();

    // ---- Rounds ----
    void endRound();
    // The host that gathers a cell's bids in this round: another one each round, known to all without a word,
    // so that a dead one costs a round. (Bids from all to all grow with the square of the hosts.)
    int auctioneer(CellId cell) const;
    void sendBids();
    void sendBidSums();
    void sendBidMessage(int to, const BidMessage& message);
    void receiveBidMessage(int sender, const BidMessage& message);
    bool showsSaturation(const Bid& sum) const;
    // A node that was pressed for most of what it served ran at its rate; else its rate is at least that.
    void learnRate(Cell& c, const Bid& sum);
    // What cannot be read whole, is of another round, or claims what no host can mean, is passed over.
    void on(const PeerMessageEvent& event);

    // ---- What this host knows ----
    LearnedState learnedState() {
        return {settings_,           fleet_,          volumes_,       budgetShares_,
                coordinatorBudgets_, recentRequests_, recentRetries_, budgetFillStartMs_};
    }

    Settings settings_;
    Random random_;
    double now_;
    ShutdownEvent shutdown_{kNever, kNever, kNever};    // its moments; it has not begun
    double startMs_ = now_, budgetFillStartMs_ = now_;  // since the second, untouched parts of limits fill
    double tightestAimMs_ = kNever;                     // the tightest
    double roundStartMs_ = std::floor(now_ / kRoundMs) * kRoundMs;
    double bidSumsDueMs_ = kNever;  // when this host tells the sums of the bids that it gathers
    double lastSweepMs_ = now_;
    double timerDueMs_ = -1;
    double subscribeDueMs_ = kNever;            // when to ask for the subscription next
    double longestBudgetWindowMs_ = 0;          // the longest window of any shared budget
    std::map<int, double> longestLifetimesMs_;  // for each class: the longest time to expiry seen
    UnservedUnits unservedThisRound_;           // units, this round
    std::vector<Action> actions_;
    std::unordered_map<RequestId, Request> requests_;
    std::set<std::pair<double, RequestId>> requestChecks_;
    std::map<AttemptId, Attempt> attempts_;
    std::set<std::pair<double, AttemptId>> attemptChecks_;  // when an attempt is next looked at
    Fleet fleet_;
    std::unordered_map<std::string, Volume> volumes_;  // as it is met: no decision looks at the order
    KeyQueues keyQueues_;
    std::map<BudgetId, BudgetShare> budgetShares_;              // this host's use of budgets that all share
    std::map<BudgetId, CoordinatorBudget> coordinatorBudgets_;  // those that this host keeps
    GatheredBids gatheredBids_;                                 // this round's bids
    SlidingWindow recentRequests_;  // requests, and attempts beyond their first, within the rule's window
    SlidingWindow recentRetries_;
};

}  // namespace limedrum
