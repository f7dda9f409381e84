// Divides the time between SIGTERM and the earliest SIGKILL into the steps of a shutdown. Computes times
// only: no I/O, clock or threads.
//
// The platform sends SIGKILL no sooner than min(longest configured deadline, 3 s) + 0.7 s after SIGTERM. The
// process may stall for 0.15 s between reading its clock and acting on it, at any one step, and may see the
// signal late by as much. In the worst case the steps are, in this order:
//
//     signal seen         one stall and one event loop turn after SIGTERM; all steps are counted from here
//     accept              new connections are accepted for 0.4 s
//     partial requests    may be completed for some time after that
//     first attempts      allow for a stall before the attempt is sent and another before its answer is sent
//     further attempts    allow for a stall before the attempt is sent
//     final answers       are decided; a stall and a loop turn may pass until the kernel has them
//     exit                one loop turn later; then the data travels to the client
//     SIGKILL
#pragma once

#include <limits>
#include <optional>

namespace martencove {

/// The steps of a shutdown, in ms: either durations since the event loop turn that saw the signal, or times
/// of the program's clock, which startingAt() computes from them. The first two steps are no later than
/// `answerByMs`; from `firstAttemptUntilMs` on, no step is later than the next one.
struct ShutdownSchedule {
    double acceptUntilMs = std::numeric_limits<double>::infinity();  ///< listeners stay open
    /// A request that is still incomplete is refused.
    double partialRequestUntilMs = std::numeric_limits<double>::infinity();
    /// The first attempt of a request may be sent to a node; a request read later is refused.
    double firstAttemptUntilMs = std::numeric_limits<double>::infinity();
    /// A retry or hedge may start, and the last byte of any attempt may be sent.
    double furtherAttemptUntilMs = std::numeric_limits<double>::infinity();
    /// Every open request has its final answer.
    double answerByMs = std::numeric_limits<double>::infinity();
    /// The process exits one event loop turn later, whether or not work is left.
    double exitByMs = std::numeric_limits<double>::infinity();
    /// The earliest SIGKILL if the signal was seen kMaxSignalDelayMs late.
    double earliestSigkillMs = std::numeric_limits<double>::infinity();

    /// Returns the steps, as durations, for settings with this longest deadline in ms.
    [[nodiscard]] static ShutdownSchedule forLongestDeadline(double deadlineMs);
    /// Converts durations to times, for a signal seen at `nowMs`.
    [[nodiscard]] ShutdownSchedule startingAt(double nowMs) const;
    /// Returns the earlier of the two times for each step.
    [[nodiscard]] ShutdownSchedule earlierOf(const ShutdownSchedule& other) const;

    /// The longest stall between reading the clock and acting on it, as the system test defines it.
    static constexpr double kMaxStallMs = 150;
    /// The longest event loop turn without a stall.
    static constexpr double kLoopTurnMs = 20;
    /// The time from SIGTERM to the event loop turn that sees it.
    static constexpr double kMaxSignalDelayMs = kMaxStallMs + kLoopTurnMs;
    /// The time that data takes from the local kernel to the client.
    static constexpr double kMaxDeliveryMs = 50;
    /// The time that the protocol grants beyond the longest deadline.
    static constexpr double kSigkillMarginMs = 700;
    /// The longest deadline that the protocol takes into account.
    static constexpr double kMaxCountedDeadlineMs = 3000;
    /// New connections arrive for 400 ms after SIGTERM; 50 ms are added for their travel time.
    static constexpr double kAcceptWindowMs = 450;
    /// The time for a partly received request to complete after the listeners close.
    static constexpr double kPartialRequestWindowMs = 1000;
};

/// The longest configured deadline that a shutdown may rely on while the configuration changes. The sender of
/// SIGKILL may still use the previous settings, so a shorter deadline takes effect at once and a longer one
/// after kIncreaseDelayMs. Times are in ms.
class LongestDeadline {
public:
    explicit LongestDeadline(double deadlineMs) : effectiveMs_(deadlineMs) {}
    /// Sets the longest deadline of the settings that apply since `nowMs`.
    void update(double nowMs, double deadlineMs);
    /// Returns the longest deadline that applies at `nowMs`.
    [[nodiscard]] double deadlineMsAt(double nowMs) const;

    /// The protocol relies on a new configuration after this time.
    static constexpr double kIncreaseDelayMs = 4000;

private:
    struct PendingIncrease {
        double sinceMs;
        double deadlineMs;
    };
    double effectiveMs_;
    std::optional<PendingIncrease> pendingIncrease_;  ///< not in effect yet
};

}  // namespace martencove
