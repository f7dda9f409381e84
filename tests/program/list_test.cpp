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
struct ProgramWithNode {
    explicit ProgramWithNode(bool start = true) : node(harness.base.get(), replyWithRequestId) {
        harness.config["known"]["hosts"].push_back(
            harness.makeNodeEntry("s-1", node.listener.address, 5, "ready"));
        if (start) harness.start();
    }
    /// Returns whether a request for the shard is refused because no node can serve it.
    bool isRefused(const std::string& id) {
        return harness.sendRequest(harness.makeRequest(id, "", 400)).statusCode() == 503;
    }

    ProgramHarness harness;
    StubHttpNode node;
};

std::string listText(int seq, bool whole, const Json& hosts) {
    return Json{{"seq", seq}, {"whole", whole}, {"hosts", hosts}}.dump();
}

}  // namespace

// Guards against requests that are sent according to a configuration older than the list of the agent:
// clients and the readiness check have to wait for the first list.
TEST_CASE("list: nothing is sent according to the configured list before the first received list") {
    ProgramWithNode fixture(false);
    fixture.harness.setDiscoveryAnswers(false);
    fixture.harness.announceNode("s-1", fixture.node.listener.address, 5, "draining");
    fixture.harness.config["settings"]["Rules"]["DrainGraceMs"] = 60'000;  // does not expire in this test
    bool requestSent = false;
    std::unique_ptr<TestConnection> client;
    // The client connects before the program is ready. The list is sent after the client's request.
    fixture.harness.whileStarting = [&] {
        if (requestSent || fixture.harness.discoveryCallCount == 0) return;
        if (!client || client->closedByPeer)
            client =
                std::make_unique<TestConnection>(fixture.harness.base.get(), fixture.harness.listenAddress);
        if (!client->connected) return;
        requestSent = true;
        client->send(fixture.harness.makeRequest("0000000000000001", "", 900));
        (void)fixture.harness.waitUntil([&] { return !fixture.node.requests.empty(); },
                                        200);  // time in which a wrong request could be sent
        fixture.harness.setDiscoveryAnswers(true);
    };
    fixture.harness.start();
    REQUIRE(fixture.harness.waitUntil([&] {
        fixture.harness.whileStarting();
        return requestSent;
    }));
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(fixture.harness.waitUntil(
        [&] { return (answer = takeHttpMessage(client->received)).has_value() || client->closedByPeer; }));
    REQUIRE(answer);
    CHECK(answer->statusCode() == 503);
    CHECK(fixture.node.requests.empty());
    CHECK(fixture.harness.readCounter("started_unheard") == 0);
}

TEST_CASE("list: the program starts although discovery does not respond") {
    ProgramWithNode fixture(false);
    fixture.harness.setDiscoveryAnswers(false);
    fixture.harness.start();
    CHECK(fixture.harness.readCounter("started_unheard") == 1);
    CHECK(fixture.harness.sendRequest(fixture.harness.makeRequest("0000000000000001")).statusCode() == 200);
}

// Guards against an unread response of the former agent: its changes count as delivered although the program
// switches to another address.
TEST_CASE("list: after SIGHUP the old address is watched until the new one has delivered a snapshot") {
    ProgramWithNode fixture;
    int calls = 0;
    TestConnection* lastCaller = nullptr;
    TestServer newAgent(fixture.harness.base.get(), [&](TestConnection& connection) {
        if (takeHttpMessage(connection.received)) ++calls, lastCaller = &connection;
    });
    fixture.harness.config["discovery"] = newAgent.address.toString();
    fixture.harness.rewriteConfig();
    fixture.harness.sendSignal(SIGHUP);
    REQUIRE(fixture.harness.waitUntil([&] { return calls > 0; }));
    const int callsBefore = fixture.harness.discoveryCallCount;
    fixture.harness.announceNode("s-1", fixture.node.listener.address, 5, "draining");
    REQUIRE(fixture.harness.waitUntil([&] { return fixture.harness.discoveryCallCount > callsBefore; }));
    CHECK(fixture.isRefused("0000000000000001"));
    CHECK(fixture.node.requests.empty());
    // The new address lags behind: its snapshot is older than the change from the old one.
    const int before = calls;
    REQUIRE(fixture.harness.waitUntil([&] { return calls > before; }));
    lastCaller->send(makeHttpReply(200, listText(0, true,
                                                 Json::array({fixture.harness.makeNodeEntry(
                                                     "s-1", fixture.node.listener.address, 5, "ready")}))));
    REQUIRE(fixture.harness.waitUntil([&] { return fixture.harness.readCounter("discovery_moved") == 1; }));
    CHECK(fixture.isRefused("0000000000000002"));
    CHECK(fixture.node.requests.empty());
    CHECK(fixture.harness.readCounter("discovery_stale") == 1);
}

TEST_CASE("list: the valid entries of a list with invalid ones are applied, and a snapshot is requested") {
    ProgramWithNode fixture;
    auto invalid = fixture.harness.makeNodeEntry("s-2", fixture.node.listener.address, 5, "ready");
    invalid["dial"] = "nowhere";
    auto leaving = fixture.harness.makeNodeEntry("s-1", fixture.node.listener.address, 5, "draining");
    leaving["block"] = "five";  // the node's leaving can still be read
    fixture.harness.replyRawToNextWatch(listText(9, false, {leaving, invalid, 7}));
    REQUIRE(
        fixture.harness.waitUntil([&] { return fixture.harness.readCounter("discovery_entry_bad") >= 3; }));
    CHECK(fixture.isRefused("0000000000000001"));
    CHECK(fixture.node.requests.empty());
    CHECK(fixture.harness.readCounter("discovery_bad") == 0);
}

TEST_CASE("list: of two entries for one node in an update, the one for leaving counts") {
    ProgramWithNode fixture;
    const auto entry = [&](const char* health) {
        return fixture.harness.makeNodeEntry("s-1", fixture.node.listener.address, 5, health);
    };
    fixture.harness.replyRawToNextWatch(listText(9, false, {entry("draining"), entry("ready")}));
    REQUIRE(fixture.harness.waitUntil([&] { return fixture.harness.readCounter("discovery_stale") == 1; }));
    CHECK(fixture.isRefused("0000000000000001"));
    CHECK(fixture.node.requests.empty());
}

// Entries before the end of a truncated update count as delivered.
TEST_CASE("list: a leaving node in the readable part of a truncated update is applied") {
    ProgramWithNode fixture;
    const std::string text =
        listText(9, false,
                 {fixture.harness.makeNodeEntry("s-1", fixture.node.listener.address, 5, "draining"),
                  fixture.harness.makeNodeEntry("s-2", fixture.node.listener.address, 5, "ready")});
    const std::string firstPart = text.substr(0, text.find("s-2"));
    SUBCASE("in its text") { fixture.harness.replyRawToNextWatch(firstPart); }
    SUBCASE("by its connection") {
        fixture.harness.replyRawThenClose("HTTP/1.1 200 X\r\nContent-Length: " + std::to_string(text.size()) +
                                          "\r\n\r\n" + firstPart);
    }
    REQUIRE(fixture.harness.waitUntil(
        [&] { return fixture.harness.log.find("malformed node list") != std::string::npos; }));
    CHECK(fixture.isRefused("0000000000000001"));
    CHECK(fixture.node.requests.empty());
}

// Guards against a request that an agent never answers: changes that it learns meanwhile count as delivered,
// so the request has to time out well within the drain grace.
TEST_CASE("list: a long poll of the agent lasts for its share of the drain grace") {
    ProgramWithNode fixture;
    REQUIRE(fixture.harness.waitUntil(
        [&] { return fixture.harness.lastDiscoveryCall.find("wait_ms=") != std::string::npos; }));
    CHECK(fixture.harness.lastDiscoveryCall.find("wait_ms=150 ") != std::string::npos);
    ProgramHarness onRequestHarness;
    onRequestHarness.config["settings"]["Discovery"] = "on_request";
    onRequestHarness.start();
    // 0.42 of the sum of the 6 s after which a change counts as delivered and the drain grace.
    REQUIRE(onRequestHarness.waitUntil(
        [&] { return onRequestHarness.lastDiscoveryCall.find("wait_ms=") != std::string::npos; }));
    CHECK(onRequestHarness.lastDiscoveryCall.find("wait_ms=2940 ") != std::string::npos);
}

// Guards against a second long poll after a timeout: it would time out as late as the first one, and changes
// that the first one missed count as delivered before that.
TEST_CASE("list: with discovery on request, the request after a timeout does not long-poll") {
    ProgramWithNode fixture(false);
    fixture.harness.config["settings"]["Discovery"] = "on_request";
    fixture.harness.start();
    REQUIRE(fixture.harness.waitUntil(
        [&] { return fixture.harness.lastDiscoveryCall.find("wait_ms=2940 ") != std::string::npos; }));
    fixture.harness.setDiscoveryAnswers(false);
    const int calls = fixture.harness.discoveryCallCount;
    fixture.harness.announceNode("s-1", fixture.node.listener.address, 5, "draining");
    REQUIRE(fixture.harness.waitUntil([&] { return fixture.harness.discoveryCallCount > calls; }));
    CHECK(fixture.harness.lastDiscoveryCall.find("wait_ms=1 ") != std::string::npos);
    fixture.harness.setDiscoveryAnswers(true);
    REQUIRE(fixture.harness.waitUntil([&] { return fixture.harness.readCounter("server_leaves") == 1; }));
    CHECK(fixture.isRefused("0000000000000001"));
    CHECK(fixture.node.requests.empty());
}

namespace {

/// Runs the loop until discovery has received another request and that one long-polls.
void waitForLongPoll(ProgramHarness& harness) {
    const int before = harness.discoveryCallCount;
    REQUIRE(harness.waitUntil([&] {
        return harness.discoveryCallCount > before &&
               harness.lastDiscoveryCall.find("wait_ms=") != std::string::npos;
    }));
}
double elapsedMsSince(std::chrono::steady_clock::time_point start) {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

}  // namespace

// Guards against a list that is never received entirely: its second half arrives when a request without any
// response would have timed out.
TEST_CASE("list: a list that the agent sends slowly and in parts is received entirely") {
    ProgramWithNode fixture(false);
    const std::string text =
        Json{{"seq", 3},
             {"whole", true},
             {"hosts",
              {fixture.harness.makeNodeEntry("s-1", fixture.node.listener.address, 5, "draining"),
               fixture.harness.makeNodeEntry("s-2", fixture.node.listener.address, 6, "ready")}}}
            .dump(4);
    const std::string answer = makeHttpReply(200, text);
    struct Half {
        TestConnection* connection;
        std::chrono::steady_clock::time_point due;
    };
    std::list<Half> halves;
    TestServer agent(fixture.harness.base.get(), [&](TestConnection& connection) {
        const auto call = takeHttpMessage(connection.received);
        if (!call || call->startLine().find('?') != std::string::npos) return;  // long polls get no response
        connection.send(answer.substr(0, answer.find("s-2")));
        halves.push_back({&connection, std::chrono::steady_clock::now() + std::chrono::milliseconds(250)});
    });
    const auto sendDueHalves = [&] {
        std::erase_if(halves, [&](const Half& half) {
            if (half.connection->closedByPeer) return true;
            if (std::chrono::steady_clock::now() < half.due) return false;
            half.connection->send(answer.substr(answer.find("s-2")));
            return true;
        });
    };
    fixture.harness.config["discovery"] = agent.address.toString();
    fixture.harness.whileStarting = sendDueHalves;
    fixture.harness.start();
    const auto leavingLogged = [&] {
        sendDueHalves();
        return fixture.harness.log.find("heard_before_ms") != std::string::npos;
    };
    REQUIRE(fixture.harness.waitUntil(leavingLogged));
    CHECK(fixture.isRefused("0000000000000001"));  // the received part is applied at once
    const auto listReceived = [&] {
        sendDueHalves();
        return fixture.harness.readCounter("discovery_list") > 0;
    };
    CHECK(fixture.harness.waitUntil(listReceived, 8000));
    CHECK(fixture.node.requests.empty());
}

// Guards against retries without a delay when the settings have no drain grace to derive the delay from.
TEST_CASE("list: without a drain grace, failed requests to the agent are retried with a delay") {
    ProgramWithNode fixture(false);
    fixture.harness.config["settings"]["Rules"].erase("DrainGraceMs");
    const ReservedAddress unusedAddress;
    fixture.harness.config["discovery"] = unusedAddress.toString();
    fixture.harness.start();
    (void)fixture.harness.waitUntil([] { return false; }, 500);
    CHECK(fixture.harness.readCounter("discovery_failed") > 0);
    CHECK(fixture.harness.readCounter("discovery_failed") < 50);  // delays of at least 50 ms
}

// Guards against granting the whole drain grace to each request: to the one that timed out and again to the
// next.
TEST_CASE("list: after two timeouts there is time for a third request within the drain grace") {
    ProgramWithNode fixture(false);
    fixture.harness.config["settings"]["Rules"]["DrainGraceMs"] = 4000;
    fixture.harness.start();
    waitForLongPoll(fixture.harness);
    fixture.harness.setDiscoveryAnswers(false);
    const auto announcedAt = std::chrono::steady_clock::now();
    const int calls = fixture.harness.discoveryCallCount;
    fixture.harness.announceNode("s-1", fixture.node.listener.address, 5, "draining");
    REQUIRE(fixture.harness.waitUntil([&] { return fixture.harness.discoveryCallCount == calls + 1; }));
    fixture.harness.dropPendingDiscoveryCalls();
    REQUIRE(fixture.harness.waitUntil([&] { return fixture.harness.discoveryCallCount == calls + 2; }));
    CHECK(elapsedMsSince(announcedAt) < 4000);  // normally less than half of it
    CHECK(fixture.harness.lastDiscoveryCall.find("wait_ms=") == std::string::npos);  // requests a snapshot
    fixture.harness.setDiscoveryAnswers(true);
    waitForLongPoll(fixture.harness);
    CHECK(fixture.isRefused("0000000000000001"));
    CHECK(fixture.node.requests.empty());
    CHECK(fixture.harness.readCounter("discovery_silent") == 2);
}

// Guards against an attempt that waits for its connection while its node is announced as leaving: what counts
// is when the first byte is sent, not when the attempt was decided.
TEST_CASE("list: an attempt of which nothing has been sent is withdrawn when its node leaves") {
    ProgramWithNode fixture(false);
    FullBacklogServer backlog;
    fixture.harness.config["settings"]["Limits"]["DialTimeoutMs"] = 60'000;
    fixture.harness.config["known"]["hosts"] =
        Json::array({fixture.harness.makeNodeEntry("s-1", backlog.address, 5, "ready")});
    fixture.harness.start();
    TestConnection& client = fixture.harness.connect();
    client.send(fixture.harness.makeRequest("0000000000000001", "", 5000));
    REQUIRE(fixture.harness.waitUntil([&] { return fixture.harness.readCounter("attempt_sent") == 1; }));
    fixture.harness.announceNode("s-1", backlog.address, 5, "draining");
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(
        fixture.harness.waitUntil([&] { return (answer = takeHttpMessage(client.received)).has_value(); }));
    CHECK(answer->statusCode() == 503);  // it was not executed
    CHECK(fixture.harness.readCounter("attempt_withdrawn") == 1);
    (void)fixture.harness.waitUntil([&] { return !backlog.acceptAndRead().empty(); }, 100);
    CHECK(backlog.acceptAndRead().empty());
}

// Guards against keeping an attempt because it is recent: the list that announced its node as leaving may
// have arrived late.
TEST_CASE("list: an unanswered watch, a late connection and a draining node at once") {
    ProgramWithNode fixture(false);
    FullBacklogServer backlog;
    fixture.harness.config["settings"]["Limits"]["DialTimeoutMs"] = 60'000;
    fixture.harness.config["settings"]["Rules"]["DrainGraceMs"] =
        20'000;  // a tenth exceeds the delay of a second connection
    fixture.harness.config["known"]["hosts"] =
        Json::array({fixture.harness.makeNodeEntry("s-1", backlog.address, 5, "ready")});
    fixture.harness.start();
    waitForLongPoll(fixture.harness);
    fixture.harness.setDiscoveryAnswers(false);
    fixture.harness.announceNode("s-1", backlog.address, 5, "draining");
    const int calls = fixture.harness.discoveryCallCount;
    REQUIRE(fixture.harness.waitUntil([&] { return fixture.harness.discoveryCallCount > calls; }));
    // The attempt begins while the next request has been sent but not answered.
    TestConnection& client = fixture.harness.connect();
    client.send(fixture.harness.makeRequest("0000000000000001", "", 5000));
    REQUIRE(fixture.harness.waitUntil([&] { return fixture.harness.readCounter("attempt_sent") == 1; }));
    fixture.harness.setDiscoveryAnswers(true);
    REQUIRE(fixture.harness.waitUntil([&] { return fixture.harness.readCounter("discovery_list") > 1; }));
    (void)backlog.acceptAndRead();  // the connection can be established from here on
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(fixture.harness.waitUntil([&] {
        (void)backlog.acceptAndRead();
        return (answer = takeHttpMessage(client.received)).has_value();
    }));
    (void)fixture.harness.waitUntil([&] { return !backlog.acceptAndRead().empty(); },
                                    1500);  // a second connection is opened after 1 s
    CHECK(backlog.acceptAndRead().empty());
    CHECK(answer->statusCode() == 503);
    CHECK(fixture.harness.readCounter("attempt_withdrawn") == 1);
}

// Guards against limits and costs that only show with many nodes and peers.
TEST_CASE(
    "size: with many long-named servers and peers, requests are served and a draining server gets none") {
    int servers = 0, peerCount = 0;
    SUBCASE("400 servers, 350 peers") { servers = 400, peerCount = 350; }
    SUBCASE("1,024 of both") { servers = 1024, peerCount = 1024; }
    constexpr double kGraceMs = 4000;
    ProgramHarness harness;
    harness.config["settings"]["Rules"]["DrainGraceMs"] = kGraceMs;
    StubHttpNode leaving(harness.base.get(), replyWithRequestId),
        staying(harness.base.get(), replyWithRequestId);
    Json hosts = Json::array(), peers = Json::array({harness.peerListenAddress.toString()});
    const std::string longName(255, 'n');
    for (int i = 0; i < std::max(servers, peerCount); ++i) {
        const std::string name = std::to_string(i) + longName;
        const StubHttpNode& node = i == 5 ? leaving : staying;
        if (i < servers)
            hosts.push_back(harness.makeNodeEntry(name.substr(0, 255), node.listener.address, i, "ready"));
        if (i > 0 && i < peerCount)
            peers.push_back("127.1." + std::to_string(i / 256) + '.' + std::to_string(i % 256) + ":7946");
    }
    harness.config["known"]["hosts"] = hosts;
    harness.config["peers"] = peers;
    harness.config["settings"]["Siblings"] = peerCount;
    harness.config["settings"]["FamilyInfo"]["Shards"] = servers;
    harness.start();
    CHECK(harness.readCounter("discovery_list") >= 1);
    CHECK(harness.readCounter("discovery_bad") + harness.readCounter("node_not_kept") == 0);
    const auto requestForShard = [&](const std::string& id, int shard) {
        std::string text = harness.makeRequest(id, "", 400);
        const std::string own = "shard=5,";
        return text.replace(text.find(own), own.size(), "shard=" + std::to_string(shard) + ',');
    };
    CHECK(harness.sendRequest(requestForShard("0000000000000001", 5)).statusCode() == 200);
    CHECK(leaving.requests.size() == 1);
    CHECK(harness.sendRequest(requestForShard("0000000000000002", servers - 1)).statusCode() == 200);
    // Discovery does not answer the request during which the node begins to drain, nor the next one, but the
    // third.
    waitForLongPoll(harness);
    harness.setDiscoveryAnswers(false);
    const auto announcedAt = std::chrono::steady_clock::now();
    const int callsBefore = harness.discoveryCallCount;
    double lastRequestMs = 0;
    leaving.handler = [&](TestConnection& connection, const ParsedHttpMessage& request) {
        lastRequestMs = elapsedMsSince(announcedAt);
        replyWithRequestId(connection, request);
    };
    harness.announceNode(hosts[5]["host"], leaving.listener.address, 5, "draining");
    bool callsDropped = false;
    int refused = 0;
    // Limited by time, not by count: a fast machine sends 10,000 requests before the third discovery request.
    for (unsigned i = 3; refused < 3 && elapsedMsSince(announcedAt) < 5 * kGraceMs; ++i) {
        char id[17];
        std::snprintf(id, sizeof id, "%016x", i);
        refused += harness.sendRequest(requestForShard(id, 5)).statusCode() == 503;
        if (!callsDropped && harness.discoveryCallCount > callsBefore)
            harness.dropPendingDiscoveryCalls(), harness.setDiscoveryAnswers(true), callsDropped = true;
    }
    CHECK(refused == 3);
    CHECK(lastRequestMs > 0);
    CHECK(lastRequestMs < kGraceMs);  // normally less than half of it
    CHECK(harness.sendRequest(requestForShard("ffffffffffffffff", 6)).statusCode() == 200);
    CHECK(harness.stopAndWait() == 0);
}

namespace {

/// UDP sockets on loopback ports that the system assigns, none of them `exceptPort`, which the program under
/// test is to bind: ReservedAddress keeps only its TCP port.
class DatagramSockets {
public:
    DatagramSockets(int count, std::uint16_t exceptPort) {
        while (static_cast<int>(fds_.size()) < count) {
            const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
            sockaddr_in address = martencove::Address{"127.0.0.1", 0}.socketAddress();
            REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
            socklen_t size = sizeof address;
            getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
            const std::uint16_t port = ntohs(address.sin_port);
            if (port == exceptPort) {
                close(fd);
                continue;
            }
            fds_.push_back(fd);
            ports_.push_back(port);
        }
    }
    ~DatagramSockets() {
        for (const int fd : fds_) close(fd);
    }
    DatagramSockets(const DatagramSockets&) = delete;
    DatagramSockets& operator=(const DatagramSockets&) = delete;

    [[nodiscard]] const std::vector<int>& descriptors() const { return fds_; }
    [[nodiscard]] const std::vector<std::uint16_t>& ports() const { return ports_; }

private:
    std::vector<int> fds_;
    std::vector<std::uint16_t> ports_;
};

}  // namespace

// Guards against datagrams that are lost because the receive buffer is too small or is read too rarely: all
// peers send their bids at the same moment.
TEST_CASE("peers: a burst of one datagram from each of 1,024 peers is received entirely") {
    ProgramHarness harness;
    Json peers = Json::array({harness.peerListenAddress.toString()});
    const DatagramSockets sockets(1023, harness.peerListenAddress.port);
    for (const std::uint16_t port : sockets.ports()) peers.push_back("127.0.0.1:" + std::to_string(port));
    harness.config["peers"] = peers;
    harness.config["settings"]["Siblings"] = 1024;
    harness.start();
    harness.sendSignal(SIGSTOP);  // all datagrams arrive before the first is read
    const sockaddr_in target = harness.peerListenAddress.socketAddress();
    const std::string text(256, 'x');
    for (const int fd : sockets.descriptors())
        CHECK(sendto(fd, text.data(), text.size(), 0, reinterpret_cast<const sockaddr*>(&target),
                     sizeof target) == 256);
    harness.sendSignal(SIGCONT);
    CHECK(harness.waitUntil([&] { return harness.readCounter("peer_received") == 1023; }, 5000));
}
