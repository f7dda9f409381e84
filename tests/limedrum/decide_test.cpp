// Regression tests of the scheduler and the dispatcher, without connections.
#include <doctest/doctest.h>

#include <array>

#include "core/dispatcher.h"
#include "driver.h"

using namespace limedrum;
using namespace limedrum::testing;

// Guards against a hostile client that states a huge deadline. All other requests of its class then looked
// like client retries whose aim has passed, and were thinned first.
TEST_CASE("a deadline beyond the class's limit does not mark other requests as late") {
    Driver d(plainSettings());
    d.handle(0, request("hostile", 3'600'000, 1));
    d.handle(10, request("normal", 1010, 1));
    d.advanceTo(2100, 10);
    bool bidSent = false;
    for (const Action& action : d.allActions) {
        const auto* message = std::get_if<SendPeerMessage>(&action);
        if (message == nullptr) continue;
        bidSent = true;
        // The bid covers both requests: 4 units, in tenths.
        CHECK_MESSAGE(message->text.find(":40:") != std::string::npos, message->text);
    }
    CHECK(bidSent);
    CHECK(d.answerCount("hostile") == 1);  // it does not stay queued for an hour
}

// Guards against a client that states more hosts than there are. That shrank this host's part of the volume's
// budget for all of the volume's requests.
TEST_CASE("a volume's host count is limited to the number of hosts") {
    Settings s = plainSettings();
    s.hosts = 1;
    s.mayMessagePeers = false;
    s.plans[0] = {.rate = 10, .limit = 100, .limitDepth = 40};
    Driver d(s);
    RequestEvent hostile = request("hostile", 2000, 0);
    hostile.hostsOfVolume = 1'000'000'000;
    d.advanceTo(1500);
    d.handle(1500, hostile);
    CHECK(d.sendCount("hostile") == 1);
}

// Guards against a retry-after longer than the aim, which made every retry late by its wait alone.
TEST_CASE("a refusal advises an early retry, and the longest permitted delay if the node is silent") {
    Settings s = plainSettings();
    s.maxRetryAfterMs = 1000;
    Driver d(s);
    saturate(d, 0, 8000);
    int refusals = 0;
    for (const Action& action : d.allActions) {
        const auto* refuse = std::get_if<RefuseRequest>(&action);
        if (refuse == nullptr) continue;
        ++refusals;
        CHECK(refuse->retryAfterMs > 0);
        CHECK(refuse->retryAfterMs <= s.classes[0].aimMs / 2);
    }
    CHECK(refusals > 20);
    Driver silent(s);
    for (int i = 0; i < 3; ++i) {
        RequestEvent event = request("s" + std::to_string(i), 1000, 0);
        event.units = 1;
        silent.handle(i, event);
    }
    silent.advanceTo(990);
    const auto actions = silent.handle(991, request("later", 1991, 0));
    REQUIRE(Driver::count<RefuseRequest>(actions, "later") == 1);
    CHECK(std::get<RefuseRequest>(actions.front()).retryAfterMs == 1000);
}

// Guards against thinning all requests of a volume alike, whatever their worth.
TEST_CASE("within a volume, requests of the least worth per unit are thinned first") {
    Settings s = plainSettings();
    s.classes.push_back({.aimMs = 200, .deadlineMs = 1000, .worth = 1});
    s.hosts = 1;
    Driver d(s);
    saturate(d, 0, 8000, 10, 2);
    const auto [valuable, cheap] = saturate(d, 8000, 12000, 5, 2);
    CHECK(valuable + cheap < 700);  // of 800
    CHECK(valuable > 1.2 * cheap);
}

// Guards against keeping requests that cannot be sent until their clients give up; a client that is refused
// early has time to retry.
TEST_CASE("a request without an attempt is given up before half of its time has passed") {
    Settings s = plainSettings();
    s.rules.coldShare = 0.25;
    s.rules.warmWithinMs = 10000;
    s.rules.fallMs = 1000;
    s.coldUnits = 1;  // less than one request
    Driver d(s);
    d.handle(0, NodeListEvent{NodeListKind::update, {{.node = 100, .shard = 0, .bootMs = 1}}});
    RequestEvent late = request("late", 400, 0);  // a client's retry, due at its expiry
    d.handle(0, request("first", 1000, 0));
    d.handle(1, late);
    d.advanceTo(200);
    CHECK(d.answerCount("late") == 1);
    d.advanceTo(500);
    CHECK(d.answerCount("first") == 1);
    CHECK(d.sendCount() == 0);
}

// Guards against memory that grows as nodes are replaced by new ones with new ids.
TEST_CASE("the dispatcher removes nodes that have left") {
    using namespace martencove;
    Limits limits;
    Counters counters;
    Clock clock;
    SchedulerFacade facade(plainSettings(), 1, clock.nowMs(), {});
    Dispatcher dispatcher(facade, clock, limits, counters,
                          {[](double) {}, [](const PeerMessage&) {}, [](const std::string&) {}}, {});
    const auto entry = [](int i, martencove::NodeState state) {
        martencove::NodeEntry nodeEntry;
        nodeEntry.id = static_cast<martencove::NodeId>(i);
        nodeEntry.state = state;
        return nodeEntry;
    };
    for (int i = 1; i <= 500; ++i)
        dispatcher.updateNodes(
            {i, false, {entry(i, martencove::NodeState::ready), entry(i - 1, martencove::NodeState::gone)}});
    CHECK(dispatcher.knownNodeCount() == 1);
    dispatcher.updateNodes({501, true, {entry(900, martencove::NodeState::ready)}});
    CHECK(dispatcher.knownNodeCount() == 1);
}
