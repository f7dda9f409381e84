// Whether the parts of a grace fit into it, whatever its length.
#include "core/grace.h"

#include <doctest/doctest.h>

#include "core/limits.h"

using martencove::AskedPath;
using martencove::divideAsked;
using martencove::divideGrace;
using martencove::Grace;

TEST_CASE("grace: the stages fit into it with three failed calls after a silent one, from 100 ms on") {
    const martencove::Limits limits;
    for (const double graceMs : {100.0, 150.0, 300.0, 1000.0, 5000.0, 60'000.0}) {
        const Grace grace = divideGrace(graceMs, limits.agentLateMs);
        CHECK(grace.usedMs(0) < graceMs);
        CHECK(grace.mayFail() >= 3);
        CHECK(grace.usedMs(grace.mayFail()) <= graceMs);
    }
}

TEST_CASE("grace: shorter ones lose failed calls first, and say when not even the next call fits") {
    const martencove::Limits limits;
    const Grace little = divideGrace(50, limits.agentLateMs);
    CHECK(little.mayFail() >= 0);
    CHECK(little.mayFail() < 3);
    CHECK(little.silentMs == limits.agentLateMs);  // no answer is expected sooner than one can come
    CHECK(divideGrace(20, limits.agentLateMs).mayFail() < 0);
}

// Guards against a grace that changes at SIGHUP for some stages of the path and not for the others.
TEST_CASE("grace: all that follows from it is taken over at once") {
    martencove::Limits now, next;
    next.grace = divideGrace(700, 10);
    next.watchWaitMs = 1;
    next.watchGraceMs = 2;
    next.asked = divideAsked(6000, 700, 2000);
    next.list.mostMs = 4;
    now.retune(next);
    CHECK(now.grace.wholeMs == 700);
    CHECK(now.watchWaitMs == 1);
    CHECK(now.watchGraceMs == 2);
    CHECK(now.asked.wholeMs == 6700);
    CHECK(now.asked.restMs == next.asked.restMs);
    CHECK(now.list.mostMs == 4);
}

// Guards against a time that is given out twice where the list is asked for.
TEST_CASE(
    "grace: where the list is asked for, the call after a silent one fits in, and so does the first one "
    "after "
    "the service's return") {
    const martencove::Limits limits;
    for (const double graceMs : {0.0, 400.0, 1000.0, 5000.0}) {
        const AskedPath path = divideAsked(limits.toldAfterMs, graceMs, limits.watchGraceMs);
        CHECK(path.wholeMs == 6000 + graceMs);
        CHECK(path.answerMs() >= 500);
        CHECK(path.returnMs() <= path.wholeMs);
        CHECK(path.lateMs == 2000);  // the protocol's: a call that waits in turn is not given up before
        CHECK(path.holdMs >= 2500);  // a load that the service can bear
        CHECK(path.soonMs > 0);      // drawn: hosts do not come back together
    }
}
