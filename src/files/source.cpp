#include "files/source.h"

#include <sys/eventfd.h>
#include <unistd.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <stdexcept>

namespace martencove::files {
namespace {

// The same number for a name on every scheduler. 64 bits: at 100,000 nodes two names would share one of 32.
NodeId idOf(const std::string& name) { return XXH64(name.data(), name.size(), 0); }

NodeEntry entryOf(const membership::Change& change) {
    const membership::Member& m = change.member;
    NodeEntry out;
    out.id = idOf(m.name);
    out.name = m.name;
    out.dial = m.dial;
    out.shard = m.shard;
    out.weight = m.weight > 0 ? m.weight : 1;  // of weight 0: told as draining
    out.bornMs = m.bornMs;
    const bool nothing = change.step == membership::Step::draining || m.weight <= 0;
    out.state = change.step == membership::Step::gone ? NodeState::gone
                : nothing                             ? NodeState::draining
                                                      : NodeState::ready;
    return out;
}

}  // namespace

Wake::Wake() : fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
    if (fd_ < 0) throw std::runtime_error("no event descriptor for the reader of files");
}
Wake::~Wake() { close(fd_); }
void Wake::raise() const {
    const std::uint64_t one = 1;
    (void)!write(fd_, &one, sizeof one);  // full means that the loop is woken already
}
void Wake::clear() const {
    std::uint64_t count = 0;
    (void)!read(fd_, &count, sizeof count);
}

Source::Source(event_base* base, Config config, const Clock& clock, const Limits& limits, Counters& counters,
               Log& log)
    : clock_(clock),
      limits_(limits),
      counters_(counters),
      log_(log),
      reader_(std::move(config), clock, limits, [this] { wake_.raise(); }),
      woken_(event_new(
          base, wake_.fd(), EV_READ | EV_PERSIST,
          [](evutil_socket_t, short, void* arg) {
              auto* self = static_cast<Source*>(arg);
              self->wake_.clear();
              self->taken();
          },
          this)),
      next_(base, [this] { slice(); }) {}

NodeList Source::first() {
    NodeList out{0, true, {}};
    if (auto handed = reader_.take({})) {
        now_ = std::move(*handed);
        for (const membership::Change& change : now_.changes) out.nodes.push_back(entryOf(change));
        done_ = now_.changes.size();
        version_ = now_.membership->version;
        out.version = static_cast<std::int64_t>(version_);
    }
    return out;
}

void Source::start(std::function<void(const NodeList&)> told) {
    told_ = std::move(told);
    event_add(woken_.get(), nullptr);
    taken();
    reader_.start();
}

void Source::taken() {
    for (const Note& note : reader_.takeNotes())
        note.warn ? log_.warn("nodes", note.message, note.fields)
                  : log_.info("nodes", note.message, note.fields);
    countStatus();
    slice();
}

// A shard's changes go on in one turn, so that every decision sees a shard as one version has it.
void Source::slice() {
    if (done_ >= now_.changes.size()) {
        auto handed = reader_.take(std::move(now_));
        now_ = {};
        if (!handed) return;
        now_ = std::move(*handed);
        done_ = 0;
    }
    const double startMs = clock_.nowMs();
    while (done_ < now_.changes.size() && clock_.nowMs() - startMs < limits_.swapSliceMs) {
        NodeList list{static_cast<std::int64_t>(now_.membership->version), false, {}};
        const std::size_t most = std::min(now_.changes.size(), done_ + limits_.swapSlice);
        const auto shard = [&](std::size_t i) { return now_.changes[i].member.shard; };
        while (done_ < most || (done_ < now_.changes.size() && done_ < most + limits_.swapSlice &&
                                shard(done_) == shard(done_ - 1)))
            list.nodes.push_back(entryOf(now_.changes[done_++]));
        told_(list);
    }
    longestSliceMs_ = std::max(longestSliceMs_, clock_.nowMs() - startMs);
    if (done_ < now_.changes.size()) return next_.start(0);
    if (now_.membership->version != version_) {
        version_ = now_.membership->version;
        log_.info("nodes", "in force",
                  {{"version", version_},
                   {"nodes", now_.membership->members.size()},
                   {"changed", now_.changes.size()}});
    }
    next_.start(0);  // there may be a newer one
}

void Source::countStatus() {
    const Status now = reader_.status();
    const auto count = [&](const char* name, std::uint64_t Status::*field) {
        if (now.*field > counted_.*field) counters_.add(name, now.*field - counted_.*field);
    };
    count("files_accepted", &Status::accepted);
    count("files_refused", &Status::refused);
    count("files_incomplete", &Status::incomplete);
    count("files_read", &Status::reads);
    count("files_not_kept", &Status::keepFailed);
    count("files_overflow", &Status::overflows);
    counted_ = now;
}

std::string Source::statusText() const { return reader_.status().text(clock_.nowMs()); }

}  // namespace martencove::files
