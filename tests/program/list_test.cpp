// Tests of node lists that are truncated, invalid, late, or sent from a former discovery address. Each case
// is an order of events after which a node that had been announced as leaving still received requests.
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
    /// Returns whether a request for the shard is refused because no node can serve it.
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

// Guards against requests that are sent according to a configuration older than the list of the agent:
// clients and the readiness check have to wait for the first list.
TEST_CASE("list: nothing is sent according to the configured list before the first received list") {
    Fleet t(false);
    t.world.setDiscoveryAnswers(false);
    t.world.announceNode("s-1", t.node.listener.address, 5, "draining");
    t.world.config["settings"]["Rules"]["DrainGraceMs"] = 60'000;  // does not expire in this test
    bool asked = false;
    std::unique_ptr<TestConnection> client;
    // The client connects before the program is ready. The list is sent after the client's request.
    t.world.whileStarting = [&] {
        if (asked || t.world.discoveryCallCount == 0) return;
        if (!client || client->closedByPeer)
            client = std::make_unique<TestConnection>(t.world.base.get(), t.world.listenAddress);
        if (!client->connected) return;
        asked = true;
        client->send(t.world.makeRequest("0000000000000001", "", 900));
        (void)t.world.waitUntil([&] { return !t.node.requests.empty(); },
                                200);  // time in which a wrong request could be sent
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

TEST_CASE("list: the program starts although discovery does not respond") {
    Fleet t(false);
    t.world.setDiscoveryAnswers(false);
    t.world.start();
    CHECK(t.world.readCounter("started_unheard") == 1);
    CHECK(t.world.sendRequest(t.world.makeRequest("0000000000000001")).statusCode() == 200);
}

// Guards against an unread response of the former agent: its changes count as delivered although the program
// switches to another address.
TEST_CASE("list: after SIGHUP the old address is watched until the new one has delivered a snapshot") {
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
    // The new address lags behind: its snapshot is older than the change from the old one.
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

TEST_CASE("list: the valid entries of a list with invalid ones are applied, and a snapshot is requested") {
    Fleet t;
    auto bad = t.world.makeNodeEntry("s-2", t.node.listener.address, 5, "ready");
    bad["dial"] = "nowhere";
    auto leaving = t.world.makeNodeEntry("s-1", t.node.listener.address, 5, "draining");
    leaving["block"] = "five";  // the node's leaving can still be read
    t.world.replyRawToNextWatch(listText(9, false, {leaving, bad, 7}));
    REQUIRE(t.world.waitUntil([&] { return t.world.readCounter("discovery_entry_bad") >= 3; }));
    CHECK(t.refused("0000000000000001"));
    CHECK(t.node.requests.empty());
    CHECK(t.world.readCounter("discovery_bad") == 0);
}

TEST_CASE("list: of two entries for one node in an update, the one for leaving counts") {
    Fleet t;
    const auto entry = [&](const char* health) {
        return t.world.makeNodeEntry("s-1", t.node.listener.address, 5, health);
    };
    t.world.replyRawToNextWatch(listText(9, false, {entry("draining"), entry("ready")}));
    REQUIRE(t.world.waitUntil([&] { return t.world.readCounter("discovery_stale") == 1; }));
    CHECK(t.refused("0000000000000001"));
    CHECK(t.node.requests.empty());
}

// Entries before the end of a truncated update count as delivered.
TEST_CASE("list: a leaving node in the readable part of a truncated update is applied") {
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

// Guards against a request that an agent never answers: changes that it learns meanwhile count as delivered,
// so the request has to time out well within the drain grace.
TEST_CASE("list: a long poll of the agent lasts for its share of the drain grace") {
    Fleet t;
    REQUIRE(
        t.world.waitUntil([&] { return t.world.lastDiscoveryCall.find("wait_ms=") != std::string::npos; }));
    CHECK(t.world.lastDiscoveryCall.find("wait_ms=150 ") != std::string::npos);
    ProgramHarness onRequest;
    onRequest.config["settings"]["Discovery"] = "on_request";
    onRequest.start();
    // 0.42 of the sum of the 6 s after which a change counts as delivered and the drain grace.
    REQUIRE(onRequest.waitUntil(
        [&] { return onRequest.lastDiscoveryCall.find("wait_ms=") != std::string::npos; }));
    CHECK(onRequest.lastDiscoveryCall.find("wait_ms=2940 ") != std::string::npos);
}

// Guards against a second long poll after a timeout: it would time out as late as the first one, and changes
// that the first one missed count as delivered before that.
TEST_CASE("list: with discovery on request, the request after a timeout does not long-poll") {
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

/// Runs the loop until discovery has received another request and that one long-polls.
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

// Guards against a list that is never received entirely: its second half arrives when a request without any
// response would have timed out.
TEST_CASE("list: a list that the agent sends slowly and in parts is received entirely") {
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
        if (!call || call->startLine().find('?') != std::string::npos) return;  // long polls get no response
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
    CHECK(t.refused("0000000000000001"));  // the received part is applied at once
    const auto whole = [&] {
        finish();
        return t.world.readCounter("discovery_list") > 0;
    };
    CHECK(t.world.waitUntil(whole, 8000));
    CHECK(t.node.requests.empty());
}

// Guards against retries without a delay when the settings have no drain grace to derive the delay from.
TEST_CASE("list: without a drain grace, failed requests to the agent are retried with a delay") {
    Fleet t(false);
    t.world.config["settings"]["Rules"].erase("DrainGraceMs");
    const ReservedAddress nobody;
    t.world.config["discovery"] = nobody.toString();
    t.world.start();
    (void)t.world.waitUntil([] { return false; }, 500);
    CHECK(t.world.readCounter("discovery_failed") > 0);
    CHECK(t.world.readCounter("discovery_failed") < 50);  // delays of at least 50 ms
}

// Guards against granting the whole drain grace to each request: to the one that timed out and again to the
// next.
TEST_CASE("list: after two timeouts there is time for a third request within the drain grace") {
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
    CHECK(t.world.lastDiscoveryCall.find("wait_ms=") == std::string::npos);  // requests a snapshot
    t.world.setDiscoveryAnswers(true);
    newWatch(t.world);
    CHECK(t.refused("0000000000000001"));
    CHECK(t.node.requests.empty());
    CHECK(t.world.readCounter("discovery_silent") == 2);
}

// Guards against an attempt that waits for its connection while its node is announced as leaving: what counts
// is when the first byte is sent, not when the attempt was decided.
TEST_CASE("list: an attempt of which nothing has been sent is withdrawn when its node leaves") {
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
    CHECK(answer->statusCode() == 503);  // it was not executed
    CHECK(t.world.readCounter("attempt_withdrawn") == 1);
    (void)t.world.waitUntil([&] { return !jam.acceptAndRead().empty(); }, 100);
    CHECK(jam.acceptAndRead().empty());
}

// Guards against keeping an attempt because it is recent: the list that announced its node as leaving may
// have arrived late.
TEST_CASE("list: an unanswered watch, a late connection and a draining node at once") {
    Fleet t(false);
    FullBacklogServer jam;
    t.world.config["settings"]["Limits"]["DialTimeoutMs"] = 60'000;
    t.world.config["settings"]["Rules"]["DrainGraceMs"] =
        20'000;  // a tenth exceeds the delay of a second connection
    t.world.config["known"]["hosts"] = Json::array({t.world.makeNodeEntry("s-1", jam.address, 5, "ready")});
    t.world.start();
    newWatch(t.world);
    t.world.setDiscoveryAnswers(false);
    t.world.announceNode("s-1", jam.address, 5, "draining");
    const int calls = t.world.discoveryCallCount;
    REQUIRE(t.world.waitUntil([&] { return t.world.discoveryCallCount > calls; }));
    // The attempt begins while the next request has been sent but not answered.
    TestConnection& client = t.world.connect();
    client.send(t.world.makeRequest("0000000000000001", "", 5000));
    REQUIRE(t.world.waitUntil([&] { return t.world.readCounter("attempt_sent") == 1; }));
    t.world.setDiscoveryAnswers(true);
    REQUIRE(t.world.waitUntil([&] { return t.world.readCounter("discovery_list") > 1; }));
    (void)jam.acceptAndRead();  // the connection can be established from here on
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(t.world.waitUntil([&] {
        (void)jam.acceptAndRead();
        return (answer = takeHttpMessage(client.received)).has_value();
    }));
    (void)t.world.waitUntil([&] { return !jam.acceptAndRead().empty(); },
                            1500);  // a second connection is opened after 1 s
    CHECK(jam.acceptAndRead().empty());
    CHECK(answer->statusCode() == 503);
    CHECK(t.world.readCounter("attempt_withdrawn") == 1);
}

// Guards against limits and costs that only show with many nodes and peers.
TEST_CASE(
    "size: with many long-named servers and peers, requests are served and a draining server gets none") {
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
    // Discovery does not answer the request during which the node begins to drain, nor the next one, but the
    // third.
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
    // Limited by time, not by count: a fast machine sends 10,000 requests before the third discovery request.
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

// Guards against datagrams that are lost because the receive buffer is too small or is read too rarely: all
// peers send their bids at the same moment.
TEST_CASE("peers: a burst of one datagram from each of 1,024 peers is received entirely") {
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
    world.sendSignal(SIGSTOP);  // all datagrams arrive before the first is read
    const sockaddr_in to = world.peerListenAddress.socketAddress();
    const std::string text(256, 'x');
    for (const int fd : sockets)
        CHECK(sendto(fd, text.data(), text.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to) ==
              256);
    world.sendSignal(SIGCONT);
    CHECK(world.waitUntil([&] { return world.readCounter("peer_received") == 1023; }, 5000));
    for (const int fd : sockets) close(fd);
}
