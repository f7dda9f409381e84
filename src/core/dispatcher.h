// Connects the protocol fronts to the scheduler: passes requests and events to SchedulerFacade and executes
// the actions that it returns. A front provides a RequestHandler for each request, which sends attempts and
// the answer in the protocol of the front.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

#include "core/clock.h"
#include "core/counters.h"
#include "core/facade.h"
#include "core/limits.h"

namespace martencove {

/// Front-specific part of a request. Called by the dispatcher only.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;
    /// Starts an attempt. Unless it is cancelled, the handler must report its end to
    /// Dispatcher::attemptEnded() exactly once.
    virtual void sendAttempt(const Attempt& attempt, const NodeEntry& node) = 0;
    /// Cancels an attempt. The handler must not report its end any more.
    virtual void cancelAttempt(int attempt) = 0;
    /// Cancels an attempt if none of its bytes was sent yet. Returns whether it was cancelled: then nothing
    /// of it will be sent, and the handler must not report its end any more.
    virtual bool cancelIfUnsent(int attempt) = 0;
    /// Sends the final answer to the client. Called at most once, and not after the client disconnected.
    virtual void sendAnswer(const Answer& answer) = 0;
};

/// Functions of the event loop and the network that the dispatcher calls.
struct DispatcherCallbacks {
    std::function<void(double ms)> scheduleTick;  ///< calls Dispatcher::tick() after `ms`
    std::function<void(const PeerMessage&)> sendToPeer;
    std::function<void(const std::string&)> writeLog;
};

/// Owns the open requests and executes the scheduler's actions for them. Not thread-safe: all calls come from
/// the event loop.
class Dispatcher {
public:
    /// Starts with the nodes in `known`, which may be empty.
    Dispatcher(SchedulerFacade& facade, const Clock& clock, const Limits& limits, Counters& counters,
               DispatcherCallbacks callbacks, const NodeList& known);

    /// Accepts a request and holds its handler until the request is finished. Returns false, and does not
    /// accept it, if a request with the same id is still active or Limits::maxOpenRequests are open.
    [[nodiscard]] bool submit(const Request& request, std::shared_ptr<RequestHandler> handler);
    /// Reports the end of an attempt. Called by handlers; ignored for attempts that are not in flight.
    void attemptEnded(const RequestId& id, int attempt, AttemptStatus status);
    /// Reports that the client of a request disconnected. Ignored once the request is answered.
    void clientDisconnected(const RequestId& id);
    /// Applies an update of the list of nodes and cancels unsent attempts at nodes that leave.
    void updateNodes(const NodeList& list);
    void receivePeerMessage(const PeerMessage& message);
    /// Handles the timers that are due.
    void tick();
    /// Shuts down by these points in time, whatever the deadlines of the requests. May be called again with
    /// earlier ones.
    void shutDown(const ShutdownSchedule& schedule);
    /// Releases all handlers at exit. Must be called before the objects that handlers use are destroyed.
    void releaseRequests() { activeRequests_.clear(); }

    /// Returns the scheduler's view of the nodes, with names and addresses.
    [[nodiscard]] std::vector<NodeStatus> nodeStatuses() const;

    [[nodiscard]] std::size_t knownNodeCount() const { return nodes_.size(); }
    [[nodiscard]] std::size_t openRequestCount() const { return facade_.openRequestCount(); }
    [[nodiscard]] double nowMs() const { return clock_.nowMs(); }
    Counters& counters() { return counters_; }

private:
    struct SentAttempt {
        NodeId node = 0;
        double sentMs = 0;
    };
    struct ActiveRequest {
        std::shared_ptr<RequestHandler> handler;
        int planNo = 0;
        double units = 0;
        std::unordered_map<int, SentAttempt> attemptsInFlight;
    };
    void execute(Actions actions);
    void execute(const Attempt& attempt);
    void eraseIfFinished(const RequestId& id);
    void countUnits(const char* counterPrefix, const ActiveRequest& request);
    void storeNodes(const NodeList& list);
    void cancelUnsentAttempts(const NodeList& list);

    SchedulerFacade& facade_;
    const Clock& clock_;
    const Limits& limits_;
    Counters& counters_;
    DispatcherCallbacks callbacks_;
    std::unordered_map<RequestId, ActiveRequest> activeRequests_;  // unanswered or with attempts in flight
    std::unordered_map<NodeId, NodeEntry> nodes_;
    std::deque<Actions> pendingActions_;
    bool executing_ = false;
};

}  // namespace martencove
