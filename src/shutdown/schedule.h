// Divides the time between SIGTERM and the earliest SIGKILL. Decides only: no I/O, clock or thread.
//
// The platform sends SIGKILL no sooner than the longest deadline of the settings, of which at most 3 s count,
// and 0.7 s more after SIGTERM. The process may be held up for 0.15 s between reading its clock and acting on
// it, at any one step, and sees the signal that much late too. At the worst this passes, in this order:
//
//     signal seen         a stall and a turn of the event loop after it was sent; all steps count from here
//     accept              new connections keep coming for 0.4 s
//     partial requests    then have a while to become whole
//     first attempts      a stall until the attempt leaves, and another until its answer is passed on
//     further attempts    a stall until the attempt leaves
//     final answers       decided by then; a stall and a turn until they are handed to the kernel
//     exit                after one more turn of the loop; the bytes' way out
//     SIGKILL
#pragma once

#include <limits>
#include <optional>

namespace martencove {

/// The steps of a shutdown, in ms: spans from the turn of the event loop that saw the signal, or the moments
/// of the program's clock that startingAt() makes of them. The first two are no later than the answers, and
/// from the first attempts on each step is no later than the next one.
struct ShutdownSchedule {
    double acceptUntilMs = std::numeric_limits<double>::infinity();  ///< the listeners stay open
    /// A request that has come in part by then is refused.
    double partialRequestUntilMs = std::numeric_limits<double>::infinity();
    /// A request may be sent to a server for the first time; one read later is refused.
    double firstAttemptUntilMs = std::numeric_limits<double>::infinity();
    /// A retry or hedge may begin, and any attempt's last byte may leave.
    double furtherAttemptUntilMs = std::numeric_limits<double>::infinity();
    /// Every open request gets its final answer.
    double answerByMs = std::numeric_limits<double>::infinity();
    /// The process ends a turn of the loop later, whatever is left.
    double exitByMs = std::numeric_limits<double>::infinity();
    /// The earliest SIGKILL, where the signal was seen as late as the schedule allows for.
    double earliestSigkillMs = std::numeric_limits<double>::infinity();

    /// The steps of a shutdown whose settings have this longest deadline, as spans.
    [[nodiscard]] static ShutdownSchedule forLongestDeadline(double deadlineMs);
    /// The same steps as moments, where the signal was seen at `nowMs`.
    [[nodiscard]] ShutdownSchedule startingAt(double nowMs) const;
    /// Of each step the earlier moment.
    [[nodiscard]] ShutdownSchedule earlierOf(const ShutdownSchedule& other) const;

    /// The longest hold-up between reading the clock and acting on it, as the standing test gives it.
    static constexpr double kMaxStallMs = 150;
    /// One turn of the event loop.
    static constexpr double kLoopTurnMs = 20;
    /// From SIGTERM to the turn that sees it.
    static constexpr double kMaxSignalDelayMs = kMaxStallMs + kLoopTurnMs;
    /// From the kernel here to the client.
    static constexpr double kMaxDeliveryMs = 50;
    /// What the protocol gives beyond the longest deadline, and the part of that which counts.
    static constexpr double kSigkillMarginMs = 700;
    static constexpr double kMaxCountedDeadlineMs = 3000;
    /// New connections come for 0.4 s after SIGTERM, and 50 ms count for their way.
    static constexpr double kAcceptWindowMs = 450;
    /// After the listeners' close, for a request that has come in part.
    static constexpr double kPartialRequestWindowMs = 1000;
};

/// The longest deadline by which a shutdown counts, while configurations change. Whoever sends SIGKILL may
/// still count by the settings before the last change: a shorter one counts at once, a longer one after a
/// while.
class LongestDeadline {
public:
    explicit LongestDeadline(double deadlineMs) : effectiveMs_(deadlineMs) {}
    /// The settings' longest deadline is another one since `nowMs`.
    void update(double nowMs, double deadlineMs);
    [[nodiscard]] double deadlineMsAt(double nowMs) const;

    /// The protocol counts what a new configuration tells after this time.
    static constexpr double kIncreaseDelayMs = 4000;

private:
    struct PendingIncrease {
        double sinceMs;
        double deadlineMs;
    };
    double effectiveMs_;
    std::optional<PendingIncrease> pendingIncrease_;  ///< told, and not counted yet
};

}  // namespace martencove
