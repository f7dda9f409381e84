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
    const ClassSettings& cls = settings_.classes[event.classNo];
    Request& r = requests_[event.id];
    r.spec = event;
    r.maxAttempts = settings_.attemptCap;
    // A client may state a deadline beyond its class or more hosts than there are. Such figures are limited,
    // since they would distort what is learned from all requests of the class or the volume.
    r.spec.expiresMs = std::min({event.expiresMs, now_ + cls.deadlineMs, shutdown_.answerByMs});
    r.spec.hostsOfVolume = std::clamp(event.hostsOfVolume, 1, settings_.hosts);
    r.spec.units =
        std::clamp(finiteOr(event.units, settings_.maxUnits), 0.0, std::max(settings_.maxUnits, 1e3));
    if (event.planNo < 0 || event.planNo >= static_cast<int>(settings_.plans.size())) r.spec.planNo = 0;
    r.arrivalMs = now_;
    scheduleCheck(r, std::min(now_ + kFirstAttemptTimeFraction * (r.spec.expiresMs - now_),
                              shutdown_.firstAttemptUntilMs));
    // A client's retry carries the remaining time of its first try, so its aim counts from that one.
    const double left = r.spec.expiresMs - now_;
    const double life = longestLifetimesMs_[event.classNo] =
        std::max(longestLifetimesMs_[event.classNo], left);
    const double age = life - left > kClientRetryMinAgeMs ? life - left : 0;
    r.lateClientRetry = age > cls.aimMs;
    r.dueMs = r.lateClientRetry ? r.spec.expiresMs : std::min(now_ + cls.aimMs - age, r.spec.expiresMs);
    r.cell = event.shard;
    r.cell = event.shard >= 0 ? route(r, nullptr, false) : chooseCellForNewObject(r.spec.units);
    if (isOrdered(r)) keyQueues_.enqueue(event.key, event.id);

    Volume& v = volumes_[event.volume];
    v.planNo = r.spec.planNo;
    v.hostCount = std::max(v.hostCount, r.spec.hostsOfVolume);
    v.lastSeenMs = now_;
    if (!r.lateClientRetry) v.offeredThisRound += r.spec.units;  // retries must not inflate the bids
    recordDemand(r);
    Node* n = servingNode(fleet_.cellForUpdate(r.cell));
    // A request that its holder would refuse goes to another holder that is not overloaded.
    bool over = n != nullptr && !isBlockedAsSilent(*n) && shouldThin(fleet_.cellForUpdate(r.cell), *n, r);
    if (const CellId to = over ? route(r, n, true) : r.cell; to != r.cell) {
        r.cell = to;
        recordDemand(r);
        n = servingNode(fleet_.cellForUpdate(to));
        over = false;
    }
    Cell& c = fleet_.cellForUpdate(r.cell);
    Demand& d = c.volumes[event.volume];
    r.worthPerUnit = cls.worth * planOf(v.planNo).worthFactor * (r.lateClientRetry ? cls.lateWorth : 1);
    if (n != nullptr && isBlockedAsSilent(*n)) return refuseOrFail(event.id, silentNode);
    if (over) return refuseOrFail(event.id, thinnedOut);
    if (n != nullptr && d.fairUnitsPerSecond > 0) {
        const double asked = expectedRate(d.offeredThisRound, d.offeredLastRound);
        if (asked > d.fairUnitsPerSecond)
            r.worthPerUnit *= settings_.withinShare * d.fairUnitsPerSecond / asked +
                              settings_.spareWorth * (1 - d.fairUnitsPerSecond / asked);
    }
    c.tokensSpent += r.spec.units;
    fleet_.enqueue(r);
    sendQueued(r.cell);
}

bool Scheduler::Impl::isBlockedAsSilent(const Node& n) const {
    return n.silentSinceMs > 0 && now_ - n.lastTrickleMs < kSilentNodeAttemptIntervalMs;
}

void Scheduler::Impl::recordDemand(const Request& r) {
    fleet_.cellForUpdate(r.cell).addDemand(r.spec.volume, classOf(r).worth,
                                           r.lateClientRetry ? 0 : r.spec.units);
}

double Scheduler::Impl::expectedRate(double seen, double last) const {
    const double passed = std::max(now_ - roundStartMs_, kMinElapsedRoundFraction * kRoundMs);
    return std::max(last / kRoundMs, seen / passed) * 1000;
}

}  // namespace limedrum
