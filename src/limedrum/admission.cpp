// Admission: a request is refused at once, or enters the queue of its cell.
#include "scheduler_impl.h"

namespace limedrum {

void Scheduler::Impl::on(const RequestEvent& event) {
    if (requests_.contains(event.id)) return;
    if (event.classNo < 0 || event.classNo >= static_cast<int>(set_.classes.size()) ||
        !std::isfinite(event.expiresMs) || event.expiresMs <= now_ || now_ > shutdown_.firstAttemptUntilMs)
        return actions_.push_back(Refuse{event.id, std::min(kComeBackMs, set_.maxRetryAfterMs)});
    taken_.add(now_, 1);
    const ClassSettings& cls = set_.classes[event.classNo];
    Request& r = requests_[event.id];
    r.told = event;
    r.cap = set_.attemptCap;
    // No client waits longer than its class, nor is a volume met by more hosts than there are: one that
    // says so must not count in what is learned of the others.
    r.told.expiresMs = std::min({event.expiresMs, now_ + cls.deadlineMs, shutdown_.answerByMs});
    r.told.hostsOfVolume = std::clamp(event.hostsOfVolume, 1, set_.hosts);
    r.told.units = std::clamp(finiteOr(event.units, set_.maxUnits), 0.0, std::max(set_.maxUnits, 1e3));
    if (event.planNo < 0 || event.planNo >= static_cast<int>(set_.plans.size())) r.told.planNo = 0;
    r.takenMs = now_;
    lookAt(r, std::min(now_ + kHoldPart * (r.told.expiresMs - now_), shutdown_.firstAttemptUntilMs));
    // A client's repeat brings what is left of its first try's life: its aim counts from then.
    const double left = r.told.expiresMs - now_;
    const double life = lives_[event.classNo] = std::max(lives_[event.classNo], left);
    const double age = life - left > kLateTryMs ? life - left : 0;
    r.lateTry = age > cls.aimMs;
    r.dueMs = r.lateTry ? r.told.expiresMs : std::min(now_ + cls.aimMs - age, r.told.expiresMs);
    r.cell = event.cell;
    r.cell = event.cell >= 0 ? route(r, nullptr, false) : chooseCell(r.told.units);
    if (ordered(r)) lanes_.enter(event.key, event.id);

    Volume& v = volumes_[event.volume];
    v.plan = r.told.planNo;
    v.hosts = std::max(v.hosts, r.told.hostsOfVolume);
    v.seenMs = now_;
    if (!r.lateTry) v.now += r.told.units;  // repeats do not inflate what this host bids
    offer(r);
    Node* n = nodeOf(fleet_.touch(r.cell));
    // What its holder has no room for goes to another that is not pressed.
    bool over = n != nullptr && !silentFor(*n) && thinned(fleet_.touch(r.cell), *n, r);
    if (const CellId to = over ? route(r, n, true) : r.cell; to != r.cell) {
        r.cell = to;
        offer(r);
        n = nodeOf(fleet_.touch(to));
        over = false;
    }
    Cell& c = fleet_.touch(r.cell);
    Demand& d = c.volumes[event.volume];
    r.merit = cls.worth * planOf(v.plan).worthFactor * (r.lateTry ? cls.lateWorth : 1);
    if (n != nullptr && silentFor(*n)) return finish(event.id, silentNode);
    if (over) return finish(event.id, thin);
    if (n != nullptr && d.fair > 0) {
        const double asked = expectedRate(d.now, d.last);
        if (asked > d.fair)
            r.merit *= set_.withinShare * d.fair / asked + set_.spareWorth * (1 - d.fair / asked);
    }
    c.spent += r.told.units;
    fleet_.enqueue(r);
    pump(r.cell);
}

bool Scheduler::Impl::silentFor(const Node& n) const {
    return n.silentSinceMs > 0 && now_ - n.trickledMs < kTrickleMs;
}

void Scheduler::Impl::offer(const Request& r) {
    fleet_.touch(r.cell).offer(r.told.volume, classOf(r).worth, r.lateTry ? 0 : r.told.units);
}

double Scheduler::Impl::expectedRate(double seen, double last) const {
    const double passed = std::max(now_ - roundStartMs_, kEarlyPart * kRoundMs);
    return std::max(last / kRoundMs, seen / passed) * 1000;
}

}  // namespace limedrum
