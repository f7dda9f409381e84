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
#include "membership/gate.h"
#include "net/log.h"
#include "net/loop.h"

namespace martencove::files {

struct Config {
    std::vector<std::string> paths;  ///< files, or folders of *.textproto files
    std::string keep;                ///< the last good version's file; empty: none
    membership::Rules rules;
    double lookMs = 1000;  ///< between looks where no event tells of a change
};

/// How things stand, for people. Handed from the thread to the loop whole.
struct Status {
    std::uint64_t version = 0;  ///< in force; 0: none yet
    double sinceMs = 0;         ///< Unix time at which it came into force
    std::size_t nodes = 0;
    std::size_t leaving = 0;
    bool kept = false;                 ///< it came from the last good version on disk, not from the files
    std::vector<std::string> refusal;  ///< of the newest content, where it is not in force; first line first
    double refusedMs = 0;
    std::uint64_t accepted = 0, refused = 0, incomplete = 0, reads = 0, keepFailed = 0, overflows = 0;

    /// The same for the log.
    [[nodiscard]] LogFields fields(double nowMs) const;
    /// Lines of text, with ages as of `nowMs`.
    [[nodiscard]] std::string text(double nowMs) const;
};

/// A line for the log, from the thread.
struct Note {
    bool warn = false;
    std::string message;
    LogFields fields;
};

/// The thread's half: no libevent in it.
class Reader {
public:
    struct Handed {
        membership::MembershipPtr membership;
        std::vector<membership::Change> changes;  ///< from the one handed over before
    };
    /// Reads what is there now, and the kept version, before it returns. `wake` is called from the thread.
    Reader(Config config, const Clock& clock, const Limits& limits, std::function<void()> wake);
    ~Reader();
    Reader(const Reader&) = delete;
    Reader& operator=(const Reader&) = delete;

    /// Starts the thread.
    void start();
    /// What is new since the last call; `spent` goes back to be freed off the loop.
    [[nodiscard]] std::optional<Handed> take(Handed spent);
    [[nodiscard]] Status status() const;
    /// Lines for the log since the last call, bounded.
    [[nodiscard]] std::vector<Note> takeNotes();

private:
    void run();
    void readAll(bool settled);
    void restoreKept();
    void handOver();
    void keep();
    void note(bool warn, std::string message, LogFields fields);

    Config config_;
    const Clock& clock_;
    const Limits& limits_;
    std::function<void()> wake_;
    int stop_[2] = {-1, -1};  // a pipe: its end tells the thread to end

    // The thread's own, after the constructor.
    membership::Gate gate_;
    Watch watch_;
    std::string seen_;        // fingerprint at the last read
    std::string complaint_;   // told last, so that a refusal is told once
    double unsettledMs_ = 0;  // when content that is not whole was first met; 0: none

    mutable std::mutex mutex_;  // guards what follows
    Status status_;
    std::optional<Handed> handed_;
    membership::MembershipPtr taken_;  // by the loop
    std::vector<Handed> spent_;
    std::vector<Note> notes_;

    std::thread thread_;
};

/// An eventfd by which the thread wakes the loop.
class Wake {
public:
    Wake();
    ~Wake();
    Wake(const Wake&) = delete;
    Wake& operator=(const Wake&) = delete;
    [[nodiscard]] int fd() const { return fd_; }
    void raise() const;
    void clear() const;

private:
    int fd_;
};

/// The loop's half.
class Source {
public:
    Source(event_base* base, Config config, const Clock& clock, const Limits& limits, Counters& counters,
           Log& log);
    Source(const Source&) = delete;
    Source& operator=(const Source&) = delete;

    /// What is in force at the start, for the program to begin with: a whole list.
    [[nodiscard]] NodeList first();
    /// From now on changes are told.
    void start(std::function<void(const NodeList&)> told);

    [[nodiscard]] std::string statusText() const;
    [[nodiscard]] LogFields statusFields() const { return reader_.status().fields(clock_.nowMs()); }
    [[nodiscard]] bool ready() const { return version_ > 0; }
    /// The version that has been told whole; 0: none yet.
    [[nodiscard]] std::uint64_t version() const { return version_; }
    /// The longest that telling has kept the loop at once, in ms.
    [[nodiscard]] double longestSliceMs() const { return longestSliceMs_; }

private:
    void taken();
    void slice();
    void countStatus();

    const Clock& clock_;
    const Limits& limits_;
    Counters& counters_;
    Log& log_;
    std::function<void(const NodeList&)> told_;
    Wake wake_;
    Reader reader_;
    Owned<event> woken_;
    Timer next_;
    Reader::Handed now_;
    std::size_t done_ = 0;  // of its changes
    std::uint64_t version_ = 0;
    Status counted_;
    double longestSliceMs_ = 0;
};

}  // namespace martencove::files
