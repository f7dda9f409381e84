// Tests that a report of leaving stays in effect until newer information reverts it, in any order of lists.
#include "roster/roster.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>

using namespace martencove::roster;

namespace {

/// A roster and the node states that follow from its merge results.
struct RosterTracker {
    Roster roster{1024};
    std::map<std::uint64_t, ReportedState> states;

    std::size_t merge(const ReportedList& list) {
        const MergeResult result = roster.merge(list);
        for (const std::size_t i : result.appliedIndexes) states[list.nodes[i].id] = list.nodes[i].state;
        for (const NodeReport& node : result.removed) states[node.id] = node.state;
        return result.staleCount;
    }
    ReportedState stateOf(std::uint64_t id) const { return states.at(id); }
};

ReportedList update(std::int64_t version, std::vector<NodeReport> nodes) {
    return {version, false, std::move(nodes), {}};
}
ReportedList snapshot(std::int64_t version, std::vector<NodeReport> nodes) {
    return {version, true, std::move(nodes), {}};
}

}  // namespace

TEST_CASE("an older snapshot does not make a leaving node with the same boot time ready again") {
    RosterTracker tracker;
    tracker.merge(snapshot(40, {{1}, {2}}));
    tracker.merge(update(41, {{1, ReportedState::draining}}));
    CHECK(tracker.merge(snapshot(40, {{1}, {2}})) == 1);
    CHECK(tracker.stateOf(1) == ReportedState::draining);
    CHECK(tracker.stateOf(2) == ReportedState::ready);
    tracker.merge(update(42, {{1, ReportedState::gone}}));
    CHECK(tracker.merge(snapshot(41, {{1, ReportedState::draining}, {2}})) == 1);
    CHECK(tracker.stateOf(1) == ReportedState::gone);
    // Repeating the same version does not do so either.
    CHECK(tracker.merge(update(42, {{1}})) == 1);
    CHECK(tracker.stateOf(1) == ReportedState::gone);
}

TEST_CASE("a node is ready again after a later boot time or a newer version that lists it as ready") {
    RosterTracker tracker;
    tracker.merge(snapshot(40, {{1}, {2}}));
    tracker.merge(update(41, {{1, ReportedState::draining}, {2, ReportedState::draining}}));
    tracker.merge(update(40, {{1, ReportedState::ready, 7000}}));  // an older list, a later boot time
    CHECK(tracker.stateOf(1) == ReportedState::ready);
    tracker.merge(update(42, {{2}}));
    CHECK(tracker.stateOf(2) == ReportedState::ready);
    // A late report with an earlier boot time does not affect the new process.
    CHECK(tracker.merge(update(41, {{1, ReportedState::gone, 0}})) == 1);
    CHECK(tracker.stateOf(1) == ReportedState::ready);
}

TEST_CASE("draining, gone and ready with a later boot time in one list, in any order") {
    std::vector<NodeReport> reports{
        {1, ReportedState::draining, 0}, {1, ReportedState::gone, 0}, {1, ReportedState::ready, 7000}};
    std::sort(reports.begin(), reports.end(),
              [](const NodeReport& a, const NodeReport& b) { return a.state < b.state; });
    do {
        RosterTracker tracker;
        tracker.merge(snapshot(40, {{1}}));
        tracker.merge(update(41, reports));
        CHECK(tracker.stateOf(1) == ReportedState::ready);
    } while (
        std::next_permutation(reports.begin(), reports.end(),
                              [](const NodeReport& a, const NodeReport& b) { return a.state < b.state; }));
}

TEST_CASE("a node listed twice with the same boot time: the leaving report takes precedence") {
    for (const bool leavingFirst : {true, false}) {
        RosterTracker tracker;
        tracker.merge(snapshot(40, {{1}}));
        const NodeReport leaving{1, ReportedState::draining, 0}, ready{1, ReportedState::ready, 0};
        tracker.merge(leavingFirst ? update(41, {leaving, ready}) : update(41, {ready, leaving}));
        CHECK(tracker.stateOf(1) == ReportedState::draining);
    }
}

TEST_CASE("a snapshot removes the nodes that it omits and keeps those with unreadable entries") {
    RosterTracker tracker;
    tracker.merge(snapshot(40, {{1}, {2}, {3}}));
    tracker.merge({41, true, {{1}}, {2}});
    CHECK(tracker.stateOf(1) == ReportedState::ready);
    CHECK(tracker.stateOf(2) == ReportedState::ready);
    CHECK(tracker.stateOf(3) == ReportedState::gone);
    // An older snapshot that omits a newer node removes it until a newer list names it again.
    tracker.merge(update(42, {{4}}));
    tracker.merge(snapshot(41, {{1}, {2}}));
    CHECK(tracker.stateOf(4) == ReportedState::gone);
    tracker.merge(update(42, {{4}}));
    CHECK(tracker.stateOf(4) == ReportedState::ready);
}

TEST_CASE("a report of leaving in an older list takes effect, and a newer list may revert it") {
    RosterTracker tracker;
    tracker.merge(snapshot(45, {{1}}));
    tracker.merge(snapshot(41, {{1, ReportedState::draining}}));
    CHECK(tracker.stateOf(1) == ReportedState::draining);
    tracker.merge(snapshot(45, {{1}}));
    CHECK(tracker.stateOf(1) == ReportedState::ready);
}

TEST_CASE("the number of remembered nodes is limited, and the newest gone nodes are kept") {
    Roster roster(100);
    for (int i = 0; i < 10'000; ++i)
        (void)roster.merge(update(i, {{static_cast<std::uint64_t>(i), ReportedState::gone}}));
    CHECK(roster.size() <= 101);
    CHECK(roster.merge(update(9998, {{9999}})).staleCount == 1);
}

// Reports a history of changes in random snapshots and updates, late and repeatedly. Once a node was reported
// as leaving, it is ready only with a later boot time, and the newest snapshot leads to the true state.
TEST_CASE("lists in random order") {
    for (const std::uint64_t seed : {20261201, 20261202, 20261203}) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const auto below = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
        std::vector<std::map<std::uint64_t, NodeReport>> history{{}};  // by version
        for (std::uint64_t id = 1; id <= 20; ++id) history[0][id] = {id};
        for (int version = 1; version <= 300; ++version) {
            auto nodes = history.back();
            NodeReport& node = nodes[1 + static_cast<std::uint64_t>(below(20))];
            if (node.state == ReportedState::ready)
                node.state = ReportedState::draining;
            else if (node.state == ReportedState::draining)
                node.state = ReportedState::gone;
            else
                node = {node.id, ReportedState::ready, version * 1000.0};
            history.push_back(nodes);
        }
        RosterTracker tracker;
        // The latest boot time with which each node was reported as leaving, by id.
        std::map<std::uint64_t, double> leavingBootTimes;
        for (int step = 0, newest = 0; step < 3000; ++step) {
            const int version = below(4) == 0 ? newest = std::min(300, newest + below(3)) : below(newest + 1);
            ReportedList list{version, below(2) == 0, {}, {}};
            for (const auto& [id, report] : history[static_cast<std::size_t>(version)])
                if ((list.isSnapshot && report.state != ReportedState::gone) ||
                    (!list.isSnapshot && below(3) == 0))
                    list.nodes.push_back(report);
            tracker.merge(list);
            for (const NodeReport& report : list.nodes)
                if (report.state != ReportedState::ready) {
                    double& bootTimeMs = leavingBootTimes.try_emplace(report.id, -1).first->second;
                    bootTimeMs = std::max(bootTimeMs, report.bootTimeMs);
                }
            for (const auto& [id, state] : tracker.states) {
                if (state != ReportedState::ready || !leavingBootTimes.contains(id)) continue;
                double bootTimeMs = 0;  // the latest boot time of the ready entries up to the newest version
                for (int i = 0; i <= newest; ++i)
                    if (const NodeReport& node = history[static_cast<std::size_t>(i)].at(id);
                        node.state == ReportedState::ready)
                        bootTimeMs = std::max(bootTimeMs, node.bootTimeMs);
                CHECK(bootTimeMs > leavingBootTimes.at(id));
            }
        }
        ReportedList last = snapshot(301, {});
        for (const auto& [id, report] : history.back())
            if (report.state != ReportedState::gone) last.nodes.push_back(report);
        tracker.merge(last);
        for (const auto& [id, report] : history.back()) CHECK(tracker.stateOf(id) == report.state);
    }
}
