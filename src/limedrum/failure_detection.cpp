// Failure detection: nodes that answer nothing, and attempts held for lost.
#include "scheduler_impl.h"

namespace limedrum {

void Scheduler::Impl::judgeSilence(Node& n) {
    if (n.silentSinceMs > 0 || n.outCount == 0 || n.unheard < kSilentSends ||
        now_ - n.heardMs < kSilentAims * aimMs_)
        return;
    n.silentSinceMs = std::max(n.heardMs, 1.0);
    n.trickledMs = now_;
    say("node " + std::to_string(n.id) + " answers nothing");
    if (n.weight <= 0) return;
    for (const auto& [id, f] : flights_)  // another holder may answer
        if (f.node == n.id) callOff(id, f, n, aimMs_);
}

double Scheduler::Impl::patience(const Node& n, double units) const {
    return std::max(kPatienceAims * aimMs_, kPatienceUsual * (n.unitMs * units + n.delayMs));
}

void Scheduler::Impl::giveUpLost() {
    while (!watched_.empty() && watched_.begin()->first <= now_) {
        const FlightId id = watched_.begin()->second;
        watched_.erase(watched_.begin());
        const auto at = flights_.find(id);
        if (at == flights_.end()) continue;
        Flight& f = at->second;
        const auto node = fleet_.nodes.find(f.node);
        if (node == fleet_.nodes.end()) continue;
        Node& n = node->second;
        const double wait = patience(n, f.units);
        if (n.answeredSentMs <= f.sentMs + wait / 2) {  // not overtaken
            watched_.emplace(now_ + wait / 2, id);
            continue;
        }
        if (!f.lost) n.leave(f.units);
        f.lost = true;
        callOff(id, f, n, wait / 2);
    }
}

void Scheduler::Impl::callOff(const FlightId& id, const Flight& f, const Node& n, double neededMs) {
    const auto held = requests_.find(id.first);
    if (!set_.mayCancel || held == requests_.end()) return;
    Request& r = held->second;
    const bool worth = !r.streaming && now_ + neededMs < r.told.expiresMs &&
                       now_ <= shutdown_.furtherAttemptUntilMs && nodeOf(fleet_.touch(r.cell)) == &n &&
                       !r.givenUp;
    if (!worth || !mayRepeat(r, std::min(r.ranMs, f.sentMs)) || !budgetAllows()) return;
    r.givenUp = true;
    actions_.push_back(Cancel{id.first, id.second});
}

}  // namespace limedrum
