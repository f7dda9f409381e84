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
    for (const ClassSettings& classSettings : settings_.classes)
        if (!classSettings.retired)
            tightestAimMs_ = std::min(
                tightestAimMs_, classSettings.aimMs > 0 ? classSettings.aimMs : classSettings.deadlineMs);
    longestBudgetWindowMs_ = settings_.rules.fallMs;
    for (std::size_t i = 0; i < settings_.plans.size(); ++i)
        if (const auto limit = limitBudget(static_cast<int>(i)))
            longestBudgetWindowMs_ = std::max(longestBudgetWindowMs_, limit->windowMs);
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
    std::vector<NodeStatus> statuses;
    for (const Node* node : fleet_.nodesById()) {
        if (node->state == NodeState::gone) continue;
        const bool isServing = servingNode(fleet_.cells.at(node->cell)) == node;
        statuses.push_back(
            {node->id, node->shard, node->state, isServing, node->silentSinceMs > 0, node->unitsPerSecond});
    }
    return statuses;
}

std::size_t Scheduler::Impl::tableSize() const {
    return requests_.size() + attempts_.size() + fleet_.nodes.size() + volumes_.size() + keyQueues_.size() +
           recentRequests_.entries.size() + recentRetries_.entries.size() + requestChecks_.size() +
           fleet_.cells.size() + gatheredBids_.bids.size() + budgetShares_.size() +
           coordinatorBudgets_.size();
}

double Scheduler::Impl::nextCheckMs(const Request& request) const {
    const double untilMs = attemptUntilMs(request);
    return request.nextCheckMs < untilMs ? std::min(request.spec.expiresMs, untilMs) : request.spec.expiresMs;
}

void Scheduler::Impl::scheduleCheck(Request& request, double checkMs) {
    requestChecks_.erase({request.nextCheckMs, request.spec.id});
    requestChecks_.emplace(request.nextCheckMs = checkMs, request.spec.id);
}

void Scheduler::Impl::sweep() {
    while (!requestChecks_.empty() && requestChecks_.begin()->first - settings_.tickMs <= now_) {
        Request& request = requests_.at(requestChecks_.begin()->second);
        // A request that waits for its key's turn may still get it, except during a shutdown.
        const bool mayWait = request.attemptsStarted > 0 || isOrdered(request);
        const bool mayStart = request.attemptsInFlight > 0 || request.nextCheckMs < attemptUntilMs(request);
        const bool giveUp = !mayWait || !mayStart || request.nextCheckMs >= request.spec.expiresMs;
        giveUp ? refuseOrFail(RequestId(request.spec.id), notStartedInTime)
               : scheduleCheck(request, nextCheckMs(request));
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
    for (const CellId cellId :
         std::vector<CellId>(fleet_.cellsWithWork.begin(), fleet_.cellsWithWork.end())) {
        Cell& cell = fleet_.cellForUpdate(cellId);
        Node* node = servingNode(cell);
        if (node != nullptr) {
            if (observesOverload(*node))
                node->overloadMsThisRound +=
                    std::min(now_ - node->overloadCountedUntilMs, 2 * kSweepIntervalMs);
            node->overloadCountedUntilMs = now_;
            detectSilence(*node);
            shedQueue(cell, *node);
            sendQueued(cellId);
        } else {
            if (cellId < 0) rerouteQueue(cell);
            while (!cell.queue.empty() && cell.queue.begin()->first <= now_)
                refuseOrFail(RequestId(cell.queue.begin()->second), nodeUnreachable);
        }
        if (cell.queue.empty() && (node == nullptr || node->attemptsInFlight == 0))
            fleet_.cellsWithWork.erase(cellId);
    }
}

void Scheduler::Impl::armTimer() {
    double nextMs = roundStartMs_ + kRoundMs;
    if (!requestChecks_.empty()) nextMs = std::min(nextMs, requestChecks_.begin()->first - settings_.tickMs);
    if (!requests_.empty() || !attempts_.empty()) nextMs = std::min(nextMs, lastSweepMs_ + kSweepIntervalMs);
    nextMs = std::max(std::min({nextMs, subscribeDueMs_, bidSumsDueMs_}), now_ + settings_.tickMs / 2);
    if (timerDueMs_ > now_ && timerDueMs_ <= nextMs) return;
    timerDueMs_ = nextMs;
    actions_.push_back(SetTimer{nextMs - now_, 1});
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
