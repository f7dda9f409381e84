// Tests which versions of the node list MembershipManager accepts, with constructed files and times.
#include "membership/membership_manager.h"

#include <doctest/doctest.h>

#include <cmath>
#include <random>

using namespace martencove::membership;

namespace {

/// Builds the node entries of a file.
struct Fleet {
    std::vector<ParsedMember> members;
    Fleet& add(const std::string& name, int shard, const std::string& rack = "", double weight = 1) {
        Member member{name,  "10.0.0." + std::to_string(members.size() + 1) + ":80",
                      shard, weight,
                      rack,  MemberState::ready,
                      0,     false};
        members.push_back({member, false, static_cast<int>(members.size()) + 3, 1});
        return *this;
    }
    Fleet& addNodes(int nodes, int perShard = 1) {
        for (int i = 0; i < nodes; ++i)
            add("n" + std::to_string(i), i / perShard, "r" + std::to_string(i % 4));
        return *this;
    }
    Fleet& without(const std::string& name) {
        std::erase_if(members, [&](const ParsedMember& parsed) { return parsed.member.name == name; });
        return *this;
    }
    Member& at(const std::string& name) {
        for (ParsedMember& parsed : members)
            if (parsed.member.name == name) return parsed.member;
        throw std::out_of_range(name);
    }
};

ParsedNodeFile makeNodeFile(std::uint64_t version, const Fleet& fleet) {
    ParsedNodeFile nodeFile;
    nodeFile.file = "nodes";
    nodeFile.version = nodeFile.trailerVersion = version;
    nodeFile.members = fleet.members;
    nodeFile.declaredCount = fleet.members.size();
    nodeFile.digest = "d" + std::to_string(version);
    return nodeFile;
}

std::string firstProblem(const OfferResult& result) {
    return result.problems.empty() ? "" : result.problems.front().text();
}

const Member* findMember(const MembershipManager& manager, const std::string& name) {
    for (const Member& m : manager.current()->members)
        if (m.name == name) return &m;
    return nullptr;
}

}  // namespace

TEST_CASE("the first version is accepted, offering it again changes nothing") {
    MembershipManager manager{MembershipRules{}};
    CHECK(manager.current() == nullptr);
    const Fleet fleet = Fleet().addNodes(4);
    CHECK(manager.offerVersion({makeNodeFile(3, fleet)}, 1000).outcome == OfferOutcome::accepted);
    const MembershipPtr initial = manager.current();
    CHECK(initial->version == 3);
    CHECK(initial->members.size() == 4);
    CHECK(initial->members[0].bootTimeMs == 0);
    CHECK(manager.offerVersion({makeNodeFile(3, fleet)}, 2000).outcome == OfferOutcome::unchanged);
    CHECK(manager.current() == initial);
}

TEST_CASE("an older version, or the same version with other content, is refused") {
    MembershipManager manager{MembershipRules{}};
    CHECK(manager.offerVersion({makeNodeFile(3, Fleet().addNodes(4))}, 0).outcome == OfferOutcome::accepted);
    const MembershipPtr initial = manager.current();
    OfferResult result = manager.offerVersion({makeNodeFile(2, Fleet().addNodes(4))}, 0);
    CHECK(result.outcome == OfferOutcome::refused);
    CHECK(firstProblem(result).find("older than version 3") != std::string::npos);
    ParsedNodeFile other = makeNodeFile(3, Fleet().addNodes(5));
    other.digest = "else";
    result = manager.offerVersion({other}, 0);
    CHECK(result.outcome == OfferOutcome::refused);
    CHECK(firstProblem(result).find("other content") != std::string::npos);
    CHECK(manager.current() == initial);
}

TEST_CASE("a file that appears half written is incomplete, not refused") {
    MembershipManager manager{MembershipRules{}};
    ParsedNodeFile wrongCount = makeNodeFile(1, Fleet().addNodes(4));
    wrongCount.declaredCount = 5;
    CHECK(manager.offerVersion({wrongCount}, 0).outcome == OfferOutcome::incomplete);
    ParsedNodeFile wrongTrailer = makeNodeFile(2, Fleet().addNodes(4));
    wrongTrailer.trailerVersion = 1;
    CHECK(manager.offerVersion({wrongTrailer}, 0).outcome == OfferOutcome::incomplete);
    ParsedNodeFile unparsed = makeNodeFile(1, Fleet().addNodes(4));
    unparsed.problems.push_back({{"nodes", 3, 7}, "expected a string", Severity::incomplete});
    const OfferResult result = manager.offerVersion({unparsed}, 0);
    CHECK(result.outcome == OfferOutcome::incomplete);
    CHECK(firstProblem(result) == "nodes:3:7: expected a string");
    CHECK(manager.offerVersion({}, 0).outcome == OfferOutcome::incomplete);
    CHECK(manager.current() == nullptr);
}

TEST_CASE("the parts of a version are accepted together") {
    MembershipManager manager{MembershipRules{}};
    const auto makePart = [](std::uint64_t version, const std::string& name, const Fleet& fleet) {
        ParsedNodeFile nodeFile = makeNodeFile(version, fleet);
        nodeFile.file = "nodes-" + name;
        nodeFile.partName = name;
        nodeFile.partNames = {"a", "b"};
        nodeFile.digest += name;
        return nodeFile;
    };
    const Fleet a = Fleet().add("a0", 0).add("a1", 1);
    Fleet b = Fleet().add("b0", 0);
    b.at("b0").address = "10.0.1.1:80";
    CHECK(manager.offerVersion({makePart(1, "a", a)}, 0).outcome == OfferOutcome::incomplete);
    CHECK(manager.offerVersion({makePart(1, "a", a), makePart(1, "b", b)}, 0).outcome ==
          OfferOutcome::accepted);
    CHECK(manager.current()->members.size() == 3);
    OfferResult result = manager.offerVersion({makePart(2, "a", a), makePart(1, "b", b)}, 0);
    CHECK(result.outcome == OfferOutcome::incomplete);
    CHECK(firstProblem(result).find("still at version 1") != std::string::npos);
    CHECK(manager.offerVersion({makePart(2, "a", a), makePart(2, "b", b)}, 0).outcome ==
          OfferOutcome::accepted);

    SUBCASE("a name or an address is in two files") {
        b.add("a1", 2);
        result = manager.offerVersion({makePart(3, "a", a), makePart(3, "b", b)}, 0);
        CHECK(result.outcome == OfferOutcome::refused);
        CHECK(result.problems.size() == 2);  // its address is in the other file too
        CHECK(firstProblem(result).find("also in nodes-a:4") != std::string::npos);
    }
    SUBCASE("a part that the version no longer lists is ignored with a note") {
        ParsedNodeFile onlyPart = makePart(3, "a", a);
        onlyPart.partNames = {"a"};
        onlyPart.members[0].member.weight = 1;
        onlyPart.permits.push_back({2, {}, {}, 1});
        result = manager.offerVersion({onlyPart, makePart(2, "b", b)}, 0);
        CHECK(result.outcome == OfferOutcome::accepted);
        CHECK(result.notes.size() == 1);
    }
    SUBCASE("two files have the same part name") {
        ParsedNodeFile duplicate = makePart(3, "a", a);
        duplicate.file = "copy";
        CHECK(manager.offerVersion({makePart(3, "a", a), duplicate, makePart(3, "b", b)}, 0).outcome ==
              OfferOutcome::refused);
    }
}

TEST_CASE("invalid values are refused with their location") {
    const auto reason = [](auto change, MembershipRules rules = MembershipRules{}) {
        MembershipManager manager{rules};
        Fleet fleet = Fleet().addNodes(4, 2);
        change(fleet);
        const OfferResult result = manager.offerVersion({makeNodeFile(1, fleet)}, 10'000);
        CHECK(manager.current() == nullptr);
        CHECK(result.outcome == OfferOutcome::refused);
        return firstProblem(result);
    };
    const auto contains = [](const std::string& text, const std::string& expected) {
        return text.find(expected) != std::string::npos;
    };
    CHECK(contains(reason([](Fleet& f) { f.at("n1").name = "n0"; }),
                   "nodes:4:1: name: \"n0\" is also in nodes:3"));
    CHECK(contains(reason([](Fleet& f) { f.at("n1").address = f.at("n0").address; }),
                   "also the address of \"n0\""));
    CHECK(contains(reason([](Fleet& f) { f.at("n1").name = "a b"; }), "name:"));
    CHECK(contains(reason([](Fleet& f) { f.at("n1").name = ""; }), "name:"));
    for (const char* address : {"", "10.0.0.1", ":80", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "h:8x"})
        CHECK(contains(reason([&](Fleet& f) { f.at("n1").address = address; }), "is not host:port"));
    CHECK(contains(reason([](Fleet& f) { f.at("n1").shard = -1; }), "shard:"));
    CHECK(contains(reason([](Fleet& f) { f.at("n1").shard = 9; }, MembershipRules{.shardCount = 8}),
                   "numbered from 0 to 7"));
    CHECK(contains(reason([](Fleet& f) { f.at("n1").weight = -1; }), "weight:"));
    CHECK(contains(reason([](Fleet& f) { f.at("n1").weight = NAN; }), "weight:"));
    CHECK(contains(reason([](Fleet& f) { f.at("n1").weight = INFINITY; }), "weight:"));
    CHECK(contains(reason([](Fleet& f) { f.at("n0").weight = f.at("n1").weight = 0; }),
                   "shard 0 have weight 0"));
    CHECK(contains(reason([](Fleet& f) { f.at("n0").weight = 2000; }), "2000 times the smallest"));
    CHECK(contains(reason([](Fleet& f) {
                       f.at("n0").bootTimeMs = 60'000;
                       f.members[0].hasBootTime = true;
                   }),
                   "future"));
    CHECK(contains(reason([](Fleet& f) { f.members.clear(); }), "has no nodes"));
    CHECK(contains(reason([](Fleet&) {}, MembershipRules{.maxNodes = 3}), "at most 3"));
    MembershipManager manager{MembershipRules{.maxReportedProblems = 3}};
    Fleet invalid = Fleet().addNodes(10);
    for (ParsedMember& parsed : invalid.members) parsed.member.address = "x";
    const OfferResult result = manager.offerVersion({makeNodeFile(1, invalid)}, 0);
    CHECK(result.problems.size() == 4);
    CHECK(result.problems.back().text() == "7 more problems");
}

TEST_CASE("a version that removes too much is refused unless a permit allows it") {
    MembershipManager manager{MembershipRules{}};
    Fleet fleet = Fleet().addNodes(20, 2);
    CHECK(manager.offerVersion({makeNodeFile(1, fleet)}, 0).outcome == OfferOutcome::accepted);
    const MembershipPtr initial = manager.current();
    const auto hasProblem = [](const OfferResult& result, const std::string& text) {
        for (const Problem& problem : result.problems)
            if (problem.reason.find(text) != std::string::npos) return true;
        return false;
    };
    SUBCASE("a rack") {
        for (int i = 1; i < 20; i += 4) fleet.without("n" + std::to_string(i));
        ParsedNodeFile nodeFile = makeNodeFile(2, fleet);
        OfferResult result = manager.offerVersion({nodeFile}, 1);
        CHECK(result.outcome == OfferOutcome::refused);
        CHECK(hasProblem(result, "every node of rack \"r1\""));
        CHECK(hasProblem(result, "permit { from_version: 1 rack: \"r1\" }"));
        CHECK(manager.current() == initial);
        nodeFile.permits.push_back({7, {"r1"}, {}, 0});
        result = manager.offerVersion({nodeFile}, 2);
        CHECK(result.outcome == OfferOutcome::refused);
        CHECK(hasProblem(result, "another version than 1"));
        nodeFile.permits.push_back({1, {"r1"}, {}, 0});
        CHECK(manager.offerVersion({nodeFile}, 3).outcome == OfferOutcome::accepted);  // 5 of 20 is a quarter
    }
    SUBCASE("a shard, also by draining or by weight 0") {
        fleet.at("n0").state = MemberState::draining;
        fleet.without("n1");
        ParsedNodeFile nodeFile = makeNodeFile(2, fleet);
        CHECK(hasProblem(manager.offerVersion({nodeFile}, 1), "every node of shard 0"));
        nodeFile.permits.push_back({1, {}, {0}, 0});
        CHECK(manager.offerVersion({nodeFile}, 2).outcome == OfferOutcome::accepted);
    }
    SUBCASE("a fraction of the fleet, also in small steps") {
        fleet.without("n0").without("n2").without("n4");
        CHECK(manager.offerVersion({makeNodeFile(2, fleet)}, 1000).outcome == OfferOutcome::accepted);
        fleet.without("n6").without("n8");
        CHECK(manager.offerVersion({makeNodeFile(3, fleet)}, 2000).outcome == OfferOutcome::accepted);
        fleet.without("n11");
        ParsedNodeFile nodeFile = makeNodeFile(4, fleet);
        CHECK(hasProblem(manager.offerVersion({nodeFile}, 3000), "6 of 20 nodes"));
        nodeFile.permits.push_back({3, {}, {}, 0.3});
        SUBCASE("with a permit") {
            CHECK(manager.offerVersion({nodeFile}, 4000).outcome == OfferOutcome::accepted);
        }
        SUBCASE("or once the first nodes were lost more than removalDrainMs ago") {
            nodeFile.permits.clear();
            CHECK(manager.offerVersion({nodeFile}, 31'001).outcome == OfferOutcome::accepted);
        }
    }
    SUBCASE("one node may always be removed") {
        MembershipManager smallManager{MembershipRules{}};
        Fleet two = Fleet().add("a", 0).add("b", 0);
        CHECK(smallManager.offerVersion({makeNodeFile(1, two)}, 0).outcome == OfferOutcome::accepted);
        CHECK(smallManager.offerVersion({makeNodeFile(2, two.without("a"))}, 1).outcome ==
              OfferOutcome::accepted);
    }
}

TEST_CASE("a node that is no longer listed drains, then is removed") {
    MembershipManager manager{MembershipRules{.removalDrainMs = 5000}};
    Fleet fleet = Fleet().addNodes(8, 2);
    CHECK(manager.offerVersion({makeNodeFile(1, fleet)}, 0).outcome == OfferOutcome::accepted);
    const MembershipPtr before = manager.current();
    CHECK(manager.offerVersion({makeNodeFile(2, Fleet(fleet).without("n3"))}, 1000).outcome ==
          OfferOutcome::accepted);
    REQUIRE(findMember(manager, "n3") != nullptr);
    CHECK(findMember(manager, "n3")->leaving);
    const std::vector<MemberChange> changes = diffMemberships(before.get(), *manager.current());
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].targetState == TargetState::draining);
    CHECK(manager.nextRemovalMs() == 6000);

    SUBCASE("removed after its drain time, with a new boot time when it is listed again") {
        CHECK(!manager.removeDeparted(5999));
        const MembershipPtr draining = manager.current();
        CHECK(manager.removeDeparted(6000));
        CHECK(findMember(manager, "n3") == nullptr);
        CHECK(diffMemberships(draining.get(), *manager.current()).at(0).targetState == TargetState::gone);
        CHECK(manager.current()->version == 2);
        CHECK(std::isinf(manager.nextRemovalMs()));
        CHECK(manager.offerVersion({makeNodeFile(3, fleet)}, 7000).outcome == OfferOutcome::accepted);
        CHECK(findMember(manager, "n3")->bootTimeMs == 7000);
        CHECK(findMember(manager, "n2")->bootTimeMs == 0);
    }
    SUBCASE("listed again while it drains: the same node") {
        CHECK(manager.offerVersion({makeNodeFile(3, fleet)}, 1500).outcome == OfferOutcome::accepted);
        CHECK(findMember(manager, "n3")->bootTimeMs == 0);
        CHECK(!findMember(manager, "n3")->leaving);
        CHECK(std::isinf(manager.nextRemovalMs()));
        CHECK(!manager.removeDeparted(60'000));
    }
    SUBCASE("listed again at another address: a new boot time") {
        fleet.at("n3").address = "10.9.9.9:80";
        CHECK(manager.offerVersion({makeNodeFile(3, fleet)}, 1500).outcome == OfferOutcome::accepted);
        CHECK(findMember(manager, "n3")->bootTimeMs == 1500);
    }
    SUBCASE("listed again with a later boot time") {
        fleet.at("n3").bootTimeMs = 1400;
        for (ParsedMember& parsed : fleet.members) parsed.hasBootTime = parsed.member.name == "n3";
        CHECK(manager.offerVersion({makeNodeFile(3, fleet)}, 1500).outcome == OfferOutcome::accepted);
        CHECK(findMember(manager, "n3")->bootTimeMs == 1400);
    }
}

TEST_CASE("a restored version is current until a newer one is accepted") {
    MembershipManager manager{MembershipRules{}};
    Fleet fleet = Fleet().addNodes(4);
    CHECK(manager.offerVersion({makeNodeFile(5, fleet)}, 0).outcome == OfferOutcome::accepted);
    MembershipManager restored{MembershipRules{}};
    restored.restore(*manager.current(), 100);
    CHECK(restored.current()->version == 5);
    CHECK(restored.offerVersion({makeNodeFile(5, fleet)}, 200).outcome == OfferOutcome::unchanged);
    CHECK(restored.offerVersion({makeNodeFile(4, fleet)}, 200).outcome == OfferOutcome::refused);
    fleet.add("new", 9);
    CHECK(restored.offerVersion({makeNodeFile(6, fleet)}, 300).outcome == OfferOutcome::accepted);
    // The new node may have started while no process was running.
    CHECK(findMember(restored, "new")->bootTimeMs == 300);
}

// For random offers, the current membership changes only when a version is accepted or nodes are removed, its
// version only increases, no incomplete file is accepted, and the changes from diffMemberships() lead from
// each membership to the next.
TEST_CASE("memberships after a thousand random offers") {
    std::mt19937_64 random(20261201);
    MESSAGE("seed 20261201");
    MembershipManager manager{MembershipRules{.removalDrainMs = 50, .maxLostFraction = 0.5}};
    std::map<std::string, TargetState> states;
    std::uint64_t lastVersion = 0;
    int accepted = 0;
    for (int i = 1; i <= 1000; ++i) {
        Fleet fleet;
        for (int n = 0; n < 24; ++n) {
            fleet.add("n" + std::to_string(n), n / 3);
            fleet.members.back().member.address = "10.0.0." + std::to_string(n + 1) + ":80";
            if (random() % 8 == 0)
                fleet.without("n" + std::to_string(n));
            else if (random() % 10 == 0)
                fleet.at("n" + std::to_string(n)).state = MemberState::draining;
        }
        ParsedNodeFile nodeFile = makeNodeFile(1 + i / 2 + random() % 4, fleet);
        nodeFile.digest = std::to_string(i);
        const bool incomplete = random() % 4 == 0;
        if (incomplete) nodeFile.declaredCount += 1;
        const MembershipPtr before = manager.current();
        const double nowMs = i * 10.0;
        const bool removed = manager.removeDeparted(nowMs);
        const MembershipPtr beforeOffer = manager.current();
        const OfferResult result = manager.offerVersion({nodeFile}, nowMs);
        CHECK(removed == (before != beforeOffer));
        CHECK((result.outcome == OfferOutcome::accepted) == (beforeOffer != manager.current()));
        if (incomplete) CHECK(result.outcome != OfferOutcome::accepted);
        if (result.outcome == OfferOutcome::accepted) {
            ++accepted;
            CHECK(manager.current()->version > lastVersion);
            lastVersion = manager.current()->version;
        }
        if (!manager.current()) continue;
        for (const MemberChange& change : diffMemberships(before.get(), *manager.current())) {
            if (change.targetState == TargetState::gone)
                CHECK(states.erase(change.member.name) == 1);
            else
                states[change.member.name] = change.targetState;
        }
        CHECK(states.size() == manager.current()->members.size());
        for (const Member& member : manager.current()->members)
            CHECK(states.at(member.name) == (member.state == MemberState::ready && !member.leaving
                                                 ? TargetState::ready
                                                 : TargetState::draining));
    }
    CHECK(accepted > 100);
}
