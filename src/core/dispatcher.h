// Connects the client-facing servers (fronts: HTTP, NBD) to the scheduler: passes requests and events to
// SchedulerFacade and executes the actions that it returns. A front provides a RequestHandler for each
// request, which sends attempts and the answer in the protocol of the front.
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

/// Front-specific part of a request. Called by the dispatcher, except that a front may itself call
/// sendAnswer() for a request that submit() did not accept.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;
    /// Starts an attempt. The handler must report the attempt's end to Dispatcher::attemptEnded() exactly
    /// once, unless the attempt is cancelled. It may do so from within this call.
    virtual void sendAttempt(const Attempt& attempt, const NodeEntry& node) = 0;
    /// Cancels an attempt. The handler must not report its end any more.
    virtual void cancelAttempt(int attempt) = 0;
    /// Cancels an attempt, as cancelAttempt() does, and returns true if no byte of it was sent. Otherwise
    /// does nothing and returns false.
    virtual bool cancelIfUnsent(int attempt) = 0;
    /// Sends the final answer to the client. Called at most once. Must do nothing if the client has
    /// disconnected.
    virtual void sendAnswer(const Answer& answer) = 0;
};

/// Functions of the event loop and the network that the dispatcher calls.
struct DispatcherCallbacks {
    /// Calls Dispatcher::tick() after `ms`, instead of at the time scheduled before.
    std::function<void(double ms)> scheduleTick;
    std::function<void(const PeerMessage&)> sendToPeer;
    std::function<void(const std::string&)> writeLog;
};

/// Owns the active requests and executes the scheduler's actions for them. A request is open until it is
/// answered, active while it is open or has attempts in flight, and finished after that. Not thread-safe: all
/// calls come from the event loop.
class Dispatcher {
public:
    /// `known`: the nodes that are known at the start; may be empty.
    Dispatcher(SchedulerFacade& facade, const Clock& clock, const Limits& limits, Counters& counters,
               DispatcherCallbacks callbacks, const NodeList& known);

    /// Accepts a request and holds its handler until the request is finished. Returns false, and does not
    /// accept it, if a request with the same id is still active or Limits::maxOpenRequests are open.
    [[nodiscard]] bool submit(const Request& request, std::shared_ptr<RequestHandler> handler);
    /// Reports the end of an attempt. Ignored for attempts that are not in flight.
    void attemptEnded(const RequestId& id, int attempt, AttemptStatus status);
    /// Reports that the client of a request disconnected. Ignored once the request is answered.
    void clientDisconnected(const RequestId& id);
    /// Applies an update of the list of nodes and cancels unsent attempts at nodes that are no
    /// longer ready.
    void updateNodes(const NodeList& list);
    /// Passes a message from the scheduler of another host to this host's scheduler.
    void receivePeerMessage(const PeerMessage& message);
    /// Runs the scheduler's due timers. To be called at the times that scheduleTick asks for.
    void tick();
    /// Tells the scheduler the latest times for first attempts, further attempts and answers, whatever the
    /// deadlines of the requests. Returns at once. A repeated call can only move the times earlier.
    void shutDown(const ShutdownSchedule& schedule);
    /// Destroys all handlers at exit, without answers or cancellations. Must be called before the objects
    /// that handlers use are destroyed.
    void releaseRequests() { activeRequests_.clear(); }

    /// Returns the scheduler's view of the nodes, with names and addresses.
    [[nodiscard]] std::vector<NodeStatus> nodeStatuses() const;

    /// Returns the number of ready and draining nodes, at most Limits::maxNodes.
    [[nodiscard]] std::size_t knownNodeCount() const { return nodes_.size(); }
    [[nodiscard]] std::size_t openRequestCount() const { return facade_.openRequestCount(); }
    [[nodiscard]] double nowMs() const { return clock_.nowMs(); }
    Counters& counters() { return counters_; }

private:
    /// An attempt passed to its handler, or about to be.
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
    /// Executes a set of actions. During another execute(), queues it in pendingActions_ instead.
    void execute(Actions actions);
    /// Starts one attempt, or ends it at once if it must not be sent any more.
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
    std::deque<Actions> pendingActions_;  // to be executed after the present set
    bool executing_ = false;              // execute() is running
};

}  // namespace martencove
