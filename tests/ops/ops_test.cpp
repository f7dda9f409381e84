// Tests of the operations endpoint: its calls, silent callers, and a program that is evacuated and rejoins.
#include <doctest/doctest.h>

#include "program/program_harness.h"

using namespace martencove::test;

namespace {

struct OpsFixture {
    OpsFixture()
        : node(program.base.get(), [this](TestConnection& connection, const ParsedHttpMessage& request) {
              replies ? replyWithRequestId(connection, request) : void(heldConnection = &connection);
          }) {
        program.config["known"]["hosts"].push_back(
            program.makeNodeEntry("s-1", node.listener.address, 5, "ready"));
        program.config["ops"] = opsAddress.toString();
        program.start();
    }
    int call(const std::string& method, const std::string& path) {
        TestConnection connection(program.base.get(), opsAddress);
        connection.send(method + " " + path + " HTTP/1.1\r\nHost: o\r\n\r\n");
        std::optional<ParsedHttpMessage> answer;
        (void)program.waitUntil([&] {
            return (answer = takeHttpMessage(connection.received)).has_value() || connection.closedByPeer;
        });
        (void)program.waitUntil([&] { return connection.closedByPeer; });
        return answer && connection.closedByPeer ? answer->statusCode() : 0;
    }
    int healthStatus() {
        return program.sendRequest("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n").statusCode();
    }

    ProgramHarness program;
    const ReservedAddress opsAddress;
    bool replies = true;
    TestConnection* heldConnection = nullptr;
    StubHttpNode node;
};

}  // namespace

TEST_CASE("ops: status codes of the calls, of wrong methods and of unknown paths") {
    OpsFixture test;
    CHECK(test.call("GET", "/api/ready") == 200);
    CHECK(test.call("GET", "/api/evacuate") == 405);
    CHECK(test.call("PUT", "/api/ready") == 405);
    CHECK(test.call("GET", "/api/other") == 404);
    CHECK(test.call("GET", "/healthz") == 404);
    CHECK(test.healthStatus() == 200);
    CHECK(test.program.stopAndWait() == 0);
}

// Guards against callers at this address that are read into memory without a bound.
TEST_CASE("ops: a call without an end is answered with an error and closed") {
    OpsFixture test;
    const std::string chunked = "PUT /api/ready HTTP/1.1\r\nHost: o\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string& call : {chunked + std::string(2000, '0'), chunked + std::string(2000, '\n'),
                                    "PUT /api/" + std::string(9000, 'a')}) {
        TestConnection connection(test.program.base.get(), test.opsAddress);
        connection.send(call);
        REQUIRE(test.program.waitUntil([&] { return connection.closedByPeer; }));
        CHECK(connection.received.starts_with("HTTP/1.1 400"));
    }
    CHECK(test.program.readCounter("ops_malformed") == 3);
    CHECK(test.call("GET", "/api/ready") == 200);
}

// Guards against silent callers that use up the descriptors or keep others from an answer.
TEST_CASE("ops: silent callers and incomplete calls do not keep others from an answer") {
    OpsFixture test;
    std::vector<std::unique_ptr<TestConnection>> silent;
    for (int i = 0; i < 100; ++i) {
        silent.push_back(std::make_unique<TestConnection>(test.program.base.get(), test.opsAddress));
        if (i % 2 == 0) silent.back()->send("PUT /api/evac");
    }
    REQUIRE(test.program.waitUntil([&] { return test.program.readCounter("ops_connection") >= 100; }));
    CHECK(test.call("GET", "/api/ready") == 200);
    CHECK(test.program.readCounter("ops_crowd") >= 100 - 32);
    CHECK(test.healthStatus() == 200);
}

TEST_CASE("ops: an evacuated program is not ready, serves requests, closes idle connections and can rejoin") {
    OpsFixture test;
    TestConnection& idle = test.program.connect();
    idle.send(test.program.makeRequest("0000000000000001"));
    REQUIRE(test.program.waitUntil([&] { return takeHttpMessage(idle.received).has_value(); }));
    test.replies = false;
    TestConnection& busy = test.program.connect();
    busy.send(test.program.makeRequest("0000000000000002"));
    REQUIRE(test.program.waitUntil([&] { return test.heldConnection != nullptr; }));

    CHECK(test.call("PUT", "/api/evacuate") == 200);
    CHECK(test.call("GET", "/api/ready") == 503);
    CHECK(test.healthStatus() == 503);
    REQUIRE(test.program.waitUntil([&] { return idle.closedByPeer; }));
    CHECK(!busy.closedByPeer);
    test.replies = true;
    // From a client that does not know of the evacuation.
    const ParsedHttpMessage lateAnswer =
        test.program.sendRequest(test.program.makeRequest("0000000000000003"));
    CHECK(lateAnswer.statusCode() == 200);
    CHECK(lateAnswer.header("Connection") == "close");
    test.heldConnection->send(makeHttpReply(200, "in its time"));
    std::optional<ParsedHttpMessage> answer;
    REQUIRE(test.program.waitUntil([&] { return (answer = takeHttpMessage(busy.received)).has_value(); }));
    CHECK(answer->body == "in its time");
    REQUIRE(test.program.waitUntil([&] { return busy.closedByPeer; }));

    CHECK(test.call("PUT", "/api/rejoin") == 200);
    CHECK(test.call("GET", "/api/ready") == 200);
    CHECK(test.healthStatus() == 200);
    TestConnection& newConnection = test.program.connect();
    newConnection.send(test.program.makeRequest("0000000000000004"));
    REQUIRE(test.program.waitUntil(
        [&] { return (answer = takeHttpMessage(newConnection.received)).has_value(); }));
    CHECK(answer->header("Connection").empty());
    CHECK(test.program.stopAndWait() == 0);
}

// Guards against connections that fail for lack of descriptors, since idle clients use them all and reconnect
// when they are closed: to a new discovery address, at the operations endpoint, and to a node.
TEST_CASE(
    "ops: with all descriptors used by idle clients, a list from a new discovery address takes effect at "
    "once") {
    ProgramHarness program;
    const ReservedAddress opsAddress;
    StubHttpNode node(program.base.get(), replyWithRequestId);
    program.config["known"]["hosts"] =
        Json::array({program.makeNodeEntry("s-1", node.listener.address, 5, "ready"),
                     program.makeNodeEntry("s-2", node.listener.address, 6, "ready")});
    program.config["ops"] = opsAddress.toString();
    program.config["limits"]["sockets"] = 128;
    program.start();
    program.setDiscoveryAnswers(false);
    std::vector<std::unique_ptr<TestConnection>> idle(150);
    // Runs the loop until `condition` returns true, and replaces each idle connection that is closed.
    const auto runUntil = [&](const std::function<bool()>& condition) {
        return program.waitUntil([&] {
            for (auto& connection : idle)
                if (!connection || connection->closedByPeer)
                    connection = std::make_unique<TestConnection>(program.base.get(), program.listenAddress);
            return condition();
        });
    };
    const auto sendAndWait = [&](const martencove::Address& address, const std::string& request) {
        TestConnection connection(program.base.get(), address);
        connection.send(request);
        std::optional<ParsedHttpMessage> answer;
        REQUIRE(runUntil([&] {
            return (answer = takeHttpMessage(connection.received)).has_value() || connection.closedByPeer;
        }));
        return answer.value_or(ParsedHttpMessage{"HTTP/1.1 000 closed\r\n", ""});
    };
    REQUIRE(runUntil([&] {
        return sendAndWait(program.listenAddress, "GET /counters HTTP/1.1\r\nHost: b\r\n\r\n")
                   .body.find("\nclient_crowd ") != std::string::npos;
    }));
    TestConnection* pendingCall = nullptr;
    TestServer newDiscovery(program.base.get(), [&](TestConnection& connection) {
        if (takeHttpMessage(connection.received)) pendingCall = &connection;
    });
    program.config["discovery"] = newDiscovery.address.toString();
    program.rewriteConfig();
    program.sendSignal(SIGHUP);
    REQUIRE(runUntil([&] { return pendingCall != nullptr; }));
    const Json hosts = Json::array({program.makeNodeEntry("s-1", node.listener.address, 5, "draining"),
                                    program.makeNodeEntry("s-2", node.listener.address, 6, "ready")});
    pendingCall->send(makeHttpReply(200, Json{{"seq", 7}, {"whole", true}, {"hosts", hosts}}.dump()));
    REQUIRE(runUntil([&] { return program.log.find("leaving: servers leave") != std::string::npos; }));
    CHECK(sendAndWait(opsAddress, "GET /api/ready HTTP/1.1\r\nHost: o\r\n\r\n").statusCode() == 200);
    // The node of this shard is draining.
    CHECK(sendAndWait(program.listenAddress, program.makeRequest("0000000000000001", "", 400)).statusCode() ==
          503);
    CHECK(node.requests.empty());
    std::string shard6Request = program.makeRequest("0000000000000002");
    shard6Request.replace(shard6Request.find("shard=5"), 7, "shard=6");
    CHECK(sendAndWait(program.listenAddress, shard6Request).statusCode() == 200);
    CHECK(node.requests.size() == 1);
}
