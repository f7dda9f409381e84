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
        sockaddr_in address = Address{"127.0.0.1", 0}.socketAddress();
        socklen_t size = sizeof address;
        REQUIRE(bind(listener, reinterpret_cast<const sockaddr*>(&address), size) == 0);
        REQUIRE(listen(listener, 1) == 0);
        REQUIRE(getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        client = socket(AF_INET, SOCK_STREAM, 0);
        REQUIRE(connect(client, reinterpret_cast<const sockaddr*>(&address), size) == 0);
        const int accepted = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
        REQUIRE(accepted >= 0);
        close(listener);
        server = BuffereventRef(bufferevent_socket_new(base, accepted, BEV_OPT_CLOSE_ON_FREE));
        REQUIRE(server);
    }
    ~Connection() { close(client); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /// Returns whether the server's end is closed, so that data from the client is answered by a reset.
    bool isReset(const std::function<void()>& runLoop) const {
        for (int tries = 0; tries < 100; ++tries) {
            if (::send(client, "x", 1, MSG_NOSIGNAL) < 0) return true;
            runLoop();
        }
        return false;
    }

    BuffereventRef server;
    int client = -1;
};

struct LingeringFixture {
    explicit LingeringFixture(const Limits& fixtureLimits) : limits(fixtureLimits) {}
    void runLoopBriefly() {
        const timeval duration = toTimeval(5);
        event_base_loopexit(base.get(), &duration);
        event_base_dispatch(base.get());
    }
    /// Runs the loop until no connection lingers. The limit only prevents the test from hanging.
    bool runUntilAllClosed() {
        for (int turns = 0; turns < 2000 && closes.size() > 0; ++turns) runLoopBriefly();
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
    LingeringFixture fixture(longLinger());
    Connection connection(fixture.base.get());
    const std::string response = "the answer";
    REQUIRE(::send(bufferevent_getfd(connection.server.get()), response.data(), response.size(), 0) > 0);
    REQUIRE(::send(connection.client, "early", 5, 0) == 5);
    fixture.closes.add(std::move(connection.server));
    fixture.runLoopBriefly();
    REQUIRE(::send(connection.client, "late", 4, 0) == 4);
    fixture.runLoopBriefly();
    CHECK(fixture.closes.size() == 1);
    CHECK(fixture.counters.value("client_bytes_dropped") == 1);
    CHECK(fixture.closes.allDelivered());
    std::array<char, 64> received{};
    CHECK(recv(connection.client, received.data(), received.size(), 0) ==
          static_cast<ssize_t>(response.size()));
    CHECK(recv(connection.client, received.data(), received.size(), 0) ==
          0);  // the sending side is shut down
    shutdown(connection.client, SHUT_WR);
    CHECK(fixture.runUntilAllClosed());
}

TEST_CASE("lingering close: the connection of a silent client is closed at the timeout") {
    Limits limits;
    limits.lingerTimeoutMs = 50;
    LingeringFixture fixture(limits);
    Connection connection(fixture.base.get());
    fixture.closes.add(std::move(connection.server));
    CHECK(fixture.closes.size() == 1);
    CHECK(fixture.runUntilAllClosed());
    CHECK(connection.isReset([&] { fixture.runLoopBriefly(); }));
}

TEST_CASE("lingering close: a client that continues to send is closed at the timeout or the byte limit") {
    Limits limits = longLinger();
    SUBCASE("time") { limits.lingerTimeoutMs = 50; }
    SUBCASE("bytes") { limits.maxLingerBytes = 100; }
    LingeringFixture fixture(limits);
    Connection connection(fixture.base.get());
    fixture.closes.add(std::move(connection.server));
    for (int turns = 0; turns < 2000 && fixture.closes.size() > 0; ++turns) {
        (void)::send(connection.client, "abc", 3, MSG_NOSIGNAL);
        fixture.runLoopBriefly();
    }
    CHECK(fixture.closes.size() == 0);
}

TEST_CASE("lingering close: at the connection limit the oldest one is closed") {
    Limits limits = longLinger();
    limits.maxLingeringConnections = 2;
    LingeringFixture fixture(limits);
    Connection first(fixture.base.get()), second(fixture.base.get()), third(fixture.base.get());
    fixture.closes.add(std::move(first.server));
    fixture.closes.add(std::move(second.server));
    fixture.closes.add(std::move(third.server));
    CHECK(fixture.closes.size() == 2);
    CHECK(first.isReset([&] { fixture.runLoopBriefly(); }));
    CHECK(::send(second.client, "x", 1, MSG_NOSIGNAL) == 1);
    fixture.runLoopBriefly();
    CHECK(fixture.closes.size() == 2);
}
