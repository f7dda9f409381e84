// Shards with several weighted holders: which of them gets a request, and what happens when holders join,
// leave or fail. Also the placement of new objects and the release of table entries.
#include <doctest/doctest.h>

#include <cmath>
#include <map>
#include <set>

#include "driver.h"

using namespace limedrum;
using namespace limedrum::testing;

namespace {

/// A scheduler with one shard, held by nodes 200, 201, ...
struct ShardDriver {
    explicit ShardDriver(int holders, Settings s = plainSettings(), std::vector<double> weights = {})
        : driver(s, 1, 100'000, 0) {
        NodeListEvent list{NodeListKind::full, {}};
        for (int i = 0; i < holders; ++i)
            list.entries.push_back(entry(i, weights.empty() ? 1 : weights[static_cast<std::size_t>(i)]));
        driver.handle(100'000, list);
    }
    static NodeEntry entry(int i, double weight, NodeState state = NodeState::serving, double bootMs = 0) {
        return {.node = NodeId(200 + i), .shard = 7, .state = state, .bootMs = bootMs, .weight = weight};
    }
    void updateList(const NodeEntry& e) {
        driver.handle(driver.nowMs, NodeListEvent{NodeListKind::update, {e}});
    }
    RequestEvent read(int piece, double lifeMs = 1000) {
        RequestEvent r = request("q" + std::to_string(++requestCount), driver.nowMs + lifeMs, 7);
        r.key = "piece" + std::to_string(piece);
        return r;
    }
    /// Returns the node to which the latest actions send a request; 0: none.
    NodeId sentTo(const RequestId& id) const {
        NodeId node = 0;
        for (const Action& a : driver.lastActions)
            if (const auto* send = std::get_if<SendAttempt>(&a); send != nullptr && send->id == id)
                node = send->node;
        return node;
    }
    /// Requests a piece, answers at once and returns the node used; 0: none.
    NodeId ask(int piece) {
        const RequestEvent r = read(piece);
        driver.handle(driver.nowMs + 1, r);
        const NodeId node = sentTo(r.id);
        if (node != 0) driver.outcome(driver.nowMs, r.id, 0, node, Outcome::done, 5);
        return node;
    }
    /// Answers all attempts of the latest actions at once, and those that the answers cause. Adds the units
    /// to `units`, by node.
    void answerAll(std::map<NodeId, double>* units = nullptr) {
        std::vector<Action> pending = driver.lastActions;
        while (!pending.empty()) {
            const Action action = pending.back();
            pending.pop_back();
            const auto* send = std::get_if<SendAttempt>(&action);
            if (send == nullptr) continue;
            if (units != nullptr) (*units)[send->node] += 2;
            const std::vector<Action> more =
                driver.outcome(driver.nowMs, send->id, 0, send->node, Outcome::done, 5);
            pending.insert(pending.end(), more.begin(), more.end());
        }
    }
    /// Returns a piece that belongs to the node.
    int pieceOf(NodeId node) {
        for (int piece = 0;; ++piece)
            if (ask(piece) == node) return piece;
    }
    Driver driver;
    int requestCount = 0;
};

constexpr int kPieces = 4000;

/// Requests all pieces and returns their nodes.
std::map<int, NodeId> nodesByPiece(ShardDriver& s) {
    std::map<int, NodeId> nodes;
    for (int i = 0; i < kPieces; ++i) nodes[i] = s.ask(i);
    return nodes;
}

}  // namespace

TEST_CASE("pieces are distributed by weight, and a piece keeps its node") {
    ShardDriver s(4, plainSettings(), {1, 1, 2, 4});
    const auto nodes = nodesByPiece(s);
    CHECK(nodesByPiece(s) == nodes);
    std::map<NodeId, int> count;
    for (const auto& [piece, node] : nodes) ++count[node];
    CHECK(count.size() == 4);
    for (const auto& [node, weight] :
         {std::pair(200, 1), std::pair(201, 1), std::pair(202, 2), std::pair(203, 4)}) {
        const double expected = kPieces * weight / 8.0;
        CHECK(std::abs(count[static_cast<NodeId>(node)] - expected) < 5 * std::sqrt(expected));
    }
    SUBCASE("a node that drains: only its pieces move, and they return with it") {
        s.updateList(ShardDriver::entry(1, 1, NodeState::draining));
        for (const auto& [piece, node] : nodesByPiece(s)) {
            if (nodes.at(piece) != 201) CHECK(node == nodes.at(piece));
            CHECK(node != 201);
        }
        s.updateList(ShardDriver::entry(1, 1));
        CHECK(nodesByPiece(s) == nodes);
    }
    SUBCASE("a weight that grows: pieces move only to that node") {
        s.updateList(ShardDriver::entry(0, 3));
        int moved = 0;
        for (const auto& [piece, node] : nodesByPiece(s)) {
            if (node == nodes.at(piece)) continue;
            CHECK(node == 200);
            ++moved;
        }
        CHECK(moved > kPieces / 10);
    }
}

TEST_CASE("a failed attempt is repeated at another holder if its class allows") {
    Settings settings = plainSettings();
    settings.classes.push_back({.aimMs = 200, .deadlineMs = 1000, .idempotency = Idempotency::nonIdempotent});
    ShardDriver s(3, settings);
    const auto repeatsAfter = [&](int classNo, Outcome outcome) {
        RequestEvent r = s.read(5);
        r.classNo = classNo;
        s.driver.handle(s.driver.nowMs + 1, r);
        const NodeId first = s.sentTo(r.id);
        REQUIRE(first != 0);
        s.driver.outcome(s.driver.nowMs + 5, r.id, 0, first, outcome);
        const int sendsBefore = s.driver.sendCount(r.id);
        s.driver.advanceTo(s.driver.nowMs + 100);
        NodeId second = 0;
        for (const Action& a : s.driver.allActions)
            if (const auto* send = std::get_if<SendAttempt>(&a); send != nullptr && send->id == r.id)
                second = send->node;
        const int repeats = s.driver.sendCount(r.id) - sendsBefore;
        if (repeats > 0) s.driver.outcome(s.driver.nowMs, r.id, 1, second, Outcome::done);
        return std::pair(repeats, second != first);
    };
    CHECK(repeatsAfter(0, Outcome::rejected) == std::pair(1, true));
    CHECK(repeatsAfter(0, Outcome::reset) == std::pair(1, true));
    CHECK(repeatsAfter(0, Outcome::error) == std::pair(1, true));
    CHECK(repeatsAfter(1, Outcome::rejected) == std::pair(1, true));  // it was not executed
    CHECK(repeatsAfter(1, Outcome::reset) == std::pair(0, false));    // it may have been executed
}

TEST_CASE("a holder that does not answer is skipped until it answers again") {
    ShardDriver s(2);
    const int piece = s.pieceOf(200);
    const RequestEvent r = s.read(piece);
    s.driver.handle(s.driver.nowMs + 1, r);
    REQUIRE(s.sentTo(r.id) == 200);
    // A refused connection marks the node as silent at once; one more attempt checks it.
    s.driver.outcome(s.driver.nowMs + 1, r.id, 0, 200, Outcome::connectFailed);
    const RequestEvent check = s.read(piece);
    s.driver.handle(s.driver.nowMs + 1, check);
    s.driver.outcome(s.driver.nowMs + 1, check.id, 0, s.sentTo(check.id), Outcome::connectFailed);
    std::set<NodeId> used;
    for (int i = 0; i < 20; ++i) used.insert(s.ask(piece));
    CHECK(used == std::set<NodeId>{201});
    // A further attempt finds that it answers again.
    s.driver.allActions.clear();
    s.driver.advanceTo(s.driver.nowMs + 600);
    CHECK(s.ask(piece) == 200);
    CHECK(s.ask(piece) == 200);
}

TEST_CASE("attempts at a silent holder are cancelled and repeated at another one") {
    Settings settings = plainSettings();
    settings.classes[0].deadlineMs = 3000;
    ShardDriver s(2, settings);
    const int piece = s.pieceOf(200);
    std::vector<RequestId> atSilentNode;
    for (int i = 0; i < 6; ++i) {
        RequestEvent r = s.read(piece, 3000);
        r.units = 0.5;
        s.driver.handle(s.driver.nowMs + 1, r);
        if (s.sentTo(r.id) == 200) atSilentNode.push_back(r.id);
    }
    REQUIRE(atSilentNode.size() >= 3);
    const double start = s.driver.nowMs;
    std::set<RequestId> repeated;
    while (s.driver.nowMs < start + 2900 && repeated.size() < atSilentNode.size()) {
        s.driver.handle(s.driver.nowMs + 2, TimerFiredEvent{1});
        const std::vector<Action> actions = s.driver.lastActions;
        for (const Action& a : actions) {
            const auto* cancel = std::get_if<CancelAttempt>(&a);
            if (cancel == nullptr) continue;
            s.driver.outcome(s.driver.nowMs, cancel->id, cancel->attempt, 200, Outcome::cancelled);
            if (s.sentTo(cancel->id) == 201) repeated.insert(cancel->id);
        }
    }
    CHECK(repeated.size() == atSilentNode.size());
}

TEST_CASE("requests queued for a holder move when it drains, and no new ones go there") {
    ShardDriver s(2);
    const int piece = s.pieceOf(200);
    std::vector<RequestId> waiting;
    for (int i = 0; i < 12; ++i) {
        const RequestEvent r = s.read(piece);
        s.driver.handle(s.driver.nowMs + 0.1, r);
        if (s.sentTo(r.id) == 0 && s.driver.answerCount(r.id) == 0) waiting.push_back(r.id);
    }
    REQUIRE(waiting.size() > 2);
    s.updateList(ShardDriver::entry(0, 1, NodeState::draining));
    s.driver.allActions.clear();
    s.driver.advanceTo(s.driver.nowMs + 30);
    int sent = 0;
    for (const Action& a : s.driver.allActions) {
        const auto* send = std::get_if<SendAttempt>(&a);
        if (send == nullptr) continue;
        CHECK(send->node == 201);
        ++sent;
    }
    CHECK(sent > 0);
    CHECK(s.driver.answerCount() == 0);
}

TEST_CASE("requests that an overloaded holder cannot serve go to other holders before they are refused") {
    const auto refusedWith = [](int holders) {
        ShardDriver s(holders);
        int refusals = 0;
        // Node 200 answers after 400 ms, the others after 10 ms.
        std::multimap<double, std::pair<RequestId, NodeId>> inFlight;
        for (int i = 0; i < 1500; ++i) {
            s.driver.handle(s.driver.nowMs + 4, s.read(i));
            const std::vector<Action> actions = s.driver.lastActions;
            for (const Action& a : actions)
                if (const auto* send = std::get_if<SendAttempt>(&a))
                    inFlight.emplace(s.driver.nowMs + (send->node == 200 ? 400 : 10),
                                     std::pair(send->id, send->node));
            while (!inFlight.empty() && inFlight.begin()->first <= s.driver.nowMs) {
                const auto [id, node] = inFlight.begin()->second;
                inFlight.erase(inFlight.begin());
                s.driver.outcome(s.driver.nowMs, id, 0, node, Outcome::done, node == 200 ? 400 : 10);
                const std::vector<Action> more = s.driver.lastActions;
                for (const Action& a : more)
                    if (const auto* send = std::get_if<SendAttempt>(&a))
                        inFlight.emplace(s.driver.nowMs + (send->node == 200 ? 400 : 10),
                                         std::pair(send->id, send->node));
            }
        }
        refusals = s.driver.answerCount();
        return refusals;
    };
    const int alone = refusedWith(1);
    const int withOthers = refusedWith(3);
    MESSAGE("refused of 1500: alone " << alone << ", with two others " << withOthers);
    CHECK(alone > 500);
    CHECK(withOthers < alone / 4);
}

TEST_CASE("a cold holder gets no more than its budget, and the others take the rest") {
    Settings settings = plainSettings();
    settings.rules.coldShare = 0.25;
    settings.rules.warmWithinMs = 5000;
    settings.rules.fallMs = 1000;
    settings.coldUnits = 10;
    settings.hosts = 1;
    settings.mayMessagePeers = false;
    ShardDriver s(2, settings);
    s.driver.advanceTo(s.driver.nowMs + 3000);
    s.updateList(ShardDriver::entry(2, 1, NodeState::serving, s.driver.nowMs));
    const double bootMs = s.driver.nowMs;
    std::map<NodeId, double> units;
    int requests = 0;
    for (; s.driver.nowMs < bootMs + 900; ++requests) {
        s.driver.handle(s.driver.nowMs + 5, s.read(requests));
        s.answerAll(&units);
    }
    CHECK(units[202] <= 10 * (1 + 3 * 0.2));
    CHECK(units[202] > 0);
    for (int i = 0; i < 400; ++i) {
        s.driver.handle(s.driver.nowMs + 2, TimerFiredEvent{1});
        s.answerAll(&units);
    }
    CHECK(s.driver.answerCount() == 0);
    CHECK(s.driver.sendCount() == requests);
    // Once warm, it gets its share.
    s.driver.advanceTo(bootMs + 7000);
    std::map<NodeId, int> count;
    for (int i = 0; i < 900; ++i) ++count[s.ask(i)];
    CHECK(count[202] > 200);
}

TEST_CASE("table entries are released as weighted holders join and leave") {
    ShardDriver s(3);
    for (int i = 0; i < 300; ++i) s.ask(i);
    s.driver.advanceTo(s.driver.nowMs + 6000);
    const std::size_t sizeBefore = s.driver.tableSize();
    for (int round = 0; round < 50; ++round) {
        s.updateList(ShardDriver::entry(10 + round, 2));
        for (int i = 0; i < 20; ++i) s.ask(i);
        s.updateList(ShardDriver::entry(10 + round, 2, NodeState::draining));
        s.driver.advanceTo(s.driver.nowMs + 10);
        s.updateList(ShardDriver::entry(10 + round, 2, NodeState::gone));
    }
    s.driver.advanceTo(s.driver.nowMs + 70'000, 10);
    CHECK(s.driver.tableSize() <= sizeBefore);
}

// Guards against a leak: each shard without holders that a client named left a table entry for good.
TEST_CASE("requests for shards without holders leave no table entries") {
    Driver driver(plainSettings());
    driver.advanceTo(6000, 10);
    const std::size_t sizeBefore = driver.tableSize();
    for (int i = 0; i < 500; ++i)
        driver.handle(driver.nowMs + 1, request("s" + std::to_string(i), driver.nowMs + 500, 1000 + i));
    driver.advanceTo(driver.nowMs + 70'000, 10);
    CHECK(driver.answerCount() == 500);
    CHECK(driver.tableSize() <= sizeBefore);
}

// In a large fleet a new object is placed on one of a few random nodes. If none of them serves, all nodes are
// searched.
TEST_CASE("a new object is placed on the only serving node among a thousand") {
    Driver driver(plainSettings(), 1, 0, 1000);
    NodeListEvent list{NodeListKind::update, {}};
    for (int i = 0; i < 1000; ++i)
        if (i != 637)
            list.entries.push_back({.node = NodeId(100 + i), .shard = i, .state = NodeState::draining});
    driver.handle(1, list);
    for (int i = 0; i < 20; ++i) {
        RequestEvent r = request("n" + std::to_string(i), driver.nowMs + 1000, -1);
        driver.handle(driver.nowMs + 1, r);
        driver.outcome(driver.nowMs, r.id, 0, 737, Outcome::done, 5);
    }
    CHECK(driver.sendCount() == 20);
    for (const Action& a : driver.allActions)
        if (const auto* send = std::get_if<SendAttempt>(&a)) CHECK(send->node == 737);
}

// Guards against a leak: a request whose answer or deadline came after its node was gone left a table entry.
TEST_CASE("a request that outlives its node leaves no table entries") {
    Settings settings = plainSettings();
    settings.mayCancel = false;
    settings.classes[0].deadlineMs = 30'000;
    Driver driver(settings);
    driver.advanceTo(6000, 10);
    const std::size_t sizeBefore = driver.tableSize();
    RequestEvent lost = request("lost", driver.nowMs + 30'000, 0);
    driver.handle(driver.nowMs + 1, lost);
    REQUIRE(driver.sendCount("lost") == 1);
    // Attempts sent well after it are answered, so it is presumed lost and does not keep its node listed.
    for (int i = 0; i < 20; ++i) {
        const RequestId id = "later" + std::to_string(i);
        driver.handle(driver.nowMs + 50, request(id, driver.nowMs + 1000, 0));
        driver.outcome(driver.nowMs, id, 0, 100, Outcome::done, 5);
    }
    driver.advanceTo(driver.nowMs + 1000);
    driver.handle(driver.nowMs + 1,
                  NodeListEvent{NodeListKind::update, {{.node = 100, .shard = 0, .state = NodeState::gone}}});
    driver.advanceTo(driver.nowMs + 10'000, 10);
    SUBCASE("its deadline") { driver.advanceTo(driver.nowMs + 20'000, 10); }
    driver.outcome(driver.nowMs + 1, "lost", 0, 100, Outcome::timedOut);
    driver.advanceTo(driver.nowMs + 80'000, 10);
    CHECK(driver.tableSize() == sizeBefore - 2);  // the node and its cell are gone
}
