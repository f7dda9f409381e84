// Attempts: decides whether one may begin, which queued requests are sent first and which are given up.
#include "scheduler_impl.h"

namespace limedrum {

bool Scheduler::Impl::mayRepeat(const Request& r, double ranMs) const {
    return r.attemptsStarted == 0 || (r.attemptsStarted < r.maxAttempts && now_ < repeatDeadlineMs(r, ranMs));
}

double Scheduler::Impl::repeatDeadlineMs(const Request& r, double ranMs) const {
    const ClassSettings& cls = classOf(r);
    if (ranMs == kNever || cls.idempotency == Idempotency::idempotent) return kNever;
    return cls.idempotency == Idempotency::deduplicated ? ranMs + cls.repeatWindowMs - 2 * settings_.tickMs
                                                        : -kNever;
}

bool Scheduler::Impl::retryBudgetAllows() {
    const double window = settings_.rules.budgetWindowMs;
    if (window <= 0) return true;
    recentRequests_.dropBefore(now_ - window + settings_.tickMs);
    recentRetries_.dropBefore(now_ - window - settings_.tickMs);
    return recentRetries_.totalUnits + 1 <=
           settings_.rules.budgetFree + settings_.rules.budgetRatio * recentRequests_.totalUnits;
}

double Scheduler::Impl::attemptUntilMs(const Request& r) const {
    return r.attemptsStarted == 0 ? shutdown_.firstAttemptUntilMs : shutdown_.furtherAttemptUntilMs;
}

bool Scheduler::Impl::maySend(Request& r, Node& n) {
    if (now_ > attemptUntilMs(r)) return false;
    if (r.attemptsInFlight > 0 || now_ < r.notBeforeMs || now_ >= r.spec.expiresMs - settings_.tickMs ||
        (isOrdered(r) && !keyQueues_.mayStart(r.spec.key, r.spec.id, r.attemptsStarted == 0, now_)))
        return false;
    if (r.attemptsStarted > 0 && (!mayRepeat(r, r.mayHaveRunSinceMs) || !retryBudgetAllows())) return false;
    const bool drawn =
        r.limitCharged || ensureBudget(r, {'v', fnv1aHash(r.spec.volume)}, limitBudget(r.spec.planNo),
                                       r.spec.hostsOfVolume, r.spec.planNo);
    if (!drawn || !ensureBudget(r, {'n', n.id}, coldBudget(coldSinceMs(n)), settings_.hosts, coldSinceMs(n)))
        return false;
    r.blockingBudget.reset();
    return true;
}

void Scheduler::Impl::send(Request& r, Node& n) {
    fleet_.dequeue(r);
    if (!r.limitCharged)
        consumeBudget({'v', fnv1aHash(r.spec.volume)}, limitBudget(r.spec.planNo), r.spec.units);
    r.limitCharged = true;
    consumeBudget({'n', n.id}, coldBudget(coldSinceMs(n)), r.spec.units);
    if (r.attemptsStarted > 0) recentRetries_.add(now_, 1);
    const std::string key = isOrdered(r) ? r.spec.key : "";
    attempts_[{r.spec.id, r.attemptsStarted}] = {n.id, r.cell, now_, r.spec.units, false, key, r.spec.volume};
    if (!key.empty()) keyQueues_.attemptSent(key, r.spec.id);
    if (n.attemptsInFlight == 0) n.lastHeardMs = now_;
    ++n.attemptsInFlight;
    ++n.sendsSinceAnswer;
    attemptChecks_.emplace(now_ + lossTimeoutMs(n, r.spec.units), AttemptId(r.spec.id, r.attemptsStarted));
    n.unitsInFlight += r.spec.units;
    fleet_.cellsWithWork.insert(r.cell);
    ++r.attemptsStarted;
    ++r.attemptsInFlight;
    const double startByMs =
        std::min(repeatDeadlineMs(r, r.mayHaveRunSinceMs), shutdown_.furtherAttemptUntilMs);
    actions_.push_back(SendAttempt{r.spec.id, n.id, r.spec.expiresMs - now_, startByMs - now_});
}

void Scheduler::Impl::sendQueued(CellId cell) {
    Cell& c = fleet_.cellForUpdate(cell);
    Node* n = servingNode(c);
    if (n == nullptr || c.queue.empty()) return;
    const double most = maxInFlightUnits(c, *n);
    for (auto it = c.queue.begin(); it != c.queue.end();) {
        Request& r = requests_.at(it->second);
        ++it;
        if (n->silentSinceMs > 0) {
            if (now_ - n->lastTrickleMs < kSilentNodeAttemptIntervalMs ||
                n->attemptsInFlight >= kMaxInFlightPerNode)
                return;
        } else if (n->attemptsInFlight >= kMaxInFlightPerNode ||
                   (n->attemptsInFlight >= minInFlight(*n) && n->unitsInFlight + r.spec.units > most)) {
            if (!isCold(*n) && now_ - r.arrivalMs > kOverloadQueueWaitAimFraction * tightestAimMs_)
                markOverloaded(*n);  // a cold node's budget delays requests too
            return;
        }
        if (!maySend(r, *n)) continue;
        if (n->silentSinceMs > 0) n->lastTrickleMs = now_;
        send(r, *n);
    }
}

void Scheduler::Impl::shedQueue(Cell& c, Node& n) {
    std::vector<std::pair<RequestId, UnservedCause>> dropped;
    std::vector<std::pair<RequestId, CellId>> moved;
    const bool waits = n.silentSinceMs > 0;
    const bool tight = waits || (isOverloaded(n) && n.unitsPerSecond > 0);
    const double rate = tokenShare(c, n) / kRoundMs * 1000 * kShedOvercommitFactor;  // units per second
    double ahead = n.unitsInFlight;
    std::set<std::pair<double, RequestId>> kept;  // by worth per unit
    for (const auto& [due, id] : c.queue) {
        const Request& r = requests_.at(id);
        if (r.attemptsInFlight > 0) continue;
        // Requests of a holder that is silent, or cold without budget left, go to other holders.
        const bool away =
            waits ||
            (r.blockingBudget && r.blockingBudget->first == 'n' &&
             (r.deniedByAllCoordinators || now_ - r.arrivalMs > kColdBudgetWaitAimFraction * tightestAimMs_));
        if (const CellId to = away ? route(r, &n, !waits) : r.cell; to != r.cell) {
            moved.emplace_back(id, to);
            continue;
        }
        if (r.blockingBudget && (r.deniedByAllCoordinators || now_ >= due)) {
            dropped.emplace_back(id, r.blockingBudget->first == 'v' ? overLimit : coldNode);
            continue;
        }
        if (!tight) continue;
        ahead += r.spec.units;
        kept.emplace(r.worthPerUnit, id);
        const bool late = waits || rate <= 0 ? now_ >= due : now_ + ahead / rate * 1000 > due;
        if (!late) continue;
        const RequestId worst = waits ? id : kept.begin()->second;
        const Request& w = requests_.at(worst);
        ahead -= w.spec.units;
        kept.erase({w.worthPerUnit, worst});
        dropped.emplace_back(worst, waits ? silentNode : tooLate);
    }
    for (const auto& [id, to] : moved) fleet_.moveToCell(requests_.at(id), to);
    for (const auto& [id, cause] : dropped) refuseOrFail(id, cause);
}

}  // namespace limedrum
