#include "membership/membership_manager.h"

#include <algorithm>
#include <limits>

#include "membership/checks.h"

namespace martencove::membership {
namespace {

const auto kByName = [](const auto& a, const auto& b) { return a.name < b.name; };

OfferResult rejected(ProblemCollector& problems, std::uint64_t version) {
    OfferResult result{OfferOutcome::incomplete, version, problems.take(), {}};
    const auto isRefused = [](const Problem& p) { return p.severity == Severity::refused; };
    if (std::any_of(result.problems.begin(), result.problems.end(), isRefused))
        result.outcome = OfferOutcome::refused;
    return result;
}

}  // namespace

void MembershipManager::restore(Membership saved, double nowMs) {
    std::erase_if(saved.members, [](const Member& m) { return m.leaving; });
    std::sort(saved.members.begin(), saved.members.end(), kByName);
    saved.activatedAtMs = nowMs;
    leaving_.clear();
    lostAtMs_.clear();
    current_ = std::make_shared<const Membership>(std::move(saved));
}

OfferResult MembershipManager::offerVersion(const std::vector<ParsedNodeFile>& nodeFiles, double nowMs) {
    ProblemCollector problems(std::max<std::size_t>(rules_.maxReportedProblems, 1));
    std::uint64_t newestVersion = 0;
    for (const ParsedNodeFile& nodeFile : nodeFiles)
        newestVersion = std::max(newestVersion, nodeFile.version);
    const std::vector<const ParsedNodeFile*> parts = selectNewestVersion(nodeFiles, problems);
    if (!problems.empty()) return rejected(problems, newestVersion);
    const std::uint64_t version = parts.front()->version;
    const SourceLocation location{parts.front()->file, 0, 0};
    std::string digest;
    for (const ParsedNodeFile* nodeFile : parts) digest += (digest.empty() ? "" : "+") + nodeFile->digest;

    if (current_ && version <= current_->version) {
        if (version == current_->version && digest == current_->digest)
            return {OfferOutcome::unchanged, version, {}, {}};
        const std::string currentVersion = std::to_string(current_->version);
        problems.add(location,
                     version < current_->version
                         ? "version " + std::to_string(version) + " is older than version " + currentVersion +
                               ", which is current; a rollback needs a higher version number too"
                         : "version " + currentVersion +
                               " is current with other content; a change needs a higher version number");
        return rejected(problems, version);
    }
    checkMembers(parts, rules_, nowMs, problems);
    if (!problems.empty()) return rejected(problems, version);
    std::vector<Member> listed = mergeParts(parts, nowMs);
    if (current_) {
        checkRemovals(*current_, listed, countRecentlyLost(listed, nowMs), parts, rules_, problems);
        if (!problems.empty()) return rejected(problems, version);
    }
    OfferResult result{OfferOutcome::accepted, version, {}, {}};
    for (const ParsedNodeFile& nodeFile : nodeFiles) {
        if (nodeFile.version < version)
            result.notes.push_back(nodeFile.file + " is left over from version " +
                                   std::to_string(nodeFile.version));
    }
    activate(version, std::move(digest), std::move(listed), nowMs);
    return result;
}

std::vector<Member> MembershipManager::mergeParts(const std::vector<const ParsedNodeFile*>& parts,
                                                  double nowMs) const {
    std::vector<Member> members;
    for (const ParsedNodeFile* nodeFile : parts) {
        for (const ParsedMember& parsed : nodeFile->members) {
            Member member = parsed.member;
            member.leaving = false;
            // A node that is new since the first version, or that has another address, may have just started.
            // A node that was leaving and is listed again is the same one, because its entry was kept.
            const Member* previous = current_ ? findMember(current_->members, member.name) : nullptr;
            const bool sameProcess = previous != nullptr && previous->address == member.address;
            if (!parsed.hasBootTime)
                member.bootTimeMs = sameProcess ? previous->bootTimeMs : current_ ? nowMs : 0;
            else if (sameProcess)
                // An earlier boot time comes from a writer with outdated information.
                member.bootTimeMs = std::max(member.bootTimeMs, previous->bootTimeMs);
            members.push_back(std::move(member));
        }
    }
    std::sort(members.begin(), members.end(), kByName);
    return members;
}

std::size_t MembershipManager::countRecentlyLost(const std::vector<Member>& listed, double nowMs) const {
    std::size_t count = 0;
    for (const auto& [name, lostAtMs] : lostAtMs_)
        count += nowMs - lostAtMs < rules_.removalDrainMs && !hasServingMember(listed, name);
    return count;
}

void MembershipManager::activate(std::uint64_t version, std::string digest, std::vector<Member> members,
                                 double nowMs) {
    std::erase_if(lostAtMs_,
                  [&](const auto& entry) { return nowMs - entry.second >= rules_.removalDrainMs; });
    std::erase_if(leaving_, [&](const auto& entry) { return findMember(members, entry.first) != nullptr; });
    if (current_) {
        for (const Member& member : current_->members) {
            if (member.isServing() && !hasServingMember(members, member.name)) lostAtMs_[member.name] = nowMs;
            if (member.leaving || findMember(members, member.name) != nullptr) continue;
            LeavingMember& leaving = leaving_[member.name];
            leaving = {member, nowMs + rules_.removalDrainMs};
            leaving.member.leaving = true;
        }
    }
    for (const auto& [name, leaving] : leaving_) members.push_back(leaving.member);
    std::sort(members.begin(), members.end(), kByName);
    current_ =
        std::make_shared<const Membership>(Membership{version, std::move(digest), nowMs, std::move(members)});
}

bool MembershipManager::removeDeparted(double nowMs) {
    if (nowMs < nextRemovalMs()) return false;
    std::erase_if(leaving_, [&](const auto& entry) { return entry.second.removeAtMs <= nowMs; });
    Membership updated = *current_;
    std::erase_if(updated.members,
                  [&](const Member& member) { return member.leaving && !leaving_.contains(member.name); });
    current_ = std::make_shared<const Membership>(std::move(updated));
    return true;
}

double MembershipManager::nextRemovalMs() const {
    double next = std::numeric_limits<double>::infinity();
    for (const auto& [name, leaving] : leaving_) next = std::min(next, leaving.removeAtMs);
    return next;
}

}  // namespace martencove::membership
