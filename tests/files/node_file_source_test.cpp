// Tests of the program with storage nodes from files, between stub nodes and clients.
#include <doctest/doctest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include "files/node_file.h"
#include "program/program_harness.h"

using namespace martencove;
using namespace martencove::test;
namespace fs = std::filesystem;

namespace {

struct NodeFileHarness {
    NodeFileHarness() {
        for (int i = 0; i < 4; ++i)
            nodes.push_back(std::make_unique<StubHttpNode>(program.base.get(), replyWithRequestId));
        program.config.erase("discovery");
        fs::create_directory(folder());
        program.nodesSection = {{"path", file()}, {"depart_s", 1}, {"look_s", 0.2}};
    }
    std::string folder() const { return program.folder() + "/nodes.d"; }
    std::string file() const { return folder() + "/nodes.textproto"; }
    std::string nodeEntry(int i, const std::string& extraFields = "") const {
        return "node { name: \"s-" + std::to_string(i) + "\" dial: \"" +
               nodes[i]->listener.address.toString() + "\" shard: 5 rack: \"r" + std::to_string(i % 2) +
               "\" " + extraFields + "}\n";
    }
    /// The text of a version with these nodes and with `extraFields` before them.
    std::string versionText(std::uint64_t number, const std::vector<int>& nodeNumbers,
                            const std::string& extraFields = "") const {
        std::string out = "version: " + std::to_string(number) +
                          "\ncount: " + std::to_string(nodeNumbers.size()) + '\n' + extraFields;
        for (const int i : nodeNumbers) out += nodeEntry(i);
        return files::withTrailer(out, number);
    }
    void writeFile(const std::string& text) const { std::ofstream(file()) << text; }
    std::string fetchStatus() { return program.sendRequest("GET /nodes HTTP/1.1\r\nHost: b\r\n\r\n").body; }
    bool waitUntilInForce(std::uint64_t number) {
        return program.waitUntil(
            [&] { return fetchStatus().starts_with("version " + std::to_string(number) + " in force"); });
    }
    bool waitUntilReported(const std::string& text) {
        return program.waitUntil([&] { return fetchStatus().find(text) != std::string::npos; });
    }
    int countServed(int requests) {
        int okCount = 0;
        for (int i = 0; i < requests; ++i)
            okCount +=
                program.sendRequest(program.makeRequest("q" + std::to_string(++requestCount))).statusCode() ==
                200;
        return okCount;
    }
    ProgramHarness program;
    std::vector<std::unique_ptr<StubHttpNode>> nodes;
    int requestCount = 0;
};

}  // namespace

TEST_CASE("files: a newer version replaces the first, and an invalid one changes nothing") {
    NodeFileHarness t;
    t.writeFile(t.versionText(1, {0}));
    t.program.start();
    CHECK(t.waitUntilInForce(1));
    CHECK(t.countServed(3) == 3);
    CHECK(t.nodes[0]->requests.size() == 3);
    t.writeFile(t.versionText(2, {1}, "permit { from_version: 1 rack: \"r0\" }\n"));
    CHECK(t.waitUntilInForce(2));
    CHECK(t.countServed(3) == 3);
    CHECK(t.nodes[0]->requests.size() == 3);
    t.writeFile("version: 3\ncount: 1\nnode { name: \"x\" dial: \"nowhere\" shard: 5 }\n");
    CHECK(t.waitUntilReported("no line that begins with \"end {\""));
    t.writeFile(
        files::withTrailer("version: 3\ncount: 1\nnode { name: \"x\" dial: \"nowhere\" shard: 5 }\n", 3));
    CHECK(t.waitUntilReported("nodes.textproto:3:1: dial: \"nowhere\" is not host:port"));
    CHECK(t.countServed(3) == 3);
    CHECK(t.program.readCounter("files_refused") >= 1);
    CHECK(t.program.log.find("nodes: not taken version=3 in_force=2 reason=") != std::string::npos);
    // SIGUSR1 logs the same refusal.
    t.program.sendSignal(SIGUSR1);
    CHECK(t.program.waitUntil([&] { return t.program.log.find("refusal=") != std::string::npos; }));
    CHECK(t.program.stopAndWait() == 0);
}

TEST_CASE("files: a version that removes a rack is refused, unless a permit allows it") {
    NodeFileHarness t;
    t.writeFile(t.versionText(1, {0, 1, 2, 3}));
    t.program.start();
    REQUIRE(t.waitUntilInForce(1));
    t.writeFile(t.versionText(2, {0, 2}));
    CHECK(t.waitUntilReported("every node of rack \"r1\""));
    t.writeFile(t.versionText(3, {0, 2}, "permit { from_version: 1 rack: \"r1\" fleet_part: 0.5 }\n"));
    CHECK(t.waitUntilInForce(3));
}

TEST_CASE("files: the program is ready only once it has read a complete version") {
    NodeFileHarness t;
    t.writeFile(t.versionText(1, {0}).substr(0, 60));
    t.program.startUntilAnswering();
    CHECK(t.program.sendRequest("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n").statusCode() == 503);
    CHECK(t.program.sendRequest(t.program.makeRequest("early", "", 400)).statusCode() == 503);
    t.writeFile(t.versionText(1, {0}));
    CHECK(t.program.waitUntil([&] {
        return t.program.sendRequest("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n").statusCode() == 200;
    }));
    CHECK(t.countServed(1) == 1);
}

TEST_CASE("files: anything that is not a node file is reported and changes nothing") {
    NodeFileHarness t;
    t.writeFile(t.versionText(1, {0}));
    t.program.start();
    REQUIRE(t.waitUntilInForce(1));
    const auto replace = [&](const auto& create) {
        fs::remove_all(t.file());
        create();
    };
    SUBCASE("NUL bytes") {
        t.writeFile(std::string(100'000, '\0'));
        CHECK(t.waitUntilReported("half written, or not sealed"));
    }
    SUBCASE("60 MB") {
        t.writeFile("");
        fs::resize_file(t.file(), 60'000'000);
        CHECK(t.waitUntilReported("60000000 bytes, at most"));
    }
    SUBCASE("a FIFO") {
        replace([&] { REQUIRE(mkfifo(t.file().c_str(), 0600) == 0); });
        CHECK(t.waitUntilReported("is not a regular file"));
    }
    SUBCASE("a link to itself") {
        replace([&] { fs::create_symlink("nodes.textproto", t.file()); });
        CHECK(t.waitUntilReported("cannot be opened: Too many levels of symbolic links"));
    }
    SUBCASE("a folder, which stands for the files in it") {
        replace([&] { fs::create_directory(t.file()); });
        CHECK(t.waitUntilReported("no files of nodes are there"));
    }
    SUBCASE("the folder deleted and recreated") {
        fs::remove_all(t.folder());
        CHECK(t.waitUntilReported("cannot be opened"));
        CHECK(t.countServed(2) == 2);
        fs::create_directory(t.folder());
    }
    CHECK(t.countServed(2) == 2);
    fs::remove_all(t.file());
    t.writeFile(t.versionText(2, {0, 1}));
    CHECK(t.waitUntilInForce(2));
    CHECK(t.countServed(2) == 2);
}

TEST_CASE("files: a restart with an incomplete file starts from the kept version and logs that") {
    NodeFileHarness t;
    t.program.nodesSection["keep"] = t.program.folder() + "/kept";
    t.writeFile(t.versionText(4, {0, 1}));
    t.program.start();
    REQUIRE(t.waitUntilInForce(4));
    REQUIRE(t.program.waitUntil([&] { return fs::exists(t.program.folder() + "/kept"); }));
    SUBCASE("killed during a rewrite") {
        t.writeFile(t.versionText(5, {0, 1, 2}).substr(0, 100));
        CHECK(t.program.stopAndWait(SIGKILL) == 128 + SIGKILL);
        t.program.start();
        CHECK(t.fetchStatus().find("from the kept copy") != std::string::npos);
        CHECK(t.program.log.find("taken from the kept copy version=4") != std::string::npos);
        CHECK(t.countServed(2) == 2);
        t.writeFile(t.versionText(5, {0, 1, 2}));
        CHECK(t.waitUntilInForce(5));
    }
    SUBCASE("a corrupted kept version is not used") {
        CHECK(t.program.stopAndWait() == 0);
        fs::resize_file(t.program.folder() + "/kept", 100);
        t.program.start();
        CHECK(t.program.log.find("kept version not used") != std::string::npos);
        CHECK(t.waitUntilInForce(4));  // from the file itself
    }
}

// Rewrites the file under traffic in different ways, often only partly, while the program is stopped and
// resumed in between. Guards against bringing a partly written version into force. The versions name two
// pairs of the four nodes in turn, and the requests that each node received show which version was in force.
TEST_CASE("files: a thousand rewrites under traffic") {
    NodeFileHarness t;
    t.nodes.push_back(std::make_unique<StubHttpNode>(t.program.base.get(), replyWithRequestId));
    std::mt19937_64 random(20261202);
    MESSAGE("seed 20261202");
    const auto nodePair = [](std::uint64_t versionNumber) {
        return versionNumber % 2 == 0 ? std::vector<int>{0, 1} : std::vector<int>{2, 3};
    };
    const std::string permitStart = "permit { from_version: ";
    std::uint64_t lastCheckpoint = 1;
    t.program.nodesSection["most_lost"] = 1;
    t.writeFile(t.versionText(1, {0, 1, 2, 3}));
    t.program.start();
    REQUIRE(t.waitUntilInForce(1));

    int answerCount = 0, okCount = 0, sentCount = 0;
    std::list<TestConnection> clients;
    const auto sendOne = [&] {
        TestConnection& connection = clients.emplace_back(t.program.base.get(), t.program.listenAddress);
        connection.onData = [&](TestConnection& self) {
            while (const auto answer = takeHttpMessage(self.received)) {
                ++answerCount;
                okCount += answer->statusCode() == 200;
            }
        };
        connection.send(t.program.makeRequest("t" + std::to_string(++sentCount)));
    };
    const std::string link = t.program.folder() + "/now";
    std::uint64_t number = 1;
    const auto nextVersionText = [&] {
        ++number;
        // Each version removes all nodes of the one before, so it permits that from any version since the
        // last checkpoint.
        std::string permits;
        for (std::uint64_t from = lastCheckpoint; from < number; ++from)
            permits +=
                permitStart + std::to_string(from) + " rack: \"r0\" rack: \"r1\" shard: 5 fleet_part: 1 }\n";
        return t.versionText(number, nodePair(number), permits);
    };
    for (int round = 0; round < 1000; ++round) {
        const std::string text = nextVersionText();
        const std::size_t cut = random() % text.size();
        switch (random() % 6) {
            case 0:  // truncated, then in most cases written completely
                t.writeFile(text.substr(0, cut));
                if (random() % 3 != 0) t.writeFile(text);
                break;
            case 1: {  // overwritten in place, so that the old tail remains for a moment
                std::fstream out(t.file(), std::ios::in | std::ios::out);
                out << text.substr(0, cut) << std::flush;
                out << text.substr(cut);
                out.close();
                fs::resize_file(t.file(), text.size());
                break;
            }
            case 2:  // replaced by a rename
                std::ofstream(t.folder() + "/next") << text;
                fs::rename(t.folder() + "/next", t.file());
                break;
            case 3: {  // left incomplete, with a node that no complete version names
                const std::string incomplete = t.versionText(
                    number, {4}, text.substr(text.find("permit"), text.find("node {") - text.find("permit")));
                t.writeFile(incomplete.substr(0, incomplete.size() - 3 - random() % (incomplete.size() / 2)));
                break;
            }
            case 4:  // deleted and recreated
                fs::remove(t.file());
                t.writeFile(text);
                break;
            case 5:  // replaced by a symbolic link
                std::ofstream(t.folder() + "/v" + std::to_string(round % 2)) << text;
                fs::remove(t.folder() + "/link");
                fs::create_symlink("v" + std::to_string(round % 2), t.folder() + "/link");
                fs::rename(t.folder() + "/link", t.file());
                break;
        }
        if (round % 50 == 7) t.program.sendSignal(SIGSTOP);
        if (round % 50 == 9) t.program.sendSignal(SIGCONT);
        if (round % 4 == 0) sendOne();
        (void)t.program.waitUntil([] { return false; }, 1);
        if (round % 100 == 99) {
            // Checkpoint: after a complete version has come into force, only its nodes get requests.
            fs::remove(t.file());
            t.writeFile(nextVersionText());
            REQUIRE(t.waitUntilInForce(number));
            lastCheckpoint = number;
            REQUIRE(t.program.waitUntil([&] { return answerCount == sentCount; }));
            std::vector<std::size_t> before;
            for (const auto& node : t.nodes) before.push_back(node->requests.size());
            CHECK(t.countServed(4) == 4);
            for (int i = 0; i < 4; ++i) {
                const bool isNamed = i == nodePair(number)[0] || i == nodePair(number)[1];
                if (!isNamed) CHECK(t.nodes[i]->requests.size() == before[i]);
            }
        }
    }
    REQUIRE(t.program.waitUntil([&] { return answerCount == sentCount; }));
    const long long acceptedCount = t.program.readCounter("files_accepted");
    CHECK_MESSAGE(acceptedCount > 200, acceptedCount);
    CHECK(okCount == sentCount);          // no request was lost, failed or refused
    CHECK(t.nodes[4]->requests.empty());  // no incomplete version was ever in force
    std::map<std::string, int> countById;
    for (const auto& node : t.nodes)
        for (const ParsedHttpMessage& request : node->requests) ++countById[request.header("Req-Id")];
    for (const auto& [id, count] : countById) CHECK_MESSAGE(count == 1, id);
    CHECK(t.program.stopAndWait() == 0);
}

TEST_CASE("files: of ten versions in a row the last comes into force; two parts do so together") {
    NodeFileHarness t;
    t.program.nodesSection["path"] = t.folder();
    t.writeFile(t.versionText(1, {0, 1, 2}));
    t.program.start();
    REQUIRE(t.waitUntilInForce(1));
    for (std::uint64_t v = 2; v <= 11; ++v) t.writeFile(t.versionText(v, {0, 1, 2, 3}));
    CHECK(t.waitUntilInForce(11));
    const auto writePart = [&](const std::string& name, std::uint64_t v, int first) {
        const std::string text = "version: " + std::to_string(v) + "\ncount: 2\npart: \"" + name +
                                 "\"\nparts: \"a\" parts: \"b\"\n" + t.nodeEntry(first) +
                                 t.nodeEntry(first + 2);
        std::ofstream(t.folder() + '/' + name + ".textproto") << files::withTrailer(text, v);
    };
    fs::remove(t.file());
    writePart("a", 12, 0);
    CHECK(t.waitUntilReported("part \"b\" is not there"));
    writePart("b", 12, 1);
    CHECK(t.waitUntilInForce(12));
    CHECK(t.countServed(4) == 4);
}

TEST_CASE("files: holders share a shard's requests by weight, and the death of one fails none") {
    NodeFileHarness t;
    const auto weightedVersion = [&](std::uint64_t v, const std::string& extraFields) {
        return files::withTrailer("version: " + std::to_string(v) + "\ncount: 3\n" +
                                      t.nodeEntry(0, extraFields) + t.nodeEntry(1) + t.nodeEntry(2),
                                  v);
    };
    t.writeFile(weightedVersion(1, "weight: 2 "));
    t.program.start();
    REQUIRE(t.waitUntilInForce(1));
    const auto requestForPiece = [&](int i) {
        std::string text = t.program.makeRequest("w" + std::to_string(++t.requestCount));
        char name[17];
        std::snprintf(name, sizeof name, "%016x", i);
        return text.replace(text.find("7f3a9c21e0b4d655"), 16, name);
    };
    std::map<std::string, std::size_t> places;  // by piece: the node that received its request
    const auto servingNode = [&](int i) {
        std::vector<std::size_t> before;
        for (const auto& node : t.nodes) before.push_back(node->requests.size());
        CHECK(t.program.sendRequest(requestForPiece(i)).statusCode() == 200);
        for (std::size_t n = 0; n < t.nodes.size(); ++n)
            if (t.nodes[n]->requests.size() > before[n]) return n;
        return t.nodes.size();
    };
    std::vector<std::size_t> firstNodes;
    for (int i = 0; i < 60; ++i) firstNodes.push_back(servingNode(i));
    for (int i = 0; i < 60; i += 7) CHECK(servingNode(i) == firstNodes[static_cast<std::size_t>(i)]);
    const auto pieceCount = [&](std::size_t n) {
        return std::count(firstNodes.begin(), firstNodes.end(), n);
    };
    CHECK(pieceCount(0) > pieceCount(1));
    CHECK(pieceCount(1) > 5);
    CHECK(pieceCount(2) > 5);
    CHECK(pieceCount(3) == 0);
    // Node 1 dies: other nodes serve its pieces, and all other pieces keep their node.
    t.nodes[1] = std::make_unique<StubHttpNode>(t.program.base.get(), replyWithRequestId);
    for (int i = 0; i < 60; ++i) {
        const std::size_t node = servingNode(i);
        if (firstNodes[static_cast<std::size_t>(i)] != 1)
            CHECK(node == firstNodes[static_cast<std::size_t>(i)]);
        CHECK(node != 1);
    }
    CHECK(t.program.stopAndWait() == 0);
}

TEST_CASE("files: the JSON log stays valid whatever a file contains") {
    NodeFileHarness t;
    t.writeFile(t.versionText(1, {0}));
    t.program.extraArguments = {"--log", "json"};
    t.program.start();
    REQUIRE(t.waitUntilInForce(1));
    t.writeFile(files::withTrailer(
        "version: 2\ncount: 1\nnode { name: \"\\n\\\"\\377\" dial: \"x\" shard: 1 }\n", 2));
    REQUIRE(t.waitUntilReported("is not 1 to 128 letters"));
    CHECK(t.program.stopAndWait() == 0);
    std::istringstream log(t.program.log);
    int lines = 0, refusals = 0;
    for (std::string line; std::getline(log, line); ++lines) {
        const Json json = Json::parse(line, nullptr, false);
        CHECK_MESSAGE(json.is_object(), line);
        refusals += json.value("message", "") == "not taken";
        for (const char* key : {"time", "level", "part", "message"}) CHECK(json.contains(key));
    }
    CHECK(lines > 4);
    CHECK(refusals >= 1);
}

TEST_CASE("files: a node that returns is still warm, one replaced under its name starts cold") {
    NodeFileHarness t;
    t.program.config["settings"]["Rules"].update(
        {{"ColdShare", 0.25}, {"WarmWithinMs", 20000}, {"FallMs", 1000}});
    t.program.config["settings"]["FamilyInfo"]["ColdUnits"] = 8;
    t.program.nodesSection["depart_s"] = 30;
    t.writeFile(t.versionText(1, {0, 1, 2, 3}));
    t.program.start();
    REQUIRE(t.waitUntilInForce(1));
    // Returns the units that a node gets of a burst that is too large for a cold node.
    const auto unitsInBurst = [&](std::size_t node) {
        const std::size_t before = t.nodes[node]->requests.size();
        for (int i = 0; i < 80; ++i) {
            std::string text = t.program.makeRequest("b" + std::to_string(++t.requestCount));
            char name[17];
            std::snprintf(name, sizeof name, "%016x", i);
            t.program.connect().send(text.replace(text.find("7f3a9c21e0b4d655"), 16, name));
        }
        (void)t.program.waitUntil([] { return false; }, 600);
        return 2 * (t.nodes[node]->requests.size() - before);
    };
    REQUIRE(unitsInBurst(3) > 20);
    t.writeFile(t.versionText(2, {0, 1, 2}));
    REQUIRE(t.waitUntilInForce(2));
    t.writeFile(t.versionText(3, {0, 1, 2, 3}));
    REQUIRE(t.waitUntilInForce(3));
    CHECK(unitsInBurst(3) > 20);  // the same process, so it is warm
    t.nodes[3] = std::make_unique<StubHttpNode>(t.program.base.get(), replyWithRequestId);
    t.writeFile(t.versionText(4, {0, 1, 2, 3}));  // the same name with another address
    REQUIRE(t.waitUntilInForce(4));
    CHECK(unitsInBurst(3) <= 16);  // limited by the settings for cold nodes
}
