// Decisions and the dispatcher without any wire: what service days showed that calm ones had not.
#include <doctest/doctest.h>

#include <array>

#include "core/dispatcher.h"
#include "driver.h"

using namespace limedrum;
using namespace limedrum::testing;

// Guards against one hostile client that names a huge deadline: all others of its class then looked like
// clients' repeats whose aim has passed, and were thinned first.
TEST_CASE("a deadline beyond the class's own does not make the others late") {
    Driver d(plainSettings());
    d.give(0, request("liar", 3'600'000, 1));
    d.give(10, request("honest", 1010, 1));
    d.pass(2100, 10);
    bool bid = false;
    for (const Action& a : d.all) {
        const auto* tell = std::get_if<SendPeerMessage>(&a);
        if (tell == nullptr) continue;
        bid = true;
        CHECK_MESSAGE(tell->text.find(":40:") != std::string::npos,
                      tell->text);  // both are bid for, in tenths
    }
    CHECK(bid);
    CHECK(d.answers("liar") == 1);  // and it is not held for an hour
}

// Guards against a client that names more hosts than there are, which took the volume's part from all others.
TEST_CASE("a volume has no more hosts than the tier") {
    Settings s = plainSettings();
    s.hosts = 1;
    s.mayMessagePeers = false;
    s.plans[0] = {.rate = 10, .limit = 100, .limitDepth = 40};
    Driver d(s);
    RequestEvent liar = request("liar", 2000, 0);
    liar.hostsOfVolume = 1'000'000'000;
    d.pass(1500);
    d.give(1500, liar);
    CHECK(d.sends("liar") == 1);
}

// Guards against refusals that send clients away for longer than their aim: what came back was late by its
// wait alone.
TEST_CASE("a refusal says to come back soon, and of a node that answers nothing as late as allowed") {
    Settings s = plainSettings();
    s.maxRetryAfterMs = 1000;
    Driver d(s);
    saturate(d, 0, 8000);
    int refusals = 0;
    for (const Action& a : d.all) {
        const auto* refuse = std::get_if<RefuseRequest>(&a);
        if (refuse == nullptr) continue;
        ++refusals;
        CHECK(refuse->retryAfterMs > 0);
        CHECK(refuse->retryAfterMs <= s.classes[0].aimMs / 2);
    }
    CHECK(refusals > 20);
    Driver silent(s);
    for (int i = 0; i < 3; ++i) {
        RequestEvent r = request("s" + std::to_string(i), 1000, 0);
        r.units = 1;
        silent.give(i, r);
    }
    silent.pass(990);
    const auto did = silent.give(991, request("later", 1991, 0));
    REQUIRE(Driver::count<RefuseRequest>(did, "later") == 1);
    CHECK(std::get<RefuseRequest>(did.front()).retryAfterMs == 1000);
}

// Guards against thinning a volume's most precious requests like its cheapest.
TEST_CASE("within a volume what earns least a unit is thinned first") {
    Settings s = plainSettings();
    s.classes.push_back({.aimMs = 200, .deadlineMs = 1000, .worth = 1});
    s.hosts = 1;
    Driver d(s);
    saturate(d, 0, 8000, 10, 2);
    const auto [dear, cheap] = saturate(d, 8000, 12000, 5, 2);
    CHECK(dear + cheap < 700);  // of 800
    CHECK(dear > 1.2 * cheap);
}

// Guards against holding what nobody could send until its client has given up: it costs the client its time.
TEST_CASE("without an attempt a request is given up before half of its time has passed") {
    Settings s = plainSettings();
    s.rules.coldShare = 0.25;
    s.rules.warmWithinMs = 10000;
    s.rules.fallMs = 1000;
    s.coldUnits = 1;  // of which this host's part covers nothing
    Driver d(s);
    d.give(0, NodeListEvent{NodeListKind::update, {{.node = 100, .shard = 0, .bootMs = 1}}});
    RequestEvent late = request("late", 400, 0);  // a client's repeat: it is due at its end
    d.give(0, request("first", 1000, 0));
    d.give(1, late);
    d.pass(200);
    CHECK(d.answers("late") == 1);
    d.pass(500);
    CHECK(d.answers("first") == 1);
    CHECK(d.sends() == 0);
}

// Guards against growing memory over a long day on which nodes are replaced by new ones with new ids.
TEST_CASE("the dispatcher forgets nodes that have left") {
    using namespace martencove;
    Limits limits;
    Counters counters;
    Clock clock;
    SchedulerFacade facade(plainSettings(), 1, clock.nowMs(), {});
    Dispatcher dispatcher(facade, clock, limits, counters,
                          {[](double) {}, [](const PeerMessage&) {}, [](const std::string&) {}}, {});
    const auto entry = [](int i, martencove::NodeState state) {
        martencove::NodeEntry e;
        e.id = static_cast<martencove::NodeId>(i);
        e.state = state;
        return e;
    };
    for (int i = 1; i <= 500; ++i)
        dispatcher.updateNodes(
            {i, false, {entry(i, martencove::NodeState::ready), entry(i - 1, martencove::NodeState::gone)}});
    CHECK(dispatcher.knownNodeCount() == 1);
    dispatcher.updateNodes({501, true, {entry(900, martencove::NodeState::ready)}});
    CHECK(dispatcher.knownNodeCount() == 1);
}
