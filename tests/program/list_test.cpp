// The list of nodes on its way into the program: cut, spoilt, late, from an address that it moves away from.
// Each case is an order of events after which a node that had been announced as leaving got requests.
#include <doctest/doctest.h>

#include "world.h"

using namespace martencove::test;

namespace {

/// A program with one node that holds shard 5.
struct Fleet {
    explicit Fleet(bool start = true) : node(world.base.get(), serve) {
        world.config["known"]["hosts"].push_back(world.entry("s-1", node.listener.address, 5, "ready"));
        if (start) world.start();
    }
    /// Whether a request of the shard finds nobody to serve it.
    bool refused(const std::string& id) { return world.ask(world.request(id, "", 400)).code() == 503; }

    World world;
    HttpNode node;
};

std::string listText(int seq, bool whole, const Json& hosts) {
    return Json{{"seq", seq}, {"whole", whole}, {"hosts", hosts}}.dump();
}

}  // namespace

// Guards against sends from a configuration that is older than what the agent holds: clients wait for the
// first list, and with them the answer that says the program is ready.
TEST_CASE("list: a start sends nothing by its old list while the first one is on its way") {
    Fleet t(false);
    t.world.answerLists(false);
    t.world.tell("s-1", t.node.listener.address, 5, "draining");
    t.world.config["settings"]["Rules"]["DrainGraceMs"] = 60'000;  // nothing here comes to its bound
    bool asked = false;
    std::unique_ptr<Wire> client;
    // A client that is there before the program is ready, and a list that comes once it has sent its request.
    t.world.whileStarting = [&] {
        if (asked || t.world.watches == 0) return;
        if (!client || client->closed) client = std::make_unique<Wire>(t.world.base.get(), t.world.listen);
        if (!client->connected) return;
        asked = true;
        client->send(t.world.request("0000000000000001", "", 900));
        (void)t.world.until([&] { return !t.node.requests.empty(); }, 200);  // it has time to go wrong
        t.world.answerLists(true);
    };
    t.world.start();
    REQUIRE(t.world.until([&] {
        t.world.whileStarting();
        return asked;
    }));
    std::optional<HttpText> answer;
    REQUIRE(t.world.until([&] { return (answer = takeHttp(client->got)).has_value() || client->closed; }));
    REQUIRE(answer);
    CHECK(answer->code() == 503);
    CHECK(t.node.requests.empty());
    CHECK(t.world.counter("started_unheard") == 0);
}

TEST_CASE("list: a discovery that stays silent does not keep the program from its start") {
    Fleet t(false);
    t.world.answerLists(false);
    t.world.start();
    CHECK(t.world.counter("started_unheard") == 1);
    CHECK(t.world.ask(t.world.request("0000000000000001")).code() == 200);
}

// Guards against an agent's word that is left unread: it counts as told although the program moves away.
TEST_CASE("list: after SIGHUP the old address is heard until the new one has told its list") {
    Fleet t;
    int calls = 0;
    Wire* asked = nullptr;
    Listener moved(t.world.base.get(), [&](Wire& wire) {
        if (takeHttp(wire.got)) ++calls, asked = &wire;
    });
    t.world.config["discovery"] = moved.address.text();
    t.world.rewrite();
    t.world.signal(SIGHUP);
    REQUIRE(t.world.until([&] { return calls > 0; }));
    const int watches = t.world.watches;
    t.world.tell("s-1", t.node.listener.address, 5, "draining");
    REQUIRE(t.world.until([&] { return t.world.watches > watches; }));
    CHECK(t.refused("0000000000000001"));
    CHECK(t.node.requests.empty());
    // The new address lags behind: its whole list is older than what the old one told.
    const int before = calls;
    REQUIRE(t.world.until([&] { return calls > before; }));
    asked->send(httpReply(
        200, listText(0, true, Json::array({t.world.entry("s-1", t.node.listener.address, 5, "ready")}))));
    REQUIRE(t.world.until([&] { return t.world.counter("discovery_moved") == 1; }));
    CHECK(t.refused("0000000000000002"));
    CHECK(t.node.requests.empty());
    CHECK(t.world.counter("discovery_stale") == 1);
}

TEST_CASE("list: an entry that makes no sense leaves the others in force, and the whole list is asked for") {
    Fleet t;
    auto bad = t.world.entry("s-2", t.node.listener.address, 5, "ready");
    bad["dial"] = "nowhere";
    auto leaving = t.world.entry("s-1", t.node.listener.address, 5, "draining");
    leaving["block"] = "five";  // its leaving can be read all the same
    t.world.tellRaw(listText(9, false, {leaving, bad, 7}));
    REQUIRE(t.world.until([&] { return t.world.counter("discovery_entry_bad") >= 3; }));
    CHECK(t.refused("0000000000000001"));
    CHECK(t.node.requests.empty());
    CHECK(t.world.counter("discovery_bad") == 0);
}

TEST_CASE("list: named twice in one update, the leaving counts") {
    Fleet t;
    const auto entry = [&](const char* health) {
        return t.world.entry("s-1", t.node.listener.address, 5, health);
    };
    t.world.tellRaw(listText(9, false, {entry("draining"), entry("ready")}));
    REQUIRE(t.world.until([&] { return t.world.counter("discovery_stale") == 1; }));
    CHECK(t.refused("0000000000000001"));
    CHECK(t.node.requests.empty());
}

// What was written before the cut has been told.
TEST_CASE("list: an update that is cut off tells the leaving that stands before the cut") {
    Fleet t;
    const std::string text = listText(9, false,
                                      {t.world.entry("s-1", t.node.listener.address, 5, "draining"),
                                       t.world.entry("s-2", t.node.listener.address, 5, "ready")});
    const std::string half = text.substr(0, text.find("s-2"));
    SUBCASE("in its text") { t.world.tellRaw(half); }
    SUBCASE("by its connection") {
        t.world.tellThenClose("HTTP/1.1 200 X\r\nContent-Length: " + std::to_string(text.size()) +
                              "\r\n\r\n" + half);
    }
    REQUIRE(t.world.until([&] { return t.world.log.find("list not taken") != std::string::npos; }));
    CHECK(t.refused("0000000000000001"));
    CHECK(t.node.requests.empty());
}

// Guards against a call that an agent will never answer: what it learns meanwhile counts as told, so that the
// call has to end well within the grace.
TEST_CASE("list: a call to the agent is held for no longer than half the grace") {
    Fleet t;
    REQUIRE(t.world.until([&] { return t.world.watched.find("wait_ms=") != std::string::npos; }));
    CHECK(t.world.watched.find("wait_ms=500 ") != std::string::npos);
    World onRequest;
    onRequest.config["settings"]["Discovery"] = "on_request";
    onRequest.start();
    REQUIRE(onRequest.until([&] { return onRequest.watched.find("wait_ms=") != std::string::npos; }));
    CHECK(onRequest.watched.find("wait_ms=5000 ") != std::string::npos);
}
