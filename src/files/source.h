// Storage nodes from files that a deploy job writes. A thread of its own watches, reads and judges; the loop
// only takes one immutable membership and what has changed, and tells it on in slices that keep it from
// stalling.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "core/clock.h"
#include "core/counters.h"
#include "core/limits.h"
#include "core/values.h"
#include "files/watch.h"
#include "membership/membership_manager.h"
#include "net/log.h"
#include "net/loop.h"

namespace martencove::files {

struct NodeFileConfig {
    std::vector<std::string> paths;  ///< files, or folders of *.textproto files
    std::string keptVersionPath;     ///< the last good version's file; empty: none
    membership::MembershipRules rules;
    double pollIntervalMs = 1000;  ///< between looks where no event tells of a change
};

/// How things stand, for people. Handed from the thread to the loop whole.
struct NodeFileStatus {
    std::uint64_t version = 0;  ///< in force; 0: none yet
    double activatedAtMs = 0;   ///< Unix time at which it came into force
    std::size_t nodeCount = 0;
    std::size_t leavingCount = 0;
    bool fromKeptCopy = false;  ///< it came from the last good version on disk, not from the files
    std::vector<std::string>
        refusalLines;  ///< of the newest content, where it is not in force; first line first
    double refusedSinceMs = 0;
    std::uint64_t acceptedCount = 0, refusedCount = 0, incompleteCount = 0, readCount = 0,
                  keepFailureCount = 0, overflowCount = 0;

    /// The same for the log.
    [[nodiscard]] LogFields logFields(double nowMs) const;
    /// Lines of text, with ages as of `nowMs`.
    [[nodiscard]] std::string toText(double nowMs) const;
};

/// A line for the log, from the thread.
struct DeferredLogMessage {
    bool isWarning = false;
    std::string message;
    LogFields fields;
};

/// The thread's half: no libevent in it.
class NodeFileMonitor {
public:
    struct MembershipUpdate {
        membership::MembershipPtr membership;
        std::vector<membership::MemberChange> changes;  ///< from the one handed over before
    };
    /// Reads what is there now, and the kept version, before it returns. `wake` is called from the thread.
    NodeFileMonitor(NodeFileConfig config, const Clock& clock, const Limits& limits,
                    std::function<void()> wake);
    ~NodeFileMonitor();
    NodeFileMonitor(const NodeFileMonitor&) = delete;
    NodeFileMonitor& operator=(const NodeFileMonitor&) = delete;

    /// Starts the thread.
    void start();
    /// What is new since the last call; `spent` goes back to be freed off the loop.
    [[nodiscard]] std::optional<MembershipUpdate> takeUpdate(MembershipUpdate spent);
    [[nodiscard]] NodeFileStatus status() const;
    /// Lines for the log since the last call, bounded.
    [[nodiscard]] std::vector<DeferredLogMessage> takeLogMessages();

private:
    void run();
    void readAndOffer(bool settled);
    void restoreKeptVersion();
    void publishUpdate();
    void saveKeptVersion();
    void addLogMessage(bool warn, std::string message, LogFields fields);

    NodeFileConfig config_;
    const Clock& clock_;
    const Limits& limits_;
    std::function<void()> wakeLoop_;
    int stopPipe_[2] = {-1, -1};  // a pipe: its end tells the thread to end

    // The thread's own, after the constructor.
    membership::MembershipManager membershipManager_;
    FileWatcher watcher_;
    std::string lastFingerprint_;    // fingerprint at the last read
    std::string lastLoggedRefusal_;  // told last, so that a refusal is told once
    double incompleteSinceMs_ = 0;   // when content that is not whole was first met; 0: none

    mutable std::mutex mutex_;  // guards what follows
    NodeFileStatus status_;
    std::optional<MembershipUpdate> pendingUpdate_;
    membership::MembershipPtr loopMembership_;  // by the loop
    std::vector<MembershipUpdate> retiredUpdates_;
    std::vector<DeferredLogMessage> logMessages_;

    std::thread thread_;
};

/// An eventfd by which the thread wakes the loop.
class EventFd {
public:
    EventFd();
    ~EventFd();
    EventFd(const EventFd&) = delete;
    EventFd& operator=(const EventFd&) = delete;
    [[nodiscard]] int fd() const { return fd_; }
    void notify() const;
    void clear() const;

private:
    int fd_;
};

/// The loop's half.
class NodeFileSource {
public:
    NodeFileSource(event_base* base, NodeFileConfig config, const Clock& clock, const Limits& limits,
                   Counters& counters, Log& log);
    NodeFileSource(const NodeFileSource&) = delete;
    NodeFileSource& operator=(const NodeFileSource&) = delete;

    /// What is in force at the start, for the program to begin with: a whole list.
    [[nodiscard]] NodeList takeInitialNodes();
    /// From now on changes are told.
    void start(std::function<void(const NodeList&)> told);

    [[nodiscard]] std::string statusText() const;
    [[nodiscard]] LogFields statusFields() const { return monitor_.status().logFields(clock_.nowMs()); }
    [[nodiscard]] bool ready() const { return appliedVersion_ > 0; }
    /// The version that has been told whole; 0: none yet.
    [[nodiscard]] std::uint64_t appliedVersion() const { return appliedVersion_; }
    /// The longest that telling has kept the loop at once, in ms.
    [[nodiscard]] double longestSliceMs() const { return longestSliceMs_; }

private:
    void onMonitorWake();
    void deliverSlice();
    void updateCounters();

    const Clock& clock_;
    const Limits& limits_;
    Counters& counters_;
    Log& log_;
    std::function<void(const NodeList&)> onNodes_;
    EventFd wakeFd_;
    NodeFileMonitor monitor_;
    LibeventPtr<event> wakeEvent_;
    Timer nextSliceTimer_;
    NodeFileMonitor::MembershipUpdate currentUpdate_;
    std::size_t deliveredCount_ = 0;  // of its changes
    std::uint64_t appliedVersion_ = 0;
    NodeFileStatus countedStatus_;
    double longestSliceMs_ = 0;
};

}  // namespace martencove::files
