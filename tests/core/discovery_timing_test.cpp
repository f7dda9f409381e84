// Tests that the shares of the drain grace fit into it, whatever its length.
#include "core/discovery_timing.h"

#include <doctest/doctest.h>

#include "core/limits.h"

using martencove::divideDrainGrace;
using martencove::divideOnRequestListTime;
using martencove::DrainGraceBudget;
using martencove::OnRequestListBudget;

TEST_CASE("drain grace: from 100 ms on, the steps fit with three failed calls after an unanswered one") {
    const martencove::Limits limits;
    for (const double graceMs : {100.0, 150.0, 300.0, 1000.0, 5000.0, 60'000.0}) {
        const DrainGraceBudget grace = divideDrainGrace(graceMs, limits.minAgentAnswerTimeoutMs);
        CHECK(grace.worstCaseMs(0) < graceMs);
        CHECK(grace.toleratedFailures() >= 3);
        CHECK(grace.worstCaseMs(grace.toleratedFailures()) <= graceMs);
    }
}

TEST_CASE(
    "drain grace: a shorter one tolerates fewer failed calls, and reports when not even one call fits") {
    const martencove::Limits limits;
    const DrainGraceBudget shortGrace = divideDrainGrace(50, limits.minAgentAnswerTimeoutMs);
    CHECK(shortGrace.toleratedFailures() >= 0);
    CHECK(shortGrace.toleratedFailures() < 3);
    CHECK(shortGrace.answerTimeoutMs ==
          limits.minAgentAnswerTimeoutMs);  // no timeout shorter than an answer takes
    CHECK(divideDrainGrace(20, limits.minAgentAnswerTimeoutMs).toleratedFailures() < 0);
}

// Guards against a SIGHUP that changes the drain grace for some of the steps only.
TEST_CASE("drain grace: all limits derived from it are updated together") {
    martencove::Limits current, next;
    next.drainGrace = divideDrainGrace(700, 10);
    next.longPollMs = 1;
    next.longPollSlackMs = 2;
    next.onRequestList = divideOnRequestListTime(6000, 700, 2000);
    next.discoveryRetry.maxMs = 4;
    current.updateReloadable(next);
    CHECK(current.drainGrace.totalMs == 700);
    CHECK(current.longPollMs == 1);
    CHECK(current.longPollSlackMs == 2);
    CHECK(current.onRequestList.totalMs == 6700);
    CHECK(current.onRequestList.maxRetryDelayMs == next.onRequestList.maxRetryDelayMs);
    CHECK(current.discoveryRetry.maxMs == 4);
}

// Guards against time that is assigned to two steps where the list is requested from a service.
TEST_CASE(
    "drain grace: with an on-request list, the call after an unanswered one fits, and so does the first "
    "one after the service is reachable again") {
    const martencove::Limits limits;
    for (const double graceMs : {0.0, 400.0, 1000.0, 5000.0}) {
        const OnRequestListBudget budget =
            divideOnRequestListTime(limits.listPropagationMs, graceMs, limits.longPollSlackMs);
        CHECK(budget.totalMs == 6000 + graceMs);
        CHECK(budget.remainingAnswerMs() >= 500);
        CHECK(budget.worstCaseAfterReturnMs() <= budget.totalMs);
        // The protocol's value: a call that waits in the queue of the service is not given up earlier.
        CHECK(budget.answerTimeoutMs == 2000);
        CHECK(budget.longPollMs >= 2500);          // keeps the load of the service within its capacity
        CHECK(budget.maxDelayAfterTimeoutMs > 0);  // random, so hosts do not retry together
    }
}
