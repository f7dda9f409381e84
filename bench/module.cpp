// CPU of the decision module for a request, from its event to its answer, by the size of the fleet; 30% of
// the requests are new objects. One shard a node. Uses only what every version of the module has, so that
// bench/compare.sh can set two of them side by side.
#include <benchmark/benchmark.h>
#include <limedrum/scheduler.h>

#include <random>
#include <string>

using namespace limedrum;

namespace {

Settings settings() {
    Settings s;
    s.classes.push_back({.aimMs = 300, .deadlineMs = 2000, .worth = 3, .lateWorth = 0.15});
    s.plans.push_back({.rate = 10, .reserve = 2});
    s.rules = {.answerSlackMs = 8, .drainGraceMs = 1000};
    s.meanUnits = 2;
    s.maxUnits = 8;
    s.attemptCap = 3;
    s.mayCancel = true;
    return s;
}

// As a program would drive it: requests come at 2 a second and node, answers 20 ms later, reminders in
// between.
void request(benchmark::State& state) {
    const int nodes = static_cast<int>(state.range(0));
    Scheduler scheduler(settings(), 1, 1'000'000);
    NodeListEvent list{NodeListKind::restored, {}};
    for (int i = 0; i < nodes; ++i) list.entries.push_back({.node = NodeId(1000 + i), .shard = i});
    Event event = list;
    (void)scheduler.handle(1'000'000, std::span(&event, 1));
    std::mt19937_64 random(7);
    const double gapMs = 1000.0 / (2.0 * nodes);
    double nowMs = 1'000'001;
    std::uint64_t next = 0;
    std::vector<std::pair<double, OutcomeEvent>> flying;  // by time
    std::size_t done = 0;
    double reminderMs = nowMs;
    for (auto _ : state) {
        nowMs += gapMs;
        RequestEvent r;
        r.id = "r" + std::to_string(++next);
        r.volume = "v" + std::to_string(random() % (static_cast<unsigned>(nodes) * 8));
        r.key = std::to_string(random() % 100'000);
        r.expiresMs = nowMs + 2000;
        r.units = 1 + static_cast<double>(random() % 3);
        r.shard = random() % 10 < 3 ? -1 : static_cast<int>(random() % static_cast<unsigned>(nodes));
        event = r;
        for (const Action& action : scheduler.handle(nowMs, std::span(&event, 1))) {
            if (const auto* send = std::get_if<SendAttempt>(&action))
                flying.emplace_back(nowMs + 20, OutcomeEvent{.id = send->id,
                                                             .attempt = 0,
                                                             .node = send->node,
                                                             .outcome = Outcome::done,
                                                             .durationMs = 20,
                                                             .requestFinished = true});
        }
        for (; done < flying.size() && flying[done].first <= nowMs; ++done) {
            event = flying[done].second;
            benchmark::DoNotOptimize(scheduler.handle(flying[done].first, std::span(&event, 1)));
        }
        if (nowMs - reminderMs >= 10) {
            reminderMs = nowMs;
            event = TimerFiredEvent{1};
            benchmark::DoNotOptimize(scheduler.handle(nowMs, std::span(&event, 1)));
        }
    }
}
// Several rounds of 2 s at each size: their end is part of the cost.
BENCHMARK(request)->Arg(10)->Iterations(4000);
BENCHMARK(request)->Arg(100)->Iterations(40'000);
BENCHMARK(request)->Arg(1000)->Iterations(100'000);
BENCHMARK(request)->Arg(4000)->Iterations(100'000);
BENCHMARK(request)->Arg(10'000)->Iterations(200'000);

}  // namespace

BENCHMARK_MAIN();
