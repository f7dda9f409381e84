#include "arrival/request_arrival.h"

#include <algorithm>
#include <utility>

namespace martencove {

void RequestArrival::addInput(double nowMs, std::size_t bodyBytes) {
    if (!beginMs_) beginMs_ = nowMs;
    if (lastInputMs_) longestGapMs_ = std::max(longestGapMs_, nowMs - *lastInputMs_);
    lastInputMs_ = nowMs;
    bodyBytes_ = bodyBytes;
}

void RequestArrival::pause(double nowMs) {
    if (!pausedSinceMs_) pausedSinceMs_ = nowMs;
}

void RequestArrival::resume(double nowMs) {
    if (!pausedSinceMs_) return;
    const double pausedMs = nowMs - *pausedSinceMs_;
    pausedSinceMs_.reset();
    for (std::optional<double>* time : {&beginMs_, &lastInputMs_})
        if (*time) **time += pausedMs;
}

bool RequestArrival::isOverdue(double nowMs, const ArrivalPace& pace) const {
    if (!lastInputMs_ || pausedSinceMs_) return false;
    const double bodyMs = static_cast<double>(bodyBytes_) / pace.bodyBytesPerMs;
    return nowMs > *beginMs_ + pace.headTimeoutMs + bodyMs + pace.graceMs ||
           silentMs(nowMs) > pace.headTimeoutMs + pace.graceMs;
}

bool RequestArrival::isStalled(double nowMs, const ArrivalPace& pace) const {
    return silentMs(nowMs) >= std::max(pace.minStallMs, 2 * longestGapMs_);
}

double RequestArrival::silentMs(double nowMs) const {
    return lastInputMs_ && !pausedSinceMs_ ? nowMs - *lastInputMs_ : 0;
}

std::optional<std::size_t> chooseLongestStalled(const std::vector<ArrivingRequest>& requests, double nowMs,
                                                const ArrivalPace& pace) {
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < requests.size(); ++i) {
        const RequestArrival& arrival = *requests[i].arrival;
        if (requests[i].heldBytes == 0 || !arrival.isStalled(nowMs, pace)) continue;
        if (!chosen || arrival.silentMs(nowMs) > requests[*chosen].arrival->silentMs(nowMs)) chosen = i;
    }
    return chosen;
}

std::vector<std::size_t> chooseConnectionsForRoom(const std::vector<WaitingConnection>& connections,
                                                  double nowMs, const ArrivalPace& pace,
                                                  const RoomNeeded& needed) {
    std::vector<std::size_t> chosen;
    std::vector<std::pair<double, std::size_t>> stalled;
    for (std::size_t i = 0; i < connections.size(); ++i) {
        const WaitingConnection& connection = connections[i];
        const double silentMs = connection.arrival->silentMs(nowMs);
        if (connection.isSilent)
            chosen.push_back(i);
        else if (connection.hasPartialRequest && connection.arrival->isStalled(nowMs, pace) &&
                 silentMs >= needed.stallTimeoutMs)
            stalled.emplace_back(silentMs, i);
    }
    std::sort(stalled.rbegin(), stalled.rend());
    for (const auto& [silentMs, index] : stalled) {
        if (chosen.size() >= needed.waitingCount) break;
        chosen.push_back(index);
    }
    chosen.resize(std::min(chosen.size(), needed.maxCount));
    return chosen;
}

}  // namespace martencove
