#include "membership/gate.h"

#include <algorithm>
#include <limits>

#include "membership/checks.h"

namespace martencove::membership {
namespace {

const auto kByName = [](const auto& a, const auto& b) { return a.name < b.name; };

Verdict rejected(Problems& problems, std::uint64_t version) {
    Verdict out{Ruling::incomplete, version, problems.take(), {}};
    const auto firm = [](const Problem& p) { return p.severity == Severity::refused; };
    if (std::any_of(out.problems.begin(), out.problems.end(), firm)) out.ruling = Ruling::refused;
    return out;
}

}  // namespace

void Gate::restore(Membership kept, double nowMs) {
    std::erase_if(kept.members, [](const Member& m) { return m.leaving; });
    std::sort(kept.members.begin(), kept.members.end(), kByName);
    kept.sinceMs = nowMs;
    leaving_.clear();
    lost_.clear();
    inForce_ = std::make_shared<const Membership>(std::move(kept));
}

Verdict Gate::offer(const std::vector<Draft>& drafts, double nowMs) {
    Problems problems(std::max<std::size_t>(rules_.problems, 1));
    std::uint64_t told = 0;
    for (const Draft& d : drafts) told = std::max(told, d.version);
    const std::vector<const Draft*> parts = newest(drafts, problems);
    if (!problems.empty()) return rejected(problems, told);
    const std::uint64_t version = parts.front()->version;
    const Place head{parts.front()->file, 0, 0};
    std::string digest;
    for (const Draft* d : parts) digest += (digest.empty() ? "" : "+") + d->digest;

    if (inForce_ && version <= inForce_->version) {
        if (version == inForce_->version && digest == inForce_->digest)
            return {Ruling::unchanged, version, {}, {}};
        const std::string now = std::to_string(inForce_->version);
        problems.add(head,
                     version < inForce_->version
                         ? "version " + std::to_string(version) + " is older than version " + now +
                               ", which is in force; a newer number is needed, also to go back"
                         : "version " + now + " is in force with other content; a change needs a new number");
        return rejected(problems, version);
    }
    checkSound(parts, rules_, nowMs, problems);
    if (!problems.empty()) return rejected(problems, version);
    std::vector<Member> named = merged(parts, nowMs);
    if (inForce_) {
        checkLoss(*inForce_, named, lostLately(named, nowMs), parts, rules_, problems);
        if (!problems.empty()) return rejected(problems, version);
    }
    Verdict out{Ruling::accepted, version, {}, {}};
    for (const Draft& d : drafts) {
        if (d.version < version)
            out.notes.push_back(d.file + " is left over from version " + std::to_string(d.version));
    }
    swap(version, std::move(digest), std::move(named), nowMs);
    return out;
}

// The nodes as the version names them, by name, with the start of each as far as it is known.
std::vector<Member> Gate::merged(const std::vector<const Draft*>& parts, double nowMs) const {
    std::vector<Member> out;
    for (const Draft* d : parts) {
        for (const DraftMember& entry : d->members) {
            Member m = entry.member;
            m.leaving = false;
            // Seen first after the start, or at another address: a process that may just have started. One
            // that left and came back is the same; it has kept its entry while it was leaving.
            const Member* known = inForce_ ? find(inForce_->members, m.name) : nullptr;
            const bool same = known != nullptr && known->dial == m.dial;
            if (!entry.bornTold)
                m.bornMs = same ? known->bornMs : inForce_ ? nowMs : 0;
            else if (same)
                m.bornMs = std::max(m.bornMs, known->bornMs);  // an older start is an older writer's word
            out.push_back(std::move(m));
        }
    }
    std::sort(out.begin(), out.end(), kByName);
    return out;
}

std::size_t Gate::lostLately(const std::vector<Member>& named, double nowMs) const {
    std::size_t count = 0;
    for (const auto& [name, sinceMs] : lost_)
        count += nowMs - sinceMs < rules_.departMs && !serves(named, name);
    return count;
}

void Gate::swap(std::uint64_t version, std::string digest, std::vector<Member> named, double nowMs) {
    std::erase_if(lost_, [&](const auto& e) { return nowMs - e.second >= rules_.departMs; });
    std::erase_if(leaving_, [&](const auto& e) { return find(named, e.first) != nullptr; });
    if (inForce_) {
        for (const Member& m : inForce_->members) {
            if (m.serving() && !serves(named, m.name)) lost_[m.name] = nowMs;
            if (m.leaving || find(named, m.name) != nullptr) continue;
            Leaving& l = leaving_[m.name];
            l = {m, nowMs + rules_.departMs};
            l.member.leaving = true;
        }
    }
    for (const auto& [name, l] : leaving_) named.push_back(l.member);
    std::sort(named.begin(), named.end(), kByName);
    inForce_ =
        std::make_shared<const Membership>(Membership{version, std::move(digest), nowMs, std::move(named)});
}

bool Gate::depart(double nowMs) {
    if (nowMs < nextMs()) return false;
    std::erase_if(leaving_, [&](const auto& e) { return e.second.goneMs <= nowMs; });
    Membership next = *inForce_;
    std::erase_if(next.members, [&](const Member& m) { return m.leaving && !leaving_.contains(m.name); });
    inForce_ = std::make_shared<const Membership>(std::move(next));
    return true;
}

double Gate::nextMs() const {
    double next = std::numeric_limits<double>::infinity();
    for (const auto& [name, l] : leaving_) next = std::min(next, l.goneMs);
    return next;
}

}  // namespace martencove::membership
