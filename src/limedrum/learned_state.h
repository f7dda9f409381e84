// What a host has learned, as text: a process hands it to the next one on its machine, which goes on with it
// in its place. Which server gets what is decided in src/limedrum/scheduler_impl.h; here stands what passes
// on.
//
// Nodes: usual times, rates, pressure and silence, for the same start of the node only. Cells: last round's
// bid, the bids' sum, what each volume asked. Volumes: what was served through which host. Budgets: what was
// taken and sent again within the rule's window. Limits: the level of each part goes over whole, so that
// both processes together never have more than one had; a part that nobody takes over is lost.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "fleet.h"
#include "state.h"

namespace limedrum {

/// Where a host keeps it.
struct LearnedState {
    const Settings& settings;
    Fleet& fleet;
    std::unordered_map<std::string, Volume>& volumes;
    std::map<BudgetId, BudgetShare>& budgetShares;
    std::map<BudgetId, CoordinatorBudget>& coordinatorBudgets;
    SlidingWindow& recentRequests;
    SlidingWindow& recentRetries;
    double& budgetFillStartMs;  ///< since when parts of limits that nobody has touched fill
};

/// The text, which another process may read within `kMemoryMs`. The levels of limits are no longer here.
[[nodiscard]] std::string writeLearnedState(double nowMs, const LearnedState& from);

/// Takes it over whole, or nothing where it is not: torn, of another form, stale, or absurd. What it says of
/// nodes that are not known here, or have started anew, is passed over. Whether it was taken.
/// `roundStartMs`: of the present round, in which what was asked since then counts.
[[nodiscard]] bool readLearnedState(std::string_view text, double nowMs, double roundStartMs,
                                    const LearnedState& to);

inline constexpr double kLearnedStateMaxAgeMs =
    5000;  // a bid's sum stands for three rounds of 2 s: older, little of it holds

}  // namespace limedrum
