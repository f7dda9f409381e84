#include "membership/membership.h"

#include <algorithm>
#include <cstdio>
#include <tuple>
#include <unordered_set>

namespace martencove::membership {
namespace {

TargetState targetStateOf(const Member& m) {
    return m.state == MemberState::ready && !m.leaving ? TargetState::ready : TargetState::draining;
}

std::string formatNumber(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%g", value);
    return text;
}

/// Walks two member lists sorted by name and calls exactly one of `onRemoved`, `onAdded` and `onKept` for
/// each name.
template <typename OnRemoved, typename OnAdded, typename OnKept>
void compareByName(const Membership* before, const Membership& after, OnRemoved onRemoved, OnAdded onAdded,
                   OnKept onKept) {
    static const std::vector<Member> none;
    const std::vector<Member>& oldMembers = before == nullptr ? none : before->members;
    auto oldMember = oldMembers.begin();
    auto newMember = after.members.begin();
    while (oldMember != oldMembers.end() || newMember != after.members.end()) {
        if (newMember == after.members.end() ||
            (oldMember != oldMembers.end() && oldMember->name < newMember->name))
            onRemoved(*oldMember++);
        else if (oldMember == oldMembers.end() || newMember->name < oldMember->name)
            onAdded(*newMember++);
        else
            onKept(*oldMember++, *newMember++);
    }
}

}  // namespace

std::string Problem::text() const {
    std::string out = location.file;
    if (location.line > 0) out += ':' + std::to_string(location.line);
    if (location.line > 0 && location.column > 0) out += ':' + std::to_string(location.column);
    return (out.empty() ? "" : out + ": ") + reason;
}

const Member* findMember(const std::vector<Member>& sortedMembers, const std::string& name) {
    const auto it =
        std::lower_bound(sortedMembers.begin(), sortedMembers.end(), name,
                         [](const Member& m, const std::string& wantedName) { return m.name < wantedName; });
    return it != sortedMembers.end() && it->name == name ? &*it : nullptr;
}

bool hasServingMember(const std::vector<Member>& sortedMembers, const std::string& name) {
    const Member* member = findMember(sortedMembers, name);
    return member != nullptr && member->isServing();
}

std::vector<MemberChange> diffMemberships(const Membership* before, const Membership& after) {
    std::vector<MemberChange> changes;
    compareByName(
        before, after,
        [&](const Member& m) {
            changes.push_back({m, TargetState::gone});
        },
        [&](const Member& m) {
            changes.push_back({m, targetStateOf(m)});
        },
        [&](const Member& a, const Member& b) {
            if (!(a == b)) changes.push_back({b, targetStateOf(b)});
        });
    // A shard's changes are adjacent, so that a caller that applies the changes in slices can apply those of
    // a shard together. Shards that lose a node come first, because new work for that node must stop in time.
    std::unordered_set<int> shardsLosingNodes;
    for (const MemberChange& change : changes) {
        if (change.targetState != TargetState::ready) shardsLosingNodes.insert(change.member.shard);
    }
    std::stable_sort(changes.begin(), changes.end(), [&](const MemberChange& a, const MemberChange& b) {
        return std::tuple(!shardsLosingNodes.contains(a.member.shard), a.member.shard) <
               std::tuple(!shardsLosingNodes.contains(b.member.shard), b.member.shard);
    });
    return changes;
}

std::vector<std::string> describeChanges(const Membership* before, const Membership& after) {
    std::vector<std::string> lines;
    std::size_t added = 0, removed = 0, changed = 0, unchanged = 0;
    const auto describeMember = [](const Member& m) {
        std::string text = m.name + " at " + m.address + ", shard " + std::to_string(m.shard) + ", weight " +
                           formatNumber(m.weight);
        if (!m.rack.empty()) text += ", rack " + m.rack;
        if (m.leaving)
            text += ", leaving";
        else if (m.state == MemberState::draining)
            text += ", draining";
        return text;
    };
    compareByName(
        before, after, [&](const Member& m) { ++removed, lines.push_back("- " + describeMember(m)); },
        [&](const Member& m) { ++added, lines.push_back("+ " + describeMember(m)); },
        [&](const Member& a, const Member& b) {
            std::string differences;
            const auto addDifference = [&](const char* field, const std::string& from,
                                           const std::string& to) {
                if (from != to)
                    differences +=
                        std::string(differences.empty() ? " " : ", ") + field + ' ' + from + " -> " + to;
            };
            const auto stateName = [](const Member& m) {
                return m.leaving ? "leaving" : m.state == MemberState::ready ? "ready" : "draining";
            };
            addDifference("address", a.address, b.address);
            addDifference("shard", std::to_string(a.shard), std::to_string(b.shard));
            addDifference("weight", formatNumber(a.weight), formatNumber(b.weight));
            addDifference("rack", a.rack, b.rack);
            addDifference("state", stateName(a), stateName(b));
            if (a.bootTimeMs != b.bootTimeMs)
                differences += differences.empty() ? " restarted" : ", restarted";
            if (differences.empty()) return void(++unchanged);
            ++changed;
            lines.push_back("~ " + a.name + differences);
        });
    lines.push_back(std::to_string(added) + " added, " + std::to_string(removed) + " removed, " +
                    std::to_string(changed) + " changed, " + std::to_string(unchanged) + " unchanged");
    return lines;
}

}  // namespace martencove::membership
