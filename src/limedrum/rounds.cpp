// Rounds: exchanges bids and their sums, and learns the rates of nodes from them.
#include "scheduler_impl.h"

namespace limedrum {

void Scheduler::Impl::endRound() {
    if (const std::string line = unservedThisRound_.text(); !line.empty()) log("units turned away:" + line);
    unservedThisRound_ = {};
    const double lengthMs = std::max(now_ - roundStartMs_, 1.0);
    roundStartMs_ = std::floor(now_ / kRoundMs) * kRoundMs;
    for (const CellId cell : fleet_.cellsInRounds) {
        Cell& c = fleet_.cells.at(cell);
        c.overloadUnitsLastRound = c.currentRound.overloadUnits;
        if (Node* n = servingNode(c)) {
            n->overloadMsLastRound = std::exchange(n->overloadMsThisRound, 0);
            // Unanswered units count as served under overload: a jammed node serves too little to show it.
            if (n->attemptsInFlight > 0 && now_ - n->lastHeardMs > kUnansweredOverloadAims * tightestAimMs_)
                c.currentRound.overloadUnits += n->unitsInFlight;
        }
        if (c.bidSumMs < roundStartMs_ - kRoundMs) learnRate(c, c.ownBid);  // no bid sum has arrived
        c.endRound();
        for (auto it = c.volumes.begin(); it != c.volumes.end();) {
            Demand& d = it->second;
            d.offeredLastRound = std::exchange(d.offeredThisRound, 0);
            for (auto& [worth, offer] : d.byWorth)
                offer.offeredLastRound = std::exchange(offer.offeredThisRound, 0);
            const auto v = volumes_.find(it->first);
            if (d.offeredLastRound > 0 && v != volumes_.end()) {
                const double reserved =
                    reservedUnits(v->second, d.offeredLastRound, v->second.offeredThisRound, lengthMs / 1000);
                c.ownBid.reservedUnits += reserved;
                c.ownBid.weightedUnits += planOf(v->second.planNo).weight * (d.offeredLastRound - reserved);
            }
            it = d.offeredLastRound > 0 ? std::next(it) : c.volumes.erase(it);
        }
    }
    for (auto& [name, v] : volumes_) v.endRound();
    std::erase_if(volumes_, [this](const auto& e) { return now_ - e.second.lastSeenMs > 30 * kRoundMs; });
    const double before = now_ - longestBudgetWindowMs_ - kGrantLifetimeMs - settings_.tickMs;
    eraseIdle(budgetShares_, before);
    eraseIdle(coordinatorBudgets_, before);
    fleet_.eraseGoneNodes();
    keyQueues_.eraseIdle(now_);
    recentRequests_.dropBefore(now_ - settings_.rules.budgetWindowMs);
    sendBids();
    fleet_.dropIdleCells();
}

int Scheduler::Impl::auctioneer(CellId cell) const {
    return Random(roundAt(now_) * 0x10001 + static_cast<std::uint64_t>(cell)).uniformInt(settings_.hosts);
}

void Scheduler::Impl::sendBids() {
    gatheredBids_.bids.clear();
    bidSumsDueMs_ = roundStartMs_ + kBidCollectionMs;
    std::map<int, std::map<CellId, Bid>> bids;  // by auctioneer
    for (const CellId cell : fleet_.cellsInRounds) {
        const Cell& c = fleet_.cells.at(cell);
        if (c.ownBid.reservedUnits + c.ownBid.weightedUnits + c.ownBid.servedUnits > 0)
            bids[auctioneer(cell)][cell] = c.ownBid;
    }
    for (const auto& [host, own] : bids) sendBidMessage(host, {false, roundAt(now_), own});
}

void Scheduler::Impl::sendBidSums() {
    bidSumsDueMs_ = kNever;
    const auto all = [this](const Bid& sum) { return showsSaturation(sum); };
    for (auto& [host, sum] : gatheredBids_.takeSums(settings_.hosts, all))
        sendBidMessage(host, {true, roundAt(now_), sum});
}

void Scheduler::Impl::sendBidMessage(int to, const BidMessage& message) {
    if (to == settings_.self) return receiveBidMessage(to, message);
    if (!settings_.mayMessagePeers) return;
    for (std::string& text : writeBidMessages(message))
        actions_.push_back(SendPeerMessage{to, std::move(text)});
}

void Scheduler::Impl::receiveBidMessage(int sender, const BidMessage& message) {
    for (const auto& [cell, bid] : message.bids) {
        const auto at = fleet_.cells.find(cell);
        if (at == fleet_.cells.end() || auctioneer(cell) != (message.isSums ? sender : settings_.self))
            continue;
        if (!message.isSums) {
            gatheredBids_.bids[cell][sender] = bid;
        } else if (bid.bidderCount <= settings_.hosts) {
            at->second.bidSum = bid;
            at->second.bidSumMs = now_;
            learnRate(at->second, bid);
        }
    }
}

bool Scheduler::Impl::showsSaturation(const Bid& sum) const {
    return sum.overloadUnits >
           std::max(sum.servedUnits * kOverloadedServedFraction, kMinRequestsPerRound * settings_.meanUnits);
}

void Scheduler::Impl::learnRate(Cell& c, const Bid& sum) {
    Node* n = servingNode(c);
    if (n == nullptr) return;
    const double seen = sum.servedUnits / kRoundMs * 1000;
    c.saturated = showsSaturation(sum);
    const double asked = sum.offeredUnits / kRoundMs * 1000;
    const bool own = n->overloadMsLastRound >= kMinRateSampleMs &&
                     c.overloadUnitsLastRound > kMinRequestsPerRound * settings_.meanUnits;
    const double others =
        std::min(sum.servedUnits / std::max(c.ownBid.servedUnits, 1.0), 4.0 * settings_.hosts);
    const double full = own ? c.overloadUnitsLastRound / n->overloadMsLastRound * 1000 * others : seen;
    if (own || c.saturated)
        n->unitsPerSecond =
            n->unitsPerSecond <= 0 ? full : n->unitsPerSecond + kRateEwmaWeight * (full - n->unitsPerSecond);
    if (!c.saturated)
        n->unitsPerSecond =
            std::max({n->unitsPerSecond, seen, std::min(n->unitsPerSecond * kRateProbeFactor, asked)});
    const bool tooMuch = asked > n->unitsPerSecond && now_ - n->lastSaturatedMs < 1.5 * kRoundMs;
    if (c.saturated) n->lastSaturatedMs = now_;
    if (c.saturated || tooMuch) n->reportedOverloadUntilMs = now_ + kRoundMs;
}

void Scheduler::Impl::on(const PeerMessageEvent& event) {
    if (event.sender < 0 || event.sender >= settings_.hosts || event.sender == settings_.self) return;
    if (const auto budget = readBudgetMessage(event.text)) {
        on(event.sender, *budget);
        if (budget->kind == BudgetMessage::grant) processActiveCells();
        return;
    }
    const auto message = readBidMessage(event.text);
    if (!message || message->round != roundAt(now_)) return;
    // The message may arrive before the timer that ends the round.
    if (now_ >= roundStartMs_ + kRoundMs) endRound();
    const auto absurd = [](const auto& e) { return e.second.maxFigure() > kMaxPlausibleUnits; };
    if (std::any_of(message->bids.begin(), message->bids.end(), absurd)) return;
    receiveBidMessage(event.sender, *message);
}

}  // namespace limedrum
