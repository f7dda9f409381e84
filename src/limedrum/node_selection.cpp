// Node selection: which node serves a cell, and which holder or cell a request goes to where there are
// several.
#include <tuple>

#include "scheduler_impl.h"

namespace limedrum {

void Scheduler::Impl::on(const NodeListEvent& event) {
    if (event.kind == NodeListKind::unavailable) {
        // The event does not say which call failed, so the subscription counts as lost. If it was not, the
        // only cost is one unnecessary call.
        if (settings_.nodeListOnRequest)
            subscribeDueMs_ = now_ + kResubscribeDelayMs * (1 + random_.uniform());
        return;
    }
    if (settings_.nodeListOnRequest && event.kind != NodeListKind::restored) subscribeDueMs_ = kNever;
    if (event.kind != NodeListKind::update) fleet_.markAllGone();
    for (const NodeEntry& entry : event.entries) {
        Node& n = fleet_.upsertNode(entry);
        const double boot = finiteOr(entry.bootMs, 0);
        if (boot > n.bootMs) n.bootMs = boot, n.suspectedRestartMs = 0;
    }
}

Node* Scheduler::Impl::servingNode(const Cell& c) const {
    Node* best = nullptr;
    const auto rank = [](const Node& x) { return std::tuple(x.silentSinceMs > 0, x.bootMs, x.id); };
    for (Node* n : c.holders) {
        if (n->state == NodeState::serving && (best == nullptr || rank(*n) < rank(*best))) best = n;
    }
    return best;
}

CellId Scheduler::Impl::chooseCellForNewObject(double units) {
    std::vector<Cell*> looks;
    double usual = 0, known = 0;  // mean time per unit, used for nodes without measurements
    const auto learn = [&](const Node& n) { usual += n.usualMsPerUnit, known += n.usualMsPerUnit > 0; };
    if (fleet_.cellsWithHolders.size() <= kMaxPlacementSamples) {
        looks = fleet_.cellsById();
        for (const Node* n : fleet_.nodesById()) learn(*n);
    } else {
        for (std::size_t draws = 0; draws < kMaxPlacementSamples && looks.size() < kMaxPlacementSamples / 4;
             ++draws)
            if (Cell* c = fleet_.cellsWithHolders[random_.uniformInt(
                    static_cast<int>(fleet_.cellsWithHolders.size()))];
                servingNode(*c))
                looks.push_back(c), learn(*c->holders.front());
        if (looks.empty()) looks = fleet_.cellsById();
    }
    usual = known > 0 ? usual / known : 1;
    CellId best = -1;
    double bestMs = kNever;
    for (const Cell* c : looks) {
        Node* n = servingNode(*c);
        if (n == nullptr) continue;
        const double work =
            (n->unitsInFlight + c->queuedUnits + units) * (n->usualMsPerUnit > 0 ? n->usualMsPerUnit : usual);
        double ms = (n->smoothedDelayMs + work) * (0.75 + 0.5 * random_.uniform());
        if (n->attemptsInFlight > 0)
            ms = std::max(ms, now_ - n->lastHeardMs);  // the next answer takes at least that long
        if (isOverloaded(*n)) ms += tightestAimMs_;
        if (now_ - n->delayMeasuredMs > kConnectionLikelyOpenMs)
            ms += kNewConnectionAimFraction * tightestAimMs_;
        if (isCold(*n)) ms += 10 * tightestAimMs_;
        if (n->silentSinceMs > 0) ms += 100 * tightestAimMs_;
        if (ms < bestMs) bestMs = ms, best = c->id;
    }
    return best;
}

CellId Scheduler::Impl::route(const Request& r, const Node* avoid, bool calm) const {
    const auto spread = fleet_.weightedHolders.find(r.spec.shard);
    if (spread == fleet_.weightedHolders.end()) return r.cell;
    const std::uint64_t piece = fnv1aHash(r.spec.key.empty() ? r.spec.id : r.spec.key);
    const Node* best = nullptr;
    std::pair<int, double> bestRank;
    for (const Node* n : spread->second) {
        const int rank = n->state != NodeState::serving ? 0
                         : n == avoid || isBlockedAsSilent(*n) || (calm && (isOverloaded(*n) || isCold(*n)))
                             ? 1
                             : 2;
        const std::pair own(rank, rendezvousScore(piece, n->id, n->weight * warmUpFraction(*n)));
        if (best == nullptr || own > bestRank) best = n, bestRank = own;
    }
    return bestRank.first < 2 && avoid != nullptr ? r.cell : best->cell;
}

void Scheduler::Impl::rerouteQueue(const Cell& c) {
    for (const auto& [due, id] : std::set(c.queue)) {
        Request& r = requests_.at(id);
        const CellId to = r.spec.shard < 0 ? chooseCellForNewObject(r.spec.units) : route(r, nullptr, false);
        if (to != -1 && to != r.cell) fleet_.moveToCell(r, to);
    }
}

double Scheduler::Impl::warmUpFraction(const Node& n) const {
    const double share = settings_.rules.coldShare;
    const double part = (now_ - coldSinceMs(n)) / std::max(settings_.rules.warmWithinMs, 1.0);
    return isCold(n) ? std::clamp(share + (1 - share) * part, 0.01, 1.0) : 1;
}

bool Scheduler::Impl::isCold(const Node& n) const { return coldBudget(coldSinceMs(n)).has_value(); }

double Scheduler::Impl::estimateRate(const Node& n) const {
    double rate = 0, weight = 0;
    const auto spread = fleet_.weightedHolders.find(n.shard);
    if (n.weight <= 0 || spread == fleet_.weightedHolders.end()) return 0;
    for (const Node* other : spread->second)
        if (other->unitsPerSecond > 0) rate += other->unitsPerSecond, weight += other->weight;
    return weight > 0 ? n.weight * rate / weight : 0;
}

}  // namespace limedrum
