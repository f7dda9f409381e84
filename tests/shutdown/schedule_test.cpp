// Tests that each step of a shutdown allows for a stall of the process at that step, for any deadline.
#include "shutdown/schedule.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using martencove::LongestDeadline;
using martencove::ShutdownSchedule;

namespace {

constexpr double kStallMs = ShutdownSchedule::kMaxStallMs;
constexpr double kLoopTurnMs = ShutdownSchedule::kLoopTurnMs;
constexpr double kDeliveryMs = ShutdownSchedule::kMaxDeliveryMs;

/// Returns the earliest SIGKILL in ms after SIGTERM, as the protocol defines it.
double sigkillAfterSigtermMs(double deadlineMs) { return (deadlineMs > 3000 ? 3000 : deadlineMs) + 700; }

const std::vector<double>& deadlines() {
    static const std::vector<double> values{1,    50,   200,  300,  750,  1500,  2000,
                                            2999, 3000, 3001, 4000, 5000, 60'000};
    return values;
}

/// The step at which the process stalls; it stalls at most once.
enum class StallStep { nowhere, signal, attempt, answer, exit };
constexpr StallStep kStallSteps[] = {StallStep::nowhere, StallStep::signal, StallStep::attempt,
                                     StallStep::answer, StallStep::exit};

double stallMsAt(StallStep stallStep, StallStep step) { return stallStep == step ? kStallMs : 0; }

}  // namespace

TEST_CASE(
    "shutdown schedule: SIGKILL counts at most 3 s of the longest deadline, and the signal may be late") {
    for (const double deadlineMs : deadlines()) {
        CAPTURE(deadlineMs);
        const auto steps = ShutdownSchedule::forLongestDeadline(deadlineMs);
        CHECK(steps.earliestSigkillMs + kStallMs + kLoopTurnMs == sigkillAfterSigtermMs(deadlineMs));
    }
}

TEST_CASE("shutdown schedule: the steps are in order") {
    for (const double deadlineMs : deadlines()) {
        CAPTURE(deadlineMs);
        const auto steps = ShutdownSchedule::forLongestDeadline(deadlineMs);
        CHECK(steps.acceptUntilMs >= 0);
        CHECK(steps.acceptUntilMs <= steps.partialRequestUntilMs);
        CHECK(steps.partialRequestUntilMs <= steps.answerByMs);
        CHECK(steps.firstAttemptUntilMs >= 0);
        CHECK(steps.firstAttemptUntilMs <= steps.furtherAttemptUntilMs);
        CHECK(steps.furtherAttemptUntilMs <= steps.answerByMs);
        CHECK(steps.answerByMs < steps.exitByMs);
        CHECK(steps.exitByMs < steps.earliestSigkillMs);
    }
}

TEST_CASE("shutdown schedule: with a stall at any one step all answers are sent before SIGKILL") {
    for (const double deadlineMs : deadlines()) {
        for (const StallStep stallStep : kStallSteps) {
            CAPTURE(deadlineMs);
            CAPTURE(static_cast<int>(stallStep));
            const auto steps = ShutdownSchedule::forLongestDeadline(deadlineMs);
            const double seenMs = kLoopTurnMs + stallMsAt(stallStep, StallStep::signal);
            const auto times = steps.startingAt(seenMs);
            // An attempt that is decided at the last moment is sent before the final answer is due.
            const double attemptSentMs =
                times.furtherAttemptUntilMs + stallMsAt(stallStep, StallStep::attempt);
            if (steps.furtherAttemptUntilMs > 0) CHECK(attemptSentMs < times.answerByMs);
            // The kernel gets the answers one loop turn after they were due. They reach the client in time.
            const double answersWrittenMs =
                times.answerByMs + kLoopTurnMs + stallMsAt(stallStep, StallStep::answer);
            CHECK(answersWrittenMs <= times.exitByMs);
            CHECK(answersWrittenMs + kDeliveryMs <= sigkillAfterSigtermMs(deadlineMs));
            // A stall at the exit delays no answer, because the kernel has all of them.
            CHECK(times.exitByMs + kLoopTurnMs + kDeliveryMs <= sigkillAfterSigtermMs(deadlineMs));
        }
    }
}

TEST_CASE("shutdown schedule: with usual deadlines listeners stay open as long as new connections arrive") {
    for (const double deadlineMs : deadlines()) {
        if (deadlineMs < 200) continue;
        CAPTURE(deadlineMs);
        const auto steps = ShutdownSchedule::forLongestDeadline(deadlineMs);
        CHECK(steps.acceptUntilMs >= 400);
    }
}

TEST_CASE("shutdown schedule: earlierOf() takes the earlier time of each step") {
    const auto first = ShutdownSchedule::forLongestDeadline(3000).startingAt(1000);
    const auto second = ShutdownSchedule::forLongestDeadline(500).startingAt(2000);
    const auto earlier = first.earlierOf(second);
    CHECK(earlier.earliestSigkillMs == std::min(first.earliestSigkillMs, second.earliestSigkillMs));
    CHECK(earlier.earliestSigkillMs == second.earlierOf(first).earliestSigkillMs);
    CHECK(earlier.acceptUntilMs == first.acceptUntilMs);
    CHECK(earlier.answerByMs == second.answerByMs);
    CHECK(earlier.exitByMs == second.exitByMs);
    CHECK(earlier.furtherAttemptUntilMs == second.furtherAttemptUntilMs);
}

TEST_CASE("longest deadline: a decrease takes effect at once, an increase after a delay") {
    LongestDeadline longest(2000);
    longest.update(10'000, 500);
    CHECK(longest.deadlineMsAt(10'000) == 500);
    longest.update(11'000, 4000);
    CHECK(longest.deadlineMsAt(11'001) == 500);
    CHECK(longest.deadlineMsAt(14'999) == 500);
    CHECK(longest.deadlineMsAt(15'000) == 4000);
}

TEST_CASE("longest deadline: the shortest of several changes in quick succession applies") {
    LongestDeadline longest(1000);
    longest.update(0, 3000);
    longest.update(100, 2000);
    CHECK(longest.deadlineMsAt(200) == 1000);
    CHECK(longest.deadlineMsAt(4100) == 2000);
    longest.update(5000, 900);
    longest.update(5100, 2000);
    longest.update(5200, 800);
    CHECK(longest.deadlineMsAt(5200) == 800);
    CHECK(longest.deadlineMsAt(60'000) == 800);
}
