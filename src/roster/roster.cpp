#include "roster/roster.h"

#include <algorithm>
#include <unordered_set>

namespace martencove::roster {

bool Roster::supersedesKnown(const NodeReport& told, std::int64_t version) const {
    const auto at = nodesById_.find(told.id);
    if (at == nodesById_.end()) return true;
    const NodeReport& known = at->second.report;
    const bool later = version > at->second.version;
    // Within a version, a report of leaving takes precedence over a ready one whatever their order, unless
    // the ready one has a later boot time.
    if (told.state == ReportedState::ready)
        return known.state == ReportedState::ready ? later || told.bootTimeMs >= known.bootTimeMs
                                                   : later || told.bootTimeMs > known.bootTimeMs;
    // An older list does not change a gone node to draining. Reports with an earlier boot time concern a
    // former process of the node and are ignored unless their version is newer.
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
        // If an older list makes a ready node leave, the node takes that list's version, so that any list
        // newer than that one can make it ready again. A node that was already leaving keeps its newest
        // version.
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
            // A ready node may have been added after this list was made: it is gone until a newer list names
            // it.
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
    // Evicts down to half of the limit, so that the cost of sorting is spread over many reports.
    gone.resize(gone.size() - maxGone_ / 2);
    for (const auto& [version, id] : gone) nodesById_.erase(id);
    goneCount_ -= gone.size();
}

}  // namespace martencove::roster
