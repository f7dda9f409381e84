// Shared budgets: the budgets of cold nodes and of plan limits, which all hosts share.
#include "scheduler_impl.h"

namespace limedrum {

double Scheduler::Impl::coldSinceMs(const Node& n) const {
    return n.suspectedRestartMs > 0 && now_ - n.suspectedRestartMs < kNodeListLagMs ? n.suspectedRestartMs
                                                                                    : n.bootMs;
}

std::optional<Budget> Scheduler::Impl::coldBudget(double since) const {
    const RuleSettings& rules = settings_.rules;
    const double age = now_ - since;
    if (since <= 0 || age >= rules.warmWithinMs + rules.fallMs / 2 || rules.fallMs <= 0) return std::nullopt;
    const double steep = 1 / std::clamp(rules.coldShare, 0.01, 1.0) - 1;
    const double grown = std::max(0.0, age - rules.fallMs / 2) / std::max(rules.warmWithinMs, 1.0);
    const double units = settings_.coldUnits * (1 + steep * grown);
    return Budget{units, rules.fallMs, false};
}

std::optional<Budget> Scheduler::Impl::limitBudget(int plan) const {
    const PlanSettings& p = planOf(plan);
    if (p.limit <= 0) return std::nullopt;
    return Budget{p.limitDepth, std::max(p.limitDepth / p.limit * 1000, settings_.tickMs), true};
}

bool Scheduler::Impl::ensureBudget(Request& r, BudgetId id, const std::optional<Budget>& b, int hosts,
                                   double figure) {
    if (!b) return true;
    BudgetShare& s = budgetShares_[id];
    const double part = localBudgetFraction(id) / std::max(hosts, 1);
    s.granted.dropBefore(now_ - kGrantLifetimeMs);
    const auto enough = [&] {
        return availableUnits(s.evenPart, *b, part, startMs_) + s.granted.totalUnits >= r.spec.units;
    };
    if (enough()) return true;
    if (r.blockingBudget != id) r.grantRequestCount = 0;
    r.blockingBudget = id;
    const bool waits = r.grantRequestCount > 0 && now_ - r.lastGrantRequestMs < kGrantLifetimeMs &&
                       s.lastDeniedMs[r.grantRequestCount % kBudgetCoordinators] < r.lastGrantRequestMs;
    r.deniedByAllCoordinators = !waits && r.grantRequestCount >= kBudgetCoordinators;
    if (!settings_.mayMessagePeers || waits || r.deniedByAllCoordinators) return false;
    r.lastGrantRequestMs = now_;
    const int half = ++r.grantRequestCount % kBudgetCoordinators;
    sendBudgetMessage(budgetCoordinator(id, half),
                      {BudgetMessage::ask, id, half, figure, r.spec.units, now_});
    return enough();  // this host may be the coordinator and have granted the units
}

double Scheduler::Impl::localBudgetFraction(BudgetId id) const {
    if (!settings_.mayMessagePeers) return 1;
    return id.first == 'n' &&
                   kLocalBudgetFraction * settings_.coldUnits < settings_.meanUnits * settings_.hosts
               ? 0
               : kLocalBudgetFraction;
}

double Scheduler::Impl::availableUnits(BudgetPart& ledger, const Budget& b, double part,
                                       double bornMs) const {
    const double freshUntilMs =
        bornMs < startMs_ ? 0 : startMs_ + b.windowMs + kGrantLifetimeMs + settings_.tickMs;
    if (!b.isTokenBucket && now_ < freshUntilMs) return 0;
    return ledger.availableUnits(now_, b, part, budgetFillStartMs_, kGrantLifetimeMs + settings_.tickMs);
}

void Scheduler::Impl::consumeBudget(BudgetId id, const std::optional<Budget>& b, double units) {
    if (!b) return;
    BudgetShare& s = budgetShares_[id];
    s.evenPart.consume(now_, units - s.granted.takeOldest(units));
}

int Scheduler::Impl::budgetCoordinator(BudgetId id, int part) const {
    return Random(id.second * 0x10001 + static_cast<std::uint64_t>(part) * 2 + (id.first == 'v'))
        .uniformInt(settings_.hosts);
}

void Scheduler::Impl::sendBudgetMessage(int to, const BudgetMessage& m) {
    if (to == settings_.self) return on(to, m);
    actions_.push_back(SendPeerMessage{to, writeBudgetMessage(m)});
}

void Scheduler::Impl::on(int sender, const BudgetMessage& m) {
    const bool cold = m.id.first == 'n';
    if (m.units > kMaxPlausibleUnits || m.coordinatorIndex < 0 || m.coordinatorIndex >= kBudgetCoordinators)
        return;
    const auto n = fleet_.nodes.find(static_cast<NodeId>(m.id.second));
    if (cold ? n == fleet_.nodes.end() || m.bootMsOrPlanNo > now_ + kRoundMs
             : m.bootMsOrPlanNo >= static_cast<double>(settings_.plans.size()))
        return;
    // Of two start times, the later one gives the smaller budget.
    const auto b = cold ? coldBudget(std::max(m.bootMsOrPlanNo, coldSinceMs(n->second)))
                        : limitBudget(static_cast<int>(m.bootMsOrPlanNo));
    if (!b) return;
    if (m.kind == BudgetMessage::grant) {
        const auto s = budgetShares_.find(m.id);
        if (s == budgetShares_.end() || m.askerClockMs > now_ ||
            budgetCoordinator(m.id, m.coordinatorIndex) != sender)
            return;
        s->second.granted.add(m.askerClockMs, m.units);
        if (m.units <= 0) s->second.lastDeniedMs[m.coordinatorIndex] = now_;
    } else if (budgetCoordinator(m.id, m.coordinatorIndex) == settings_.self) {
        BudgetPart& ledger = coordinatorBudgets_[m.id].parts[m.coordinatorIndex];
        const double bornMs = cold && n->second.bootMs > startMs_ ? -kNever : startMs_;
        const bool fits = availableUnits(ledger, *b, (1 - localBudgetFraction(m.id)) / kBudgetCoordinators,
                                         bornMs) >= m.units;
        if (fits) ledger.consume(now_, m.units);
        sendBudgetMessage(sender, {BudgetMessage::grant, m.id, m.coordinatorIndex, m.bootMsOrPlanNo,
                                   fits ? m.units : 0, m.askerClockMs});
    }
}

}  // namespace limedrum
