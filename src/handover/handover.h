// From one process to the next on the same machine: the one that serves gives its sockets away, and steps
// aside once the other takes clients. If that one ends, it takes clients again.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "core/counters.h"
#include "core/limits.h"
#include "net/log.h"
#include "net/loop.h"

namespace martencove::handover {

/// A descriptor with an owner.
class FileDescriptor {
public:
    explicit FileDescriptor(int fd = -1) : fd_(fd) {}
    ~FileDescriptor() { reset(); }
    FileDescriptor(FileDescriptor&& from) noexcept : fd_(from.release()) {}
    FileDescriptor& operator=(FileDescriptor&& from) noexcept {
        if (this != &from) reset(from.release());
        return *this;
    }
    [[nodiscard]] int get() const { return fd_; }
    [[nodiscard]] int release() { return std::exchange(fd_, -1); }
    void reset(int fd = -1);

private:
    int fd_;
};

/// What a new process gets: sockets by their names, what the other one has learned, and the connection on
/// which it says that it takes clients.
struct ReceivedHandover {
    std::map<std::string, FileDescriptor> sockets;
    std::string learnedState;  ///< empty: none came, or not whole
    FileDescriptor giverConnection;

    /// The socket of that name, whose owner the caller is from now on; -1: there is none.
    [[nodiscard]] int takeSocket(const std::string& name);
    /// Says so. The connection stays: its end tells the giver that this process is gone.
    void notifyReady() const;
};

/// Asks at `path` for the sockets of a process that serves. Nothing where none is there or it does not answer
/// in time; waits for `limits.handoverMs` at most.
[[nodiscard]] std::optional<ReceivedHandover> requestHandover(const std::string& path, const Limits& limits);

class HandoverServer {
public:
    /// `sockets`: by name, those that are open. `memory`: what was learned, which is the next process's once
    /// it is asked for. `aside`: whether another process takes clients now.
    HandoverServer(event_base* base, std::string path, std::function<std::map<std::string, int>()> sockets,
                   std::function<std::string()> memory, std::function<void(bool aside)> aside,
                   Counters& counters, Log& log);
    HandoverServer(const HandoverServer&) = delete;
    HandoverServer& operator=(const HandoverServer&) = delete;

    /// Listens at its path from now on, in the place of whoever did.
    void listen();

private:
    void onConnection();
    void onSuccessorMessage();
    void onSuccessorGone();

    event_base* base_;
    std::string path_;
    std::function<std::map<std::string, int>()> getSockets_;
    std::function<std::string()> exportState_;
    std::function<void(bool)> onTakeoverChange_;
    Counters& counters_;
    Log& log_;
    FileDescriptor listener_;
    FileDescriptor successorConnection_;  // one at a time
    bool successorTookOver_ = false;
    LibeventPtr<event> acceptEvent_;
    LibeventPtr<event> successorEvent_;
};

}  // namespace martencove::handover
