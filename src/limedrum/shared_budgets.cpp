// Shared budgets: the budgets of cold nodes and of plan limits, which all hosts share.
#include "scheduler_impl.h"

namespace limedrum {

double Scheduler::Impl::coldSinceMs(const Node& node) const {
    return node.suspectedRestartMs > 0 && now_ - node.suspectedRestartMs < kNodeListLagMs
               ? node.suspectedRestartMs
               : node.bootMs;
}

std::optional<Budget> Scheduler::Impl::coldBudget(double sinceMs) const {
    const RuleSettings& rules = settings_.rules;
    const double ageMs = now_ - sinceMs;
    if (sinceMs <= 0 || ageMs >= rules.warmWithinMs + rules.fallMs / 2 || rules.fallMs <= 0)
        return std::nullopt;
    const double maxGrowth = 1 / std::clamp(rules.coldShare, 0.01, 1.0) - 1;
    const double warmedFraction = std::max(0.0, ageMs - rules.fallMs / 2) / std::max(rules.warmWithinMs, 1.0);
    const double units = settings_.coldUnits * (1 + maxGrowth * warmedFraction);
    return Budget{units, rules.fallMs, false};
}

std::optional<Budget> Scheduler::Impl::limitBudget(int plan) const {
    const PlanSettings& planSettings = planOf(plan);
    if (planSettings.limit <= 0) return std::nullopt;
    return Budget{planSettings.limitDepth,
                  std::max(planSettings.limitDepth / planSettings.limit * 1000, settings_.tickMs), true};
}

bool Scheduler::Impl::ensureBudget(Request& request, BudgetId id, const std::optional<Budget>& budget,
                                   int hosts, double bootMsOrPlanNo) {
    if (!budget) return true;
    BudgetShare& share = budgetShares_[id];
    const double partFraction = localBudgetFraction(id) / std::max(hosts, 1);
    share.granted.dropBefore(now_ - kGrantLifetimeMs);
    const auto isCovered = [&] {
        return availableUnits(share.evenPart, *budget, partFraction, startMs_) + share.granted.totalUnits >=
               request.spec.units;
    };
    if (isCovered()) return true;
    if (request.blockingBudget != id) request.grantRequestCount = 0;
    request.blockingBudget = id;
    const bool grantPending =
        request.grantRequestCount > 0 && now_ - request.lastGrantRequestMs < kGrantLifetimeMs &&
        share.lastDeniedMs[request.grantRequestCount % kBudgetCoordinators] < request.lastGrantRequestMs;
    request.noGrantObtained = !grantPending && request.grantRequestCount >= kBudgetCoordinators;
    if (!settings_.mayMessagePeers || grantPending || request.noGrantObtained) return false;
    request.lastGrantRequestMs = now_;
    const int coordinatorIndex = ++request.grantRequestCount % kBudgetCoordinators;
    sendBudgetMessage(budgetCoordinator(id, coordinatorIndex),
                      {BudgetMessage::ask, id, coordinatorIndex, bootMsOrPlanNo, request.spec.units, now_});
    return isCovered();  // this host may be the coordinator and have granted the units
}

double Scheduler::Impl::localBudgetFraction(BudgetId id) const {
    if (!settings_.mayMessagePeers) return 1;
    return id.first == 'n' &&
                   kLocalBudgetFraction * settings_.coldUnits < settings_.meanUnits * settings_.hosts
               ? 0
               : kLocalBudgetFraction;
}

double Scheduler::Impl::availableUnits(BudgetLedger& ledger, const Budget& budget, double fraction,
                                       double ledgerStartMs) const {
    const double unusableUntilMs =
        ledgerStartMs < startMs_ ? 0 : startMs_ + budget.windowMs + kGrantLifetimeMs + settings_.tickMs;
    if (!budget.isTokenBucket && now_ < unusableUntilMs) return 0;
    return ledger.availableUnits(now_, budget, fraction, budgetFillStartMs_,
                                 kGrantLifetimeMs + settings_.tickMs);
}

void Scheduler::Impl::consumeBudget(BudgetId id, const std::optional<Budget>& budget, double units) {
    if (!budget) return;
    BudgetShare& share = budgetShares_[id];
    share.evenPart.consume(now_, units - share.granted.takeOldest(units));
}

int Scheduler::Impl::budgetCoordinator(BudgetId id, int coordinatorIndex) const {
    return Random(id.second * 0x10001 + static_cast<std::uint64_t>(coordinatorIndex) * 2 + (id.first == 'v'))
        .uniformInt(settings_.hosts);
}

void Scheduler::Impl::sendBudgetMessage(int to, const BudgetMessage& message) {
    if (to == settings_.self) return on(to, message);
    actions_.push_back(SendPeerMessage{to, writeBudgetMessage(message)});
}

void Scheduler::Impl::on(int sender, const BudgetMessage& message) {
    const bool isColdNode = message.id.first == 'n';
    if (message.units > kMaxPlausibleUnits || message.coordinatorIndex < 0 ||
        message.coordinatorIndex >= kBudgetCoordinators)
        return;
    const auto nodeIt = fleet_.nodes.find(static_cast<NodeId>(message.id.second));
    if (isColdNode ? nodeIt == fleet_.nodes.end() || message.bootMsOrPlanNo > now_ + kRoundMs
                   : message.bootMsOrPlanNo >= static_cast<double>(settings_.plans.size()))
        return;
    // Of two start times, the later one gives the smaller budget.
    const auto budget = isColdNode ? coldBudget(std::max(message.bootMsOrPlanNo, coldSinceMs(nodeIt->second)))
                                   : limitBudget(static_cast<int>(message.bootMsOrPlanNo));
    if (!budget) return;
    if (message.kind == BudgetMessage::grant) {
        const auto shareIt = budgetShares_.find(message.id);
        if (shareIt == budgetShares_.end() || message.askerClockMs > now_ ||
            budgetCoordinator(message.id, message.coordinatorIndex) != sender)
            return;
        shareIt->second.granted.add(message.askerClockMs, message.units);
        if (message.units <= 0) shareIt->second.lastDeniedMs[message.coordinatorIndex] = now_;
    } else if (budgetCoordinator(message.id, message.coordinatorIndex) == settings_.self) {
        BudgetLedger& ledger = coordinatorBudgets_[message.id].ledgers[message.coordinatorIndex];
        const double ledgerStartMs = isColdNode && nodeIt->second.bootMs > startMs_ ? -kNever : startMs_;
        const bool covered =
            availableUnits(ledger, *budget, (1 - localBudgetFraction(message.id)) / kBudgetCoordinators,
                           ledgerStartMs) >= message.units;
        if (covered) ledger.consume(now_, message.units);
        sendBudgetMessage(sender,
                          {BudgetMessage::grant, message.id, message.coordinatorIndex, message.bootMsOrPlanNo,
                           covered ? message.units : 0, message.askerClockMs});
    }
}

}  // namespace limedrum
