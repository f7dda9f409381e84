// Rounds: exchanges bids and their sums, and learns the rates of nodes from them.
#include "scheduler_impl.h"

namespace limedrum {

void Scheduler::Impl::endRound() {
    if (const std::string line = unservedThisRound_.text(); !line.empty()) log("units turned away:" + line);
    unservedThisRound_ = {};
    const double lengthMs = std::max(now_ - roundStartMs_, 1.0);
    roundStartMs_ = std::floor(now_ / kRoundMs) * kRoundMs;
    for (const CellId cellId : fleet_.cellsInRounds) {
        Cell& cell = fleet_.cells.at(cellId);
        cell.overloadUnitsLastRound = cell.currentRound.overloadUnits;
        if (Node* node = servingNode(cell)) {
            node->overloadMsLastRound = std::exchange(node->overloadMsThisRound, 0);
            // Unanswered units count as served under overload: a jammed node serves too little to show it.
            if (node->attemptsInFlight > 0 &&
                now_ - node->silenceCountsFromMs > kUnansweredOverloadAims * tightestAimMs_)
                cell.currentRound.overloadUnits += node->unitsInFlight;
        }
        if (cell.bidSumMs < roundStartMs_ - kRoundMs) learnRate(cell, cell.ownBid);  // no bid sum has arrived
        cell.endRound();
        for (auto it = cell.volumes.begin(); it != cell.volumes.end();) {
            Demand& demand = it->second;
            demand.offeredLastRound = std::exchange(demand.offeredThisRound, 0);
            for (auto& [worth, worthDemand] : demand.byWorth)
                worthDemand.offeredLastRound = std::exchange(worthDemand.offeredThisRound, 0);
            const auto volumeIt = volumes_.find(it->first);
            if (demand.offeredLastRound > 0 && volumeIt != volumes_.end()) {
                const double reserved = reservedUnits(volumeIt->second, demand.offeredLastRound,
                                                      volumeIt->second.offeredThisRound, lengthMs / 1000);
                cell.ownBid.reservedUnits += reserved;
                cell.ownBid.weightedUnits +=
                    planOf(volumeIt->second.planNo).weight * (demand.offeredLastRound - reserved);
            }
            it = demand.offeredLastRound > 0 ? std::next(it) : cell.volumes.erase(it);
        }
    }
    for (auto& [name, volume] : volumes_) volume.endRound();
    std::erase_if(volumes_,
                  [this](const auto& entry) { return now_ - entry.second.lastSeenMs > 30 * kRoundMs; });
    const double idleBeforeMs = now_ - longestBudgetWindowMs_ - kGrantLifetimeMs - settings_.tickMs;
    eraseUnusedSince(budgetShares_, idleBeforeMs);
    eraseUnusedSince(coordinatorBudgets_, idleBeforeMs);
    fleet_.eraseGoneNodes();
    keyQueues_.eraseIdle(now_);
    recentRequests_.dropBefore(now_ - settings_.rules.budgetWindowMs);
    sendBids();
    fleet_.dropIdleCells();
}

int Scheduler::Impl::auctioneer(CellId cellId) const {
    return Random(roundAt(now_) * 0x10001 + static_cast<std::uint64_t>(cellId)).uniformInt(settings_.hosts);
}

void Scheduler::Impl::sendBids() {
    gatheredBids_.bids.clear();
    bidSumsDueMs_ = roundStartMs_ + kBidCollectionMs;
    std::map<int, std::map<CellId, Bid>> bids;  // by auctioneer
    for (const CellId cellId : fleet_.cellsInRounds) {
        const Cell& cell = fleet_.cells.at(cellId);
        if (cell.ownBid.reservedUnits + cell.ownBid.weightedUnits + cell.ownBid.servedUnits > 0)
            bids[auctioneer(cellId)][cellId] = cell.ownBid;
    }
    for (const auto& [host, hostBids] : bids) sendBidMessage(host, {false, roundAt(now_), hostBids});
}

void Scheduler::Impl::sendBidSums() {
    bidSumsDueMs_ = kNever;
    const auto toAll = [this](const Bid& sum) { return showsSaturation(sum); };
    for (auto& [host, sums] : gatheredBids_.takeSums(settings_.hosts, toAll))
        sendBidMessage(host, {true, roundAt(now_), sums});
}

void Scheduler::Impl::sendBidMessage(int to, const BidMessage& message) {
    if (to == settings_.self) return receiveBidMessage(to, message);
    if (!settings_.mayMessagePeers) return;
    for (std::string& text : writeBidMessages(message))
        actions_.push_back(SendPeerMessage{to, std::move(text)});
}

void Scheduler::Impl::receiveBidMessage(int sender, const BidMessage& message) {
    for (const auto& [cellId, bid] : message.bids) {
        const auto cellIt = fleet_.cells.find(cellId);
        if (cellIt == fleet_.cells.end() || auctioneer(cellId) != (message.isSums ? sender : settings_.self))
            continue;
        if (!message.isSums) {
            gatheredBids_.bids[cellId][sender] = bid;
        } else if (bid.bidderCount <= settings_.hosts) {
            cellIt->second.bidSum = bid;
            cellIt->second.bidSumMs = now_;
            learnRate(cellIt->second, bid);
        }
    }
}

bool Scheduler::Impl::showsSaturation(const Bid& sum) const {
    return sum.overloadUnits >
           std::max(sum.servedUnits * kOverloadedServedFraction, kMinRequestsPerRound * settings_.meanUnits);
}

void Scheduler::Impl::learnRate(Cell& cell, const Bid& sum) {
    Node* node = servingNode(cell);
    if (node == nullptr) return;
    const double servedRate = sum.servedUnits / kRoundMs * 1000;
    cell.saturated = showsSaturation(sum);
    const double offeredRate = sum.offeredUnits / kRoundMs * 1000;
    const bool hasOwnSample = node->overloadMsLastRound >= kMinRateSampleMs &&
                              cell.overloadUnitsLastRound > kMinRequestsPerRound * settings_.meanUnits;
    const double allHostsFactor =
        std::min(sum.servedUnits / std::max(cell.ownBid.servedUnits, 1.0), 4.0 * settings_.hosts);
    const double rateSample =
        hasOwnSample ? cell.overloadUnitsLastRound / node->overloadMsLastRound * 1000 * allHostsFactor
                     : servedRate;
    if (hasOwnSample || cell.saturated)
        node->unitsPerSecond =
            node->unitsPerSecond <= 0
                ? rateSample
                : node->unitsPerSecond + kRateEwmaWeight * (rateSample - node->unitsPerSecond);
    if (!cell.saturated)
        node->unitsPerSecond = std::max({node->unitsPerSecond, servedRate,
                                         std::min(node->unitsPerSecond * kRateProbeFactor, offeredRate)});
    const bool exceedsRate =
        offeredRate > node->unitsPerSecond && now_ - node->lastSaturatedMs < 1.5 * kRoundMs;
    if (cell.saturated) node->lastSaturatedMs = now_;
    if (cell.saturated || exceedsRate) node->reportedOverloadUntilMs = now_ + kRoundMs;
}

void Scheduler::Impl::on(const PeerMessageEvent& event) {
    if (event.sender < 0 || event.sender >= settings_.hosts || event.sender == settings_.self) return;
    if (const auto budgetMessage = readBudgetMessage(event.text)) {
        on(event.sender, *budgetMessage);
        if (budgetMessage->kind == BudgetMessage::grant) processActiveCells();
        return;
    }
    const auto bidMessage = readBidMessage(event.text);
    if (!bidMessage || bidMessage->round != roundAt(now_)) return;
    // The message may arrive before the timer that ends the round.
    if (now_ >= roundStartMs_ + kRoundMs) endRound();
    const auto implausible = [](const auto& entry) { return entry.second.maxFigure() > kMaxPlausibleUnits; };
    if (std::any_of(bidMessage->bids.begin(), bidMessage->bids.end(), implausible)) return;
    receiveBidMessage(event.sender, *bidMessage);
}

}  // namespace limedrum
