// The decision module's interface, and the order in which events and time are handled.
#include "scheduler_impl.h"
#include "settings.h"

namespace limedrum {

Scheduler::Impl::Impl(Settings settings, std::uint64_t seed, double nowMs)
    : random_(seed), now_(finiteOr(nowMs, 0)) {
    retune(std::move(settings));
    if (set_.listOnRequest) askMs_ = now_;
}

void Scheduler::Impl::retune(Settings settings) {
    set_ = checked(std::move(settings));
    aimMs_ = kNever;
    for (const ClassSettings& c : set_.classes)
        if (!c.dropped) aimMs_ = std::min(aimMs_, c.aimMs > 0 ? c.aimMs : c.deadlineMs);
    longestMs_ = set_.rules.fallMs;
    for (std::size_t i = 0; i < set_.plans.size(); ++i)
        if (const auto b = limitBudget(static_cast<int>(i))) longestMs_ = std::max(longestMs_, b->windowMs);
}

std::vector<Action> Scheduler::Impl::handle(double nowMs, std::span<const Event> events) {
    now_ = std::max(now_, finiteOr(nowMs, now_));
    actions_.clear();
    for (const Event& event : events) std::visit([this](const auto& e) { on(e); }, event);
    sweep();
    arm();
    return std::move(actions_);
}

std::string Scheduler::Impl::handOver(double nowMs) { return writeMemory(nowMs, learned()); }

bool Scheduler::Impl::takeOver(double nowMs, const std::string& text) {
    return readMemory(text, nowMs, roundStartMs_, learned());
}

std::vector<NodeView> Scheduler::Impl::view() const {
    std::vector<NodeView> out;
    for (const Node* n : fleet_.nodesInOrder()) {
        if (n->state == NodeState::gone) continue;
        const bool chosen = nodeOf(fleet_.cells.at(n->cell)) == n;
        out.push_back({n->id, n->shard, n->state, chosen, n->silentSinceMs > 0, n->rate});
    }
    return out;
}

std::size_t Scheduler::Impl::tableSize() const {
    return requests_.size() + flights_.size() + fleet_.nodes.size() + volumes_.size() + lanes_.size() +
           taken_.entries.size() + extras_.entries.size() + expiries_.size() + fleet_.cells.size() +
           gathered_.bids.size() + shares_.size() + tills_.size();
}

double Scheduler::Impl::nextLookMs(const Request& r) const {
    const double untilMs = attemptUntilMs(r);
    return r.lookMs < untilMs ? std::min(r.told.expiresMs, untilMs) : r.told.expiresMs;
}

void Scheduler::Impl::lookAt(Request& r, double ms) {
    expiries_.erase({r.lookMs, r.told.id});
    expiries_.emplace(r.lookMs = ms, r.told.id);
}

void Scheduler::Impl::sweep() {
    while (!expiries_.empty() && expiries_.begin()->first - set_.tickMs <= now_) {
        Request& r = requests_.at(expiries_.begin()->second);
        // One that waits for its key's turn may still get it, but for a shutdown.
        const bool mayWait = r.attempts > 0 || ordered(r);
        const bool mayBegin = r.out > 0 || r.lookMs < attemptUntilMs(r);
        const bool over = !mayWait || !mayBegin || r.lookMs >= r.told.expiresMs;
        over ? finish(RequestId(r.told.id), expired) : lookAt(r, nextLookMs(r));
    }
    if (set_.listOnRequest && now_ >= askMs_) {
        actions_.push_back(Subscribe{});
        askMs_ = now_ + kAskLostMs;
    }
    if (now_ >= roundStartMs_ + kRoundMs) endRound();
    if (now_ >= tellSumsMs_) tellSums();
    if (now_ - sweptMs_ < kSweepMs) return;
    giveUpLost();
    sweptMs_ = now_;
    pumpAll();
}

void Scheduler::Impl::pumpAll() {
    for (const CellId cell : std::vector<CellId>(fleet_.active.begin(), fleet_.active.end())) {
        Cell& c = fleet_.touch(cell);
        Node* n = nodeOf(c);
        if (n != nullptr) {
            if (feltPressed(*n)) n->pressedMs += std::min(now_ - n->sweptMs, 2 * kSweepMs);
            n->sweptMs = now_;
            judgeSilence(*n);
            shed(c, *n);
            pump(cell);
        } else {
            if (cell < 0) leave(c);
            while (!c.queue.empty() && c.queue.begin()->first <= now_)
                finish(RequestId(c.queue.begin()->second), silentNode);
        }
        if (c.queue.empty() && (n == nullptr || n->outCount == 0)) fleet_.active.erase(cell);
    }
}

void Scheduler::Impl::arm() {
    double next = roundStartMs_ + kRoundMs;
    if (!expiries_.empty()) next = std::min(next, expiries_.begin()->first - set_.tickMs);
    if (!requests_.empty() || !flights_.empty()) next = std::min(next, sweptMs_ + kSweepMs);
    next = std::max(std::min({next, askMs_, tellSumsMs_}), now_ + set_.tickMs / 2);
    if (armedMs_ > now_ && armedMs_ <= next) return;
    armedMs_ = next;
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
void Scheduler::retune(Settings settings) { impl_->retune(std::move(settings)); }
std::vector<NodeView> Scheduler::view() const { return impl_->view(); }
std::string Scheduler::handOver(double nowMs) { return impl_->handOver(nowMs); }
bool Scheduler::takeOver(double nowMs, const std::string& text) { return impl_->takeOver(nowMs, text); }
std::size_t Scheduler::tableSize() const { return impl_->tableSize(); }

}  // namespace limedrum
