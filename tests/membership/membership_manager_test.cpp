// Tests which versions of the node list MembershipManager accepts, with constructed files and times.
#include "membership/membership_manager.h"

#include <doctest/doctest.h>

#include <cmath>
#include <random>

using namespace martencove::membership;

namespace {

struct Fleet {
    std::vector<ParsedMember> members;
    Fleet& add(const std::string& name, int shard, const std::string& rack = "", double weight = 1) {
        Member m{name,  "10.0.0." + std::to_string(members.size() + 1) + ":80",
                 shard, weight,
                 rack,  MemberState::ready,
                 0,     false};
        members.push_back({m, false, static_cast<int>(members.size()) + 3, 1});
        return *this;
    }
    Fleet& of(int nodes, int perShard = 1) {
        for (int i = 0; i < nodes; ++i)
            add("n" + std::to_string(i), i / perShard, "r" + std::to_string(i % 4));
        return *this;
    }
    Fleet& without(const std::string& name) {
        std::erase_if(members, [&](const ParsedMember& d) { return d.member.name == name; });
        return *this;
    }
    Member& at(const std::string& name) {
        for (ParsedMember& d : members)
            if (d.member.name == name) return d.member;
        throw std::out_of_range(name);
    }
};

ParsedNodeFile draft(std::uint64_t version, const Fleet& fleet) {
    ParsedNodeFile out;
    out.file = "nodes";
    out.version = out.trailerVersion = version;
    out.members = fleet.members;
    out.declaredCount = fleet.members.size();
    out.digest = "d" + std::to_string(version);
    return out;
}

std::string first(const OfferResult& v) { return v.problems.empty() ? "" : v.problems.front().text(); }

const Member* member(const MembershipManager& gate, const std::string& name) {
    for (const Member& m : gate.current()->members)
        if (m.name == name) return &m;
    return nullptr;
}

}  // namespace

TEST_CASE("the first version is accepted, offering it again changes nothing") {
    MembershipManager gate{MembershipRules{}};
    CHECK(gate.current() == nullptr);
    const Fleet fleet = Fleet().of(4);
    CHECK(gate.offerVersion({draft(3, fleet)}, 1000).outcome == OfferOutcome::accepted);
    const MembershipPtr held = gate.current();
    CHECK(held->version == 3);
    CHECK(held->members.size() == 4);
    CHECK(held->members[0].bootTimeMs == 0);
    CHECK(gate.offerVersion({draft(3, fleet)}, 2000).outcome == OfferOutcome::unchanged);
    CHECK(gate.current() == held);
}

TEST_CASE("an older version, or the same version with other content, is refused") {
    MembershipManager gate{MembershipRules{}};
    CHECK(gate.offerVersion({draft(3, Fleet().of(4))}, 0).outcome == OfferOutcome::accepted);
    const MembershipPtr held = gate.current();
    OfferResult v = gate.offerVersion({draft(2, Fleet().of(4))}, 0);
    CHECK(v.outcome == OfferOutcome::refused);
    CHECK(first(v).find("older than version 3") != std::string::npos);
    ParsedNodeFile other = draft(3, Fleet().of(5));
    other.digest = "else";
    v = gate.offerVersion({other}, 0);
    CHECK(v.outcome == OfferOutcome::refused);
    CHECK(first(v).find("other content") != std::string::npos);
    CHECK(gate.current() == held);
}

TEST_CASE("a file that appears half written is incomplete, not refused") {
    MembershipManager gate{MembershipRules{}};
    ParsedNodeFile cut = draft(1, Fleet().of(4));
    cut.declaredCount = 5;
    CHECK(gate.offerVersion({cut}, 0).outcome == OfferOutcome::incomplete);
    ParsedNodeFile torn = draft(2, Fleet().of(4));
    torn.trailerVersion = 1;
    CHECK(gate.offerVersion({torn}, 0).outcome == OfferOutcome::incomplete);
    ParsedNodeFile bad = draft(1, Fleet().of(4));
    bad.problems.push_back({{"nodes", 3, 7}, "expected a string", Severity::incomplete});
    const OfferResult v = gate.offerVersion({bad}, 0);
    CHECK(v.outcome == OfferOutcome::incomplete);
    CHECK(first(v) == "nodes:3:7: expected a string");
    CHECK(gate.offerVersion({}, 0).outcome == OfferOutcome::incomplete);
    CHECK(gate.current() == nullptr);
}

TEST_CASE("the parts of a version are accepted together") {
    MembershipManager gate{MembershipRules{}};
    const auto part = [](std::uint64_t version, const std::string& name, const Fleet& fleet) {
        ParsedNodeFile d = draft(version, fleet);
        d.file = "nodes-" + name;
        d.partName = name;
        d.partNames = {"a", "b"};
        d.digest += name;
        return d;
    };
    const Fleet a = Fleet().add("a0", 0).add("a1", 1);
    Fleet b = Fleet().add("b0", 0);
    b.at("b0").address = "10.0.1.1:80";
    CHECK(gate.offerVersion({part(1, "a", a)}, 0).outcome == OfferOutcome::incomplete);
    CHECK(gate.offerVersion({part(1, "a", a), part(1, "b", b)}, 0).outcome == OfferOutcome::accepted);
    CHECK(gate.current()->members.size() == 3);
    OfferResult v = gate.offerVersion({part(2, "a", a), part(1, "b", b)}, 0);
    CHECK(v.outcome == OfferOutcome::incomplete);
    CHECK(first(v).find("still at version 1") != std::string::npos);
    CHECK(gate.offerVersion({part(2, "a", a), part(2, "b", b)}, 0).outcome == OfferOutcome::accepted);

    SUBCASE("a name or an address is in two files") {
        b.add("a1", 2);
        v = gate.offerVersion({part(3, "a", a), part(3, "b", b)}, 0);
        CHECK(v.outcome == OfferOutcome::refused);
        CHECK(v.problems.size() == 2);  // its address is in the other file too
        CHECK(first(v).find("also in nodes-a:4") != std::string::npos);
    }
    SUBCASE("a part that the version no longer lists is ignored with a note") {
        ParsedNodeFile alone = part(3, "a", a);
        alone.partNames = {"a"};
        alone.members[0].member.weight = 1;
        alone.permits.push_back({2, {}, {}, 1});
        v = gate.offerVersion({alone, part(2, "b", b)}, 0);
        CHECK(v.outcome == OfferOutcome::accepted);
        CHECK(v.notes.size() == 1);
    }
    SUBCASE("two files have the same part name") {
        ParsedNodeFile twin = part(3, "a", a);
        twin.file = "copy";
        CHECK(gate.offerVersion({part(3, "a", a), twin, part(3, "b", b)}, 0).outcome ==
              OfferOutcome::refused);
    }
}

TEST_CASE("invalid values are refused with their location") {
    const auto reason = [](auto change, MembershipRules rules = MembershipRules{}) {
        MembershipManager gate{rules};
        Fleet fleet = Fleet().of(4, 2);
        change(fleet);
        const OfferResult v = gate.offerVersion({draft(1, fleet)}, 10'000);
        CHECK(gate.current() == nullptr);
        CHECK(v.outcome == OfferOutcome::refused);
        return first(v);
    };
    const auto has = [](const std::string& text, const std::string& part) {
        return text.find(part) != std::string::npos;
    };
    CHECK(
        has(reason([](Fleet& f) { f.at("n1").name = "n0"; }), "nodes:4:1: name: \"n0\" is also in nodes:3"));
    CHECK(
        has(reason([](Fleet& f) { f.at("n1").address = f.at("n0").address; }), "also the address of \"n0\""));
    CHECK(has(reason([](Fleet& f) { f.at("n1").name = "a b"; }), "name:"));
    CHECK(has(reason([](Fleet& f) { f.at("n1").name = ""; }), "name:"));
    for (const char* dial : {"", "10.0.0.1", ":80", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "h:8x"})
        CHECK(has(reason([&](Fleet& f) { f.at("n1").address = dial; }), "is not host:port"));
    CHECK(has(reason([](Fleet& f) { f.at("n1").shard = -1; }), "shard:"));
    CHECK(has(reason([](Fleet& f) { f.at("n1").shard = 9; }, MembershipRules{.shardCount = 8}),
              "numbered from 0 to 7"));
    CHECK(has(reason([](Fleet& f) { f.at("n1").weight = -1; }), "weight:"));
    CHECK(has(reason([](Fleet& f) { f.at("n1").weight = NAN; }), "weight:"));
    CHECK(has(reason([](Fleet& f) { f.at("n1").weight = INFINITY; }), "weight:"));
    CHECK(has(reason([](Fleet& f) { f.at("n0").weight = f.at("n1").weight = 0; }), "shard 0 have weight 0"));
    CHECK(has(reason([](Fleet& f) { f.at("n0").weight = 2000; }), "2000 times the smallest"));
    CHECK(has(reason([](Fleet& f) {
                  f.at("n0").bootTimeMs = 60'000;
                  f.members[0].hasBootTime = true;
              }),
              "future"));
    CHECK(has(reason([](Fleet& f) { f.members.clear(); }), "has no nodes"));
    CHECK(has(reason([](Fleet&) {}, MembershipRules{.maxNodes = 3}), "at most 3"));
    MembershipManager gate{MembershipRules{.maxReportedProblems = 3}};
    Fleet bad = Fleet().of(10);
    for (ParsedMember& d : bad.members) d.member.address = "x";
    const OfferResult v = gate.offerVersion({draft(1, bad)}, 0);
    CHECK(v.problems.size() == 4);
    CHECK(v.problems.back().text() == "7 more problems");
}

TEST_CASE("a version that removes too much is refused unless a permit allows it") {
    MembershipManager gate{MembershipRules{}};
    Fleet fleet = Fleet().of(20, 2);
    CHECK(gate.offerVersion({draft(1, fleet)}, 0).outcome == OfferOutcome::accepted);
    const MembershipPtr held = gate.current();
    const auto has = [](const OfferResult& v, const std::string& text) {
        for (const Problem& p : v.problems)
            if (p.reason.find(text) != std::string::npos) return true;
        return false;
    };
    SUBCASE("a rack") {
        for (int i = 1; i < 20; i += 4) fleet.without("n" + std::to_string(i));
        ParsedNodeFile d = draft(2, fleet);
        OfferResult v = gate.offerVersion({d}, 1);
        CHECK(v.outcome == OfferOutcome::refused);
        CHECK(has(v, "every node of rack \"r1\""));
        CHECK(has(v, "permit { from_version: 1 rack: \"r1\" }"));
        CHECK(gate.current() == held);
        d.permits.push_back({7, {"r1"}, {}, 0});
        v = gate.offerVersion({d}, 2);
        CHECK(v.outcome == OfferOutcome::refused);
        CHECK(has(v, "another version than 1"));
        d.permits.push_back({1, {"r1"}, {}, 0});
        CHECK(gate.offerVersion({d}, 3).outcome == OfferOutcome::accepted);  // 5 of 20 is a quarter
    }
    SUBCASE("a shard, also by draining or by weight 0") {
        fleet.at("n0").state = MemberState::draining;
        fleet.without("n1");
        ParsedNodeFile d = draft(2, fleet);
        CHECK(has(gate.offerVersion({d}, 1), "every node of shard 0"));
        d.permits.push_back({1, {}, {0}, 0});
        CHECK(gate.offerVersion({d}, 2).outcome == OfferOutcome::accepted);
    }
    SUBCASE("a fraction of the fleet, also in small steps") {
        fleet.without("n0").without("n2").without("n4");
        CHECK(gate.offerVersion({draft(2, fleet)}, 1000).outcome == OfferOutcome::accepted);
        fleet.without("n6").without("n8");
        CHECK(gate.offerVersion({draft(3, fleet)}, 2000).outcome == OfferOutcome::accepted);
        fleet.without("n11");
        ParsedNodeFile d = draft(4, fleet);
        CHECK(has(gate.offerVersion({d}, 3000), "6 of 20 nodes"));
        d.permits.push_back({3, {}, {}, 0.3});
        SUBCASE("with a permit") { CHECK(gate.offerVersion({d}, 4000).outcome == OfferOutcome::accepted); }
        SUBCASE("or once the first nodes were lost more than removalDrainMs ago") {
            d.permits.clear();
            CHECK(gate.offerVersion({d}, 31'001).outcome == OfferOutcome::accepted);
        }
    }
    SUBCASE("one node may always be removed") {
        MembershipManager small{MembershipRules{}};
        Fleet two = Fleet().add("a", 0).add("b", 0);
        CHECK(small.offerVersion({draft(1, two)}, 0).outcome == OfferOutcome::accepted);
        CHECK(small.offerVersion({draft(2, two.without("a"))}, 1).outcome == OfferOutcome::accepted);
    }
}

TEST_CASE("a node that is no longer listed drains, then is removed") {
    MembershipManager gate{MembershipRules{.removalDrainMs = 5000}};
    Fleet fleet = Fleet().of(8, 2);
    CHECK(gate.offerVersion({draft(1, fleet)}, 0).outcome == OfferOutcome::accepted);
    const MembershipPtr before = gate.current();
    CHECK(gate.offerVersion({draft(2, Fleet(fleet).without("n3"))}, 1000).outcome == OfferOutcome::accepted);
    REQUIRE(member(gate, "n3") != nullptr);
    CHECK(member(gate, "n3")->leaving);
    const std::vector<MemberChange> steps = diffMemberships(before.get(), *gate.current());
    REQUIRE(steps.size() == 1);
    CHECK(steps[0].targetState == TargetState::draining);
    CHECK(gate.nextRemovalMs() == 6000);

    SUBCASE("removed after its drain time, with a new boot time when it is listed again") {
        CHECK(!gate.removeDeparted(5999));
        const MembershipPtr drains = gate.current();
        CHECK(gate.removeDeparted(6000));
        CHECK(member(gate, "n3") == nullptr);
        CHECK(diffMemberships(drains.get(), *gate.current()).at(0).targetState == TargetState::gone);
        CHECK(gate.current()->version == 2);
        CHECK(std::isinf(gate.nextRemovalMs()));
        CHECK(gate.offerVersion({draft(3, fleet)}, 7000).outcome == OfferOutcome::accepted);
        CHECK(member(gate, "n3")->bootTimeMs == 7000);
        CHECK(member(gate, "n2")->bootTimeMs == 0);
    }
    SUBCASE("listed again while it drains: the same node") {
        CHECK(gate.offerVersion({draft(3, fleet)}, 1500).outcome == OfferOutcome::accepted);
        CHECK(member(gate, "n3")->bootTimeMs == 0);
        CHECK(!member(gate, "n3")->leaving);
        CHECK(std::isinf(gate.nextRemovalMs()));
        CHECK(!gate.removeDeparted(60'000));
    }
    SUBCASE("listed again at another address: a new boot time") {
        fleet.at("n3").address = "10.9.9.9:80";
        CHECK(gate.offerVersion({draft(3, fleet)}, 1500).outcome == OfferOutcome::accepted);
        CHECK(member(gate, "n3")->bootTimeMs == 1500);
    }
    SUBCASE("listed again with a later boot time") {
        fleet.at("n3").bootTimeMs = 1400;
        for (ParsedMember& d : fleet.members) d.hasBootTime = d.member.name == "n3";
        CHECK(gate.offerVersion({draft(3, fleet)}, 1500).outcome == OfferOutcome::accepted);
        CHECK(member(gate, "n3")->bootTimeMs == 1400);
    }
}

TEST_CASE("a restored version is current until a newer one is accepted") {
    MembershipManager gate{MembershipRules{}};
    Fleet fleet = Fleet().of(4);
    CHECK(gate.offerVersion({draft(5, fleet)}, 0).outcome == OfferOutcome::accepted);
    MembershipManager next{MembershipRules{}};
    next.restore(*gate.current(), 100);
    CHECK(next.current()->version == 5);
    CHECK(next.offerVersion({draft(5, fleet)}, 200).outcome == OfferOutcome::unchanged);
    CHECK(next.offerVersion({draft(4, fleet)}, 200).outcome == OfferOutcome::refused);
    fleet.add("new", 9);
    CHECK(next.offerVersion({draft(6, fleet)}, 300).outcome == OfferOutcome::accepted);
    CHECK(member(next, "new")->bootTimeMs == 300);  // it may have started while no process was running
}

// For random offers, the current membership changes only when a version is accepted or nodes are removed, its
// version only increases, no incomplete file is accepted, and the changes from diffMemberships() lead from
// each membership to the next.
TEST_CASE("memberships after a thousand random offers") {
    std::mt19937_64 random(20261201);
    MESSAGE("seed 20261201");
    MembershipManager gate{MembershipRules{.removalDrainMs = 50, .maxLostFraction = 0.5}};
    std::map<std::string, TargetState> seen;
    std::uint64_t last = 0;
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
        ParsedNodeFile d = draft(1 + i / 2 + random() % 4, fleet);
        d.digest = std::to_string(i);
        const bool spoilt = random() % 4 == 0;
        if (spoilt) d.declaredCount += 1;
        const MembershipPtr before = gate.current();
        const double now = i * 10.0;
        const bool departed = gate.removeDeparted(now);
        const MembershipPtr between = gate.current();
        const OfferResult v = gate.offerVersion({d}, now);
        CHECK(departed == (before != between));
        CHECK((v.outcome == OfferOutcome::accepted) == (between != gate.current()));
        if (spoilt) CHECK(v.outcome != OfferOutcome::accepted);
        if (v.outcome == OfferOutcome::accepted) {
            ++accepted;
            CHECK(gate.current()->version > last);
            last = gate.current()->version;
        }
        if (!gate.current()) continue;
        for (const MemberChange& c : diffMemberships(before.get(), *gate.current())) {
            if (c.targetState == TargetState::gone)
                CHECK(seen.erase(c.member.name) == 1);
            else
                seen[c.member.name] = c.targetState;
        }
        CHECK(seen.size() == gate.current()->members.size());
        for (const Member& m : gate.current()->members)
            CHECK(seen.at(m.name) ==
                  (m.state == MemberState::ready && !m.leaving ? TargetState::ready : TargetState::draining));
    }
    CHECK(accepted > 100);
}
