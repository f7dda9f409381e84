// Node selection: which node gets the work of a shard, and where a request goes that has a choice.
#include <tuple>

#include "scheduler_impl.h"

namespace limedrum {

void Scheduler::Impl::on(const ListEvent& event) {
    if (event.kind == ListKind::unavailable) {
        // Which call failed is not said: the subscription counts as lost. Once too often costs a call.
        if (set_.listOnRequest) askMs_ = now_ + kAskAgainMs * (1 + random_.draw());
        return;
    }
    if (set_.listOnRequest && event.kind != ListKind::restored) askMs_ = kNever;
    if (event.kind != ListKind::update) fleet_.allGone();
    for (const NodeEntry& entry : event.entries) {
        Node& n = fleet_.list(entry);
        const double boot = finiteOr(entry.bootMs, 0);
        if (boot > n.bootMs) n.bootMs = boot, n.doubtedMs = 0;
    }
}

Node* Scheduler::Impl::nodeOf(const Cell& c) const {
    Node* best = nullptr;
    const auto rank = [](const Node& x) { return std::tuple(x.silentSinceMs > 0, x.bootMs, x.id); };
    for (Node* n : c.holders) {
        if (n->state == NodeState::serving && (best == nullptr || rank(*n) < rank(*best))) best = n;
    }
    return best;
}

CellId Scheduler::Impl::chooseCell(double units) {
    std::vector<Cell*> looks;
    double usual = 0, known = 0;  // of a node not yet known
    const auto learn = [&](const Node& n) { usual += n.unitMs, known += n.unitMs > 0; };
    if (fleet_.open.size() <= kLooks) {
        looks = fleet_.inOrder();
        for (const Node* n : fleet_.nodesInOrder()) learn(*n);
    } else {
        for (std::size_t draws = 0; draws < kLooks && looks.size() < kLooks / 4; ++draws)
            if (Cell* c = fleet_.open[random_.below(static_cast<int>(fleet_.open.size()))]; nodeOf(*c))
                looks.push_back(c), learn(*c->holders.front());
        if (looks.empty()) looks = fleet_.inOrder();
    }
    usual = known > 0 ? usual / known : 1;
    CellId best = -1;
    double bestMs = kNever;
    for (const Cell* c : looks) {
        Node* n = nodeOf(*c);
        if (n == nullptr) continue;
        const double work = (n->outUnits + c->queuedUnits + units) * (n->unitMs > 0 ? n->unitMs : usual);
        double ms = (n->delayMs + work) * (0.75 + 0.5 * random_.draw());
        if (n->outCount > 0) ms = std::max(ms, now_ - n->heardMs);  // an answer takes that long at least
        if (pressed(*n)) ms += aimMs_;
        if (now_ - n->timedMs > kLinkedMs) ms += kNewLinkAimPart * aimMs_;
        if (isCold(*n)) ms += 10 * aimMs_;
        if (n->silentSinceMs > 0) ms += 100 * aimMs_;
        if (ms < bestMs) bestMs = ms, best = c->id;
    }
    return best;
}

CellId Scheduler::Impl::route(const Request& r, const Node* avoid, bool calm) const {
    const auto spread = fleet_.spreads.find(r.told.cell);
    if (spread == fleet_.spreads.end()) return r.cell;
    const std::uint64_t piece = hashOf(r.told.key.empty() ? r.told.id : r.told.key);
    const Node* best = nullptr;
    std::pair<int, double> bestRank;
    for (const Node* n : spread->second) {
        const int rank = n->state != NodeState::serving                                         ? 0
                         : n == avoid || silentFor(*n) || (calm && (pressed(*n) || isCold(*n))) ? 1
                                                                                                : 2;
        const std::pair own(rank, claimOf(piece, n->id, n->weight * warmth(*n)));
        if (best == nullptr || own > bestRank) best = n, bestRank = own;
    }
    return bestRank.first < 2 && avoid != nullptr ? r.cell : best->cell;
}

void Scheduler::Impl::leave(const Cell& c) {
    for (const auto& [due, id] : std::set(c.queue)) {
        Request& r = requests_.at(id);
        const CellId to = r.told.cell < 0 ? chooseCell(r.told.units) : route(r, nullptr, false);
        if (to != -1 && to != r.cell) fleet_.move(r, to);
    }
}

double Scheduler::Impl::warmth(const Node& n) const {
    const double share = set_.rules.coldShare;
    const double part = (now_ - coldSince(n)) / std::max(set_.rules.warmWithinMs, 1.0);
    return isCold(n) ? std::clamp(share + (1 - share) * part, 0.01, 1.0) : 1;
}

bool Scheduler::Impl::isCold(const Node& n) const { return coldBudget(coldSince(n)).has_value(); }

double Scheduler::Impl::believedRate(const Node& n) const {
    double rate = 0, weight = 0;
    const auto spread = fleet_.spreads.find(n.shard);
    if (n.weight <= 0 || spread == fleet_.spreads.end()) return 0;
    for (const Node* other : spread->second)
        if (other->rate > 0) rate += other->rate, weight += other->weight;
    return weight > 0 ? n.weight * rate / weight : 0;
}

}  // namespace limedrum
