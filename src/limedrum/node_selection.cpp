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
        Node& node = fleet_.upsertNode(entry);
        const double bootMs = finiteOr(entry.bootMs, 0);
        if (bootMs > node.bootMs) node.bootMs = bootMs, node.suspectedRestartMs = 0;
    }
}

Node* Scheduler::Impl::servingNode(const Cell& cell) const {
    Node* best = nullptr;
    const auto rank = [](const Node& candidate) {
        return std::tuple(candidate.silentSinceMs > 0, candidate.bootMs, candidate.id);
    };
    for (Node* node : cell.holders) {
        if (node->state == NodeState::serving && (best == nullptr || rank(*node) < rank(*best))) best = node;
    }
    return best;
}

CellId Scheduler::Impl::chooseCellForNewObject(double units) {
    std::vector<Cell*> candidates;
    // The mean time per unit of the measured nodes, assumed of the others.
    double defaultMsPerUnit = 0, measuredNodes = 0;
    const auto addMeasurement = [&](const Node& node) {
        defaultMsPerUnit += node.usualMsPerUnit, measuredNodes += node.usualMsPerUnit > 0;
    };
    if (fleet_.cellsWithHolders.size() <= kMaxPlacementSamples) {
        candidates = fleet_.cellsById();
        for (const Node* node : fleet_.nodesById()) addMeasurement(*node);
    } else {
        for (std::size_t draws = 0;
             draws < kMaxPlacementSamples && candidates.size() < kMaxPlacementSamples / 4; ++draws)
            if (Cell* cell = fleet_.cellsWithHolders[random_.uniformInt(
                    static_cast<int>(fleet_.cellsWithHolders.size()))];
                servingNode(*cell))
                candidates.push_back(cell), addMeasurement(*cell->holders.front());
        if (candidates.empty()) candidates = fleet_.cellsById();
    }
    defaultMsPerUnit = measuredNodes > 0 ? defaultMsPerUnit / measuredNodes : 1;
    CellId bestCell = -1;
    double bestMs = kNever;
    for (const Cell* cell : candidates) {
        Node* node = servingNode(*cell);
        if (node == nullptr) continue;
        const double workMs = (node->unitsInFlight + cell->queuedUnits + units) *
                              (node->usualMsPerUnit > 0 ? node->usualMsPerUnit : defaultMsPerUnit);
        // The estimate has a random jitter of 25 %. Overloaded, cold and silent nodes get rising penalties.
        double expectedMs = (node->smoothedDelayMs + workMs) * (0.75 + 0.5 * random_.uniform());
        // The next answer will take at least as long as the node has been without one.
        if (node->attemptsInFlight > 0) expectedMs = std::max(expectedMs, now_ - node->silenceCountsFromMs);
        if (isOverloaded(*node)) expectedMs += tightestAimMs_;
        if (now_ - node->lastDelaySampleMs > kConnectionLikelyOpenMs)
            expectedMs += kNewConnectionAimFraction * tightestAimMs_;
        if (isCold(*node)) expectedMs += 10 * tightestAimMs_;
        if (node->silentSinceMs > 0) expectedMs += 100 * tightestAimMs_;
        if (expectedMs < bestMs) bestMs = expectedMs, bestCell = cell->id;
    }
    return bestCell;
}

CellId Scheduler::Impl::route(const Request& request, const Node* avoid, bool avoidStrained) const {
    const auto holders = fleet_.weightedHolders.find(request.spec.shard);
    if (holders == fleet_.weightedHolders.end()) return request.cell;
    const std::uint64_t piece = fnv1aHash(request.spec.key.empty() ? request.spec.id : request.spec.key);
    const Node* best = nullptr;
    std::pair<int, double> bestRank;
    for (const Node* node : holders->second) {
        const int suitability = node->state != NodeState::serving ? 0
                                : node == avoid || isBlockedAsSilent(*node) ||
                                        (avoidStrained && (isOverloaded(*node) || isCold(*node)))
                                    ? 1
                                    : 2;
        const std::pair nodeRank(suitability,
                                 rendezvousScore(piece, node->id, node->weight * warmUpFraction(*node)));
        if (best == nullptr || nodeRank > bestRank) best = node, bestRank = nodeRank;
    }
    return bestRank.first < 2 && avoid != nullptr ? request.cell : best->cell;
}

void Scheduler::Impl::rerouteQueue(const Cell& cell) {
    for (const auto& [dueMs, id] : std::set(cell.queue)) {
        Request& request = requests_.at(id);
        const CellId targetCell = request.spec.shard < 0 ? chooseCellForNewObject(request.spec.units)
                                                         : route(request, nullptr, false);
        if (targetCell != -1 && targetCell != request.cell) fleet_.moveToCell(request, targetCell);
    }
}

double Scheduler::Impl::warmUpFraction(const Node& node) const {
    const double coldShare = settings_.rules.coldShare;
    const double elapsedFraction = (now_ - coldSinceMs(node)) / std::max(settings_.rules.warmWithinMs, 1.0);
    return isCold(node) ? std::clamp(coldShare + (1 - coldShare) * elapsedFraction, 0.01, 1.0) : 1;
}

bool Scheduler::Impl::isCold(const Node& node) const { return coldBudget(coldSinceMs(node)).has_value(); }

double Scheduler::Impl::estimateRate(const Node& node) const {
    double knownRate = 0, knownWeight = 0;
    const auto holders = fleet_.weightedHolders.find(node.shard);
    if (node.weight <= 0 || holders == fleet_.weightedHolders.end()) return 0;
    for (const Node* other : holders->second)
        if (other->unitsPerSecond > 0) knownRate += other->unitsPerSecond, knownWeight += other->weight;
    return knownWeight > 0 ? node.weight * knownRate / knownWeight : 0;
}

}  // namespace limedrum
