// Export and import of the learned state by an instance and the one that replaces it.
#include <doctest/doctest.h>

#include "driver.h"

using namespace limedrum;
using namespace limedrum::testing;

namespace {

/// Sends requests for cell 0 and returns how many were refused at once.
int refusedAtOnce(Driver& driver, int requests) {
    const int answersBefore = driver.answerCount();
    for (int i = 0; i < requests; ++i)
        driver.handle(driver.nowMs + 1, request("x" + std::to_string(i), driver.nowMs + 1000));
    return driver.answerCount() - answersBefore;
}

struct OverloadedInstance {
    OverloadedInstance() : old(plainSettings()) {
        saturate(old, 0, 9000);
        text = old.exportState();
    }
    Driver old;
    std::string text;
};

/// Returns `text` with the first occurrence of `from` replaced by `to`.
std::string replaceFirst(std::string text, const std::string& from, const std::string& to) {
    const std::size_t position = text.find(from);
    REQUIRE(position != text.npos);
    return text.replace(position, from.size(), to);
}

Settings settingsWithLimit() {
    Settings s = plainSettings();
    s.hosts = 1;
    s.plans[0] = {.rate = 10, .limit = 20, .limitDepth = 40};
    return s;
}

/// Returns the units sent of requests for one volume that all arrive at once. Names that begin with "w" use
/// volume w, all others volume v.
double unitsSent(Driver& driver, const std::string& name, int requests = 40) {
    double units = 0;
    for (int i = 0; i < requests; ++i) {
        RequestEvent r = request(name + std::to_string(i), driver.nowMs + 400);
        r.volume = name.starts_with('w') ? "w" : "v";
        for (const Action& a : driver.handle(driver.nowMs, r)) {
            if (const auto* send = std::get_if<SendAttempt>(&a)) {
                units += r.units;
                driver.outcome(driver.nowMs, send->id, 0, send->node, Outcome::done, 1);
            }
        }
    }
    return units;
}

}  // namespace

// Guards against a new process that queues requests until they expire, for a node that the previous process
// knew to be overloaded: the clients ran out of connections.
TEST_CASE("learned state: the next instance thins an overloaded node's requests from the first one on") {
    OverloadedInstance previous;
    Driver fresh(plainSettings(), 2, previous.old.nowMs), next(plainSettings(), 2, previous.old.nowMs);
    REQUIRE(next.importState(previous.text));
    const int refusedByOld = refusedAtOnce(previous.old, 100);
    CHECK(refusedByOld > 30);
    CHECK(refusedAtOnce(next, 100) > refusedByOld / 2);
    CHECK(refusedAtOnce(fresh, 100) < 10);
}

TEST_CASE("learned state: a silent node remains silent, and a restarted one is not taken for it") {
    Driver old(plainSettings(), 1, 10'000);
    old.handle(10'000, request("0", 11'000));
    old.outcome(10'001, "0", 0, 100, Outcome::connectFailed);
    old.advanceTo(11'500, 10);
    const std::string text = old.exportState();
    Driver next(plainSettings(), 2, 11'500);
    REQUIRE(next.importState(text));
    next.handle(11'500, request("a", 12'500));
    next.handle(11'501, request("b", 12'501));
    CHECK(next.sendCount() <= 1);  // one attempt checks whether the node answers again
    CHECK(next.answerCount() >= 1);

    Driver other(plainSettings(), 2, 11'500);
    other.handle(11'500, NodeListEvent{NodeListKind::full, {{.node = 100, .shard = 0, .bootMs = 11'400}}});
    REQUIRE(other.importState(text));
    CHECK(other.exportState().find("\nnode 100 ") == std::string::npos);  // nothing was imported for it
}

// A limit applies to both instances together.
TEST_CASE("learned state: levels of limits move as a whole, and both instances have no more than one") {
    Driver old(settingsWithLimit()), next(settingsWithLimit(), 2, 21'500);
    old.advanceTo(20'000, 50);
    const double firstUnits = unitsSent(old, "first");
    CHECK(firstUnits > 30);  // of 40: the buckets were full
    old.advanceTo(21'500, 50);
    const double expectedLevel = 40 - firstUnits + 20 * 1.5 - unitsSent(old, "one", 1);
    REQUIRE(next.importState(old.exportState()));
    const double nextUnits = unitsSent(next, "next");
    CHECK(nextUnits > 0.8 * expectedLevel);
    CHECK(nextUnits <= expectedLevel);
    CHECK(unitsSent(old, "old") == 0);
    // The full buckets of a volume that was never used move, too.
    const double otherUnits = unitsSent(next, "w");
    CHECK(otherUnits > 30);
    CHECK(unitsSent(old, "w") == 0);
}

// Guards against a plan number that does not exist in the next process, which has its own settings.
TEST_CASE("learned state: a volume of a plan that no longer exists is ignored") {
    Settings more = plainSettings();
    more.plans.resize(20'000, {.rate = 10});
    Driver old(more);
    RequestEvent r = request("a", 1000);
    r.planNo = 19'999;
    old.handle(0, r);
    Driver next(plainSettings(), 2, 10);
    REQUIRE(next.importState(old.exportState()));
    CHECK(next.exportState().find("\nvolume v ") == std::string::npos);
    next.advanceTo(4100, 50);  // the ends of two rounds use the volumes
}

TEST_CASE("learned state: a text that is truncated, corrupt, outdated or implausible changes nothing") {
    OverloadedInstance previous;
    const auto accepted = [&](const std::string& text) {
        Driver next(plainSettings(), 2, previous.old.nowMs);
        const std::string stateBefore = next.exportState();
        const bool imported = next.importState(text);
        CHECK((imported || next.exportState() == stateBefore));
        return imported;
    };
    CHECK(accepted(previous.text));
    for (std::size_t i = 0; i < previous.text.size(); ++i) CHECK_FALSE(accepted(previous.text.substr(0, i)));
    CHECK_FALSE(accepted(previous.text + "\nend 1"));
    CHECK_FALSE(accepted(previous.text + ' '));
    CHECK_FALSE(accepted(replaceFirst(previous.text, "learned1", "learned2")));
    CHECK_FALSE(accepted(replaceFirst(previous.text, "\nnode ", "\nnone ")));
    CHECK_FALSE(accepted(replaceFirst(previous.text, "\nnode 100 0 ", "\nnode 100 0 nan ")));
    CHECK_FALSE(
        accepted(replaceFirst(previous.text, "\nnode 100 0 ", "\nnode 100 0 1 ")));  // one field too many
    CHECK_FALSE(accepted(replaceFirst(previous.text, "\nnode 100 0 ", "\nnode 100 -1 ")));
    CHECK_FALSE(accepted(replaceFirst(previous.text, "\nnode 100 0 ", "\nnode 100 1e300 ")));
    CHECK_FALSE(accepted(replaceFirst(previous.text, "\ndemand 0 v",
                                      "\ndemand 7 v")));  // a cell that the text does not contain
    // Changes each byte in turn: whether the text is accepted or not, the instance continues to work.
    for (std::size_t i = 0; i < previous.text.size(); ++i) {
        std::string text = previous.text;
        text[i] = static_cast<char>(text[i] ^ 0x15);
        Driver next(plainSettings(), 2, previous.old.nowMs);
        (void)next.importState(text);
        next.advanceTo(next.nowMs + 2500, 50);
    }
    Driver late(plainSettings(), 2, previous.old.nowMs + 5100);
    CHECK_FALSE(late.importState(previous.text));
    Driver early(plainSettings(), 2, previous.old.nowMs - 5100);
    CHECK_FALSE(early.importState(previous.text));
}
