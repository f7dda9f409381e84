// Settings that change while the program runs: numbers that requests hold, files that are not whole, and the
// program itself at SIGHUP.
#include <doctest/doctest.h>

#include "program_harness.h"
#include "settings_json/fields.h"
#include "settings_json/merge_settings.h"

using namespace martencove::test;
using limedrum::fields::FieldError;

TEST_CASE("retune: unchanged classes keep their numbers, others get new ones, plans keep their places") {
    ProgramHarness world;
    const Json json = world.config["settings"];
    limedrum::ProgramSettings now = limedrum::decodeSettings(json);
    Json changed = json;
    changed["Classes"] = Json::array({json["Classes"][1], json["Classes"][0]});  // in another order
    changed["Classes"][0]["Idempotency"] = "fragile";  // and "write" has another effect
    limedrum::ProgramSettings next = limedrum::mergeSettings(now, limedrum::decodeSettings(changed));
    CHECK(next.classNames == std::vector<std::string>{"read", "/", "write"});
    CHECK(next.scheduler.classes[1].idempotency ==
          limedrum::Idempotency::deduplicated);  // for those that hold the number
    CHECK(next.scheduler.classes[1].retired);
    CHECK(next.scheduler.classes[2].idempotency == limedrum::Idempotency::nonIdempotent);
    // And back: the number with the old rules is taken again, so that the table does not grow.
    next = limedrum::mergeSettings(next, limedrum::decodeSettings(json));
    CHECK(next.classNames == std::vector<std::string>{"read", "write", "/"});
    CHECK(!next.scheduler.classes[1].retired);

    Json bad = json;
    bad["ServiceLevels"].erase(0);
    CHECK_THROWS_AS((void)limedrum::mergeSettings(now, limedrum::decodeSettings(bad)), FieldError);
    bad = json;
    bad["Classes"][1]["Name"] = "read";
    CHECK_THROWS_AS((void)limedrum::mergeSettings(now, limedrum::decodeSettings(bad)), FieldError);
    bad = json;
    for (int i = 0; i < 2000; ++i) {  // a table that would grow for good is bounded
        bad["Classes"][0]["AimMs"] = 300 + i;
        try {
            now = limedrum::mergeSettings(now, limedrum::decodeSettings(bad));
        } catch (const FieldError&) {
            break;
        }
    }
    CHECK(now.scheduler.classes.size() == 1024);
}

TEST_CASE("retune: a file that lacks what the present one has is not whole") {
    const Json now{{"a", 1}, {"b", {{"c", 2}, {"d", {{"e", 3}}}}}, {"l", {{{"x", 1}, {"y", 1}}, {{"x", 2}}}}};
    CHECK_NOTHROW(limedrum::requireKeys(now, now));
    Json more = now;
    more["b"]["new"] = 1;
    more["l"].push_back({{"x", 3}, {"z", 1}});  // "y" is not in all of them
    CHECK_NOTHROW(limedrum::requireKeys(now, more));
    Json less = now;
    less["b"]["d"].erase("e");
    CHECK_THROWS_WITH_AS(limedrum::requireKeys(now, less), "b.d.e: missing", FieldError);
    less = now;
    less["l"][1].erase("x");
    CHECK_THROWS_WITH_AS(limedrum::requireKeys(now, less), "l.x: missing", FieldError);
    less = now;
    less["a"] = nullptr;
    CHECK_THROWS_WITH_AS(limedrum::requireKeys(now, less), "a: missing", FieldError);
}

TEST_CASE(
    "SIGHUP: new classes come into force, open requests keep the old rules, broken files change nothing") {
    ProgramHarness world;
    std::vector<TestConnection*> held;
    StubHttpNode node(world.base.get(),
                      [&](TestConnection& wire, const ParsedHttpMessage&) { held.push_back(&wire); });
    world.config["known"]["hosts"].push_back(world.makeNodeEntry("s-1", node.listener.address, 5, "ready"));
    world.start();
    const Json good = world.config;
    // A read that is open while its class changes to one that may not be repeated.
    TestConnection& before = world.connect();
    before.send(world.makeRequest("0000000000000001"));
    REQUIRE(world.waitUntil([&] { return held.size() == 1; }));

    int bads = 0;
    const auto refused = [&](const std::string& text) {
        world.rewriteConfig(text);
        world.sendSignal(SIGHUP);
        ++bads;
        return world.waitUntil([&] { return world.readCounter("config_bad") == bads; });
    };
    const auto broken = [&](const std::function<void(Json&)>& change) {
        Json bad = good;
        change(bad);
        return refused(bad.dump());
    };
    CHECK(refused(""));
    CHECK(refused(good.dump().substr(0, good.dump().size() / 2)));
    CHECK(broken([](Json& c) { c["settings"].erase("Rules"); }));
    CHECK(broken([](Json& c) { c["settings"]["Limits"].erase("SendCap"); }));
    CHECK(broken([](Json& c) { c["settings"]["Classes"][0].erase("DeadlineMs"); }));
    CHECK(broken([](Json& c) { c["settings"]["Classes"][0]["DeadlineMs"] = 0; }));
    CHECK(broken([](Json& c) { c["settings"]["Classes"][0]["DeadlineMs"] = "soon"; }));
    CHECK(broken([](Json& c) { c["settings"]["Limits"]["SendCap"] = 0; }));
    CHECK(broken([](Json& c) { c["settings"]["Limits"]["SendCap"] = -2; }));
    CHECK(broken([](Json& c) { c["settings"]["Classes"] = Json::array(); }));

    world.config["settings"]["Classes"][0]["Idempotency"] = "fragile";
    world.config["settings"]["Classes"][1]["Name"] = "scan";
    world.rewriteConfig();
    world.sendSignal(SIGHUP);
    REQUIRE(world.waitUntil([&] { return world.readCounter("config_read") == 1; }));
    const auto with = [&](const std::string& id, const std::string& cls) {
        std::string text = world.makeRequest(id);
        return text.replace(text.find("/read"), 5, "/" + cls);
    };
    CHECK(world.sendRequest(with("0000000000000002", "write")).statusCode() == 400);  // dropped
    TestConnection& scan = world.connect();
    scan.send(with("0000000000000003", "scan"));
    REQUIRE(world.waitUntil([&] { return held.size() == 2; }));
    held[1]->send(makeHttpReply(200, "scanned"));
    REQUIRE(world.waitUntil([&] { return takeHttpMessage(scan.received).has_value(); }));
    // The new rule of "read": one that may have run fails. The open one has the old rule: it goes out again.
    TestConnection& after = world.connect();
    after.send(with("0000000000000004", "read"));
    REQUIRE(world.waitUntil([&] { return held.size() == 3; }));
    held[2]->close();
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(world.waitUntil([&] { return (answer = takeHttpMessage(after.received)).has_value(); }));
    CHECK(answer->statusCode() == 502);
    held[0]->close();
    REQUIRE(world.waitUntil([&] { return held.size() == 4; }));
    held[3]->send(makeHttpReply(200, "by the old rule"));
    REQUIRE(world.waitUntil([&] { return (answer = takeHttpMessage(before.received)).has_value(); }));
    CHECK(answer->body == "by the old rule");
    CHECK(world.stopAndWait() == 0);
}
