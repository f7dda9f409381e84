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
    d.handle(0, request("before", 60'000));
    d.handle(100, kShutdown);
    d.handle(200, request("after", 60'000));
    d.advanceTo(kAnswerByMs - 5);
    CHECK(d.answerCount() == 0);
    d.advanceTo(kAnswerByMs);
    CHECK(d.answerCount("before") == 1);
    CHECK(d.answerCount("after") == 1);
}

TEST_CASE("shutdown decisions: the answer says whether the request may have run") {
    Driver d(longDeadlines(Idempotency::nonIdempotent));
    d.handle(0, request("out", 60'000));
    d.handle(100, kShutdown);
    d.advanceTo(kAnswerByMs);
    CHECK(Driver::count<FailRequest>(d.allActions, "out") == 1);
    CHECK(Driver::count<CancelAttempt>(d.allActions, "out") == 1);
}

TEST_CASE("shutdown decisions: a request that arrives after the last first attempt is refused at once") {
    Driver d(longDeadlines());
    d.handle(100, kShutdown);
    CHECK(Driver::count<SendAttempt>(d.handle(kFirstUntilMs, request("in time", 60'000))) == 1);
    const auto late = d.handle(kFirstUntilMs + 1, request("late", 60'000));
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
    d.handle(0, first);
    d.handle(0, second);  // no server holds cell 7
    REQUIRE(d.sendCount("second") == 0);
    d.handle(100, kShutdown);
    d.advanceTo(kFirstUntilMs);
    CHECK(Driver::count<RefuseRequest>(d.allActions, "second") == 1);
    CHECK(d.answerCount("first") == 0);
}

TEST_CASE("shutdown decisions: a retry begins and its last byte is sent before the limit for retries") {
    Driver d(longDeadlines());
    d.handle(100, kShutdown);
    d.handle(kFirstUntilMs, request("r", 60'000));
    const auto* sent = firstOf<SendAttempt>(d.lastActions);
    REQUIRE(sent != nullptr);
    CHECK(sent->lastByteWithinMs == kFurtherUntilMs - kFirstUntilMs);
    CHECK(sent->timeoutMs == kAnswerByMs - kFirstUntilMs);
    SUBCASE("in time") {
        d.outcome(kFirstUntilMs + 20, "r", 0, 100, Outcome::error);
        d.advanceTo(kFurtherUntilMs);
        CHECK(d.sendCount("r") == 2);
    }
    SUBCASE("retry delay ends after the limit: answered at once") {
        d.outcome(kFurtherUntilMs - 20, "r", 0, 100, Outcome::error);
        CHECK(d.answerCount("r") == 1);
        d.advanceTo(kAnswerByMs + 100);
        CHECK(d.sendCount("r") == 1);
        CHECK(d.answerCount("r") == 1);
    }
}

TEST_CASE("shutdown decisions: a retry that still waits at the limit for retries is answered then") {
    Driver d(longDeadlines());
    d.handle(0, request("r", 60'000));
    d.handle(100, kShutdown);
    NodeListEvent nodeGone{NodeListKind::update, {{.node = 100, .shard = 0, .state = NodeState::gone}}};
    d.handle(kFurtherUntilMs - 200, nodeGone);
    d.outcome(kFurtherUntilMs - 200, "r", 0, 100, Outcome::connectFailed);
    REQUIRE(d.answerCount("r") == 0);
    d.advanceTo(kFurtherUntilMs);
    CHECK(d.answerCount("r") == 1);
}

TEST_CASE("shutdown decisions: of repeated shutdown events, the earliest times count") {
    Driver d(longDeadlines());
    d.handle(0, request("r", 60'000));
    d.handle(100, kShutdown);
    d.handle(200, ShutdownEvent{kFirstUntilMs + 500, kFurtherUntilMs + 500, kAnswerByMs + 500});
    d.handle(300, ShutdownEvent{400, 500, 600});
    CHECK(Driver::count<RefuseRequest>(d.handle(401, request("late", 60'000)), "late") == 1);
    d.advanceTo(600);
    CHECK(d.answerCount("r") == 1);
}

TEST_CASE("shutdown decisions: a host that is paused during the whole shutdown answers each request once") {
    Driver d(longDeadlines());
    d.handle(100, kShutdown);
    for (int i = 0; i < 20; ++i) d.handle(200 + i, request(std::to_string(i), 60'000, i % 3));
    const auto sendsBefore = d.sendCount();
    const auto actions = d.handle(kAnswerByMs + 5000, request("last", 90'000));
    CHECK(Driver::count<SendAttempt>(actions) == 0);
    CHECK(d.sendCount() == sendsBefore);
    for (int i = 0; i < 20; ++i) CHECK(d.answerCount(std::to_string(i)) == 1);
    CHECK(d.answerCount("last") == 1);
}
