// Token allocation: this host's share of an overloaded node's rate, and its distribution among volumes.
#include "scheduler_impl.h"

namespace limedrum {

double Scheduler::Impl::tokenShare(const Cell& c, const Node& n) const {
    const double pool =
        (c.saturated && lacksRecentAnswers(n) ? kBacklogDrainUtilization : kTargetUtilization) *
        n.unitsPerSecond * kRoundMs / 1000;
    const double few = kMinRequestsPerRound * settings_.meanUnits;
    const bool told = now_ - c.bidSumMs <= kBidSumMaxAgeRounds * kRoundMs;
    const double least = told ? std::min(few, pool / std::max(c.bidSum.bidderCount, 1.0)) : few;
    if (!told || c.ownBid.reservedUnits + c.ownBid.weightedUnits <= 0)
        return std::max(pool / settings_.hosts, least);
    const auto part = [](double own, double all) { return all > 0 ? std::min(1.0, own / all) : 0.0; };
    const double units =
        std::min(pool, c.bidSum.reservedUnits) * part(c.ownBid.reservedUnits, c.bidSum.reservedUnits) +
        std::max(0.0, pool - c.bidSum.reservedUnits) * part(c.ownBid.weightedUnits, c.bidSum.weightedUnits);
    return std::max(units, least);
}

double Scheduler::Impl::maxInFlightUnits(const Cell& c, const Node& n) const {
    const double units = tokenShare(c, n) * kInFlightAimFraction * tightestAimMs_ / kRoundMs;
    return std::max(units, minInFlight(n) * settings_.meanUnits);
}

void Scheduler::Impl::markOverloaded(Node& n) {
    n.lastOverloadSignMs = now_;
    n.localOverloadUntilMs = now_ + kRoundMs;
}

double Scheduler::Impl::reservedUnits(const Volume& v, double asked, double everywhere,
                                      double seconds) const {
    const double ownPart = (v.servedViaThisHost + kEvenSplitPriorUnits / v.hostCount) /
                           (v.servedViaThisHost + v.servedViaOtherHosts + kEvenSplitPriorUnits);
    return std::min(asked,
                    planOf(v.planNo).reserve * seconds * ownPart * asked / std::max(everywhere, asked));
}

void Scheduler::Impl::updateAdmissionProbabilities(Cell& c, const Node& n) {
    if (now_ - c.probabilitiesUpdatedMs < kAdmissionRefreshMs) return;
    c.probabilitiesUpdatedMs = now_;
    const double restS = std::max(roundStartMs_ + kRoundMs - now_, kAdmissionRefreshMs) / 1000;
    double budget = std::max(tokenShare(c, n) - c.tokensSpent, 0.0) / restS;
    std::vector<VolumeClaim> claims;
    double reserved = 0;
    for (auto& [name, d] : c.volumes) {
        const double asked = expectedRate(d.offeredThisRound, d.offeredLastRound);
        const auto v = volumes_.find(name);
        if (asked <= 0 || v == volumes_.end()) continue;
        d.fairUnitsPerSecond = reservedUnits(
            v->second, asked, expectedRate(v->second.offeredThisRound, v->second.offeredLastRound), 1);
        reserved += d.fairUnitsPerSecond;
        claims.push_back({&d, asked, planOf(v->second.planNo).weight});
    }
    distributeByWeight(claims, budget, reserved);
    for (const VolumeClaim& k : claims) {
        double left = k.demand->fairUnitsPerSecond;
        for (auto& [worth, offer] : k.demand->byWorth) {
            const double asked = expectedRate(offer.offeredThisRound, offer.offeredLastRound);
            offer.admitProbability = asked > 0 ? std::min(1.0, left / asked) : 1;
            left -= std::min(left, asked);
        }
    }
}

bool Scheduler::Impl::shouldThin(Cell& c, Node& n, const Request& r) {
    updateAdmissionProbabilities(c, n);
    if (isOverloaded(n) && n.unitsPerSecond <= 0) n.unitsPerSecond = estimateRate(n);
    if (!isOverloaded(n) || n.unitsPerSecond <= 0) return false;
    // A client's retry past its aim has the least worth, so it is admitted only if the tokens are expected
    // to suffice for all other requests.
    const double rest =
        expectedRate(c.offeredThisRound, c.offeredLastRound) * (roundStartMs_ + kRoundMs - now_) / 1000;
    if (r.lateClientRetry) return tokenShare(c, n) - c.tokensSpent < rest;
    return random_.uniform() >= c.volumes[r.spec.volume].byWorth[classOf(r).worth].admitProbability;
}

}  // namespace limedrum
