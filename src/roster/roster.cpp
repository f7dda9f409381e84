#include "roster/roster.h"

#include <algorithm>
#include <unordered_set>

namespace martencove::roster {

bool Roster::supersedesKnown(const NodeReport& told, std::int64_t version) const {
    const auto at = nodesById_.find(told.id);
    if (at == nodesById_.end()) return true;
    const NodeReport& known = at->second.report;
    const bool later = version > at->second.version;
    // Of one version the leaving counts, in whatever order its entries stand, unless the other is a later
    // start.
    if (told.state == ReportedState::ready)
        return known.state == ReportedState::ready ? later || told.bootTimeMs >= known.bootTimeMs
                                                   : later || told.bootTimeMs > known.bootTimeMs;
    // One that is gone is not made to drain by an older list. What was said of a former start says nothing of
    // this one.
    if (known.state == ReportedState::gone && told.state == ReportedState::draining && !later) return false;
    return later || told.bootTimeMs >= known.bootTimeMs;
}

MergeResult Roster::merge(const ReportedList& list) {
    MergeResult out;
    for (std::size_t i = 0; i < list.nodes.size(); ++i) {
        const NodeReport& told = list.nodes[i];
        if (!supersedesKnown(told, list.version)) {
            ++out.staleCount;
            continue;
        }
        const auto [at, fresh] = nodesById_.try_emplace(told.id);
        KnownNode& known = at->second;
        if (!fresh && known.report.state == ReportedState::gone) --goneCount_;
        if (told.state == ReportedState::gone) ++goneCount_;
        // What an older list takes from a server that was ready, any list that is newer than that one may
        // give back; what was told of one that leaves already stays as new as it was.
        const bool wasReady = fresh || known.report.state == ReportedState::ready;
        const bool leaves = told.state != ReportedState::ready;
        const std::int64_t version =
            wasReady && leaves ? list.version : std::max(known.version, list.version);
        const double bornMs = std::max(known.report.bootTimeMs, told.bootTimeMs);
        known = {told, fresh ? list.version : version};
        known.report.bootTimeMs = bornMs;
        out.appliedIndexes.push_back(i);
    }
    if (list.isSnapshot) {
        std::unordered_set<std::uint64_t> named(list.unreadableIds.begin(), list.unreadableIds.end());
        for (const NodeReport& told : list.nodes) named.insert(told.id);
        for (auto& [id, known] : nodesById_) {
            if (known.report.state == ReportedState::gone || named.contains(id)) continue;
            // One that was ready may have come since an older list: it is out until a newer one names it.
            const bool wasReady = known.report.state == ReportedState::ready;
            known.report.state = ReportedState::gone;
            known.version = wasReady ? list.version : std::max(known.version, list.version);
            ++goneCount_;
            out.removed.push_back(known.report);
        }
    }
    evictOldestGone();
    return out;
}

void Roster::evictOldestGone() {
    if (goneCount_ <= maxGone_) return;
    std::vector<std::pair<std::int64_t, std::uint64_t>> gone;
    for (const auto& [id, known] : nodesById_) {
        if (known.report.state == ReportedState::gone) gone.emplace_back(known.version, id);
    }
    std::sort(gone.begin(), gone.end());
    // A half at once: the next entries cost nothing.
    gone.resize(gone.size() - maxGone_ / 2);
    for (const auto& [version, id] : gone) nodesById_.erase(id);
    goneCount_ -= gone.size();
}

}  // namespace martencove::roster
