// Tests of the operations endpoint: its calls, silent callers, and a program that is evacuated and rejoins.
#include <doctest/doctest.h>

#include "program/program_harness.h"

using namespace martencove::test;

namespace {

struct Operated {
    Operated()
        : node(world.base.get(), [this](TestConnection& wire, const ParsedHttpMessage& request) {
              answering ? replyWithRequestId(wire, request) : void(held = &wire);
          }) {
        world.config["known"]["hosts"].push_back(
            world.makeNodeEntry("s-1", node.listener.address, 5, "ready"));
        world.config["ops"] = ops.toString();
        world.start();
    }
    int call(const std::string& method, const std::string& path) {
        TestConnection wire(world.base.get(), ops);
        wire.send(method + " " + path + " HTTP/1.1\r\nHost: o\r\n\r\n");
        std::optional<ParsedHttpMessage> answer;
        (void)world.waitUntil(
            [&] { return (answer = takeHttpMessage(wire.received)).has_value() || wire.closedByPeer; });
        (void)world.waitUntil([&] { return wire.closedByPeer; });
        return answer && wire.closedByPeer ? answer->statusCode() : 0;
    }
    int health() { return world.sendRequest("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n").statusCode(); }

    ProgramHarness world;
    const ReservedAddress ops;
    bool answering = true;
    TestConnection* held = nullptr;
    StubHttpNode node;
};

}  // namespace

TEST_CASE("ops: status codes of the calls, of wrong methods and of unknown paths") {
    Operated t;
    CHECK(t.call("GET", "/api/ready") == 200);
    CHECK(t.call("GET", "/api/evacuate") == 405);
    CHECK(t.call("PUT", "/api/ready") == 405);
    CHECK(t.call("GET", "/api/other") == 404);
    CHECK(t.call("GET", "/healthz") == 404);
    CHECK(t.health() == 200);
    CHECK(t.world.stopAndWait() == 0);
}

// Guards against silent callers that use up the descriptors or keep others from an answer.
TEST_CASE("ops: silent callers and incomplete calls do not keep others from an answer") {
    Operated t;
    std::vector<std::unique_ptr<TestConnection>> silent;
    for (int i = 0; i < 100; ++i) {
        silent.push_back(std::make_unique<TestConnection>(t.world.base.get(), t.ops));
        if (i % 2 == 0) silent.back()->send("PUT /api/evac");
    }
    REQUIRE(t.world.waitUntil([&] { return t.world.readCounter("ops_connection") >= 100; }));
    CHECK(t.call("GET", "/api/ready") == 200);
    CHECK(t.world.readCounter("ops_crowd") >= 100 - 32);
    CHECK(t.health() == 200);
}

TEST_CASE("ops: an evacuated program is not ready, serves requests, closes idle connections and can rejoin") {
    Operated t;
    TestConnection& idle = t.world.connect();
    idle.send(t.world.makeRequest("0000000000000001"));
    REQUIRE(t.world.waitUntil([&] { return takeHttpMessage(idle.received).has_value(); }));
    t.answering = false;
    TestConnection& busy = t.world.connect();
    busy.send(t.world.makeRequest("0000000000000002"));
    REQUIRE(t.world.waitUntil([&] { return t.held != nullptr; }));

    CHECK(t.call("PUT", "/api/evacuate") == 200);
    CHECK(t.call("GET", "/api/ready") == 503);
    CHECK(t.health() == 503);
    REQUIRE(t.world.waitUntil([&] { return idle.closedByPeer; }));
    CHECK(!busy.closedByPeer);
    t.answering = true;
    const ParsedHttpMessage late = t.world.sendRequest(
        t.world.makeRequest("0000000000000003"));  // from a client that does not know of the evacuation
    CHECK(late.statusCode() == 200);
    CHECK(late.header("Connection") == "close");
    t.held->send(makeHttpReply(200, "in its time"));
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(t.world.waitUntil([&] { return (answer = takeHttpMessage(busy.received)).has_value(); }));
    CHECK(answer->body == "in its time");
    REQUIRE(t.world.waitUntil([&] { return busy.closedByPeer; }));

    CHECK(t.call("PUT", "/api/rejoin") == 200);
    CHECK(t.call("GET", "/api/ready") == 200);
    CHECK(t.health() == 200);
    TestConnection& back = t.world.connect();
    back.send(t.world.makeRequest("0000000000000004"));
    REQUIRE(t.world.waitUntil([&] { return (answer = takeHttpMessage(back.received)).has_value(); }));
    CHECK(answer->header("Connection").empty());
    CHECK(t.world.stopAndWait() == 0);
}

// Guards against connections that fail for lack of descriptors, since idle clients use them all and reconnect
// when they are closed: to a new discovery address, at the operations endpoint, and to a node.
TEST_CASE(
    "ops: with all descriptors used by idle clients, a list from a new discovery address takes effect at "
    "once") {
    ProgramHarness world;
    const ReservedAddress ops;
    StubHttpNode node(world.base.get(), replyWithRequestId);
    world.config["known"]["hosts"] =
        Json::array({world.makeNodeEntry("s-1", node.listener.address, 5, "ready"),
                     world.makeNodeEntry("s-2", node.listener.address, 6, "ready")});
    world.config["ops"] = ops.toString();
    world.config["limits"]["sockets"] = 128;
    world.start();
    world.setDiscoveryAnswers(false);
    std::vector<std::unique_ptr<TestConnection>> idle(150);
    // Runs the loop until `holds` returns true, and replaces each idle connection that is closed.
    const auto until = [&](const std::function<bool()>& holds) {
        return world.waitUntil([&] {
            for (auto& wire : idle)
                if (!wire || wire->closedByPeer)
                    wire = std::make_unique<TestConnection>(world.base.get(), world.listenAddress);
            return holds();
        });
    };
    const auto ask = [&](const martencove::Address& to, const std::string& request) {
        TestConnection wire(world.base.get(), to);
        wire.send(request);
        std::optional<ParsedHttpMessage> answer;
        REQUIRE(until(
            [&] { return (answer = takeHttpMessage(wire.received)).has_value() || wire.closedByPeer; }));
        return answer.value_or(ParsedHttpMessage{"HTTP/1.1 000 closed\r\n", ""});
    };
    REQUIRE(until([&] {
        return ask(world.listenAddress, "GET /counters HTTP/1.1\r\nHost: b\r\n\r\n")
                   .body.find("\nclient_crowd ") != std::string::npos;
    }));
    TestConnection* call = nullptr;
    TestServer moved(world.base.get(), [&](TestConnection& wire) {
        if (takeHttpMessage(wire.received)) call = &wire;
    });
    world.config["discovery"] = moved.address.toString();
    world.rewriteConfig();
    world.sendSignal(SIGHUP);
    REQUIRE(until([&] { return call != nullptr; }));
    const Json hosts = Json::array({world.makeNodeEntry("s-1", node.listener.address, 5, "draining"),
                                    world.makeNodeEntry("s-2", node.listener.address, 6, "ready")});
    call->send(makeHttpReply(200, Json{{"seq", 7}, {"whole", true}, {"hosts", hosts}}.dump()));
    REQUIRE(until([&] { return world.log.find("leaving: servers leave") != std::string::npos; }));
    CHECK(ask(ops, "GET /api/ready HTTP/1.1\r\nHost: o\r\n\r\n").statusCode() == 200);
    CHECK(ask(world.listenAddress, world.makeRequest("0000000000000001", "", 400)).statusCode() ==
          503);  // its node is draining
    CHECK(node.requests.empty());
    std::string other = world.makeRequest("0000000000000002");
    other.replace(other.find("shard=5"), 7, "shard=6");
    CHECK(ask(world.listenAddress, other).statusCode() == 200);
    CHECK(node.requests.size() == 1);
}
