// limedrum: the interface of the decision module (src/limedrum).
//
// One Scheduler decides for one host that shares storage nodes with other hosts. It does no I/O,
// reads no clock and draws randomness only from the seed given at construction.
//
// The caller owns the clock: every call hands in `nowMs`, in milliseconds from any origin, never
// running backwards. The caller carries out the returned actions at that same time, in order.
// The caller owes: exactly one OutcomeEvent for each Send; a ReminderEvent at or after the time of
// each SetTimer; no event for a request before its RequestEvent. An event that refers to something
// the scheduler does not hold is passed over. An instance is not thread-safe: call it from one
// thread at a time. Instances share nothing.
// The constructor throws std::invalid_argument, naming the field, for settings that no deployment
// could mean; handle() does not throw on any event.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace limedrum {

using NodeId = std::uint64_t;
using RequestId = std::string;

/// Whether running a request twice does harm.
enum class Idempotency { idempotent, deduplicated, nonIdempotent };
/// Keyed classes: the nodes that discard a request's repeats.
enum class DedupScope { all, zone, shard };

struct ClassSettings {
    double aimMs = 0;       ///< answered within this: full worth
    double deadlineMs = 0;  ///< the client waits this long in all; above zero
    Idempotency idempotency = Idempotency::idempotent;
    DedupScope dedupScope = DedupScope::all;
    double repeatWindowMs = 0;  ///< keyed: repeats are discarded this long after the first send
    bool ordered = false;       ///< requests with one key run one at a time
    bool stream = false;
    double worth = 1;
    double lateWorth = 0;  ///< part of the worth for an answer after the aim
    bool retired = false;  ///< only requests taken before have it
    bool operator==(const ClassSettings&) const = default;
};

/// Figures of a plan apply to each of its volumes over all hosts and nodes together.
struct PlanSettings {
    double rate = 0;     ///< units a second the volume is sized for
    double reserve = 0;  ///< units a second at full worth
    double weight = 1;
    double worthFactor = 1;
    double limit = 0;  ///< units a second; 0: none
    double limitDepth = 0;
    double limitSlack = 0;
};

struct RuleSettings {
    double answerSlackMs = 0;
    double drainGraceMs = 0;
    double coldShare = 1;  ///< a node starts at this part of its power or more
    double warmWithinMs = 0;
    double overloadFactor = 1;
    double fallMs = 0;
    double orderPauseMs = 0;
    double mustAskInMs = 0;
    double budgetWindowMs = 0;  ///< 0: no budget of further attempts
    double budgetFree = 0;
    double budgetRatio = 0;
};

struct Settings {
    std::vector<ClassSettings> classes;
    std::vector<PlanSettings> plans;
    RuleSettings rules;
    int hosts = 1;  ///< hosts of this tier, this one included
    int self = 0;   ///< this host's number among them
    int zone = 0;
    double tickMs = 1;
    double coldUnits = 0;  ///< units within fallMs, from all hosts, that any cold node bears; 0: not told
    double meanUnits = 1;
    double maxUnits = 1;
    double withinShare = 1;  ///< worth of units beyond the reserve, inside the share
    double spareWorth = 1;   ///< worth of units beyond both
    bool reportsUnitsViaOtherHosts = false;
    double meterMs = 0;  ///< period of the meter behind OutcomeEvent::usePct; 0: no meter
    int attemptCap = 1;
    bool mayCancel = false;
    bool mayRunAttemptsInParallel = false;  ///< a request may have two attempts out at once
    bool mayMessagePeers = false;
    bool mayProbe = false;
    bool nodeListOnRequest = false;
    double maxRetryAfterMs = 0;  ///< 0: clients are given no advice
};

enum class NodeState { serving, draining, gone };
struct NodeEntry {
    NodeId node = 0;
    int zone = 0;
    int shard = 0;  ///< the shard it holds
    NodeState state = NodeState::serving;
    double bootMs = 0;  ///< 0: long ago
    double weight = 0;  ///< part of the shard's work against its other holders; 0: not told
};

enum class NodeListKind { update, full, restored, unavailable };
struct NodeListEvent {
    NodeListKind kind = NodeListKind::update;
    std::vector<NodeEntry> entries;
};
struct RequestEvent {
    RequestId id;
    int classNo = 0;
    int planNo = 0;
    std::string key;  ///< empty: none
    std::string volume;
    double expiresMs = 0;
    double units = 1;
    int shard = -1;  ///< -1: a new object, any node may take it
    int hostsOfVolume = 1;
};
struct StreamStartedEvent {
    RequestId id;
    int attempt = 0;
};
enum class Outcome { done, error, rejected, timedOut, connectFailed, reset, cancelled, notSent };
struct OutcomeEvent {
    RequestId id;
    int attempt = 0;
    NodeId node = 0;
    Outcome outcome = Outcome::done;
    double durationMs = 0;
    bool requestFinished = false;   ///< the request is finished
    double utilizationPct = 0;      ///< the meter's figure, 0: none
    double unitsViaOtherHosts = 0;  ///< units served here for the volume through other hosts, since last told
};
struct RequestAbandonedEvent {
    RequestId id;
};
struct TimerFiredEvent {
    std::int64_t token = 0;
};
/// The host shuts down: its requests have their answers by then, and no attempt begins any more after the
/// other moments. Told again, of each moment the earlier one counts.
struct ShutdownEvent {
    double firstAttemptUntilMs = 0;    ///< a request taken later is refused
    double furtherAttemptUntilMs = 0;  ///< also the moment by which any attempt's last byte leaves
    double answerByMs = 0;
};
struct ProbeResultEvent {
    NodeId node = 0;
    bool answered = false;
};
struct PeerMessageEvent {
    int sender = 0;
    std::string text;
};
using Event =
    std::variant<NodeListEvent, RequestEvent, StreamStartedEvent, OutcomeEvent, RequestAbandonedEvent,
                 TimerFiredEvent, ProbeResultEvent, PeerMessageEvent, ShutdownEvent>;

struct SendAttempt {
    RequestId id;
    NodeId node = 0;
    double timeoutMs = 0;
    /// Its last byte leaves within so long, or never: a repeat that comes later might run twice.
    double lastByteWithinMs = std::numeric_limits<double>::infinity();
};
struct CancelAttempt {
    RequestId id;
    int attempt = 0;
};
/// Final: turned away, harmless to repeat.
struct RefuseRequest {
    RequestId id;
    double retryAfterMs = 0;
};
/// Final: failed, no promise on effects.
struct FailRequest {
    RequestId id;
};
struct SetTimer {
    double afterMs = 0;
    std::int64_t token = 0;
};
struct SendPeerMessage {
    int peer = 0;      ///< the peer's number among the hosts
    std::string text;  ///< 256 bytes at most
};
struct SubscribeToNodeList {};
struct LogMessage {
    std::string text;
};
using Action = std::variant<SendAttempt, CancelAttempt, RefuseRequest, FailRequest, SetTimer, SendPeerMessage,
                            SubscribeToNodeList, LogMessage>;

/// How an instance sees a node now.
struct NodeStatus {
    NodeId node = 0;
    int shard = 0;
    NodeState state = NodeState::serving;
    bool receivesNewWork = false;  ///< new work of its cell goes to it
    bool unresponsive = false;     ///< takes work and answers nothing
    double unitsPerSecond = 0;     ///< units a second that it can do; 0: not learned
};

class Scheduler {
public:
    Scheduler(Settings settings, std::uint64_t seed, double nowMs);
    ~Scheduler();
    Scheduler(Scheduler&&) noexcept;
    Scheduler& operator=(Scheduler&&) noexcept;

    /// Handles what arrived at `nowMs`, in order; returns what to do at `nowMs`, in order.
    [[nodiscard]] std::vector<Action> handle(double nowMs, std::span<const Event> events);

    /// Other settings from now on. Classes keep their numbers; requests go on by the class and the attempts
    /// that they were taken with. Throws like the constructor, and nothing has changed.
    void updateSettings(Settings settings);

    /// What was learned, for an instance that follows this one under the same number, and its levels of
    /// limits, which are no longer here.
    [[nodiscard]] std::string exportState(double nowMs);
    /// Goes on with it, for the nodes that are listed here. False: it is torn, stale or of another form, and
    /// nothing has changed.
    [[nodiscard]] bool importState(double nowMs, const std::string& text);

    /// All nodes of the list that are not gone, by their numbers.
    [[nodiscard]] std::vector<NodeStatus> nodeStatuses() const;

    /// Entries held in the tables of requests, volumes, keys, nodes and pending attempts.
    [[nodiscard]] std::size_t tableSize() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace limedrum
