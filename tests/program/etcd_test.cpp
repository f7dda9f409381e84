// Tests of the node list from etcd, with a stub of the JSON gateway that answers range and watch requests.
#include <doctest/doctest.h>

#include "etcd/messages.h"
#include "program_harness.h"

using namespace martencove::test;
using martencove::etcd::fromBase64;
using martencove::etcd::toBase64;

namespace {

struct EtcdFixture {
    EtcdFixture()
        : node(harness.base.get(), replyWithRequestId),
          gateway(harness.base.get(), [this](TestConnection& connection) { handleRequests(connection); }) {
        harness.etcdSection = {{"address", gateway.address.toString()}, {"prefix", "/nodes/"}};
        pairs = Json::array({makePair("s-1", 5)});
    }
    Json makePair(const std::string& name, int shard) {
        const std::string value = harness.makeNodeEntry(name, node.listener.address, shard, "ready").dump();
        return {{"key", toBase64("/nodes/" + name)}, {"value", toBase64(value)}};
    }
    void handleRequests(TestConnection& connection) {
        while (const auto request = takeHttpMessage(connection.received)) {
            const Json body = Json::parse(request->body);
            const bool isRange = request->startLine() == "POST /v3/kv/range HTTP/1.1";
            const Json& parameters = isRange ? body : body["create_request"];
            CHECK(fromBase64(parameters["key"]) == "/nodes/");
            CHECK(fromBase64(parameters["range_end"]) == "/nodes0");
            if (isRange) {
                ++rangeRequestCount;
                const Json response{{"header", {{"revision", std::to_string(revision)}}}, {"kvs", pairs}};
                connection.send(makeHttpReply(200, response.dump()));
                continue;
            }
            startRevisions.push_back(parameters["start_revision"]);
            watch = &connection;
            connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            sendWatchMessage({{"created", true}});
        }
    }
    /// Sends a watch message, split into chunks at an arbitrary position.
    void sendWatchMessage(Json result) {
        result["header"] = {{"revision", std::to_string(revision)}};
        const std::string line = Json{{"result", result}}.dump() + '\n';
        for (const std::string& chunk : {line.substr(0, 9), line.substr(9)}) {
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", chunk.size());
            watch->send(size + chunk + "\r\n");
        }
    }
    void sendChange(const std::string& type, const Json& pair) {
        ++revision;
        Json event{{"kv", pair}};
        if (type != "PUT") event["type"] = type;  // the gateway omits the default
        sendWatchMessage({{"events", Json::array({event})}});
    }
    bool waitForWatches(std::size_t count) {
        return harness.waitUntil([&] { return startRevisions.size() >= count; });
    }
    ProgramHarness harness;
    StubHttpNode node;
    TestServer gateway;
    Json pairs;
    int revision = 7, rangeRequestCount = 0;
    std::vector<std::string> startRevisions;
    TestConnection* watch = nullptr;
};

}  // namespace

TEST_CASE("base64: the test vectors of RFC 4648") {
    for (const auto& [plain, encoded] : {std::pair("", ""), std::pair("f", "Zg=="), std::pair("fo", "Zm8="),
                                         std::pair("foo", "Zm9v"), std::pair("foobar", "Zm9vYmFy")}) {
        CHECK(toBase64(plain) == encoded);
        CHECK(fromBase64(encoded) == plain);
    }
    for (const char* invalid : {"Z", "Zg=", "Z===", "Zg==Zg==", "Z!=="}) CHECK(!fromBase64(invalid));
}

TEST_CASE("etcd: reads a snapshot, then the changes from the next revision on") {
    EtcdFixture fixture;
    fixture.harness.start();
    REQUIRE(fixture.waitForWatches(1));
    CHECK(fixture.startRevisions == std::vector<std::string>{"8"});
    CHECK(fixture.harness.sendRequest(fixture.harness.makeRequest("1")).statusCode() == 200);
    fixture.sendChange("DELETE", {{"key", toBase64("/nodes/s-1")}});
    REQUIRE(fixture.harness.waitUntil([&] { return fixture.harness.readCounter("etcd_update") == 2; }));
    CHECK(fixture.harness.sendRequest(fixture.harness.makeRequest("2", "", 400)).statusCode() == 503);
    fixture.sendChange("PUT", fixture.makePair("s-2", 5));
    REQUIRE(fixture.harness.waitUntil([&] { return fixture.harness.readCounter("etcd_update") == 3; }));
    CHECK(fixture.harness.sendRequest(fixture.harness.makeRequest("3")).statusCode() == 200);

    // A broken watch continues from its last revision, without a snapshot.
    fixture.watch->close();
    REQUIRE(fixture.waitForWatches(2));
    CHECK(fixture.startRevisions.back() == "10");
    CHECK(fixture.rangeRequestCount == 1);
    CHECK(fixture.harness.discoveryCallCount == 0);  // the discovery service is not used
}

// Guards against keeping a list after changes to it were lost.
TEST_CASE("etcd: after a compaction or an unreadable change, reads a snapshot again") {
    EtcdFixture fixture;
    fixture.harness.start();
    REQUIRE(fixture.waitForWatches(1));
    fixture.pairs = Json::array({fixture.makePair("s-3", 5)});
    fixture.revision = 20;
    fixture.sendWatchMessage({{"canceled", true}, {"compact_revision", "15"}});
    REQUIRE(fixture.waitForWatches(2));
    CHECK(fixture.rangeRequestCount == 2);
    CHECK(fixture.startRevisions.back() == "21");
    fixture.sendChange("PUT", {{"key", toBase64("/nodes/s-4")}, {"value", toBase64("{}")}});
    REQUIRE(fixture.waitForWatches(3));
    CHECK(fixture.rangeRequestCount == 3);
    CHECK(fixture.harness.readCounter("etcd_bad") == 1);
    CHECK(fixture.harness.sendRequest(fixture.harness.makeRequest("1")).statusCode() == 200);
}

TEST_CASE("etcd: an invalid value in the operator file is reported") {
    const ProgramHarness harness;
    const auto [code, text] = runUntilExit(harness.config, {}, {{"address", "x"}, {"prefix", "/"}});
    CHECK(code == 1);
    CHECK_MESSAGE(text.find("/operator.textproto:2:1: address: not an address: 'x'\n") != text.npos, text);
}
