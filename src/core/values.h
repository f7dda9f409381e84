// What the core deals in: requests, attempts, outcomes, answers. No wire is known here.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace martencove {

using NodeId = std::uint64_t;
using RequestId = std::string;

/// A client's request, as a front has decoded it. Times are in ms of the program's clock.
struct Request {
    RequestId id;
    int classNo = 0;
    int planNo = 0;
    std::string piece;
    std::string volume;
    double expiresMs = 0;
    double units = 1;
    int shard = -1;         ///< -1: a new object, any node may take it
    int hostsOfVolume = 1;  ///< schedulers through which the volume's requests come
};

/// What an attempt's time allows, in ms from when it is decided.
struct AttemptTimeouts {
    double timeoutMs = 0;  ///< for its answer
    /// For its last byte to leave: one that has not by then may not run any more, and never ran.
    double lastByteWithinMs = std::numeric_limits<double>::infinity();
};

/// One try of a request at a storage node; a request's attempts are numbered from 0.
struct Attempt {
    RequestId id;
    int number = 0;
    NodeId node = 0;
    AttemptTimeouts timeouts;
};
struct AttemptId {
    RequestId id;
    int number = 0;
};

/// `spoilt`: what came back was no answer to it; like an error, it shows a node that runs.
enum class AttemptStatus {
    served,
    error,
    rejected,
    timedOut,
    notConnected,
    connectionLost,
    cancelled,
    notSent,
    invalidReply
};
inline constexpr int kAttemptStatusCount = 9;

/// How an attempt ended.
struct AttemptOutcome {
    RequestId id;
    int attempt = 0;
    NodeId node = 0;
    AttemptStatus status = AttemptStatus::served;
    double durationMs = 0;
};

enum class AnswerStatus { served, refused, failed };

/// The one final answer to a request.
struct Answer {
    RequestId id;
    AnswerStatus status = AnswerStatus::failed;
    double retryAfterMs = 0;  ///< of a refusal: when to come back; 0: no advice
};

struct PeerMessage {
    int peer = 0;
    std::string text;
};

enum class NodeState { ready, draining, gone };

struct NodeEntry {
    NodeId id = 0;
    std::string name;
    std::string address;
    int zone = 0;
    int shard = 0;
    NodeState state = NodeState::ready;
    double bootTimeMs = 0;  ///< Unix time of its last start; 0: long ago
    double weight = 0;      ///< its part of the shard's work against other holders; 0: not told
};
/// What discovery told: a whole list or the entries that changed.
struct NodeList {
    std::int64_t version = 0;
    bool isSnapshot = false;
    std::vector<NodeEntry> nodes;
};

/// How the decisions see a node now.
struct NodeStatus {
    NodeEntry node;
    bool receivesNewWork = false;  ///< new work of its shard goes to it
    bool unresponsive = false;     ///< it takes work and answers nothing
    double unitsPerSecond = 0;     ///< units a second that it can do; 0: not learned
};

/// What is to be done now, at the time of the call that returned it.
struct Actions {
    std::vector<Answer> answers;
    std::vector<AttemptId> cancellations;
    std::vector<Attempt> attempts;
    std::vector<PeerMessage> peerMessages;
    std::vector<std::string> logMessages;  ///< for the log
};

}  // namespace martencove
