// Shares come out the same on both fronts: one program is asked over HTTP and one over NBD, for the same
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

constexpr double kUnitMs = 10;  // a node's work on a unit
constexpr int kUnitBytes = 512;
constexpr const char* kPlans[] = {"basic", "capped", "heavy"};
constexpr int kVolumes = 3;

/// A node's one worker: what comes is done in turn.
class Worker {
public:
    explicit Worker(event_base* base) : base_(base) {}
    void work(double units, const std::function<void()>& then) {
        const double now = clock_.nowMs();
        untilMs_ = std::max(now, untilMs_) + units * kUnitMs;
        done_.push_back(std::make_unique<Timer>(base_, then));
        done_.back()->start(untilMs_ - now);
        if (done_.size() > 4096) done_.pop_front();
    }

private:
    event_base* base_;
    martencove::Clock clock_;
    double untilMs_ = 0;
    std::list<std::unique_ptr<Timer>> done_;
};

std::string volumeName(int volume) { return "000000000000000" + std::to_string(volume); }

struct Both {
    Both()
        : base(martencove::makeEventBase()),
          http(base.get()),
          nbd(base.get()),
          httpWorker(base.get()),
          nbdWorker(base.get()),
          httpNode(base.get(),
                   [this](TestConnection& wire, const ParsedHttpMessage& request) {
                       const double units = std::stod(request.header("IO-Info").substr(6));
                       httpWorker.work(units, [&wire, request] { replyWithRequestId(wire, request); });
                   }),
          nbdNode(base.get(), [this](TestConnection& wire, const CommandMessage& c) {
              nbdWorker.work(std::ceil(double(c.length) / kUnitBytes), [&wire, c] {
                  chunk(wire, c, ChunkType::data, encodeData(c.offset, std::string(c.length, 'x')), true);
              });
          }) {
        http.config["known"]["hosts"].push_back(
            http.makeNodeEntry("s-1", httpNode.listener.address, 5, "ready"));
        nbd.config["known"]["hosts"].push_back(
            nbd.makeNodeEntry("s-1", nbdNode.listener.address, 5, "ready"));
        nbd.nbdSection = {{"listen", nbd.nbdListenAddress.toString()},
                          {"unit_bytes", kUnitBytes},
                          {"exports", Json::array()},
                          {"nodes", {{"s-1", nbdNode.listener.address.toString()}}}};
        for (int v = 0; v < kVolumes; ++v)
            nbd.nbdSection["exports"].push_back({{"name", kPlans[v]},
                                                 {"bytes", kSize},
                                                 {"volume", volumeName(v)},
                                                 {"plan", kPlans[v]},
                                                 {"shard", 5},
                                                 {"read_only", true},
                                                 {"read_class", "read"}});
        http.start();
        nbd.start();
    }
    bool until(const std::function<bool()>& holds, double mostMs = 20000) {
        return http.waitUntil(
            [&] {
                nbdNode.greet();
                return holds();
            },
            mostMs);
    }
    /// A connection for each export, ready for commands.
    void open(int volume) {
        TestConnection& wire = nbd.connect(nbd.nbdListenAddress);
        wires[volume].push_back(&wire);
        wire.send(encodeClientFlags(kFixedNewstyle | kNoZeroes) +
                  encode(OptionMessage{Option::structuredReply, ""}) +
                  encode(OptionMessage{Option::go, encode(InfoRequest{kPlans[volume], {}})}));
    }
    void ask(int volume, int units) {
        const std::string id = std::to_string(++asked);
        std::string request = http.makeRequest(id);
        request.replace(request.find("00000003b4d60021"), 16, volumeName(volume));
        request.replace(request.find("Tier: basic"), 11, "Tier: " + std::string(kPlans[volume]));
        request.replace(request.find("units=2"), 7, "units=" + std::to_string(units));
        TestConnection* free = nullptr;
        for (TestConnection* wire : clients) {
            if (takeHttpMessage(wire->received)) ++answered, busy.erase(wire);
            if (!busy.contains(wire)) free = wire;
        }
        if (free == nullptr) free = clients.emplace_back(&http.connect());
        busy.insert(free);
        free->send(request);
        auto& to = wires[volume];
        to[asked % to.size()]->received.clear();
        to[asked % to.size()]->send(encode(CommandMessage{0, Command::read, std::uint64_t(asked), 0,
                                                          std::uint32_t(units * kUnitBytes), ""}));
    }
    std::vector<long long> served(ProgramHarness& world) {
        std::vector<long long> out;
        for (int v = 0; v < kVolumes; ++v)
            out.push_back(world.readCounter("units_served_plan_" + std::to_string(v)));
        return out;
    }
    long long answers(ProgramHarness& world) {
        return world.readCounter("answer_served") + world.readCounter("answer_refused") +
               world.readCounter("answer_failed");
    }

    LibeventPtr<event_base> base;
    ProgramHarness http, nbd;
    Worker httpWorker, nbdWorker;
    StubHttpNode httpNode;
    NbdNode nbdNode;
    std::vector<TestConnection*> wires[kVolumes];
    std::vector<TestConnection*> clients;
    std::set<TestConnection*> busy;
    int asked = 0, answered = 0;
};

}  // namespace

// Nothing here is near a limit, so every unit is served, and the two accounts must agree to the unit.
TEST_CASE("share accounting, short form: the same requests count the same units on both fronts") {
    Both t;
    for (const int volume : {0, 2}) t.open(volume);
    long long units = 0;
    for (int i = 1; i <= 40; ++i) {
        for (const int volume : {0, 2}) t.ask(volume, 1 + i % 4);
        units += 1 + i % 4;
        REQUIRE(t.until([&] { return t.answers(t.http) == 2 * i && t.answers(t.nbd) == 2 * i; }));
    }
    CHECK(t.served(t.http) == std::vector<long long>{units, 0, units});
    CHECK(t.served(t.nbd) == t.served(t.http));
}

// Opt-in: MARTENCOVE_SHARE_SECONDS=600 asks both programs for 1.6 times what their node can do.
TEST_CASE("share accounting, long form: under pressure each volume's share is the same within 2% of all") {
    const char* seconds = std::getenv("MARTENCOVE_SHARE_SECONDS");
    if (seconds == nullptr) return;
    Both t;
    for (int volume = 0; volume < kVolumes; ++volume) {
        for (int i = 0; i < 4; ++i) t.open(volume);
    }
    int step = 0;
    Timer* again = nullptr;
    Timer load(t.base.get(), [&] {
        // 60, 40 and 60 units a second, in requests of 1 to 4.
        constexpr int kEvery[kVolumes] = {4, 6, 4};
        ++step;
        for (int v = 0; v < kVolumes; ++v) {
            if (step % kEvery[v] == 0) t.ask(v, 1 + (step / kEvery[v]) % 4);
        }
        again->start(10);
    });
    again = &load;
    load.start(0);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(std::atoi(seconds));
    REQUIRE(t.until([&] { return std::chrono::steady_clock::now() >= end; }, 1e9));
    load.stop();
    const auto http = t.served(t.http), nbd = t.served(t.nbd);
    double httpAll = 0, nbdAll = 0;
    for (int v = 0; v < kVolumes; ++v) httpAll += http[v], nbdAll += nbd[v];
    for (int v = 0; v < kVolumes; ++v) {
        const double a = http[v] / httpAll, b = nbd[v] / nbdAll;
        MESSAGE(std::string(kPlans[v])
                << ": units served http " << http[v] << " nbd " << nbd[v] << ", shares " << a << " " << b
                << ", apart by " << 100 * std::abs(a - b) / a << "%");
        CHECK(std::abs(a - b) <= 0.02);  // of all units
    }
    MESSAGE("units served in all: http " << httpAll << " nbd " << nbdAll);
    CHECK(std::abs(httpAll - nbdAll) <= 0.02 * httpAll);
}
