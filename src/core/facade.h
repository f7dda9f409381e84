// The decisions in plain calls: each says what happened and returns what to do now. Network code never sees
// the module's events or actions. The facade owns each request's end: whatever races, one Answer comes out.
#pragma once

#include <limedrum/scheduler.h>

#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>

#include "core/values.h"
#include "shutdown/schedule.h"

namespace martencove {

class SchedulerFacade {
public:
    SchedulerFacade(limedrum::Settings settings, std::uint64_t seed, double nowMs, const NodeList& known);

    /// A request was taken. What is not answered or sent at once is held: it comes out of a later call.
    [[nodiscard]] Actions addRequest(double nowMs, const Request& request);
    /// An attempt ended.
    [[nodiscard]] Actions handleEvent(double nowMs, const AttemptOutcome& outcome);
    /// The client of a request is gone: it gets no answer any more.
    [[nodiscard]] Actions handleEvent(double nowMs, const RequestId& gone);
    /// Discovery told something.
    [[nodiscard]] Actions handleEvent(double nowMs, const NodeList& list);
    /// A peer said something.
    [[nodiscard]] Actions handleEvent(double nowMs, const PeerMessage& message);
    /// The program shuts down by these moments.
    [[nodiscard]] Actions handleEvent(double nowMs, const ShutdownSchedule& moments);
    /// The settings are others from now on; requests keep the classes and attempts that they were taken with.
    /// Throws std::invalid_argument, and nothing has changed.
    void updateSettings(limedrum::Settings settings) { scheduler_.updateSettings(std::move(settings)); }
    /// What was learned, for a process that follows this one; parts of limits are no longer here.
    [[nodiscard]] std::string exportState(double nowMs) { return scheduler_.exportState(nowMs); }
    /// Goes on with it. False: it cannot be read whole, or is too old, and nothing has changed.
    [[nodiscard]] bool importState(double nowMs, const std::string& text) {
        return scheduler_.importState(nowMs, text);
    }
    /// Time has passed.
    [[nodiscard]] Actions tick(double nowMs);
    /// When tick() is due next.
    [[nodiscard]] double nextTickMs() const;

    /// The nodes as the decisions see them; of each entry its id, shard and state are filled in.
    [[nodiscard]] std::vector<NodeStatus> nodeStatuses() const;

    [[nodiscard]] bool isOpen(const RequestId& id) const { return openRequests_.contains(id); }
    [[nodiscard]] std::size_t openRequestCount() const { return openRequests_.size(); }

private:
    Actions runScheduler(double nowMs, limedrum::Event event);
    Actions toActions(double nowMs, const std::vector<limedrum::Action>& actions);

    limedrum::Scheduler scheduler_;
    std::unordered_map<RequestId, int> openRequests_;  // taken and not answered, with the attempts so far
    std::set<std::pair<double, std::int64_t>> timers_;
};

}  // namespace martencove
