// The public interface of Scheduler, and the order in which events and time are processed.
#include "scheduler_impl.h"
#include "settings.h"

namespace limedrum {

Scheduler::Impl::Impl(Settings settings, std::uint64_t seed, double nowMs)
    : random_(seed), now_(finiteOr(nowMs, 0)) {
    updateSettings(std::move(settings));
    if (settings_.nodeListOnRequest) subscribeDueMs_ = now_;
}

void Scheduler::Impl::updateSettings(Settings settings) {
    settings_ = validatedSettings(std::move(settings));
    tightestAimMs_ = kNever;
    for (const ClassSettings& c : settings_.classes)
        if (!c.retired) tightestAimMs_ = std::min(tightestAimMs_, c.aimMs > 0 ? c.aimMs : c.deadlineMs);
    longestBudgetWindowMs_ = settings_.rules.fallMs;
    for (std::size_t i = 0; i < settings_.plans.size(); ++i)
        if (const auto b = limitBudget(static_cast<int>(i)))
            longestBudgetWindowMs_ = std::max(longestBudgetWindowMs_, b->windowMs);
}

std::vector<Action> Scheduler::Impl::handle(double nowMs, std::span<const Event> events) {
    now_ = std::max(now_, finiteOr(nowMs, now_));
    actions_.clear();
    for (const Event& event : events) std::visit([this](const auto& e) { on(e); }, event);
    sweep();
    armTimer();
    return std::move(actions_);
}

std::string Scheduler::Impl::exportState(double nowMs) { return writeLearnedState(nowMs, learnedState()); }

bool Scheduler::Impl::importState(double nowMs, const std::string& text) {
    return readLearnedState(text, nowMs, roundStartMs_, learnedState());
}

std::vector<NodeStatus> Scheduler::Impl::nodeStatuses() const {
    std::vector<NodeStatus> out;
    for (const Node* n : fleet_.nodesById()) {
        if (n->state == NodeState::gone) continue;
        const bool chosen = servingNode(fleet_.cells.at(n->cell)) == n;
        out.push_back({n->id, n->shard, n->state, chosen, n->silentSinceMs > 0, n->unitsPerSecond});
    }
    return out;
}

std::size_t Scheduler::Impl::tableSize() const {
    return requests_.size() + attempts_.size() + fleet_.nodes.size() + volumes_.size() + keyQueues_.size() +
           recentRequests_.entries.size() + recentRetries_.entries.size() + requestChecks_.size() +
           fleet_.cells.size() + gatheredBids_.bids.size() + budgetShares_.size() +
           coordinatorBudgets_.size();
}

double Scheduler::Impl::nextCheckMs(const Request& r) const {
    const double untilMs = attemptUntilMs(r);
    return r.nextCheckMs < untilMs ? std::min(r.spec.expiresMs, untilMs) : r.spec.expiresMs;
}

void Scheduler::Impl::scheduleCheck(Request& r, double ms) {
    requestChecks_.erase({r.nextCheckMs, r.spec.id});
    requestChecks_.emplace(r.nextCheckMs = ms, r.spec.id);
}

void Scheduler::Impl::sweep() {
    while (!requestChecks_.empty() && requestChecks_.begin()->first - settings_.tickMs <= now_) {
        Request& r = requests_.at(requestChecks_.begin()->second);
        // A request that waits for its key's turn may still get it, except during a shutdown.
        const bool mayWait = r.attemptsStarted > 0 || isOrdered(r);
        const bool mayBegin = r.attemptsInFlight > 0 || r.nextCheckMs < attemptUntilMs(r);
        const bool over = !mayWait || !mayBegin || r.nextCheckMs >= r.spec.expiresMs;
        over ? refuseOrFail(RequestId(r.spec.id), expired) : scheduleCheck(r, nextCheckMs(r));
    }
    if (settings_.nodeListOnRequest && now_ >= subscribeDueMs_) {
        actions_.push_back(SubscribeToNodeList{});
        subscribeDueMs_ = now_ + kSubscribeTimeoutMs;
    }
    if (now_ >= roundStartMs_ + kRoundMs) endRound();
    if (now_ >= bidSumsDueMs_) sendBidSums();
    if (now_ - lastSweepMs_ < kSweepIntervalMs) return;
    detectLostAttempts();
    lastSweepMs_ = now_;
    processActiveCells();
}

void Scheduler::Impl::processActiveCells() {
    for (const CellId cell : std::vector<CellId>(fleet_.cellsWithWork.begin(), fleet_.cellsWithWork.end())) {
        Cell& c = fleet_.cellForUpdate(cell);
        Node* n = servingNode(c);
        if (n != nullptr) {
            if (observesOverload(*n))
                n->overloadMsThisRound += std::min(now_ - n->lastSweepMs, 2 * kSweepIntervalMs);
            n->lastSweepMs = now_;
            detectSilence(*n);
            shedQueue(c, *n);
            sendQueued(cell);
        } else {
            if (cell < 0) rerouteQueue(c);
            while (!c.queue.empty() && c.queue.begin()->first <= now_)
                refuseOrFail(RequestId(c.queue.begin()->second), silentNode);
        }
        if (c.queue.empty() && (n == nullptr || n->attemptsInFlight == 0)) fleet_.cellsWithWork.erase(cell);
    }
}

void Scheduler::Impl::armTimer() {
    double next = roundStartMs_ + kRoundMs;
    if (!requestChecks_.empty()) next = std::min(next, requestChecks_.begin()->first - settings_.tickMs);
    if (!requests_.empty() || !attempts_.empty()) next = std::min(next, lastSweepMs_ + kSweepIntervalMs);
    next = std::max(std::min({next, subscribeDueMs_, bidSumsDueMs_}), now_ + settings_.tickMs / 2);
    if (timerDueMs_ > now_ && timerDueMs_ <= next) return;
    timerDueMs_ = next;
    actions_.push_back(SetTimer{next - now_, 1});
}

Scheduler::Scheduler(Settings settings, std::uint64_t seed, double nowMs)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, nowMs)) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;
std::vector<Action> Scheduler::handle(double nowMs, std::span<const Event> events) {
    return impl_->handle(nowMs, events);
}
void Scheduler::updateSettings(Settings settings) { impl_->updateSettings(std::move(settings)); }
std::vector<NodeStatus> Scheduler::nodeStatuses() const { return impl_->nodeStatuses(); }
std::string Scheduler::exportState(double nowMs) { return impl_->exportState(nowMs); }
bool Scheduler::importState(double nowMs, const std::string& text) { return impl_->importState(nowMs, text); }
std::size_t Scheduler::tableSize() const { return impl_->tableSize(); }

}  // namespace limedrum
