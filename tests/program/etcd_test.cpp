// Tests of the node list from etcd, with a stub of the JSON gateway that answers range and watch requests.
#include <doctest/doctest.h>

#include "etcd/messages.h"
#include "program_harness.h"

using namespace martencove::test;
using martencove::etcd::fromBase64;
using martencove::etcd::toBase64;

namespace {

struct EtcdWorld {
    EtcdWorld()
        : node(world.base.get(), replyWithRequestId),
          gateway(world.base.get(), [this](TestConnection& wire) { read(wire); }) {
        world.etcdSection = {{"address", gateway.address.toString()}, {"prefix", "/nodes/"}};
        pairs = Json::array({pair("s-1", 5)});
    }
    Json pair(const std::string& name, int shard) {
        const std::string value = world.makeNodeEntry(name, node.listener.address, shard, "ready").dump();
        return {{"key", toBase64("/nodes/" + name)}, {"value", toBase64(value)}};
    }
    void read(TestConnection& wire) {
        while (const auto request = takeHttpMessage(wire.received)) {
            const Json body = Json::parse(request->body);
            const bool range = request->startLine() == "POST /v3/kv/range HTTP/1.1";
            const Json& asked = range ? body : body["create_request"];
            CHECK(fromBase64(asked["key"]) == "/nodes/");
            CHECK(fromBase64(asked["range_end"]) == "/nodes0");
            if (range) {
                ++ranges;
                const Json answer{{"header", {{"revision", std::to_string(revision)}}}, {"kvs", pairs}};
                wire.send(makeHttpReply(200, answer.dump()));
                continue;
            }
            starts.push_back(asked["start_revision"]);
            watch = &wire;
            wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            say({{"created", true}});
        }
    }
    /// Sends a watch message, split into chunks at an arbitrary position.
    void say(Json result) {
        result["header"] = {{"revision", std::to_string(revision)}};
        const std::string line = Json{{"result", result}}.dump() + '\n';
        for (const std::string& part : {line.substr(0, 9), line.substr(9)}) {
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", part.size());
            watch->send(size + part + "\r\n");
        }
    }
    void change(const std::string& type, const Json& pair) {
        ++revision;
        Json event{{"kv", pair}};
        if (type != "PUT") event["type"] = type;  // the gateway omits the default
        say({{"events", Json::array({event})}});
    }
    bool watches(std::size_t count) {
        return world.waitUntil([&] { return starts.size() >= count; });
    }
    ProgramHarness world;
    StubHttpNode node;
    TestServer gateway;
    Json pairs;
    int revision = 7, ranges = 0;
    std::vector<std::string> starts;
    TestConnection* watch = nullptr;
};

}  // namespace

TEST_CASE("base64: the test vectors of RFC 4648") {
    for (const auto& [plain, coded] : {std::pair("", ""), std::pair("f", "Zg=="), std::pair("fo", "Zm8="),
                                       std::pair("foo", "Zm9v"), std::pair("foobar", "Zm9vYmFy")}) {
        CHECK(toBase64(plain) == coded);
        CHECK(fromBase64(coded) == plain);
    }
    for (const char* bad : {"Z", "Zg=", "Z===", "Zg==Zg==", "Z!=="}) CHECK(!fromBase64(bad));
}

TEST_CASE("etcd: reads a snapshot, then the changes from the next revision on") {
    EtcdWorld t;
    t.world.start();
    REQUIRE(t.watches(1));
    CHECK(t.starts == std::vector<std::string>{"8"});
    CHECK(t.world.sendRequest(t.world.makeRequest("1")).statusCode() == 200);
    t.change("DELETE", {{"key", toBase64("/nodes/s-1")}});
    REQUIRE(t.world.waitUntil([&] { return t.world.readCounter("etcd_update") == 2; }));
    CHECK(t.world.sendRequest(t.world.makeRequest("2", "", 400)).statusCode() == 503);
    t.change("PUT", t.pair("s-2", 5));
    REQUIRE(t.world.waitUntil([&] { return t.world.readCounter("etcd_update") == 3; }));
    CHECK(t.world.sendRequest(t.world.makeRequest("3")).statusCode() == 200);

    // A broken watch continues from its last revision, without a snapshot.
    t.watch->close();
    REQUIRE(t.watches(2));
    CHECK(t.starts.back() == "10");
    CHECK(t.ranges == 1);
    CHECK(t.world.discoveryCallCount == 0);  // the discovery service is not used
}

// Guards against keeping a list after changes to it were lost.
TEST_CASE("etcd: after a compaction or an unreadable change, reads a snapshot again") {
    EtcdWorld t;
    t.world.start();
    REQUIRE(t.watches(1));
    t.pairs = Json::array({t.pair("s-3", 5)});
    t.revision = 20;
    t.say({{"canceled", true}, {"compact_revision", "15"}});
    REQUIRE(t.watches(2));
    CHECK(t.ranges == 2);
    CHECK(t.starts.back() == "21");
    t.change("PUT", {{"key", toBase64("/nodes/s-4")}, {"value", toBase64("{}")}});
    REQUIRE(t.watches(3));
    CHECK(t.ranges == 3);
    CHECK(t.world.readCounter("etcd_bad") == 1);
    CHECK(t.world.sendRequest(t.world.makeRequest("1")).statusCode() == 200);
}

TEST_CASE("etcd: an invalid value in the operator file is reported") {
    const ProgramHarness world;
    const auto [code, text] = runUntilExit(world.config, {}, {{"address", "x"}, {"prefix", "/"}});
    CHECK(code == 1);
    CHECK_MESSAGE(text.find("/operator.textproto:2:1: address: not an address: 'x'\n") != text.npos, text);
}
