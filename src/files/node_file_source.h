// Takes the storage nodes from files that a deploy job writes. A separate thread watches, reads and checks
// the files. The event loop only takes over an immutable membership with its list of changes and passes the
// changes on in time slices, so that a large change does not stall the loop.
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
#include "files/file_watcher.h"
#include "membership/membership_manager.h"
#include "net/log.h"
#include "net/loop.h"

namespace martencove::files {

/// Settings of a node file source.
struct NodeFileConfig {
    std::vector<std::string> paths;  ///< files, or folders of *.textproto files
    std::string keptVersionPath;     ///< file for the last accepted version; empty: none is kept
    membership::MembershipRules rules;
    double pollIntervalMs = 1000;  ///< between checks for changes that sent no event
};

/// The state of the node files, for operators. The loop gets a copy of it from the thread.
struct NodeFileStatus {
    std::uint64_t version = 0;  ///< the version in force; 0: none yet
    double activatedAtMs = 0;   ///< Unix time at which it came into force
    std::size_t nodeCount = 0;
    std::size_t leavingCount = 0;
    bool fromKeptCopy = false;  ///< the version in force came from the kept copy, not from the files
    std::vector<std::string> refusalLines;  ///< why the newest content is not in force; empty if it is
    double refusedSinceMs = 0;              ///< Unix time since which `refusalLines` have stayed the same
    std::uint64_t acceptedCount = 0, refusedCount = 0, incompleteCount = 0, readCount = 0,
                  keepFailureCount = 0, overflowCount = 0;

    /// Returns the status as fields of a log line.
    [[nodiscard]] LogFields logFields(double nowMs) const;
    /// Returns the status as lines of text, with ages as of `nowMs`.
    [[nodiscard]] std::string toText(double nowMs) const;
};

/// A log message of the thread, which the loop writes to the log.
struct DeferredLogMessage {
    bool isWarning = false;
    std::string message;
    LogFields fields;
};

/// Watches, reads and checks the node files on its own thread. Independent of libevent. Thread-safe where the
/// loop calls it: takeUpdate(), status() and takeLogMessages().
class NodeFileMonitor {
public:
    /// A new version and how it differs from the one before.
    struct MembershipUpdate {
        membership::MembershipPtr membership;
        std::vector<membership::MemberChange> changes;  ///< relative to the update taken before
    };
    /// Reads the kept version and the files before it returns. `wakeLoop` is called, on the thread as well,
    /// when there is an update or a log message to take.
    NodeFileMonitor(NodeFileConfig config, const Clock& clock, const Limits& limits,
                    std::function<void()> wakeLoop);
    ~NodeFileMonitor();
    NodeFileMonitor(const NodeFileMonitor&) = delete;
    NodeFileMonitor& operator=(const NodeFileMonitor&) = delete;

    /// Starts the thread.
    void start();
    /// Returns the newest update since the last call, if any. The thread frees `retired`, the update that the
    /// caller has finished with: freeing 100,000 nodes would stall the loop.
    [[nodiscard]] std::optional<MembershipUpdate> takeUpdate(MembershipUpdate retired);
    [[nodiscard]] NodeFileStatus status() const;
    /// Returns the log messages since the last call; beyond a limit, messages are dropped.
    [[nodiscard]] std::vector<DeferredLogMessage> takeLogMessages();

private:
    void run();
    void readAndOffer(bool settled);
    void restoreKeptVersion();
    void publishUpdate();
    void saveKeptVersion();
    void addLogMessage(bool isWarning, std::string message, LogFields fields);

    NodeFileConfig config_;
    const Clock& clock_;
    const Limits& limits_;
    std::function<void()> wakeLoop_;
    int stopPipe_[2] = {-1, -1};  // closing its write end stops the thread

    // Used by the thread alone once the constructor has returned.
    membership::MembershipManager membershipManager_;
    FileWatcher watcher_;
    std::string lastFingerprint_;    // of the files, at the last read
    std::string lastLoggedRefusal_;  // so that the same refusal is logged once
    double incompleteSinceMs_ = 0;   // when incomplete content was first read; 0: none

    mutable std::mutex mutex_;  // guards the members up to logMessages_
    NodeFileStatus status_;
    std::optional<MembershipUpdate> pendingUpdate_;
    membership::MembershipPtr loopMembership_;  // which the loop took last
    std::vector<MembershipUpdate> retiredUpdates_;
    std::vector<DeferredLogMessage> logMessages_;

    std::thread thread_;
};

/// An eventfd with which the thread wakes the loop.
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

/// Passes the storage nodes in the node files on to the program. Runs on the event loop and owns the monitor.
class NodeFileSource {
public:
    NodeFileSource(event_base* base, NodeFileConfig config, const Clock& clock, const Limits& limits,
                   Counters& counters, Log& log);
    NodeFileSource(const NodeFileSource&) = delete;
    NodeFileSource& operator=(const NodeFileSource&) = delete;

    /// Returns the nodes in force at the start as a complete list; its version is 0 if there are none yet.
    [[nodiscard]] NodeList takeInitialNodes();
    /// Starts the monitor's thread. From now on calls `onNodes` with every batch of changes.
    void start(std::function<void(const NodeList&)> onNodes);

    [[nodiscard]] std::string statusText() const;
    [[nodiscard]] LogFields statusFields() const { return monitor_.status().logFields(clock_.nowMs()); }
    [[nodiscard]] bool isReady() const { return appliedVersion_ > 0; }
    /// The last version that was passed on completely; 0: none yet.
    [[nodiscard]] std::uint64_t appliedVersion() const { return appliedVersion_; }
    /// The longest time slice so far, in ms.
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
    std::size_t deliveredCount_ = 0;  // changes of currentUpdate_
    std::uint64_t appliedVersion_ = 0;
    NodeFileStatus countedStatus_;
    double longestSliceMs_ = 0;
};

}  // namespace martencove::files
