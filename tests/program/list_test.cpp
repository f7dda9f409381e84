// The list of nodes on its way into the program: cut, spoilt, late, from an address that it moves away from.
// Each case is an order of events after which a node that had been announced as leaving got requests.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>

#include "program_harness.h"

using namespace martencove::test;

namespace {

/// A program with one node that holds shard 5.
struct Fleet {
    explicit Fleet(bool start = true) : node(world.base.get(), replyWithRequestId) {
        world.config["known"]["hosts"].push_back(
            world.makeNodeEntry("s-1", node.listener.address, 5, "ready"));
        if (start) world.start();
    }
    /// Whether a request of the shard finds nobody to serve it.
    bool refused(const std::string& id) {
        return world.sendRequest(world.makeRequest(id, "", 400)).statusCode() == 503;
    }

    ProgramHarness world;
    StubHttpNode node;
};

std::string listText(int seq, bool whole, const Json& hosts) {
    return Json{{"seq", seq}, {"whole", whole}, {"hosts", hosts}}.dump();
}

}  // namespace

// Guards against sends from a configuration that is older than what the agent holds: clients wait for the
// first list, and with them the answer that says the program is ready.
TEST_CASE("list: a start sends nothing by its old list while the first one is on its way") {
    Fleet t(false);
    t.world.setDiscoveryAnswers(false);
    t.world.announceNode("s-1", t.node.listener.address, 5, "draining");
    t.world.config["settings"]["Rules"]["DrainGraceMs"] = 60'000;  // nothing here comes to its bound
    bool asked = false;
    std::unique_ptr<TestConnection> client;
    // A client that is there before the program is ready, and a list that comes once it has sent its request.
    t.world.whileStarting = [&] {
        if (asked || t.world.discoveryCallCount == 0) return;
        if (!client || client->closedByPeer)
            client = std::make_unique<TestConnection>(t.world.base.get(), t.world.listenAddress);
        if (!client->connected) return;
        asked = true;
        client->send(t.world.makeRequest("0000000000000001", "", 900));
        (void)t.world.waitUntil([&] { return !t.node.requests.empty(); }, 200);  // it has time to go wrong
        t.world.setDiscoveryAnswers(true);
    };
    t.world.start();
    REQUIRE(t.world.waitUntil([&] {
        t.world.whileStarting();
        return asked;
    }));
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(t.world.waitUntil(
        [&] { return (answer = takeHttpMessage(client->received)).has_value() || client->closedByPeer; }));
    REQUIRE(answer);
    CHECK(answer->statusCode() == 503);
    CHECK(t.node.requests.empty());
    CHECK(t.world.readCounter("started_unheard") == 0);
}

TEST_CASE("list: a discovery that stays silent does not keep the program from its start") {
    Fleet t(false);
    t.world.setDiscoveryAnswers(false);
    t.world.start();
    CHECK(t.world.readCounter("started_unheard") == 1);
    CHECK(t.world.sendRequest(t.world.makeRequest("0000000000000001")).statusCode() == 200);
}

// Guards against an agent's word that is left unread: it counts as told although the program moves away.
TEST_CASE("list: after SIGHUP the old address is heard until the new one has told its list") {
    Fleet t;
    int calls = 0;
    TestConnection* asked = nullptr;
    TestServer moved(t.world.base.get(), [&](TestConnection& wire) {
        if (takeHttpMessage(wire.received)) ++calls, asked = &wire;
    });
    t.world.config["discovery"] = moved.address.toString();
    t.world.rewriteConfig();
    t.world.sendSignal(SIGHUP);
    REQUIRE(t.world.waitUntil([&] { return calls > 0; }));
    const int watches = t.world.discoveryCallCount;
    t.world.announceNode("s-1", t.node.listener.address, 5, "draining");
    REQUIRE(t.world.waitUntil([&] { return t.world.discoveryCallCount > watches; }));
    CHECK(t.refused("0000000000000001"));
    CHECK(t.node.requests.empty());
    // The new address lags behind: its whole list is older than what the old one told.
    const int before = calls;
    REQUIRE(t.world.waitUntil([&] { return calls > before; }));
    asked->send(makeHttpReply(
        200,
        listText(0, true, Json::array({t.world.makeNodeEntry("s-1", t.node.listener.address, 5, "ready")}))));
    REQUIRE(t.world.waitUntil([&] { return t.world.readCounter("discovery_moved") == 1; }));
    CHECK(t.refused("0000000000000002"));
    CHECK(t.node.requests.empty());
    CHECK(t.world.readCounter("discovery_stale") == 1);
}

TEST_CASE("list: an entry that makes no sense leaves the others in force, and the whole list is asked for") {
    Fleet t;
    auto bad = t.world.makeNodeEntry("s-2", t.node.listener.address, 5, "ready");
    bad["dial"] = "nowhere";
    auto leaving = t.world.makeNodeEntry("s-1", t.node.listener.address, 5, "draining");
    leaving["block"] = "five";  // its leaving can be read all the same
    t.world.replyRawToNextWatch(listText(9, false, {leaving, bad, 7}));
    REQUIRE(t.world.waitUntil([&] { return t.world.readCounter("discovery_entry_bad") >= 3; }));
    CHECK(t.refused("0000000000000001"));
    CHECK(t.node.requests.empty());
    CHECK(t.world.readCounter("discovery_bad") == 0);
}

TEST_CASE("list: named twice in one update, the leaving counts") {
    Fleet t;
    const auto entry = [&](const char* health) {
        return t.world.makeNodeEntry("s-1", t.node.listener.address, 5, health);
    };
    t.world.replyRawToNextWatch(listText(9, false, {entry("draining"), entry("ready")}));
    REQUIRE(t.world.waitUntil([&] { return t.world.readCounter("discovery_stale") == 1; }));
    CHECK(t.refused("0000000000000001"));
    CHECK(t.node.requests.empty());
}

// What was written before the cut has been told.
TEST_CASE("list: an update that is cut off tells the leaving that stands before the cut") {
    Fleet t;
    const std::string text = listText(9, false,
                                      {t.world.makeNodeEntry("s-1", t.node.listener.address, 5, "draining"),
                                       t.world.makeNodeEntry("s-2", t.node.listener.address, 5, "ready")});
    const std::string half = text.substr(0, text.find("s-2"));
    SUBCASE("in its text") { t.world.replyRawToNextWatch(half); }
    SUBCASE("by its connection") {
        t.world.replyRawThenClose("HTTP/1.1 200 X\r\nContent-Length: " + std::to_string(text.size()) +
                                  "\r\n\r\n" + half);
    }
    REQUIRE(t.world.waitUntil([&] { return t.world.log.find("malformed node list") != std::string::npos; }));
    CHECK(t.refused("0000000000000001"));
    CHECK(t.node.requests.empty());
}

// Guards against a call that an agent will never answer: what it learns meanwhile counts as told, so that the
// call has to end well within the grace.
TEST_CASE("list: a call to the agent is held for its part of the grace") {
    Fleet t;
    REQUIRE(
        t.world.waitUntil([&] { return t.world.lastDiscoveryCall.find("wait_ms=") != std::string::npos; }));
    CHECK(t.world.lastDiscoveryCall.find("wait_ms=150 ") != std::string::npos);
    ProgramHarness onRequest;
    onRequest.config["settings"]["Discovery"] = "on_request";
    onRequest.start();
    // 0.42 of the 6 s after which a change counts as told, and the grace.
    REQUIRE(onRequest.waitUntil(
        [&] { return onRequest.lastDiscoveryCall.find("wait_ms=") != std::string::npos; }));
    CHECK(onRequest.lastDiscoveryCall.find("wait_ms=2940 ") != std::string::npos);
}

// Guards against a second held call, whose silence shows as late as the first one's: what the first has
// missed counts as told before that.
TEST_CASE("list: where it is asked for, the call after a silent one is not held") {
    Fleet t(false);
    t.world.config["settings"]["Discovery"] = "on_request";
    t.world.start();
    REQUIRE(t.world.waitUntil(
        [&] { return t.world.lastDiscoveryCall.find("wait_ms=2940 ") != std::string::npos; }));
    t.world.setDiscoveryAnswers(false);
    const int calls = t.world.discoveryCallCount;
    t.world.announceNode("s-1", t.node.listener.address, 5, "draining");
    REQUIRE(t.world.waitUntil([&] { return t.world.discoveryCallCount > calls; }));
    CHECK(t.world.lastDiscoveryCall.find("wait_ms=1 ") != std::string::npos);
    t.world.setDiscoveryAnswers(true);
    REQUIRE(t.world.waitUntil([&] { return t.world.readCounter("server_leaves") == 1; }));
    CHECK(t.refused("0000000000000001"));
    CHECK(t.node.requests.empty());
}

namespace {

/// Runs the loop until discovery has got a call that waits for news, and one more.
void newWatch(ProgramHarness& world) {
    const int before = world.discoveryCallCount;
    REQUIRE(world.waitUntil([&] {
        return world.discoveryCallCount > before &&
               world.lastDiscoveryCall.find("wait_ms=") != std::string::npos;
    }));
}
double msSince(std::chrono::steady_clock::time_point then) {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - then).count();
}

}  // namespace

// Guards against a list that is given up each time before it is whole: its second half comes when a call to
// an agent that says nothing would be over.
TEST_CASE("list: an agent that writes a list slowly and in pieces is heard to its end") {
    Fleet t(false);
    const std::string text = Json{{"seq", 3},
                                  {"whole", true},
                                  {"hosts",
                                   {t.world.makeNodeEntry("s-1", t.node.listener.address, 5, "draining"),
                                    t.world.makeNodeEntry("s-2", t.node.listener.address, 6, "ready")}}}
                                 .dump(4);
    const std::string answer = makeHttpReply(200, text);
    struct Half {
        TestConnection* wire;
        std::chrono::steady_clock::time_point due;
    };
    std::list<Half> halves;
    TestServer agent(t.world.base.get(), [&](TestConnection& wire) {
        const auto call = takeHttpMessage(wire.received);
        if (!call || call->startLine().find('?') != std::string::npos) return;  // a watch has no news
        wire.send(answer.substr(0, answer.find("s-2")));
        halves.push_back({&wire, std::chrono::steady_clock::now() + std::chrono::milliseconds(250)});
    });
    const auto finish = [&] {
        std::erase_if(halves, [&](const Half& half) {
            if (half.wire->closedByPeer) return true;
            if (std::chrono::steady_clock::now() < half.due) return false;
            half.wire->send(answer.substr(answer.find("s-2")));
            return true;
        });
    };
    t.world.config["discovery"] = agent.address.toString();
    t.world.whileStarting = finish;
    t.world.start();
    const auto heard = [&] {
        finish();
        return t.world.log.find("heard_before_ms") != std::string::npos;
    };
    REQUIRE(t.world.waitUntil(heard));
    CHECK(t.refused("0000000000000001"));  // what stands before the cut counts at once
    const auto whole = [&] {
        finish();
        return t.world.readCounter("discovery_list") > 0;
    };
    CHECK(t.world.waitUntil(whole, 8000));
    CHECK(t.node.requests.empty());
}

// Guards against calls without a rest where the settings have no rule on drains, and so no grace to divide.
TEST_CASE("list: without a grace, failed calls to the agent rest between each other") {
    Fleet t(false);
    t.world.config["settings"]["Rules"].erase("DrainGraceMs");
    const ReservedAddress nobody;
    t.world.config["discovery"] = nobody.toString();
    t.world.start();
    (void)t.world.waitUntil([] { return false; }, 500);
    CHECK(t.world.readCounter("discovery_failed") > 0);
    CHECK(t.world.readCounter("discovery_failed") < 50);  // rests of 50 ms at least: late ones make it fewer
}

// Guards against a grace that is given out twice: to the call that fell silent, and whole to the next.
TEST_CASE("list: two silent calls one after the other leave time for a third within the grace") {
    Fleet t(false);
    t.world.config["settings"]["Rules"]["DrainGraceMs"] = 4000;
    t.world.start();
    newWatch(t.world);
    t.world.setDiscoveryAnswers(false);
    const auto told = std::chrono::steady_clock::now();
    const int calls = t.world.discoveryCallCount;
    t.world.announceNode("s-1", t.node.listener.address, 5, "draining");
    REQUIRE(t.world.waitUntil([&] { return t.world.discoveryCallCount == calls + 1; }));
    t.world.dropPendingDiscoveryCalls();
    REQUIRE(t.world.waitUntil([&] { return t.world.discoveryCallCount == calls + 2; }));
    CHECK(msSince(told) < 4000);                                             // under half of it without noise
    CHECK(t.world.lastDiscoveryCall.find("wait_ms=") == std::string::npos);  // for all that the agent holds
    t.world.setDiscoveryAnswers(true);
    newWatch(t.world);
    CHECK(t.refused("0000000000000001"));
    CHECK(t.node.requests.empty());
    CHECK(t.world.readCounter("discovery_silent") == 2);
}

// Guards against an attempt that waits for its connection while its node is announced as leaving: the rule
// counts the first byte, whenever the attempt was decided.
TEST_CASE("list: what was decided before the list came and has not begun to go out is taken back") {
    Fleet t(false);
    FullBacklogServer jam;
    t.world.config["settings"]["Limits"]["DialTimeoutMs"] = 60'000;
    t.world.config["known"]["hosts"] = Json::array({t.world.makeNodeEntry("s-1", jam.address, 5, "ready")});
    t.world.start();
    TestConnection& client = t.world.connect();
    client.send(t.world.makeRequest("0000000000000001", "", 5000));
    REQUIRE(t.world.waitUntil([&] { return t.world.readCounter("attempt_sent") == 1; }));
    t.world.announceNode("s-1", jam.address, 5, "draining");
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(t.world.waitUntil([&] { return (answer = takeHttpMessage(client.received)).has_value(); }));
    CHECK(answer->statusCode() == 503);  // it never ran
    CHECK(t.world.readCounter("attempt_withdrawn") == 1);
    (void)t.world.waitUntil([&] { return !jam.acceptAndRead().empty(); }, 100);
    CHECK(jam.acceptAndRead().empty());
}

// Guards against an attempt that is spared since it is young: the list that names its node may have come
// late.
TEST_CASE("list: a silent watch, a late connection and a draining node at once") {
    Fleet t(false);
    FullBacklogServer jam;
    t.world.config["settings"]["Limits"]["DialTimeoutMs"] = 60'000;
    t.world.config["settings"]["Rules"]["DrainGraceMs"] =
        20'000;  // a tenth is longer than a second dial takes
    t.world.config["known"]["hosts"] = Json::array({t.world.makeNodeEntry("s-1", jam.address, 5, "ready")});
    t.world.start();
    newWatch(t.world);
    t.world.setDiscoveryAnswers(false);
    t.world.announceNode("s-1", jam.address, 5, "draining");
    const int calls = t.world.discoveryCallCount;
    REQUIRE(t.world.waitUntil([&] { return t.world.discoveryCallCount > calls; }));
    // The next call is on its way, and its answer not yet: an attempt begins.
    TestConnection& client = t.world.connect();
    client.send(t.world.makeRequest("0000000000000001", "", 5000));
    REQUIRE(t.world.waitUntil([&] { return t.world.readCounter("attempt_sent") == 1; }));
    t.world.setDiscoveryAnswers(true);
    REQUIRE(t.world.waitUntil([&] { return t.world.readCounter("discovery_list") > 1; }));
    (void)jam.acceptAndRead();  // the connection may come up from here on
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(t.world.waitUntil([&] {
        (void)jam.acceptAndRead();
        return (answer = takeHttpMessage(client.received)).has_value();
    }));
    (void)t.world.waitUntil([&] { return !jam.acceptAndRead().empty(); },
                            1500);  // a second dial comes after 1 s
    CHECK(jam.acceptAndRead().empty());
    CHECK(answer->statusCode() == 503);
    CHECK(t.world.readCounter("attempt_withdrawn") == 1);
}

// Guards against caps and costs that only a large fleet meets.
TEST_CASE("size: many servers with long names and peers: it serves, and one that drains gets nothing") {
    int servers = 0, peerCount = 0;
    SUBCASE("400 servers, 350 peers") { servers = 400, peerCount = 350; }
    SUBCASE("1,024 of both") { servers = 1024, peerCount = 1024; }
    constexpr double kGraceMs = 4000;
    ProgramHarness world;
    world.config["settings"]["Rules"]["DrainGraceMs"] = kGraceMs;
    StubHttpNode leaving(world.base.get(), replyWithRequestId), staying(world.base.get(), replyWithRequestId);
    Json hosts = Json::array(), peers = Json::array({world.peerListenAddress.toString()});
    const std::string longName(255, 'n');
    for (int i = 0; i < std::max(servers, peerCount); ++i) {
        const std::string name = std::to_string(i) + longName;
        const StubHttpNode& node = i == 5 ? leaving : staying;
        if (i < servers)
            hosts.push_back(world.makeNodeEntry(name.substr(0, 255), node.listener.address, i, "ready"));
        if (i > 0 && i < peerCount)
            peers.push_back("127.1." + std::to_string(i / 256) + '.' + std::to_string(i % 256) + ":7946");
    }
    world.config["known"]["hosts"] = hosts;
    world.config["peers"] = peers;
    world.config["settings"]["Siblings"] = peerCount;
    world.config["settings"]["FamilyInfo"]["Shards"] = servers;
    world.start();
    CHECK(world.readCounter("discovery_list") >= 1);
    CHECK(world.readCounter("discovery_bad") + world.readCounter("node_not_kept") == 0);
    const auto at = [&](const std::string& id, int shard) {
        std::string text = world.makeRequest(id, "", 400);
        const std::string own = "shard=5,";
        return text.replace(text.find(own), own.size(), "shard=" + std::to_string(shard) + ',');
    };
    CHECK(world.sendRequest(at("0000000000000001", 5)).statusCode() == 200);
    CHECK(leaving.requests.size() == 1);
    CHECK(world.sendRequest(at("0000000000000002", servers - 1)).statusCode() == 200);
    // Its list is silent when it begins to drain, and so is the call after that; the third is answered.
    newWatch(world);
    world.setDiscoveryAnswers(false);
    const auto told = std::chrono::steady_clock::now();
    const int watches = world.discoveryCallCount;
    double lastMs = 0;
    leaving.handler = [&](TestConnection& wire, const ParsedHttpMessage& request) {
        lastMs = msSince(told);
        replyWithRequestId(wire, request);
    };
    world.announceNode(hosts[5]["host"], leaving.listener.address, 5, "draining");
    bool silent = false;
    int refused = 0;
    // Bounded by time, not by a number of requests: a fast machine asks 10,000 before the third call.
    for (unsigned i = 3; refused < 3 && msSince(told) < 5 * kGraceMs; ++i) {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", i);
        refused += world.sendRequest(at(id, 5)).statusCode() == 503;
        if (!silent && world.discoveryCallCount > watches)
            world.dropPendingDiscoveryCalls(), world.setDiscoveryAnswers(true), silent = true;
    }
    CHECK(refused == 3);
    CHECK(lastMs > 0);
    CHECK(lastMs < kGraceMs);  // under half of it without noise
    CHECK(world.sendRequest(at("ffffffffffffffff", 6)).statusCode() == 200);
    CHECK(world.stopAndWait() == 0);
}

// Guards against datagrams lost for want of room or of turns: all peers bid at the same moment.
TEST_CASE("peers: a burst of one datagram from each of 1,024 is heard whole") {
    ProgramHarness world;
    Json peers = Json::array({world.peerListenAddress.toString()});
    std::vector<int> sockets;
    for (int i = 1; i < 1024; ++i) {
        sockets.push_back(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
        sockaddr_in in = martencove::Address{"127.0.0.1", 0}.socketAddress();
        REQUIRE(bind(sockets.back(), reinterpret_cast<sockaddr*>(&in), sizeof in) == 0);
        socklen_t size = sizeof in;
        getsockname(sockets.back(), reinterpret_cast<sockaddr*>(&in), &size);
        peers.push_back("127.0.0.1:" + std::to_string(ntohs(in.sin_port)));
    }
    world.config["peers"] = peers;
    world.config["settings"]["Siblings"] = 1024;
    world.start();
    world.sendSignal(SIGSTOP);  // they all come before it reads one
    const sockaddr_in to = world.peerListenAddress.socketAddress();
    const std::string text(256, 'x');
    for (const int fd : sockets)
        CHECK(sendto(fd, text.data(), text.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to) ==
              256);
    world.sendSignal(SIGCONT);
    CHECK(world.waitUntil([&] { return world.readCounter("peer_received") == 1023; }, 5000));
    for (const int fd : sockets) close(fd);
}
