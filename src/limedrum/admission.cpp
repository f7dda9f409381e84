// Admission: refuses a new request at once or puts it into the queue of its cell.
#include "scheduler_impl.h"

namespace limedrum {

void Scheduler::Impl::on(const RequestEvent& event) {
    if (requests_.contains(event.id)) return;
    if (event.classNo < 0 || event.classNo >= static_cast<int>(settings_.classes.size()) ||
        !std::isfinite(event.expiresMs) || event.expiresMs <= now_ || now_ > shutdown_.firstAttemptUntilMs)
        return actions_.push_back(
            RefuseRequest{event.id, std::min(kRefusalRetryAfterMs, settings_.maxRetryAfterMs)});
    recentRequests_.add(now_, 1);
    const ClassSettings& classSettings = settings_.classes[event.classNo];
    Request& request = requests_[event.id];
    request.spec = event;
    request.maxAttempts = settings_.attemptCap;
    // A client may state a deadline beyond its class or more hosts than there are. Such figures are limited,
    // since they would distort what is learned from all requests of the class or the volume.
    request.spec.expiresMs =
        std::min({event.expiresMs, now_ + classSettings.deadlineMs, shutdown_.answerByMs});
    request.spec.hostsOfVolume = std::clamp(event.hostsOfVolume, 1, settings_.hosts);
    request.spec.units =
        std::clamp(finiteOr(event.units, settings_.maxUnits), 0.0, std::max(settings_.maxUnits, 1e3));
    if (event.planNo < 0 || event.planNo >= static_cast<int>(settings_.plans.size())) request.spec.planNo = 0;
    request.arrivalMs = now_;
    scheduleCheck(request, std::min(now_ + kFirstAttemptTimeFraction * (request.spec.expiresMs - now_),
                                    shutdown_.firstAttemptUntilMs));
    // A client's retry carries the remaining time of its first try, so its aim counts from that one.
    const double remainingMs = request.spec.expiresMs - now_;
    const double lifetimeMs = longestLifetimesMs_[event.classNo] =
        std::max(longestLifetimesMs_[event.classNo], remainingMs);
    const double ageMs = lifetimeMs - remainingMs > kClientRetryMinAgeMs ? lifetimeMs - remainingMs : 0;
    request.lateClientRetry = ageMs > classSettings.aimMs;
    request.dueMs = request.lateClientRetry
                        ? request.spec.expiresMs
                        : std::min(now_ + classSettings.aimMs - ageMs, request.spec.expiresMs);
    request.cell = event.shard;
    request.cell =
        event.shard >= 0 ? route(request, nullptr, false) : chooseCellForNewObject(request.spec.units);
    if (isOrdered(request)) keyQueues_.enqueue(event.key, event.id);

    Volume& volume = volumes_[event.volume];
    volume.planNo = request.spec.planNo;
    volume.hostCount = std::max(volume.hostCount, request.spec.hostsOfVolume);
    volume.lastSeenMs = now_;
    if (!request.lateClientRetry)
        volume.offeredThisRound += request.spec.units;  // retries must not inflate the bids
    recordDemand(request);
    Node* node = servingNode(fleet_.cellForUpdate(request.cell));
    // A request that its holder would refuse goes to another holder that is not overloaded.
    bool refused = node != nullptr && !isBlockedAsSilent(*node) &&
                   shouldThin(fleet_.cellForUpdate(request.cell), *node, request);
    if (const CellId targetCell = refused ? route(request, node, true) : request.cell;
        targetCell != request.cell) {
        request.cell = targetCell;
        recordDemand(request);
        node = servingNode(fleet_.cellForUpdate(targetCell));
        refused = false;
    }
    Cell& cell = fleet_.cellForUpdate(request.cell);
    Demand& demand = cell.volumes[event.volume];
    request.worthPerUnit = classSettings.worth * planOf(volume.planNo).worthFactor *
                           (request.lateClientRetry ? classSettings.lateWorth : 1);
    if (node != nullptr && isBlockedAsSilent(*node)) return refuseOrFail(event.id, nodeUnreachable);
    if (refused) return refuseOrFail(event.id, refusedAtAdmission);
    if (node != nullptr && demand.fairUnitsPerSecond > 0) {
        const double askedRate = expectedRate(demand.offeredThisRound, demand.offeredLastRound);
        if (askedRate > demand.fairUnitsPerSecond)
            request.worthPerUnit *= settings_.withinShare * demand.fairUnitsPerSecond / askedRate +
                                    settings_.spareWorth * (1 - demand.fairUnitsPerSecond / askedRate);
    }
    cell.admittedUnitsThisRound += request.spec.units;
    fleet_.enqueue(request);
    sendQueued(request.cell);
}

bool Scheduler::Impl::isBlockedAsSilent(const Node& node) const {
    return node.silentSinceMs > 0 && now_ - node.lastTrialAttemptMs < kSilentNodeAttemptIntervalMs;
}

void Scheduler::Impl::recordDemand(const Request& request) {
    fleet_.cellForUpdate(request.cell)
        .addDemand(request.spec.volume, classOf(request).worth,
                   request.lateClientRetry ? 0 : request.spec.units);
}

double Scheduler::Impl::expectedRate(double offeredThisRound, double offeredLastRound) const {
    const double elapsedMs = std::max(now_ - roundStartMs_, kMinElapsedRoundFraction * kRoundMs);
    return std::max(offeredLastRound / kRoundMs, offeredThisRound / elapsedMs) * 1000;
}

}  // namespace limedrum
