// Tests of retry delays, including a simulation of many callers of one service with little capacity.
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

/// Simulates a service that handles 20 calls per second in the order of arrival. A call fails after waiting
/// for 2 s, or at once if 60 calls are waiting. `delayBeforeCall` returns the delay in ms before a caller's
/// call of that number, from 0. Returns the number of callers served by `untilMs`.
int countServedCallers(const std::function<double(int caller, int call)>& delayBeforeCall, double untilMs) {
    std::multimap<double, int> scheduled;
    std::vector<int> callCounts(kCallers, 0);
    std::deque<std::pair<double, int>> waiting;
    int servedCount = 0;
    const auto scheduleCall = [&](double nowMs, int caller) {
        scheduled.emplace(nowMs + delayBeforeCall(caller, callCounts[caller]++), caller);
    };
    for (int caller = 0; caller < kCallers; ++caller) scheduleCall(0, caller);
    for (double nowMs = 0; nowMs < untilMs; nowMs += 1) {
        while (!scheduled.empty() && scheduled.begin()->first <= nowMs) {
            const int caller = scheduled.begin()->second;
            scheduled.erase(scheduled.begin());
            waiting.size() < 60 ? void(waiting.emplace_back(nowMs, caller)) : scheduleCall(nowMs, caller);
        }
        // The work on a call that fails is wasted, which keeps an overloaded service overloaded.
        if (static_cast<int>(nowMs) % 50 != 0 || waiting.empty()) continue;
        const auto [sinceMs, caller] = waiting.front();
        waiting.pop_front();
        nowMs - sinceMs < 2000 ? void(++servedCount) : scheduleCall(nowMs, caller);
    }
    return servedCount;
}

}  // namespace

TEST_CASE("callers that start together at a service with little capacity are all served soon") {
    MESSAGE("seed " << kSeed);
    std::vector<Backoff> backoffs;
    for (int caller = 0; caller < kCallers; ++caller) backoffs.emplace_back(5000, 20000, kSeed + caller);
    const auto randomDelays = [&](int caller, int call) {
        return call == 0 ? backoffs[caller].initialDelayMs(5000) : backoffs[caller].nextDelayMs();
    };
    const auto fixedDelays = [](int, int call) { return call == 0 ? 0.0 : 100.0; };
    CHECK(countServedCallers(randomDelays, 10000) >= 95);
    CHECK(countServedCallers(fixedDelays, 10000) < 60);  // the queue stays full of calls that will fail
}

TEST_CASE("delays double up to their bound, differ between callers and start over after a success") {
    Backoff first(100, 400, kSeed), second(100, 400, kSeed + 1);
    for (const double meanMs : {100.0, 200.0, 400.0, 400.0}) {
        const double delayMs = first.nextDelayMs();
        CHECK(delayMs >= meanMs / 2);
        CHECK(delayMs < meanMs * 3 / 2);
        CHECK(delayMs != second.nextDelayMs());
    }
    first.reset();
    CHECK(first.nextDelayMs() < 150);
    for (int i = 0; i < 20; ++i) CHECK(first.initialDelayMs(100) < 100);
}

TEST_CASE("a list pushed to an agent on this machine is requested at once, whatever the number of hosts") {
    // A change counts as known once the agent has it. When 300 hosts waited up to 15 s after a restart, they
    // continued to send requests to nodes that had drained meanwhile.
    const auto delays = makeRetryDelays(false, 300, 10000, 100, 50);
    CHECK(delays.initialMs == 0);
    CHECK(delays.minMs == 100);
    CHECK(delays.maxMs == 400);
}

TEST_CASE(
    "calls to one service for all hosts are spread by their number within the required request interval") {
    const auto hundredHosts = makeRetryDelays(true, 100, 10000, 100, 50);
    CHECK(hundredHosts.initialMs == 5000);
    CHECK(hundredHosts.minMs == 5000);
    CHECK(hundredHosts.maxMs == 20000);
    const double mustAskInMs = 10000;
    for (const int hosts : {1, 300, 3000}) {
        const auto delays = makeRetryDelays(true, hosts, mustAskInMs, 100, 50);
        CHECK(delays.initialMs <= mustAskInMs / 2);
        CHECK(delays.minMs <= delays.maxMs);
        CHECK(delays.maxMs * 1.5 < 4 * mustAskInMs);  // the longest delay drawn from this mean
    }
    CHECK(makeRetryDelays(true, 300, 0, 100, 50).initialMs == 15000);  // no interval is set
}
