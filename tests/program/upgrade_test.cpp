// Two processes of the program on one machine: sockets change hands, and no client meets a closed door.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cstring>
#include <thread>

#include "world.h"

using namespace martencove::test;

namespace {

/// One process serves, another begins beside it, with the same configuration but another second address. Both
/// worlds share a loop.
struct Upgrade {
    Upgrade()
        : next(old.base.get()), node(old.base.get(), [this](Wire& wire, const HttpText& request) {
              answering ? serve(wire, request) : void(held = &wire);
          }) {
        old.config["known"]["hosts"].push_back(old.entry("s-1", node.listener.address, 5, "ready"));
        old.config["ops"] = ops[0].text();
        old.shared = old.folder();
        old.start();
        next.config = old.config;
        next.config["ops"] = ops[1].text();
        next.listen = old.listen;
        next.shared = old.folder();
    }
    int ready(int process) {
        Wire wire(old.base.get(), ops[process]);
        wire.send("GET /api/ready HTTP/1.1\r\nHost: o\r\n\r\n");
        std::optional<HttpText> answer;
        (void)old.until([&] { return (answer = takeHttp(wire.got)).has_value() || wire.closed; });
        return answer ? answer->code() : 0;
    }
    /// Waits until the next one takes clients.
    bool takesOver() {
        return old.until([&] { return old.log.find("steps aside") != std::string::npos; });
    }

    FreeAddress ops[2];
    bool answering = true;
    Wire* held = nullptr;
    World old;
    World next;
    HttpNode node;
};

}  // namespace

TEST_CASE("upgrade: the next process takes the sockets, the old one finishes what it has") {
    Upgrade t;
    Wire& kept = t.old.connect();
    kept.send(t.old.request("0000000000000001"));
    REQUIRE(t.old.until([&] { return takeHttp(kept.got).has_value(); }));
    t.answering = false;
    Wire& busy = t.old.connect();
    busy.send(t.old.request("0000000000000002"));
    REQUIRE(t.old.until([&] { return t.held != nullptr; }));
    t.answering = true;

    t.next.start();
    REQUIRE(t.takesOver());
    CHECK(t.ready(1) == 200);
    CHECK(t.ready(0) == 503);
    CHECK(t.next.counter("handover_learned") == 1);
    // New connections are the next one's; kept ones are served once more by the old one, and end with that
    // answer.
    CHECK(t.old.ask(t.old.request("0000000000000003")).code() == 200);
    std::optional<HttpText> answer;
    kept.send(t.old.request("0000000000000004"));
    REQUIRE(t.old.until([&] { return (answer = takeHttp(kept.got)).has_value(); }));
    CHECK(answer->code() == 200);
    CHECK(answer->header("Connection") == "close");

    t.old.signal(SIGTERM);
    t.held->send(httpReply(200, "by the old one"));
    REQUIRE(t.old.until([&] { return (answer = takeHttp(busy.got)).has_value(); }));
    CHECK(answer->body == "by the old one");
    CHECK(t.old.end() == 0);
    CHECK(t.old.log.find("request_taken=3") != std::string::npos);
    // With the next one connections are kept as ever.
    Wire& after = t.next.connect();
    for (const char* id : {"0000000000000005", "0000000000000006"}) {
        after.send(t.next.request(id));
        REQUIRE(t.old.until([&] { return (answer = takeHttp(after.got)).has_value() || after.closed; }));
        REQUIRE(answer);
        CHECK(answer->code() == 200);
        CHECK(answer->header("Connection").empty());
        t.next.rest();
    }
    CHECK(t.next.running());
    CHECK(t.next.end() == 0);
}

// Guards against a process that has stepped aside and drops at its end what it has read.
TEST_CASE("upgrade: the old one answers at its end what hangs, what came behind it and what came in part") {
    Upgrade t;
    t.answering = false;
    Wire& hangs = t.old.connect();
    hangs.send(t.old.request("0000000000000001", "", 20'000));
    REQUIRE(t.old.until([&] { return t.held != nullptr; }));
    hangs.send(t.old.request("0000000000000002", "", 20'000));
    Wire& half = t.old.connect();
    half.send(t.old.request("0000000000000003").substr(0, 20));
    REQUIRE(t.old.until([&] { return half.connected; }));
    t.old.rest();
    t.next.start();
    REQUIRE(t.takesOver());
    t.old.signal(SIGTERM);
    std::optional<HttpText> answer;
    for (Wire* client : {&half, &hangs, &hangs}) {
        REQUIRE(t.old.until([&] { return (answer = takeHttp(client->got)).has_value() || client->closed; }));
        REQUIRE(answer);
        CHECK(answer->code() == 503);
    }
    CHECK(t.old.end() == 0);
    CHECK(t.next.running());
    t.answering = true;
    CHECK(t.next.ask(t.next.request("0000000000000004")).code() == 200);
    CHECK(t.next.end() == 0);
}

TEST_CASE("upgrade: a next process that dies gives the clients back, and another one can follow") {
    Upgrade t;
    t.next.start();
    REQUIRE(t.takesOver());
    CHECK(t.next.end(SIGKILL) == 128 + SIGKILL);
    REQUIRE(t.old.until([&] { return t.ready(0) == 200; }));
    const HttpText answer = t.old.ask(t.old.request("0000000000000001"));
    CHECK(answer.code() == 200);
    CHECK(answer.header("Connection").empty());
    t.next.start();
    REQUIRE(t.old.until([&] { return t.ready(1) == 200; }));
    CHECK(t.old.end() == 0);
    CHECK(t.next.ask(t.next.request("0000000000000002")).code() == 200);
    CHECK(t.next.end() == 0);
}

namespace {

/// A stand-in for the process that serves: gives the descriptor `fd` away under the name "other", and behind
/// it says `told`.
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
        (void)!recv(taker, &ready, 1, 0);  // until it takes clients, or is gone
        close(taker);
        close(listener);
    }).detach();
}

}  // namespace

// Guards against a start that is refused, or goes on with half of what was learned, for what another process
// says.
TEST_CASE("upgrade: what was learned and cannot be read whole leaves a fresh start") {
    World world;
    std::string told;
    SUBCASE("none") { told = "0\n"; }
    SUBCASE("cut off") { told = "4000\nlearned1 17"; }
    SUBCASE("no length") { told = "what was learned, for the next process\n"; }
    SUBCASE("too long") { told = "99999999999\nlearned1"; }
    SUBCASE("stale") { told = "20\nlearned1 5 5\nend 1\n"; }
    SUBCASE("nonsense") { told = "9\nfoo\nbar\n\n"; }
    SUBCASE("nothing") {}
    HttpNode node(world.base.get(), serve);
    world.config["known"]["hosts"].push_back(world.entry("s-1", node.listener.address, 5, "ready"));
    const FreeAddress ops;
    world.config["ops"] = ops.text();
    world.shared = world.folder();
    const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    giveAway(world.folder() + "/martencove.handover", fd, told);
    world.start();
    CHECK(world.counter("handover_fresh") == 1);
    CHECK(world.counter("handover_learned") == 0);
    CHECK(world.ask(world.request("0000000000000001")).code() == 200);
    CHECK(world.end() == 0);
    close(fd);
}

// Guards against a start that waits for, or trips over, what a killed process left in the folder.
TEST_CASE("upgrade: a process that was killed leaves nothing that keeps the next one from its start") {
    Upgrade t;
    CHECK(t.old.end(SIGKILL) == 128 + SIGKILL);
    t.next.start();
    CHECK(t.ready(1) == 200);
    CHECK(t.next.ask(t.next.request("0000000000000001")).code() == 200);
    CHECK(t.next.end() == 0);
}
