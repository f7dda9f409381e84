// Tests of the scheduler's rules and mechanisms through its public interface.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>

#include "driver.h"

namespace limedrum::testing {
namespace {

// ---- Rule 1: each request gets one final answer in time, and no attempt after it ----

TEST(NoRequestLost, QueuedAndUnansweredRequestsAreAnsweredBeforeTheirExpiry) {
    Driver d(plainSettings());
    d.handle(0, request("out", 300));
    d.handle(0, request("noNode", 250, 7));  // no node holds this shard
    d.advanceTo(305);
    EXPECT_EQ(d.answerCount("out"), 1);
    EXPECT_EQ(d.answerCount("noNode"), 1);
    EXPECT_EQ(Driver::count<CancelAttempt>(d.allActions, "out"), 1);
    d.advanceTo(2000);
    EXPECT_EQ(d.sendCount("out"), 1);
    EXPECT_EQ(d.answerCount(), 2);
}

TEST(NoRequestLost, NoAnswerFollowsAResultAndAClockJumpExpiresRequests) {
    Driver d(plainSettings());
    d.handle(0, request("a", 1000));
    d.outcome(20, "a", 0, 100, Outcome::done);
    d.handle(30, request("b", 1030));
    d.handle(90000, TimerFiredEvent{1});
    EXPECT_EQ(d.answerCount("a"), 0);
    EXPECT_EQ(d.answerCount("b"), 1);
    EXPECT_EQ(d.sendCount(), 2);
}

TEST(NoRequestLost, StartedStreamHasNoDeadline) {
    Settings s = plainSettings();
    s.classes[0].stream = true;
    Driver d(s);
    d.handle(0, request("a", 300));
    d.handle(20, StreamStartedEvent{"a", 0});
    d.advanceTo(1000);
    EXPECT_EQ(d.answerCount("a"), 0);
}

// ---- Rule 2: no request takes effect twice ----

TEST(Effects, NonIdempotentRequestThatMayHaveRunIsNeitherRepeatedNorRefused) {
    Settings s = plainSettings();
    s.classes[0].idempotency = Idempotency::nonIdempotent;
    s.classes[0].repeatWindowMs = 900;  // ignored for this class
    Driver d(s);
    d.handle(0, request("a", 1000));
    d.outcome(10, "a", 0, 100, Outcome::reset);
    d.advanceTo(1100);
    EXPECT_EQ(d.sendCount("a"), 1);
    EXPECT_EQ(Driver::count<FailRequest>(d.allActions, "a"), 1);
    EXPECT_EQ(Driver::count<RefuseRequest>(d.allActions, "a"), 0);
}

TEST(Effects, NonIdempotentRequestThatDidNotRunIsRetried) {
    Settings s = plainSettings();
    s.classes[0].idempotency = Idempotency::nonIdempotent;
    Driver d(s);
    d.handle(0, request("a", 1000));
    d.outcome(10, "a", 0, 100, Outcome::rejected);
    d.advanceTo(300);
    EXPECT_EQ(d.sendCount("a"), 2);
}

TEST(Effects, DeduplicatedRequestIsRepeatedOnlyInsideItsWindowAndNotRefusedAfter) {
    Settings s = plainSettings();
    s.classes[0].idempotency = Idempotency::deduplicated;
    s.classes[0].dedupScope = DedupScope::shard;
    s.classes[0].repeatWindowMs = 400;
    Driver d(s);
    d.handle(0, request("early", 1000));
    d.outcome(10, "early", 0, 100, Outcome::reset);
    d.advanceTo(200);
    EXPECT_EQ(d.sendCount("early"), 2);
    d.outcome(210, "early", 1, 100, Outcome::done);
    d.handle(300, request("late", 1300));
    d.outcome(680, "late", 0, 100, Outcome::reset);
    d.advanceTo(1400);
    EXPECT_EQ(d.sendCount("late"), 1);
    EXPECT_EQ(Driver::count<FailRequest>(d.allActions, "late"), 1);
    EXPECT_EQ(Driver::count<RefuseRequest>(d.allActions, "late"), 0);
}

// Guards against a repeat that is decided in time but reaches the node after it has forgotten the first
// attempt. Waits for a connection or for the event loop count too.
TEST(Effects, DeduplicatedRepeatStatesWhenItsLastByteMustBeSent) {
    Settings s = plainSettings();
    s.classes[0].idempotency = Idempotency::deduplicated;
    s.classes[0].repeatWindowMs = 400;
    s.tickMs = 5;
    Driver d(s);
    const auto lastSent = [&] {
        for (const Action& action : d.lastActions)
            if (const auto* send = std::get_if<SendAttempt>(&action)) return *send;
        return SendAttempt{};
    };
    d.handle(100, request("a", 1100));
    EXPECT_TRUE(std::isinf(lastSent().lastByteWithinMs));
    d.outcome(110, "a", 0, 100, Outcome::reset);
    while (d.sendCount("a") < 2 && d.nowMs < 490) d.handle(d.nowMs + 2, TimerFiredEvent{1});
    ASSERT_EQ(d.sendCount("a"), 2);
    EXPECT_DOUBLE_EQ(d.nowMs + lastSent().lastByteWithinMs, 100 + 400 - 2 * 5);
}

TEST(Effects, DeduplicatedNewObjectStaysInItsCellOnceItMayHaveRun) {
    Settings s = plainSettings();
    s.classes[0].idempotency = Idempotency::deduplicated;
    s.classes[0].dedupScope = DedupScope::shard;
    s.classes[0].repeatWindowMs = 900;
    Driver d(s);
    const auto first = d.handle(0, request("a", 1000, -1));
    const auto sent =
        std::find_if(first.begin(), first.end(), [](const Action& action) { return action.index() == 0; });
    ASSERT_NE(sent, first.end());
    const NodeId node = std::get<SendAttempt>(*sent).node;
    d.outcome(10, "a", 0, node, Outcome::error);
    d.advanceTo(200);
    for (const Action& action : d.allActions) {
        const auto* send = std::get_if<SendAttempt>(&action);
        EXPECT_TRUE(send == nullptr || send->node == node);
    }
    EXPECT_EQ(d.sendCount("a"), 2);
}

TEST(Effects, AttemptsNeverExceedTheCapNorOverlap) {
    Driver d(plainSettings());
    d.handle(0, request("a", 1000));
    for (int i = 0; i < 6; ++i) {
        d.outcome(d.nowMs + 10, "a", i, 100, Outcome::rejected);
        d.advanceTo(d.nowMs + 100);
        EXPECT_LE(d.sendCount("a"), std::min(i + 2, 3));
    }
    EXPECT_EQ(d.sendCount("a"), 3);
    EXPECT_EQ(d.answerCount("a"), 1);
}

// ---- Rule 3: draining nodes and the node list ----

TEST(Drains, DrainingGoneAndUnlistedNodesGetNoAttempts) {
    for (const auto& [kind, state] : {std::pair{NodeListKind::update, NodeState::draining},
                                      std::pair{NodeListKind::update, NodeState::gone},
                                      std::pair{NodeListKind::full, NodeState::serving}}) {
        Driver d(plainSettings());
        NodeListEvent event{kind, {}};
        // The full list leaves node 100 out.
        event.entries.push_back({.node = NodeId(kind == NodeListKind::full ? 101 : 100),
                                 .shard = kind == NodeListKind::full ? 1 : 0,
                                 .state = state});
        d.handle(10, event);
        d.handle(11, request("a", 500, 0));
        d.advanceTo(600);
        EXPECT_EQ(d.sendCount(), 0);
        EXPECT_EQ(d.answerCount("a"), 1);
    }
}

TEST(Drains, SuccessorInTheSameCellGetsQueuedRequests) {
    Driver d(plainSettings());
    d.handle(10, NodeListEvent{NodeListKind::update, {{.node = 100, .shard = 0, .state = NodeState::gone}}});
    d.handle(11, request("a", 500, 0));
    d.handle(40, NodeListEvent{NodeListKind::update, {{.node = 200, .shard = 0}}});
    d.advanceTo(60);
    EXPECT_EQ(d.sendCount("a"), 1);
}

TEST(Drains, NodeListIsRequestedAtOnceAndAgainAfterFailure) {
    Settings s = plainSettings();
    s.nodeListOnRequest = true;
    Driver d(s);
    EXPECT_EQ(Driver::count<SubscribeToNodeList>(d.allActions), 1);
    d.handle(100, NodeListEvent{NodeListKind::unavailable, {}});
    d.advanceTo(3000);
    EXPECT_EQ(Driver::count<SubscribeToNodeList>(d.allActions), 2);
    d.handle(3000, NodeListEvent{NodeListKind::update, {}});
    d.advanceTo(20000);
    EXPECT_EQ(Driver::count<SubscribeToNodeList>(d.allActions), 2);
    d.handle(20000, NodeListEvent{NodeListKind::unavailable, {}});
    d.advanceTo(23000);
    EXPECT_EQ(Driver::count<SubscribeToNodeList>(d.allActions), 3);
}

TEST(Drains, UnansweredSubscriptionIsRequestedAgain) {
    Settings s = plainSettings();
    s.nodeListOnRequest = true;
    Driver d(s);
    d.advanceTo(9500, 50);
    EXPECT_EQ(Driver::count<SubscribeToNodeList>(d.allActions), 2);
}

// ---- Rule 4: cold nodes ----

Settings coldSettings() {
    Settings s = plainSettings();
    s.rules.coldShare = 0.25;
    s.rules.warmWithinMs = 16000;
    s.rules.overloadFactor = 2;
    s.rules.fallMs = 1000;
    s.coldUnits = 40;  // of which this host has 10, without peers to grant more
    s.mayMessagePeers = false;
    return s;
}

double unitsSent(const Driver& d, double unitsEach) { return unitsEach * d.sendCount(); }

TEST(ColdNodes, UnitsPerWindowStayWithinThisHostsPart) {
    Driver d(coldSettings());
    d.advanceTo(1500);
    d.handle(1500, NodeListEvent{NodeListKind::update, {{.node = 100, .shard = 0, .bootMs = 1400}}});
    for (int i = 0; i < 60; ++i) {
        const RequestId id = "r" + std::to_string(i);
        const auto actions = d.handle(1502 + 10 * i, request(id, 2500 + 10 * i, 0));
        if (Driver::count<SendAttempt>(actions, id) > 0) d.outcome(d.nowMs + 1, id, 0, 100, Outcome::done, 1);
    }
    EXPECT_GE(unitsSent(d, 2), 4);
    EXPECT_LE(unitsSent(d, 2), 10);
}

TEST(ColdNodes, RestartedHostSendsNothingWithinTheWindowOfItsPreviousRun) {
    Driver d(coldSettings(), 1, 50000);
    d.handle(50001, NodeListEvent{NodeListKind::update, {{.node = 100, .shard = 0, .bootMs = 49900}}});
    d.handle(50002, request("a", 51000, 0));
    d.advanceTo(50100);
    EXPECT_EQ(d.sendCount(), 0);
}

TEST(ColdNodes, NodeBackFromALongSilenceIsColdUntilTheNodeListCanReportARestart) {
    Driver d(coldSettings());
    d.advanceTo(1500);
    for (const RequestId id : {"stuck1", "stuck2"}) d.handle(1500, request(id, 2500, 0));
    d.advanceTo(2510);
    for (const RequestId id : {"stuck1", "stuck2"}) d.outcome(2510, id, 0, 100, Outcome::cancelled);
    d.handle(2520, request("stuck3", 8000, 0));
    d.advanceTo(9000);
    d.handle(9000, request("probe", 10000, 0));
    ASSERT_EQ(d.sendCount("probe"), 1);
    d.outcome(9010, "probe", 0, 100, Outcome::done, 10);
    const int before = d.sendCount();
    for (int i = 0; i < 40; ++i) {
        const RequestId id = "r" + std::to_string(i);
        const auto actions = d.handle(9020 + 5 * i, request(id, 10020 + 5 * i, 0));
        if (Driver::count<SendAttempt>(actions, id) > 0) d.outcome(d.nowMs + 1, id, 0, 100, Outcome::done, 1);
    }
    EXPECT_LE(2 * (d.sendCount() - before), 10);
}

// ---- Rule 5: limits of volumes ----

Settings limitSettings() {
    Settings s = plainSettings();
    s.plans[0] = {.rate = 10, .limit = 20, .limitDepth = 40, .limitSlack = 4};
    s.mayMessagePeers = false;
    return s;
}

TEST(Limits, HostUsesOnlyItsEvenPartAndStartsWithoutUnits) {
    Driver d(limitSettings());
    d.handleAll(0, {});
    RequestEvent r = request("first", 100, 0);
    r.hostsOfVolume = 4;
    d.handle(0, r);
    EXPECT_EQ(d.sendCount(), 0);  // the previous run of this host may have used all units
    for (int i = 0; i < 400; ++i) {
        RequestEvent more = request("r" + std::to_string(i), 10 * i + 300, 0);
        more.hostsOfVolume = 4;
        const auto actions = d.handle(10 * i + 10, more);
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<SendAttempt>(&action))
                d.outcome(d.nowMs, send->id, 0, 100, Outcome::done, 1);
        }
    }
    // No units for 2 s, as the previous run may have used them; then a quarter of 40 units in two seconds.
    EXPECT_GE(unitsSent(d, 2), 8);
    EXPECT_LE(unitsSent(d, 2), 20);
}

TEST(Limits, IdleVolumeAccumulatesNoMoreThanItsPartOfTheDepth) {
    Driver d(limitSettings());
    d.advanceTo(20000, 50);
    for (int i = 0; i < 30; ++i) {
        RequestEvent r = request("r" + std::to_string(i), 20500, 0);
        r.hostsOfVolume = 4;
        const auto actions = d.handle(20000, r);
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<SendAttempt>(&action))
                d.outcome(20000, send->id, 0, 100, Outcome::done, 1);
        }
    }
    EXPECT_EQ(unitsSent(d, 2), 10);
}

// ---- Rule 6: order of requests with the same key ----

Settings orderSettings() {
    Settings s = plainSettings();
    s.classes[0].ordered = true;
    s.rules.orderPauseMs = 100;
    return s;
}

RequestEvent keyed(const RequestId& id, double expiresMs) {
    RequestEvent r = request(id, expiresMs, 0);
    r.key = "k";
    return r;
}

TEST(Order, OneAtATimeInOrderOfArrival) {
    Driver d(orderSettings());
    d.handle(0, keyed("a", 900));
    d.handle(1, keyed("b", 500));  // due earlier, arrived later
    EXPECT_EQ(d.sendCount("b"), 0);
    d.outcome(20, "a", 0, 100, Outcome::done);
    EXPECT_EQ(d.sendCount("b"), 1);
}

TEST(Order, KeyPausesAfterAnUnknownOutcomeEvenPastTheFinalAnswer) {
    Driver d(orderSettings());
    d.handle(0, keyed("a", 300));
    d.handle(1, keyed("b", 1000));
    d.advanceTo(350);  // "a" has been answered; its attempt is still in flight
    EXPECT_EQ(d.answerCount("a"), 1);
    EXPECT_EQ(d.sendCount("b"), 0);
    d.outcome(360, "a", 0, 100, Outcome::cancelled);
    d.advanceTo(450);
    EXPECT_EQ(d.sendCount("b"), 0);
    d.advanceTo(480);
    EXPECT_EQ(d.sendCount("b"), 1);
}

TEST(Order, RequestsWithoutAKeyAreNotOrdered) {
    Driver d(orderSettings());
    d.handle(0, request("a", 900));
    d.handle(1, request("b", 900));
    EXPECT_EQ(d.sendCount(), 2);
}

// ---- Rule 7: retry budget ----

TEST(Budget, RetriesStayWithinTheWindowsBudget) {
    Settings s = plainSettings();
    s.rules.budgetWindowMs = 5000;
    s.rules.budgetFree = 2;
    s.rules.budgetRatio = 0.1;
    Driver d(s, 1, 0, 12);
    for (int i = 0; i < 10; ++i) {
        const RequestId id = "r" + std::to_string(i);
        d.handle(10 * i, request(id, 10 * i + 900, i));
        d.outcome(10 * i + 5, id, 0, NodeId(100 + i), Outcome::rejected);
    }
    d.advanceTo(1200);
    EXPECT_EQ(d.sendCount(), 10 + 3);
    EXPECT_EQ(d.answerCount(), 10);
}

// ---- Admission and rates ----

/// Overloads the node of shard 0 by slow answers, so that the scheduler learns its rate.
void saturate(Driver& d, double fromMs, double untilMs, double intervalMs, const std::string& prefix) {
    int i = 0;
    for (double t = fromMs; t < untilMs; t += intervalMs, ++i) {
        const RequestId id = prefix + std::to_string(i);
        const auto actions = d.handle(t, request(id, t + 1000, 0));
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<SendAttempt>(&action)) {
                d.outcome(t, send->id, 0, 100, Outcome::done, i % 4 == 0 ? 10 : 700);
            }
        }
    }
}

TEST(Admission, NodeWithoutOverloadIsNotThinned) {
    Driver d(plainSettings());
    for (int i = 0; i < 200; ++i) {
        const RequestId id = "r" + std::to_string(i);
        d.handle(10 * i, request(id, 10 * i + 1000, 0));
        d.outcome(10 * i + 5, id, 0, 100, Outcome::done, 5);
    }
    EXPECT_EQ(d.sendCount(), 200);
}

/// Passes the other hosts' demand for cell 0 in this round to the scheduler: as a bid, in case this host is
/// the auctioneer, and as a bid sum from each other host that may be.
void sendDemand(Driver& d, double atMs, long round, double othersUnits, double ownUnits) {
    const auto bidText = [](double units, int hosts) {
        return " 0:10:0:" + std::to_string(std::lround(units * 10)) + ":100:0:" + std::to_string(hosts * 10);
    };
    const std::string roundText = std::to_string(round);
    for (int peer = 1; peer < 4; ++peer) {
        if (peer == 1) d.handle(atMs, PeerMessageEvent{peer, "b3 " + roundText + bidText(othersUnits, 1)});
        d.handle(atMs, PeerMessageEvent{peer, "s3 " + roundText + bidText(othersUnits + ownUnits, 2)});
    }
    d.advanceTo(atMs + 70);
}

TEST(Admission, OverloadedNodeIsThinnedAtOnceToTheShareOfTheBids) {
    const auto sendsWithPeerDemand = [](int peerOffered) {
        Driver d(plainSettings());
        saturate(d, 0, 8000, 10, "s");
        sendDemand(d, 8001, 4, peerOffered, 400);
        const int before = d.sendCount();
        saturate(d, 8080, 9900, 5, "t");
        EXPECT_GT(d.answerCount(), 0);
        return d.sendCount() - before;
    };
    const int smallShare = sendsWithPeerDemand(1200);
    const int largeShare = sendsWithPeerDemand(100);
    EXPECT_GT(smallShare, 0);
    EXPECT_LT(smallShare * 2, largeShare);
}

TEST(Admission, ImplausibleBidsLeaveAHostAFewRequests) {
    Settings s = plainSettings();
    s.hosts = 2;
    Driver d(s);
    saturate(d, 0, 8000, 4, "s");
    sendDemand(d, 8001, 4, 999999, 1000);
    const int before = d.sendCount();
    saturate(d, 8080, 9900, 5, "t");
    EXPECT_GE(d.sendCount() - before, 2);  // the minimum share
}

TEST(Admission, ClientRetriesPastTheirAimDoNotInflateBids) {
    Driver d(plainSettings());
    d.handle(0, request("first", 1000, 1));
    for (int i = 0; i < 10; ++i) d.handle(1, request("again" + std::to_string(i), 501, 1));
    for (std::size_t i = 0; d.nowMs < 2100; d.advanceTo(d.nowMs + 10, 10)) {
        for (; i < d.allActions.size(); ++i) {  // attempts left in flight would count as overload
            if (const Action action = d.allActions[i]; const auto* send = std::get_if<SendAttempt>(&action))
                d.outcome(d.nowMs, send->id, 0, send->node, Outcome::timedOut, 1);
        }
    }
    for (const Action& action : d.allActions) {
        const auto* message = std::get_if<SendPeerMessage>(&action);
        EXPECT_TRUE(message == nullptr || message->text.ends_with(":20:0:0:10")) << message->text;
    }
    EXPECT_GE(Driver::count<SendPeerMessage>(d.allActions), 1);
}

TEST(Admission, QueuedRequestsThatCannotBeInTimeAreRefusedLongBeforeTheirExpiry) {
    Driver d(coldSettings());
    d.advanceTo(1500);
    d.handle(1500, NodeListEvent{NodeListKind::update, {{.node = 100, .shard = 0, .bootMs = 1400}}});
    for (int i = 0; i < 40; ++i) {
        const RequestId id = "r" + std::to_string(i);
        const auto actions = d.handle(1502, request(id, 2502, 0));
        if (Driver::count<SendAttempt>(actions, id) > 0) d.outcome(1502, id, 0, 100, Outcome::done, 1);
    }
    d.advanceTo(1750);
    EXPECT_GT(d.answerCount(), 20);
}

TEST(Admission, SurgeIsThinnedWithinItsRound) {
    Driver d(plainSettings());
    saturate(d, 0, 8000, 20, "s");
    // At four times the demand of the last round, the tokens must still last past the middle of the round.
    int early = 0;
    int late = 0;
    int before = d.sendCount();
    saturate(d, 8000, 9000, 5, "t");
    early = d.sendCount() - before;
    before = d.sendCount();
    saturate(d, 9000, 10000, 5, "u");
    late = d.sendCount() - before;
    EXPECT_GT(late, early / 4);
}

TEST(Admission, HotVolumeIsThinnedBeforeItsNeighbour) {
    Settings s = plainSettings();
    s.plans[0].weight = 100;
    s.plans.push_back({.rate = 60, .reserve = 60, .weight = 0.01});
    s.hosts = 1;
    Driver d(s);
    saturate(d, 0, 8000, 10, "s");
    int hot = 0;
    int neighbour = 0;
    int i = 0;
    for (double t = 8000; t < 12000; t += 5, ++i) {
        RequestEvent r = request("t" + std::to_string(i), t + 1000, 0);
        r.volume = i % 10 == 0 ? "calm" : "v";
        r.planNo = i % 10 == 0 ? 1 : 0;
        const auto actions = d.handle(t, r);
        for (const Action& action : actions) {
            const auto* send = std::get_if<SendAttempt>(&action);
            if (send == nullptr) continue;
            if (send->id[0] == 't') ++(std::stoi(send->id.substr(1)) % 10 == 0 ? neighbour : hot);
            d.outcome(t, send->id, 0, 100, Outcome::done, i % 4 == 0 ? 10 : 700);
        }
    }
    EXPECT_GT(neighbour / 80.0, 0.9);
    EXPECT_LT(hot / 720.0, 0.8);
}

TEST(Admission, EarliestDueIsSentFirstWithinTheInFlightLimit) {
    Settings s = plainSettings();
    s.classes.push_back({.aimMs = 600, .deadlineMs = 1000});
    Driver d(s);
    for (int i = 0; i < 5; ++i) {
        RequestEvent r = request("slow" + std::to_string(i), 1000);
        r.classNo = 1;
        d.handle(0, r);
    }
    const int inFlight = d.sendCount();
    EXPECT_LT(inFlight, 5);
    d.handle(1, request("quick", 1001));
    EXPECT_EQ(d.sendCount("quick"), 0);
    d.outcome(10, "slow0", 0, 100, Outcome::done);
    EXPECT_EQ(d.sendCount("quick"), 1);
}

TEST(Admission, BidsAreSentEveryRoundInMessagesOfLimitedSize) {
    Driver d(plainSettings(), 1, 0, 60);
    for (int i = 0; i < 60; ++i) d.handle(1, request("r" + std::to_string(i), 1001, i));
    d.advanceTo(2100, 10);
    int bids = 0;
    for (const Action& action : d.allActions) {
        if (const auto* message = std::get_if<SendPeerMessage>(&action)) {
            ++bids;
            EXPECT_LE(message->text.size(), 256U);
        }
    }
    EXPECT_GE(bids, 2);
}

// ---- Failures and invalid input ----

TEST(Silence, SilentNodeIsRefusedAtOnceProbedAndRestored) {
    Driver d(plainSettings());
    for (const RequestId id : {"a", "b"}) d.handle(0, request(id, 900, 0));
    d.advanceTo(920);
    for (const RequestId id : {"a", "b"}) d.outcome(920, id, 0, 100, Outcome::cancelled);
    d.handle(921, request("c", 1900, 0));
    d.advanceTo(1750);
    d.handle(1750, request("refused", 2750, 0));
    EXPECT_EQ(Driver::count<RefuseRequest>(d.lastActions, "refused"), 1);
    d.handle(1751, request("other", 2751, 1));  // requests of other nodes are not affected
    EXPECT_EQ(d.sendCount("other"), 1);
    d.advanceTo(2300);
    d.handle(2300, request("trickle", 3300, 0));
    EXPECT_EQ(d.sendCount("trickle"), 1);
    d.outcome(2320, "trickle", 0, 100, Outcome::done);
    d.handle(2321, request("back", 3321, 0));
    EXPECT_EQ(d.sendCount("back"), 1);
}

TEST(LostAnswers, OneLostAnswerDoesNotMakeANodeSilent) {
    Driver d(plainSettings());
    d.handle(0, request("lost", 1000, 0));
    d.advanceTo(990);
    d.handle(990, request("next", 1990, 0));
    EXPECT_EQ(d.sendCount("next"), 1);
}

TEST(LostAnswers, OvertakenAttemptIsCancelledAndRepeatedAndFreesItsSlot) {
    Driver d(plainSettings());
    d.handle(0, request("lost", 1000, 0));
    for (int i = 0; i < 30; ++i) {
        const RequestId id = "r" + std::to_string(i);
        d.handle(10.0 * i + 1, request(id, 10.0 * i + 1001, 0));
        d.outcome(10.0 * i + 6, id, 0, 100, Outcome::done, 5);
    }
    ASSERT_EQ(Driver::count<CancelAttempt>(d.allActions, "lost"), 1);
    EXPECT_EQ(d.answerCount("lost"), 0);
    d.outcome(310, "lost", 0, 100, Outcome::cancelled);
    EXPECT_EQ(d.sendCount("lost"), 2);
}

TEST(LostAnswers, NonIdempotentRequestIsNotRepeated) {
    Settings s = plainSettings();
    s.classes[0].idempotency = Idempotency::nonIdempotent;
    Driver d(s);
    d.handle(0, request("lost", 1000, 0));
    for (int i = 0; i < 30; ++i) {
        const RequestId id = "r" + std::to_string(i);
        d.handle(10.0 * i + 1, request(id, 10.0 * i + 1001, 0));
        d.outcome(10.0 * i + 6, id, 0, 100, Outcome::done, 5);
    }
    EXPECT_EQ(Driver::count<CancelAttempt>(d.allActions, "lost"), 0);
}

TEST(InvalidInput, MalformedPeerMessagesAndUnknownIdsAreIgnored) {
    Driver d(plainSettings());
    for (const std::string& text :
         {std::string(), std::string("b"), std::string("b3"), std::string("b3 "), std::string("b2 1 0:1:1"),
          std::string("b3 0 0:99999999999999999999:1:1:1:1"), std::string("b3 0 0:5"),
          std::string("b3 0 0:5:5:5:5:5x"), std::string("s3 0 0:-5:5:5:5:5"),
          std::string("s3 0 0:4000000000:1:1:1:1"), std::string(5000, 'x'),
          std::string("s3 18446744073709551616 0:1:1:1:1:1"), std::string("b3 0 9999:1:1:1:1:1"),
          std::string("\0b3", 3)}) {
        d.handle(1, PeerMessageEvent{1, text});
    }
    d.handle(1, PeerMessageEvent{-1, "b3 0 0:1:1:1:1:1"});
    d.handle(1, PeerMessageEvent{99, "s3 0 0:1:1:1:1:1"});
    d.outcome(2, "unknown", 3, 100, Outcome::done);
    d.handle(2, RequestAbandonedEvent{"unknown"});
    d.handle(2, StreamStartedEvent{"unknown", 0});
    d.handle(2, ProbeResultEvent{77, true});
    d.handle(2, TimerFiredEvent{-5});
    RequestEvent badClass = request("badClass", 1000);
    badClass.classNo = 9;
    d.handle(3, badClass);
    EXPECT_EQ(d.answerCount("badClass"), 1);
    RequestEvent nanExpiry = request("nan", std::numeric_limits<double>::quiet_NaN());
    d.handle(3, nanExpiry);
    EXPECT_EQ(d.answerCount("nan"), 1);
    d.handle(4, request("a", 1004));
    EXPECT_EQ(d.sendCount("a"), 1);
}

TEST(InvalidInput, InvalidSettingsAreRejectedByName) {
    Settings empty;
    EXPECT_THROW(Scheduler(empty, 1, 0), std::invalid_argument);
    Settings zeroDeadline = plainSettings();
    zeroDeadline.classes[0].deadlineMs = 0;
    EXPECT_THROW(Scheduler(zeroDeadline, 1, 0), std::invalid_argument);
    Settings infiniteLimit = plainSettings();
    infiniteLimit.plans[0].limit = std::numeric_limits<double>::infinity();
    EXPECT_THROW(Scheduler(infiniteLimit, 1, 0), std::invalid_argument);
    Settings negativeFall = plainSettings();
    negativeFall.rules.fallMs = -1;
    try {
        Scheduler rejected(negativeFall, 1, 0);
        FAIL();
    } catch (const std::invalid_argument& error) {
        EXPECT_NE(std::string(error.what()).find("rules"), std::string::npos);
    }
}

TEST(InvalidInput, MinimalSettingsWork) {
    Settings s;
    s.classes.push_back({.aimMs = 0, .deadlineMs = 500});
    Driver d(s);
    d.handle(0, request("a", 500));
    EXPECT_EQ(d.sendCount("a"), 1);
    d.advanceTo(5000, 50);
    EXPECT_EQ(Driver::count<SendPeerMessage>(d.allActions), 0);
}

TEST(SchedulerTest, MemoryStaysBounded) {
    Driver d(orderSettings());
    std::size_t maxTableSize = 0;
    for (int i = 0; i < 20000; ++i) {
        const RequestId id = "r" + std::to_string(i);
        RequestEvent r = request(id, 20.0 * i + 1000, 0);
        r.volume = "v" + std::to_string(i / 10);
        r.key = "k" + std::to_string(i);
        d.handle(20.0 * i, r);
        d.outcome(20.0 * i + 1, id, 0, 100, Outcome::done, 1);
        d.allActions.clear();
        maxTableSize = std::max(maxTableSize, d.tableSize());
    }
    EXPECT_LT(maxTableSize, 2000U);
}

TEST(SchedulerTest, SameSeedAndEventsGiveTheSameActions) {
    const auto run = [](std::uint64_t seed) {
        Driver d(plainSettings(), seed);
        saturate(d, 0, 6000, 7, "s");
        std::string text;
        for (const Action& action : d.allActions) {
            if (const auto* send = std::get_if<SendAttempt>(&action))
                text += send->id + ">" + std::to_string(send->node) + ' ';
            if (const auto* refuse = std::get_if<RefuseRequest>(&action)) text += refuse->id + "x ";
        }
        return text;
    };
    EXPECT_EQ(run(1), run(1));
    EXPECT_NE(run(1), run(2));
}

}  // namespace
}  // namespace limedrum::testing
