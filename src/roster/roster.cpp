#include "roster/roster.h"

#include <algorithm>
#include <unordered_set>

namespace martencove::roster {

bool Roster::counts(const Told& told, std::int64_t version) const {
    const auto at = known_.find(told.id);
    if (at == known_.end()) return true;
    const Told& known = at->second.told;
    const bool later = version > at->second.version;
    // Of one version the leaving counts, in whatever order its entries stand, unless the other is a later
    // start.
    if (told.health == Health::ready)
        return known.health == Health::ready ? later || told.bornMs >= known.bornMs
                                             : later || told.bornMs > known.bornMs;
    // One that is gone is not made to drain by an older list. What was said of a former start says nothing of
    // this one.
    if (known.health == Health::gone && told.health == Health::draining && !later) return false;
    return later || told.bornMs >= known.bornMs;
}

Effect Roster::take(const List& list) {
    Effect out;
    for (std::size_t i = 0; i < list.nodes.size(); ++i) {
        const Told& told = list.nodes[i];
        if (!counts(told, list.version)) {
            ++out.stale;
            continue;
        }
        const auto [at, fresh] = known_.try_emplace(told.id);
        Known& known = at->second;
        if (!fresh && known.told.health == Health::gone) --gone_;
        if (told.health == Health::gone) ++gone_;
        // What an older list takes from a server that was ready, any list that is newer than that one may
        // give back; what was told of one that leaves already stays as new as it was.
        const bool wasReady = fresh || known.told.health == Health::ready;
        const bool leaves = told.health != Health::ready;
        const std::int64_t version =
            wasReady && leaves ? list.version : std::max(known.version, list.version);
        const double bornMs = std::max(known.told.bornMs, told.bornMs);
        known = {told, fresh ? list.version : version};
        known.told.bornMs = bornMs;
        out.taken.push_back(i);
    }
    if (list.whole) {
        std::unordered_set<std::uint64_t> named(list.unreadable.begin(), list.unreadable.end());
        for (const Told& told : list.nodes) named.insert(told.id);
        for (auto& [id, known] : known_) {
            if (known.told.health == Health::gone || named.contains(id)) continue;
            // One that was ready may have come since an older list: it is out until a newer one names it.
            const bool wasReady = known.told.health == Health::ready;
            known.told.health = Health::gone;
            known.version = wasReady ? list.version : std::max(known.version, list.version);
            ++gone_;
            out.left.push_back(known.told);
        }
    }
    forget();
    return out;
}

void Roster::forget() {
    if (gone_ <= mostGone_) return;
    std::vector<std::pair<std::int64_t, std::uint64_t>> gone;
    for (const auto& [id, known] : known_) {
        if (known.told.health == Health::gone) gone.emplace_back(known.version, id);
    }
    std::sort(gone.begin(), gone.end());
    // A half at once: the next entries cost nothing.
    gone.resize(gone.size() - mostGone_ / 2);
    for (const auto& [version, id] : gone) known_.erase(id);
    gone_ -= gone.size();
}

}  // namespace martencove::roster
