#include "membership/membership.h"

#include <algorithm>
#include <cstdio>
#include <tuple>
#include <unordered_set>

namespace martencove::membership {
namespace {

TargetState stepOf(const Member& m) {
    return m.state == MemberState::ready && !m.leaving ? TargetState::ready : TargetState::draining;
}

std::string figure(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%g", value);
    return text;
}

/// Walks two member lists sorted by name and calls exactly one of `gone`, `came` and `stayed` for each name.
template <typename Gone, typename Came, typename Stayed>
void compare(const Membership* before, const Membership& after, Gone gone, Came came, Stayed stayed) {
    static const std::vector<Member> none;
    const std::vector<Member>& old = before == nullptr ? none : before->members;
    auto a = old.begin();
    auto b = after.members.begin();
    while (a != old.end() || b != after.members.end()) {
        if (b == after.members.end() || (a != old.end() && a->name < b->name))
            gone(*a++);
        else if (a == old.end() || b->name < a->name)
            came(*b++);
        else
            stayed(*a++, *b++);
    }
}

}  // namespace

std::string Problem::text() const {
    std::string out = location.file;
    if (location.line > 0) out += ':' + std::to_string(location.line);
    if (location.line > 0 && location.column > 0) out += ':' + std::to_string(location.column);
    return (out.empty() ? "" : out + ": ") + reason;
}

const Member* findMember(const std::vector<Member>& byName, const std::string& name) {
    const auto at = std::lower_bound(byName.begin(), byName.end(), name,
                                     [](const Member& m, const std::string& n) { return m.name < n; });
    return at != byName.end() && at->name == name ? &*at : nullptr;
}

bool hasServingMember(const std::vector<Member>& byName, const std::string& name) {
    const Member* m = findMember(byName, name);
    return m != nullptr && m->serving();
}

std::vector<MemberChange> diffMemberships(const Membership* before, const Membership& after) {
    std::vector<MemberChange> out;
    compare(
        before, after,
        [&](const Member& m) {
            out.push_back({m, TargetState::gone});
        },
        [&](const Member& m) {
            out.push_back({m, stepOf(m)});
        },
        [&](const Member& a, const Member& b) {
            if (!(a == b)) out.push_back({b, stepOf(b)});
        });
    // A shard's changes are adjacent, so that a caller that applies the changes in slices can apply those of
    // a shard together. Shards that lose a node come first, because new work for that node must stop in time.
    std::unordered_set<int> urgent;
    for (const MemberChange& c : out) {
        if (c.targetState != TargetState::ready) urgent.insert(c.member.shard);
    }
    std::stable_sort(out.begin(), out.end(), [&](const MemberChange& a, const MemberChange& b) {
        return std::tuple(!urgent.contains(a.member.shard), a.member.shard) <
               std::tuple(!urgent.contains(b.member.shard), b.member.shard);
    });
    return out;
}

std::vector<std::string> describeChanges(const Membership* before, const Membership& after) {
    std::vector<std::string> out;
    std::size_t came = 0, left = 0, changed = 0, same = 0;
    const auto line = [](const Member& m) {
        std::string text = m.name + " at " + m.address + ", shard " + std::to_string(m.shard) + ", weight " +
                           figure(m.weight);
        if (!m.rack.empty()) text += ", rack " + m.rack;
        if (m.leaving)
            text += ", leaving";
        else if (m.state == MemberState::draining)
            text += ", draining";
        return text;
    };
    compare(
        before, after, [&](const Member& m) { ++left, out.push_back("- " + line(m)); },
        [&](const Member& m) { ++came, out.push_back("+ " + line(m)); },
        [&](const Member& a, const Member& b) {
            std::string what;
            const auto differ = [&](const char* field, const std::string& x, const std::string& y) {
                if (x != y) what += std::string(what.empty() ? " " : ", ") + field + ' ' + x + " -> " + y;
            };
            const auto state = [](const Member& m) {
                return m.leaving ? "leaving" : m.state == MemberState::ready ? "ready" : "draining";
            };
            differ("address", a.address, b.address);
            differ("shard", std::to_string(a.shard), std::to_string(b.shard));
            differ("weight", figure(a.weight), figure(b.weight));
            differ("rack", a.rack, b.rack);
            differ("state", state(a), state(b));
            if (a.bootTimeMs != b.bootTimeMs) what += what.empty() ? " restarted" : ", restarted";
            if (what.empty()) return void(++same);
            ++changed;
            out.push_back("~ " + a.name + what);
        });
    out.push_back(std::to_string(came) + " added, " + std::to_string(left) + " removed, " +
                  std::to_string(changed) + " changed, " + std::to_string(same) + " unchanged");
    return out;
}

}  // namespace martencove::membership
