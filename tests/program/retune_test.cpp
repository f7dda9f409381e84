// Tests settings that change while the program runs: class numbers that open requests use, incomplete files,
// and the reload on SIGHUP.
#include <doctest/doctest.h>

#include "program_harness.h"
#include "settings_json/fields.h"
#include "settings_json/merge_settings.h"

using namespace martencove::test;
using limedrum::fields::FieldError;

TEST_CASE("retune: unchanged classes keep their numbers, others get new ones, plans keep their order") {
    ProgramHarness program;
    const Json json = program.config["settings"];
    limedrum::ProgramSettings now = limedrum::decodeSettings(json);
    Json changed = json;
    changed["Classes"] = Json::array({json["Classes"][1], json["Classes"][0]});  // in a different order
    changed["Classes"][0]["Idempotency"] = "fragile";  // changes the rules of "write"
    limedrum::ProgramSettings next = limedrum::mergeSettings(now, limedrum::decodeSettings(changed));
    CHECK(next.classNames == std::vector<std::string>{"read", "/", "write"});
    CHECK(next.scheduler.classes[1].idempotency ==
          limedrum::Idempotency::deduplicated);  // for requests that use the number
    CHECK(next.scheduler.classes[1].retired);
    CHECK(next.scheduler.classes[2].idempotency == limedrum::Idempotency::nonIdempotent);
    // With the old rules again the old number is reused, so that the table does not grow.
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
    for (int i = 0; i < 2000; ++i) {  // the table's size is limited
        bad["Classes"][0]["AimMs"] = 300 + i;
        try {
            now = limedrum::mergeSettings(now, limedrum::decodeSettings(bad));
        } catch (const FieldError&) {
            break;
        }
    }
    CHECK(now.scheduler.classes.size() == 1024);
}

TEST_CASE("retune: a file that lacks keys of the current one is rejected") {
    const Json now{{"a", 1}, {"b", {{"c", 2}, {"d", {{"e", 3}}}}}, {"l", {{{"x", 1}, {"y", 1}}, {{"x", 2}}}}};
    CHECK_NOTHROW(limedrum::requireKeys(now, now));
    Json more = now;
    more["b"]["new"] = 1;
    more["l"].push_back({{"x", 3}, {"z", 1}});  // "y" is not in all entries
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

TEST_CASE("SIGHUP: new classes take effect, open requests keep the old rules, invalid files change nothing") {
    ProgramHarness program;
    std::vector<TestConnection*> openRequests;
    StubHttpNode node(program.base.get(), [&](TestConnection& connection, const ParsedHttpMessage&) {
        openRequests.push_back(&connection);
    });
    program.config["known"]["hosts"].push_back(
        program.makeNodeEntry("s-1", node.listener.address, 5, "ready"));
    program.start();
    const Json validConfig = program.config;
    // A read that is open while its class changes to one that must not be retried.
    TestConnection& clientBefore = program.connect();
    clientBefore.send(program.makeRequest("0000000000000001"));
    REQUIRE(program.waitUntil([&] { return openRequests.size() == 1; }));

    int rejectedFiles = 0;
    const auto rejectsText = [&](const std::string& text) {
        program.rewriteConfig(text);
        program.sendSignal(SIGHUP);
        ++rejectedFiles;
        return program.waitUntil([&] { return program.readCounter("config_bad") == rejectedFiles; });
    };
    const auto rejectsChange = [&](const std::function<void(Json&)>& change) {
        Json bad = validConfig;
        change(bad);
        return rejectsText(bad.dump());
    };
    CHECK(rejectsText(""));
    CHECK(rejectsText(validConfig.dump().substr(0, validConfig.dump().size() / 2)));
    CHECK(rejectsChange([](Json& config) { config["settings"].erase("Rules"); }));
    CHECK(rejectsChange([](Json& config) { config["settings"]["Limits"].erase("SendCap"); }));
    CHECK(rejectsChange([](Json& config) { config["settings"]["Classes"][0].erase("DeadlineMs"); }));
    CHECK(rejectsChange([](Json& config) { config["settings"]["Classes"][0]["DeadlineMs"] = 0; }));
    CHECK(rejectsChange([](Json& config) { config["settings"]["Classes"][0]["DeadlineMs"] = "soon"; }));
    CHECK(rejectsChange([](Json& config) { config["settings"]["Limits"]["SendCap"] = 0; }));
    CHECK(rejectsChange([](Json& config) { config["settings"]["Limits"]["SendCap"] = -2; }));
    CHECK(rejectsChange([](Json& config) { config["settings"]["Classes"] = Json::array(); }));

    program.config["settings"]["Classes"][0]["Idempotency"] = "fragile";
    program.config["settings"]["Classes"][1]["Name"] = "scan";
    program.rewriteConfig();
    program.sendSignal(SIGHUP);
    REQUIRE(program.waitUntil([&] { return program.readCounter("config_read") == 1; }));
    const auto requestOfClass = [&](const std::string& id, const std::string& className) {
        std::string text = program.makeRequest(id);
        return text.replace(text.find("/read"), 5, "/" + className);
    };
    CHECK(program.sendRequest(requestOfClass("0000000000000002", "write")).statusCode() ==
          400);  // class was removed
    TestConnection& scanClient = program.connect();
    scanClient.send(requestOfClass("0000000000000003", "scan"));
    REQUIRE(program.waitUntil([&] { return openRequests.size() == 2; }));
    openRequests[1]->send(makeHttpReply(200, "scanned"));
    REQUIRE(program.waitUntil([&] { return takeHttpMessage(scanClient.received).has_value(); }));
    // A new "read" that may have run fails by the new rules. The open one is retried by the old rules.
    TestConnection& clientAfter = program.connect();
    clientAfter.send(requestOfClass("0000000000000004", "read"));
    REQUIRE(program.waitUntil([&] { return openRequests.size() == 3; }));
    openRequests[2]->close();
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(program.waitUntil([&] { return (answer = takeHttpMessage(clientAfter.received)).has_value(); }));
    CHECK(answer->statusCode() == 502);
    openRequests[0]->close();
    REQUIRE(program.waitUntil([&] { return openRequests.size() == 4; }));
    openRequests[3]->send(makeHttpReply(200, "by the old rule"));
    REQUIRE(program.waitUntil([&] { return (answer = takeHttpMessage(clientBefore.received)).has_value(); }));
    CHECK(answer->body == "by the old rule");
    CHECK(program.stopAndWait() == 0);
}
