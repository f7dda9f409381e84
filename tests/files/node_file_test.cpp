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
#include "files/file_watcher.h"
#include "membership/membership_manager.h"

using namespace martencove;
using namespace martencove::files;
using namespace martencove::membership;
namespace fs = std::filesystem;

namespace {

std::string makeBody(std::uint64_t version, int nodes, const std::string& extraFields = "") {
    std::string out =
        "version: " + std::to_string(version) + "\ncount: " + std::to_string(nodes) + '\n' + extraFields;
    for (int i = 0; i < nodes; ++i)
        out += "node { name: \"n" + std::to_string(i) + "\" dial: \"10.0.0." + std::to_string(i + 1) +
               ":80\" shard: " + std::to_string(i % 3) + " weight: 1.5 rack: \"a\" }\n";
    return out;
}

OfferOutcome offerOutcome(const std::string& bytes, bool skipWithoutTrailer = false) {
    MembershipManager manager{MembershipRules{}};
    return manager.offerVersion({decodeNodeFile("f", bytes, skipWithoutTrailer)}, 1e12).outcome;
}

struct TempFolder {
    TempFolder() {
        std::string name = fs::temp_directory_path() / "martencove-files-XXXXXX";
        REQUIRE(mkdtemp(name.data()) != nullptr);
        path = name;
    }
    ~TempFolder() { fs::remove_all(path); }
    std::string writeFile(const std::string& name, const std::string& text) const {
        std::ofstream(path / name) << text;
        return path / name;
    }
    fs::path path;
};

bool waitForEvent(FileWatcher& watcher) {
    pollfd fd{watcher.fd(), POLLIN, 0};
    return poll(&fd, 1, 10'000) == 1 && watcher.readEvents().anyEvent;
}

}  // namespace

TEST_CASE("a file truncated at any byte is incomplete: neither accepted nor refused") {
    const std::string complete = withTrailer(makeBody(7, 5), 7);
    REQUIRE(offerOutcome(complete) == OfferOutcome::accepted);
    const std::size_t closingBrace = complete.rfind('}');
    for (std::size_t length = 0; length <= closingBrace; ++length) {
        CHECK_MESSAGE(offerOutcome(complete.substr(0, length)) == OfferOutcome::incomplete, length);
        CHECK(offerOutcome(complete.substr(0, length), true) == OfferOutcome::incomplete);
    }
    CHECK(offerOutcome(complete.substr(0, closingBrace + 1)) ==
          OfferOutcome::accepted);  // only the newline is missing
}

TEST_CASE("the start of a new version followed by the rest of the old one is never accepted") {
    const std::string old = withTrailer(makeBody(7, 5), 7);
    for (const std::string& next :
         {withTrailer(makeBody(8, 5), 8), withTrailer(makeBody(8, 4), 8), withTrailer(makeBody(8, 9), 8)}) {
        for (std::size_t position = 1; position < std::min(old.size(), next.size()); ++position) {
            const std::string mixed = next.substr(0, position) + old.substr(position);
            if (mixed == next || mixed == old) continue;
            CHECK(offerOutcome(mixed) != OfferOutcome::accepted);
        }
    }
}

TEST_CASE("an old version partly overwritten with blocks of a new one is never accepted") {
    std::mt19937_64 random(7);
    MESSAGE("seed 7");
    const std::string old = withTrailer(makeBody(7, 40), 7);
    const std::string next = withTrailer(makeBody(8, 40), 8);
    REQUIRE(old.size() == next.size());
    for (int round = 0; round < 300; ++round) {
        std::string mixed = old;
        constexpr std::size_t kBlock = 64;
        for (std::size_t position = 0; position < mixed.size(); position += kBlock)
            if (random() % 2 == 0) mixed.replace(position, kBlock, next.substr(position, kBlock));
        CHECK((mixed == old || mixed == next || offerOutcome(mixed) == OfferOutcome::incomplete));
    }
}

TEST_CASE("an error in a file with a valid trailer is reported with line and column") {
    const auto firstProblem = [](const std::string& bytes) {
        const ParsedNodeFile parsed = decodeNodeFile("f", bytes, false);
        return parsed.problems.empty() ? "" : parsed.problems.front().text();
    };
    CHECK(firstProblem(withTrailer("version: 1\ncount: x\n", 1)).starts_with("f:2:8: "));
    CHECK(firstProblem(withTrailer("version: 1\nnodes { }\n", 1)).starts_with("f:2:"));
    CHECK(decodeNodeFile("f", withTrailer("version: 1\nnodes { }\n", 1), false).problems[0].severity ==
          Severity::refused);
    const ParsedNodeFile parsed = decodeNodeFile(
        "f", withTrailer(makeBody(3, 2, "permit { from_version: 2 rack: \"b\" shard: 4 }\n"), 3), false);
    REQUIRE(parsed.members.size() == 2);
    CHECK(parsed.members[1].line == 5);
    CHECK(parsed.permits.at(0).racks == std::vector<std::string>{"b"});
    CHECK(parsed.permits[0].shards == std::vector<int>{4});
    // A missing shard is not shard 0.
    CHECK(offerOutcome(withTrailer("version: 1\ncount: 1\nnode { name: \"a\" dial: \"h:1\" }\n", 1)) ==
          OfferOutcome::refused);
    for (const std::string& content : {std::string(1000, '\0'), std::string("\xff\xfe\n\n"),
                                       std::string("end {"), std::string("\nend {}"), std::string("{")})
        CHECK(offerOutcome(content) == OfferOutcome::incomplete);
}

TEST_CASE("updateCountAndTrailer keeps the text of a file that was edited by hand") {
    const std::string edited = "# racks as of today\nversion: 4\ncount: 9  # nodes\n" +
                               makeBody(1, 2).substr(makeBody(1, 2).find("node")) + "end { version: 3 }\n";
    const std::string updated = updateCountAndTrailer("f", edited);
    CHECK(offerOutcome(updated) == OfferOutcome::accepted);
    CHECK(updated.starts_with("# racks as of today\nversion: 4\ncount: 2# nodes\n"));
    CHECK(updateCountAndTrailer("f", updated) == updated);
    CHECK_THROWS_AS((void)updateCountAndTrailer("f", "version: x\n"), std::invalid_argument);
}

TEST_CASE("a kept version is decoded unchanged, and a corrupted one is not used") {
    MembershipManager manager{MembershipRules{}};
    REQUIRE(manager.offerVersion({decodeNodeFile("f", withTrailer(makeBody(7, 5), 7), true)}, 1000).outcome ==
            OfferOutcome::accepted);
    const std::string text = encodeKeptVersion(*manager.current());
    std::string problem;
    const Membership decoded = decodeKeptVersion(text, problem);
    CHECK(problem.empty());
    CHECK(decoded.members == manager.current()->members);
    CHECK(decoded.version == 7);
    CHECK(decoded.digest == manager.current()->digest);
    for (std::size_t position = 0; position + 2 < text.size(); position += 7) {
        std::string corrupted = text;
        corrupted[position] = static_cast<char>(corrupted[position] ^ 4);
        problem.clear();
        (void)decodeKeptVersion(corrupted, problem);
        CHECK_MESSAGE(!problem.empty(), position);
    }
}

TEST_CASE("only regular files up to a size limit are read, without blocking") {
    const TempFolder folder;
    CHECK(readRegularFile(folder.writeFile("a", "text"), 4).bytes == "text");
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
    const TempFolder folder;
    const fs::path watchedFolder = folder.path / "conf";
    fs::create_directory(watchedFolder);
    const fs::path file = watchedFolder / "nodes";
    const auto writeFile = [&](const fs::path& path, const std::string& text) {
        std::ofstream(path) << text;
    };
    writeFile(file, "1");
    FileWatcher watcher({file});
    SUBCASE("rewritten in place") { writeFile(file, "2"); }
    SUBCASE("renamed over") {
        writeFile(folder.path / "new", "2");
        fs::rename(folder.path / "new", file);
    }
    SUBCASE("deleted") { fs::remove(file); }
    SUBCASE("its folder deleted") { fs::remove_all(watchedFolder); }
    CHECK(waitForEvent(watcher));
}

TEST_CASE("FileWatcher reports a file in a folder that was deleted and recreated") {
    const TempFolder folder;
    const fs::path watchedFolder = folder.path / "conf";
    fs::create_directory(watchedFolder);
    FileWatcher watcher({watchedFolder / "nodes"});
    fs::remove_all(watchedFolder);
    REQUIRE(waitForEvent(watcher));
    while (watcher.readEvents().anyEvent) {
    }
    fs::create_directory(watchedFolder);
    REQUIRE(waitForEvent(watcher));
    std::ofstream(watchedFolder / "nodes") << "3";
    CHECK(waitForEvent(watcher));
}

TEST_CASE("FileWatcher follows a symbolic link that is switched to another folder") {
    const TempFolder folder;
    for (const char* name : {"v1", "v2", "v3"}) {
        fs::create_directory(folder.path / name);
        std::ofstream(folder.path / name / "nodes") << name;
    }
    fs::create_directory_symlink("v1", folder.path / "now");
    FileWatcher watcher({folder.path / "now" / "nodes"});
    const auto switchLink = [&](const char* newTarget) {
        fs::create_directory_symlink(newTarget, folder.path / "next");
        fs::rename(folder.path / "next", folder.path / "now");
    };
    switchLink("v2");
    REQUIRE(waitForEvent(watcher));
    while (watcher.readEvents().anyEvent) {
    }
    std::ofstream(folder.path / "v2" / "nodes") << "v2 again";  // the link's present target
    CHECK(waitForEvent(watcher));
    while (watcher.readEvents().anyEvent) {
    }
    std::ofstream(folder.path / "v1" / "nodes") << "v1 again";  // a former target
    CHECK(!watcher.readEvents().anyEvent);
    switchLink("v3");
    CHECK(waitForEvent(watcher));
}

TEST_CASE("a folder expands to its textproto files, and the fingerprint shows changes") {
    const TempFolder folder;
    folder.writeFile("b.textproto", "1");
    folder.writeFile("a.textproto", "1");
    folder.writeFile(".hidden.textproto", "1");
    folder.writeFile("a.textproto.new", "1");
    const std::vector<std::string> files = expandPaths({folder.path.string()});
    REQUIRE(files.size() == 2);
    CHECK(files[0].ends_with("/a.textproto"));
    const std::string before = computeFingerprint(files);
    CHECK(computeFingerprint(files) == before);
    folder.writeFile("a.textproto", "22");
    CHECK(computeFingerprint(files) != before);
    CHECK(expandPaths({"/no/such"}) == std::vector<std::string>{"/no/such"});
}
