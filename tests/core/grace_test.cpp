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
