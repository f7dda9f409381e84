// Compares the shares on both fronts: one program gets requests over HTTP and one over NBD, for the same
// units.
#include <doctest/doctest.h>

#include <cmath>
#include <cstdlib>

#include "core/clock.h"
#include "nbd_node.h"

using namespace martencove::test;
using martencove::LibeventPtr;
using martencove::Timer;

namespace {

constexpr double kMsPerUnit = 10;  // a node's time for one unit
constexpr int kBytesPerUnit = 512;
constexpr const char* kPlans[] = {"basic", "capped", "heavy"};
constexpr int kVolumes = 3;

/// A node's single worker, which handles requests one after another.
class SerialWorker {
public:
    explicit SerialWorker(event_base* base) : base_(base) {}
    void run(double units, const std::function<void()>& onDone) {
        const double now = clock_.nowMs();
        busyUntilMs_ = std::max(now, busyUntilMs_) + units * kMsPerUnit;
        timers_.push_back(std::make_unique<Timer>(base_, onDone));
        timers_.back()->start(busyUntilMs_ - now);
        if (timers_.size() > 4096) timers_.pop_front();
    }

private:
    event_base* base_;
    martencove::Clock clock_;
    double busyUntilMs_ = 0;
    std::list<std::unique_ptr<Timer>> timers_;
};

std::string volumeId(int volume) { return "000000000000000" + std::to_string(volume); }

struct TwoFrontsHarness {
    TwoFrontsHarness()
        : base(martencove::makeEventBase()),
          httpProgram(base.get()),
          nbdProgram(base.get()),
          httpWorker(base.get()),
          nbdWorker(base.get()),
          httpNode(base.get(),
                   [this](TestConnection& connection, const ParsedHttpMessage& request) {
                       const double units = std::stod(request.header("IO-Info").substr(6));
                       httpWorker.run(units,
                                      [&connection, request] { replyWithRequestId(connection, request); });
                   }),
          nbdNode(base.get(), [this](TestConnection& connection, const CommandMessage& command) {
              nbdWorker.run(std::ceil(double(command.length) / kBytesPerUnit), [&connection, command] {
                  sendChunk(connection, command, ChunkType::data,
                            encodeData(command.offset, std::string(command.length, 'x')), true);
              });
          }) {
        httpProgram.config["known"]["hosts"].push_back(
            httpProgram.makeNodeEntry("s-1", httpNode.listener.address, 5, "ready"));
        nbdProgram.config["known"]["hosts"].push_back(
            nbdProgram.makeNodeEntry("s-1", nbdNode.listener.address, 5, "ready"));
        nbdProgram.nbdSection = {{"listen", nbdProgram.nbdListenAddress.toString()},
                                 {"unit_bytes", kBytesPerUnit},
                                 {"exports", Json::array()},
                                 {"nodes", {{"s-1", nbdNode.listener.address.toString()}}}};
        for (int v = 0; v < kVolumes; ++v)
            nbdProgram.nbdSection["exports"].push_back({{"name", kPlans[v]},
                                                        {"bytes", kExportBytes},
                                                        {"volume", volumeId(v)},
                                                        {"plan", kPlans[v]},
                                                        {"shard", 5},
                                                        {"read_only", true},
                                                        {"read_class", "read"}});
        httpProgram.start();
        nbdProgram.start();
    }
    bool waitUntil(const std::function<bool()>& condition, double timeoutMs = 20000) {
        return httpProgram.waitUntil(
            [&] {
                nbdNode.sendGreetings();
                return condition();
            },
            timeoutMs);
    }
    /// Opens a connection to the export of `volume`.
    void openExport(int volume) {
        TestConnection& connection = nbdProgram.connect(nbdProgram.nbdListenAddress);
        nbdConnections[volume].push_back(&connection);
        connection.send(encodeClientFlags(kFixedNewstyle | kNoZeroes) +
                        encode(OptionMessage{Option::structuredReply, ""}) +
                        encode(OptionMessage{Option::go, encode(InfoRequest{kPlans[volume], {}})}));
    }
    void sendRead(int volume, int units) {
        const std::string id = std::to_string(++requestCount);
        std::string request = httpProgram.makeRequest(id);
        request.replace(request.find("00000003b4d60021"), 16, volumeId(volume));
        request.replace(request.find("Tier: basic"), 11, "Tier: " + std::string(kPlans[volume]));
        request.replace(request.find("units=2"), 7, "units=" + std::to_string(units));
        TestConnection* idleClient = nullptr;
        for (TestConnection* connection : httpClients) {
            if (takeHttpMessage(connection->received)) ++httpReplyCount, busyHttpClients.erase(connection);
            if (!busyHttpClients.contains(connection)) idleClient = connection;
        }
        if (idleClient == nullptr) idleClient = httpClients.emplace_back(&httpProgram.connect());
        busyHttpClients.insert(idleClient);
        idleClient->send(request);
        auto& connections = nbdConnections[volume];
        connections[requestCount % connections.size()]->received.clear();
        connections[requestCount % connections.size()]->send(encode(CommandMessage{
            0, Command::read, std::uint64_t(requestCount), 0, std::uint32_t(units * kBytesPerUnit), ""}));
    }
    std::vector<long long> servedUnits(ProgramHarness& program) {
        std::vector<long long> out;
        for (int v = 0; v < kVolumes; ++v)
            out.push_back(program.readCounter("units_served_plan_" + std::to_string(v)));
        return out;
    }
    long long answerCount(ProgramHarness& program) {
        return program.readCounter("answer_served") + program.readCounter("answer_refused") +
               program.readCounter("answer_failed");
    }

    LibeventPtr<event_base> base;
    ProgramHarness httpProgram, nbdProgram;
    SerialWorker httpWorker, nbdWorker;
    StubHttpNode httpNode;
    StubNbdNode nbdNode;
    std::vector<TestConnection*> nbdConnections[kVolumes];
    std::vector<TestConnection*> httpClients;
    std::set<TestConnection*> busyHttpClients;
    int requestCount = 0, httpReplyCount = 0;
};

}  // namespace

// No limit is reached, so every unit is served and both programs must count exactly the same units.
TEST_CASE("share accounting, short form: the same requests count the same units on both fronts") {
    TwoFrontsHarness harness;
    for (const int volume : {0, 2}) harness.openExport(volume);
    long long units = 0;
    for (int i = 1; i <= 40; ++i) {
        for (const int volume : {0, 2}) harness.sendRead(volume, 1 + i % 4);
        units += 1 + i % 4;
        REQUIRE(harness.waitUntil([&] {
            return harness.answerCount(harness.httpProgram) == 2 * i &&
                   harness.answerCount(harness.nbdProgram) == 2 * i;
        }));
    }
    CHECK(harness.servedUnits(harness.httpProgram) == std::vector<long long>{units, 0, units});
    CHECK(harness.servedUnits(harness.nbdProgram) == harness.servedUnits(harness.httpProgram));
}

// Opt-in: MARTENCOVE_SHARE_SECONDS=600 loads both programs with 1.6 times the capacity of their node.
TEST_CASE(
    "share accounting, long form: under overload each volume's shares differ by at most 2% of all units") {
    const char* seconds = std::getenv("MARTENCOVE_SHARE_SECONDS");
    if (seconds == nullptr) return;
    TwoFrontsHarness harness;
    for (int volume = 0; volume < kVolumes; ++volume) {
        for (int i = 0; i < 4; ++i) harness.openExport(volume);
    }
    int step = 0;
    Timer* loadTimer = nullptr;
    Timer load(harness.base.get(), [&] {
        // 60, 40 and 60 units a second, in requests of 1 to 4.
        constexpr int kStepsPerRequest[kVolumes] = {4, 6, 4};
        ++step;
        for (int v = 0; v < kVolumes; ++v) {
            if (step % kStepsPerRequest[v] == 0) harness.sendRead(v, 1 + (step / kStepsPerRequest[v]) % 4);
        }
        loadTimer->start(10);
    });
    loadTimer = &load;
    load.start(0);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(std::atoi(seconds));
    REQUIRE(harness.waitUntil([&] { return std::chrono::steady_clock::now() >= end; }, 1e9));
    load.stop();
    const auto httpUnits = harness.servedUnits(harness.httpProgram),
               nbdUnits = harness.servedUnits(harness.nbdProgram);
    double httpTotal = 0, nbdTotal = 0;
    for (int v = 0; v < kVolumes; ++v) httpTotal += httpUnits[v], nbdTotal += nbdUnits[v];
    for (int v = 0; v < kVolumes; ++v) {
        const double httpShare = httpUnits[v] / httpTotal, nbdShare = nbdUnits[v] / nbdTotal;
        MESSAGE(std::string(kPlans[v]) << ": units served http " << httpUnits[v] << " nbd " << nbdUnits[v]
                                       << ", shares " << httpShare << " " << nbdShare << ", difference "
                                       << 100 * std::abs(httpShare - nbdShare) / httpShare << "%");
        CHECK(std::abs(httpShare - nbdShare) <= 0.02);  // of all units
    }
    MESSAGE("units served in total: http " << httpTotal << " nbd " << nbdTotal);
    CHECK(std::abs(httpTotal - nbdTotal) <= 0.02 * httpTotal);
}
