// Value types that the protocol fronts, the dispatcher and the scheduler facade exchange. They do not depend
// on any wire protocol.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace martencove {

using NodeId = std::uint64_t;
using RequestId = std::string;

/// A client's request as decoded by a front. Times are in ms of Clock.
struct Request {
    RequestId id;
    int classNo = 0;
    int planNo = 0;
    std::string piece;
    std::string volume;
    double expiresMs = 0;   ///< the client's deadline
    double units = 1;       ///< cost of the request
    int shard = -1;         ///< -1: a new object that any node may store
    int hostsOfVolume = 1;  ///< number of schedulers that receive requests for the volume
};

/// Time limits of an attempt, in ms from the decision to send it.
struct AttemptTimeouts {
    double timeoutMs = 0;  ///< until the answer must have arrived
    /// Until the last byte must have been sent. An attempt that misses this is dropped and has not been
    /// executed.
    double lastByteWithinMs = std::numeric_limits<double>::infinity();
};

/// An attempt to execute a request at a storage node. The attempts of a request are numbered from 0.
struct Attempt {
    RequestId id;
    int number = 0;
    NodeId node = 0;
    AttemptTimeouts timeouts;
};
/// Identifies an attempt by its request and its number.
struct AttemptId {
    RequestId id;
    int number = 0;
};

/// How an attempt ended.
enum class AttemptStatus {
    served,
    error,     ///< the node answered with an error
    rejected,  ///< the node declined the request without executing it
    timedOut,
    notConnected,  ///< no connection was made or no byte was sent: it was not executed
    connectionLost,
    cancelled,
    notSent,      ///< dropped before it reached the network
    invalidReply  ///< the reply does not match the request; like an error, it shows that the node runs
};
inline constexpr int kAttemptStatusCount = 9;

/// The end of an attempt, reported to the scheduler.
struct AttemptOutcome {
    RequestId id;
    int attempt = 0;
    NodeId node = 0;
    AttemptStatus status = AttemptStatus::served;
    double durationMs = 0;  ///< from the hand-over to the front
};

/// The result that the client of a request gets.
enum class AnswerStatus { served, refused, failed };

/// The final answer to a request. Each request gets at most one.
struct Answer {
    RequestId id;
    AnswerStatus status = AnswerStatus::failed;
    double retryAfterMs = 0;  ///< for refusals: when the client should retry; 0: no advice
};

/// A message from or to the scheduler of another host.
struct PeerMessage {
    int peer = 0;  ///< host number
    std::string text;
};

/// The state of a node in the list of nodes.
enum class NodeState { ready, draining, gone };

/// A storage node in the list of nodes.
struct NodeEntry {
    NodeId id = 0;
    std::string name;
    std::string address;
    int zone = 0;
    int shard = 0;
    NodeState state = NodeState::ready;
    double bootTimeMs = 0;  ///< Unix time of the last start; 0: long ago
    double weight = 0;      ///< share of the shard's work relative to its other holders; 0: not given
};

/// An update of the list of nodes from discovery.
struct NodeList {
    std::int64_t version = 0;
    bool isSnapshot = false;  ///< true: the complete list; false: only the entries that changed
    std::vector<NodeEntry> nodes;
};

/// The scheduler's current view of a node.
struct NodeStatus {
    NodeEntry node;
    bool receivesNewWork = false;  ///< gets new requests of its shard
    bool unresponsive = false;     ///< accepts requests but does not answer
    double unitsPerSecond = 0;     ///< estimated capacity; 0: not known yet
};

/// Actions that the caller has to execute at once, returned by the calls of SchedulerFacade.
struct Actions {
    std::vector<Answer> answers;
    std::vector<AttemptId> cancellations;
    std::vector<Attempt> attempts;
    std::vector<PeerMessage> peerMessages;
    std::vector<std::string> logMessages;
};

}  // namespace martencove
