#include "roster/roster.h"

#include <algorithm>
#include <unordered_set>

namespace martencove::roster {

bool Roster::supersedesKnown(const NodeReport& report, std::int64_t version) const {
    const auto it = nodesById_.find(report.id);
    if (it == nodesById_.end()) return true;
    const NodeReport& known = it->second.report;
    const bool isNewerVersion = version > it->second.version;
    // Within a version, a report of leaving takes precedence over a ready one whatever their order, unless
    // the ready one has a later boot time.
    if (report.state == ReportedState::ready)
        return known.state == ReportedState::ready ? isNewerVersion || report.bootTimeMs >= known.bootTimeMs
                                                   : isNewerVersion || report.bootTimeMs > known.bootTimeMs;
    // An older list does not change a gone node to draining. Reports with an earlier boot time concern a
    // former process of the node and are ignored unless their version is newer.
    if (known.state == ReportedState::gone && report.state == ReportedState::draining && !isNewerVersion)
        return false;
    return isNewerVersion || report.bootTimeMs >= known.bootTimeMs;
}

MergeResult Roster::merge(const ReportedList& list) {
    MergeResult result;
    for (std::size_t i = 0; i < list.nodes.size(); ++i) {
        const NodeReport& report = list.nodes[i];
        if (!supersedesKnown(report, list.version)) {
            ++result.staleCount;
            continue;
        }
        const auto [it, inserted] = nodesById_.try_emplace(report.id);
        KnownNode& known = it->second;
        if (!inserted && known.report.state == ReportedState::gone) --goneCount_;
        if (report.state == ReportedState::gone) ++goneCount_;
        // If an older list makes a ready node leave, the node takes that list's version, so that any list
        // newer than that one can make it ready again. A node that was already leaving keeps its newest
        // version.
        const bool wasReady = inserted || known.report.state == ReportedState::ready;
        const bool isLeaving = report.state != ReportedState::ready;
        const std::int64_t version =
            wasReady && isLeaving ? list.version : std::max(known.version, list.version);
        const double bootTimeMs = std::max(known.report.bootTimeMs, report.bootTimeMs);
        known = {report, inserted ? list.version : version};
        known.report.bootTimeMs = bootTimeMs;
        result.appliedIndexes.push_back(i);
    }
    if (list.isSnapshot) {
        std::unordered_set<std::uint64_t> listedIds(list.unreadableIds.begin(), list.unreadableIds.end());
        for (const NodeReport& report : list.nodes) listedIds.insert(report.id);
        for (auto& [id, known] : nodesById_) {
            if (known.report.state == ReportedState::gone || listedIds.contains(id)) continue;
            // A ready node may be newer than this list: it stays gone until a newer list names it.
            const bool wasReady = known.report.state == ReportedState::ready;
            known.report.state = ReportedState::gone;
            known.version = wasReady ? list.version : std::max(known.version, list.version);
            ++goneCount_;
            result.removed.push_back(known.report);
        }
    }
    evictOldestGone();
    return result;
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
