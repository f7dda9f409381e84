// Hands the listening sockets over from a running process to its successor on the same machine, through a
// Unix domain socket. The running process stops accepting clients once the successor accepts them, and
// resumes if the successor exits.
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

/// Owns a file descriptor and closes it on destruction; -1: none.
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

/// What the successor receives: sockets by name, the learned state of the old process, and the connection on
/// which the successor reports that it accepts clients.
struct ReceivedHandover {
    std::map<std::string, FileDescriptor> sockets;
    std::string learnedState;  ///< empty: none received, or truncated
    FileDescriptor predecessorConnection;

    /// Returns the socket of that name, which the caller then owns; -1 if there is none.
    [[nodiscard]] int takeSocket(const std::string& name);
    /// Reports that this process accepts clients. The connection stays open: its end tells the old process
    /// that this one has exited.
    void notifyReady() const;
};

/// Requests the sockets of the process that listens at `path`. Each read blocks for at most
/// `limits.handoverTimeoutMs`. Returns nothing if there is no such process, it runs as another user, or it
/// sends no sockets in time.
[[nodiscard]] std::optional<ReceivedHandover> requestHandover(const std::string& path, const Limits& limits);

/// Calls back once the process that handed its sockets over has exited.
class PredecessorWatch {
public:
    /// `handover` has to outlive this object. `onGone` is called from the loop.
    PredecessorWatch(event_base* base, const ReceivedHandover& handover, std::function<void()> onGone);
    PredecessorWatch(const PredecessorWatch&) = delete;
    PredecessorWatch& operator=(const PredecessorWatch&) = delete;

private:
    static void onReadable(evutil_socket_t connection, short, void* self);

    std::function<void()> onGone_;
    LibeventPtr<event> event_;
};

/// Serves handover requests of successors at a path, one successor at a time.
class HandoverServer {
public:
    /// `getSockets` returns the open sockets by name. `exportState` returns the learned state; once it is
    /// called, that state belongs to the successor. `onSuccessorChange` is called with true when a successor
    /// has the sockets and with false when it has exited; `onTakeoverChange` with true when it accepts
    /// clients and with false when it has exited after that.
    HandoverServer(event_base* base, std::string path, std::function<std::map<std::string, int>()> getSockets,
                   std::function<std::string()> exportState,
                   std::function<void(bool present)> onSuccessorChange,
                   std::function<void(bool tookOver)> onTakeoverChange, Counters& counters, Log& log);
    HandoverServer(const HandoverServer&) = delete;
    HandoverServer& operator=(const HandoverServer&) = delete;

    /// Starts listening at the path and replaces any earlier listener there. On failure logs a warning and
    /// counts `handover_off`.
    void listen();

private:
    void onConnection();
    void onSuccessorMessage();
    void onSuccessorGone();

    event_base* base_;
    std::string path_;
    std::function<std::map<std::string, int>()> getSockets_;
    std::function<std::string()> exportState_;
    std::function<void(bool)> onSuccessorChange_;
    std::function<void(bool)> onTakeoverChange_;
    Counters& counters_;
    Log& log_;
    FileDescriptor listener_;
    FileDescriptor successorConnection_;  // -1: there is no successor
    bool successorTookOver_ = false;
    LibeventPtr<event> acceptEvent_;
    LibeventPtr<event> successorEvent_;
};

}  // namespace martencove::handover
