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

constexpr std::size_t kMostSockets = 8;
constexpr std::size_t kNamesBytes = 256;
constexpr char kReady = 'r';
// A name without a descriptor. It announces that the learned state follows the line: its length in bytes,
// '\n' and the text. A receiver that does not know the name ignores it.
constexpr std::string_view kMemory = "memory";
constexpr std::size_t kMemoryBytes = 192 * 1024;  // fits into the buffer of an unread socket

std::optional<sockaddr_un> addressOf(const std::string& path) {
    sockaddr_un out{};
    if (path.size() >= sizeof out.sun_path) return std::nullopt;
    out.sun_family = AF_UNIX;
    std::memcpy(out.sun_path, path.data(), path.size());
    return out;
}

/// Sends one line with the names, each followed by a blank, and the descriptors in the same order; then the
/// learned state. Returns false if the sockets could not be sent.
bool give(int to, const std::map<std::string, int>& sockets, const std::string& memory) {
    std::string names;
    std::vector<int> fds;
    for (const auto& [name, fd] : sockets) {
        names += name + ' ';
        fds.push_back(fd);
    }
    names += std::string(kMemory) + " \n";
    if (fds.empty() || fds.size() > kMostSockets || names.size() > kNamesBytes) return false;
    alignas(cmsghdr) char control[CMSG_SPACE(kMostSockets * sizeof(int))] = {};
    iovec text{names.data(), names.size()};
    msghdr message{};
    message.msg_iov = &text;
    message.msg_iovlen = 1;
    message.msg_control = control;
    message.msg_controllen = CMSG_SPACE(fds.size() * sizeof(int));
    cmsghdr* head = CMSG_FIRSTHDR(&message);
    head->cmsg_level = SOL_SOCKET;
    head->cmsg_type = SCM_RIGHTS;
    head->cmsg_len = CMSG_LEN(fds.size() * sizeof(int));
    std::memcpy(CMSG_DATA(head), fds.data(), fds.size() * sizeof(int));
    if (sendmsg(to, &message, MSG_NOSIGNAL | MSG_DONTWAIT) != static_cast<ssize_t>(names.size()))
        return false;
    // The state is sent whole or not at all; the receiver ignores a truncated one.
    const std::string sent = memory.size() > kMemoryBytes ? "" : memory;
    const std::string told = std::to_string(sent.size()) + '\n' + sent;
    (void)!send(to, told.data(), told.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return true;
}

/// Reads the learned state; `got` holds what has been received already. Returns an empty text if the state is
/// truncated, malformed or not received within the socket's timeout.
std::string readMemory(int from, std::string got) {
    std::size_t length = 0, begins = 0;
    for (;;) {
        const std::size_t end = got.find('\n');
        if (end != got.npos && begins == 0) {
            const auto [next, error] = std::from_chars(got.data(), got.data() + end, length);
            if (error != std::errc{} || next != got.data() + end || length > kMemoryBytes) return "";
            begins = end + 1;
        }
        if (begins > 0 && got.size() >= begins + length) return got.substr(begins, length);
        if (begins == 0 && got.size() > 20) return "";  // longer than any valid length
        char more[16 * 1024];
        const ssize_t read = recv(from, more, sizeof more, 0);
        if (read < 0 && errno == EINTR) continue;
        if (read <= 0) return "";
        got.append(more, static_cast<std::size_t>(read));
    }
}

/// Returns whether the other end of the connection runs as the same user.
bool sameUser(int connection) {
    ucred other{};
    socklen_t size = sizeof other;
    return getsockopt(connection, SOL_SOCKET, SO_PEERCRED, &other, &size) == 0 && other.uid == geteuid();
}

}  // namespace

void FileDescriptor::reset(int fd) {
    if (fd_ >= 0) close(fd_);
    fd_ = fd;
}

int ReceivedHandover::takeSocket(const std::string& name) {
    const auto at = sockets.find(name);
    return at == sockets.end() ? -1 : at->second.release();
}

void ReceivedHandover::notifyReady() const {
    (void)!send(giverConnection.get(), &kReady, 1, MSG_NOSIGNAL | MSG_DONTWAIT);
}

std::optional<ReceivedHandover> requestHandover(const std::string& path, const Limits& limits) {
    const auto address = addressOf(path);
    if (!address) return std::nullopt;
    ReceivedHandover out;
    out.giverConnection.reset(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const timeval most = toTimeval(limits.handoverTimeoutMs);
    if (out.giverConnection.get() < 0 ||
        setsockopt(out.giverConnection.get(), SOL_SOCKET, SO_RCVTIMEO, &most, sizeof most) != 0 ||
        connect(out.giverConnection.get(), reinterpret_cast<const sockaddr*>(&*address), sizeof *address) !=
            0 ||
        !sameUser(out.giverConnection.get()))
        return std::nullopt;
    char names[kNamesBytes];
    alignas(cmsghdr) char control[CMSG_SPACE(kMostSockets * sizeof(int))] = {};
    iovec text{names, sizeof names};
    msghdr message{};
    message.msg_iov = &text;
    message.msg_iovlen = 1;
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    ssize_t got = 0;
    do got = recvmsg(out.giverConnection.get(), &message, MSG_CMSG_CLOEXEC);
    while (got < 0 && errno == EINTR);
    std::vector<FileDescriptor> fds;
    for (cmsghdr* head = CMSG_FIRSTHDR(&message); got > 0 && head != nullptr;
         head = CMSG_NXTHDR(&message, head)) {
        if (head->cmsg_level != SOL_SOCKET || head->cmsg_type != SCM_RIGHTS) continue;
        for (std::size_t at = 0; at + sizeof(int) <= head->cmsg_len - CMSG_LEN(0); at += sizeof(int)) {
            int fd = -1;
            std::memcpy(&fd, CMSG_DATA(head) + at, sizeof fd);
            fds.emplace_back(fd);
        }
    }
    const std::string_view all(names, static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
    const std::string_view line = all.substr(0, all.find('\n'));
    std::string name;
    std::size_t next = 0;
    bool memory = false;
    for (const char c : line) {
        if (c != ' ') {
            name += c;
        } else if (name == kMemory) {
            memory = true;
            name.clear();
        } else if (next < fds.size()) {
            out.sockets.insert_or_assign(std::exchange(name, {}), std::move(fds[next++]));
        }
    }
    if (out.sockets.empty()) return std::nullopt;
    if (memory)
        out.learnedState = readMemory(out.giverConnection.get(),
                                      std::string(all.substr(std::min(all.size(), line.size() + 1))));
    return out;
}

HandoverServer::HandoverServer(event_base* base, std::string path,
                               std::function<std::map<std::string, int>()> sockets,
                               std::function<std::string()> memory, std::function<void(bool)> aside,
                               Counters& counters, Log& log)
    : base_(base),
      path_(std::move(path)),
      getSockets_(std::move(sockets)),
      exportState_(std::move(memory)),
      onTakeoverChange_(std::move(aside)),
      counters_(counters),
      log_(log) {}

// Binds a name of its own first and renames it, so that a successor never finds a socket that does not
// listen.
void HandoverServer::listen() {
    const std::string own = path_ + '.' + std::to_string(getpid());
    const auto address = addressOf(own);
    FileDescriptor fd(socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    (void)unlink(own.c_str());
    if (!address || fd.get() < 0 ||
        bind(fd.get(), reinterpret_cast<const sockaddr*>(&*address), sizeof *address) != 0 ||
        ::listen(fd.get(), 4) != 0 || std::rename(own.c_str(), path_.c_str()) != 0) {
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
    FileDescriptor taker(accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
    if (taker.get() < 0) return;
    if (successorConnection_.get() >= 0 || !sameUser(taker.get()) ||
        !give(taker.get(), getSockets_(), exportState_())) {
        counters_.add("handover_refused");
        return log_.warn(
            "handover", "handover request refused",
            {{"reason", successorConnection_.get() >= 0 ? "another process has the sockets"
                                                        : "another user, or the sockets could not be sent"}});
    }
    counters_.add("handover_given");
    log_.info("handover", "sockets handed over to a successor process");
    successorConnection_ = std::move(taker);
    successorEvent_.reset(event_new(
        base_, successorConnection_.get(), EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<HandoverServer*>(self)->onSuccessorMessage(); },
        this));
    event_add(successorEvent_.get(), nullptr);
}

void HandoverServer::onSuccessorMessage() {
    char said = 0;
    const ssize_t got = recv(successorConnection_.get(), &said, 1, 0);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (got <= 0) return onSuccessorGone();
    if (said != kReady || std::exchange(successorTookOver_, true)) return;
    log_.info("handover", "the successor process accepts clients, this one steps aside");
    onTakeoverChange_(true);
}

// If the successor had taken over, nobody would accept clients any more, so this process resumes.
void HandoverServer::onSuccessorGone() {
    successorEvent_.reset();
    successorConnection_.reset();
    counters_.add("handover_over");
    log_.warn("handover", "the successor process has exited", {{"took_clients", successorTookOver_}});
    if (!std::exchange(successorTookOver_, false)) return;
    listen();
    onTakeoverChange_(false);
}

}  // namespace martencove::handover
