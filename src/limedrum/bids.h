// The text of the bids and of their sums: "b3 ROUND CELL:OFFERED:RESERVED:WEIGHED:SERVED:PRESSED:HOSTS ...",
// sums with "s3". Figures are in tenths.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace limedrum {

/// What is queued, bid for and measured together: a shard by its number, or one weighted holder (laneOf()).
using CellId = std::int64_t;

/// One host's figures of a cell for the last round, or the sum of all bidders'.
struct Bid {
    double offeredUnits = 0;   ///< units asked
    double reservedUnits = 0;  ///< units asked inside the plans' reserves
    double weightedUnits = 0;  ///< units asked beyond, each times its plan's weight
    double servedUnits = 0;    ///< units
    double overloadUnits = 0;  ///< of these, under pressure
    double bidderCount = 0;    ///< bidders

    Bid& operator+=(const Bid& other);
    [[nodiscard]] double maxFigure() const;  ///< the largest figure
};
struct BidMessage {
    bool isSums = false;
    std::uint64_t round = 0;
    std::map<CellId, Bid> bids;  ///< by cell
};

/// A round's bids, by cell and bidder, as the host that gathers them has heard them.
struct GatheredBids {
    std::map<CellId, std::map<int, Bid>> bids;

    /// What each host is told: the sums of the cells for which it bid and of those that `toAll` picks, as
    /// hosts that did not bid may send there next. Nothing is left.
    [[nodiscard]] std::map<int, std::map<CellId, Bid>> takeSums(int hosts,
                                                                const std::function<bool(const Bid&)>& toAll);
};

/// A budget that all hosts share: 'n' and a node's number, or 'v' and the number of a volume's name.
using BudgetId = std::pair<char, std::uint64_t>;
struct BudgetMessage {
    enum Kind { ask, grant };
    Kind kind = ask;
    BudgetId id;
    int coordinatorIndex = 0;   ///< which of the budget's keepers
    double bootMsOrPlanNo = 0;  ///< the node's start in ms, or the volume's plan
    double units = 0;           ///< asked, or dealt: all of it or nothing
    double askerClockMs = 0;    ///< the asker's clock, given back with the grant
};

/// "a3 n|v NUMBER PART FIGURE TENTHS STAMP"; grants with "g3".
[[nodiscard]] std::string writeBudgetMessage(const BudgetMessage& message);
[[nodiscard]] std::optional<BudgetMessage> readBudgetMessage(std::string_view text);

/// As many texts as it takes to stay within what one message may hold.
[[nodiscard]] std::vector<std::string> writeBidMessages(const BidMessage& message);
/// Nothing for a text that is not whole and exact.
[[nodiscard]] std::optional<BidMessage> readBidMessage(std::string_view text);

}  // namespace limedrum
