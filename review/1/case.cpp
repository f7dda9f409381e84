// Case 1: some answers of storage nodes come twice, the second time some milliseconds late. Each client must
// get the answer that a node made for its own request.
#include "standin.h"

using namespace standin;

namespace {

constexpr int kNodes = 12;
constexpr int kClients = 40;
constexpr double kRunMs = 20000;
constexpr int kTwiceOneIn = 10;                       // the share of answers that come twice
constexpr double kLateFromMs = 4, kLateUntilMs = 6;   // how late the second one comes

}  // namespace

int main(int argc, char** argv) {
    if (argc != 3) return 2;
    const bool trouble = std::string(std::getenv("TROUBLE")) != "0";
    Record record(std::string(argv[1]) + "/record.txt");
    std::atomic<int> twice{0};
    Discovery discovery;
    std::vector<std::unique_ptr<Server>> nodes;
    std::atomic<unsigned> connections{0};
    for (int n = 0; n < kNodes; ++n) {
        nodes.push_back(std::make_unique<Server>([&, n](Connection& connection) {
            std::mt19937 random(++connections);
            Message request;
            while (connection.read(request, nowMs() + 600000) == Read::message) {
                const std::string id = request.header("req-id");
                sleepMs(30 + static_cast<int>(random() % 20));  // the work of a profile-read: 30 to 49 ms
                record.line("run      %s at s-%d", id.c_str(), n);
                const std::string answer = reply(200, "made for " + id);
                if (!connection.write(answer)) return;
                if (!trouble || random() % kTwiceOneIn != 0) continue;
                sleepMs(std::uniform_real_distribution<double>(kLateFromMs, kLateUntilMs)(random));
                ++twice;
                record.line("repeated %s at s-%d: the same answer once more", id.c_str(), n);
                if (!connection.write(answer)) return;
            }
        }));
        discovery.add("s-" + std::to_string(n), nodes.back()->port, n);
    }
    Program program(argv[2], discovery, settings(kNodes), 192, 1024);
    if (!program.waitReady()) return 2;
    std::atomic<bool> stop{false};
    std::atomic<int> sent{0}, own{0}, foreign{0}, refused{0}, other{0};
    std::vector<std::thread> clients;
    for (int client = 0; client < kClients; ++client)
        clients.emplace_back([&, client] {
            std::mt19937 random(static_cast<unsigned>(client));
            std::unique_ptr<Connection> connection;
            for (std::uint64_t k = 1; !stop; ++k) {
                sleepMs(static_cast<int>(random() % 300));
                const std::string id = hex16((static_cast<std::uint64_t>(client + 1) << 32) + k);
                const bool write = random() % 3 == 0;
                const std::string body = write ? "data of " + id : "";
                if (!connection) {
                    const int fd = connectTo(program.port);
                    if (fd < 0) continue;
                    connection = std::make_unique<Connection>(fd);
                }
                const char* requestClass = write ? "new-write" : "profile-read";
                const int deadlineMs = write ? 4000 : 2000;
                ++sent;
                record.line("sent     %s %s", id.c_str(), requestClass);
                Message answer;
                if (!connection->write(requestHead(requestClass, write, id, 1 + static_cast<int>(random() % 40),
                                                   hex16(random()), deadlineMs, 1,
                                                   static_cast<int>(random() % kNodes), body.size()) +
                                       body) ||
                    connection->read(answer, nowMs() + deadlineMs + 550) != Read::message) {
                    ++other;
                    record.line("ended    %s without an answer", id.c_str());
                    connection.reset();
                    continue;
                }
                const bool isOwn = answer.body == "made for " + id;
                record.line("answered %s %d %s%s", id.c_str(), answer.status(), answer.body.c_str(),
                            answer.status() == 200 && !isOwn ? "  <-- FOREIGN" : "");
                if (answer.status() == 200)
                    isOwn ? ++own : ++foreign;
                else
                    answer.status() == 503 ? ++refused : ++other;
                if (answer.header("connection") == "close") connection.reset();
            }
        });
    sleepMs(kRunMs);
    stop = true;
    for (std::thread& client : clients) client.join();
    const bool ran = program.running();
    program.stop();
    char summary[300];
    std::snprintf(summary, sizeof summary,
                  "requests %d, served with their own answer %d, with a foreign answer %d, refused %d, other %d; "
                  "answers that came twice %d",
                  sent.load(), own.load(), foreign.load(), refused.load(), other.load(), twice.load());
    record.line("%s", summary);
    std::puts(summary);
    std::fflush(stdout);
    if (!ran || sent < 500 || (trouble && twice < 20)) std::_Exit(2);
    std::_Exit(foreign > 0 ? 1 : 0);
}
