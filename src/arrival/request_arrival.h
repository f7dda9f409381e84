// Decides how long a client's request may take to arrive. Pure: times are handed in, in milliseconds.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace martencove {

/// How fast a request has to arrive.
struct ArrivalPace {
    double headTimeoutMs = 2000;  ///< "A client may take 2 s over a head" (operators' days, Less room)
    double bodyBytesPerMs = 64;   ///< "and a body at 64 kB a second" (as above)
    /// For pieces of the body, which arrive as a whole, and for a program that is held up for 150 ms.
    double graceMs = 500;
    double minStallMs = 50;  ///< a shorter silence is no stall
};

/// When the parts of one request have arrived. A new object stands for a request of which nothing has
/// arrived.
class RequestArrival {
public:
    /// `beginMs`: when the client could begin to send, if the time of its first request counts from then;
    /// nothing: the time counts from the first byte.
    explicit RequestArrival(std::optional<double> beginMs = std::nullopt) : beginMs_(beginMs) {}

    /// Bytes have arrived. `bodyBytes`: of the body so far.
    void addInput(double nowMs, std::size_t bodyBytes);
    /// Reading stops or goes on. The time between counts neither as slow nor as silent.
    void pause(double nowMs);
    void resume(double nowMs);

    /// Whether the request has fallen behind the slowest pace that is allowed, or nothing has arrived for the
    /// time that is allowed for a head.
    [[nodiscard]] bool isOverdue(double nowMs, const ArrivalPace& pace) const;
    /// Whether the client has stopped sending: nothing has arrived for longer than the pauses between its
    /// earlier pieces suggest.
    [[nodiscard]] bool isStalled(double nowMs, const ArrivalPace& pace) const;
    /// For how long nothing has arrived; 0 before the first byte and while reading is paused.
    [[nodiscard]] double silentMs(double nowMs) const;
    /// When reading was paused; nothing if it is not.
    [[nodiscard]] std::optional<double> pausedSinceMs() const { return pausedSinceMs_; }

private:
    std::optional<double> beginMs_;
    std::optional<double> lastInputMs_;
    std::optional<double> pausedSinceMs_;
    double longestGapMs_ = 0;  // between two pieces
    std::size_t bodyBytes_ = 0;
};

/// A request that arrives and the memory that it holds.
struct ArrivingRequest {
    const RequestArrival* arrival;
    std::size_t heldBytes;
};

/// Chooses the request that makes room for another: the one that has been stalled longest, of those that hold
/// memory. Returns its index, or nothing if none is stalled.
[[nodiscard]] std::optional<std::size_t> chooseLongestStalled(const std::vector<ArrivingRequest>& requests,
                                                              double nowMs, const ArrivalPace& pace);

/// A connection of which no request is in progress, and whose input has all been read.
struct WaitingConnection {
    const RequestArrival* arrival;
    bool isSilent;           ///< no request has begun to arrive in the time that is allowed at the limit
    bool hasPartialRequest;  ///< a request has arrived in part
};

/// How many connections are closed at the limit on connections.
struct RoomNeeded {
    std::size_t maxCount;      ///< at most this many
    std::size_t waitingCount;  ///< new connections that wait to be accepted
    double stallTimeoutMs;     ///< a request in part that has been silent for a shorter time is kept
};

/// Chooses the connections that make room for new ones: silent ones, and only for connections that wait those
/// with a stalled request, the longest silent first. Returns their indices.
[[nodiscard]] std::vector<std::size_t> chooseConnectionsForRoom(
    const std::vector<WaitingConnection>& connections, double nowMs, const ArrivalPace& pace,
    const RoomNeeded& needed);

}  // namespace martencove
