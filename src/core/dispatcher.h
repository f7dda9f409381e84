// Where fronts bring requests and the facade's word is carried out. A front stands behind each request as a
// Job: it knows how to send an attempt on its wire and how to answer its client. The dispatcher knows
// neither.
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

/// A request as its front holds it. Called by the dispatcher alone.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;
    /// Starts an attempt. Its end must reach Dispatcher::over(), once, unless it is cancelled.
    virtual void sendAttempt(const Attempt& attempt, const NodeEntry& node) = 0;
    /// Calls an attempt off: over() is not called for it any more.
    virtual void cancelAttempt(int attempt) = 0;
    /// Calls an attempt off if none of its bytes has left; true: nothing of it ever will, and over() is not
    /// called for it any more.
    virtual bool cancelIfUnsent(int attempt) = 0;
    /// The final answer, once, unless the client is gone.
    virtual void sendAnswer(const Answer& answer) = 0;
};

/// What the dispatcher needs of the network.
struct DispatcherCallbacks {
    std::function<void(double ms)> scheduleTick;  ///< call Dispatcher::tick() in so many ms
    std::function<void(const PeerMessage&)> sendToPeer;
    std::function<void(const std::string&)> writeLog;
};

class Dispatcher {
public:
    Dispatcher(SchedulerFacade& facade, const Clock& clock, const Limits& limits, Counters& counters,
               DispatcherCallbacks ports, const NodeList& known);

    /// Takes a request over. False: it is not taken (its id is open, or too many are) and stays the front's.
    [[nodiscard]] bool submit(const Request& request, std::shared_ptr<RequestHandler> job);
    /// An attempt ended, as its job learned it.
    void attemptEnded(const RequestId& id, int attempt, AttemptStatus ending);
    /// The client is gone.
    void clientDisconnected(const RequestId& id);
    void updateNodes(const NodeList& list);
    void receivePeerMessage(const PeerMessage& message);
    void tick();
    /// The program shuts down by these moments, however long clients would wait. Called again where they get
    /// earlier.
    void shutDown(const ShutdownSchedule& moments);
    /// The program ends: lets go of what is still held, before the parts that jobs stand on.
    void releaseRequests() { activeRequests_.clear(); }

    /// The nodes as the decisions see them, with their names and addresses.
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
    void execute(Actions todo);
    void execute(const Attempt& attempt);
    void eraseIfFinished(const RequestId& id);
    void countUnits(const char* what, const ActiveRequest& held);
    void storeNodes(const NodeList& list);
    /// Takes back what was decided for nodes that leave and has not begun to go out.
    void cancelUnsentAttempts(const NodeList& list);

    SchedulerFacade& facade_;
    const Clock& clock_;
    const Limits& limits_;
    Counters& counters_;
    DispatcherCallbacks callbacks_;
    std::unordered_map<RequestId, ActiveRequest> activeRequests_;  // open, or with attempts out
    std::unordered_map<NodeId, NodeEntry> nodes_;
    std::deque<Actions> pendingActions_;
    bool executing_ = false;
};

}  // namespace martencove
