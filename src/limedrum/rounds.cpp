// Rounds: bids and their sums, and what is learned of the nodes' rates from them.
#include "scheduler_impl.h"

namespace limedrum {

void Scheduler::Impl::endRound() {
    if (const std::string line = turnedAway_.text(); !line.empty()) say("units turned away:" + line);
    turnedAway_ = {};
    const double lengthMs = std::max(now_ - roundStartMs_, 1.0);
    roundStartMs_ = std::floor(now_ / kRoundMs) * kRoundMs;
    for (const CellId cell : fleet_.live) {
        Cell& c = fleet_.cells.at(cell);
        c.felt = c.now.pressed;
        if (Node* n = nodeOf(c)) {
            n->lastPressedMs = std::exchange(n->pressedMs, 0);
            // What nobody answers is pressure too: a jammed node serves too little to show it.
            if (n->outCount > 0 && now_ - n->heardMs > kOwedAims * aimMs_) c.now.pressed += n->outUnits;
        }
        if (c.sumMs < roundStartMs_ - kRoundMs) learnRate(c, c.own);  // nobody told a sum
        c.endRound();
        for (auto it = c.volumes.begin(); it != c.volumes.end();) {
            Demand& d = it->second;
            d.last = std::exchange(d.now, 0);
            for (auto& [worth, offer] : d.byWorth) offer.last = std::exchange(offer.now, 0);
            const auto v = volumes_.find(it->first);
            if (d.last > 0 && v != volumes_.end()) {
                const double reserved = reservedOf(v->second, d.last, v->second.now, lengthMs / 1000);
                c.own.reserved += reserved;
                c.own.weighed += planOf(v->second.plan).weight * (d.last - reserved);
            }
            it = d.last > 0 ? std::next(it) : c.volumes.erase(it);
        }
    }
    for (auto& [name, v] : volumes_) v.endRound();
    std::erase_if(volumes_, [this](const auto& e) { return now_ - e.second.seenMs > 30 * kRoundMs; });
    const double before = now_ - longestMs_ - kValidMs - set_.tickMs;
    eraseIdle(shares_, before);
    eraseIdle(tills_, before);
    fleet_.forgetGone();
    lanes_.tidy(now_);
    taken_.trim(now_ - set_.rules.budgetWindowMs);
    bid();
    fleet_.rest();
}

int Scheduler::Impl::auctioneer(CellId cell) const {
    return Random(roundAt(now_) * 0x10001 + static_cast<std::uint64_t>(cell)).below(set_.hosts);
}

void Scheduler::Impl::bid() {
    gathered_.bids.clear();
    tellSumsMs_ = roundStartMs_ + kCollectMs;
    std::map<int, std::map<CellId, Bid>> bids;  // by auctioneer
    for (const CellId cell : fleet_.live) {
        const Cell& c = fleet_.cells.at(cell);
        if (c.own.reserved + c.own.weighed + c.own.served > 0) bids[auctioneer(cell)][cell] = c.own;
    }
    for (const auto& [host, own] : bids) tell(host, {false, roundAt(now_), own});
}

void Scheduler::Impl::tellSums() {
    tellSumsMs_ = kNever;
    const auto all = [this](const Bid& sum) { return crowdedBy(sum); };
    for (auto& [host, sum] : gathered_.takeSums(set_.hosts, all)) tell(host, {true, roundAt(now_), sum});
}

void Scheduler::Impl::tell(int to, const BidMessage& message) {
    if (to == set_.self) return take(to, message);
    if (!set_.mayTellPeers) return;
    for (std::string& text : writeBids(message)) actions_.push_back(TellPeer{to, std::move(text)});
}

void Scheduler::Impl::take(int sender, const BidMessage& message) {
    for (const auto& [cell, bid] : message.bids) {
        const auto at = fleet_.cells.find(cell);
        if (at == fleet_.cells.end() || auctioneer(cell) != (message.sums ? sender : set_.self)) continue;
        if (!message.sums) {
            gathered_.bids[cell][sender] = bid;
        } else if (bid.hosts <= set_.hosts) {
            at->second.sum = bid;
            at->second.sumMs = now_;
            learnRate(at->second, bid);
        }
    }
}

bool Scheduler::Impl::crowdedBy(const Bid& sum) const {
    return sum.pressed > std::max(sum.served * kPressedMost, kFewRequests * set_.meanUnits);
}

void Scheduler::Impl::learnRate(Cell& c, const Bid& sum) {
    Node* n = nodeOf(c);
    if (n == nullptr) return;
    const double seen = sum.served / kRoundMs * 1000;
    c.crowded = crowdedBy(sum);
    const double asked = sum.offered / kRoundMs * 1000;
    const bool own = n->lastPressedMs >= kMeasureMs && c.felt > kFewRequests * set_.meanUnits;
    const double others = std::min(sum.served / std::max(c.own.served, 1.0), 4.0 * set_.hosts);
    const double full = own ? c.felt / n->lastPressedMs * 1000 * others : seen;
    if (own || c.crowded) n->rate = n->rate <= 0 ? full : n->rate + kRateGain * (full - n->rate);
    if (!c.crowded) n->rate = std::max({n->rate, seen, std::min(n->rate * kRateProbe, asked)});
    const bool tooMuch = asked > n->rate && now_ - n->crowdedMs < 1.5 * kRoundMs;
    if (c.crowded) n->crowdedMs = now_;
    if (c.crowded || tooMuch) n->toldPressedUntilMs = now_ + kRoundMs;
}

void Scheduler::Impl::on(const PeerEvent& event) {
    if (event.sender < 0 || event.sender >= set_.hosts || event.sender == set_.self) return;
    if (const auto budget = readBudget(event.text)) {
        on(event.sender, *budget);
        if (budget->kind == BudgetMessage::grant) pumpAll();
        return;
    }
    const auto message = readBids(event.text);
    if (!message || message->round != roundAt(now_)) return;
    if (now_ >= roundStartMs_ + kRoundMs) endRound();  // it may come with the tick that ends the round
    const auto absurd = [](const auto& e) { return e.second.most() > kAbsurd; };
    if (std::any_of(message->bids.begin(), message->bids.end(), absurd)) return;
    take(event.sender, *message);
}

}  // namespace limedrum
