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
struct Upgrade {
    Upgrade()
        : next(old.base.get()),
          node(old.base.get(), [this](TestConnection& wire, const ParsedHttpMessage& request) {
              answering ? replyWithRequestId(wire, request) : void(held = &wire);
          }) {
        old.config["known"]["hosts"].push_back(old.makeNodeEntry("s-1", node.listener.address, 5, "ready"));
        old.config["ops"] = ops[0].toString();
        old.tmpDir = old.folder();
        old.start();
        next.config = old.config;
        next.config["ops"] = ops[1].toString();
        next.listenAddress = old.listenAddress;
        next.tmpDir = old.folder();
    }
    int ready(int process) {
        TestConnection wire(old.base.get(), ops[process]);
        wire.send("GET /api/ready HTTP/1.1\r\nHost: o\r\n\r\n");
        std::optional<ParsedHttpMessage> answer;
        (void)old.waitUntil(
            [&] { return (answer = takeHttpMessage(wire.received)).has_value() || wire.closedByPeer; });
        return answer ? answer->statusCode() : 0;
    }
    /// Waits until the successor accepts clients.
    bool takesOver() {
        return old.waitUntil([&] { return old.log.find("steps aside") != std::string::npos; });
    }

    ReservedAddress ops[2];
    bool answering = true;
    TestConnection* held = nullptr;
    ProgramHarness old;
    ProgramHarness next;
    StubHttpNode node;
};

}  // namespace

TEST_CASE("upgrade: the successor takes over the sockets, the old process finishes its requests") {
    Upgrade t;
    TestConnection& kept = t.old.connect();
    kept.send(t.old.makeRequest("0000000000000001"));
    REQUIRE(t.old.waitUntil([&] { return takeHttpMessage(kept.received).has_value(); }));
    t.answering = false;
    TestConnection& busy = t.old.connect();
    busy.send(t.old.makeRequest("0000000000000002"));
    REQUIRE(t.old.waitUntil([&] { return t.held != nullptr; }));
    t.answering = true;

    t.next.start();
    REQUIRE(t.takesOver());
    CHECK(t.ready(1) == 200);
    CHECK(t.ready(0) == 503);
    CHECK(t.next.readCounter("handover_learned") == 1);
    // New connections go to the successor. A kept one is served once more by the old process, which closes it
    // after that answer.
    CHECK(t.old.sendRequest(t.old.makeRequest("0000000000000003")).statusCode() == 200);
    std::optional<ParsedHttpMessage> answer;
    kept.send(t.old.makeRequest("0000000000000004"));
    REQUIRE(t.old.waitUntil([&] { return (answer = takeHttpMessage(kept.received)).has_value(); }));
    CHECK(answer->statusCode() == 200);
    CHECK(answer->header("Connection") == "close");

    t.old.sendSignal(SIGTERM);
    t.held->send(makeHttpReply(200, "by the old one"));
    REQUIRE(t.old.waitUntil([&] { return (answer = takeHttpMessage(busy.received)).has_value(); }));
    CHECK(answer->body == "by the old one");
    CHECK(t.old.stopAndWait() == 0);
    CHECK(t.old.log.find("request_taken=3") != std::string::npos);
    // The successor keeps connections as usual.
    TestConnection& after = t.next.connect();
    for (const char* id : {"0000000000000005", "0000000000000006"}) {
        after.send(t.next.makeRequest(id));
        REQUIRE(t.old.waitUntil(
            [&] { return (answer = takeHttpMessage(after.received)).has_value() || after.closedByPeer; }));
        REQUIRE(answer);
        CHECK(answer->statusCode() == 200);
        CHECK(answer->header("Connection").empty());
        t.next.waitForNodeReuse();
    }
    CHECK(t.next.running());
    CHECK(t.next.stopAndWait() == 0);
}

// Guards against an old process that drops requests at its exit after a successor has taken over.
TEST_CASE("upgrade: the old process answers hanging, pipelined and incomplete requests at its exit") {
    Upgrade t;
    t.answering = false;
    TestConnection& hangs = t.old.connect();
    hangs.send(t.old.makeRequest("0000000000000001", "", 20'000));
    REQUIRE(t.old.waitUntil([&] { return t.held != nullptr; }));
    hangs.send(t.old.makeRequest("0000000000000002", "", 20'000));
    TestConnection& half = t.old.connect();
    half.send(t.old.makeRequest("0000000000000003").substr(0, 20));
    REQUIRE(t.old.waitUntil([&] { return half.connected; }));
    t.old.waitForNodeReuse();
    t.next.start();
    REQUIRE(t.takesOver());
    t.old.sendSignal(SIGTERM);
    std::optional<ParsedHttpMessage> answer;
    for (TestConnection* client : {&half, &hangs, &hangs}) {
        REQUIRE(t.old.waitUntil([&] {
            return (answer = takeHttpMessage(client->received)).has_value() || client->closedByPeer;
        }));
        REQUIRE(answer);
        CHECK(answer->statusCode() == 503);
    }
    CHECK(t.old.stopAndWait() == 0);
    CHECK(t.next.running());
    t.answering = true;
    CHECK(t.next.sendRequest(t.next.makeRequest("0000000000000004")).statusCode() == 200);
    CHECK(t.next.stopAndWait() == 0);
}

TEST_CASE(
    "upgrade: after the successor dies the old process serves again, and another successor can follow") {
    Upgrade t;
    t.next.start();
    REQUIRE(t.takesOver());
    CHECK(t.next.stopAndWait(SIGKILL) == 128 + SIGKILL);
    REQUIRE(t.old.waitUntil([&] { return t.ready(0) == 200; }));
    const ParsedHttpMessage answer = t.old.sendRequest(t.old.makeRequest("0000000000000001"));
    CHECK(answer.statusCode() == 200);
    CHECK(answer.header("Connection").empty());
    t.next.start();
    REQUIRE(t.old.waitUntil([&] { return t.ready(1) == 200; }));
    CHECK(t.old.stopAndWait() == 0);
    CHECK(t.next.sendRequest(t.next.makeRequest("0000000000000002")).statusCode() == 200);
    CHECK(t.next.stopAndWait() == 0);
}

namespace {

/// Stands in for a running process: hands over the descriptor `fd` under the name "other" and then sends
/// `told`.
void giveAway(const std::string& path, int fd, const std::string& told) {
    const int listener = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    path.copy(address.sun_path, sizeof address.sun_path - 1);
    REQUIRE(bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    REQUIRE(listen(listener, 1) == 0);
    std::thread([listener, fd, told] {
        const int taker = accept(listener, nullptr, nullptr);
        std::string text = "other memory \n" + told;
        alignas(cmsghdr) char control[CMSG_SPACE(sizeof fd)] = {};
        iovec piece{text.data(), text.size()};
        msghdr message{};
        message.msg_iov = &piece;
        message.msg_iovlen = 1;
        message.msg_control = control;
        message.msg_controllen = sizeof control;
        cmsghdr* head = CMSG_FIRSTHDR(&message);
        head->cmsg_level = SOL_SOCKET;
        head->cmsg_type = SCM_RIGHTS;
        head->cmsg_len = CMSG_LEN(sizeof fd);
        std::memcpy(CMSG_DATA(head), &fd, sizeof fd);
        (void)sendmsg(taker, &message, MSG_NOSIGNAL);
        char ready = 0;
        (void)!recv(taker, &ready, 1, 0);  // until it accepts clients or has exited
        close(taker);
        close(listener);
    }).detach();
}

}  // namespace

// Guards against a start that fails, or continues with half of the learned state, because of what another
// process sends.
TEST_CASE("upgrade: a learned state that cannot be read completely leads to a fresh start") {
    ProgramHarness world;
    std::string told;
    SUBCASE("empty state") { told = "0\n"; }
    SUBCASE("truncated") { told = "4000\nlearned1 17"; }
    SUBCASE("no length") { told = "what was learned, for the next process\n"; }
    SUBCASE("too long") { told = "99999999999\nlearned1"; }
    SUBCASE("stale") { told = "20\nlearned1 5 5\nend 1\n"; }
    SUBCASE("nonsense") { told = "9\nfoo\nbar\n\n"; }
    SUBCASE("nothing sent") {}
    StubHttpNode node(world.base.get(), replyWithRequestId);
    world.config["known"]["hosts"].push_back(world.makeNodeEntry("s-1", node.listener.address, 5, "ready"));
    const ReservedAddress ops;
    world.config["ops"] = ops.toString();
    world.tmpDir = world.folder();
    const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    giveAway(world.folder() + "/martencove.handover", fd, told);
    world.start();
    CHECK(world.readCounter("handover_fresh") == 1);
    CHECK(world.readCounter("handover_learned") == 0);
    CHECK(world.sendRequest(world.makeRequest("0000000000000001")).statusCode() == 200);
    CHECK(world.stopAndWait() == 0);
    close(fd);
}

// Guards against a start that waits for, or fails because of, files that a killed process left behind.
TEST_CASE("upgrade: a killed process leaves nothing behind that prevents the next start") {
    Upgrade t;
    CHECK(t.old.stopAndWait(SIGKILL) == 128 + SIGKILL);
    t.next.start();
    CHECK(t.ready(1) == 200);
    CHECK(t.next.sendRequest(t.next.makeRequest("0000000000000001")).statusCode() == 200);
    CHECK(t.next.stopAndWait() == 0);
}
