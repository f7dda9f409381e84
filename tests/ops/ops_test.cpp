// The second address: its calls, callers that say nothing, and a program that sends its clients away and
// takes them back.
#include <doctest/doctest.h>

#include "program/world.h"

using namespace martencove::test;

namespace {

struct Operated {
    Operated()
        : node(world.base.get(), [this](Wire& wire, const HttpText& request) {
              answering ? serve(wire, request) : void(held = &wire);
          }) {
        world.config["known"]["hosts"].push_back(world.entry("s-1", node.listener.address, 5, "ready"));
        world.config["ops"] = ops.text();
        world.start();
    }
    int call(const std::string& method, const std::string& path) {
        Wire wire(world.base.get(), ops);
        wire.send(method + " " + path + " HTTP/1.1\r\nHost: o\r\n\r\n");
        std::optional<HttpText> answer;
        (void)world.until([&] { return (answer = takeHttp(wire.got)).has_value() || wire.closed; });
        (void)world.until([&] { return wire.closed; });
        return answer && wire.closed ? answer->code() : 0;
    }
    int health() { return world.ask("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n").code(); }

    World world;
    const FreeAddress ops;
    bool answering = true;
    Wire* held = nullptr;
    HttpNode node;
};

}  // namespace

TEST_CASE("ops: the calls, and what is none") {
    Operated t;
    CHECK(t.call("GET", "/api/ready") == 200);
    CHECK(t.call("GET", "/api/evacuate") == 405);
    CHECK(t.call("PUT", "/api/ready") == 405);
    CHECK(t.call("GET", "/api/other") == 404);
    CHECK(t.call("GET", "/healthz") == 404);
    CHECK(t.health() == 200);
    CHECK(t.world.end() == 0);
}

// Guards against descriptors and answers lost to callers that say nothing.
TEST_CASE("ops: callers that say nothing, or half a call, keep nobody from an answer") {
    Operated t;
    std::vector<std::unique_ptr<Wire>> silent;
    for (int i = 0; i < 100; ++i) {
        silent.push_back(std::make_unique<Wire>(t.world.base.get(), t.ops));
        if (i % 2 == 0) silent.back()->send("PUT /api/evac");
    }
    REQUIRE(t.world.until([&] { return t.world.counter("ops_connection") >= 100; }));
    CHECK(t.call("GET", "/api/ready") == 200);
    CHECK(t.world.counter("ops_crowd") >= 100 - 32);
    CHECK(t.health() == 200);
}

TEST_CASE("ops: evacuated, it says no, serves what comes, closes what rests, and comes back") {
    Operated t;
    Wire& idle = t.world.connect();
    idle.send(t.world.request("0000000000000001"));
    REQUIRE(t.world.until([&] { return takeHttp(idle.got).has_value(); }));
    t.answering = false;
    Wire& busy = t.world.connect();
    busy.send(t.world.request("0000000000000002"));
    REQUIRE(t.world.until([&] { return t.held != nullptr; }));

    CHECK(t.call("PUT", "/api/evacuate") == 200);
    CHECK(t.call("GET", "/api/ready") == 503);
    CHECK(t.health() == 503);
    REQUIRE(t.world.until([&] { return idle.closed; }));
    CHECK(!busy.closed);
    t.answering = true;
    const HttpText late = t.world.ask(t.world.request("0000000000000003"));  // a client that had not heard
    CHECK(late.code() == 200);
    CHECK(late.header("Connection") == "close");
    t.held->send(httpReply(200, "in its time"));
    std::optional<HttpText> answer;
    REQUIRE(t.world.until([&] { return (answer = takeHttp(busy.got)).has_value(); }));
    CHECK(answer->body == "in its time");
    REQUIRE(t.world.until([&] { return busy.closed; }));

    CHECK(t.call("PUT", "/api/rejoin") == 200);
    CHECK(t.call("GET", "/api/ready") == 200);
    CHECK(t.health() == 200);
    Wire& back = t.world.connect();
    back.send(t.world.request("0000000000000004"));
    REQUIRE(t.world.until([&] { return (answer = takeHttp(back.got)).has_value(); }));
    CHECK(answer->header("Connection").empty());
    CHECK(t.world.end() == 0);
}

// Guards against calls that find no descriptor, as idle clients have them all and come again when they are
// closed: a new address of discovery, the second address, a node.
TEST_CASE(
    "ops: idle clients fill the descriptors while discovery is silent: what it then says is in force at "
    "once") {
    World world;
    const FreeAddress ops;
    HttpNode node(world.base.get(), serve);
    world.config["known"]["hosts"] = Json::array({world.entry("s-1", node.listener.address, 5, "ready"),
                                                  world.entry("s-2", node.listener.address, 6, "ready")});
    world.config["ops"] = ops.text();
    world.config["limits"]["sockets"] = 128;
    world.start();
    world.answerLists(false);
    std::vector<std::unique_ptr<Wire>> idle(150);
    // The loop runs until it holds, and no place of an idle client stays empty.
    const auto until = [&](const std::function<bool()>& holds) {
        return world.until([&] {
            for (auto& wire : idle)
                if (!wire || wire->closed) wire = std::make_unique<Wire>(world.base.get(), world.listen);
            return holds();
        });
    };
    const auto ask = [&](const martencove::Address& to, const std::string& request) {
        Wire wire(world.base.get(), to);
        wire.send(request);
        std::optional<HttpText> answer;
        REQUIRE(until([&] { return (answer = takeHttp(wire.got)).has_value() || wire.closed; }));
        return answer.value_or(HttpText{"HTTP/1.1 000 closed\r\n", ""});
    };
    REQUIRE(until([&] {
        return ask(world.listen, "GET /counters HTTP/1.1\r\nHost: b\r\n\r\n").body.find("\nclient_crowd ") !=
               std::string::npos;
    }));
    Wire* call = nullptr;
    Listener moved(world.base.get(), [&](Wire& wire) {
        if (takeHttp(wire.got)) call = &wire;
    });
    world.config["discovery"] = moved.address.text();
    world.rewrite();
    world.signal(SIGHUP);
    REQUIRE(until([&] { return call != nullptr; }));
    const Json hosts = Json::array({world.entry("s-1", node.listener.address, 5, "draining"),
                                    world.entry("s-2", node.listener.address, 6, "ready")});
    call->send(httpReply(200, Json{{"seq", 7}, {"whole", true}, {"hosts", hosts}}.dump()));
    REQUIRE(until([&] { return world.log.find("leaving: servers leave") != std::string::npos; }));
    CHECK(ask(ops, "GET /api/ready HTTP/1.1\r\nHost: o\r\n\r\n").code() == 200);
    CHECK(ask(world.listen, world.request("0000000000000001", "", 400)).code() == 503);  // its server leaves
    CHECK(node.requests.empty());
    std::string other = world.request("0000000000000002");
    other.replace(other.find("shard=5"), 7, "shard=6");
    CHECK(ask(world.listen, other).code() == 200);
    CHECK(node.requests.size() == 1);
}
