// Stand-ins for the cases of the second review: clients, storage nodes, the discovery agent and the platform,
// as PROTOCOL-martencove.md and DEPLOY-martencove.md describe them. Plain blocking sockets, one thread per
// connection, loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace standin {

inline double nowMs() {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}
inline const double kStartMs = nowMs();
inline void sleepMs(double ms) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms)); }

/// A case that cannot run.
[[noreturn]] inline void cannotRun(const std::string& reason) {
    std::fprintf(stderr, "cannot run: %s\n", reason.c_str());
    std::_Exit(2);
}

/// record.txt: what was sent, answered and run, with the time in ms since the start of the case.
class Record {
public:
    explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
        if (file_ == nullptr) cannotRun("cannot write " + path);
    }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        const std::lock_guard lock(mutex_);
        std::fprintf(file_, "%9.1f  ", nowMs() - kStartMs);
        va_list values;
        va_start(values, format);
        std::vfprintf(file_, format, values);
        va_end(values);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::FILE* file_;
    std::mutex mutex_;
};

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}
inline std::string addressText(int port) { return "127.0.0.1:" + std::to_string(port); }

/// A port that was free a moment ago.
inline int freePort() {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        cannotRun("no free port");
    close(fd);
    return ntohs(address.sin_port);
}

/// One HTTP message: the start line and headers, and the body.
struct Message {
    std::string head, body;
    /// The value of a header, or "".
    std::string header(const std::string& name) const {
        std::istringstream lines(head);
        for (std::string line; std::getline(lines, line);) {
            if (line.size() <= name.size() || line[name.size()] != ':' ||
                strncasecmp(line.c_str(), name.c_str(), name.size()) != 0)
                continue;
            const std::size_t begin = line.find_first_not_of(" \t", name.size() + 1);
            const std::size_t end = line.find_last_not_of(" \t\r");
            return begin == line.npos || end < begin ? "" : line.substr(begin, end - begin + 1);
        }
        return "";
    }
    int status() const { return head.size() > 12 ? std::atoi(head.c_str() + 9) : 0; }
    std::string path() const {
        const std::size_t begin = head.find(' ') + 1;
        return head.substr(begin, head.find(' ', begin) - begin);
    }
};

/// A TCP connection. Closed by its destructor.
class Connection {
public:
    explicit Connection(int fd) : fd_(fd) {
        const int on = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { ::close(fd_); }
    Connection(const Connection&) = delete;
    /// Connects; returns null if refused.
    static std::unique_ptr<Connection> open(int port) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        if (fd < 0) return nullptr;
        auto connection = std::make_unique<Connection>(fd);
        if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return nullptr;
        return connection;
    }
    bool send(const std::string& bytes) {
        for (std::size_t sent = 0; sent < bytes.size();) {
            const ssize_t n = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n < 0 && errno == EINTR) continue;
            if (n <= 0) return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }
    enum class Read { message, closed, timedOut };
    /// Reads one message with a Content-Length or without a body. `untilMs`: gives up at this time.
    Read read(Message& message, double untilMs) {
        for (;;) {
            if (takeMessage(message)) return Read::message;
            const double left = untilMs - nowMs();
            pollfd readable{fd_, POLLIN, 0};
            if (left <= 0 || ::poll(&readable, 1, static_cast<int>(left) + 1) == 0) return Read::timedOut;
            char chunk[65536];
            const ssize_t n = recv(fd_, chunk, sizeof chunk, 0);
            if (n < 0 && errno == EINTR) continue;
            if (n <= 0) return Read::closed;
            buffer_.append(chunk, static_cast<std::size_t>(n));
        }
    }
    /// Appends what arrives next, for messages that read() does not know.
    Read readSome(std::string& bytes, double untilMs) {
        const double left = untilMs - nowMs();
        pollfd readable{fd_, POLLIN, 0};
        if (left <= 0 || ::poll(&readable, 1, static_cast<int>(left) + 1) == 0) return Read::timedOut;
        char chunk[65536];
        const ssize_t n = recv(fd_, chunk, sizeof chunk, 0);
        if (n <= 0) return Read::closed;
        bytes.append(chunk, static_cast<std::size_t>(n));
        return Read::message;
    }

private:
    bool takeMessage(Message& message) {
        const std::size_t end = buffer_.find("\r\n\r\n");
        if (end == buffer_.npos) return false;
        message.head = buffer_.substr(0, end + 2);
        const std::string length = message.header("Content-Length");
        const std::size_t size = length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
        if (buffer_.size() < end + 4 + size) return false;
        message.body = buffer_.substr(end + 4, size);
        buffer_.erase(0, end + 4 + size);
        return true;
    }
    int fd_;
    std::string buffer_;
};

inline std::string answer(int status, const std::string& body = "", const std::string& headers = "") {
    return "HTTP/1.1 " + std::to_string(status) + " S\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n" + headers + "\r\n" + body;
}

/// An HTTP server. `onRequest` runs in a thread of its connection; it returns false to close the connection.
class Server {
public:
    using Handler = std::function<bool(Connection&, const Message&)>;
    explicit Server(Handler onRequest) : onRequest_(std::move(onRequest)) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof address;
        if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd, 512) != 0 ||
            getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
            cannotRun("a stand-in cannot listen");
        port = ntohs(address.sin_port);
        std::thread([this, fd] {
            for (;;) {
                const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) continue;
                std::thread([this, accepted] {
                    Connection connection(accepted);
                    Message request;
                    while (connection.read(request, nowMs() + 3'600'000) == Connection::Read::message)
                        if (!onRequest_(connection, request)) return;
                }).detach();
            }
        }).detach();
    }
    int port = 0;

private:
    Handler onRequest_;
};

/// An entry of discovery's list.
inline std::string hostEntry(const std::string& name, int port, int block) {
    return "{\"host\":\"" + name + "\",\"dial\":\"" + addressText(port) +
           "\",\"site\":\"a\",\"class\":\"m2\",\"block\":" + std::to_string(block) +
           ",\"health\":\"ready\",\"share\":1.0,\"born_ms\":0}";
}

/// The discovery agent on the scheduler's machine, with a list that does not change: answers at once, and a
/// watch after its wait.
class Discovery {
public:
    explicit Discovery(std::string hosts)
        : hosts_(std::move(hosts)), server_([this](Connection& connection, const Message& request) {
              const std::size_t wait = request.path().find("wait_ms=");
              if (wait == std::string::npos) return connection.send(answer(200, list()));
              sleepMs(std::min(60'000.0, std::strtod(request.path().c_str() + wait + 8, nullptr)));
              return connection.send(answer(200, "{\"seq\":1,\"whole\":false,\"hosts\":[]}"));
          }) {}
    std::string list() const { return "{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts_ + "]}"; }
    int port() const { return server_.port; }

private:
    std::string hosts_;
    Server server_;
};

/// A process that the case starts with the deploy file's `run`.
class Process {
public:
    /// `folder`: $TMPDIR. Its output goes to `log`.
    Process(const std::string& root, const std::string& run, const std::string& folder,
            const std::string& configuration, const std::string& log) {
        pid_ = fork();
        if (pid_ < 0) cannotRun("cannot fork");
        if (pid_ > 0) return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        setenv("NODE_CONFIG", configuration.c_str(), 1);
        setenv("TMPDIR", folder.c_str(), 1);
        for (const char* name : {"NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_OPS"}) unsetenv(name);
        std::FILE* output = std::freopen(log.c_str(), "w", stdout);
        if (output == nullptr || dup2(fileno(stdout), 2) < 0 || chdir(root.c_str()) != 0) std::_Exit(127);
        execl("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr));
        std::_Exit(127);
    }
    ~Process() {
        if (isRunning()) ::kill(pid_, SIGKILL);
        if (!ended_) waitpid(pid_, nullptr, 0);
    }
    Process(const Process&) = delete;
    pid_t pid() const { return pid_; }
    void signal(int number) {
        if (isRunning()) ::kill(pid_, number);
    }
    bool isRunning() {
        if (!ended_ && waitpid(pid_, nullptr, WNOHANG) == pid_) ended_ = true;
        return !ended_;
    }

private:
    pid_t pid_ = -1;
    bool ended_ = false;
};

/// Asks `path` at an address until it answers 200.
inline bool waitUntilReady(int port, const std::string& path, double timeoutMs) {
    for (const double untilMs = nowMs() + timeoutMs; nowMs() < untilMs; sleepMs(20)) {
        const auto connection = Connection::open(port);
        Message reply;
        if (connection && connection->send("GET " + path + " HTTP/1.1\r\nHost: backend.local\r\n\r\n") &&
            connection->read(reply, nowMs() + 1000) == Connection::Read::message && reply.status() == 200)
            return true;
    }
    return false;
}

/// A client's request.
struct Request {
    std::string className, id, piece, body, tier = "priority";
    bool isWrite = false;
    int deadlineMs = 2000, units = 1, shard = 0;
    std::string text() const {
        std::string text = std::string(isWrite ? "PUT" : "GET") + " /" + className + "/00000003b4d60021/" +
                           piece + " HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + id + "\r\nTier: " + tier +
                           "\r\nReq-Deadline-Ms: " + std::to_string(deadlineMs) +
                           "\r\nIO-Info: units=" + std::to_string(units) +
                           ",shard=" + std::to_string(shard) + ",hosts=1\r\n";
        if (isWrite)
            text += "Idempotency-Key: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        return text + "\r\n" + body;
    }
};
inline std::string hex16(std::uint64_t value) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}

/// The arguments of a case's program: the repository's root, `run` of the deploy file, the case's folder, a
/// temporary folder; and TROUBLE from the environment.
struct Setup {
    std::string root, run, caseFolder, temporary;
    bool trouble = true;
    Setup(int count, char** values) {
        if (count != 5) cannotRun("start it with run.sh");
        root = values[1], run = values[2], caseFolder = values[3], temporary = values[4];
        const char* text = std::getenv("TROUBLE");
        trouble = text == nullptr || std::string(text) != "0";
        signal(SIGPIPE, SIG_IGN);
    }
    /// Writes a configuration and returns its path.
    std::string write(const std::string& name, const std::string& configuration) const {
        const std::string path = temporary + "/" + name;
        std::ofstream(path) << configuration;
        return path;
    }
};

/// Ends the case; the caller's processes have to be ended before.
[[noreturn]] inline void finish(Record& record, bool broken) {
    record.line("result: the rule %s", broken ? "was BROKEN" : "held");
    std::printf("%s\n", broken ? "broken" : "held");
    std::fflush(stdout);
    std::_Exit(broken ? 1 : 0);
}

}  // namespace standin
