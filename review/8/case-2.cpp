// Case 8: half-written requests take a scheduler over its limit of memory.
//
// Eight usual clients ask for reads, one request at a time, for 12 s. The disruption: within 2 s, 1,200 other
// connections arrive that write a PUT with a long head of short fields (under 8 KiB) and most of its body (the longest
// that the protocol allows) and then stop. The platform samples the process and kills it over `memory_mb`. What it
// counts is less than the limit of a platform would count: only the private memory (RssAnon), not files and libraries.
// PLAIN=1: an ordinary head, and 32 MB with 1,024 descriptors.
#include "standin.h"

using namespace standin;

namespace {

constexpr int kStorageNodes = 8, kUsualClients = 8, kHalfWritten = 1200, kShortFields = 1'250;
constexpr double kDayMs = 12'000, kTroubleAtMs = 3'000, kTroubleMs = 2'000;

long privateKb(pid_t pid) {
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("RssAnon:")) return std::strtol(line.c_str() + 8, nullptr, 10);
    return 0;
}

}  // namespace

int main(int count, char** values) {
    const Setup setup(count, values);
    const bool plain = std::getenv("PLAIN") != nullptr;
    const int memoryMb = plain ? 32 : 48, sockets = plain ? 1024 : 640;
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    if (files.rlim_cur < 800) cannotRun("fewer than 800 descriptors for the stand-ins");
    Record record(setup.caseFolder + "/record.txt");

    std::atomic<int> executed = 0;
    std::vector<std::unique_ptr<Server>> storageNodes;
    std::string hosts;
    for (int i = 0; i < kStorageNodes; ++i) {
        storageNodes.push_back(std::make_unique<Server>([&](Connection& connection, const Message& request) {
            sleepMs(30);
            ++executed;
            return connection.send(answer(200, request.header("Req-Id")));
        }));
        hosts += (i > 0 ? "," : "") + hostEntry("s-" + hex16(i + 1).substr(8), storageNodes.back()->port, i);
    }
    Discovery discovery(hosts);
    const int port = freePort();
    const std::string configuration =
        R"({"name":"n0","listen":")" + addressText(port) + R"(","discovery":")" + addressText(discovery.port()) +
        R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)" + std::to_string(memoryMb) +
        R"(,"sockets":)" + std::to_string(sockets) + R"(},"known":)" + discovery.list() + R"(,"settings":{
  "Classes":[
   {"Name":"profile-read","AimMs":300,"DeadlineMs":2000,"Idempotency":"retryable","DedupWindowMs":5000,"Points":3,"LateWorth":0.15,"Stream":false,"Group":"all"},
   {"Name":"new-write","AimMs":600,"DeadlineMs":4000,"Idempotency":"dedup","DedupWindowMs":4000,"Points":2,"LateWorth":0.2,"Stream":false,"Group":"cell"}],
  "ServiceLevels":[
   {"Name":"standard","Rate":3,"Reserve":0.9,"Cap":24,"CapDepth":48,"CapSlack":8,"Proportion":1,"WorthFactor":0.8},
   {"Name":"priority","Rate":4.4,"Reserve":5.3,"Cap":0,"CapDepth":0,"CapSlack":0,"Proportion":3,"WorthFactor":0.9}],
  "Discovery":"pushed","Siblings":1,"SelfIndex":0,"GranularityMs":2,
  "FamilyInfo":{"ColdUnits":22,"MaxUnits":8,"MeanUnits":2.18,"Shards":8},
  "Limits":{"SendCap":3,"MayCancel":true,"ParallelTries":true,"RetryAfter":true,"MaxRetryAfterMs":1000,"DialTimeoutMs":250,"ConnIdleMs":15000,"MaxOpen":26666},
  "Rules":{"AnswerSlackMs":8,"ColdShare":0.25,"DrainGraceMs":1000,"FallMs":1000,"OverloadFactor":4,"WarmWithinMs":13000,"MustAskInMs":10000}}})";
    const std::string file = setup.write("config.json", configuration);
    Process scheduler(setup.root, setup.run, setup.temporary, file, setup.temporary + "/log");
    if (!waitUntilReady(port, "/healthz", 10'000)) cannotRun("the scheduler is not ready");
    record.line("scheduler: memory_mb %d, sockets %d; private memory %ld kB", memoryMb, sockets,
                privateKb(scheduler.pid()));

    const double beginMs = nowMs();
    std::atomic<bool> over = false;
    std::atomic<int> answered = 0, unanswered = 0;
    std::vector<std::thread> threads;
    for (int k = 0; k < kUsualClients; ++k)
        threads.emplace_back([&, k] {
            std::unique_ptr<Connection> connection;
            for (int i = 0; !over; ++i) {
                if (!connection) connection = Connection::open(port);
                Request request{.className = "profile-read", .id = "u" + std::to_string(k) + "x" + std::to_string(i),
                                .piece = hex16(1000 * k + i), .body = "", .shard = (k + i) % kStorageNodes};
                Message reply;
                const bool sent = connection && connection->send(request.text());
                const auto read = sent ? connection->read(reply, nowMs() + 2'550) : Connection::Read::closed;
                if (read == Connection::Read::message) {
                    ++answered;
                    if (reply.header("Connection") == "close") connection.reset();
                } else {
                    if (sent) {
                        ++unanswered;
                        record.line("usual client %d: request %s got no answer", k, request.id.c_str());
                    }
                    connection.reset();
                    sleepMs(200);
                }
                sleepMs(20);
            }
        });
    std::vector<std::unique_ptr<Connection>> halfWritten;
    std::atomic<int> arrived = 0;
    if (setup.trouble)
        threads.emplace_back([&] {
            while (nowMs() < beginMs + kTroubleAtMs) sleepMs(10);
            for (int i = 0; i < kHalfWritten && !over; ++i) {
                while (nowMs() < beginMs + kTroubleAtMs + kTroubleMs * i / kHalfWritten) sleepMs(1);
                Request request{.className = "new-write", .id = "h" + std::to_string(i), .piece = hex16(i),
                                .body = std::string(65'536, 'z'), .isWrite = true, .deadlineMs = 4000,
                                .shard = i % kStorageNodes};
                std::string text = request.text();
                for (int field = 0; field < kShortFields && !plain; ++field)
                    text.insert(text.find("Content-Length"), "x: 1\r\n");
                auto connection = Connection::open(port);
                if (!connection) continue;
                (void)connection->send(text.substr(0, text.size() - 1'000));
                ++arrived;
                halfWritten.push_back(std::move(connection));
            }
        });

    long peakKb = 0;
    bool killed = false, ended = false;
    for (double nextLineMs = 0; nowMs() < beginMs + kDayMs; sleepMs(10)) {
        if (!scheduler.isRunning()) {
            ended = true;
            record.line("platform: the scheduler has ended");
            break;
        }
        const long kb = privateKb(scheduler.pid());
        peakKb = std::max(peakKb, kb);
        if (nowMs() >= nextLineMs) {
            record.line("platform: private memory %ld kB; half-written so far %d; usual requests answered %d", kb,
                        arrived.load(), answered.load());
            nextLineMs = nowMs() + 500;
        }
        if (kb > memoryMb * 1024L) {
            killed = true;
            record.line("platform: %ld kB is over memory_mb %d (%d kB): kills the scheduler; half-written so far %d",
                        kb, memoryMb, memoryMb * 1024, arrived.load());
            scheduler.signal(SIGKILL);
            sleepMs(3'000);
            break;
        }
    }
    over = true;
    for (std::thread& thread : threads) thread.join();
    if (!killed && !ended) scheduler.signal(SIGTERM);
    record.line("peak of the private memory %ld kB; usual requests answered %d, with no answer %d; executed %d", peakKb,
                answered.load(), unanswered.load(), executed.load());
    scheduler.signal(SIGKILL);
    finish(record, killed || ended);
}
