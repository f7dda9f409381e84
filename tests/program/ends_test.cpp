// What is owed where something ends: a client that leaves, a time that runs out, the program's own end. The
// moment in which two things cross is forced, by a process that stands still or a connection that does not
// come up, and not hoped for.
#include <doctest/doctest.h>

#include <chrono>

#include "world.h"

using namespace martencove::test;

namespace {

/// A program whose shard 5 is held by a node at `dial`.
void startWith(World& world, const martencove::Address& dial) {
    world.config["known"]["hosts"] = Json::array({world.entry("s-1", dial, 5, "ready")});
    world.start();
}
const auto silent = [](Wire&, const HttpText&) {};

}  // namespace

// Guards against a time that is told as it was when the attempt was decided: the node would work on for a
// client that has given up.
TEST_CASE("ends: a node is told what is left of the time once its connection is up") {
    World world;
    Jam jam;
    world.config["settings"]["Limits"]["DialTimeoutMs"] = 60'000;
    startWith(world, jam.address);
    const auto start = std::chrono::steady_clock::now();
    world.connect().send(world.request("0000000000000001", "", 5000));
    REQUIRE(world.until([&] { return world.counter("attempt_sent") == 1; }));
    (void)world.until([] { return false; }, 300);
    // What waited before the connection could come up is gone from the time, however long that took.
    const double goneMs =
        std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
    std::optional<HttpText> request;
    REQUIRE(world.until([&] {
        std::string text = jam.text();
        return (request = takeHttp(text)).has_value();
    }));
    CHECK(std::stod(request->header("Req-Deadline-Ms")) <= 5000 - goneMs + 50);  // the client's way to it
}

// Guards against a copy that reaches its node when that has forgotten the first one: it was decided in time,
// but its connection came up late.
TEST_CASE("ends: a keyed repeat whose connection comes up after its window does not go out") {
    World world;
    Jam jam(false);
    world.config["settings"]["Limits"]["DialTimeoutMs"] = 60'000;
    world.config["settings"]["Classes"][1]["DedupWindowMs"] = 600;
    startWith(world, jam.address);
    Wire& client = world.connect();
    client.send(world.request("0000000000000001", "", 5000, "text"));
    REQUIRE(world.until([&] { return jam.text().ends_with("text"); }));
    const std::string first = jam.text();
    jam.fill();
    jam.resetAll();  // it may have run
    std::optional<HttpText> answer;
    REQUIRE(
        world.until([&] { return (answer = takeHttp(client.got)) || world.counter("attempt_sent") == 2; }));
    (void)world.until([&] { return (answer = takeHttp(client.got)).has_value(); }, 900);
    (void)jam.text();  // the connection comes up with the system's next try, a second after its first
    (void)world.until([&] { return jam.text() != first; }, 1500);
    CHECK(jam.text() == first);
    REQUIRE(answer);
    CHECK(answer->code() == 502);  // not harmless to repeat
}

// Guards against work that waits for its own connection alone, which comes up late, or never.
TEST_CASE("ends: work whose connection does not come up goes on one that another has done with") {
    World world;
    Jam jam(false);
    world.config["settings"]["Limits"]["DialTimeoutMs"] = 60'000;
    startWith(world, jam.address);
    Wire& first = world.connect();
    first.send(world.request("0000000000000001"));
    REQUIRE(world.until([&] { return !jam.text().empty(); }));
    jam.fill();
    Wire& second = world.connect();
    second.send(world.request("0000000000000002", "", 4000));
    REQUIRE(world.until([&] { return world.counter("attempt_sent") == 2; }));
    jam.answer(httpReply(200, "one"));
    REQUIRE(
        world.until([&] { return jam.textOfTaken().find("Req-Id: 0000000000000002") != std::string::npos; }));
    jam.answer(httpReply(200, "two"));
    std::optional<HttpText> answer;
    REQUIRE(world.until([&] { return (answer = takeHttp(second.got)).has_value(); }));
    CHECK(answer->body == "two");
    CHECK(world.counter("node_connection_other") == 1);
    CHECK(world.counter("attempt_sent") == 2);
}

TEST_CASE("ends: beside a connection that is late a second one is dialled, and the request goes out once") {
    World world;
    Jam jam;
    world.config["settings"]["Limits"]["DialTimeoutMs"] = 10'000;  // a quarter: 2.5 s
    startWith(world, jam.address);
    Wire& client = world.connect();
    client.send(world.request("0000000000000001", "", 5000));
    REQUIRE(world.until([&] { return world.counter("node_connection_again") == 1; }));
    REQUIRE(world.until([&] { return jam.text().ends_with("\r\n\r\n"); }));
    jam.answer(httpReply(200, "one"));
    std::optional<HttpText> answer;
    REQUIRE(world.until([&] { return (answer = takeHttp(client.got)).has_value(); }));
    CHECK(answer->body == "one");
    (void)world.until([] { return false; }, 200);
    std::string text = jam.text();
    CHECK(takeHttp(text).has_value());
    CHECK(text.empty());
    CHECK(world.counter("attempt_sent") == 1);
}

// Guards against a client whose leaving is not seen behind what else it has sent.
TEST_CASE("ends: a client that leaves is seen behind the requests that it has sent before their turn") {
    World world;
    HttpNode node(world.base.get(), silent);
    startWith(world, node.listener.address);
    std::string early = world.request("0000000000000002");
    bool reset = false;
    SUBCASE("a whole one") {}
    SUBCASE("a half one") { early.resize(early.size() / 2); }
    SUBCASE("a whole one, and it breaks off") { reset = true; }
    SUBCASE("more than is read before its turn") {
        while (early.size() < 80'000) early += early;
    }
    SUBCASE("more than the sockets take, and it breaks off") {
        while (early.size() < 2'000'000) early += early;
        reset = true;
    }
    Wire& client = world.connect();
    client.send(world.request("0000000000000001"));
    REQUIRE(world.until([&] { return node.requests.size() == 1; }));
    client.send(early);
    world.rest();
    reset ? client.sendAndReset("") : client.close();
    REQUIRE(world.until([&] { return node.listener.wires.front().closed; }));
    CHECK(world.counter("client_gone") == 1);
    CHECK(world.counter("answer_failed") + world.counter("answer_refused") == 0);
    CHECK(node.requests.size() == 1);
}

// Guards against an attempt for a client that has left before its request was read: the program stands still
// while both come.
TEST_CASE("ends: a request whose client has left before it is read is not sent on") {
    World world;
    HttpNode node(world.base.get(), serve);
    startWith(world, node.listener.address);
    Wire& client = world.connect();
    REQUIRE(world.until([&] { return client.connected; }));
    const int connections = static_cast<int>(world.counter("client_connection"));
    CHECK(connections > 0);  // and this one is taken
    world.signal(SIGSTOP);
    SUBCASE("one") { client.sendLast(world.request("0000000000000001")); }
    SUBCASE("several at once") {
        client.sendLast(world.request("0000000000000001") + world.request("0000000000000002"));
    }
    world.signal(SIGCONT);
    REQUIRE(world.until([&] { return world.counter("client_gone_untaken") == 1; }));
    CHECK(node.requests.empty());
    CHECK(world.counter("attempt_sent") == 0);
    REQUIRE(world.until([&] { return client.closed; }));
}

// Guards against a request that the program's end drops: it came late, on a connection that was kept for its
// first half, and its client would wait for longer than the program may stay.
TEST_CASE("ends: SIGTERM: what comes late has its answer before the last moment") {
    World world;
    HttpNode node(world.base.get(), silent);
    startWith(world, node.listener.address);
    Wire& client = world.connect();
    const std::string text = world.request("0000000000000001", "", 5000);
    client.send(text.substr(0, 20));
    world.rest();
    world.signal(SIGTERM);
    REQUIRE(world.until([&] { return world.log.find("end: finishing") != std::string::npos; }));
    (void)world.until([] { return false; }, 1000);  // its time ends after the program's 5.55 s, if not cut
    client.send(text.substr(20));
    std::optional<HttpText> answer;
    REQUIRE(world.until([&] { return (answer = takeHttp(client.got)).has_value() || client.closed; }));
    REQUIRE(answer);
    CHECK(answer->code() == 503);
    CHECK(world.end() == 0);
    CHECK(world.log.find("end: exits open=0") != std::string::npos);
}
