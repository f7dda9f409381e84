// The messages between hosts, as text. Bids:
// "b3 ROUND CELL:OFFERED:RESERVED:WEIGHTED:SERVED:OVERLOAD:BIDDERS ...", with the figures in tenths; sums of
// bids are the same with "s3". Budget messages: see writeBudgetMessage().
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

/// Identifies what is queued, bid for and measured together: a shard, by its number, which is not negative,
/// or one weighted holder of a shard, by holderCellId(), which is below -1. -1: no cell.
using CellId = std::int64_t;

/// The figures of one host for a cell in the last round, or their sum over all bidders.
struct Bid {
    double offeredUnits = 0;   ///< units requested by clients
    double reservedUnits = 0;  ///< the part of them within the plans' reserves
    double weightedUnits = 0;  ///< the rest of them, each multiplied by its plan's weight
    double servedUnits = 0;
    double overloadUnits = 0;  ///< units served while the node was overloaded, or left unanswered
    double bidderCount = 0;

    Bid& operator+=(const Bid& other);
    [[nodiscard]] double maxFigure() const;
};
/// Bids of one host, or sums of bids.
struct BidMessage {
    bool isSums = false;
    std::uint64_t round = 0;
    std::map<CellId, Bid> bids;
};

/// The bids of a round that an auctioneer has received, by cell and host number.
struct GatheredBids {
    std::map<CellId, std::map<int, Bid>> bids;

    /// Returns the sums to send, by host number, and clears the bids. A host gets the sums of the cells for
    /// which it bid. Sums for which `toAll` returns true go to all hosts, since hosts that did not bid may
    /// send to the cell next.
    [[nodiscard]] std::map<int, std::map<CellId, Bid>> takeSums(int hosts,
                                                                const std::function<bool(const Bid&)>& toAll);
};

/// Identifies a budget that all hosts share: 'n' and the id of a cold node, or 'v' and the hash of the name
/// of a volume whose plan has a limit.
using BudgetId = std::pair<char, std::uint64_t>;
/// Asks a coordinator of a shared budget for units, or answers that.
struct BudgetMessage {
    enum Kind { ask, grant };
    Kind kind = ask;
    BudgetId id;
    int coordinatorIndex = 0;   ///< which of the budget's coordinators is asked
    double bootMsOrPlanNo = 0;  ///< the node's start time in ms, or the number of the volume's plan
    double units = 0;           ///< asked for, or granted: all that was asked for, or 0
    double askerClockMs = 0;    ///< time of asking by the asker's clock, returned with the grant
};

/// Returns "a3 n|v ID COORDINATOR BOOT_MS_OR_PLAN TENTHS_OF_UNITS ASKER_CLOCK_MS"; grants begin with "g3".
[[nodiscard]] std::string writeBudgetMessage(const BudgetMessage& message);
/// Returns nothing for a malformed text.
[[nodiscard]] std::optional<BudgetMessage> readBudgetMessage(std::string_view text);

/// Returns as many texts as needed, each within the size limit of SendPeerMessage.
[[nodiscard]] std::vector<std::string> writeBidMessages(const BidMessage& message);
/// Returns nothing for a malformed text.
[[nodiscard]] std::optional<BidMessage> readBidMessage(std::string_view text);

}  // namespace limedrum
