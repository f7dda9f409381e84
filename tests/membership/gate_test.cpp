// Which versions of the node list come into force. No files, no clock.
#include "membership/gate.h"

#include <doctest/doctest.h>

#include <cmath>
#include <random>

using namespace martencove::membership;

namespace {

struct Fleet {
    std::vector<DraftMember> members;
    Fleet& add(const std::string& name, int shard, const std::string& rack = "", double weight = 1) {
        Member m{name,  "10.0.0." + std::to_string(members.size() + 1) + ":80",
                 shard, weight,
                 rack,  State::ready,
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
        std::erase_if(members, [&](const DraftMember& d) { return d.member.name == name; });
        return *this;
    }
    Member& at(const std::string& name) {
        for (DraftMember& d : members)
            if (d.member.name == name) return d.member;
        throw std::out_of_range(name);
    }
};

Draft draft(std::uint64_t version, const Fleet& fleet) {
    Draft out;
    out.file = "nodes";
    out.version = out.endVersion = version;
    out.members = fleet.members;
    out.count = fleet.members.size();
    out.digest = "d" + std::to_string(version);
    return out;
}

std::string first(const Verdict& v) { return v.problems.empty() ? "" : v.problems.front().text(); }

const Member* member(const Gate& gate, const std::string& name) {
    for (const Member& m : gate.inForce()->members)
        if (m.name == name) return &m;
    return nullptr;
}

}  // namespace

TEST_CASE("a first version comes into force, the same again changes nothing") {
    Gate gate{Rules{}};
    CHECK(gate.inForce() == nullptr);
    const Fleet fleet = Fleet().of(4);
    CHECK(gate.offer({draft(3, fleet)}, 1000).ruling == Ruling::accepted);
    const MembershipPtr held = gate.inForce();
    CHECK(held->version == 3);
    CHECK(held->members.size() == 4);
    CHECK(held->members[0].bornMs == 0);
    CHECK(gate.offer({draft(3, fleet)}, 2000).ruling == Ruling::unchanged);
    CHECK(gate.inForce() == held);
}

TEST_CASE("an older version, or the same with other content, is refused") {
    Gate gate{Rules{}};
    CHECK(gate.offer({draft(3, Fleet().of(4))}, 0).ruling == Ruling::accepted);
    const MembershipPtr held = gate.inForce();
    Verdict v = gate.offer({draft(2, Fleet().of(4))}, 0);
    CHECK(v.ruling == Ruling::refused);
    CHECK(first(v).find("older than version 3") != std::string::npos);
    Draft other = draft(3, Fleet().of(5));
    other.digest = "else";
    v = gate.offer({other}, 0);
    CHECK(v.ruling == Ruling::refused);
    CHECK(first(v).find("other content") != std::string::npos);
    CHECK(gate.inForce() == held);
}

TEST_CASE("what shows a half-written file is incomplete, not refused") {
    Gate gate{Rules{}};
    Draft cut = draft(1, Fleet().of(4));
    cut.count = 5;
    CHECK(gate.offer({cut}, 0).ruling == Ruling::incomplete);
    Draft torn = draft(2, Fleet().of(4));
    torn.endVersion = 1;
    CHECK(gate.offer({torn}, 0).ruling == Ruling::incomplete);
    Draft bad = draft(1, Fleet().of(4));
    bad.problems.push_back({{"nodes", 3, 7}, "expected a string", Severity::incomplete});
    const Verdict v = gate.offer({bad}, 0);
    CHECK(v.ruling == Ruling::incomplete);
    CHECK(first(v) == "nodes:3:7: expected a string");
    CHECK(gate.offer({}, 0).ruling == Ruling::incomplete);
    CHECK(gate.inForce() == nullptr);
}

TEST_CASE("the parts of a version come into force together") {
    Gate gate{Rules{}};
    const auto part = [](std::uint64_t version, const std::string& name, const Fleet& fleet) {
        Draft d = draft(version, fleet);
        d.file = "nodes-" + name;
        d.part = name;
        d.parts = {"a", "b"};
        d.digest += name;
        return d;
    };
    const Fleet a = Fleet().add("a0", 0).add("a1", 1);
    Fleet b = Fleet().add("b0", 0);
    b.at("b0").dial = "10.0.1.1:80";
    CHECK(gate.offer({part(1, "a", a)}, 0).ruling == Ruling::incomplete);
    CHECK(gate.offer({part(1, "a", a), part(1, "b", b)}, 0).ruling == Ruling::accepted);
    CHECK(gate.inForce()->members.size() == 3);
    Verdict v = gate.offer({part(2, "a", a), part(1, "b", b)}, 0);
    CHECK(v.ruling == Ruling::incomplete);
    CHECK(first(v).find("still at version 1") != std::string::npos);
    CHECK(gate.offer({part(2, "a", a), part(2, "b", b)}, 0).ruling == Ruling::accepted);

    SUBCASE("a name or an address in two files") {
        b.add("a1", 2);
        v = gate.offer({part(3, "a", a), part(3, "b", b)}, 0);
        CHECK(v.ruling == Ruling::refused);
        CHECK(v.problems.size() == 2);  // its address is one of the other file's too
        CHECK(first(v).find("also in nodes-a:4") != std::string::npos);
    }
    SUBCASE("a part that the version no longer names is left over") {
        Draft alone = part(3, "a", a);
        alone.parts = {"a"};
        alone.members[0].member.weight = 1;
        alone.permits.push_back({2, {}, {}, 1});
        v = gate.offer({alone, part(2, "b", b)}, 0);
        CHECK(v.ruling == Ruling::accepted);
        CHECK(v.notes.size() == 1);
    }
    SUBCASE("two files that say they are the same part") {
        Draft twin = part(3, "a", a);
        twin.file = "copy";
        CHECK(gate.offer({part(3, "a", a), twin, part(3, "b", b)}, 0).ruling == Ruling::refused);
    }
}

TEST_CASE("what makes no sense is refused with its place") {
    const auto reason = [](auto change, Rules rules = Rules{}) {
        Gate gate{rules};
        Fleet fleet = Fleet().of(4, 2);
        change(fleet);
        const Verdict v = gate.offer({draft(1, fleet)}, 10'000);
        CHECK(gate.inForce() == nullptr);
        CHECK(v.ruling == Ruling::refused);
        return first(v);
    };
    const auto has = [](const std::string& text, const std::string& part) {
        return text.find(part) != std::string::npos;
    };
    CHECK(
        has(reason([](Fleet& f) { f.at("n1").name = "n0"; }), "nodes:4:1: name: \"n0\" is also in nodes:3"));
    CHECK(has(reason([](Fleet& f) { f.at("n1").dial = f.at("n0").dial; }), "also the address of \"n0\""));
    CHECK(has(reason([](Fleet& f) { f.at("n1").name = "a b"; }), "name:"));
    CHECK(has(reason([](Fleet& f) { f.at("n1").name = ""; }), "name:"));
    for (const char* dial : {"", "10.0.0.1", ":80", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "h:8x"})
        CHECK(has(reason([&](Fleet& f) { f.at("n1").dial = dial; }), "is not host:port"));
    CHECK(has(reason([](Fleet& f) { f.at("n1").shard = -1; }), "shard:"));
    CHECK(has(reason([](Fleet& f) { f.at("n1").shard = 9; }, Rules{.shards = 8}), "numbered from 0 to 7"));
    CHECK(has(reason([](Fleet& f) { f.at("n1").weight = -1; }), "weight:"));
    CHECK(has(reason([](Fleet& f) { f.at("n1").weight = NAN; }), "weight:"));
    CHECK(has(reason([](Fleet& f) { f.at("n1").weight = INFINITY; }), "weight:"));
    CHECK(has(reason([](Fleet& f) { f.at("n0").weight = f.at("n1").weight = 0; }), "shard 0 have weight 0"));
    CHECK(has(reason([](Fleet& f) { f.at("n0").weight = 2000; }), "2000 times the smallest"));
    CHECK(has(reason([](Fleet& f) {
                  f.at("n0").bornMs = 60'000;
                  f.members[0].bornTold = true;
              }),
              "future"));
    CHECK(has(reason([](Fleet& f) { f.members.clear(); }), "without any node"));
    CHECK(has(reason([](Fleet&) {}, Rules{.nodes = 3}), "at most 3"));
    Gate gate{Rules{.problems = 3}};
    Fleet bad = Fleet().of(10);
    for (DraftMember& d : bad.members) d.member.dial = "x";
    const Verdict v = gate.offer({draft(1, bad)}, 0);
    CHECK(v.problems.size() == 4);
    CHECK(v.problems.back().text() == "7 more problems");
}

TEST_CASE("a version that takes too much away is refused unless it says that it is meant") {
    Gate gate{Rules{}};
    Fleet fleet = Fleet().of(20, 2);
    CHECK(gate.offer({draft(1, fleet)}, 0).ruling == Ruling::accepted);
    const MembershipPtr held = gate.inForce();
    const auto has = [](const Verdict& v, const std::string& text) {
        for (const Problem& p : v.problems)
            if (p.reason.find(text) != std::string::npos) return true;
        return false;
    };
    SUBCASE("a rack") {
        for (int i = 1; i < 20; i += 4) fleet.without("n" + std::to_string(i));
        Draft d = draft(2, fleet);
        Verdict v = gate.offer({d}, 1);
        CHECK(v.ruling == Ruling::refused);
        CHECK(has(v, "every node of rack \"r1\""));
        CHECK(has(v, "permit { from_version: 1 rack: \"r1\" }"));
        CHECK(gate.inForce() == held);
        d.permits.push_back({7, {"r1"}, {}, 0});
        v = gate.offer({d}, 2);
        CHECK(v.ruling == Ruling::refused);
        CHECK(has(v, "another version than 1"));
        d.permits.push_back({1, {"r1"}, {}, 0});
        CHECK(gate.offer({d}, 3).ruling == Ruling::accepted);  // 5 of 20 is a quarter
    }
    SUBCASE("a shard, also by draining or by weight 0") {
        fleet.at("n0").state = State::draining;
        fleet.without("n1");
        Draft d = draft(2, fleet);
        CHECK(has(gate.offer({d}, 1), "every node of shard 0"));
        d.permits.push_back({1, {}, {0}, 0});
        CHECK(gate.offer({d}, 2).ruling == Ruling::accepted);
    }
    SUBCASE("part of the fleet, also in small steps") {
        fleet.without("n0").without("n2").without("n4");
        CHECK(gate.offer({draft(2, fleet)}, 1000).ruling == Ruling::accepted);
        fleet.without("n6").without("n8");
        CHECK(gate.offer({draft(3, fleet)}, 2000).ruling == Ruling::accepted);
        fleet.without("n11");
        Draft d = draft(4, fleet);
        CHECK(has(gate.offer({d}, 3000), "6 of 20 nodes"));
        d.permits.push_back({3, {}, {}, 0.3});
        SUBCASE("with a permit") { CHECK(gate.offer({d}, 4000).ruling == Ruling::accepted); }
        SUBCASE("or once the first have been away for long") {
            d.permits.clear();
            CHECK(gate.offer({d}, 31'001).ruling == Ruling::accepted);
        }
    }
    SUBCASE("one node of a few may always go") {
        Gate small{Rules{}};
        Fleet two = Fleet().add("a", 0).add("b", 0);
        CHECK(small.offer({draft(1, two)}, 0).ruling == Ruling::accepted);
        CHECK(small.offer({draft(2, two.without("a"))}, 1).ruling == Ruling::accepted);
    }
}

TEST_CASE("a node that is named no more drains, then is gone") {
    Gate gate{Rules{.departMs = 5000}};
    Fleet fleet = Fleet().of(8, 2);
    CHECK(gate.offer({draft(1, fleet)}, 0).ruling == Ruling::accepted);
    const MembershipPtr before = gate.inForce();
    CHECK(gate.offer({draft(2, Fleet(fleet).without("n3"))}, 1000).ruling == Ruling::accepted);
    REQUIRE(member(gate, "n3") != nullptr);
    CHECK(member(gate, "n3")->leaving);
    const std::vector<Change> steps = changes(before.get(), *gate.inForce());
    REQUIRE(steps.size() == 1);
    CHECK(steps[0].step == Step::draining);
    CHECK(gate.nextMs() == 6000);

    SUBCASE("gone at its time, cold when it comes again") {
        CHECK(!gate.depart(5999));
        const MembershipPtr drains = gate.inForce();
        CHECK(gate.depart(6000));
        CHECK(member(gate, "n3") == nullptr);
        CHECK(changes(drains.get(), *gate.inForce()).at(0).step == Step::gone);
        CHECK(gate.inForce()->version == 2);
        CHECK(std::isinf(gate.nextMs()));
        CHECK(gate.offer({draft(3, fleet)}, 7000).ruling == Ruling::accepted);
        CHECK(member(gate, "n3")->bornMs == 7000);
        CHECK(member(gate, "n2")->bornMs == 0);
    }
    SUBCASE("back in between it is the same node") {
        CHECK(gate.offer({draft(3, fleet)}, 1500).ruling == Ruling::accepted);
        CHECK(member(gate, "n3")->bornMs == 0);
        CHECK(!member(gate, "n3")->leaving);
        CHECK(std::isinf(gate.nextMs()));
        CHECK(!gate.depart(60'000));
    }
    SUBCASE("another process under its name is a new start") {
        fleet.at("n3").dial = "10.9.9.9:80";
        CHECK(gate.offer({draft(3, fleet)}, 1500).ruling == Ruling::accepted);
        CHECK(member(gate, "n3")->bornMs == 1500);
    }
    SUBCASE("and so is one with a later start told") {
        fleet.at("n3").bornMs = 1400;
        for (DraftMember& d : fleet.members) d.bornTold = d.member.name == "n3";
        CHECK(gate.offer({draft(3, fleet)}, 1500).ruling == Ruling::accepted);
        CHECK(member(gate, "n3")->bornMs == 1400);
    }
}

TEST_CASE("a kept version is the one in force until a newer one comes") {
    Gate gate{Rules{}};
    Fleet fleet = Fleet().of(4);
    CHECK(gate.offer({draft(5, fleet)}, 0).ruling == Ruling::accepted);
    Gate next{Rules{}};
    next.restore(*gate.inForce(), 100);
    CHECK(next.inForce()->version == 5);
    CHECK(next.offer({draft(5, fleet)}, 200).ruling == Ruling::unchanged);
    CHECK(next.offer({draft(4, fleet)}, 200).ruling == Ruling::refused);
    fleet.add("new", 9);
    CHECK(next.offer({draft(6, fleet)}, 300).ruling == Ruling::accepted);
    CHECK(member(next, "new")->bornMs == 300);  // it may have started while nobody looked
}

// Whatever is offered in whatever order: what is in force is one of the sound versions offered, its number
// only grows, and the steps handed out lead from each membership to the next.
TEST_CASE("memberships through a thousand random offers") {
    std::mt19937_64 random(20261201);
    MESSAGE("seed 20261201");
    Gate gate{Rules{.departMs = 50, .mostLostPart = 0.5}};
    std::map<std::string, Step> seen;
    std::uint64_t last = 0;
    int accepted = 0;
    for (int i = 1; i <= 1000; ++i) {
        Fleet fleet;
        for (int n = 0; n < 24; ++n) {
            fleet.add("n" + std::to_string(n), n / 3);
            fleet.members.back().member.dial = "10.0.0." + std::to_string(n + 1) + ":80";
            if (random() % 8 == 0)
                fleet.without("n" + std::to_string(n));
            else if (random() % 10 == 0)
                fleet.at("n" + std::to_string(n)).state = State::draining;
        }
        Draft d = draft(1 + i / 2 + random() % 4, fleet);
        d.digest = std::to_string(i);
        const bool spoilt = random() % 4 == 0;
        if (spoilt) d.count += 1;
        const MembershipPtr before = gate.inForce();
        const double now = i * 10.0;
        const bool departed = gate.depart(now);
        const MembershipPtr between = gate.inForce();
        const Verdict v = gate.offer({d}, now);
        CHECK(departed == (before != between));
        CHECK((v.ruling == Ruling::accepted) == (between != gate.inForce()));
        if (spoilt) CHECK(v.ruling != Ruling::accepted);
        if (v.ruling == Ruling::accepted) {
            ++accepted;
            CHECK(gate.inForce()->version > last);
            last = gate.inForce()->version;
        }
        if (!gate.inForce()) continue;
        for (const Change& c : changes(before.get(), *gate.inForce())) {
            if (c.step == Step::gone)
                CHECK(seen.erase(c.member.name) == 1);
            else
                seen[c.member.name] = c.step;
        }
        CHECK(seen.size() == gate.inForce()->members.size());
        for (const Member& m : gate.inForce()->members)
            CHECK(seen.at(m.name) == (m.state == State::ready && !m.leaving ? Step::ready : Step::draining));
    }
    CHECK(accepted > 100);
}
