// Wraps limedrum::Scheduler for the network code, which handles none of its event and action types.
#pragma once

#include <limedrum/scheduler.h>

#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>

#include "core/values.h"
#include "shutdown/schedule.h"

namespace martencove {

/// Translates calls into scheduler events and returns the resulting Actions. Returns at most one Answer for
/// each request, in whatever order outcomes, refusals and disconnects arrive. Not thread-safe. All times are
/// in ms of Clock.
class SchedulerFacade {
public:
    /// Starts with the nodes in `known`, which may be empty.
    SchedulerFacade(limedrum::Settings settings, std::uint64_t seed, double nowMs, const NodeList& known);

    /// Adds an accepted request. A request that is neither answered nor sent at once is queued; its actions
    /// are returned by a later call.
    [[nodiscard]] Actions addRequest(double nowMs, const Request& request);
    /// Handles the end of an attempt.
    [[nodiscard]] Actions handleEvent(double nowMs, const AttemptOutcome& outcome);
    /// Handles the disconnect of a request's client, which gets no answer any more.
    [[nodiscard]] Actions handleEvent(double nowMs, const RequestId& id);
    /// Handles an update of the list of nodes.
    [[nodiscard]] Actions handleEvent(double nowMs, const NodeList& list);
    /// Handles a message from another host.
    [[nodiscard]] Actions handleEvent(double nowMs, const PeerMessage& message);
    /// Shuts down by these points in time.
    [[nodiscard]] Actions handleEvent(double nowMs, const ShutdownSchedule& schedule);
    /// Replaces the settings. Open requests keep their classes and attempts. Throws std::invalid_argument and
    /// changes nothing if the settings are invalid.
    void updateSettings(limedrum::Settings settings) { scheduler_.updateSettings(std::move(settings)); }
    /// Returns the learned state for a successor process. Gives up this host's shares of the plans' limits.
    [[nodiscard]] std::string exportState(double nowMs) { return scheduler_.exportState(nowMs); }
    /// Continues with the state of a predecessor process. Returns false and changes nothing if the state is
    /// malformed or too old.
    [[nodiscard]] bool importState(double nowMs, const std::string& text) {
        return scheduler_.importState(nowMs, text);
    }
    /// Handles the timers that are due.
    [[nodiscard]] Actions tick(double nowMs);
    /// Returns when tick() is due next; infinity if no timer is set.
    [[nodiscard]] double nextTickMs() const;

    /// Returns the scheduler's view of the nodes. Of each NodeEntry only id, shard and state are set.
    [[nodiscard]] std::vector<NodeStatus> nodeStatuses() const;

    /// Returns whether the request is accepted and not answered yet.
    [[nodiscard]] bool isOpen(const RequestId& id) const { return openRequests_.contains(id); }
    [[nodiscard]] std::size_t openRequestCount() const { return openRequests_.size(); }

private:
    Actions runScheduler(double nowMs, limedrum::Event event);
    Actions toActions(double nowMs, const std::vector<limedrum::Action>& actions);

    limedrum::Scheduler scheduler_;
    std::unordered_map<RequestId, int> openRequests_;   // unanswered, with the next attempt number
    std::set<std::pair<double, std::int64_t>> timers_;  // due time in ms and the scheduler's token
};

}  // namespace martencove
