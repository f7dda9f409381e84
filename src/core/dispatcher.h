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
class Job {
public:
    virtual ~Job() = default;
    /// Starts an attempt. Its end must reach Dispatcher::over(), once, unless it is cancelled.
    virtual void send(const Attempt& attempt, const NodeEntry& node) = 0;
    /// Calls an attempt off: over() is not called for it any more.
    virtual void cancel(int attempt) = 0;
    /// Calls an attempt off if none of its bytes has left; true: nothing of it ever will, and over() is not
    /// called for it any more.
    virtual bool withdraw(int attempt) = 0;
    /// The final answer, once, unless the client is gone.
    virtual void answer(const Answer& answer) = 0;
};

/// What the dispatcher needs of the network.
struct DispatcherPorts {
    std::function<void(double ms)> wake;  ///< call Dispatcher::tick() in so many ms
    std::function<void(const PeerMessage&)> tell;
    std::function<void(const std::string&)> note;
};

class Dispatcher {
public:
    Dispatcher(Facade& facade, const Clock& clock, const Limits& limits, Counters& counters,
               DispatcherPorts ports, const NodeList& known);

    /// Takes a request over. False: it is not taken (its id is open, or too many are) and stays the front's.
    [[nodiscard]] bool take(const Request& request, std::shared_ptr<Job> job);
    /// An attempt ended, as its job learned it.
    void over(const RequestId& id, int attempt, Ending ending);
    /// The client is gone.
    void gone(const RequestId& id);
    void learn(const NodeList& list);
    void hear(const PeerMessage& message);
    void tick();
    /// The program shuts down by these moments, however long clients would wait. Called again where they get
    /// earlier.
    void shutDown(const ShutdownSchedule& moments);
    /// The program ends: lets go of what is still held, before the parts that jobs stand on.
    void letGo() { held_.clear(); }

    /// The nodes as the decisions see them, with their names and addresses.
    [[nodiscard]] std::vector<NodeView> view() const;

    [[nodiscard]] std::size_t knownNodes() const { return nodes_.size(); }
    [[nodiscard]] std::size_t open() const { return facade_.openRequests(); }
    [[nodiscard]] double nowMs() const { return clock_.nowMs(); }
    Counters& counters() { return counters_; }

private:
    struct Out {
        NodeId node = 0;
        double sentMs = 0;
    };
    struct Held {
        std::shared_ptr<Job> job;
        int planNo = 0;
        double units = 0;
        std::unordered_map<int, Out> out;
    };
    void carryOut(Todo todo);
    void carryOut(const Attempt& attempt);
    void release(const RequestId& id);
    void countUnits(const char* what, const Held& held);
    void remember(const NodeList& list);
    /// Takes back what was decided for nodes that leave and has not begun to go out.
    void withdrawFrom(const NodeList& list);

    Facade& facade_;
    const Clock& clock_;
    const Limits& limits_;
    Counters& counters_;
    DispatcherPorts ports_;
    std::unordered_map<RequestId, Held> held_;  // open, or with attempts out
    std::unordered_map<NodeId, NodeEntry> nodes_;
    std::deque<Todo> todos_;
    bool busy_ = false;
};

}  // namespace martencove
