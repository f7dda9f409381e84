#include "membership/membership_manager.h"

#include <algorithm>
#include <limits>

#include "membership/checks.h"

namespace martencove::membership {
namespace {

const auto kByName = [](const auto& a, const auto& b) { return a.name < b.name; };

OfferResult rejected(ProblemCollector& problems, std::uint64_t version) {
    OfferResult out{OfferOutcome::incomplete, version, problems.take(), {}};
    const auto firm = [](const Problem& p) { return p.severity == Severity::refused; };
    if (std::any_of(out.problems.begin(), out.problems.end(), firm)) out.outcome = OfferOutcome::refused;
    return out;
}

}  // namespace

void MembershipManager::restore(Membership kept, double nowMs) {
    std::erase_if(kept.members, [](const Member& m) { return m.leaving; });
    std::sort(kept.members.begin(), kept.members.end(), kByName);
    kept.activatedAtMs = nowMs;
    leaving_.clear();
    lostAtMs_.clear();
    current_ = std::make_shared<const Membership>(std::move(kept));
}

OfferResult MembershipManager::offerVersion(const std::vector<ParsedNodeFile>& drafts, double nowMs) {
    ProblemCollector problems(std::max<std::size_t>(rules_.maxReportedProblems, 1));
    std::uint64_t told = 0;
    for (const ParsedNodeFile& d : drafts) told = std::max(told, d.version);
    const std::vector<const ParsedNodeFile*> parts = selectNewestVersion(drafts, problems);
    if (!problems.empty()) return rejected(problems, told);
    const std::uint64_t version = parts.front()->version;
    const SourceLocation head{parts.front()->file, 0, 0};
    std::string digest;
    for (const ParsedNodeFile* d : parts) digest += (digest.empty() ? "" : "+") + d->digest;

    if (current_ && version <= current_->version) {
        if (version == current_->version && digest == current_->digest)
            return {OfferOutcome::unchanged, version, {}, {}};
        const std::string now = std::to_string(current_->version);
        problems.add(head,
                     version < current_->version
                         ? "version " + std::to_string(version) + " is older than version " + now +
                               ", which is current; a rollback needs a higher version number too"
                         : "version " + now +
                               " is current with other content; a change needs a higher version number");
        return rejected(problems, version);
    }
    checkMembers(parts, rules_, nowMs, problems);
    if (!problems.empty()) return rejected(problems, version);
    std::vector<Member> named = mergeParts(parts, nowMs);
    if (current_) {
        checkRemovals(*current_, named, countRecentlyLost(named, nowMs), parts, rules_, problems);
        if (!problems.empty()) return rejected(problems, version);
    }
    OfferResult out{OfferOutcome::accepted, version, {}, {}};
    for (const ParsedNodeFile& d : drafts) {
        if (d.version < version)
            out.notes.push_back(d.file + " is left over from version " + std::to_string(d.version));
    }
    activate(version, std::move(digest), std::move(named), nowMs);
    return out;
}

std::vector<Member> MembershipManager::mergeParts(const std::vector<const ParsedNodeFile*>& parts,
                                                  double nowMs) const {
    std::vector<Member> out;
    for (const ParsedNodeFile* d : parts) {
        for (const ParsedMember& entry : d->members) {
            Member m = entry.member;
            m.leaving = false;
            // A node that is new since the first version, or that has another address, may have just started.
            // A node that was leaving and is listed again is the same one, because its entry was kept.
            const Member* known = current_ ? findMember(current_->members, m.name) : nullptr;
            const bool same = known != nullptr && known->address == m.address;
            if (!entry.hasBootTime)
                m.bootTimeMs = same ? known->bootTimeMs : current_ ? nowMs : 0;
            else if (same)
                // An earlier boot time comes from a writer with outdated information.
                m.bootTimeMs = std::max(m.bootTimeMs, known->bootTimeMs);
            out.push_back(std::move(m));
        }
    }
    std::sort(out.begin(), out.end(), kByName);
    return out;
}

std::size_t MembershipManager::countRecentlyLost(const std::vector<Member>& named, double nowMs) const {
    std::size_t count = 0;
    for (const auto& [name, sinceMs] : lostAtMs_)
        count += nowMs - sinceMs < rules_.removalDrainMs && !hasServingMember(named, name);
    return count;
}

void MembershipManager::activate(std::uint64_t version, std::string digest, std::vector<Member> named,
                                 double nowMs) {
    std::erase_if(lostAtMs_, [&](const auto& e) { return nowMs - e.second >= rules_.removalDrainMs; });
    std::erase_if(leaving_, [&](const auto& e) { return findMember(named, e.first) != nullptr; });
    if (current_) {
        for (const Member& m : current_->members) {
            if (m.serving() && !hasServingMember(named, m.name)) lostAtMs_[m.name] = nowMs;
            if (m.leaving || findMember(named, m.name) != nullptr) continue;
            LeavingMember& l = leaving_[m.name];
            l = {m, nowMs + rules_.removalDrainMs};
            l.member.leaving = true;
        }
    }
    for (const auto& [name, l] : leaving_) named.push_back(l.member);
    std::sort(named.begin(), named.end(), kByName);
    current_ =
        std::make_shared<const Membership>(Membership{version, std::move(digest), nowMs, std::move(named)});
}

bool MembershipManager::removeDeparted(double nowMs) {
    if (nowMs < nextRemovalMs()) return false;
    std::erase_if(leaving_, [&](const auto& e) { return e.second.removeAtMs <= nowMs; });
    Membership next = *current_;
    std::erase_if(next.members, [&](const Member& m) { return m.leaving && !leaving_.contains(m.name); });
    current_ = std::make_shared<const Membership>(std::move(next));
    return true;
}

double MembershipManager::nextRemovalMs() const {
    double next = std::numeric_limits<double>::infinity();
    for (const auto& [name, l] : leaving_) next = std::min(next, l.removeAtMs);
    return next;
}

}  // namespace martencove::membership
