// Measures the CPU time of the decision module per request, from the request event to its outcome, by the
// number of nodes. Each node has a shard of its own; 30% of the requests are for new objects. Uses only
// the basic part of the interface, so that bench/compare.sh can build it against other commits of the module.
#include <benchmark/benchmark.h>
#include <limedrum/scheduler.h>

#include <random>
#include <string>

using namespace limedrum;

namespace {

Settings makeSettings() {
    Settings settings;
    settings.classes.push_back({.aimMs = 300, .deadlineMs = 2000, .worth = 3, .lateWorth = 0.15});
    settings.plans.push_back({.rate = 10, .reserve = 2});
    settings.rules = {.answerSlackMs = 8, .drainGraceMs = 1000};
    settings.meanUnits = 2;
    settings.maxUnits = 8;
    settings.attemptCap = 3;
    settings.mayCancel = true;
    return settings;
}

// Drives the module as a program does: two requests per second and node, outcomes 20 ms after the request,
// and timer events in between.
void request(benchmark::State& state) {
    const int nodes = static_cast<int>(state.range(0));
    Scheduler scheduler(makeSettings(), 1, 1'000'000);
    NodeListEvent list{NodeListKind::restored, {}};
    for (int i = 0; i < nodes; ++i) list.entries.push_back({.node = NodeId(1000 + i), .shard = i});
    Event event = list;
    (void)scheduler.handle(1'000'000, std::span(&event, 1));
    std::mt19937_64 random(7);
    const double intervalMs = 1000.0 / (2.0 * nodes);
    double nowMs = 1'000'001;
    std::uint64_t requestCount = 0;
    std::vector<std::pair<double, OutcomeEvent>> outcomes;  // by time in ms
    std::size_t deliveredOutcomes = 0;
    double lastTimerMs = nowMs;
    for (auto _ : state) {
        nowMs += intervalMs;
        RequestEvent arrival;
        arrival.id = "r" + std::to_string(++requestCount);
        arrival.volume = "v" + std::to_string(random() % (static_cast<unsigned>(nodes) * 8));
        arrival.key = std::to_string(random() % 100'000);
        arrival.expiresMs = nowMs + 2000;
        arrival.units = 1 + static_cast<double>(random() % 3);
        arrival.shard = random() % 10 < 3 ? -1 : static_cast<int>(random() % static_cast<unsigned>(nodes));
        event = arrival;
        for (const Action& action : scheduler.handle(nowMs, std::span(&event, 1))) {
            if (const auto* send = std::get_if<SendAttempt>(&action))
                outcomes.emplace_back(nowMs + 20, OutcomeEvent{.id = send->id,
                                                               .attempt = 0,
                                                               .node = send->node,
                                                               .outcome = Outcome::done,
                                                               .durationMs = 20,
                                                               .requestFinished = true});
        }
        for (; deliveredOutcomes < outcomes.size() && outcomes[deliveredOutcomes].first <= nowMs;
             ++deliveredOutcomes) {
            event = outcomes[deliveredOutcomes].second;
            benchmark::DoNotOptimize(
                scheduler.handle(outcomes[deliveredOutcomes].first, std::span(&event, 1)));
        }
        if (nowMs - lastTimerMs >= 10) {
            lastTimerMs = nowMs;
            event = TimerFiredEvent{1};
            benchmark::DoNotOptimize(scheduler.handle(nowMs, std::span(&event, 1)));
        }
    }
}
// The iterations at each size span several rounds of 2 s, so that the work at the end of a round is included.
BENCHMARK(request)->Arg(10)->Iterations(4000);
BENCHMARK(request)->Arg(100)->Iterations(40'000);
BENCHMARK(request)->Arg(1000)->Iterations(100'000);
BENCHMARK(request)->Arg(4000)->Iterations(100'000);
BENCHMARK(request)->Arg(10'000)->Iterations(200'000);

}  // namespace

BENCHMARK_MAIN();
