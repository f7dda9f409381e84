// Tests that lingering closes respect their limits and that clients receive everything that was sent.
#include "net/lingering_closes.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>

#include "net/address.h"

using namespace martencove;

namespace {

/// A TCP connection on loopback: the server's end as a bufferevent, and the client's socket.
struct Connection {
    explicit Connection(event_base* base) {
        const int listener = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in at = Address{"127.0.0.1", 0}.socketAddress();
        socklen_t size = sizeof at;
        REQUIRE(bind(listener, reinterpret_cast<const sockaddr*>(&at), size) == 0);
        REQUIRE(listen(listener, 1) == 0);
        REQUIRE(getsockname(listener, reinterpret_cast<sockaddr*>(&at), &size) == 0);
        client = socket(AF_INET, SOCK_STREAM, 0);
        REQUIRE(connect(client, reinterpret_cast<const sockaddr*>(&at), size) == 0);
        const int accepted = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
        REQUIRE(accepted >= 0);
        close(listener);
        ours = BuffereventRef(bufferevent_socket_new(base, accepted, BEV_OPT_CLOSE_ON_FREE));
        REQUIRE(ours);
    }
    ~Connection() { close(client); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /// Returns whether the server's end is closed, so that data from the client is answered by a reset.
    bool reset(const std::function<void()>& turn) const {
        for (int tries = 0; tries < 100; ++tries) {
            if (::send(client, "x", 1, MSG_NOSIGNAL) < 0) return true;
            turn();
        }
        return false;
    }

    BuffereventRef ours;
    int client = -1;
};

struct Lingering {
    explicit Lingering(const Limits& l) : limits(l) {}
    void turn() {
        const timeval soon = toTimeval(5);
        event_base_loopexit(base.get(), &soon);
        event_base_dispatch(base.get());
    }
    /// Runs the loop until no connection lingers. The limit only prevents the test from hanging.
    bool ends() {
        for (int turns = 0; turns < 2000 && closes.size() > 0; ++turns) turn();
        return closes.size() == 0;
    }
    Limits limits;
    Counters counters;
    LibeventPtr<event_base> base = makeEventBase();
    LingeringCloses closes{base.get(), limits, counters};
};

Limits longLinger() {
    Limits limits;
    limits.lingerTimeoutMs = 60'000;
    return limits;
}

}  // namespace

TEST_CASE("lingering close: the client receives everything although it continues to send") {
    Lingering t(longLinger());
    Connection connection(t.base.get());
    const std::string answer = "the answer";
    REQUIRE(::send(bufferevent_getfd(connection.ours.get()), answer.data(), answer.size(), 0) > 0);
    REQUIRE(::send(connection.client, "early", 5, 0) == 5);
    t.closes.add(std::move(connection.ours));
    t.turn();
    REQUIRE(::send(connection.client, "late", 4, 0) == 4);
    t.turn();
    CHECK(t.closes.size() == 1);
    CHECK(t.counters.value("client_bytes_dropped") == 1);
    CHECK(t.closes.allDelivered());
    std::array<char, 64> got{};
    CHECK(recv(connection.client, got.data(), got.size(), 0) == static_cast<ssize_t>(answer.size()));
    CHECK(recv(connection.client, got.data(), got.size(), 0) == 0);  // the sending side is shut down
    shutdown(connection.client, SHUT_WR);
    CHECK(t.ends());
}

TEST_CASE("lingering close: the connection of a silent client is closed at the timeout") {
    Limits limits;
    limits.lingerTimeoutMs = 50;
    Lingering t(limits);
    Connection connection(t.base.get());
    t.closes.add(std::move(connection.ours));
    CHECK(t.closes.size() == 1);
    CHECK(t.ends());
    CHECK(connection.reset([&] { t.turn(); }));
}

TEST_CASE("lingering close: a client that continues to send is closed at the timeout or the byte limit") {
    Limits limits = longLinger();
    SUBCASE("time") { limits.lingerTimeoutMs = 50; }
    SUBCASE("bytes") { limits.maxLingerBytes = 100; }
    Lingering t(limits);
    Connection connection(t.base.get());
    t.closes.add(std::move(connection.ours));
    for (int turns = 0; turns < 2000 && t.closes.size() > 0; ++turns) {
        (void)::send(connection.client, "abc", 3, MSG_NOSIGNAL);
        t.turn();
    }
    CHECK(t.closes.size() == 0);
}

TEST_CASE("lingering close: at the connection limit the oldest one is closed") {
    Limits limits = longLinger();
    limits.maxLingeringConnections = 2;
    Lingering t(limits);
    Connection first(t.base.get()), second(t.base.get()), third(t.base.get());
    t.closes.add(std::move(first.ours));
    t.closes.add(std::move(second.ours));
    t.closes.add(std::move(third.ours));
    CHECK(t.closes.size() == 2);
    CHECK(first.reset([&] { t.turn(); }));
    CHECK(::send(second.client, "x", 1, MSG_NOSIGNAL) == 1);
    t.turn();
    CHECK(t.closes.size() == 2);
}
