// Writes and reads what a host has learned, as text. A process hands it to the next one on its machine, which
// continues under the same host number.
//
// The text contains, of nodes: usual times, capacity, overload and silence, valid only for the same start of
// the node; of cells: the last bid, the bid sum and the demand of each volume; of volumes: the units served
// through this and other hosts; of the retry budget: the requests and retries within its window; of limits:
// the level of each token bucket. A level moves as a whole, so that both processes together never have more
// than one had; a level that is not imported is lost.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "fleet.h"
#include "state.h"

namespace limedrum {

/// References to the data that is exported and imported.
struct LearnedState {
    const Settings& settings;
    Fleet& fleet;
    std::unordered_map<std::string, Volume>& volumes;
    std::map<BudgetId, BudgetShare>& budgetShares;
    std::map<BudgetId, CoordinatorBudget>& coordinatorBudgets;
    SlidingWindow& recentRequests;
    SlidingWindow& recentRetries;
    double& budgetFillStartMs;  ///< since when token buckets that were never used have been filling
};

/// Returns the learned state as text, which is valid for kLearnedStateMaxAgeMs. Empties the token buckets of
/// limits in `from`, because their levels move into the text.
[[nodiscard]] std::string writeLearnedState(double nowMs, const LearnedState& from);

/// Reads a learned state into `to`. Returns false and changes nothing if the text is incomplete, of another
/// format, too old, or contains impossible values. Ignores what it says of nodes that are not known here or
/// have restarted. If the text was written before `roundStartMs`, the start of the current round, its figures
/// of the round then current count for the last round.
[[nodiscard]] bool readLearnedState(std::string_view text, double nowMs, double roundStartMs,
                                    const LearnedState& to);

/// A bid sum is valid for three rounds of 2 s; little of an older state is still true.
inline constexpr double kLearnedStateMaxAgeMs = 5000;

}  // namespace limedrum
