#include "shutdown/schedule.h"

#include <algorithm>

namespace martencove {

ShutdownSchedule ShutdownSchedule::forLongestDeadline(double deadlineMs) {
    ShutdownSchedule steps;
    // Computed backwards from SIGKILL, which is fixed. With a very short deadline the first steps are all 0:
    // requests are then refused at once, for which connections still have to be accepted.
    const auto before = [](double stepMs, double spanMs) { return std::max(0.0, stepMs - spanMs); };
    steps.earliestSigkillMs =
        std::min(deadlineMs, kMaxCountedDeadlineMs) + kSigkillMarginMs - kMaxSignalDelayMs;
    steps.exitByMs = before(steps.earliestSigkillMs, kLoopTurnMs + kMaxDeliveryMs);
    steps.answerByMs = before(steps.exitByMs, kMaxStallMs + kLoopTurnMs);
    steps.furtherAttemptUntilMs = before(steps.answerByMs, kMaxStallMs + kLoopTurnMs);
    steps.firstAttemptUntilMs = before(steps.furtherAttemptUntilMs, kMaxStallMs);
    steps.acceptUntilMs = std::min(kAcceptWindowMs, steps.answerByMs);
    steps.partialRequestUntilMs = std::min(steps.acceptUntilMs + kPartialRequestWindowMs, steps.answerByMs);
    return steps;
}

ShutdownSchedule ShutdownSchedule::startingAt(double nowMs) const {
    return {acceptUntilMs + nowMs,       partialRequestUntilMs + nowMs,
            firstAttemptUntilMs + nowMs, furtherAttemptUntilMs + nowMs,
            answerByMs + nowMs,          exitByMs + nowMs,
            earliestSigkillMs + nowMs};
}

ShutdownSchedule ShutdownSchedule::earlierOf(const ShutdownSchedule& other) const {
    return {std::min(acceptUntilMs, other.acceptUntilMs),
            std::min(partialRequestUntilMs, other.partialRequestUntilMs),
            std::min(firstAttemptUntilMs, other.firstAttemptUntilMs),
            std::min(furtherAttemptUntilMs, other.furtherAttemptUntilMs),
            std::min(answerByMs, other.answerByMs),
            std::min(exitByMs, other.exitByMs),
            std::min(earliestSigkillMs, other.earliestSigkillMs)};
}

void LongestDeadline::update(double nowMs, double deadlineMs) {
    effectiveMs_ = std::min(deadlineMsAt(nowMs), deadlineMs);
    pendingIncrease_.reset();
    if (deadlineMs > effectiveMs_) pendingIncrease_ = PendingIncrease{nowMs, deadlineMs};
}

double LongestDeadline::deadlineMsAt(double nowMs) const {
    return pendingIncrease_ && nowMs - pendingIncrease_->sinceMs >= kIncreaseDelayMs
               ? pendingIncrease_->deadlineMs
               : effectiveMs_;
}

}  // namespace martencove
