// Token allocation: this host's share of an overloaded node's rate, and its distribution among volumes.
#include "scheduler_impl.h"

namespace limedrum {

double Scheduler::Impl::tokenShare(const Cell& cell, const Node& node) const {
    const double tokens =
        (cell.saturated && lacksRecentAnswers(node) ? kBacklogDrainUtilization : kTargetUtilization) *
        node.unitsPerSecond * kRoundMs / 1000;
    const double minUnits = kMinRequestsPerRound * settings_.meanUnits;
    const bool hasBidSum = now_ - cell.bidSumMs <= kBidSumMaxAgeRounds * kRoundMs;
    const double minShare =
        hasBidSum ? std::min(minUnits, tokens / std::max(cell.bidSum.bidderCount, 1.0)) : minUnits;
    if (!hasBidSum || cell.ownBid.reservedUnits + cell.ownBid.weightedUnits <= 0)
        return std::max(tokens / settings_.hosts, minShare);
    const auto fraction = [](double own, double all) { return all > 0 ? std::min(1.0, own / all) : 0.0; };
    const double units = std::min(tokens, cell.bidSum.reservedUnits) *
                             fraction(cell.ownBid.reservedUnits, cell.bidSum.reservedUnits) +
                         std::max(0.0, tokens - cell.bidSum.reservedUnits) *
                             fraction(cell.ownBid.weightedUnits, cell.bidSum.weightedUnits);
    return std::max(units, minShare);
}

double Scheduler::Impl::maxInFlightUnits(const Cell& cell, const Node& node) const {
    const double units = tokenShare(cell, node) * kInFlightAimFraction * tightestAimMs_ / kRoundMs;
    return std::max(units, minInFlight(node) * settings_.meanUnits);
}

void Scheduler::Impl::markOverloaded(Node& node) {
    node.lastOverloadSignMs = now_;
    node.localOverloadUntilMs = now_ + kRoundMs;
}

double Scheduler::Impl::reservedUnits(const Volume& volume, double askedUnits, double askedEverywhere,
                                      double seconds) const {
    const double ownFraction = (volume.servedViaThisHost + kEvenSplitPriorUnits / volume.hostCount) /
                               (volume.servedViaThisHost + volume.servedViaOtherHosts + kEvenSplitPriorUnits);
    return std::min(askedUnits, planOf(volume.planNo).reserve * seconds * ownFraction * askedUnits /
                                    std::max(askedEverywhere, askedUnits));
}

void Scheduler::Impl::updateAdmissionProbabilities(Cell& cell, const Node& node) {
    if (now_ - cell.admissionUpdatedMs < kAdmissionRefreshMs) return;
    cell.admissionUpdatedMs = now_;
    const double remainingS = std::max(roundStartMs_ + kRoundMs - now_, kAdmissionRefreshMs) / 1000;
    double unitsPerSecond = std::max(tokenShare(cell, node) - cell.admittedUnitsThisRound, 0.0) / remainingS;
    std::vector<VolumeClaim> claims;
    double reserved = 0;
    for (auto& [name, demand] : cell.volumes) {
        const double askedRate = expectedRate(demand.offeredThisRound, demand.offeredLastRound);
        const auto volumeIt = volumes_.find(name);
        if (askedRate <= 0 || volumeIt == volumes_.end()) continue;
        demand.fairUnitsPerSecond = reservedUnits(
            volumeIt->second, askedRate,
            expectedRate(volumeIt->second.offeredThisRound, volumeIt->second.offeredLastRound), 1);
        reserved += demand.fairUnitsPerSecond;
        claims.push_back({&demand, askedRate, planOf(volumeIt->second.planNo).weight});
    }
    distributeByWeight(claims, unitsPerSecond, reserved);
    for (const VolumeClaim& claim : claims) {
        double remaining = claim.demand->fairUnitsPerSecond;
        for (auto& [worth, worthDemand] : claim.demand->byWorth) {
            const double askedRate = expectedRate(worthDemand.offeredThisRound, worthDemand.offeredLastRound);
            worthDemand.admitProbability = askedRate > 0 ? std::min(1.0, remaining / askedRate) : 1;
            remaining -= std::min(remaining, askedRate);
        }
    }
}

bool Scheduler::Impl::shouldThin(Cell& cell, Node& node, const Request& request) {
    updateAdmissionProbabilities(cell, node);
    if (isOverloaded(node) && node.unitsPerSecond <= 0) node.unitsPerSecond = estimateRate(node);
    if (!isOverloaded(node) || node.unitsPerSecond <= 0) return false;
    // A client's retry past its aim has the least worth, so it is admitted only if the tokens are expected
    // to suffice for all other requests.
    const double expectedUnits =
        expectedRate(cell.offeredThisRound, cell.offeredLastRound) * (roundStartMs_ + kRoundMs - now_) / 1000;
    if (request.lateClientRetry) return tokenShare(cell, node) - cell.admittedUnitsThisRound < expectedUnits;
    return random_.uniform() >=
           cell.volumes[request.spec.volume].byWorth[classOf(request).worth].admitProbability;
}

}  // namespace limedrum
