// Measures how the program replaces the nodes of a node file: the time from the last byte written until the
// new version is in force, the longest stall of the event loop in between, and the resident memory. The
// baseline applies the same membership as one whole list.
//   swap_bench [NODES...]
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "core/dispatcher.h"
#include "files/node_file.h"
#include "files/node_file_source.h"

using namespace martencove;

namespace {

// The text of a node file of one version, in which every node's weight differs from that of the previous
// version.
std::string makeNodeFile(std::uint64_t version, int nodes) {
    std::string text = "version: " + std::to_string(version) + "\ncount: " + std::to_string(nodes) + '\n';
    for (int i = 0; i < nodes; ++i)
        text += "node { name: \"node-" + std::to_string(i) + "\" dial: \"10." +
                std::to_string(i / 65536 % 256) + '.' + std::to_string(i / 256 % 256) + '.' +
                std::to_string(i % 256) + ":8443\" shard: " + std::to_string(i / 3) +
                " weight: " + std::to_string(1 + (i + version) % 4) + " rack: \"r" + std::to_string(i % 40) +
                "\" }\n";
    return files::withTrailer(text, version);
}

double residentMb() {
    std::ifstream file("/proc/self/statm");
    long pages = 0;
    file >> pages >> pages;  // the first field is the total size, the second the resident one
    return static_cast<double>(pages) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

// The part of the program that takes a node file, on an event loop of its own.
struct SwapBench {
    explicit SwapBench(const std::string& path)
        : base(makeEventBase()),
          log(clock, limits, LogFormat::text),
          source(base.get(), makeConfig(path), clock, limits, counters, log),
          initialNodes(source.takeInitialNodes()),
          facade(makeSettings(), 1, clock.nowMs(), initialNodes),
          dispatcher(facade, clock, limits, counters,
                     {[](double) {}, [](const PeerMessage&) {}, [](const std::string&) {}}, initialNodes),
          tickTimer(base.get(), [this] { onTick(); }) {
        source.start([this](const NodeList& list) { dispatcher.updateNodes(list); });
        lastTickMs = clock.nowMs();
        tickTimer.start(0.1);
    }
    static files::NodeFileConfig makeConfig(const std::string& path) {
        files::NodeFileConfig config;
        config.paths = {path};
        return config;
    }
    static limedrum::Settings makeSettings() {
        limedrum::Settings settings;
        settings.classes.push_back({.aimMs = 300, .deadlineMs = 2000});
        settings.plans.push_back({.rate = 10});
        return settings;
    }
    // The timer fires every 0.1 ms; any delay beyond that is a stall of the loop.
    void onTick() {
        const double nowMs = clock.nowMs();
        longestStallMs = std::max(longestStallMs, nowMs - lastTickMs - 0.1);
        lastTickMs = nowMs;
        if (source.appliedVersion() == targetVersion) return void(event_base_loopbreak(base.get()));
        tickTimer.start(0.1);
    }
    // Runs the loop until the version is in force.
    void runUntilApplied(std::uint64_t version) {
        targetVersion = version;
        lastTickMs = clock.nowMs();
        longestStallMs = 0;
        tickTimer.start(0.1);
        event_base_dispatch(base.get());
    }
    Limits limits;
    Clock clock;
    Counters counters;
    LibeventPtr<event_base> base;
    Log log;
    files::NodeFileSource source;
    NodeList initialNodes;
    SchedulerFacade facade;
    Dispatcher dispatcher;
    Timer tickTimer;
    double lastTickMs = 0;
    double longestStallMs = 0;
    std::uint64_t targetVersion = 0;
};

}  // namespace

int main(int argc, char** argv) {
    spdlog::set_level(spdlog::level::warn);
    std::vector<int> sizes;
    for (int i = 1; i < argc; ++i) sizes.push_back(std::atoi(argv[i]));
    if (sizes.empty()) sizes = {10, 1000, 100'000};
    std::string folder = std::filesystem::temp_directory_path() / "martencove-swap-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr) return 1;
    const std::string path = folder + "/nodes.textproto";
    for (const int nodes : sizes) {
        std::ofstream(path) << makeNodeFile(1, nodes);
        SwapBench bench(path);
        bench.runUntilApplied(1);
        for (std::uint64_t version = 2; version <= 6; ++version) {
            const std::string text = makeNodeFile(version, nodes);
            std::ofstream(path) << text;
            const double writtenMs = bench.clock.nowMs();
            bench.runUntilApplied(version);
            std::printf(
                "%6d nodes, version %llu: in force after %8.2f ms, longest stall %6.2f ms (slice %.2f), "
                "resident %.0f MB\n",
                nodes, static_cast<unsigned long long>(version), bench.clock.nowMs() - writtenMs,
                bench.longestStallMs, bench.source.longestSliceMs(), residentMb());
        }
        NodeList wholeList{99, true, bench.initialNodes.nodes};
        const double startMs = bench.clock.nowMs();
        bench.dispatcher.updateNodes(wholeList);
        std::printf("%6d nodes as one whole list: loop blocked for %.2f ms\n", nodes,
                    bench.clock.nowMs() - startMs);
    }
    std::filesystem::remove_all(folder);
    return 0;
}
