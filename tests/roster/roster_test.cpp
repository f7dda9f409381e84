// Tests that a report of leaving stays in effect until newer information reverts it, whatever the order of
// lists.
#include "roster/roster.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>

using namespace martencove::roster;

namespace {

/// A roster and the node states that result from applying its merge results.
struct View {
    Roster roster{1024};
    std::map<std::uint64_t, ReportedState> states;

    std::size_t take(const ReportedList& list) {
        const MergeResult effect = roster.merge(list);
        for (const std::size_t i : effect.appliedIndexes) states[list.nodes[i].id] = list.nodes[i].state;
        for (const NodeReport& left : effect.removed) states[left.id] = left.state;
        return effect.staleCount;
    }
    ReportedState of(std::uint64_t id) const { return states.at(id); }
};

ReportedList update(std::int64_t version, std::vector<NodeReport> nodes) {
    return {version, false, std::move(nodes), {}};
}
ReportedList whole(std::int64_t version, std::vector<NodeReport> nodes) {
    return {version, true, std::move(nodes), {}};
}

}  // namespace

TEST_CASE("an older snapshot does not make a leaving node with the same boot time ready again") {
    View v;
    v.take(whole(40, {{1}, {2}}));
    v.take(update(41, {{1, ReportedState::draining}}));
    CHECK(v.take(whole(40, {{1}, {2}})) == 1);
    CHECK(v.of(1) == ReportedState::draining);
    CHECK(v.of(2) == ReportedState::ready);
    v.take(update(42, {{1, ReportedState::gone}}));
    CHECK(v.take(whole(41, {{1, ReportedState::draining}, {2}})) == 1);
    CHECK(v.of(1) == ReportedState::gone);
    // Repeating the same version does not do so either.
    CHECK(v.take(update(42, {{1}})) == 1);
    CHECK(v.of(1) == ReportedState::gone);
}

TEST_CASE("a node is ready again after a later boot time or a newer version that lists it as ready") {
    View v;
    v.take(whole(40, {{1}, {2}}));
    v.take(update(41, {{1, ReportedState::draining}, {2, ReportedState::draining}}));
    v.take(update(40, {{1, ReportedState::ready, 7000}}));  // an older list, a later boot time
    CHECK(v.of(1) == ReportedState::ready);
    v.take(update(42, {{2}}));
    CHECK(v.of(2) == ReportedState::ready);
    // A late report with an earlier boot time does not affect the new process.
    CHECK(v.take(update(41, {{1, ReportedState::gone, 0}})) == 1);
    CHECK(v.of(1) == ReportedState::ready);
}

TEST_CASE("draining, gone and ready with a later boot time in one list, in any order") {
    std::vector<NodeReport> said{
        {1, ReportedState::draining, 0}, {1, ReportedState::gone, 0}, {1, ReportedState::ready, 7000}};
    std::sort(said.begin(), said.end(),
              [](const NodeReport& a, const NodeReport& b) { return a.state < b.state; });
    do {
        View v;
        v.take(whole(40, {{1}}));
        v.take(update(41, said));
        CHECK(v.of(1) == ReportedState::ready);
    } while (std::next_permutation(said.begin(), said.end(), [](const NodeReport& a, const NodeReport& b) {
        return a.state < b.state;
    }));
}

TEST_CASE("a node listed twice with the same boot time: the leaving report takes precedence") {
    for (const bool leavingFirst : {true, false}) {
        View v;
        v.take(whole(40, {{1}}));
        const NodeReport leaving{1, ReportedState::draining, 0}, ready{1, ReportedState::ready, 0};
        v.take(leavingFirst ? update(41, {leaving, ready}) : update(41, {ready, leaving}));
        CHECK(v.of(1) == ReportedState::draining);
    }
}

TEST_CASE("a snapshot removes the nodes that it omits and keeps those with unreadable entries") {
    View v;
    v.take(whole(40, {{1}, {2}, {3}}));
    v.take({41, true, {{1}}, {2}});
    CHECK(v.of(1) == ReportedState::ready);
    CHECK(v.of(2) == ReportedState::ready);
    CHECK(v.of(3) == ReportedState::gone);
    // An older snapshot that omits a newer node removes it until a newer list names it again.
    v.take(update(42, {{4}}));
    v.take(whole(41, {{1}, {2}}));
    CHECK(v.of(4) == ReportedState::gone);
    v.take(update(42, {{4}}));
    CHECK(v.of(4) == ReportedState::ready);
}

TEST_CASE("a report of leaving in an older list takes effect, and a newer list may revert it") {
    View v;
    v.take(whole(45, {{1}}));
    v.take(whole(41, {{1, ReportedState::draining}}));
    CHECK(v.of(1) == ReportedState::draining);
    v.take(whole(45, {{1}}));
    CHECK(v.of(1) == ReportedState::ready);
}

TEST_CASE("the number of remembered nodes is limited, and the newest gone nodes are kept") {
    Roster roster(100);
    for (int i = 0; i < 10'000; ++i)
        (void)roster.merge(update(i, {{static_cast<std::uint64_t>(i), ReportedState::gone}}));
    CHECK(roster.size() <= 101);
    CHECK(roster.merge(update(9998, {{9999}})).staleCount == 1);
}

// Reports a history of changes in random snapshots and updates, late and repeatedly. Once a node was reported
// as leaving, it is ready only with a later boot time, and the newest snapshot always leads to the true
// state.
TEST_CASE("lists in random order") {
    for (const std::uint64_t seed : {20261201, 20261202, 20261203}) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const auto below = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
        std::vector<std::map<std::uint64_t, NodeReport>> history{{}};  // by version
        for (std::uint64_t id = 1; id <= 20; ++id) history[0][id] = {id};
        for (int version = 1; version <= 300; ++version) {
            auto now = history.back();
            NodeReport& t = now[1 + static_cast<std::uint64_t>(below(20))];
            if (t.state == ReportedState::ready)
                t.state = ReportedState::draining;
            else if (t.state == ReportedState::draining)
                t.state = ReportedState::gone;
            else
                t = {t.id, ReportedState::ready, version * 1000.0};
            history.push_back(now);
        }
        View v;
        std::map<std::uint64_t, double>
            leftStart;  // by id: the latest boot time that was reported as leaving
        for (int step = 0, newest = 0; step < 3000; ++step) {
            const int version = below(4) == 0 ? newest = std::min(300, newest + below(3)) : below(newest + 1);
            ReportedList list{version, below(2) == 0, {}, {}};
            for (const auto& [id, told] : history[static_cast<std::size_t>(version)])
                if ((list.isSnapshot && told.state != ReportedState::gone) ||
                    (!list.isSnapshot && below(3) == 0))
                    list.nodes.push_back(told);
            v.take(list);
            for (const NodeReport& told : list.nodes)
                if (told.state != ReportedState::ready) {
                    double& start = leftStart.try_emplace(told.id, -1).first->second;
                    start = std::max(start, told.bootTimeMs);
                }
            for (const auto& [id, health] : v.states) {
                if (health != ReportedState::ready || !leftStart.contains(id)) continue;
                double start = 0;  // the latest boot time of the ready entries up to the newest version
                for (int i = 0; i <= newest; ++i)
                    if (const NodeReport& t = history[static_cast<std::size_t>(i)].at(id);
                        t.state == ReportedState::ready)
                        start = std::max(start, t.bootTimeMs);
                CHECK(start > leftStart.at(id));
            }
        }
        ReportedList last = whole(301, {});
        for (const auto& [id, told] : history.back())
            if (told.state != ReportedState::gone) last.nodes.push_back(told);
        v.take(last);
        for (const auto& [id, told] : history.back()) CHECK(v.of(id) == told.state);
    }
}
