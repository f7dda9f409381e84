#include "files/source.h"

#include <sys/eventfd.h>
#include <unistd.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <stdexcept>

namespace martencove::files {
namespace {

// Gives a name the same id in every instance of the program. The id has 64 bits because among 100,000 names
// two are likely to share a 32-bit hash.
NodeId idOf(const std::string& name) { return XXH64(name.data(), name.size(), 0); }

NodeEntry entryOf(const membership::MemberChange& change) {
    const membership::Member& m = change.member;
    NodeEntry out;
    out.id = idOf(m.name);
    out.name = m.name;
    out.address = m.address;
    out.shard = m.shard;
    out.weight = m.weight > 0 ? m.weight : 1;  // weight 0 is expressed as draining below
    out.bootTimeMs = m.bootTimeMs;
    const bool nothing = change.targetState == membership::TargetState::draining || m.weight <= 0;
    out.state = change.targetState == membership::TargetState::gone ? NodeState::gone
                : nothing                                           ? NodeState::draining
                                                                    : NodeState::ready;
    return out;
}

}  // namespace

EventFd::EventFd() : fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
    if (fd_ < 0) throw std::runtime_error("cannot create the eventfd of the node file monitor");
}
EventFd::~EventFd() { close(fd_); }
void EventFd::notify() const {
    const std::uint64_t one = 1;
    (void)!write(fd_, &one, sizeof one);  // fails only if the loop is already due to wake
}
void EventFd::clear() const {
    std::uint64_t count = 0;
    (void)!read(fd_, &count, sizeof count);
}

NodeFileSource::NodeFileSource(event_base* base, NodeFileConfig config, const Clock& clock,
                               const Limits& limits, Counters& counters, Log& log)
    : clock_(clock),
      limits_(limits),
      counters_(counters),
      log_(log),
      monitor_(std::move(config), clock, limits, [this] { wakeFd_.notify(); }),
      wakeEvent_(event_new(
          base, wakeFd_.fd(), EV_READ | EV_PERSIST,
          [](evutil_socket_t, short, void* arg) {
              auto* self = static_cast<NodeFileSource*>(arg);
              self->wakeFd_.clear();
              self->onMonitorWake();
          },
          this)),
      nextSliceTimer_(base, [this] { deliverSlice(); }) {}

NodeList NodeFileSource::takeInitialNodes() {
    NodeList out{0, true, {}};
    if (auto handed = monitor_.takeUpdate({})) {
        currentUpdate_ = std::move(*handed);
        for (const membership::MemberChange& change : currentUpdate_.changes)
            out.nodes.push_back(entryOf(change));
        deliveredCount_ = currentUpdate_.changes.size();
        appliedVersion_ = currentUpdate_.membership->version;
        out.version = static_cast<std::int64_t>(appliedVersion_);
    }
    return out;
}

void NodeFileSource::start(std::function<void(const NodeList&)> told) {
    onNodes_ = std::move(told);
    event_add(wakeEvent_.get(), nullptr);
    onMonitorWake();
    monitor_.start();
}

void NodeFileSource::onMonitorWake() {
    for (const DeferredLogMessage& note : monitor_.takeLogMessages())
        note.isWarning ? log_.warn("nodes", note.message, note.fields)
                       : log_.info("nodes", note.message, note.fields);
    updateCounters();
    deliverSlice();
}

// Passes changes on in batches until the time slice is used up. All changes of a shard go into one batch, up
// to twice the batch size, so that every decision sees a shard as one version defines it.
void NodeFileSource::deliverSlice() {
    if (deliveredCount_ >= currentUpdate_.changes.size()) {
        auto handed = monitor_.takeUpdate(std::move(currentUpdate_));
        currentUpdate_ = {};
        if (!handed) return;
        currentUpdate_ = std::move(*handed);
        deliveredCount_ = 0;
    }
    const double startMs = clock_.nowMs();
    while (deliveredCount_ < currentUpdate_.changes.size() &&
           clock_.nowMs() - startMs < limits_.nodeChangeTimeSliceMs) {
        NodeList list{static_cast<std::int64_t>(currentUpdate_.membership->version), false, {}};
        const std::size_t most =
            std::min(currentUpdate_.changes.size(), deliveredCount_ + limits_.nodeChangesPerBatch);
        const auto shard = [&](std::size_t i) { return currentUpdate_.changes[i].member.shard; };
        while (deliveredCount_ < most || (deliveredCount_ < currentUpdate_.changes.size() &&
                                          deliveredCount_ < most + limits_.nodeChangesPerBatch &&
                                          shard(deliveredCount_) == shard(deliveredCount_ - 1)))
            list.nodes.push_back(entryOf(currentUpdate_.changes[deliveredCount_++]));
        onNodes_(list);
    }
    longestSliceMs_ = std::max(longestSliceMs_, clock_.nowMs() - startMs);
    if (deliveredCount_ < currentUpdate_.changes.size()) return nextSliceTimer_.start(0);
    if (currentUpdate_.membership->version != appliedVersion_) {
        appliedVersion_ = currentUpdate_.membership->version;
        log_.info("nodes", "in force",
                  {{"version", appliedVersion_},
                   {"nodes", currentUpdate_.membership->members.size()},
                   {"changed", currentUpdate_.changes.size()}});
    }
    nextSliceTimer_.start(0);  // a newer update may be pending
}

void NodeFileSource::updateCounters() {
    const NodeFileStatus now = monitor_.status();
    const auto count = [&](const char* name, std::uint64_t NodeFileStatus::*field) {
        if (now.*field > countedStatus_.*field) counters_.add(name, now.*field - countedStatus_.*field);
    };
    count("files_accepted", &NodeFileStatus::acceptedCount);
    count("files_refused", &NodeFileStatus::refusedCount);
    count("files_incomplete", &NodeFileStatus::incompleteCount);
    count("files_read", &NodeFileStatus::readCount);
    count("files_not_kept", &NodeFileStatus::keepFailureCount);
    count("files_overflow", &NodeFileStatus::overflowCount);
    countedStatus_ = now;
}

std::string NodeFileSource::statusText() const { return monitor_.status().toText(clock_.nowMs()); }

}  // namespace martencove::files
