#include "shutdown/schedule.h"

#include <algorithm>

namespace martencove {

ShutdownSchedule ShutdownSchedule::forLongestDeadline(double deadlineMs) {
    ShutdownSchedule steps;
    // From the end to the beginning, since the end is fixed. With a very short deadline the first steps fall
    // together at 0: whatever comes then is refused at once, for which a connection still has to be accepted.
    const auto before = [](double stepMs, double spanMs) { return std::max(0.0, stepMs - spanMs); };
    steps.killMs = std::min(deadlineMs, kMostDeadlineMs) + kKillMarginMs - kSignalLateMs;
    steps.exitByMs = before(steps.killMs, kTurnMs + kWayOutMs);
    steps.answerByMs = before(steps.exitByMs, kStallMs + kTurnMs);
    steps.furtherAttemptUntilMs = before(steps.answerByMs, kStallMs + kTurnMs);
    steps.firstAttemptUntilMs = before(steps.furtherAttemptUntilMs, kStallMs);
    steps.acceptUntilMs = std::min(kAcceptMs, steps.answerByMs);
    steps.partialRequestUntilMs = std::min(steps.acceptUntilMs + kPartialRequestMs, steps.answerByMs);
    return steps;
}

ShutdownSchedule ShutdownSchedule::startingAt(double nowMs) const {
    return {acceptUntilMs + nowMs,
            partialRequestUntilMs + nowMs,
            firstAttemptUntilMs + nowMs,
            furtherAttemptUntilMs + nowMs,
            answerByMs + nowMs,
            exitByMs + nowMs,
            killMs + nowMs};
}

ShutdownSchedule ShutdownSchedule::earlierOf(const ShutdownSchedule& other) const {
    return {std::min(acceptUntilMs, other.acceptUntilMs),
            std::min(partialRequestUntilMs, other.partialRequestUntilMs),
            std::min(firstAttemptUntilMs, other.firstAttemptUntilMs),
            std::min(furtherAttemptUntilMs, other.furtherAttemptUntilMs),
            std::min(answerByMs, other.answerByMs),
            std::min(exitByMs, other.exitByMs),
            std::min(killMs, other.killMs)};
}

void LongestDeadline::change(double nowMs, double deadlineMs) {
    inForceMs_ = std::min(at(nowMs), deadlineMs);
    raise_.reset();
    if (deadlineMs > inForceMs_) raise_ = Raise{nowMs, deadlineMs};
}

double LongestDeadline::at(double nowMs) const {
    return raise_ && nowMs - raise_->sinceMs >= kSettleMs ? raise_->deadlineMs : inForceMs_;
}

}  // namespace martencove
