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
#include "files/source.h"

namespace martencove::files {
namespace {

using membership::OfferOutcome;

std::string age(double ms) {
    char text[32];
    std::snprintf(text, sizeof text, "%.1f s", std::max(ms, 0.0) / 1000);
    return text;
}

}  // namespace

std::string NodeFileStatus::toText(double nowMs) const {
    std::string out;
    if (version == 0)
        out = "no version in force\n";
    else
        out = "version " + std::to_string(version) + " in force for " + age(nowMs - activatedAtMs) +
              (fromKeptCopy ? ", from the kept copy" : "") + ": " + std::to_string(nodeCount) + " nodes, " +
              std::to_string(leavingCount) + " leaving\n";
    if (!refusalLines.empty()) {
        out += "newest content not taken for " + age(nowMs - refusedSinceMs) + ":\n";
        for (const std::string& line : refusalLines) out += "  " + line + '\n';
    }
    return out;
}

LogFields NodeFileStatus::logFields(double nowMs) const {
    LogFields out{{"version", version},
                  {"age_s", std::llround((nowMs - activatedAtMs) / 1000)},
                  {"nodes", nodeCount},
                  {"leaving", leavingCount},
                  {"kept_copy", fromKeptCopy ? 1 : 0}};
    if (refusalLines.empty()) return out;
    out.emplace_back("refused_for_s", std::llround((nowMs - refusedSinceMs) / 1000));
    out.emplace_back("refusal", refusalLines.front());
    return out;
}

NodeFileMonitor::NodeFileMonitor(NodeFileConfig config, const Clock& clock, const Limits& limits,
                                 std::function<void()> wake)
    : config_(std::move(config)),
      clock_(clock),
      limits_(limits),
      wakeLoop_(std::move(wake)),
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
// Polling finds changes that sent no event. Incomplete content is reported once it has stayed so for
// incompleteFileTimeoutMs.
void NodeFileMonitor::run() {
    double readAtMs = INFINITY;
    double firstMs = INFINITY;  // of the first event that has not led to a read yet
    double lookAtMs = clock_.nowMs() + config_.pollIntervalMs;
    for (;;) {
        const double now = clock_.nowMs();
        const double settleAtMs =
            incompleteSinceMs_ > 0 ? incompleteSinceMs_ + limits_.incompleteFileTimeoutMs : INFINITY;
        const double next = std::min({readAtMs, lookAtMs, membershipManager_.nextRemovalMs(), settleAtMs});
        pollfd fds[2] = {{stopPipe_[0], POLLIN, 0}, {watcher_.fd(), POLLIN, 0}};
        const int wait = static_cast<int>(std::clamp(std::ceil(next - now), 0.0, 60'000.0));
        (void)poll(fds, watcher_.fd() >= 0 ? 2 : 1, wait);
        if (fds[0].revents != 0) return;
        const double after = clock_.nowMs();
        if (watcher_.fd() >= 0 && fds[1].revents != 0) {
            const FileWatcher::EventSummary seen = watcher_.readEvents();
            if (seen.queueOverflowed) {
                const std::lock_guard lock(mutex_);
                ++status_.overflowCount;
            }
            firstMs = std::min(firstMs, after);
            const bool now =
                seen.writeFinished || seen.queueOverflowed || after - firstMs >= limits_.maxFileReadDelayMs;
            if (seen.anyEvent) readAtMs = now ? after : after + limits_.fileQuietMs;
        }
        if (after >= lookAtMs) {
            lookAtMs = after + config_.pollIntervalMs;
            if (computeFingerprint(expandPaths(config_.paths)) != lastFingerprint_) readAtMs = after;
        }
        const bool settled =
            incompleteSinceMs_ > 0 && after >= incompleteSinceMs_ + limits_.incompleteFileTimeoutMs;
        if (after >= readAtMs || settled) {
            readAtMs = firstMs = INFINITY;
            readAndOffer(settled);
        }
        if (membershipManager_.removeDeparted(after)) publishUpdate();
        std::vector<MembershipUpdate> spent;  // destroyed after the lock is released
        const std::lock_guard lock(mutex_);
        spent.swap(retiredUpdates_);
    }
}

// With `settled`, incomplete content is reported as well, with the line and column where the parser stopped.
void NodeFileMonitor::readAndOffer(bool settled) {
    const std::vector<std::string> files = expandPaths(config_.paths);
    lastFingerprint_ = computeFingerprint(files);
    const std::vector<membership::ParsedNodeFile> drafts =
        readNodeFiles(files, limits_.maxNodeFileBytes, !settled);
    const double now = clock_.nowMs();
    const membership::OfferResult verdict = membershipManager_.offerVersion(drafts, now);
    const bool waiting = verdict.outcome == OfferOutcome::incomplete && !settled;
    incompleteSinceMs_ = !waiting ? 0 : incompleteSinceMs_ > 0 ? incompleteSinceMs_ : now;

    std::vector<std::string> lines;
    for (const membership::Problem& problem : verdict.problems) lines.push_back(problem.text());
    {
        const std::lock_guard lock(mutex_);
        ++status_.readCount;
        status_.acceptedCount += verdict.outcome == OfferOutcome::accepted;
        status_.refusedCount += verdict.outcome == OfferOutcome::refused;
        status_.incompleteCount += verdict.outcome == OfferOutcome::incomplete;
        if (verdict.outcome == OfferOutcome::accepted || verdict.outcome == OfferOutcome::unchanged)
            status_.fromKeptCopy = false;
        if (!waiting) {
            if (status_.refusalLines.empty() || lines != status_.refusalLines) status_.refusedSinceMs = now;
            status_.refusalLines = lines;
        }
    }
    if (verdict.outcome == OfferOutcome::accepted) {
        for (const std::string& text : verdict.notes)
            addLogMessage(false, "leftover part file ignored", {{"reason", text}});
        publishUpdate();
        saveKeptVersion();
    }
    if (waiting) return;
    std::string complaint;
    for (const std::string& line : lines) complaint += line + '\n';
    if (complaint != lastLoggedRefusal_) {
        const std::uint64_t stays = membershipManager_.current() ? membershipManager_.current()->version : 0;
        for (const std::string& line : lines)
            addLogMessage(true, "not taken",
                          {{"version", verdict.version}, {"in_force", stays}, {"reason", line}});
    }
    lastLoggedRefusal_ = std::move(complaint);
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
        MembershipUpdate handed{next, membership::diffMemberships(base.get(), *next)};
        const std::lock_guard lock(mutex_);
        if (loopMembership_ != base) continue;
        pendingUpdate_ = std::move(handed);
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

std::optional<NodeFileMonitor::MembershipUpdate> NodeFileMonitor::takeUpdate(MembershipUpdate spent) {
    const std::lock_guard lock(mutex_);
    if (spent.membership) retiredUpdates_.push_back(std::move(spent));
    std::optional<MembershipUpdate> out = std::move(pendingUpdate_);
    pendingUpdate_.reset();
    if (out) loopMembership_ = out->membership;
    return out;
}

NodeFileStatus NodeFileMonitor::status() const {
    const std::lock_guard lock(mutex_);
    return status_;
}

void NodeFileMonitor::addLogMessage(bool warn, std::string message, LogFields fields) {
    {
        const std::lock_guard lock(mutex_);
        if (logMessages_.size() < limits_.maxLogLinesPerSecond * 2)
            logMessages_.push_back({warn, std::move(message), std::move(fields)});
    }
    if (wakeLoop_) wakeLoop_();
}

std::vector<DeferredLogMessage> NodeFileMonitor::takeLogMessages() {
    const std::lock_guard lock(mutex_);
    return std::exchange(logMessages_, {});
}

}  // namespace martencove::files
