// Token allocation: what of a pressed node's rate is this host's, and whose requests it goes to.
#include "scheduler_impl.h"

namespace limedrum {

double Scheduler::Impl::slice(const Cell& c, const Node& n) const {
    const double pool = (c.crowded && hearsSeldom(n) ? kDrainLoad : kTargetLoad) * n.rate * kRoundMs / 1000;
    const double few = kFewRequests * set_.meanUnits;
    const bool told = now_ - c.sumMs <= kBidRounds * kRoundMs;
    const double least = told ? std::min(few, pool / std::max(c.sum.hosts, 1.0)) : few;
    if (!told || c.own.reserved + c.own.weighed <= 0) return std::max(pool / set_.hosts, least);
    const auto part = [](double own, double all) { return all > 0 ? std::min(1.0, own / all) : 0.0; };
    const double units = std::min(pool, c.sum.reserved) * part(c.own.reserved, c.sum.reserved) +
                         std::max(0.0, pool - c.sum.reserved) * part(c.own.weighed, c.sum.weighed);
    return std::max(units, least);
}

double Scheduler::Impl::bound(const Cell& c, const Node& n) const {
    const double units = slice(c, n) * kBoundAimPart * aimMs_ / kRoundMs;
    return std::max(units, fewOut(n) * set_.meanUnits);
}

void Scheduler::Impl::press(Node& n) {
    n.signMs = now_;
    n.pressedUntilMs = now_ + kRoundMs;
}

double Scheduler::Impl::reservedOf(const Volume& v, double asked, double everywhere, double seconds) const {
    const double ownPart = (v.own + kPriorUnits / v.hosts) / (v.own + v.others + kPriorUnits);
    return std::min(asked, planOf(v.plan).reserve * seconds * ownPart * asked / std::max(everywhere, asked));
}

void Scheduler::Impl::workOutChances(Cell& c, const Node& n) {
    if (now_ - c.chancesMs < kRefreshMs) return;
    c.chancesMs = now_;
    const double restS = std::max(roundStartMs_ + kRoundMs - now_, kRefreshMs) / 1000;
    double budget = std::max(slice(c, n) - c.spent, 0.0) / restS;
    std::vector<Claim> claims;
    double reserved = 0;
    for (auto& [name, d] : c.volumes) {
        const double asked = expectedRate(d.now, d.last);
        const auto v = volumes_.find(name);
        if (asked <= 0 || v == volumes_.end()) continue;
        d.fair = reservedOf(v->second, asked, expectedRate(v->second.now, v->second.last), 1);
        reserved += d.fair;
        claims.push_back({&d, asked, planOf(v->second.plan).weight});
    }
    dealByWeight(claims, budget, reserved);
    for (const Claim& k : claims) {
        double left = k.demand->fair;
        for (auto& [worth, offer] : k.demand->byWorth) {
            const double asked = expectedRate(offer.now, offer.last);
            offer.chance = asked > 0 ? std::min(1.0, left / asked) : 1;
            left -= std::min(left, asked);
        }
    }
}

bool Scheduler::Impl::thinned(Cell& c, Node& n, const Request& r) {
    workOutChances(c, n);
    if (pressed(n) && n.rate <= 0) n.rate = believedRate(n);
    if (!pressed(n) || n.rate <= 0) return false;
    // A repeat past its aim earns least of all: it goes only where all else is expected to fit.
    const double rest = expectedRate(c.offered, c.lastOffered) * (roundStartMs_ + kRoundMs - now_) / 1000;
    if (r.lateTry) return slice(c, n) - c.spent < rest;
    return random_.draw() >= c.volumes[r.told.volume].byWorth[classOf(r).worth].chance;
}

}  // namespace limedrum
