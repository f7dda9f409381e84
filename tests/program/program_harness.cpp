#include "program_harness.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace martencove::test {
namespace {

Address boundAddress(evutil_socket_t fd) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    char text[INET_ADDRSTRLEN];
    return {inet_ntop(AF_INET, &address.sin_addr, text, sizeof text), ntohs(address.sin_port)};
}

std::string readFile(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Formats a section of the operator's file as protobuf text. Invalid values are written as they are, for
/// tests of how the program rejects them.
std::string toTextFormat(const std::string& field, const Json& value) {
    if (value.is_array()) {
        std::string out;
        for (const Json& entry : value) out += toTextFormat(field, entry);
        return out;
    }
    if (!value.is_object()) return field + ": " + value.dump() + '\n';
    std::string out;
    for (const auto& [name, inner] : value.items()) {
        if (field != "nbd" || name != "nodes") {
            out += toTextFormat(name, inner);
            continue;
        }
        for (const auto& [key, address] : inner.items())
            out += toTextFormat(name, {{"key", key}, {"value", address}});
    }
    return field + " {\n" + out + "}\n";
}

/// Starts the program on the configuration file in `folder` and returns its process id. `tmpDir` becomes its
/// TMPDIR unless empty.
pid_t launch(const std::string& folder, const Json& config, std::vector<std::string> arguments,
             const std::string& tmpDir) {
    std::vector<char*> argv;
    for (std::string& argument : arguments) argv.push_back(argument.data());
    argv.push_back(nullptr);
    const pid_t pid = fork();
    if (pid != 0) return pid;
    const int logFd = open((folder + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(logFd, 1);
    dup2(logFd, 2);
    setenv("NODE_CONFIG", (folder + "/config.json").c_str(), 1);
    if (!tmpDir.empty()) setenv("TMPDIR", tmpDir.c_str(), 1);
    if (config.is_object() && config.contains("discovery"))
        setenv("NODE_DISCOVERY", config.at("discovery").get<std::string>().c_str(), 1);
    execv(MARTENCOVE_PROGRAM, argv.data());
    _exit(127);
}

/// Writes the configuration and, if any section is not null, the operator's file, and starts the program on
/// them.
pid_t spawn(const std::string& folder, const Json& config, const Json& operatorSections,
            const std::vector<std::string>& extraArguments = {}, const std::string& tmpDir = {}) {
    std::ofstream(folder + "/config.json") << config;
    std::vector<std::string> arguments{"martencove"};
    arguments.insert(arguments.end(), extraArguments.begin(), extraArguments.end());
    std::string operatorText;
    for (const auto& [name, section] : operatorSections.items()) {
        if (!section.is_null()) operatorText += toTextFormat(name, section);
    }
    if (!operatorText.empty()) {
        arguments.insert(arguments.end(), {"--operator", folder + "/operator.textproto"});
        std::ofstream(arguments.back()) << operatorText;
    }
    return launch(folder, config, std::move(arguments), tmpDir);
}

std::string createTempFolder() {
    std::string name = std::filesystem::temp_directory_path() / "martencove-XXXXXX";
    if (mkdtemp(name.data()) == nullptr)
        throw std::runtime_error("cannot create a temporary folder for the test");
    return name;
}

}  // namespace

TestConnection::TestConnection(event_base* base, const Address& server)
    : socket_(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE)) {
    const sockaddr_in address = server.socketAddress();
    bufferevent_socket_connect(socket_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
    installCallbacks();
}
TestConnection::TestConnection(event_base* base, evutil_socket_t accepted)
    : socket_(bufferevent_socket_new(base, accepted, BEV_OPT_CLOSE_ON_FREE)) {
    installCallbacks();
}
void TestConnection::setReading(bool on) {
    on ? bufferevent_enable(socket_.get(), EV_READ) : bufferevent_disable(socket_.get(), EV_READ);
}

void TestConnection::installCallbacks() {
    bufferevent_setcb(
        socket_.get(),
        [](bufferevent* socket, void* arg) {
            auto* self = static_cast<TestConnection*>(arg);
            evbuffer* input = bufferevent_get_input(socket);
            std::string bytes(evbuffer_get_length(input), '\0');
            evbuffer_remove(input, bytes.data(), bytes.size());
            self->received += bytes;
            if (self->onData) self->onData(*self);
        },
        nullptr,
        [](bufferevent*, short events, void* arg) {
            auto* self = static_cast<TestConnection*>(arg);
            ((events & BEV_EVENT_CONNECTED) == 0 ? self->closedByPeer : self->connected) = true;
        },
        this);
    bufferevent_enable(socket_.get(), EV_READ | EV_WRITE);
}
void TestConnection::sendAndShutdown(const std::string& bytes) {
    const evutil_socket_t fd = bufferevent_getfd(socket_.get());
    (void)!::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    shutdown(fd, SHUT_WR);
}
void TestConnection::sendAndReset(const std::string& bytes) {
    const evutil_socket_t fd = bufferevent_getfd(socket_.get());
    (void)!::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    const linger resetOnClose{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
    socket_.reset();
}
void TestConnection::send(const std::string& bytes) {
    if (socket_) bufferevent_write(socket_.get(), bytes.data(), bytes.size());
}

TestServer::TestServer(event_base* base, std::function<void(TestConnection&)> onData)
    : base_(base), onData_(std::move(onData)) {
    const sockaddr_in anyPort = Address{"127.0.0.1", 0}.socketAddress();
    listener_ = evconnlistener_new_bind(base, onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
                                        -1, reinterpret_cast<const sockaddr*>(&anyPort), sizeof anyPort);
    address = boundAddress(evconnlistener_get_fd(listener_));
}
TestServer::~TestServer() { evconnlistener_free(listener_); }
void TestServer::onAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
    auto* self = static_cast<TestServer*>(arg);
    self->connections.emplace_back(self->base_, fd).onData = self->onData_;
}

FullBacklogServer::FullBacklogServer(bool full)
    : listenerFd_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    const sockaddr_in anyPort = Address{"127.0.0.1", 0}.socketAddress();
    bind(listenerFd_, reinterpret_cast<const sockaddr*>(&anyPort), sizeof anyPort);
    address = boundAddress(listenerFd_);
    listen(listenerFd_, 0);
    if (full) fillBacklog();
}
FullBacklogServer::~FullBacklogServer() {
    for (const int fd : fillerFds_) close(fd);
    for (const int fd : acceptedFds_) close(fd);
    close(listenerFd_);
}
void FullBacklogServer::fillBacklog() {
    const sockaddr_in server = address.socketAddress();
    for (int i = 0; i < 3; ++i) {
        fillerFds_.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        (void)connect(fillerFds_.back(), reinterpret_cast<const sockaddr*>(&server), sizeof server);
    }
}
const std::string& FullBacklogServer::acceptAndRead() {
    for (int fd = 0; (fd = accept4(listenerFd_, nullptr, nullptr, SOCK_NONBLOCK)) >= 0;)
        acceptedFds_.push_back(fd);
    return readAccepted();
}
const std::string& FullBacklogServer::readAccepted() {
    char buffer[4096];
    for (const int fd : acceptedFds_) {
        for (ssize_t size = 0; (size = recv(fd, buffer, sizeof buffer, 0)) > 0;) {
            received_.append(buffer, static_cast<std::size_t>(size));
            unansweredFds_.insert(fd);
        }
    }
    return received_;
}
void FullBacklogServer::replyToUnanswered(const std::string& bytes) {
    for (const int fd : unansweredFds_) (void)!::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    unansweredFds_.clear();
}
void FullBacklogServer::resetAccepted() {
    const linger resetOnClose{1, 0};
    for (const int fd : acceptedFds_) {
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
        close(fd);
    }
    acceptedFds_.clear();
}

std::string ParsedHttpMessage::header(const std::string& name) const {
    const std::size_t start = head.find("\r\n" + name + ": ");
    if (start == head.npos) return "";
    const std::size_t value = start + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}
std::optional<ParsedHttpMessage> takeHttpMessage(std::string& text) {
    const std::size_t headEnd = text.find("\r\n\r\n");
    if (headEnd == text.npos) return std::nullopt;
    ParsedHttpMessage message{text.substr(0, headEnd + 2), ""};
    if (message.header("Transfer-Encoding") == "chunked") {
        for (std::size_t position = headEnd + 4;;) {
            const std::size_t lineEnd = text.find("\r\n", position);
            if (lineEnd == text.npos) return std::nullopt;
            const std::size_t size = std::stoul(text.substr(position, lineEnd - position), nullptr, 16);
            if (text.size() < lineEnd + 2 + size + 2) return std::nullopt;
            message.body += text.substr(lineEnd + 2, size);
            position = lineEnd + 2 + size + 2;
            if (size > 0) continue;
            text.erase(0, position);
            return message;
        }
    }
    const std::string length = message.header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    if (text.size() < headEnd + 4 + size) return std::nullopt;
    message.body = text.substr(headEnd + 4, size);
    text.erase(0, headEnd + 4 + size);
    return message;
}
std::string makeHttpReply(int code, const std::string& body, const std::string& headers) {
    return "HTTP/1.1 " + std::to_string(code) + " X\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n" + headers + "\r\n" + body;
}
StubHttpNode::StubHttpNode(event_base* base, Handler initialHandler)
    : handler(std::move(initialHandler)), listener(base, [this](TestConnection& connection) {
          while (const auto request = takeHttpMessage(connection.received)) {
              requests.push_back(*request);
              handler(connection, *request);
          }
      }) {}
void replyWithRequestId(TestConnection& connection, const ParsedHttpMessage& request) {
    connection.send(makeHttpReply(200, "made for " + request.header("Req-Id") + ":" + request.body));
}

// The program can bind the same port because both sockets set SO_REUSEADDR and this one does not listen.
ReservedAddress::ReservedAddress() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in anyPort = Address{"127.0.0.1", 0}.socketAddress();
    bind(fd_, reinterpret_cast<const sockaddr*>(&anyPort), sizeof anyPort);
    Address::operator=(boundAddress(fd_));
}
ReservedAddress::~ReservedAddress() { close(fd_); }
ReservedAddress& ReservedAddress::operator=(const ReservedAddress& other) {
    Address::operator=(other);
    return *this;
}

ProgramHarness::ProgramHarness(event_base* sharedBase)
    : ownedBase(sharedBase == nullptr ? makeEventBase() : nullptr),
      base{sharedBase == nullptr ? ownedBase.get() : sharedBase},
      discovery_(
          base.get(),
          [this](TestConnection& connection) {
              while (const auto call = takeHttpMessage(connection.received)) {
                  ++discoveryCallCount;
                  lastDiscoveryCall = call->startLine();
                  const auto queryParameter = [&](const std::string& name) {
                      const std::size_t start = lastDiscoveryCall.find(name + "=");
                      return start == lastDiscoveryCall.npos
                                 ? 0
                                 : std::stoi(lastDiscoveryCall.substr(start + name.size() + 1));
                  };
                  pendingCalls_.push_back({&connection, lastDiscoveryCall.find('?') == lastDiscoveryCall.npos,
                                           queryParameter("after"),
                                           std::chrono::steady_clock::now() +
                                               std::chrono::milliseconds(queryParameter("wait_ms"))});
              }
              answerDiscoveryCalls();
          }),
      folder_(createTempFolder()) {
    const Json classes = Json::array({{{"Name", "read"},
                                       {"AimMs", 300},
                                       {"DeadlineMs", 5000},
                                       {"Idempotency", "retryable"},
                                       {"Points", 3}},
                                      {{"Name", "write"},
                                       {"AimMs", 600},
                                       {"DeadlineMs", 5000},
                                       {"Idempotency", "dedup"},
                                       {"Group", "cell"},
                                       {"DedupWindowMs", 4000},
                                       {"Points", 2}}});
    const Json plans =
        Json::array({{{"Name", "basic"}, {"Rate", 50}, {"Reserve", 20}},
                     {{"Name", "capped"}, {"Rate", 50}, {"Reserve", 15}, {"Cap", 20}, {"CapDepth", 4}},
                     {{"Name", "heavy"}, {"Rate", 50}, {"Reserve", 20}, {"Proportion", 3}}});
    config = {{"name", "n0"},
              {"listen", listenAddress.toString()},
              {"discovery", discovery_.address.toString()},
              {"seed", "8c1f30d27a5be964"},
              {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
              {"peer_listen", peerListenAddress.toString()},
              {"peers", {peerListenAddress.toString()}},
              {"known", {{"seq", 0}, {"whole", true}, {"hosts", Json::array()}}},
              {"settings",
               {{"Classes", classes},
                {"ServiceLevels", plans},
                {"Siblings", 1},
                {"GranularityMs", 2},
                {"Rules", {{"DrainGraceMs", 1000}, {"AnswerSlackMs", 8}}},
                {"FamilyInfo", {{"MeanUnits", 2}, {"MaxUnits", 8}, {"Shards", 100}}},
                {"Limits",
                 {{"SendCap", 3},
                  {"MayCancel", true},
                  {"PeerMessages", true},
                  {"RetryAfter", true},
                  {"MaxRetryAfterMs", 1000},
                  {"MaxOpen", 1000},
                  {"DialTimeoutMs", 250},
                  {"ConnIdleMs", 15000}}}}}};
}

ProgramHarness::~ProgramHarness() {
    if (running()) {
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
    std::filesystem::remove_all(folder_);
}

void ProgramHarness::start() { startUntilHealthReply("HTTP/1.1 200"); }
void ProgramHarness::startUntilAnswering() { startUntilHealthReply("HTTP/1.1 "); }

void ProgramHarness::startAndTerminate() {
    launch();
    if (!waitUntil([this] { return log.find("start: listens") != std::string::npos || !running(); }))
        throw std::runtime_error("the program did not start: " + readFile(folder_ + "/log"));
    sendSignal(SIGTERM);
}

int ProgramHarness::terminateDuringConfigRead() {
    const std::string path = folder_ + "/config.json";
    if (mkfifo(path.c_str(), 0600) != 0)
        throw std::runtime_error("cannot create a FIFO for the configuration");
    pid_ = martencove::test::launch(folder_, config, {"martencove"}, tmpDir);
    std::ofstream pipe(path);  // blocks until the program opens the FIFO
    sendSignal(SIGTERM);
    pipe << config;
    pipe.close();
    (void)waitUntil([this] { return !running(); });
    return WIFEXITED(waitStatus_) ? WEXITSTATUS(waitStatus_) : 128 + WTERMSIG(waitStatus_);
}

void ProgramHarness::launch() {
    terminationRequested_ = false;
    if (config["known"].is_object() && config["known"]["hosts"].is_array())
        for (const Json& host : config["known"]["hosts"])
            if (host.is_object() && host.contains("host")) nodesByName_.try_emplace(host["host"], host);
    pid_ = spawn(folder_, config,
                 {{"nbd", nbdSection}, {"etcd", etcdSection}, {"xds", xdsSection}, {"nodes", nodesSection}},
                 extraArguments, tmpDir);
}

void ProgramHarness::startUntilHealthReply(const std::string& expectedPrefix) {
    launch();
    std::unique_ptr<TestConnection> health;
    const bool answered = waitUntil([&] {
        if (whileStarting) whileStarting();
        if (!health || health->closedByPeer ||
            (!health->received.empty() && !health->received.starts_with(expectedPrefix))) {
            health = std::make_unique<TestConnection>(base.get(), listenAddress);
            health->send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        }
        return health->received.starts_with(expectedPrefix) || !running();
    });
    if (!answered || !running())
        throw std::runtime_error("the program did not start: " + readFile(folder_ + "/log"));
}

void ProgramHarness::rewriteConfig(const std::string& text) const {
    std::ofstream(folder_ + "/config.json") << text;
}

bool ProgramHarness::waitUntil(const std::function<bool()>& condition, double timeoutMs) {
    const auto start = std::chrono::steady_clock::now();
    while (!condition()) {
        if (std::chrono::steady_clock::now() - start > std::chrono::duration<double, std::milli>(timeoutMs))
            return false;
        const timeval interval = toTimeval(5);
        event_base_loopexit(base.get(), &interval);
        event_base_loop(base.get(), EVLOOP_ONCE);
        answerDiscoveryCalls();
        readLog();
    }
    return true;
}

bool ProgramHarness::running() {
    if (pid_ > 0 && waitpid(pid_, &waitStatus_, WNOHANG) == pid_) pid_ = 0;
    return pid_ > 0;
}

long long ProgramHarness::privateMemoryBytes() const {
    constexpr long long kBytesPerUnit = 1024;
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    const std::string field = "RssAnon:";
    for (std::string line; std::getline(status, line);)
        if (line.starts_with(field)) return std::stoll(line.substr(field.size())) * kBytesPerUnit;
    return 0;
}

std::size_t ProgramHarness::descriptorCount() const {
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid_) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

int ProgramHarness::stopAndWait(int signal) {
    if (running() && !(terminationRequested_ && signal == SIGTERM)) sendSignal(signal);
    if (!waitUntil([this] { return !running(); })) return -1;
    return WIFEXITED(waitStatus_) ? WEXITSTATUS(waitStatus_) : 128 + WTERMSIG(waitStatus_);
}

void ProgramHarness::readLog() { log = readFile(folder_ + "/log"); }

Json ProgramHarness::makeNodeEntry(const std::string& name, const Address& address, int shard,
                                   const std::string& health) const {
    return {{"host", name},   {"dial", address.toString()}, {"site", "a"},  {"class", "m"},
            {"block", shard}, {"health", health},           {"share", 1.0}, {"born_ms", 0}};
}
void ProgramHarness::announceNode(const std::string& name, const Address& address, int shard,
                                  const std::string& health) {
    const Json entry = makeNodeEntry(name, address, shard, health);
    changesByVersion_[++version_] = entry;
    nodesByName_[name] = entry;
    if (health == "gone") nodesByName_.erase(name);
    answerDiscoveryCalls();
}
void ProgramHarness::replyRawToNextWatch(const std::string& body) {
    rawReply_ = body;
    answerDiscoveryCalls();
}
void ProgramHarness::replyRawThenClose(const std::string& bytes) {
    closeAfterRawReply_ = true;
    replyRawToNextWatch(bytes);
}
void ProgramHarness::setDiscoveryAnswers(bool on) {
    answersDiscovery_ = on;
    answerDiscoveryCalls();
}
// Answers as the discovery service does: a call for the whole list at once, a watch with the changes that are
// newer than the version it names, or with an empty list when its wait time ends. A raw reply goes to the
// next watch.
void ProgramHarness::answerDiscoveryCalls() {
    std::erase_if(pendingCalls_, [this](const PendingCall& call) {
        if (call.connection->closedByPeer) return true;
        if (!answersDiscovery_) return false;
        Json hosts = Json::array();
        if (call.wantsSnapshot) {
            for (const auto& [name, host] : nodesByName_) hosts.push_back(host);
        } else {
            if (!rawReply_.empty()) {
                const std::string raw = std::exchange(rawReply_, {});
                std::exchange(closeAfterRawReply_, false) ? call.connection->sendAndShutdown(raw)
                                                          : call.connection->send(makeHttpReply(200, raw));
                return true;
            }
            for (const auto& [version, change] : changesByVersion_)
                if (version > call.afterVersion) hosts.push_back(change);
            if (hosts.empty() && std::chrono::steady_clock::now() < call.answerByTime) return false;
        }
        const Json list{{"seq", version_}, {"whole", call.wantsSnapshot}, {"hosts", hosts}};
        call.connection->send(makeHttpReply(200, list.dump()));
        return true;
    });
}

TestConnection& ProgramHarness::connect() { return connect(listenAddress); }
TestConnection& ProgramHarness::connect(const Address& server) {
    return clients_.emplace_back(base.get(), server);
}
ParsedHttpMessage ProgramHarness::sendRequest(const std::string& request) {
    TestConnection connection(base.get(), listenAddress);
    connection.send(request);
    std::optional<ParsedHttpMessage> response;
    (void)waitUntil(
        [&] { return (response = takeHttpMessage(connection.received)) || connection.closedByPeer; });
    return response.value_or(ParsedHttpMessage{"HTTP/1.1 000 closed\r\n", ""});
}
std::string ProgramHarness::makeRequest(const std::string& id, const std::string& extraHeaders,
                                        int deadlineMs, const std::string& body) {
    return std::string(body.empty() ? "GET /read" : "PUT /write") +
           "/00000003b4d60021/7f3a9c21e0b4d655?x=1 HTTP/1.1\r\nHost: b\r\nReq-Id: " + id +
           "\r\nTier: basic\r\nReq-Deadline-Ms: " + std::to_string(deadlineMs) +
           "\r\nIO-Info: units=2,shard=5,hosts=1\r\n" + extraHeaders +
           (body.empty() ? ""
                         : "Idempotency-Key: k\r\nContent-Length: " + std::to_string(body.size()) + "\r\n") +
           "\r\n" + body;
}
long long ProgramHarness::readCounter(const std::string& name) {
    const std::string text = '\n' + sendRequest("GET /counters HTTP/1.1\r\nHost: b\r\n\r\n").body;
    const std::size_t start = text.find('\n' + name + ' ');
    return start == text.npos ? 0 : std::stoll(text.substr(start + name.size() + 2));
}

std::pair<int, std::string> runUntilExit(const Json& config, const Json& nbd, const Json& etcd) {
    const std::string folder = createTempFolder();
    int status = 0;
    waitpid(spawn(folder, config, {{"nbd", nbd}, {"etcd", etcd}}), &status, 0);
    const std::string log = readFile(folder + "/log");
    std::filesystem::remove_all(folder);
    return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, log};
}

}  // namespace martencove::test
