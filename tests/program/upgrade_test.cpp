// Tests of the handover of sockets between two processes on one machine: no client's connection is refused.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cstring>
#include <thread>

#include "program_harness.h"

using namespace martencove::test;

namespace {

/// A running process and its successor. Their configurations differ only in the address of the operations
/// endpoint, and both harnesses share an event loop.
struct UpgradeFixture {
    UpgradeFixture()
        : successor(oldProcess.base.get()),
          node(oldProcess.base.get(), [this](TestConnection& connection, const ParsedHttpMessage& request) {
              replies ? replyWithRequestId(connection, request) : void(heldConnection = &connection);
          }) {
        oldProcess.config["known"]["hosts"].push_back(
            oldProcess.makeNodeEntry("s-1", node.listener.address, 5, "ready"));
        oldProcess.config["ops"] = opsAddresses[0].toString();
        oldProcess.tmpDir = oldProcess.folder();
        oldProcess.start();
        successor.config = oldProcess.config;
        successor.config["ops"] = opsAddresses[1].toString();
        successor.listenAddress = oldProcess.listenAddress;
        successor.tmpDir = oldProcess.folder();
    }
    int readyStatus(int process) {
        TestConnection connection(oldProcess.base.get(), opsAddresses[process]);
        connection.send("GET /api/ready HTTP/1.1\r\nHost: o\r\n\r\n");
        std::optional<ParsedHttpMessage> answer;
        (void)oldProcess.waitUntil([&] {
            return (answer = takeHttpMessage(connection.received)).has_value() || connection.closedByPeer;
        });
        return answer ? answer->statusCode() : 0;
    }
    /// Waits until the successor accepts clients.
    bool waitForTakeover() {
        return oldProcess.waitUntil([&] { return oldProcess.log.find("steps aside") != std::string::npos; });
    }

    ReservedAddress opsAddresses[2];
    bool replies = true;
    TestConnection* heldConnection = nullptr;
    ProgramHarness oldProcess;
    ProgramHarness successor;
    StubHttpNode node;
};

}  // namespace

TEST_CASE("upgrade: the successor takes over the sockets, the old process finishes its requests") {
    UpgradeFixture test;
    TestConnection& keptClient = test.oldProcess.connect();
    keptClient.send(test.oldProcess.makeRequest("0000000000000001"));
    REQUIRE(test.oldProcess.waitUntil([&] { return takeHttpMessage(keptClient.received).has_value(); }));
    test.replies = false;
    TestConnection& busyClient = test.oldProcess.connect();
    busyClient.send(test.oldProcess.makeRequest("0000000000000002"));
    REQUIRE(test.oldProcess.waitUntil([&] { return test.heldConnection != nullptr; }));
    test.replies = true;

    test.successor.start();
    REQUIRE(test.waitForTakeover());
    CHECK(test.readyStatus(1) == 200);
    CHECK(test.readyStatus(0) == 503);
    CHECK(test.successor.readCounter("handover_learned") == 1);
    // New connections go to the successor. A kept one is served once more by the old process, which closes it
    // after that answer.
    CHECK(test.oldProcess.sendRequest(test.oldProcess.makeRequest("0000000000000003")).statusCode() == 200);
    std::optional<ParsedHttpMessage> answer;
    keptClient.send(test.oldProcess.makeRequest("0000000000000004"));
    REQUIRE(test.oldProcess.waitUntil(
        [&] { return (answer = takeHttpMessage(keptClient.received)).has_value(); }));
    CHECK(answer->statusCode() == 200);
    CHECK(answer->header("Connection") == "close");

    test.oldProcess.sendSignal(SIGTERM);
    test.heldConnection->send(makeHttpReply(200, "by the old one"));
    REQUIRE(test.oldProcess.waitUntil(
        [&] { return (answer = takeHttpMessage(busyClient.received)).has_value(); }));
    CHECK(answer->body == "by the old one");
    CHECK(test.oldProcess.stopAndWait() == 0);
    CHECK(test.oldProcess.log.find("request_taken=3") != std::string::npos);
    // The successor keeps connections as usual.
    TestConnection& newClient = test.successor.connect();
    for (const char* id : {"0000000000000005", "0000000000000006"}) {
        newClient.send(test.successor.makeRequest(id));
        REQUIRE(test.oldProcess.waitUntil([&] {
            return (answer = takeHttpMessage(newClient.received)).has_value() || newClient.closedByPeer;
        }));
        REQUIRE(answer);
        CHECK(answer->statusCode() == 200);
        CHECK(answer->header("Connection").empty());
        test.successor.waitForNodeReuse();
    }
    CHECK(test.successor.running());
    CHECK(test.successor.stopAndWait() == 0);
}

// Guards against an old process that drops requests at its exit after a successor has taken over.
TEST_CASE("upgrade: the old process answers hanging, pipelined and incomplete requests at its exit") {
    UpgradeFixture test;
    test.replies = false;
    TestConnection& hangingClient = test.oldProcess.connect();
    hangingClient.send(test.oldProcess.makeRequest("0000000000000001", "", 20'000));
    REQUIRE(test.oldProcess.waitUntil([&] { return test.heldConnection != nullptr; }));
    hangingClient.send(test.oldProcess.makeRequest("0000000000000002", "", 20'000));
    TestConnection& partialClient = test.oldProcess.connect();
    partialClient.send(test.oldProcess.makeRequest("0000000000000003").substr(0, 20));
    REQUIRE(test.oldProcess.waitUntil([&] { return partialClient.connected; }));
    test.oldProcess.waitBriefly();
    test.successor.start();
    REQUIRE(test.waitForTakeover());
    test.oldProcess.sendSignal(SIGTERM);
    std::optional<ParsedHttpMessage> answer;
    for (TestConnection* client : {&partialClient, &hangingClient, &hangingClient}) {
        REQUIRE(test.oldProcess.waitUntil([&] {
            return (answer = takeHttpMessage(client->received)).has_value() || client->closedByPeer;
        }));
        REQUIRE(answer);
        CHECK(answer->statusCode() == 503);
    }
    CHECK(test.oldProcess.stopAndWait() == 0);
    CHECK(test.successor.running());
    test.replies = true;
    CHECK(test.successor.sendRequest(test.successor.makeRequest("0000000000000004")).statusCode() == 200);
    CHECK(test.successor.stopAndWait() == 0);
}

TEST_CASE(
    "upgrade: after the successor dies the old process serves again, and another successor can follow") {
    UpgradeFixture test;
    test.successor.start();
    REQUIRE(test.waitForTakeover());
    CHECK(test.successor.stopAndWait(SIGKILL) == 128 + SIGKILL);
    REQUIRE(test.oldProcess.waitUntil([&] { return test.readyStatus(0) == 200; }));
    const ParsedHttpMessage answer =
        test.oldProcess.sendRequest(test.oldProcess.makeRequest("0000000000000001"));
    CHECK(answer.statusCode() == 200);
    CHECK(answer.header("Connection").empty());
    test.successor.start();
    REQUIRE(test.oldProcess.waitUntil([&] { return test.readyStatus(1) == 200; }));
    CHECK(test.oldProcess.stopAndWait() == 0);
    CHECK(test.successor.sendRequest(test.successor.makeRequest("0000000000000002")).statusCode() == 200);
    CHECK(test.successor.stopAndWait() == 0);
}

namespace {

/// Stands in for a running process: hands over the descriptor `fd` under the name "other" and then sends
/// `stateBytes`.
void serveHandover(const std::string& path, int fd, const std::string& stateBytes) {
    const int listener = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    path.copy(address.sun_path, sizeof address.sun_path - 1);
    REQUIRE(bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    REQUIRE(listen(listener, 1) == 0);
    std::thread([listener, fd, stateBytes] {
        const int successor = accept(listener, nullptr, nullptr);
        std::string payload = "other memory \n" + stateBytes;
        alignas(cmsghdr) char control[CMSG_SPACE(sizeof fd)] = {};
        iovec buffer{payload.data(), payload.size()};
        msghdr message{};
        message.msg_iov = &buffer;
        message.msg_iovlen = 1;
        message.msg_control = control;
        message.msg_controllen = sizeof control;
        cmsghdr* head = CMSG_FIRSTHDR(&message);
        head->cmsg_level = SOL_SOCKET;
        head->cmsg_type = SCM_RIGHTS;
        head->cmsg_len = CMSG_LEN(sizeof fd);
        std::memcpy(CMSG_DATA(head), &fd, sizeof fd);
        (void)sendmsg(successor, &message, MSG_NOSIGNAL);
        char readyByte = 0;
        (void)!recv(successor, &readyByte, 1, 0);  // until it accepts clients or has exited
        close(successor);
        close(listener);
    }).detach();
}

}  // namespace

// Guards against a start that fails, or continues with half of the learned state, because of what another
// process sends.
TEST_CASE("upgrade: a learned state that cannot be read completely leads to a fresh start") {
    ProgramHarness program;
    std::string stateBytes;
    SUBCASE("empty state") { stateBytes = "0\n"; }
    SUBCASE("truncated") { stateBytes = "4000\nlearned1 17"; }
    SUBCASE("no length") { stateBytes = "what was learned, for the next process\n"; }
    SUBCASE("too long") { stateBytes = "99999999999\nlearned1"; }
    SUBCASE("stale") { stateBytes = "20\nlearned1 5 5\nend 1\n"; }
    SUBCASE("nonsense") { stateBytes = "9\nfoo\nbar\n\n"; }
    SUBCASE("nothing sent") {}
    StubHttpNode node(program.base.get(), replyWithRequestId);
    program.config["known"]["hosts"].push_back(
        program.makeNodeEntry("s-1", node.listener.address, 5, "ready"));
    const ReservedAddress opsAddress;
    program.config["ops"] = opsAddress.toString();
    program.tmpDir = program.folder();
    const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    serveHandover(program.folder() + "/martencove.handover", fd, stateBytes);
    program.start();
    CHECK(program.readCounter("handover_fresh") == 1);
    CHECK(program.readCounter("handover_learned") == 0);
    CHECK(program.sendRequest(program.makeRequest("0000000000000001")).statusCode() == 200);
    CHECK(program.stopAndWait() == 0);
    close(fd);
}

// Guards against a start that waits for, or fails because of, files that a killed process left behind.
TEST_CASE("upgrade: a killed process leaves nothing behind that prevents the next start") {
    UpgradeFixture test;
    CHECK(test.oldProcess.stopAndWait(SIGKILL) == 128 + SIGKILL);
    test.successor.start();
    CHECK(test.readyStatus(1) == 200);
    CHECK(test.successor.sendRequest(test.successor.makeRequest("0000000000000001")).statusCode() == 200);
    CHECK(test.successor.stopAndWait() == 0);
}
