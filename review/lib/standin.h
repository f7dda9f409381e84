// Stand-ins for the review's cases: clients, storage nodes, discovery, and a runner of the program. Plain
// blocking sockets and one thread for each connection; loopback addresses and free ports only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace standin {

inline double nowMs() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}
inline void sleepMs(double ms) {
    if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

/// record.txt: one line for each thing that was sent, answered or run.
class Record {
public:
    explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        const std::lock_guard lock(mutex_);
        if (file_ == nullptr) return;
        std::fprintf(file_, "%10.1f ", nowMs());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    FILE* file_;
    std::mutex mutex_;
};

struct Message {
    std::string start;
    std::map<std::string, std::string> headers;  // names in lower case
    std::string body;
    std::string header(const std::string& name) const {
        const auto it = headers.find(name);
        return it == headers.end() ? "" : it->second;
    }
    int status() const { return start.size() > 11 ? std::atoi(start.c_str() + 9) : 0; }
};

enum class Read { message, timeout, closed, reset };

/// A TCP connection with a read buffer.
class Connection {
public:
    explicit Connection(int fd) : fd_(fd) {
        const int on = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    void close() {
        if (fd_ >= 0) ::close(fd_);
        fd_ = -1;
    }
    int fd() const { return fd_; }
    bool write(const std::string& bytes) {
        std::size_t done = 0;
        while (done < bytes.size()) {
            const ssize_t n = ::send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (n < 0 && errno == EINTR) continue;
            if (n <= 0) return false;
            done += static_cast<std::size_t>(n);
        }
        return true;
    }
    /// Reads more bytes into the buffer, until `untilMs`.
    Read fill(double untilMs, std::size_t atMost = 65536) {
        pollfd p{fd_, POLLIN, 0};
        const double left = std::max(0.0, untilMs - nowMs());
        const int ready = ::poll(&p, 1, static_cast<int>(left) + 1);
        if (ready < 0 && errno == EINTR) return Read::message;
        if (ready == 0) return Read::timeout;
        std::vector<char> chunk(atMost);
        const ssize_t n = ::recv(fd_, chunk.data(), chunk.size(), 0);
        if (n < 0) return Read::reset;
        if (n == 0) return Read::closed;
        buffer.append(chunk.data(), static_cast<std::size_t>(n));
        return Read::message;
    }
    /// Reads one HTTP message with a Content-Length or chunks.
    Read read(Message& message, double untilMs) {
        for (;;) {
            if (parse(message)) return Read::message;
            const Read result = fill(untilMs);
            if (result != Read::message) return result;
        }
    }
    std::string buffer;

private:
    bool parse(Message& message) {
        const std::size_t end = buffer.find("\r\n\r\n");
        if (end == std::string::npos) return false;
        Message parsed;
        std::size_t at = buffer.find("\r\n");
        parsed.start = buffer.substr(0, at);
        while (at < end) {
            const std::size_t next = buffer.find("\r\n", at + 2);
            const std::string line = buffer.substr(at + 2, next - at - 2);
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                std::string name = line.substr(0, colon), value = line.substr(colon + 1);
                std::transform(name.begin(), name.end(), name.begin(), ::tolower);
                value.erase(0, value.find_first_not_of(' '));
                parsed.headers[name] = value;
            }
            at = next;
        }
        std::size_t from = end + 4;
        if (parsed.header("transfer-encoding") == "chunked") {
            for (;;) {
                const std::size_t line = buffer.find("\r\n", from);
                if (line == std::string::npos) return false;
                const std::size_t size = std::strtoul(buffer.c_str() + from, nullptr, 16);
                if (buffer.size() < line + 2 + size + 2) return false;
                parsed.body += buffer.substr(line + 2, size);
                from = line + 2 + size + 2;
                if (size == 0) break;
            }
        } else {
            const std::size_t size = std::strtoul(parsed.header("content-length").c_str(), nullptr, 10);
            if (buffer.size() < from + size) return false;
            parsed.body = buffer.substr(from, size);
            from += size;
        }
        buffer.erase(0, from);
        message = std::move(parsed);
        return true;
    }
    int fd_;
};

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}
/// Returns a connected socket, or -1. `receiveBuffer`: its size in bytes; 0: the system's.
inline int connectTo(int port, int receiveBuffer = 0) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0) setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    const sockaddr_in address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return fd;
    ::close(fd);
    return -1;
}
/// Returns a free TCP port.
inline int freePort() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(0);
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) std::exit(2);
    getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
    ::close(fd);
    return ntohs(bound.sin_port);
}

/// A TCP server that runs `serve` in a thread of its own for each connection.
class Server {
public:
    explicit Server(std::function<void(Connection&)> serve) : serve_(std::move(serve)) {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(0);
        sockaddr_in bound{};
        socklen_t size = sizeof bound;
        if (::bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(fd_, 512) != 0)
            std::exit(2);
        getsockname(fd_, reinterpret_cast<sockaddr*>(&bound), &size);
        port = ntohs(bound.sin_port);
        std::thread([this] {
            for (;;) {
                const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) continue;
                std::thread([this, fd] {
                    Connection connection(fd);
                    serve_(connection);
                }).detach();
            }
        }).detach();
    }
    int port = 0;

private:
    std::function<void(Connection&)> serve_;
    int fd_;
};

inline std::string reply(int status, const std::string& body, const std::string& headers = "") {
    return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Error") + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Discovery as the protocol page describes it; its list never changes.
class Discovery {
public:
    Discovery()
        : server([this](Connection& connection) {
              Message call;
              while (connection.read(call, nowMs() + 600000) == Read::message) {
                  const std::size_t wait = call.start.find("wait_ms=");
                  if (call.start.find("after=") == std::string::npos) {
                      if (!connection.write(reply(200, list(true)))) return;
                      continue;
                  }
                  if (wait != std::string::npos) sleepMs(std::atoi(call.start.c_str() + wait + 8));
                  if (!connection.write(reply(200, list(false)))) return;
              }
          }) {}
    void add(const std::string& host, int port, int block) {
        hosts += std::string(hosts.empty() ? "" : ",") + "{\"host\":\"" + host +
                 "\",\"dial\":\"127.0.0.1:" + std::to_string(port) +
                 "\",\"site\":\"a\",\"class\":\"m2\",\"block\":" + std::to_string(block) +
                 ",\"health\":\"ready\",\"share\":1.0,\"born_ms\":0}";
    }
    std::string list(bool whole) const {
        return std::string("{\"seq\":41,\"whole\":") + (whole ? "true" : "false") + ",\"hosts\":[" +
               (whole ? hosts : "") + "]}";
    }
    std::string hosts;
    Server server;
};

/// Settings like those of the site stellenbosch-main, for one scheduler of a small deployment.
inline std::string settings(int shards, int sendCap = 3) {
    return R"({"Az":0,"Callers":{"MarksRetry":true},
"Classes":[
 {"Name":"profile-read","AimMs":300,"DeadlineMs":2000,"Idempotency":"retryable","Group":"all","DedupWindowMs":5000,"LateWorth":0.15,"Points":3,"Stream":false},
 {"Name":"new-write","AimMs":600,"DeadlineMs":4000,"Idempotency":"dedup","Group":"cell","DedupWindowMs":4000,"LateWorth":0.2,"Points":2,"Stream":false},
 {"Name":"bulk-read","AimMs":1200,"DeadlineMs":4000,"Idempotency":"retryable","Group":"all","DedupWindowMs":5000,"LateWorth":0.25,"Points":1,"Stream":false}],
"Dcs":["campus-room-1"],"Discovery":"pushed",
"FamilyInfo":{"ColdUnits":22,"CountsOthers":false,"MaxUnits":8,"MeanUnits":2.18,"MeteringMs":0,"Shards":)" +
           std::to_string(shards) + R"(,"SpareWorth":0.05,"WithinShare":0.3,"Writes":[false,true,false]},
"GranularityMs":2,
"Limits":{"ConnIdleMs":15000,"DialTimeoutMs":250,"MaxOpen":26666,"MaxRetryAfterMs":1000,"MayCancel":true,"ParallelTries":true,"PeerMessages":false,"Probes":false,"RetryAfter":true,"SendCap":)" +
           std::to_string(sendCap) + R"(},
"Rules":{"AnswerSlackMs":8,"ColdShare":0.25,"DrainGraceMs":1000,"FallMs":1000,"MustAskInMs":10000,"OverloadFactor":4,"WarmWithinMs":13000},
"SelfIndex":0,
"ServiceLevels":[{"Name":"standard","Rate":3,"Reserve":0.9,"Proportion":1,"WorthFactor":0.8,"Cap":0,"CapDepth":0,"CapSlack":0},
 {"Name":"priority","Rate":4.4,"Reserve":5.3,"Proportion":3,"WorthFactor":0.9,"Cap":0,"CapDepth":0,"CapSlack":0}],
"Siblings":1,"Stage":0,"Telemetry":{"Fields":[],"Via":"none"},"Tiers":["profile-store"],"Weights":"none"})";
}

/// One scheduler, started by the command `run` of the deploy file.
class Program {
public:
    /// `folder`: for the configuration, the log and $TMPDIR.
    Program(const std::string& folder, const Discovery& discovery, const std::string& settingsText,
            int memoryMb, int sockets)
        : folder_(folder), port(freePort()) {
        ::mkdir((folder + "/tmp").c_str(), 0700);
        std::ofstream(folder + "/config.json")
            << "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" << port << "\",\"discovery\":\"127.0.0.1:"
            << discovery.server.port << "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
            << memoryMb << ",\"sockets\":" << sockets << "},\"known\":" << discovery.list(true)
            << ",\"settings\":" << settingsText << "}";
        const char* command = std::getenv("RUN_COMMAND");
        if (command == nullptr) std::exit(2);
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the test, however that ends
            const int log = ::open((folder + "/program.log").c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0600);
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::setenv("NODE_CONFIG", (folder + "/config.json").c_str(), 1);
            ::setenv("NODE_NAME", "n0", 1);
            ::setenv("NODE_LISTEN", ("127.0.0.1:" + std::to_string(port)).c_str(), 1);
            ::setenv("NODE_DISCOVERY", ("127.0.0.1:" + std::to_string(discovery.server.port)).c_str(), 1);
            ::setenv("TMPDIR", (folder + "/tmp").c_str(), 1);
            ::execl("/bin/sh", "sh", "-c", command, nullptr);
            ::_exit(127);
        }
    }
    ~Program() { stop(); }
    /// Waits for 200 from /healthz, for 30 s at most.
    bool waitReady() {
        for (const double until = nowMs() + 30000; nowMs() < until; sleepMs(20)) {
            if (get("/healthz").status() == 200) return true;
            if (!running()) return false;
        }
        return false;
    }
    Message get(const std::string& path) {
        Message answer;
        const int fd = connectTo(port);
        if (fd < 0) return answer;
        Connection connection(fd);
        connection.write("GET " + path + " HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
        if (connection.read(answer, nowMs() + 2000) != Read::message) return {};
        return answer;
    }
    bool running() {
        if (pid_ <= 0) return false;
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) != pid_) return true;
        exitStatus = status;
        pid_ = 0;
        return false;
    }
    void signal(int number) {
        if (running()) ::kill(pid_, number);
    }
    void stop() {
        if (!running()) return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }
    int exitStatus = 0;

private:
    std::string folder_;
    pid_t pid_ = 0;

public:
    int port;
};

/// A read or write request of the protocol page.
inline std::string requestHead(const std::string& requestClass, bool write, const std::string& id, int volume,
                               const std::string& piece, int deadlineMs, int units, int shard,
                               std::size_t bodyBytes) {
    char volumeText[20];
    std::snprintf(volumeText, sizeof volumeText, "%016x", volume);
    std::string text = std::string(write ? "PUT" : "GET") + " /" + requestClass + "/" + volumeText + "/" + piece +
                       " HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + id +
                       "\r\nTier: priority\r\nReq-Deadline-Ms: " + std::to_string(deadlineMs) +
                       "\r\nIO-Info: units=" + std::to_string(units) + ",shard=" + std::to_string(shard) +
                       ",hosts=1\r\n";
    if (write) text += "Idempotency-Key: k" + id + "\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n";
    return text + "\r\n";
}
inline std::string hex16(std::uint64_t value) {
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}

}  // namespace standin
