#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <stdexcept>
#include <utility>

#include "files/file_io.h"
#include "files/node_file.h"
#include "files/node_file_source.h"

namespace martencove::files {
namespace {

using membership::OfferOutcome;

std::string formatSeconds(double ms) {
    char text[32];
    std::snprintf(text, sizeof text, "%.1f s", std::max(ms, 0.0) / 1000);
    return text;
}

}  // namespace

std::string NodeFileStatus::toText(double nowMs) const {
    std::string text;
    if (version == 0)
        text = "no version in force\n";
    else
        text = "version " + std::to_string(version) + " in force for " +
               formatSeconds(nowMs - activatedAtMs) + (fromKeptCopy ? ", from the kept copy" : "") + ": " +
               std::to_string(nodeCount) + " nodes, " + std::to_string(leavingCount) + " leaving\n";
    if (!refusalLines.empty()) {
        text += "newest content not taken for " + formatSeconds(nowMs - refusedSinceMs) + ":\n";
        for (const std::string& line : refusalLines) text += "  " + line + '\n';
    }
    return text;
}

LogFields NodeFileStatus::logFields(double nowMs) const {
    LogFields fields{{"version", version},
                     {"age_s", std::llround((nowMs - activatedAtMs) / 1000)},
                     {"nodes", nodeCount},
                     {"leaving", leavingCount},
                     {"kept_copy", fromKeptCopy ? 1 : 0}};
    if (refusalLines.empty()) return fields;
    fields.emplace_back("refused_for_s", std::llround((nowMs - refusedSinceMs) / 1000));
    fields.emplace_back("refusal", refusalLines.front());
    return fields;
}

NodeFileMonitor::NodeFileMonitor(NodeFileConfig config, const Clock& clock, const Limits& limits,
                                 std::function<void()> wakeLoop)
    : config_(std::move(config)),
      clock_(clock),
      limits_(limits),
      wakeLoop_(std::move(wakeLoop)),
      membershipManager_(config_.rules),
      watcher_(config_.paths) {
    if (pipe2(stopPipe_, O_CLOEXEC | O_NONBLOCK) != 0)
        throw std::runtime_error("cannot create the stop pipe of the node file monitor");
    restoreKeptVersion();
    readAndOffer(true);
}

NodeFileMonitor::~NodeFileMonitor() {
    close(stopPipe_[1]);  // makes the thread end
    if (thread_.joinable()) thread_.join();
    close(stopPipe_[0]);
}

void NodeFileMonitor::start() {
    thread_ = std::thread([this] { run(); });
}

void NodeFileMonitor::restoreKeptVersion() {
    if (config_.keptVersionPath.empty()) return;
    const FileContent content = readRegularFile(config_.keptVersionPath, limits_.maxNodeFileBytes);
    if (content.missing) return;
    std::string problem = content.error;
    membership::Membership kept;
    if (problem.empty()) kept = decodeKeptVersion(content.bytes, problem);
    if (!problem.empty())
        return addLogMessage(true, "kept version not used",
                             {{"file", config_.keptVersionPath}, {"reason", problem}});
    membershipManager_.restore(std::move(kept), clock_.nowMs());
    status_.fromKeptCopy = true;
    addLogMessage(false, "taken from the kept copy",
                  {{"version", membershipManager_.current()->version}, {"file", config_.keptVersionPath}});
    publishUpdate();
}

// Reads the files at once after a file was closed or renamed and after a queue overflow. After other events,
// reads them once no event has come for fileQuietMs, at the latest maxFileReadDelayMs after the first.
// Polling finds changes that sent no event. Incomplete content is read again and reported once it has
// stayed so for incompleteFileTimeoutMs.
void NodeFileMonitor::run() {
    double readAtMs = INFINITY;
    double firstEventMs = INFINITY;  // of the first event that has not led to a read yet
    double nextPollMs = clock_.nowMs() + config_.pollIntervalMs;
    for (;;) {
        const double now = clock_.nowMs();
        const double settleAtMs =
            incompleteSinceMs_ > 0 ? incompleteSinceMs_ + limits_.incompleteFileTimeoutMs : INFINITY;
        const double wakeAtMs =
            std::min({readAtMs, nextPollMs, membershipManager_.nextRemovalMs(), settleAtMs});
        pollfd fds[2] = {{stopPipe_[0], POLLIN, 0}, {watcher_.fd(), POLLIN, 0}};
        const int timeoutMs = static_cast<int>(std::clamp(std::ceil(wakeAtMs - now), 0.0, 60'000.0));
        (void)poll(fds, watcher_.fd() >= 0 ? 2 : 1, timeoutMs);
        if (fds[0].revents != 0) return;
        const double afterPollMs = clock_.nowMs();
        if (watcher_.fd() >= 0 && fds[1].revents != 0) {
            const FileWatcher::EventSummary events = watcher_.readEvents();
            if (events.queueOverflowed) {
                const std::lock_guard lock(mutex_);
                ++status_.overflowCount;
            }
            firstEventMs = std::min(firstEventMs, afterPollMs);
            const bool readNow = events.writeFinished || events.queueOverflowed ||
                                 afterPollMs - firstEventMs >= limits_.maxFileReadDelayMs;
            if (events.anyEvent) readAtMs = readNow ? afterPollMs : afterPollMs + limits_.fileQuietMs;
        }
        if (afterPollMs >= nextPollMs) {
            nextPollMs = afterPollMs + config_.pollIntervalMs;
            if (computeFingerprint(expandPaths(config_.paths)) != lastFingerprint_) readAtMs = afterPollMs;
        }
        const bool settled =
            incompleteSinceMs_ > 0 && afterPollMs >= incompleteSinceMs_ + limits_.incompleteFileTimeoutMs;
        if (afterPollMs >= readAtMs || settled) {
            readAtMs = firstEventMs = INFINITY;
            readAndOffer(settled);
        }
        if (membershipManager_.removeDeparted(afterPollMs)) publishUpdate();
        std::vector<MembershipUpdate> retired;  // destroyed after the lock is released
        const std::lock_guard lock(mutex_);
        retired.swap(retiredUpdates_);
    }
}

// With `settled`, incomplete content is reported as well, with the line and column where the parser stopped.
void NodeFileMonitor::readAndOffer(bool settled) {
    const std::vector<std::string> files = expandPaths(config_.paths);
    lastFingerprint_ = computeFingerprint(files);
    const std::vector<membership::ParsedNodeFile> parsedFiles =
        readNodeFiles(files, limits_.maxNodeFileBytes, !settled);
    const double nowMs = clock_.nowMs();
    const membership::OfferResult result = membershipManager_.offerVersion(parsedFiles, nowMs);
    const bool mayStillBeWritten = result.outcome == OfferOutcome::incomplete && !settled;
    incompleteSinceMs_ = !mayStillBeWritten ? 0 : incompleteSinceMs_ > 0 ? incompleteSinceMs_ : nowMs;

    std::vector<std::string> lines;
    for (const membership::Problem& problem : result.problems) lines.push_back(problem.text());
    {
        const std::lock_guard lock(mutex_);
        ++status_.readCount;
        status_.acceptedCount += result.outcome == OfferOutcome::accepted;
        status_.refusedCount += result.outcome == OfferOutcome::refused;
        status_.incompleteCount += result.outcome == OfferOutcome::incomplete;
        if (result.outcome == OfferOutcome::accepted || result.outcome == OfferOutcome::unchanged)
            status_.fromKeptCopy = false;
        if (!mayStillBeWritten) {
            if (status_.refusalLines.empty() || lines != status_.refusalLines) status_.refusedSinceMs = nowMs;
            status_.refusalLines = lines;
        }
    }
    if (result.outcome == OfferOutcome::accepted) {
        for (const std::string& text : result.notes)
            addLogMessage(false, "leftover part file ignored", {{"reason", text}});
        publishUpdate();
        saveKeptVersion();
    }
    if (mayStillBeWritten) return;
    std::string refusal;
    for (const std::string& line : lines) refusal += line + '\n';
    if (refusal != lastLoggedRefusal_) {
        const std::uint64_t versionInForce =
            membershipManager_.current() ? membershipManager_.current()->version : 0;
        for (const std::string& line : lines)
            addLogMessage(true, "not taken",
                          {{"version", result.version}, {"in_force", versionInForce}, {"reason", line}});
    }
    lastLoggedRefusal_ = std::move(refusal);
}

// Computes the changes on this thread, relative to the membership that the loop took last, and again if the
// loop takes another one meanwhile.
void NodeFileMonitor::publishUpdate() {
    const membership::MembershipPtr next = membershipManager_.current();
    for (;;) {
        membership::MembershipPtr base;
        {
            const std::lock_guard lock(mutex_);
            base = loopMembership_;
        }
        MembershipUpdate update{next, membership::diffMemberships(base.get(), *next)};
        const std::lock_guard lock(mutex_);
        if (loopMembership_ != base) continue;
        pendingUpdate_ = std::move(update);
        status_.version = next->version;
        status_.activatedAtMs = next->activatedAtMs;
        status_.nodeCount = next->members.size();
        status_.leavingCount = static_cast<std::size_t>(std::count_if(
            next->members.begin(), next->members.end(), [](const auto& m) { return m.leaving; }));
        break;
    }
    if (wakeLoop_) wakeLoop_();
}

void NodeFileMonitor::saveKeptVersion() {
    if (config_.keptVersionPath.empty()) return;
    const std::string error =
        writeFileAtomically(config_.keptVersionPath, encodeKeptVersion(*membershipManager_.current()));
    if (error.empty()) return;
    addLogMessage(true, "version in force cannot be saved",
                  {{"version", membershipManager_.current()->version}, {"reason", error}});
    const std::lock_guard lock(mutex_);
    ++status_.keepFailureCount;
}

std::optional<NodeFileMonitor::MembershipUpdate> NodeFileMonitor::takeUpdate(MembershipUpdate retired) {
    const std::lock_guard lock(mutex_);
    if (retired.membership) retiredUpdates_.push_back(std::move(retired));
    std::optional<MembershipUpdate> update = std::move(pendingUpdate_);
    pendingUpdate_.reset();
    if (update) loopMembership_ = update->membership;
    return update;
}

NodeFileStatus NodeFileMonitor::status() const {
    const std::lock_guard lock(mutex_);
    return status_;
}

void NodeFileMonitor::addLogMessage(bool isWarning, std::string message, LogFields fields) {
    {
        const std::lock_guard lock(mutex_);
        if (logMessages_.size() < limits_.maxLogLinesPerSecond * 2)
            logMessages_.push_back({isWarning, std::move(message), std::move(fields)});
    }
    if (wakeLoop_) wakeLoop_();
}

std::vector<DeferredLogMessage> NodeFileMonitor::takeLogMessages() {
    const std::lock_guard lock(mutex_);
    return std::exchange(logMessages_, {});
}

}  // namespace martencove::files
