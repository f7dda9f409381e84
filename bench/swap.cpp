// A swap of nodes from a file, as the program does it: from the last byte written to in force, the longest
// stall of the loop meanwhile, and memory. Baseline: the same membership told as one whole list.
//   swap [NODES...]
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

std::string version(std::uint64_t number, int nodes) {
    std::string out = "version: " + std::to_string(number) + "\ncount: " + std::to_string(nodes) + '\n';
    for (int i = 0; i < nodes; ++i)
        out += "node { name: \"node-" + std::to_string(i) + "\" dial: \"10." +
               std::to_string(i / 65536 % 256) + '.' + std::to_string(i / 256 % 256) + '.' +
               std::to_string(i % 256) + ":8443\" shard: " + std::to_string(i / 3) +
               " weight: " + std::to_string(1 + (i + number) % 4) + " rack: \"r" + std::to_string(i % 40) +
               "\" }\n";
    return files::withTrailer(out, number);
}

double residentMb() {
    std::ifstream in("/proc/self/statm");
    long pages = 0;
    in >> pages >> pages;
    return static_cast<double>(pages) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

struct Bench {
    explicit Bench(const std::string& path)
        : base(makeEventBase()),
          log(clock, limits, LogFormat::text),
          source(base.get(), config(path), clock, limits, counters, log),
          known(source.takeInitialNodes()),
          facade(settings(), 1, clock.nowMs(), known),
          dispatcher(facade, clock, limits, counters,
                     {[](double) {}, [](const PeerMessage&) {}, [](const std::string&) {}}, known),
          beat(base.get(), [this] { step(); }) {
        source.start([this](const NodeList& list) { dispatcher.updateNodes(list); });
        lastMs = clock.nowMs();
        beat.start(0.1);
    }
    static files::NodeFileConfig config(const std::string& path) {
        files::NodeFileConfig out;
        out.paths = {path};
        return out;
    }
    static limedrum::Settings settings() {
        limedrum::Settings s;
        s.classes.push_back({.aimMs = 300, .deadlineMs = 2000});
        s.plans.push_back({.rate = 10});
        return s;
    }
    // The beat should come each 0.1 ms: what it is late by, the loop has stalled.
    void step() {
        const double now = clock.nowMs();
        longestMs = std::max(longestMs, now - lastMs - 0.1);
        lastMs = now;
        if (source.appliedVersion() == wanted) return void(event_base_loopbreak(base.get()));
        beat.start(0.1);
    }
    void until(std::uint64_t number) {
        wanted = number;
        lastMs = clock.nowMs();
        longestMs = 0;
        beat.start(0.1);
        event_base_dispatch(base.get());
    }
    Limits limits;
    Clock clock;
    Counters counters;
    LibeventPtr<event_base> base;
    Log log;
    files::NodeFileSource source;
    NodeList known;
    SchedulerFacade facade;
    Dispatcher dispatcher;
    Timer beat;
    double lastMs = 0;
    double longestMs = 0;
    std::uint64_t wanted = 0;
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
        std::ofstream(path) << version(1, nodes);
        Bench bench(path);
        bench.until(1);
        for (std::uint64_t number = 2; number <= 6; ++number) {  // every weight changes each time
            const std::string text = version(number, nodes);
            std::ofstream(path) << text;
            const double writtenMs = bench.clock.nowMs();
            bench.until(number);
            std::printf(
                "%6d nodes, version %llu: in force after %8.2f ms, longest stall %6.2f ms (slice %.2f), "
                "resident %.0f "
                "MB\n",
                nodes, static_cast<unsigned long long>(number), bench.clock.nowMs() - writtenMs,
                bench.longestMs, bench.source.longestSliceMs(), residentMb());
        }
        NodeList whole{99, true, bench.known.nodes};
        const double startMs = bench.clock.nowMs();
        bench.dispatcher.updateNodes(whole);
        std::printf("%6d nodes as one whole list: %.2f ms of the loop\n", nodes,
                    bench.clock.nowMs() - startMs);
    }
    std::filesystem::remove_all(folder);
    return 0;
}
