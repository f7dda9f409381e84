// Attempts: decides whether one may begin, which queued requests are sent first and which are given up.
#include "scheduler_impl.h"

namespace limedrum {

bool Scheduler::Impl::mayRepeat(const Request& request, double earliestPossibleRunMs) const {
    return request.attemptsStarted == 0 || (request.attemptsStarted < request.maxAttempts &&
                                            now_ < repeatDeadlineMs(request, earliestPossibleRunMs));
}

double Scheduler::Impl::repeatDeadlineMs(const Request& request, double earliestPossibleRunMs) const {
    const ClassSettings& classSettings = classOf(request);
    if (earliestPossibleRunMs == kNever || classSettings.idempotency == Idempotency::idempotent)
        return kNever;
    return classSettings.idempotency == Idempotency::deduplicated
               ? earliestPossibleRunMs + classSettings.repeatWindowMs - 2 * settings_.tickMs
               : -kNever;
}

bool Scheduler::Impl::retryBudgetAllows() {
    const double windowMs = settings_.rules.budgetWindowMs;
    if (windowMs <= 0) return true;
    recentRequests_.dropBefore(now_ - windowMs + settings_.tickMs);
    recentRetries_.dropBefore(now_ - windowMs - settings_.tickMs);
    return recentRetries_.totalUnits + 1 <=
           settings_.rules.budgetFree + settings_.rules.budgetRatio * recentRequests_.totalUnits;
}

double Scheduler::Impl::attemptUntilMs(const Request& request) const {
    return request.attemptsStarted == 0 ? shutdown_.firstAttemptUntilMs : shutdown_.furtherAttemptUntilMs;
}

bool Scheduler::Impl::maySend(Request& request, Node& node) {
    if (now_ > attemptUntilMs(request)) return false;
    if (request.attemptsInFlight > 0 || now_ < request.notBeforeMs ||
        now_ >= request.spec.expiresMs - settings_.tickMs ||
        (isOrdered(request) &&
         !keyQueues_.mayStart(request.spec.key, request.spec.id, request.attemptsStarted == 0, now_)))
        return false;
    if (request.attemptsStarted > 0 &&
        (!mayRepeat(request, request.earliestPossibleRunMs) || !retryBudgetAllows()))
        return false;
    const bool limitCovered =
        request.limitCharged ||
        ensureBudget(request, {'v', fnv1aHash(request.spec.volume)}, limitBudget(request.spec.planNo),
                     request.spec.hostsOfVolume, request.spec.planNo);
    if (!limitCovered || !ensureBudget(request, {'n', node.id}, coldBudget(coldSinceMs(node)),
                                       settings_.hosts, coldSinceMs(node)))
        return false;
    request.blockingBudget.reset();
    return true;
}

void Scheduler::Impl::send(Request& request, Node& node) {
    fleet_.dequeue(request);
    if (!request.limitCharged)
        consumeBudget({'v', fnv1aHash(request.spec.volume)}, limitBudget(request.spec.planNo),
                      request.spec.units);
    request.limitCharged = true;
    consumeBudget({'n', node.id}, coldBudget(coldSinceMs(node)), request.spec.units);
    if (request.attemptsStarted > 0) recentRetries_.add(now_, 1);
    const std::string orderingKey = isOrdered(request) ? request.spec.key : "";
    attempts_[{request.spec.id, request.attemptsStarted}] = {
        node.id, request.cell, now_, request.spec.units, false, orderingKey, request.spec.volume};
    if (!orderingKey.empty()) keyQueues_.attemptSent(orderingKey, request.spec.id);
    if (node.attemptsInFlight == 0) node.silenceCountsFromMs = now_;
    ++node.attemptsInFlight;
    ++node.sendsSinceAnswer;
    attemptChecks_.emplace(now_ + lossTimeoutMs(node, request.spec.units),
                           AttemptId(request.spec.id, request.attemptsStarted));
    node.unitsInFlight += request.spec.units;
    fleet_.cellsWithWork.insert(request.cell);
    ++request.attemptsStarted;
    ++request.attemptsInFlight;
    const double startByMs =
        std::min(repeatDeadlineMs(request, request.earliestPossibleRunMs), shutdown_.furtherAttemptUntilMs);
    actions_.push_back(
        SendAttempt{request.spec.id, node.id, request.spec.expiresMs - now_, startByMs - now_});
}

void Scheduler::Impl::sendQueued(CellId cellId) {
    Cell& cell = fleet_.cellForUpdate(cellId);
    Node* node = servingNode(cell);
    if (node == nullptr || cell.queue.empty()) return;
    const double maxUnits = maxInFlightUnits(cell, *node);
    for (auto it = cell.queue.begin(); it != cell.queue.end();) {
        Request& request = requests_.at(it->second);
        ++it;
        if (node->silentSinceMs > 0) {
            if (now_ - node->lastTrialAttemptMs < kSilentNodeAttemptIntervalMs ||
                node->attemptsInFlight >= kMaxInFlightPerNode)
                return;
        } else if (node->attemptsInFlight >= kMaxInFlightPerNode ||
                   (node->attemptsInFlight >= minInFlight(*node) &&
                    node->unitsInFlight + request.spec.units > maxUnits)) {
            // A wait for a cold node may be due to its budget alone.
            if (!isCold(*node) && now_ - request.arrivalMs > kOverloadQueueWaitAimFraction * tightestAimMs_)
                markOverloaded(*node);
            return;
        }
        if (!maySend(request, *node)) continue;
        if (node->silentSinceMs > 0) node->lastTrialAttemptMs = now_;
        send(request, *node);
    }
}

void Scheduler::Impl::shedQueue(Cell& cell, Node& node) {
    std::vector<std::pair<RequestId, UnservedCause>> dropped;
    std::vector<std::pair<RequestId, CellId>> moved;
    const bool silent = node.silentSinceMs > 0;
    const bool capacityLimited = silent || (isOverloaded(node) && node.unitsPerSecond > 0);
    const double unitsPerSecond = tokenShare(cell, node) / kRoundMs * 1000 * kShedOvercommitFactor;
    double unitsAhead = node.unitsInFlight;
    std::set<std::pair<double, RequestId>> keptByWorth;
    for (const auto& [dueMs, id] : cell.queue) {
        const Request& request = requests_.at(id);
        if (request.attemptsInFlight > 0) continue;
        // Requests of a holder that is silent, or cold without budget left, go to other holders.
        const bool preferOthers =
            silent || (request.blockingBudget && request.blockingBudget->first == 'n' &&
                       (request.noGrantObtained ||
                        now_ - request.arrivalMs > kColdBudgetWaitAimFraction * tightestAimMs_));
        if (const CellId targetCell = preferOthers ? route(request, &node, !silent) : request.cell;
            targetCell != request.cell) {
            moved.emplace_back(id, targetCell);
            continue;
        }
        if (request.blockingBudget && (request.noGrantObtained || now_ >= dueMs)) {
            dropped.emplace_back(id, request.blockingBudget->first == 'v' ? overLimit : coldNode);
            continue;
        }
        if (!capacityLimited) continue;
        unitsAhead += request.spec.units;
        keptByWorth.emplace(request.worthPerUnit, id);
        const bool isLate =
            silent || unitsPerSecond <= 0 ? now_ >= dueMs : now_ + unitsAhead / unitsPerSecond * 1000 > dueMs;
        if (!isLate) continue;
        const RequestId leastWorthId = silent ? id : keptByWorth.begin()->second;
        const Request& leastWorth = requests_.at(leastWorthId);
        unitsAhead -= leastWorth.spec.units;
        keptByWorth.erase({leastWorth.worthPerUnit, leastWorthId});
        dropped.emplace_back(leastWorthId, silent ? nodeUnreachable : shedForOverload);
    }
    for (const auto& [id, targetCell] : moved) fleet_.moveToCell(requests_.at(id), targetCell);
    for (const auto& [id, cause] : dropped) refuseOrFail(id, cause);
}

}  // namespace limedrum
