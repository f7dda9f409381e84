// Attempts: whether one may begin, of requests that are held those that go first, and those given up.
#include "scheduler_impl.h"

namespace limedrum {

bool Scheduler::Impl::mayRepeat(const Request& r, double ranMs) const {
    return r.attempts == 0 || (r.attempts < r.cap && now_ < repeatByMs(r, ranMs));
}

double Scheduler::Impl::repeatByMs(const Request& r, double ranMs) const {
    const ClassSettings& cls = classOf(r);
    if (ranMs == kNever || cls.repeat == Repeat::safe) return kNever;
    return cls.repeat == Repeat::keyed ? ranMs + cls.repeatWindowMs - 2 * set_.tickMs : -kNever;
}

bool Scheduler::Impl::budgetAllows() {
    const double window = set_.rules.budgetWindowMs;
    if (window <= 0) return true;
    taken_.trim(now_ - window + set_.tickMs);
    extras_.trim(now_ - window - set_.tickMs);
    return extras_.units + 1 <= set_.rules.budgetFree + set_.rules.budgetRatio * taken_.units;
}

double Scheduler::Impl::attemptUntilMs(const Request& r) const {
    return r.attempts == 0 ? shutdown_.firstAttemptUntilMs : shutdown_.furtherAttemptUntilMs;
}

bool Scheduler::Impl::maySend(Request& r, Node& n) {
    if (now_ > attemptUntilMs(r)) return false;
    if (r.out > 0 || now_ < r.notBeforeMs || now_ >= r.told.expiresMs - set_.tickMs ||
        (ordered(r) && !lanes_.open(r.told.key, r.told.id, r.attempts == 0, now_)))
        return false;
    if (r.attempts > 0 && (!mayRepeat(r, r.ranMs) || !budgetAllows())) return false;
    const bool drawn = r.drawn || covered(r, {'v', hashOf(r.told.volume)}, limitBudget(r.told.planNo),
                                          r.told.hostsOfVolume, r.told.planNo);
    if (!drawn || !covered(r, {'n', n.id}, coldBudget(coldSince(n)), set_.hosts, coldSince(n))) return false;
    r.shortOf.reset();
    return true;
}

void Scheduler::Impl::send(Request& r, Node& n) {
    fleet_.dequeue(r);
    if (!r.drawn) draw({'v', hashOf(r.told.volume)}, limitBudget(r.told.planNo), r.told.units);
    r.drawn = true;
    draw({'n', n.id}, coldBudget(coldSince(n)), r.told.units);
    if (r.attempts > 0) extras_.add(now_, 1);
    const std::string key = ordered(r) ? r.told.key : "";
    flights_[{r.told.id, r.attempts}] = {n.id, r.cell, now_, r.told.units, false, key, r.told.volume};
    if (!key.empty()) lanes_.sent(key, r.told.id);
    if (n.outCount == 0) n.heardMs = now_;
    ++n.outCount;
    ++n.unheard;
    watched_.emplace(now_ + patience(n, r.told.units), FlightId(r.told.id, r.attempts));
    n.outUnits += r.told.units;
    fleet_.active.insert(r.cell);
    ++r.attempts;
    ++r.out;
    const double startByMs = std::min(repeatByMs(r, r.ranMs), shutdown_.furtherAttemptUntilMs);
    actions_.push_back(Send{r.told.id, n.id, r.told.expiresMs - now_, startByMs - now_});
}

void Scheduler::Impl::pump(CellId cell) {
    Cell& c = fleet_.touch(cell);
    Node* n = nodeOf(c);
    if (n == nullptr || c.queue.empty()) return;
    const double most = bound(c, *n);
    for (auto it = c.queue.begin(); it != c.queue.end();) {
        Request& r = requests_.at(it->second);
        ++it;
        if (n->silentSinceMs > 0) {
            if (now_ - n->trickledMs < kTrickleMs || n->outCount >= kCeiling) return;
        } else if (n->outCount >= kCeiling ||
                   (n->outCount >= fewOut(*n) && n->outUnits + r.told.units > most)) {
            if (!isCold(*n) && now_ - r.takenMs > kHeldAimPart * aimMs_)
                press(*n);  // else its budget held it
            return;
        }
        if (!maySend(r, *n)) continue;
        if (n->silentSinceMs > 0) n->trickledMs = now_;
        send(r, *n);
    }
}

void Scheduler::Impl::shed(Cell& c, Node& n) {
    std::vector<std::pair<RequestId, Cause>> dropped;
    std::vector<std::pair<RequestId, CellId>> moved;
    const bool waits = n.silentSinceMs > 0;
    const bool tight = waits || (pressed(n) && n.rate > 0);
    const double rate = slice(c, n) / kRoundMs * 1000 * kShedHope;  // units a second
    double ahead = n.outUnits;
    std::set<std::pair<double, RequestId>> kept;  // by merit
    for (const auto& [due, id] : c.queue) {
        const Request& r = requests_.at(id);
        if (r.out > 0) continue;
        // The other holders take what one that is silent, or cold beyond its budget, cannot.
        const bool away = waits || (r.shortOf && r.shortOf->first == 'n' &&
                                    (r.denied || now_ - r.takenMs > kSpillAimPart * aimMs_));
        if (const CellId to = away ? route(r, &n, !waits) : r.cell; to != r.cell) {
            moved.emplace_back(id, to);
            continue;
        }
        if (r.shortOf && (r.denied || now_ >= due)) {
            dropped.emplace_back(id, r.shortOf->first == 'v' ? overLimit : coldNode);
            continue;
        }
        if (!tight) continue;
        ahead += r.told.units;
        kept.emplace(r.merit, id);
        const bool late = waits || rate <= 0 ? now_ >= due : now_ + ahead / rate * 1000 > due;
        if (!late) continue;
        const RequestId worst = waits ? id : kept.begin()->second;
        const Request& w = requests_.at(worst);
        ahead -= w.told.units;
        kept.erase({w.merit, worst});
        dropped.emplace_back(worst, waits ? silentNode : tooLate);
    }
    for (const auto& [id, to] : moved) fleet_.move(requests_.at(id), to);
    for (const auto& [id, cause] : dropped) finish(id, cause);
}

}  // namespace limedrum
