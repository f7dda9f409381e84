// Whether the parts of a grace fit into it, whatever its length.
#include "core/discovery_timing.h"

#include <doctest/doctest.h>

#include "core/limits.h"

using martencove::divideDrainGrace;
using martencove::divideOnRequestListTime;
using martencove::DrainGraceBudget;
using martencove::OnRequestListBudget;

TEST_CASE("grace: the stages fit into it with three failed calls after a silent one, from 100 ms on") {
    const martencove::Limits limits;
    for (const double graceMs : {100.0, 150.0, 300.0, 1000.0, 5000.0, 60'000.0}) {
        const DrainGraceBudget grace = divideDrainGrace(graceMs, limits.minAgentAnswerTimeoutMs);
        CHECK(grace.worstCaseMs(0) < graceMs);
        CHECK(grace.toleratedFailures() >= 3);
        CHECK(grace.worstCaseMs(grace.toleratedFailures()) <= graceMs);
    }
}

TEST_CASE("grace: shorter ones lose failed calls first, and say when not even the next call fits") {
    const martencove::Limits limits;
    const DrainGraceBudget little = divideDrainGrace(50, limits.minAgentAnswerTimeoutMs);
    CHECK(little.toleratedFailures() >= 0);
    CHECK(little.toleratedFailures() < 3);
    CHECK(little.answerTimeoutMs ==
          limits.minAgentAnswerTimeoutMs);  // no answer is expected sooner than one can come
    CHECK(divideDrainGrace(20, limits.minAgentAnswerTimeoutMs).toleratedFailures() < 0);
}

// Guards against a grace that changes at SIGHUP for some stages of the path and not for the others.
TEST_CASE("grace: all that follows from it is taken over at once") {
    martencove::Limits now, next;
    next.drainGrace = divideDrainGrace(700, 10);
    next.longPollMs = 1;
    next.longPollSlackMs = 2;
    next.onRequestList = divideOnRequestListTime(6000, 700, 2000);
    next.discoveryRetry.maxMs = 4;
    now.updateReloadable(next);
    CHECK(now.drainGrace.totalMs == 700);
    CHECK(now.longPollMs == 1);
    CHECK(now.longPollSlackMs == 2);
    CHECK(now.onRequestList.totalMs == 6700);
    CHECK(now.onRequestList.maxRetryDelayMs == next.onRequestList.maxRetryDelayMs);
    CHECK(now.discoveryRetry.maxMs == 4);
}

// Guards against a time that is given out twice where the list is asked for.
TEST_CASE(
    "grace: where the list is asked for, the call after a silent one fits in, and so does the first one "
    "after "
    "the service's return") {
    const martencove::Limits limits;
    for (const double graceMs : {0.0, 400.0, 1000.0, 5000.0}) {
        const OnRequestListBudget path =
            divideOnRequestListTime(limits.listPropagationMs, graceMs, limits.longPollSlackMs);
        CHECK(path.totalMs == 6000 + graceMs);
        CHECK(path.remainingAnswerMs() >= 500);
        CHECK(path.worstCaseAfterReturnMs() <= path.totalMs);
        CHECK(path.answerTimeoutMs ==
              2000);                     // the protocol's: a call that waits in turn is not given up before
        CHECK(path.longPollMs >= 2500);  // a load that the service can bear
        CHECK(path.maxDelayAfterTimeoutMs > 0);  // drawn: hosts do not come back together
    }
}
