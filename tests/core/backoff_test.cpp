// Many callers of one service that has room for few of them, under one clock.
#include "core/backoff.h"

#include <doctest/doctest.h>

#include <deque>
#include <functional>
#include <map>
#include <vector>

using martencove::Backoff;
using martencove::makeRetryDelays;

namespace {

constexpr int kCallers = 100;
constexpr std::uint64_t kSeed = 20261201;

/// Serves 20 calls a second in turn of arrival. A call fails when it has waited for 2 s, and at once where 60
/// wait. `rest` gives a caller's rest before its n-th call, in ms. How many callers have been served by
/// `untilMs`.
int served(const std::function<double(int caller, int call)>& rest, double untilMs) {
    std::multimap<double, int> coming;
    std::vector<int> calls(kCallers, 0);
    std::deque<std::pair<double, int>> waiting;
    int done = 0;
    const auto later = [&](double nowMs, int caller) {
        coming.emplace(nowMs + rest(caller, calls[caller]++), caller);
    };
    for (int caller = 0; caller < kCallers; ++caller) later(0, caller);
    for (double nowMs = 0; nowMs < untilMs; nowMs += 1) {
        while (!coming.empty() && coming.begin()->first <= nowMs) {
            const int caller = coming.begin()->second;
            coming.erase(coming.begin());
            waiting.size() < 60 ? void(waiting.emplace_back(nowMs, caller)) : later(nowMs, caller);
        }
        // Work on a call that fails meanwhile is lost: that is what keeps an overbooked service overbooked.
        if (static_cast<int>(nowMs) % 50 != 0 || waiting.empty()) continue;
        const auto [sinceMs, caller] = waiting.front();
        waiting.pop_front();
        nowMs - sinceMs < 2000 ? void(++done) : later(nowMs, caller);
    }
    return done;
}

}  // namespace

TEST_CASE("callers who start together at a service with room for few are all served soon") {
    MESSAGE("seed " << kSeed);
    std::vector<Backoff> backoffs;
    for (int caller = 0; caller < kCallers; ++caller) backoffs.emplace_back(5000, 20000, kSeed + caller);
    const auto spread = [&](int caller, int call) {
        return call == 0 ? backoffs[caller].initialDelayMs(5000) : backoffs[caller].nextDelayMs();
    };
    const auto inStep = [](int, int call) { return call == 0 ? 0.0 : 100.0; };
    CHECK(served(spread, 10000) >= 95);
    CHECK(served(inStep, 10000) < 60);  // the cause: the queue stays full of calls that will fail
}

TEST_CASE("rests double up to their bound, never in step, and start anew after a success") {
    Backoff one(100, 400, kSeed), other(100, 400, kSeed + 1);
    for (const double meanMs : {100.0, 200.0, 400.0, 400.0}) {
        const double restMs = one.nextDelayMs();
        CHECK(restMs >= meanMs / 2);
        CHECK(restMs < meanMs * 3 / 2);
        CHECK(restMs != other.nextDelayMs());
    }
    one.reset();
    CHECK(one.nextDelayMs() < 150);
    for (int i = 0; i < 20; ++i) CHECK(one.initialDelayMs(100) < 100);
}

TEST_CASE("a list that an agent on the machine holds is called for at once, whatever the number of hosts") {
    // What the agent has been sent counts as told: 300 hosts that waited up to 15 s after a restart went on
    // sending to nodes that had drained since.
    const auto rests = makeRetryDelays(false, 300, 10000, 100, 50);
    CHECK(rests.initialMs == 0);
    CHECK(rests.minMs == 100);
    CHECK(rests.maxMs == 400);
}

TEST_CASE("calls to one service for all are spread by the number of hosts, within the time to ask in") {
    const auto hundred = makeRetryDelays(true, 100, 10000, 100, 50);
    CHECK(hundred.initialMs == 5000);
    CHECK(hundred.minMs == 5000);
    CHECK(hundred.maxMs == 20000);
    const double mustAskInMs = 10000;
    for (const int hosts : {1, 300, 3000}) {
        const auto rests = makeRetryDelays(true, hosts, mustAskInMs, 100, 50);
        CHECK(rests.initialMs <= mustAskInMs / 2);
        CHECK(rests.minMs <= rests.maxMs);
        CHECK(rests.maxMs * 1.5 < 4 * mustAskInMs);  // the longest rest that is drawn of it
    }
    CHECK(makeRetryDelays(true, 300, 0, 100, 50).initialMs == 15000);  // no such time is told
}
