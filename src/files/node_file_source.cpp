#include "files/node_file_source.h"

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
NodeId nodeIdFromName(const std::string& name) { return XXH64(name.data(), name.size(), 0); }

NodeEntry toNodeEntry(const membership::MemberChange& change) {
    const membership::Member& member = change.member;
    NodeEntry entry;
    entry.id = nodeIdFromName(member.name);
    entry.name = member.name;
    entry.address = member.address;
    entry.shard = member.shard;
    entry.weight = member.weight > 0 ? member.weight : 1;  // weight 0 is expressed as draining below
    entry.bootTimeMs = member.bootTimeMs;
    const bool isDraining = change.targetState == membership::TargetState::draining || member.weight <= 0;
    entry.state = change.targetState == membership::TargetState::gone ? NodeState::gone
                  : isDraining                                        ? NodeState::draining
                                                                      : NodeState::ready;
    return entry;
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
    NodeList list{0, true, {}};
    if (auto update = monitor_.takeUpdate({})) {
        currentUpdate_ = std::move(*update);
        for (const membership::MemberChange& change : currentUpdate_.changes)
            list.nodes.push_back(toNodeEntry(change));
        deliveredCount_ = currentUpdate_.changes.size();
        appliedVersion_ = currentUpdate_.membership->version;
        list.version = static_cast<std::int64_t>(appliedVersion_);
    }
    return list;
}

void NodeFileSource::start(std::function<void(const NodeList&)> onNodes) {
    onNodes_ = std::move(onNodes);
    event_add(wakeEvent_.get(), nullptr);
    onMonitorWake();
    monitor_.start();
}

void NodeFileSource::onMonitorWake() {
    for (const DeferredLogMessage& logMessage : monitor_.takeLogMessages())
        logMessage.isWarning ? log_.warn("nodes", logMessage.message, logMessage.fields)
                             : log_.info("nodes", logMessage.message, logMessage.fields);
    updateCounters();
    deliverSlice();
}

// Passes changes on in batches until the time slice is used up. All changes of a shard go into one batch, up
// to twice the batch size, so that every decision sees a shard as one version defines it.
void NodeFileSource::deliverSlice() {
    if (deliveredCount_ >= currentUpdate_.changes.size()) {
        auto update = monitor_.takeUpdate(std::move(currentUpdate_));
        currentUpdate_ = {};
        if (!update) return;
        currentUpdate_ = std::move(*update);
        deliveredCount_ = 0;
    }
    const double startMs = clock_.nowMs();
    while (deliveredCount_ < currentUpdate_.changes.size() &&
           clock_.nowMs() - startMs < limits_.nodeChangeTimeSliceMs) {
        NodeList list{static_cast<std::int64_t>(currentUpdate_.membership->version), false, {}};
        const std::size_t batchEnd =
            std::min(currentUpdate_.changes.size(), deliveredCount_ + limits_.nodeChangesPerBatch);
        const auto shardOfChange = [&](std::size_t index) {
            return currentUpdate_.changes[index].member.shard;
        };
        while (deliveredCount_ < batchEnd ||
               (deliveredCount_ < currentUpdate_.changes.size() &&
                deliveredCount_ < batchEnd + limits_.nodeChangesPerBatch &&
                shardOfChange(deliveredCount_) == shardOfChange(deliveredCount_ - 1)))
            list.nodes.push_back(toNodeEntry(currentUpdate_.changes[deliveredCount_++]));
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
    const NodeFileStatus status = monitor_.status();
    const auto addIncrease = [&](const char* name, std::uint64_t NodeFileStatus::*field) {
        if (status.*field > countedStatus_.*field) counters_.add(name, status.*field - countedStatus_.*field);
    };
    addIncrease("files_accepted", &NodeFileStatus::acceptedCount);
    addIncrease("files_refused", &NodeFileStatus::refusedCount);
    addIncrease("files_incomplete", &NodeFileStatus::incompleteCount);
    addIncrease("files_read", &NodeFileStatus::readCount);
    addIncrease("files_not_kept", &NodeFileStatus::keepFailureCount);
    addIncrease("files_overflow", &NodeFileStatus::overflowCount);
    countedStatus_ = status;
}

std::string NodeFileSource::statusText() const { return monitor_.status().toText(clock_.nowMs()); }

}  // namespace martencove::files
