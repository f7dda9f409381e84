#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <stdexcept>
#include <utility>

#include "files/node_file.h"
#include "files/read.h"
#include "files/source.h"

namespace martencove::files {
namespace {

using membership::Ruling;

std::string age(double ms) {
    char text[32];
    std::snprintf(text, sizeof text, "%.1f s", std::max(ms, 0.0) / 1000);
    return text;
}

}  // namespace

std::string Status::text(double nowMs) const {
    std::string out;
    if (version == 0)
        out = "no version in force\n";
    else
        out = "version " + std::to_string(version) + " in force for " + age(nowMs - sinceMs) +
              (kept ? ", from the kept copy" : "") + ": " + std::to_string(nodes) + " nodes, " +
              std::to_string(leaving) + " leaving\n";
    if (!refusal.empty()) {
        out += "newest content not taken for " + age(nowMs - refusedMs) + ":\n";
        for (const std::string& line : refusal) out += "  " + line + '\n';
    }
    return out;
}

LogFields Status::fields(double nowMs) const {
    LogFields out{{"version", version},
                  {"age_s", std::llround((nowMs - sinceMs) / 1000)},
                  {"nodes", nodes},
                  {"leaving", leaving},
                  {"kept_copy", kept ? 1 : 0}};
    if (refusal.empty()) return out;
    out.emplace_back("refused_for_s", std::llround((nowMs - refusedMs) / 1000));
    out.emplace_back("refusal", refusal.front());
    return out;
}

Reader::Reader(Config config, const Clock& clock, const Limits& limits, std::function<void()> wake)
    : config_(std::move(config)),
      clock_(clock),
      limits_(limits),
      wake_(std::move(wake)),
      gate_(config_.rules),
      watch_(config_.paths) {
    if (pipe2(stop_, O_CLOEXEC | O_NONBLOCK) != 0)
        throw std::runtime_error("no pipe for the reader of files");
    restoreKept();
    readAll(true);
}

Reader::~Reader() {
    close(stop_[1]);  // which the thread sees
    if (thread_.joinable()) thread_.join();
    close(stop_[0]);
}

void Reader::start() {
    thread_ = std::thread([this] { run(); });
}

void Reader::restoreKept() {
    if (config_.keep.empty()) return;
    const Content content = readWhole(config_.keep, limits_.nodeFileBytes);
    if (content.missing) return;
    std::string problem = content.error;
    membership::Membership kept;
    if (problem.empty()) kept = decodeKept(content.bytes, problem);
    if (!problem.empty())
        return note(true, "kept version not used", {{"file", config_.keep}, {"reason", problem}});
    gate_.restore(std::move(kept), clock_.nowMs());
    status_.kept = true;
    note(false, "taken from the kept copy", {{"version", gate_.inForce()->version}, {"file", config_.keep}});
    handOver();
}

// Events lead to a read at once where a writer closed or renamed, else when it rests for a moment. The slow
// look finds what no event told. Content that is not whole is looked at again, and told of once it has stayed
// so.
void Reader::run() {
    double readAtMs = INFINITY;
    double firstMs = INFINITY;  // of the events that wait for a rest
    double lookAtMs = clock_.nowMs() + config_.lookMs;
    for (;;) {
        const double now = clock_.nowMs();
        const double settleAtMs = unsettledMs_ > 0 ? unsettledMs_ + limits_.fileSettleMs : INFINITY;
        const double next = std::min({readAtMs, lookAtMs, gate_.nextMs(), settleAtMs});
        pollfd fds[2] = {{stop_[0], POLLIN, 0}, {watch_.fd(), POLLIN, 0}};
        const int wait = static_cast<int>(std::clamp(std::ceil(next - now), 0.0, 60'000.0));
        (void)poll(fds, watch_.fd() >= 0 ? 2 : 1, wait);
        if (fds[0].revents != 0) return;
        const double after = clock_.nowMs();
        if (watch_.fd() >= 0 && fds[1].revents != 0) {
            const Watch::Seen seen = watch_.take();
            if (seen.lost) {
                const std::lock_guard lock(mutex_);
                ++status_.overflows;
            }
            firstMs = std::min(firstMs, after);
            const bool now = seen.closed || seen.lost || after - firstMs >= limits_.fileRestMostMs;
            if (seen.any) readAtMs = now ? after : after + limits_.fileRestMs;
        }
        if (after >= lookAtMs) {
            lookAtMs = after + config_.lookMs;
            if (fingerprint(filesOf(config_.paths)) != seen_) readAtMs = after;
        }
        const bool settled = unsettledMs_ > 0 && after >= unsettledMs_ + limits_.fileSettleMs;
        if (after >= readAtMs || settled) {
            readAtMs = firstMs = INFINITY;
            readAll(settled);
        }
        if (gate_.depart(after)) handOver();
        std::vector<Handed> spent;  // freed here, without the lock
        const std::lock_guard lock(mutex_);
        spent.swap(spent_);
    }
}

// `settled`: content that is not whole is told of, with the place where the parser stopped.
void Reader::readAll(bool settled) {
    const std::vector<std::string> files = filesOf(config_.paths);
    seen_ = fingerprint(files);
    const std::vector<membership::Draft> drafts = readNodeFiles(files, limits_.nodeFileBytes, !settled);
    const double now = clock_.nowMs();
    const membership::Verdict verdict = gate_.offer(drafts, now);
    const bool waiting = verdict.ruling == Ruling::incomplete && !settled;
    unsettledMs_ = !waiting ? 0 : unsettledMs_ > 0 ? unsettledMs_ : now;

    std::vector<std::string> lines;
    for (const membership::Problem& problem : verdict.problems) lines.push_back(problem.text());
    {
        const std::lock_guard lock(mutex_);
        ++status_.reads;
        status_.accepted += verdict.ruling == Ruling::accepted;
        status_.refused += verdict.ruling == Ruling::refused;
        status_.incomplete += verdict.ruling == Ruling::incomplete;
        if (verdict.ruling == Ruling::accepted || verdict.ruling == Ruling::unchanged) status_.kept = false;
        if (!waiting) {
            if (status_.refusal.empty() || lines != status_.refusal) status_.refusedMs = now;
            status_.refusal = lines;
        }
    }
    if (verdict.ruling == Ruling::accepted) {
        for (const std::string& text : verdict.notes) note(false, "left over", {{"reason", text}});
        handOver();
        keep();
    }
    if (waiting) return;
    std::string complaint;
    for (const std::string& line : lines) complaint += line + '\n';
    if (complaint != complaint_) {
        const std::uint64_t stays = gate_.inForce() ? gate_.inForce()->version : 0;
        for (const std::string& line : lines)
            note(true, "not taken", {{"version", verdict.version}, {"in_force", stays}, {"reason", line}});
    }
    complaint_ = std::move(complaint);
}

// The changes are worked out here, against what the loop took last; should it take one meanwhile, once more.
void Reader::handOver() {
    const membership::MembershipPtr next = gate_.inForce();
    for (;;) {
        membership::MembershipPtr base;
        {
            const std::lock_guard lock(mutex_);
            base = taken_;
        }
        Handed handed{next, membership::changes(base.get(), *next)};
        const std::lock_guard lock(mutex_);
        if (taken_ != base) continue;
        handed_ = std::move(handed);
        status_.version = next->version;
        status_.sinceMs = next->sinceMs;
        status_.nodes = next->members.size();
        status_.leaving = static_cast<std::size_t>(std::count_if(next->members.begin(), next->members.end(),
                                                                 [](const auto& m) { return m.leaving; }));
        break;
    }
    if (wake_) wake_();
}

void Reader::keep() {
    if (config_.keep.empty()) return;
    const std::string error = replaceDurably(config_.keep, encodeKept(*gate_.inForce()));
    if (error.empty()) return;
    note(true, "in force but not kept", {{"version", gate_.inForce()->version}, {"reason", error}});
    const std::lock_guard lock(mutex_);
    ++status_.keepFailed;
}

std::optional<Reader::Handed> Reader::take(Handed spent) {
    const std::lock_guard lock(mutex_);
    if (spent.membership) spent_.push_back(std::move(spent));
    std::optional<Handed> out = std::move(handed_);
    handed_.reset();
    if (out) taken_ = out->membership;
    return out;
}

Status Reader::status() const {
    const std::lock_guard lock(mutex_);
    return status_;
}

void Reader::note(bool warn, std::string message, LogFields fields) {
    {
        const std::lock_guard lock(mutex_);
        if (notes_.size() < limits_.logLinesPerSecond * 2)
            notes_.push_back({warn, std::move(message), std::move(fields)});
    }
    if (wake_) wake_();
}

std::vector<Note> Reader::takeNotes() {
    const std::lock_guard lock(mutex_);
    return std::exchange(notes_, {});
}

}  // namespace martencove::files
