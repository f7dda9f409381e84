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
struct Shard {
    explicit Shard(int holders, Settings s = plainSettings(), std::vector<double> weights = {})
        : d(s, 1, 100'000, 0) {
        NodeListEvent list{NodeListKind::full, {}};
        for (int i = 0; i < holders; ++i)
            list.entries.push_back(entry(i, weights.empty() ? 1 : weights[static_cast<std::size_t>(i)]));
        d.give(100'000, list);
    }
    static NodeEntry entry(int i, double weight, NodeState state = NodeState::serving, double bootMs = 0) {
        return {.node = NodeId(200 + i), .shard = 7, .state = state, .bootMs = bootMs, .weight = weight};
    }
    void tell(const NodeEntry& e) { d.give(d.nowMs, NodeListEvent{NodeListKind::update, {e}}); }
    RequestEvent read(int piece, double lifeMs = 1000) {
        RequestEvent r = request("q" + std::to_string(++asked), d.nowMs + lifeMs, 7);
        r.key = "piece" + std::to_string(piece);
        return r;
    }
    /// Returns the node to which the latest actions send a request; 0: none.
    NodeId sentTo(const RequestId& id) const {
        NodeId out = 0;
        for (const Action& a : d.last)
            if (const auto* send = std::get_if<SendAttempt>(&a); send != nullptr && send->id == id)
                out = send->node;
        return out;
    }
    /// Requests a piece, answers at once and returns the node used; 0: none.
    NodeId ask(int piece) {
        const RequestEvent r = read(piece);
        d.give(d.nowMs + 1, r);
        const NodeId node = sentTo(r.id);
        if (node != 0) d.outcome(d.nowMs, r.id, 0, node, Outcome::done, 5);
        return node;
    }
    /// Answers all attempts of the latest actions at once, and those that the answers cause. Adds the units
    /// to `units`, by node.
    void answerAll(std::map<NodeId, double>* units = nullptr) {
        std::vector<Action> todo = d.last;
        while (!todo.empty()) {
            const Action action = todo.back();
            todo.pop_back();
            const auto* send = std::get_if<SendAttempt>(&action);
            if (send == nullptr) continue;
            if (units != nullptr) (*units)[send->node] += 2;
            const std::vector<Action> more = d.outcome(d.nowMs, send->id, 0, send->node, Outcome::done, 5);
            todo.insert(todo.end(), more.begin(), more.end());
        }
    }
    /// Returns a piece that belongs to the node.
    int pieceOf(NodeId node) {
        for (int piece = 0;; ++piece)
            if (ask(piece) == node) return piece;
    }
    Driver d;
    int asked = 0;
};

constexpr int kPieces = 4000;

/// Requests all pieces and returns their nodes.
std::map<int, NodeId> placesOf(Shard& s) {
    std::map<int, NodeId> out;
    for (int i = 0; i < kPieces; ++i) out[i] = s.ask(i);
    return out;
}

}  // namespace

TEST_CASE("pieces are distributed by weight, and a piece keeps its node") {
    Shard s(4, plainSettings(), {1, 1, 2, 4});
    const auto places = placesOf(s);
    CHECK(placesOf(s) == places);
    std::map<NodeId, int> count;
    for (const auto& [piece, node] : places) ++count[node];
    CHECK(count.size() == 4);
    for (const auto& [node, weight] :
         {std::pair(200, 1), std::pair(201, 1), std::pair(202, 2), std::pair(203, 4)}) {
        const double due = kPieces * weight / 8.0;
        CHECK(std::abs(count[static_cast<NodeId>(node)] - due) < 5 * std::sqrt(due));
    }
    SUBCASE("a node that drains: only its pieces move, and they return with it") {
        s.tell(Shard::entry(1, 1, NodeState::draining));
        for (const auto& [piece, node] : placesOf(s)) {
            if (places.at(piece) != 201) CHECK(node == places.at(piece));
            CHECK(node != 201);
        }
        s.tell(Shard::entry(1, 1));
        CHECK(placesOf(s) == places);
    }
    SUBCASE("a weight that grows: pieces move only to that node") {
        s.tell(Shard::entry(0, 3));
        int moved = 0;
        for (const auto& [piece, node] : placesOf(s)) {
            if (node == places.at(piece)) continue;
            CHECK(node == 200);
            ++moved;
        }
        CHECK(moved > kPieces / 10);
    }
}

TEST_CASE("a failed attempt is repeated at another holder if its class allows") {
    Settings set = plainSettings();
    set.classes.push_back({.aimMs = 200, .deadlineMs = 1000, .idempotency = Idempotency::nonIdempotent});
    Shard s(3, set);
    const auto endsWith = [&](int classNo, Outcome outcome) {
        RequestEvent r = s.read(5);
        r.classNo = classNo;
        s.d.give(s.d.nowMs + 1, r);
        const NodeId first = s.sentTo(r.id);
        REQUIRE(first != 0);
        s.d.outcome(s.d.nowMs + 5, r.id, 0, first, outcome);
        const int before = s.d.sends(r.id);
        s.d.pass(s.d.nowMs + 100);
        NodeId second = 0;
        for (const Action& a : s.d.all)
            if (const auto* send = std::get_if<SendAttempt>(&a); send != nullptr && send->id == r.id)
                second = send->node;
        const int again = s.d.sends(r.id) - before;
        if (again > 0) s.d.outcome(s.d.nowMs, r.id, 1, second, Outcome::done);
        return std::pair(again, second != first);
    };
    CHECK(endsWith(0, Outcome::rejected) == std::pair(1, true));
    CHECK(endsWith(0, Outcome::reset) == std::pair(1, true));
    CHECK(endsWith(0, Outcome::error) == std::pair(1, true));
    CHECK(endsWith(1, Outcome::rejected) == std::pair(1, true));  // it was not executed
    CHECK(endsWith(1, Outcome::reset) == std::pair(0, false));    // it may have been executed
}

TEST_CASE("a holder that does not answer is skipped until it answers again") {
    Shard s(2);
    const int piece = s.pieceOf(200);
    const RequestEvent r = s.read(piece);
    s.d.give(s.d.nowMs + 1, r);
    REQUIRE(s.sentTo(r.id) == 200);
    // A refused connection marks the node as silent at once; one more attempt checks it.
    s.d.outcome(s.d.nowMs + 1, r.id, 0, 200, Outcome::connectFailed);
    const RequestEvent trickle = s.read(piece);
    s.d.give(s.d.nowMs + 1, trickle);
    s.d.outcome(s.d.nowMs + 1, trickle.id, 0, s.sentTo(trickle.id), Outcome::connectFailed);
    std::set<NodeId> used;
    for (int i = 0; i < 20; ++i) used.insert(s.ask(piece));
    CHECK(used == std::set<NodeId>{201});
    // A further attempt finds that it answers again.
    s.d.all.clear();
    s.d.pass(s.d.nowMs + 600);
    CHECK(s.ask(piece) == 200);
    CHECK(s.ask(piece) == 200);
}

TEST_CASE("attempts at a silent holder are cancelled and repeated at another one") {
    Settings set = plainSettings();
    set.classes[0].deadlineMs = 3000;
    Shard s(2, set);
    const int piece = s.pieceOf(200);
    std::vector<RequestId> out;
    for (int i = 0; i < 6; ++i) {
        RequestEvent r = s.read(piece, 3000);
        r.units = 0.5;
        s.d.give(s.d.nowMs + 1, r);
        if (s.sentTo(r.id) == 200) out.push_back(r.id);
    }
    REQUIRE(out.size() >= 3);
    const double start = s.d.nowMs;
    std::set<RequestId> again;
    while (s.d.nowMs < start + 2900 && again.size() < out.size()) {
        s.d.give(s.d.nowMs + 2, TimerFiredEvent{1});
        const std::vector<Action> actions = s.d.last;
        for (const Action& a : actions) {
            const auto* cancel = std::get_if<CancelAttempt>(&a);
            if (cancel == nullptr) continue;
            s.d.outcome(s.d.nowMs, cancel->id, cancel->attempt, 200, Outcome::cancelled);
            if (s.sentTo(cancel->id) == 201) again.insert(cancel->id);
        }
    }
    CHECK(again.size() == out.size());
}

TEST_CASE("requests queued for a holder move when it drains, and no new ones go there") {
    Shard s(2);
    const int piece = s.pieceOf(200);
    std::vector<RequestId> waits;
    for (int i = 0; i < 12; ++i) {
        const RequestEvent r = s.read(piece);
        s.d.give(s.d.nowMs + 0.1, r);
        if (s.sentTo(r.id) == 0 && s.d.answers(r.id) == 0) waits.push_back(r.id);
    }
    REQUIRE(waits.size() > 2);
    s.tell(Shard::entry(0, 1, NodeState::draining));
    s.d.all.clear();
    s.d.pass(s.d.nowMs + 30);
    int sent = 0;
    for (const Action& a : s.d.all) {
        const auto* send = std::get_if<SendAttempt>(&a);
        if (send == nullptr) continue;
        CHECK(send->node == 201);
        ++sent;
    }
    CHECK(sent > 0);
    CHECK(s.d.answers() == 0);
}

TEST_CASE("requests that an overloaded holder cannot serve go to other holders before they are refused") {
    const auto refused = [](int holders) {
        Shard s(holders);
        int refusals = 0;
        // Node 200 answers after 400 ms, the others after 10 ms.
        std::multimap<double, std::pair<RequestId, NodeId>> out;
        for (int i = 0; i < 1500; ++i) {
            s.d.give(s.d.nowMs + 4, s.read(i));
            const std::vector<Action> actions = s.d.last;
            for (const Action& a : actions)
                if (const auto* send = std::get_if<SendAttempt>(&a))
                    out.emplace(s.d.nowMs + (send->node == 200 ? 400 : 10), std::pair(send->id, send->node));
            while (!out.empty() && out.begin()->first <= s.d.nowMs) {
                const auto [id, node] = out.begin()->second;
                out.erase(out.begin());
                s.d.outcome(s.d.nowMs, id, 0, node, Outcome::done, node == 200 ? 400 : 10);
                const std::vector<Action> more = s.d.last;
                for (const Action& a : more)
                    if (const auto* send = std::get_if<SendAttempt>(&a))
                        out.emplace(s.d.nowMs + (send->node == 200 ? 400 : 10),
                                    std::pair(send->id, send->node));
            }
        }
        refusals = s.d.answers();
        return refusals;
    };
    const int alone = refused(1);
    const int shared = refused(3);
    MESSAGE("refused of 1500: alone " << alone << ", with two others " << shared);
    CHECK(alone > 500);
    CHECK(shared < alone / 4);
}

TEST_CASE("a cold holder gets no more than its budget, and the others take the rest") {
    Settings set = plainSettings();
    set.rules.coldShare = 0.25;
    set.rules.warmWithinMs = 5000;
    set.rules.fallMs = 1000;
    set.coldUnits = 10;
    set.hosts = 1;
    set.mayMessagePeers = false;
    Shard s(2, set);
    s.d.pass(s.d.nowMs + 3000);
    s.tell(Shard::entry(2, 1, NodeState::serving, s.d.nowMs));
    const double born = s.d.nowMs;
    std::map<NodeId, double> units;
    int asked = 0;
    for (; s.d.nowMs < born + 900; ++asked) {
        s.d.give(s.d.nowMs + 5, s.read(asked));
        s.answerAll(&units);
    }
    CHECK(units[202] <= 10 * (1 + 3 * 0.2));
    CHECK(units[202] > 0);
    for (int i = 0; i < 400; ++i) {
        s.d.give(s.d.nowMs + 2, TimerFiredEvent{1});
        s.answerAll(&units);
    }
    CHECK(s.d.answers() == 0);
    CHECK(s.d.sends() == asked);
    // Once warm, it gets its share.
    s.d.pass(born + 7000);
    std::map<NodeId, int> count;
    for (int i = 0; i < 900; ++i) ++count[s.ask(i)];
    CHECK(count[202] > 200);
}

TEST_CASE("table entries are released as weighted holders join and leave") {
    Shard s(3);
    for (int i = 0; i < 300; ++i) s.ask(i);
    s.d.pass(s.d.nowMs + 6000);
    const std::size_t before = s.d.tableSize();
    for (int round = 0; round < 50; ++round) {
        s.tell(Shard::entry(10 + round, 2));
        for (int i = 0; i < 20; ++i) s.ask(i);
        s.tell(Shard::entry(10 + round, 2, NodeState::draining));
        s.d.pass(s.d.nowMs + 10);
        s.tell(Shard::entry(10 + round, 2, NodeState::gone));
    }
    s.d.pass(s.d.nowMs + 70'000, 10);
    CHECK(s.d.tableSize() <= before);
}

// Guards against a leak: each shard without holders that a client named left a table entry for good.
TEST_CASE("requests for shards without holders leave no table entries") {
    Driver d(plainSettings());
    d.pass(6000, 10);
    const std::size_t before = d.tableSize();
    for (int i = 0; i < 500; ++i)
        d.give(d.nowMs + 1, request("s" + std::to_string(i), d.nowMs + 500, 1000 + i));
    d.pass(d.nowMs + 70'000, 10);
    CHECK(d.answers() == 500);
    CHECK(d.tableSize() <= before);
}

// In a large fleet a new object is placed on one of a few random nodes. If none of them serves, all nodes are
// searched.
TEST_CASE("a new object is placed on the only serving node among a thousand") {
    Driver d(plainSettings(), 1, 0, 1000);
    NodeListEvent list{NodeListKind::update, {}};
    for (int i = 0; i < 1000; ++i)
        if (i != 637)
            list.entries.push_back({.node = NodeId(100 + i), .shard = i, .state = NodeState::draining});
    d.give(1, list);
    for (int i = 0; i < 20; ++i) {
        RequestEvent r = request("n" + std::to_string(i), d.nowMs + 1000, -1);
        d.give(d.nowMs + 1, r);
        d.outcome(d.nowMs, r.id, 0, 737, Outcome::done, 5);
    }
    CHECK(d.sends() == 20);
    for (const Action& a : d.all)
        if (const auto* send = std::get_if<SendAttempt>(&a)) CHECK(send->node == 737);
}

// Guards against a leak: a request whose answer or deadline came after its node was gone left a table entry.
TEST_CASE("a request that outlives its node leaves no table entries") {
    Settings set = plainSettings();
    set.mayCancel = false;
    set.classes[0].deadlineMs = 30'000;
    Driver d(set);
    d.pass(6000, 10);
    const std::size_t before = d.tableSize();
    RequestEvent lost = request("lost", d.nowMs + 30'000, 0);
    d.give(d.nowMs + 1, lost);
    REQUIRE(d.sends("lost") == 1);
    // Attempts sent well after it are answered, so it is presumed lost and does not keep its node listed.
    for (int i = 0; i < 20; ++i) {
        const RequestId id = "later" + std::to_string(i);
        d.give(d.nowMs + 50, request(id, d.nowMs + 1000, 0));
        d.outcome(d.nowMs, id, 0, 100, Outcome::done, 5);
    }
    d.pass(d.nowMs + 1000);
    d.give(d.nowMs + 1,
           NodeListEvent{NodeListKind::update, {{.node = 100, .shard = 0, .state = NodeState::gone}}});
    d.pass(d.nowMs + 10'000, 10);
    SUBCASE("its deadline") { d.pass(d.nowMs + 20'000, 10); }
    d.outcome(d.nowMs + 1, "lost", 0, 100, Outcome::timedOut);
    d.pass(d.nowMs + 80'000, 10);
    CHECK(d.tableSize() == before - 2);  // the node and its cell are gone
}
