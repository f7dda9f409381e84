#include "handover/handover.h"

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <string_view>
#include <utility>
#include <vector>

namespace martencove::handover {
namespace {

constexpr std::size_t kMaxSockets = 8;
constexpr std::size_t kMaxNamesBytes = 256;
constexpr char kReadyByte = 'r';
// A name without a descriptor. It announces that the learned state follows the line: its length in bytes,
// '\n' and the text. A receiver that does not know the name ignores it.
constexpr std::string_view kLearnedStateName = "memory";
constexpr std::size_t kMaxLearnedStateBytes = 192 * 1024;  // fits into the buffer of an unread socket

std::optional<sockaddr_un> toUnixAddress(const std::string& path) {
    sockaddr_un address{};
    if (path.size() >= sizeof address.sun_path) return std::nullopt;
    address.sun_family = AF_UNIX;
    std::memcpy(address.sun_path, path.data(), path.size());
    return address;
}

/// Sends one line with the names, each followed by a blank, and the descriptors in the same order; then the
/// learned state. Returns false if the sockets could not be sent.
bool sendHandover(int connection, const std::map<std::string, int>& sockets,
                  const std::string& learnedState) {
    std::string names;
    std::vector<int> fds;
    for (const auto& [name, fd] : sockets) {
        names += name + ' ';
        fds.push_back(fd);
    }
    names += std::string(kLearnedStateName) + " \n";
    if (fds.empty() || fds.size() > kMaxSockets || names.size() > kMaxNamesBytes) return false;
    alignas(cmsghdr) char control[CMSG_SPACE(kMaxSockets * sizeof(int))] = {};
    iovec buffer{names.data(), names.size()};
    msghdr message{};
    message.msg_iov = &buffer;
    message.msg_iovlen = 1;
    message.msg_control = control;
    message.msg_controllen = CMSG_SPACE(fds.size() * sizeof(int));
    cmsghdr* header = CMSG_FIRSTHDR(&message);
    header->cmsg_level = SOL_SOCKET;
    header->cmsg_type = SCM_RIGHTS;
    header->cmsg_len = CMSG_LEN(fds.size() * sizeof(int));
    std::memcpy(CMSG_DATA(header), fds.data(), fds.size() * sizeof(int));
    if (sendmsg(connection, &message, MSG_NOSIGNAL | MSG_DONTWAIT) != static_cast<ssize_t>(names.size()))
        return false;
    // The state is sent whole or not at all; the receiver ignores a truncated one.
    const std::string state = learnedState.size() > kMaxLearnedStateBytes ? "" : learnedState;
    const std::string stateText = std::to_string(state.size()) + '\n' + state;
    (void)!send(connection, stateText.data(), stateText.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return true;
}

/// Reads the learned state; `received` holds the bytes that have arrived already. Returns an empty text if
/// the state is truncated, malformed or not received within the socket's timeout.
std::string readLearnedState(int connection, std::string received) {
    std::size_t length = 0, stateBegin = 0;
    for (;;) {
        const std::size_t end = received.find('\n');
        if (end != received.npos && stateBegin == 0) {
            const auto [next, error] = std::from_chars(received.data(), received.data() + end, length);
            if (error != std::errc{} || next != received.data() + end || length > kMaxLearnedStateBytes)
                return "";
            stateBegin = end + 1;
        }
        if (stateBegin > 0 && received.size() >= stateBegin + length)
            return received.substr(stateBegin, length);
        if (stateBegin == 0 && received.size() > 20) return "";  // longer than any valid length
        char chunk[16 * 1024];
        const ssize_t read = recv(connection, chunk, sizeof chunk, 0);
        if (read < 0 && errno == EINTR) continue;
        if (read <= 0) return "";
        received.append(chunk, static_cast<std::size_t>(read));
    }
}

/// Returns whether the other end of the connection runs as the same user.
bool sameUser(int connection) {
    ucred peer{};
    socklen_t size = sizeof peer;
    return getsockopt(connection, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == geteuid();
}

}  // namespace

void FileDescriptor::reset(int fd) {
    if (fd_ >= 0) close(fd_);
    fd_ = fd;
}

int ReceivedHandover::takeSocket(const std::string& name) {
    const auto found = sockets.find(name);
    return found == sockets.end() ? -1 : found->second.release();
}

void ReceivedHandover::notifyReady() const {
    (void)!send(predecessorConnection.get(), &kReadyByte, 1, MSG_NOSIGNAL | MSG_DONTWAIT);
}

std::optional<ReceivedHandover> requestHandover(const std::string& path, const Limits& limits) {
    const auto address = toUnixAddress(path);
    if (!address) return std::nullopt;
    ReceivedHandover handover;
    handover.predecessorConnection.reset(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const timeval timeout = toTimeval(limits.handoverTimeoutMs);
    if (handover.predecessorConnection.get() < 0 ||
        setsockopt(handover.predecessorConnection.get(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout) !=
            0 ||
        connect(handover.predecessorConnection.get(), reinterpret_cast<const sockaddr*>(&*address),
                sizeof *address) != 0 ||
        !sameUser(handover.predecessorConnection.get()))
        return std::nullopt;
    char names[kMaxNamesBytes];
    alignas(cmsghdr) char control[CMSG_SPACE(kMaxSockets * sizeof(int))] = {};
    iovec buffer{names, sizeof names};
    msghdr message{};
    message.msg_iov = &buffer;
    message.msg_iovlen = 1;
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    ssize_t received = 0;
    do received = recvmsg(handover.predecessorConnection.get(), &message, MSG_CMSG_CLOEXEC);
    while (received < 0 && errno == EINTR);
    std::vector<FileDescriptor> fds;
    for (cmsghdr* header = CMSG_FIRSTHDR(&message); received > 0 && header != nullptr;
         header = CMSG_NXTHDR(&message, header)) {
        if (header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_RIGHTS) continue;
        for (std::size_t offset = 0; offset + sizeof(int) <= header->cmsg_len - CMSG_LEN(0);
             offset += sizeof(int)) {
            int fd = -1;
            std::memcpy(&fd, CMSG_DATA(header) + offset, sizeof fd);
            fds.emplace_back(fd);
        }
    }
    const std::string_view text(names, static_cast<std::size_t>(std::max<ssize_t>(received, 0)));
    const std::string_view line = text.substr(0, text.find('\n'));
    std::string name;
    std::size_t nextFd = 0;
    bool hasLearnedState = false;
    for (const char c : line) {
        if (c != ' ') {
            name += c;
        } else if (name == kLearnedStateName) {
            hasLearnedState = true;
            name.clear();
        } else if (nextFd < fds.size()) {
            handover.sockets.insert_or_assign(std::exchange(name, {}), std::move(fds[nextFd++]));
        }
    }
    if (handover.sockets.empty()) return std::nullopt;
    if (hasLearnedState)
        handover.learnedState =
            readLearnedState(handover.predecessorConnection.get(),
                             std::string(text.substr(std::min(text.size(), line.size() + 1))));
    return handover;
}

PredecessorWatch::PredecessorWatch(event_base* base, const ReceivedHandover& handover,
                                   std::function<void()> onGone)
    : onGone_(std::move(onGone)),
      event_(event_new(base, handover.predecessorConnection.get(), EV_READ | EV_PERSIST, onReadable, this)) {
    event_add(event_.get(), nullptr);
}

void PredecessorWatch::onReadable(evutil_socket_t connection, short, void* arg) {
    auto* self = static_cast<PredecessorWatch*>(arg);
    char unread[4096];  // of a learned state that was given up
    const ssize_t received = recv(connection, unread, sizeof unread, MSG_DONTWAIT);
    if (received > 0 || (received < 0 && (errno == EAGAIN || errno == EINTR))) return;
    event_del(self->event_.get());
    self->onGone_();
}

HandoverServer::HandoverServer(event_base* base, std::string path,
                               std::function<std::map<std::string, int>()> getSockets,
                               std::function<std::string()> exportState,
                               std::function<void(bool)> onSuccessorChange,
                               std::function<void(bool)> onTakeoverChange, Counters& counters, Log& log)
    : base_(base),
      path_(std::move(path)),
      getSockets_(std::move(getSockets)),
      exportState_(std::move(exportState)),
      onSuccessorChange_(std::move(onSuccessorChange)),
      onTakeoverChange_(std::move(onTakeoverChange)),
      counters_(counters),
      log_(log) {}

// Binds a name of its own first and renames it, so that a successor never finds a socket that does not
// listen.
void HandoverServer::listen() {
    const std::string temporaryPath = path_ + '.' + std::to_string(getpid());
    const auto address = toUnixAddress(temporaryPath);
    FileDescriptor fd(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    (void)unlink(temporaryPath.c_str());
    if (!address || fd.get() < 0 ||
        bind(fd.get(), reinterpret_cast<const sockaddr*>(&*address), sizeof *address) != 0 ||
        ::listen(fd.get(), 4) != 0 || std::rename(temporaryPath.c_str(), path_.c_str()) != 0) {
        counters_.add("handover_off");
        return log_.warn("handover", "cannot listen, no handover to a successor process", {{"path", path_}});
    }
    acceptEvent_.reset();
    listener_ = std::move(fd);
    acceptEvent_.reset(event_new(
        base_, listener_.get(), EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<HandoverServer*>(self)->onConnection(); },
        this));
    event_add(acceptEvent_.get(), nullptr);
}

void HandoverServer::onConnection() {
    FileDescriptor successor(accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
    if (successor.get() < 0) return;
    if (successorConnection_.get() >= 0 || !sameUser(successor.get()) ||
        !sendHandover(successor.get(), getSockets_(), exportState_())) {
        counters_.add("handover_refused");
        return log_.warn(
            "handover", "handover request refused",
            {{"reason", successorConnection_.get() >= 0 ? "another process has the sockets"
                                                        : "another user, or the sockets could not be sent"}});
    }
    counters_.add("handover_given");
    log_.info("handover", "sockets handed over to a successor process");
    successorConnection_ = std::move(successor);
    successorEvent_.reset(event_new(
        base_, successorConnection_.get(), EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<HandoverServer*>(self)->onSuccessorMessage(); },
        this));
    event_add(successorEvent_.get(), nullptr);
    onSuccessorChange_(true);
}

void HandoverServer::onSuccessorMessage() {
    char message = 0;
    const ssize_t received = recv(successorConnection_.get(), &message, 1, 0);
    if (received < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (received <= 0) return onSuccessorGone();
    if (message != kReadyByte || std::exchange(successorTookOver_, true)) return;
    log_.info("handover", "the successor process accepts clients, this one steps aside");
    onTakeoverChange_(true);
}

// If the successor had taken over, no process would accept clients any more, so this process resumes.
void HandoverServer::onSuccessorGone() {
    successorEvent_.reset();
    successorConnection_.reset();
    counters_.add("handover_over");
    log_.warn("handover", "the successor process has exited", {{"took_clients", successorTookOver_}});
    onSuccessorChange_(false);
    if (!std::exchange(successorTookOver_, false)) return;
    listen();
    onTakeoverChange_(false);
}

}  // namespace martencove::handover
