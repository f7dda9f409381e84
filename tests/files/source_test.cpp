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

struct FileWorld {
    FileWorld() {
        for (int i = 0; i < 4; ++i)
            nodes.push_back(std::make_unique<StubHttpNode>(world.base.get(), replyWithRequestId));
        world.config.erase("discovery");
        fs::create_directory(dir());
        world.nodesSection = {{"path", file()}, {"depart_s", 1}, {"look_s", 0.2}};
    }
    std::string dir() const { return world.folder() + "/nodes.d"; }
    std::string file() const { return dir() + "/nodes.textproto"; }
    std::string entry(int i, const std::string& more = "") const {
        return "node { name: \"s-" + std::to_string(i) + "\" dial: \"" +
               nodes[i]->listener.address.toString() + "\" shard: 5 rack: \"r" + std::to_string(i % 2) +
               "\" " + more + "}\n";
    }
    /// The text of a version with these nodes and with `more` before them.
    std::string version(std::uint64_t number, const std::vector<int>& which,
                        const std::string& more = "") const {
        std::string out =
            "version: " + std::to_string(number) + "\ncount: " + std::to_string(which.size()) + '\n' + more;
        for (const int i : which) out += entry(i);
        return files::withTrailer(out, number);
    }
    void put(const std::string& text) const { std::ofstream(file()) << text; }
    std::string status() { return world.sendRequest("GET /nodes HTTP/1.1\r\nHost: b\r\n\r\n").body; }
    bool inForce(std::uint64_t number) {
        return world.waitUntil(
            [&] { return status().starts_with("version " + std::to_string(number) + " in force"); });
    }
    bool refused(const std::string& reason) {
        return world.waitUntil([&] { return status().find(reason) != std::string::npos; });
    }
    int served(int requests) {
        int good = 0;
        for (int i = 0; i < requests; ++i)
            good += world.sendRequest(world.makeRequest("q" + std::to_string(++asked))).statusCode() == 200;
        return good;
    }
    ProgramHarness world;
    std::vector<std::unique_ptr<StubHttpNode>> nodes;
    int asked = 0;
};

}  // namespace

TEST_CASE("files: a newer version replaces the first, and an invalid one changes nothing") {
    FileWorld t;
    t.put(t.version(1, {0}));
    t.world.start();
    CHECK(t.inForce(1));
    CHECK(t.served(3) == 3);
    CHECK(t.nodes[0]->requests.size() == 3);
    t.put(t.version(2, {1}, "permit { from_version: 1 rack: \"r0\" }\n"));
    CHECK(t.inForce(2));
    CHECK(t.served(3) == 3);
    CHECK(t.nodes[0]->requests.size() == 3);
    t.put("version: 3\ncount: 1\nnode { name: \"x\" dial: \"nowhere\" shard: 5 }\n");
    CHECK(t.refused("no line that begins with \"end {\""));
    t.put(files::withTrailer("version: 3\ncount: 1\nnode { name: \"x\" dial: \"nowhere\" shard: 5 }\n", 3));
    CHECK(t.refused("nodes.textproto:3:1: dial: \"nowhere\" is not host:port"));
    CHECK(t.served(3) == 3);
    CHECK(t.world.readCounter("files_refused") >= 1);
    CHECK(t.world.log.find("nodes: not taken version=3 in_force=2 reason=") != std::string::npos);
    // SIGUSR1 logs the same refusal.
    t.world.sendSignal(SIGUSR1);
    CHECK(t.world.waitUntil([&] { return t.world.log.find("refusal=") != std::string::npos; }));
    CHECK(t.world.stopAndWait() == 0);
}

TEST_CASE("files: a version that removes a rack is refused, unless a permit allows it") {
    FileWorld t;
    t.put(t.version(1, {0, 1, 2, 3}));
    t.world.start();
    REQUIRE(t.inForce(1));
    t.put(t.version(2, {0, 2}));
    CHECK(t.refused("every node of rack \"r1\""));
    t.put(t.version(3, {0, 2}, "permit { from_version: 1 rack: \"r1\" fleet_part: 0.5 }\n"));
    CHECK(t.inForce(3));
}

TEST_CASE("files: the program is ready only once it has read a complete version") {
    FileWorld t;
    t.put(t.version(1, {0}).substr(0, 60));
    t.world.startUntilAnswering();
    CHECK(t.world.sendRequest("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n").statusCode() == 503);
    CHECK(t.world.sendRequest(t.world.makeRequest("early", "", 400)).statusCode() == 503);
    t.put(t.version(1, {0}));
    CHECK(t.world.waitUntil(
        [&] { return t.world.sendRequest("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n").statusCode() == 200; }));
    CHECK(t.served(1) == 1);
}

TEST_CASE("files: anything that is not a node file is reported and changes nothing") {
    FileWorld t;
    t.put(t.version(1, {0}));
    t.world.start();
    REQUIRE(t.inForce(1));
    const auto replace = [&](const auto& make) {
        fs::remove_all(t.file());
        make();
    };
    SUBCASE("NUL bytes") {
        t.put(std::string(100'000, '\0'));
        CHECK(t.refused("half written, or not sealed"));
    }
    SUBCASE("60 MB") {
        t.put("");
        fs::resize_file(t.file(), 60'000'000);
        CHECK(t.refused("60000000 bytes, at most"));
    }
    SUBCASE("a FIFO") {
        replace([&] { REQUIRE(mkfifo(t.file().c_str(), 0600) == 0); });
        CHECK(t.refused("is not a regular file"));
    }
    SUBCASE("a link to itself") {
        replace([&] { fs::create_symlink("nodes.textproto", t.file()); });
        CHECK(t.refused("cannot be opened: Too many levels of symbolic links"));
    }
    SUBCASE("a folder, which stands for the files in it") {
        replace([&] { fs::create_directory(t.file()); });
        CHECK(t.refused("no files of nodes are there"));
    }
    SUBCASE("the folder deleted and recreated") {
        fs::remove_all(t.dir());
        CHECK(t.refused("cannot be opened"));
        CHECK(t.served(2) == 2);
        fs::create_directory(t.dir());
    }
    CHECK(t.served(2) == 2);
    fs::remove_all(t.file());
    t.put(t.version(2, {0, 1}));
    CHECK(t.inForce(2));
    CHECK(t.served(2) == 2);
}

TEST_CASE("files: a restart with an incomplete file starts from the kept version and logs that") {
    FileWorld t;
    t.world.nodesSection["keep"] = t.world.folder() + "/kept";
    t.put(t.version(4, {0, 1}));
    t.world.start();
    REQUIRE(t.inForce(4));
    REQUIRE(t.world.waitUntil([&] { return fs::exists(t.world.folder() + "/kept"); }));
    SUBCASE("killed during a rewrite") {
        t.put(t.version(5, {0, 1, 2}).substr(0, 100));
        CHECK(t.world.stopAndWait(SIGKILL) == 128 + SIGKILL);
        t.world.start();
        CHECK(t.status().find("from the kept copy") != std::string::npos);
        CHECK(t.world.log.find("taken from the kept copy version=4") != std::string::npos);
        CHECK(t.served(2) == 2);
        t.put(t.version(5, {0, 1, 2}));
        CHECK(t.inForce(5));
    }
    SUBCASE("a corrupted kept version is not used") {
        CHECK(t.world.stopAndWait() == 0);
        fs::resize_file(t.world.folder() + "/kept", 100);
        t.world.start();
        CHECK(t.world.log.find("kept version not used") != std::string::npos);
        CHECK(t.inForce(4));  // from the file itself
    }
}

// Rewrites the file under traffic in different ways, often only partly, while the program is stopped and
// resumed in between. Guards against bringing a partly written version into force. The versions name two
// pairs of the four nodes in turn, and the requests that each node received show which version was in force.
TEST_CASE("files: a thousand rewrites under traffic") {
    FileWorld t;
    t.nodes.push_back(std::make_unique<StubHttpNode>(t.world.base.get(), replyWithRequestId));
    std::mt19937_64 random(20261202);
    MESSAGE("seed 20261202");
    const auto pair = [](std::uint64_t v) {
        return v % 2 == 0 ? std::vector<int>{0, 1} : std::vector<int>{2, 3};
    };
    const std::string permit = "permit { from_version: ";
    std::uint64_t inForce = 1;
    t.world.nodesSection["most_lost"] = 1;
    t.put(t.version(1, {0, 1, 2, 3}));
    t.world.start();
    REQUIRE(t.inForce(1));

    int answered = 0, good = 0, sent = 0;
    std::list<TestConnection> clients;
    const auto send = [&] {
        TestConnection& wire = clients.emplace_back(t.world.base.get(), t.world.listenAddress);
        wire.onData = [&](TestConnection& w) {
            while (const auto answer = takeHttpMessage(w.received)) {
                ++answered;
                good += answer->statusCode() == 200;
            }
        };
        wire.send(t.world.makeRequest("t" + std::to_string(++sent)));
    };
    const std::string link = t.world.folder() + "/now";
    std::uint64_t number = 1;
    const auto version = [&] {
        ++number;
        // Each version removes all nodes of the one before, so it permits that from any version since the
        // last checkpoint.
        std::string permits;
        for (std::uint64_t from = inForce; from < number; ++from)
            permits +=
                permit + std::to_string(from) + " rack: \"r0\" rack: \"r1\" shard: 5 fleet_part: 1 }\n";
        return t.version(number, pair(number), permits);
    };
    for (int round = 0; round < 1000; ++round) {
        const std::string text = version();
        const std::size_t cut = random() % text.size();
        switch (random() % 6) {
            case 0:  // truncated, then in most cases written completely
                t.put(text.substr(0, cut));
                if (random() % 3 != 0) t.put(text);
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
                std::ofstream(t.dir() + "/next") << text;
                fs::rename(t.dir() + "/next", t.file());
                break;
            case 3: {  // left incomplete, with a node that no complete version names
                const std::string half = t.version(
                    number, {4}, text.substr(text.find("permit"), text.find("node {") - text.find("permit")));
                t.put(half.substr(0, half.size() - 3 - random() % (half.size() / 2)));
                break;
            }
            case 4:  // deleted and recreated
                fs::remove(t.file());
                t.put(text);
                break;
            case 5:  // replaced by a symbolic link
                std::ofstream(t.dir() + "/v" + std::to_string(round % 2)) << text;
                fs::remove(t.dir() + "/link");
                fs::create_symlink("v" + std::to_string(round % 2), t.dir() + "/link");
                fs::rename(t.dir() + "/link", t.file());
                break;
        }
        if (round % 50 == 7) t.world.sendSignal(SIGSTOP);
        if (round % 50 == 9) t.world.sendSignal(SIGCONT);
        if (round % 4 == 0) send();
        (void)t.world.waitUntil([] { return false; }, 1);
        if (round % 100 == 99) {
            // Checkpoint: after a complete version has come into force, only its nodes get requests.
            fs::remove(t.file());
            t.put(version());
            REQUIRE(t.inForce(number));
            inForce = number;
            REQUIRE(t.world.waitUntil([&] { return answered == sent; }));
            std::vector<std::size_t> before;
            for (const auto& node : t.nodes) before.push_back(node->requests.size());
            CHECK(t.served(4) == 4);
            for (int i = 0; i < 4; ++i) {
                const bool named = i == pair(number)[0] || i == pair(number)[1];
                if (!named) CHECK(t.nodes[i]->requests.size() == before[i]);
            }
        }
    }
    REQUIRE(t.world.waitUntil([&] { return answered == sent; }));
    const long long swaps = t.world.readCounter("files_accepted");
    CHECK_MESSAGE(swaps > 200, swaps);
    CHECK(good == sent);                  // no request was lost, failed or refused
    CHECK(t.nodes[4]->requests.empty());  // no incomplete version was ever in force
    std::map<std::string, int> seen;
    for (const auto& node : t.nodes)
        for (const ParsedHttpMessage& request : node->requests) ++seen[request.header("Req-Id")];
    for (const auto& [id, times] : seen) CHECK_MESSAGE(times == 1, id);
    CHECK(t.world.stopAndWait() == 0);
}

TEST_CASE("files: of ten versions in a row the last comes into force; two parts do so together") {
    FileWorld t;
    t.world.nodesSection["path"] = t.dir();
    t.put(t.version(1, {0, 1, 2}));
    t.world.start();
    REQUIRE(t.inForce(1));
    for (std::uint64_t v = 2; v <= 11; ++v) t.put(t.version(v, {0, 1, 2, 3}));
    CHECK(t.inForce(11));
    const auto part = [&](const std::string& name, std::uint64_t v, int first) {
        const std::string text = "version: " + std::to_string(v) + "\ncount: 2\npart: \"" + name +
                                 "\"\nparts: \"a\" parts: \"b\"\n" + t.entry(first) + t.entry(first + 2);
        std::ofstream(t.dir() + '/' + name + ".textproto") << files::withTrailer(text, v);
    };
    fs::remove(t.file());
    part("a", 12, 0);
    CHECK(t.refused("part \"b\" is not there"));
    part("b", 12, 1);
    CHECK(t.inForce(12));
    CHECK(t.served(4) == 4);
}

TEST_CASE("files: holders share a shard's requests by weight, and the death of one fails none") {
    FileWorld t;
    const auto weighted = [&](std::uint64_t v, const std::string& first) {
        return files::withTrailer(
            "version: " + std::to_string(v) + "\ncount: 3\n" + t.entry(0, first) + t.entry(1) + t.entry(2),
            v);
    };
    t.put(weighted(1, "weight: 2 "));
    t.world.start();
    REQUIRE(t.inForce(1));
    const auto piece = [&](int i) {
        std::string text = t.world.makeRequest("w" + std::to_string(++t.asked));
        char name[17];
        std::snprintf(name, sizeof name, "%016x", i);
        return text.replace(text.find("7f3a9c21e0b4d655"), 16, name);
    };
    std::map<std::string, std::size_t> places;  // by piece: the node that received its request
    const auto place = [&](int i) {
        std::vector<std::size_t> before;
        for (const auto& node : t.nodes) before.push_back(node->requests.size());
        CHECK(t.world.sendRequest(piece(i)).statusCode() == 200);
        for (std::size_t n = 0; n < t.nodes.size(); ++n)
            if (t.nodes[n]->requests.size() > before[n]) return n;
        return t.nodes.size();
    };
    std::vector<std::size_t> first;
    for (int i = 0; i < 60; ++i) first.push_back(place(i));
    for (int i = 0; i < 60; i += 7) CHECK(place(i) == first[static_cast<std::size_t>(i)]);
    const auto of = [&](std::size_t n) { return std::count(first.begin(), first.end(), n); };
    CHECK(of(0) > of(1));
    CHECK(of(1) > 5);
    CHECK(of(2) > 5);
    CHECK(of(3) == 0);
    // Node 1 dies: other nodes serve its pieces, and all other pieces keep their node.
    t.nodes[1] = std::make_unique<StubHttpNode>(t.world.base.get(), replyWithRequestId);
    for (int i = 0; i < 60; ++i) {
        const std::size_t now = place(i);
        if (first[static_cast<std::size_t>(i)] != 1) CHECK(now == first[static_cast<std::size_t>(i)]);
        CHECK(now != 1);
    }
    CHECK(t.world.stopAndWait() == 0);
}

TEST_CASE("files: the JSON log stays valid whatever a file contains") {
    FileWorld t;
    t.put(t.version(1, {0}));
    t.world.extraArguments = {"--log", "json"};
    t.world.start();
    REQUIRE(t.inForce(1));
    t.put(files::withTrailer("version: 2\ncount: 1\nnode { name: \"\\n\\\"\\377\" dial: \"x\" shard: 1 }\n",
                             2));
    REQUIRE(t.refused("is not 1 to 128 letters"));
    CHECK(t.world.stopAndWait() == 0);
    std::istringstream log(t.world.log);
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
    FileWorld t;
    t.world.config["settings"]["Rules"].update(
        {{"ColdShare", 0.25}, {"WarmWithinMs", 20000}, {"FallMs", 1000}});
    t.world.config["settings"]["FamilyInfo"]["ColdUnits"] = 8;
    t.world.nodesSection["depart_s"] = 30;
    t.put(t.version(1, {0, 1, 2, 3}));
    t.world.start();
    REQUIRE(t.inForce(1));
    const auto units = [&](std::size_t node) {  // units that it gets of a burst too large for a cold node
        const std::size_t before = t.nodes[node]->requests.size();
        for (int i = 0; i < 80; ++i) {
            std::string text = t.world.makeRequest("b" + std::to_string(++t.asked));
            char name[17];
            std::snprintf(name, sizeof name, "%016x", i);
            t.world.connect().send(text.replace(text.find("7f3a9c21e0b4d655"), 16, name));
        }
        (void)t.world.waitUntil([] { return false; }, 600);
        return 2 * (t.nodes[node]->requests.size() - before);
    };
    REQUIRE(units(3) > 20);
    t.put(t.version(2, {0, 1, 2}));
    REQUIRE(t.inForce(2));
    t.put(t.version(3, {0, 1, 2, 3}));
    REQUIRE(t.inForce(3));
    CHECK(units(3) > 20);  // the same process, so it is warm
    t.nodes[3] = std::make_unique<StubHttpNode>(t.world.base.get(), replyWithRequestId);
    t.put(t.version(4, {0, 1, 2, 3}));  // the same name with another address
    REQUIRE(t.inForce(4));
    CHECK(units(3) <= 16);  // limited by the settings for cold nodes
}
