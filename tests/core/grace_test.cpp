// Whether the parts of a grace fit into it, whatever its length.
#include "core/grace.h"

#include <doctest/doctest.h>

#include "core/limits.h"

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
    next.silentRestMs = 3;
    next.list.mostMs = 4;
    now.retune(next);
    CHECK(now.grace.wholeMs == 700);
    CHECK(now.watchWaitMs == 1);
    CHECK(now.watchGraceMs == 2);
    CHECK(now.silentRestMs == 3);
    CHECK(now.list.mostMs == 4);
}
