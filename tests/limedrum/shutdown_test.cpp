// Decisions of the scheduler during a shutdown: which attempts may still begin, and that every request gets
// its final answer in time.
#include <doctest/doctest.h>

#include "driver.h"

using namespace limedrum;
using namespace limedrum::testing;

namespace {

constexpr double kFirstUntilMs = 1000;
constexpr double kFurtherUntilMs = 1200;
constexpr double kAnswerByMs = 1400;
const ShutdownEvent kShutdown{kFirstUntilMs, kFurtherUntilMs, kAnswerByMs};

Settings longDeadlines(Idempotency idempotency = Idempotency::idempotent) {
    Settings s = plainSettings();
    s.classes[0].deadlineMs = 60'000;
    s.classes[0].idempotency = idempotency;
    return s;
}
template <typename ActionType>
const ActionType* firstOf(const std::vector<Action>& actions) {
    for (const Action& action : actions)
        if (const auto* found = std::get_if<ActionType>(&action)) return found;
    return nullptr;
}

}  // namespace

TEST_CASE("shutdown decisions: open requests are answered by the shutdown's end, however late they expire") {
    Driver d(longDeadlines());
    d.give(0, request("before", 60'000));
    d.give(100, kShutdown);
    d.give(200, request("after", 60'000));
    d.pass(kAnswerByMs - 5);
    CHECK(d.answers() == 0);
    d.pass(kAnswerByMs);
    CHECK(d.answers("before") == 1);
    CHECK(d.answers("after") == 1);
}

TEST_CASE("shutdown decisions: the answer says whether the request may have run") {
    Driver d(longDeadlines(Idempotency::nonIdempotent));
    d.give(0, request("out", 60'000));
    d.give(100, kShutdown);
    d.pass(kAnswerByMs);
    CHECK(Driver::count<FailRequest>(d.all, "out") == 1);
    CHECK(Driver::count<CancelAttempt>(d.all, "out") == 1);
}

TEST_CASE("shutdown decisions: a request that arrives after the last first attempt is refused at once") {
    Driver d(longDeadlines());
    d.give(100, kShutdown);
    CHECK(Driver::count<SendAttempt>(d.give(kFirstUntilMs, request("in time", 60'000))) == 1);
    const auto late = d.give(kFirstUntilMs + 1, request("late", 60'000));
    CHECK(Driver::count<SendAttempt>(late) == 0);
    CHECK(Driver::count<RefuseRequest>(late, "late") == 1);
}

TEST_CASE("shutdown decisions: a request without an attempt is refused when none may begin any more") {
    Settings s = longDeadlines();
    bool ordered = false;
    SUBCASE("waiting for a server") {}
    SUBCASE("waiting for its key's turn") { ordered = true; }
    s.classes[0].ordered = ordered;
    Driver d(s);
    RequestEvent first = request("first", 60'000), second = request("second", 60'000, ordered ? 0 : 7);
    first.key = second.key = "key";
    d.give(0, first);
    d.give(0, second);  // no server holds cell 7
    REQUIRE(d.sends("second") == 0);
    d.give(100, kShutdown);
    d.pass(kFirstUntilMs);
    CHECK(Driver::count<RefuseRequest>(d.all, "second") == 1);
    CHECK(d.answers("first") == 0);
}

TEST_CASE("shutdown decisions: a retry begins and its last byte is sent before the limit for retries") {
    Driver d(longDeadlines());
    d.give(100, kShutdown);
    d.give(kFirstUntilMs, request("r", 60'000));
    const auto* sent = firstOf<SendAttempt>(d.last);
    REQUIRE(sent != nullptr);
    CHECK(sent->lastByteWithinMs == kFurtherUntilMs - kFirstUntilMs);
    CHECK(sent->timeoutMs == kAnswerByMs - kFirstUntilMs);
    SUBCASE("in time") {
        d.outcome(kFirstUntilMs + 20, "r", 0, 100, Outcome::error);
        d.pass(kFurtherUntilMs);
        CHECK(d.sends("r") == 2);
    }
    SUBCASE("retry delay ends after the limit: answered at once") {
        d.outcome(kFurtherUntilMs - 20, "r", 0, 100, Outcome::error);
        CHECK(d.answers("r") == 1);
        d.pass(kAnswerByMs + 100);
        CHECK(d.sends("r") == 1);
        CHECK(d.answers("r") == 1);
    }
}

TEST_CASE("shutdown decisions: a retry that still waits at the limit for retries is answered then") {
    Driver d(longDeadlines());
    d.give(0, request("r", 60'000));
    d.give(100, kShutdown);
    NodeListEvent nodeGone{NodeListKind::update, {{.node = 100, .shard = 0, .state = NodeState::gone}}};
    d.give(kFurtherUntilMs - 200, nodeGone);
    d.outcome(kFurtherUntilMs - 200, "r", 0, 100, Outcome::connectFailed);
    REQUIRE(d.answers("r") == 0);
    d.pass(kFurtherUntilMs);
    CHECK(d.answers("r") == 1);
}

TEST_CASE("shutdown decisions: of repeated shutdown events, the earliest times count") {
    Driver d(longDeadlines());
    d.give(0, request("r", 60'000));
    d.give(100, kShutdown);
    d.give(200, ShutdownEvent{kFirstUntilMs + 500, kFurtherUntilMs + 500, kAnswerByMs + 500});
    d.give(300, ShutdownEvent{400, 500, 600});
    CHECK(Driver::count<RefuseRequest>(d.give(401, request("late", 60'000)), "late") == 1);
    d.pass(600);
    CHECK(d.answers("r") == 1);
}

TEST_CASE("shutdown decisions: a host that is paused during the whole shutdown answers each request once") {
    Driver d(longDeadlines());
    d.give(100, kShutdown);
    for (int i = 0; i < 20; ++i) d.give(200 + i, request(std::to_string(i), 60'000, i % 3));
    const auto sendsBefore = d.sends();
    const auto actions = d.give(kAnswerByMs + 5000, request("last", 90'000));
    CHECK(Driver::count<SendAttempt>(actions) == 0);
    CHECK(d.sends() == sendsBefore);
    for (int i = 0; i < 20; ++i) CHECK(d.answers(std::to_string(i)) == 1);
    CHECK(d.answers("last") == 1);
}
