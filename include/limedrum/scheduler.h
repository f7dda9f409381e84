// limedrum: the interface of the decision module (src/limedrum).
//
// One Scheduler makes the decisions of one host that shares storage nodes with other hosts. It does no I/O,
// reads no clock and draws its random numbers only from the seed given at construction.
//
// The caller supplies the time: every call takes `nowMs`, in milliseconds from any origin, which must not
// decrease. The caller carries out the returned actions at that same time and in order. It must deliver
// exactly one OutcomeEvent for each SendAttempt, a TimerFiredEvent at or after the time of each SetTimer, and
// no event for a request before its RequestEvent. Events that refer to an unknown request, attempt or node
// are ignored.
//
// An instance is not thread-safe; different instances share no state. The constructor and updateSettings()
// throw std::invalid_argument, naming the field, for settings out of range. handle() does not throw for any
// event.
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

/// Whether a request may be executed more than once.
enum class Idempotency {
    idempotent,     ///< at any time
    deduplicated,   ///< within the class's repeatWindowMs, in which nodes discard repeats
    nonIdempotent,  ///< never
};
/// For deduplicated classes: the set of nodes that recognise repeats of a request.
enum class DedupScope { all, zone, shard };

/// Settings of a request class.
struct ClassSettings {
    double aimMs = 0;       ///< target time for the answer; an answer within it earns the full worth
    double deadlineMs = 0;  ///< the longest that a client waits; must be above zero
    Idempotency idempotency = Idempotency::idempotent;
    DedupScope dedupScope = DedupScope::all;
    double repeatWindowMs =
        0;                 ///< deduplicated classes: repeats are discarded this long after the first send
    bool ordered = false;  ///< requests with the same key run one at a time
    bool stream = false;
    double worth = 1;
    double lateWorth = 0;  ///< fraction of the worth that an answer after the aim earns
    bool retired = false;  ///< no new requests arrive; only those already accepted use the class
    bool operator==(const ClassSettings&) const = default;
};

/// Settings of a plan. Its figures apply to each of its volumes, over all hosts and nodes together.
struct PlanSettings {
    double rate = 0;     ///< units per second that the volume is sized for
    double reserve = 0;  ///< units per second that earn the full worth
    double weight = 1;   ///< weight of units beyond the reserve when a node's capacity is shared
    double worthFactor = 1;
    double limit = 0;       ///< units per second; 0: unlimited
    double limitDepth = 0;  ///< capacity of the limit's token bucket, in units
    double limitSlack = 0;
};

/// Limits on how nodes may be used, the same for all hosts.
struct RuleSettings {
    double answerSlackMs = 0;
    double drainGraceMs = 0;
    double coldShare = 1;     ///< fraction of its capacity that a node has at least when it starts
    double warmWithinMs = 0;  ///< time in which a cold node reaches its full capacity
    double overloadFactor = 1;
    double fallMs = 0;        ///< window in which Settings::coldUnits is counted; 0: no limit for cold nodes
    double orderPauseMs = 0;  ///< pause of an ordered key after an attempt that may still be running
    double mustAskInMs = 0;   ///< time limit for asking for the node list again
    double budgetWindowMs = 0;  ///< window of the retry budget; 0: retries are not limited
    double budgetFree = 0;      ///< retries per window that are always allowed
    double budgetRatio = 0;     ///< retries allowed per request of the window, besides budgetFree
};

struct Settings {
    std::vector<ClassSettings> classes;
    std::vector<PlanSettings> plans;
    RuleSettings rules;
    int hosts = 1;  ///< number of hosts that share the nodes, this one included
    int self = 0;   ///< number of this host among them, from 0
    int zone = 0;
    double tickMs = 1;     ///< resolution of the caller's timers
    double coldUnits = 0;  ///< units from all hosts within fallMs that any cold node can serve; 0: unknown
    double meanUnits = 1;
    double maxUnits = 1;
    double withinShare = 1;  ///< factor on the worth of units beyond the reserve, within the fair share
    double spareWorth = 1;   ///< factor on the worth of units beyond the reserve and the fair share
    bool reportsUnitsViaOtherHosts = false;  ///< OutcomeEvent::unitsViaOtherHosts is filled in
    double meterMs = 0;                      ///< period of OutcomeEvent::utilizationPct; 0: no meter
    int attemptCap = 1;                      ///< attempts per request, the first included
    bool mayCancel = false;
    bool mayRunAttemptsInParallel = false;  ///< a request may have two attempts in flight
    bool mayMessagePeers = false;
    bool mayProbe = false;
    bool nodeListOnRequest = false;  ///< the node list has to be asked for with SubscribeToNodeList
    double maxRetryAfterMs = 0;      ///< upper bound of RefuseRequest::retryAfterMs; 0: clients get no advice
};

enum class NodeState { serving, draining, gone };

/// One node of the node list.
struct NodeEntry {
    NodeId node = 0;
    int zone = 0;
    int shard = 0;  ///< the shard that the node holds
    NodeState state = NodeState::serving;
    double bootMs = 0;  ///< when the node started; 0: long ago
    double weight = 0;  ///< share of the shard's work relative to its other holders; 0: not known
};

enum class NodeListKind {
    update,       ///< the nodes that changed
    full,         ///< all nodes; those left out are gone
    restored,     ///< as `full`, but not the answer to a SubscribeToNodeList
    unavailable,  ///< the list could not be obtained; it has no entries
};
struct NodeListEvent {
    NodeListKind kind = NodeListKind::update;
    std::vector<NodeEntry> entries;
};
/// A client's request.
struct RequestEvent {
    RequestId id;
    int classNo = 0;  ///< index into Settings::classes
    int planNo = 0;   ///< index into Settings::plans
    std::string key;  ///< identifies the piece of data; empty: none
    std::string volume;
    double expiresMs = 0;  ///< the moment at which the client gives up
    double units = 1;      ///< expected work
    int shard = -1;        ///< -1: a new object, which any node may take
    int hostsOfVolume = 1;
};
/// The first part of a streamed answer has arrived; the request has no deadline from here on.
struct StreamStartedEvent {
    RequestId id;
    int attempt = 0;
};
enum class Outcome { done, error, rejected, timedOut, connectFailed, reset, cancelled, notSent };
/// The end of an attempt.
struct OutcomeEvent {
    RequestId id;
    int attempt = 0;  ///< number of the attempt within its request, from 0
    NodeId node = 0;
    Outcome outcome = Outcome::done;
    double durationMs = 0;
    bool requestFinished = false;  ///< the client has its final answer
    double utilizationPct = 0;     ///< measured utilization of the node; 0: none
    double unitsViaOtherHosts =
        0;  ///< units the node served for the volume via other hosts since last reported
};
/// The client no longer waits for its request.
struct RequestAbandonedEvent {
    RequestId id;
};
struct TimerFiredEvent {
    std::int64_t token = 0;  ///< of the SetTimer
};
/// The host shuts down. If the event is repeated, the earlier of each two moments applies.
struct ShutdownEvent {
    double firstAttemptUntilMs =
        0;  ///< no first attempt begins later; requests that arrive later are refused
    double furtherAttemptUntilMs = 0;  ///< no attempt begins, and no attempt's last byte is sent, after this
    double answerByMs = 0;             ///< every request has its final answer by then
};
struct ProbeResultEvent {
    NodeId node = 0;
    bool answered = false;
};
struct PeerMessageEvent {
    int sender = 0;  ///< number of the sending host
    std::string text;
};
using Event =
    std::variant<NodeListEvent, RequestEvent, StreamStartedEvent, OutcomeEvent, RequestAbandonedEvent,
                 TimerFiredEvent, ProbeResultEvent, PeerMessageEvent, ShutdownEvent>;

/// Send the request's next attempt to a node. Attempts of a request are numbered from 0.
struct SendAttempt {
    RequestId id;
    NodeId node = 0;
    double timeoutMs = 0;
    /// The last byte must be sent within this time, or the attempt must not be sent at all: a repeat that
    /// reaches the node later might be executed twice.
    double lastByteWithinMs = std::numeric_limits<double>::infinity();
};
struct CancelAttempt {
    RequestId id;
    int attempt = 0;
};
/// Final answer: the request was refused, and repeating it is harmless.
struct RefuseRequest {
    RequestId id;
    double retryAfterMs = 0;  ///< when the client should try again; 0: no advice
};
/// Final answer: the request failed and may have taken effect.
struct FailRequest {
    RequestId id;
};
/// Deliver a TimerFiredEvent with this token once the time has passed.
struct SetTimer {
    double afterMs = 0;
    std::int64_t token = 0;
};
struct SendPeerMessage {
    int peer = 0;      ///< number of the receiving host
    std::string text;  ///< at most 256 bytes
};
/// Ask for the node list and for its changes from now on.
struct SubscribeToNodeList {};
struct LogMessage {
    std::string text;
};
/// What the caller has to carry out.
using Action = std::variant<SendAttempt, CancelAttempt, RefuseRequest, FailRequest, SetTimer, SendPeerMessage,
                            SubscribeToNodeList, LogMessage>;

/// The state of a node as this instance sees it.
struct NodeStatus {
    NodeId node = 0;
    int shard = 0;
    NodeState state = NodeState::serving;
    bool receivesNewWork = false;  ///< new work of its shard goes to this node
    bool unresponsive = false;     ///< accepts work but does not answer
    double unitsPerSecond = 0;     ///< estimated capacity; 0: not yet known
};

class Scheduler {
public:
    /// Throws std::invalid_argument, naming the field, for settings out of range.
    Scheduler(Settings settings, std::uint64_t seed, double nowMs);
    ~Scheduler();
    Scheduler(Scheduler&&) noexcept;
    Scheduler& operator=(Scheduler&&) noexcept;

    /// Handles the events that arrived at `nowMs`, in order. Returns the actions to carry out at `nowMs`, in
    /// order.
    [[nodiscard]] std::vector<Action> handle(double nowMs, std::span<const Event> events);

    /// Replaces the settings. The numbers of classes must not change; open requests keep the class and the
    /// number of attempts that they were accepted with. Throws std::invalid_argument like the constructor,
    /// and then changes nothing.
    void updateSettings(Settings settings);

    /// Returns the learned state as text, for an instance that replaces this one under the same host number.
    /// Levels of the plans' limits move into the text: this instance continues with empty buckets, so that
    /// both instances together never exceed a limit.
    [[nodiscard]] std::string exportState(double nowMs);
    /// Continues with an exported state, as far as it concerns nodes that are listed here. Returns false and
    /// changes nothing if the text is incomplete, outdated or of another format.
    [[nodiscard]] bool importState(double nowMs, const std::string& text);

    /// Returns all listed nodes that are not gone, ordered by id.
    [[nodiscard]] std::vector<NodeStatus> nodeStatuses() const;

    /// Returns the number of entries in the internal tables.
    [[nodiscard]] std::size_t tableSize() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace limedrum
