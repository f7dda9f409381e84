// Tests of the node file format, of reading and writing files and of FileWatcher, without the program.
#include "files/node_file.h"

#include <doctest/doctest.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <random>

#include "files/file_io.h"
#include "files/watch.h"
#include "membership/membership_manager.h"

using namespace martencove;
using namespace martencove::files;
using namespace martencove::membership;
namespace fs = std::filesystem;

namespace {

std::string body(std::uint64_t version, int nodes, const std::string& more = "") {
    std::string out =
        "version: " + std::to_string(version) + "\ncount: " + std::to_string(nodes) + '\n' + more;
    for (int i = 0; i < nodes; ++i)
        out += "node { name: \"n" + std::to_string(i) + "\" dial: \"10.0.0." + std::to_string(i + 1) +
               ":80\" shard: " + std::to_string(i % 3) + " weight: 1.5 rack: \"a\" }\n";
    return out;
}

OfferOutcome offered(const std::string& bytes, bool wholeOnly = false) {
    MembershipManager gate{MembershipRules{}};
    return gate.offerVersion({decodeNodeFile("f", bytes, wholeOnly)}, 1e12).outcome;
}

struct Folder {
    Folder() {
        std::string name = fs::temp_directory_path() / "martencove-files-XXXXXX";
        REQUIRE(mkdtemp(name.data()) != nullptr);
        path = name;
    }
    ~Folder() { fs::remove_all(path); }
    std::string put(const std::string& name, const std::string& text) const {
        std::ofstream(path / name) << text;
        return path / name;
    }
    fs::path path;
};

bool told(FileWatcher& watch) {
    pollfd fd{watch.fd(), POLLIN, 0};
    return poll(&fd, 1, 10'000) == 1 && watch.readEvents().anyEvent;
}

}  // namespace

TEST_CASE("a file truncated at any byte is incomplete: neither accepted nor refused") {
    const std::string whole = withTrailer(body(7, 5), 7);
    REQUIRE(offered(whole) == OfferOutcome::accepted);
    const std::size_t close = whole.rfind('}');
    for (std::size_t cut = 0; cut <= close; ++cut) {
        CHECK_MESSAGE(offered(whole.substr(0, cut)) == OfferOutcome::incomplete, cut);
        CHECK(offered(whole.substr(0, cut), true) == OfferOutcome::incomplete);
    }
    CHECK(offered(whole.substr(0, close + 1)) == OfferOutcome::accepted);  // only the newline is missing
}

TEST_CASE("the start of a new version followed by the rest of the old one is never accepted") {
    const std::string old = withTrailer(body(7, 5), 7);
    for (const std::string& next :
         {withTrailer(body(8, 5), 8), withTrailer(body(8, 4), 8), withTrailer(body(8, 9), 8)}) {
        for (std::size_t at = 1; at < std::min(old.size(), next.size()); ++at) {
            const std::string torn = next.substr(0, at) + old.substr(at);
            if (torn == next || torn == old) continue;
            CHECK(offered(torn) != OfferOutcome::accepted);
        }
    }
}

TEST_CASE("an old version partly overwritten with blocks of a new one is never accepted") {
    std::mt19937_64 random(7);
    MESSAGE("seed 7");
    const std::string old = withTrailer(body(7, 40), 7);
    const std::string next = withTrailer(body(8, 40), 8);
    REQUIRE(old.size() == next.size());
    for (int round = 0; round < 300; ++round) {
        std::string torn = old;
        constexpr std::size_t kBlock = 64;
        for (std::size_t at = 0; at < torn.size(); at += kBlock)
            if (random() % 2 == 0) torn.replace(at, kBlock, next.substr(at, kBlock));
        CHECK((torn == old || torn == next || offered(torn) == OfferOutcome::incomplete));
    }
}

TEST_CASE("an error in a file with a valid trailer is reported with line and column") {
    const auto problem = [](const std::string& bytes) {
        const ParsedNodeFile d = decodeNodeFile("f", bytes, false);
        return d.problems.empty() ? "" : d.problems.front().text();
    };
    CHECK(problem(withTrailer("version: 1\ncount: x\n", 1)).starts_with("f:2:8: "));
    CHECK(problem(withTrailer("version: 1\nnodes { }\n", 1)).starts_with("f:2:"));
    CHECK(decodeNodeFile("f", withTrailer("version: 1\nnodes { }\n", 1), false).problems[0].severity ==
          Severity::refused);
    const ParsedNodeFile d = decodeNodeFile(
        "f", withTrailer(body(3, 2, "permit { from_version: 2 rack: \"b\" shard: 4 }\n"), 3), false);
    REQUIRE(d.members.size() == 2);
    CHECK(d.members[1].line == 5);
    CHECK(d.permits.at(0).racks == std::vector<std::string>{"b"});
    CHECK(d.permits[0].shards == std::vector<int>{4});
    // A missing shard is not shard 0.
    CHECK(offered(withTrailer("version: 1\ncount: 1\nnode { name: \"a\" dial: \"h:1\" }\n", 1)) ==
          OfferOutcome::refused);
    for (const std::string& junk : {std::string(1000, '\0'), std::string("\xff\xfe\n\n"),
                                    std::string("end {"), std::string("\nend {}"), std::string("{")})
        CHECK(offered(junk) == OfferOutcome::incomplete);
}

TEST_CASE("updateCountAndTrailer keeps the text of a file that was edited by hand") {
    const std::string edited = "# racks as of today\nversion: 4\ncount: 9  # nodes\n" +
                               body(1, 2).substr(body(1, 2).find("node")) + "end { version: 3 }\n";
    const std::string again = updateCountAndTrailer("f", edited);
    CHECK(offered(again) == OfferOutcome::accepted);
    CHECK(again.starts_with("# racks as of today\nversion: 4\ncount: 2# nodes\n"));
    CHECK(updateCountAndTrailer("f", again) == again);
    CHECK_THROWS_AS((void)updateCountAndTrailer("f", "version: x\n"), std::invalid_argument);
}

TEST_CASE("a kept version is decoded unchanged, and a corrupted one is not used") {
    MembershipManager gate{MembershipRules{}};
    REQUIRE(gate.offerVersion({decodeNodeFile("f", withTrailer(body(7, 5), 7), true)}, 1000).outcome ==
            OfferOutcome::accepted);
    const std::string text = encodeKeptVersion(*gate.current());
    std::string problem;
    const Membership back = decodeKeptVersion(text, problem);
    CHECK(problem.empty());
    CHECK(back.members == gate.current()->members);
    CHECK(back.version == 7);
    CHECK(back.digest == gate.current()->digest);
    for (std::size_t at = 0; at + 2 < text.size(); at += 7) {
        std::string spoilt = text;
        spoilt[at] = static_cast<char>(spoilt[at] ^ 4);
        problem.clear();
        (void)decodeKeptVersion(spoilt, problem);
        CHECK_MESSAGE(!problem.empty(), at);
    }
}

TEST_CASE("only regular files up to a size limit are read, without blocking") {
    const Folder folder;
    CHECK(readRegularFile(folder.put("a", "text"), 4).bytes == "text");
    CHECK(readRegularFile(folder.path / "a", 3).error.find("at most 3") != std::string::npos);
    CHECK(readRegularFile(folder.path, 9).error == "is a directory");
    CHECK(readRegularFile(folder.path / "none", 9).missing);
    REQUIRE(mkfifo((folder.path / "fifo").c_str(), 0600) == 0);
    CHECK(readRegularFile(folder.path / "fifo", 9).error == "is not a regular file");
    CHECK(readRegularFile("/dev/zero", 9).error == "is not a regular file");
    CHECK(writeFileAtomically(folder.path / "b", "one").empty());
    CHECK(writeFileAtomically(folder.path / "b", "two").empty());
    CHECK(readRegularFile(folder.path / "b", 9).bytes == "two");
    CHECK(!writeFileAtomically(folder.path / "none" / "b", "x").empty());
}

TEST_CASE("FileWatcher reports every way in which a file may change") {
    const Folder folder;
    const fs::path dir = folder.path / "conf";
    fs::create_directory(dir);
    const fs::path file = dir / "nodes";
    const auto write = [&](const fs::path& to, const std::string& text) { std::ofstream(to) << text; };
    write(file, "1");
    FileWatcher watch({file});
    SUBCASE("rewritten in place") { write(file, "2"); }
    SUBCASE("renamed over") {
        write(folder.path / "new", "2");
        fs::rename(folder.path / "new", file);
    }
    SUBCASE("deleted") { fs::remove(file); }
    SUBCASE("its folder deleted") { fs::remove_all(dir); }
    CHECK(told(watch));
}

TEST_CASE("FileWatcher reports a file in a folder that was deleted and recreated") {
    const Folder folder;
    const fs::path dir = folder.path / "conf";
    fs::create_directory(dir);
    FileWatcher watch({dir / "nodes"});
    fs::remove_all(dir);
    REQUIRE(told(watch));
    while (watch.readEvents().anyEvent) {
    }
    fs::create_directory(dir);
    REQUIRE(told(watch));
    std::ofstream(dir / "nodes") << "3";
    CHECK(told(watch));
}

TEST_CASE("FileWatcher follows a symbolic link that is switched to another folder") {
    const Folder folder;
    for (const char* name : {"v1", "v2", "v3"}) {
        fs::create_directory(folder.path / name);
        std::ofstream(folder.path / name / "nodes") << name;
    }
    fs::create_directory_symlink("v1", folder.path / "now");
    FileWatcher watch({folder.path / "now" / "nodes"});
    const auto turn = [&](const char* to) {
        fs::create_directory_symlink(to, folder.path / "next");
        fs::rename(folder.path / "next", folder.path / "now");
    };
    turn("v2");
    REQUIRE(told(watch));
    while (watch.readEvents().anyEvent) {
    }
    std::ofstream(folder.path / "v2" / "nodes") << "v2 again";  // the link's present target
    CHECK(told(watch));
    while (watch.readEvents().anyEvent) {
    }
    std::ofstream(folder.path / "v1" / "nodes") << "v1 again";  // a former target
    CHECK(!watch.readEvents().anyEvent);
    turn("v3");
    CHECK(told(watch));
}

TEST_CASE("a folder expands to its textproto files, and the fingerprint shows changes") {
    const Folder folder;
    folder.put("b.textproto", "1");
    folder.put("a.textproto", "1");
    folder.put(".hidden.textproto", "1");
    folder.put("a.textproto.new", "1");
    const std::vector<std::string> files = expandPaths({folder.path.string()});
    REQUIRE(files.size() == 2);
    CHECK(files[0].ends_with("/a.textproto"));
    const std::string before = computeFingerprint(files);
    CHECK(computeFingerprint(files) == before);
    folder.put("a.textproto", "22");
    CHECK(computeFingerprint(files) != before);
    CHECK(expandPaths({"/no/such"}) == std::vector<std::string>{"/no/such"});
}
