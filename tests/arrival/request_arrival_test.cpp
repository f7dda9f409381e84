// Tests of the deciders on requests that arrive: their pace, and which one makes room.
#include "arrival/request_arrival.h"

#include <doctest/doctest.h>

#include "arrival/request_memory.h"

using namespace martencove;

namespace {

constexpr ArrivalPace kPace{2000, 64, 500, 50};

/// A request of which the first byte arrives at `beginMs`.
RequestArrival begunAt(double beginMs) {
    RequestArrival arrival;
    arrival.addInput(beginMs, 0);
    return arrival;
}

}  // namespace

// Guards against cutting off a client that keeps the pace that the pages allow.
TEST_CASE("request arrival: a head of 2 s and a body at 64 kB a second are in time") {
    for (const double pieceBytes : {64.0, 1000.0, 16'000.0}) {
        RequestArrival arrival(0);
        for (double ms = 0; ms <= 2000; ms += 500) {
            CHECK_FALSE(arrival.isOverdue(ms, kPace));
            arrival.addInput(ms, 0);
        }
        for (double sent = pieceBytes; sent <= 65'536; sent += pieceBytes) {
            const double nowMs = 2000 + sent / 64;
            CHECK_FALSE(arrival.isOverdue(nowMs, kPace));
            arrival.addInput(nowMs, static_cast<std::size_t>(sent));
        }
    }
}

TEST_CASE("request arrival: what stops, or never gets on, is overdue") {
    RequestArrival stopped(0);
    stopped.addInput(0, 64'000);
    CHECK_FALSE(stopped.isOverdue(2400, kPace));
    CHECK(stopped.isOverdue(2501, kPace));  // silent, though its bytes would allow for more
    RequestArrival trickling(0);
    for (double ms = 0; ms <= 3000; ms += 100) trickling.addInput(ms, 64);
    CHECK(trickling.isOverdue(3000, kPace));
    CHECK_FALSE(RequestArrival(0).isOverdue(10'000, kPace));  // nothing has arrived: no request
}

TEST_CASE("request arrival: the time during which reading is paused does not count") {
    RequestArrival arrival = begunAt(100);
    arrival.pause(200);
    CHECK_FALSE(arrival.isOverdue(10'000, kPace));
    CHECK_FALSE(arrival.isStalled(10'000, kPace));
    arrival.resume(5200);
    CHECK(arrival.silentMs(5200) == doctest::Approx(100));
    CHECK_FALSE(arrival.isOverdue(7400, kPace));
    CHECK(arrival.isOverdue(7801, kPace));
}

// Guards against taking a client that is slow by nature for one that has stopped.
TEST_CASE("request arrival: stalled is a silence longer than the pauses before") {
    RequestArrival arrival = begunAt(0);
    CHECK_FALSE(arrival.isStalled(49, kPace));
    CHECK(arrival.isStalled(50, kPace));
    arrival.addInput(300, 0);
    CHECK_FALSE(arrival.isStalled(899, kPace));
    CHECK(arrival.isStalled(900, kPace));
}

TEST_CASE("request arrival: room is made by the request that has been stalled longest and holds memory") {
    const RequestArrival early = begunAt(0), middle = begunAt(10), late = begunAt(100);
    CHECK(chooseLongestStalled({{&late, 1}, {&middle, 1}, {&early, 0}}, 120, kPace) == 1);
    CHECK(chooseLongestStalled({{&late, 1}, {&middle, 1}, {&early, 1}}, 120, kPace) == 2);
    CHECK_FALSE(chooseLongestStalled({{&late, 1}, {&early, 0}}, 120, kPace).has_value());
    CHECK_FALSE(chooseLongestStalled({}, 120, kPace).has_value());
}

// Guards against giving up requests of slow clients although nobody needs their places.
TEST_CASE(
    "request arrival: stalled requests make room only for connections that wait, the longest silent first") {
    const RequestArrival early = begunAt(0), middle = begunAt(100), late = begunAt(300), none(0);
    RequestArrival slow = begunAt(0);
    slow.addInput(250, 0);  // may be silent for as long again, and longer
    const std::vector<WaitingConnection> connections = {{&late, false, true},  {&middle, false, true},
                                                        {&slow, false, true},  {&none, true, false},
                                                        {&early, false, true}, {&none, false, false}};
    using Indices = std::vector<std::size_t>;
    const auto choose = [&](std::size_t maxCount, std::size_t waitingCount) {
        return chooseConnectionsForRoom(connections, 500, kPace, {maxCount, waitingCount, 300});
    };
    CHECK(choose(10, 0) == Indices{3});
    CHECK(choose(10, 1) == Indices{3});
    CHECK(choose(10, 2) == Indices{3, 4});
    CHECK(choose(10, 10) == Indices{3, 4, 1});
    CHECK(choose(2, 10) == Indices{3, 4});
}

TEST_CASE("request memory: charges are taken within the limit and released") {
    std::size_t limit = 100, charged = 0;
    RequestMemory memory(limit, charged);
    {
        RequestMemory::Charge first(memory), second(memory);
        CHECK(first.trySet(60));
        CHECK_FALSE(second.trySet(41));
        CHECK(second.trySet(40));
        CHECK(first.trySet(50));
        second.set(90);  // held already, whatever the limit is
        CHECK(charged == 140);
        CHECK(memory.availableBytes() == 0);
        CHECK(memory.isOver());
        CHECK_FALSE(first.trySet(51));
        CHECK(first.trySet(20));
        limit = 200;
        CHECK_FALSE(memory.isOver());
        CHECK(first.trySet(110));
    }
    CHECK(charged == 0);
}
