// Budgets that all hosts share: cold nodes and limits.
#include "scheduler_impl.h"

namespace limedrum {

double Scheduler::Impl::coldSince(const Node& n) const {
    return n.doubtedMs > 0 && now_ - n.doubtedMs < kListLagMs ? n.doubtedMs : n.bootMs;
}

std::optional<Budget> Scheduler::Impl::coldBudget(double since) const {
    const RuleSettings& rules = set_.rules;
    const double age = now_ - since;
    if (since <= 0 || age >= rules.warmWithinMs + rules.fallMs / 2 || rules.fallMs <= 0) return std::nullopt;
    const double steep = 1 / std::clamp(rules.coldShare, 0.01, 1.0) - 1;
    const double grown = std::max(0.0, age - rules.fallMs / 2) / std::max(rules.warmWithinMs, 1.0);
    const double units = set_.coldUnits * (1 + steep * grown);
    return Budget{units, rules.fallMs, false};
}

std::optional<Budget> Scheduler::Impl::limitBudget(int plan) const {
    const PlanSettings& p = planOf(plan);
    if (p.limit <= 0) return std::nullopt;
    return Budget{p.limitDepth, std::max(p.limitDepth / p.limit * 1000, set_.tickMs), true};
}

bool Scheduler::Impl::covered(Request& r, BudgetId id, const std::optional<Budget>& b, int hosts,
                              double figure) {
    if (!b) return true;
    Share& s = shares_[id];
    const double part = evenPart(id) / std::max(hosts, 1);
    s.dealt.trim(now_ - kValidMs);
    const auto enough = [&] { return room(s.own, *b, part, startMs_) + s.dealt.units >= r.told.units; };
    if (enough()) return true;
    if (r.shortOf != id) r.asks = 0;
    r.shortOf = id;
    const bool waits = r.asks > 0 && now_ - r.askedMs < kValidMs && s.deniedMs[r.asks % kKeepers] < r.askedMs;
    r.denied = !waits && r.asks >= kKeepers;
    if (!set_.mayTellPeers || waits || r.denied) return false;
    r.askedMs = now_;
    const int half = ++r.asks % kKeepers;
    pass(keeper(id, half), {BudgetMessage::ask, id, half, figure, r.told.units, now_});
    return enough();  // it may be this host that keeps it
}

double Scheduler::Impl::evenPart(BudgetId id) const {
    if (!set_.mayTellPeers) return 1;
    return id.first == 'n' && kOwnPart * set_.coldUnits < set_.meanUnits * set_.hosts ? 0 : kOwnPart;
}

double Scheduler::Impl::room(Ledger& ledger, const Budget& b, double part, double bornMs) const {
    const double freshUntilMs = bornMs < startMs_ ? 0 : startMs_ + b.windowMs + kValidMs + set_.tickMs;
    if (!b.fills && now_ < freshUntilMs) return 0;
    return ledger.room(now_, b, part, fillMs_, kValidMs + set_.tickMs);
}

void Scheduler::Impl::draw(BudgetId id, const std::optional<Budget>& b, double units) {
    if (!b) return;
    Share& s = shares_[id];
    s.own.take(now_, units - s.dealt.take(units));
}

int Scheduler::Impl::keeper(BudgetId id, int part) const {
    return Random(id.second * 0x10001 + static_cast<std::uint64_t>(part) * 2 + (id.first == 'v'))
        .below(set_.hosts);
}

void Scheduler::Impl::pass(int to, const BudgetMessage& m) {
    if (to == set_.self) return on(to, m);
    actions_.push_back(TellPeer{to, writeBudget(m)});
}

void Scheduler::Impl::on(int sender, const BudgetMessage& m) {
    const bool cold = m.id.first == 'n';
    if (m.units > kAbsurd || m.part < 0 || m.part >= kKeepers) return;
    const auto n = fleet_.nodes.find(static_cast<NodeId>(m.id.second));
    if (cold ? n == fleet_.nodes.end() || m.figure > now_ + kRoundMs
             : m.figure >= static_cast<double>(set_.plans.size()))
        return;
    // Of two starts the later has the smaller budget.
    const auto b =
        cold ? coldBudget(std::max(m.figure, coldSince(n->second))) : limitBudget(static_cast<int>(m.figure));
    if (!b) return;
    if (m.kind == BudgetMessage::grant) {
        const auto s = shares_.find(m.id);
        if (s == shares_.end() || m.stampMs > now_ || keeper(m.id, m.part) != sender) return;
        s->second.dealt.add(m.stampMs, m.units);
        if (m.units <= 0) s->second.deniedMs[m.part] = now_;
    } else if (keeper(m.id, m.part) == set_.self) {
        Ledger& ledger = tills_[m.id].parts[m.part];
        const double bornMs = cold && n->second.bootMs > startMs_ ? -kNever : startMs_;
        const bool fits = room(ledger, *b, (1 - evenPart(m.id)) / kKeepers, bornMs) >= m.units;
        if (fits) ledger.take(now_, m.units);
        pass(sender, {BudgetMessage::grant, m.id, m.part, m.figure, fits ? m.units : 0, m.stampMs});
    }
}

}  // namespace limedrum
