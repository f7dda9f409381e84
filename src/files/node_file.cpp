#include "files/node_file.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <stdexcept>

#include "files/file_io.h"
#include "files/text_format.h"
#include "nodes.pb.h"

namespace martencove::files {
namespace {

namespace pb = google::protobuf;
using membership::ParsedNodeFile;
using membership::Severity;

std::string sha256(std::string_view bytes) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
    unsigned size = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), hash.data(), &size, EVP_sha256(), nullptr) != 1)
        throw std::runtime_error("sha256 is not available");
    std::string out;
    for (unsigned i = 0; i < size; ++i) {
        out += "0123456789abcdef"[hash[i] >> 4];
        out += "0123456789abcdef"[hash[i] & 15];
    }
    return out;
}

membership::Problem problemOf(const TextParseError& error, const std::string& file, Severity severity) {
    return {{file, error.line, error.column}, error.reason, severity};
}

membership::Member memberOf(const Node& node) {
    membership::Member out;
    out.name = node.name();
    out.address = node.dial();
    // A shard that is missing or above INT_MAX becomes -1, which the membership checks refuse.
    out.shard =
        node.has_shard() && node.shard() <= static_cast<std::uint32_t>(std::numeric_limits<int>::max())
            ? static_cast<int>(node.shard())
            : -1;
    out.weight = node.has_weight() ? node.weight() : 1;
    out.rack = node.rack();
    out.state = node.state() == DRAINING ? membership::MemberState::draining : membership::MemberState::ready;
    out.bootTimeMs = static_cast<double>(node.born_ms());
    return out;
}

void fill(const NodeFile& in, const pb::TextFormat::ParseInfoTree& tree, ParsedNodeFile& out) {
    out.version = in.version();
    out.trailerVersion = in.end().version();
    out.declaredCount = in.count();
    out.partName = in.part();
    out.partNames = {in.parts().begin(), in.parts().end()};
    for (const Permit& permit : in.permit()) {
        membership::RemovalPermit p{
            permit.from_version(), {permit.rack().begin(), permit.rack().end()}, {}, permit.fleet_part()};
        for (const std::uint32_t shard : permit.shard()) p.shards.push_back(static_cast<int>(shard));
        out.permits.push_back(std::move(p));
    }
    const pb::FieldDescriptor* field = in.GetDescriptor()->FindFieldByNumber(NodeFile::kNodeFieldNumber);
    out.members.reserve(static_cast<std::size_t>(in.node_size()));
    for (int i = 0; i < in.node_size(); ++i) {
        const auto at = tree.GetLocation(field, i);
        out.members.push_back({memberOf(in.node(i)), in.node(i).has_born_ms(), at.line + 1, at.column + 1});
    }
}

std::string printed(const pb::Message& message) {
    std::string text;
    pb::TextFormat::Printer printer;
    if (!printer.PrintToString(message, &text))
        throw std::runtime_error("protobuf message cannot be printed in text format");
    return text;
}

}  // namespace

FileTrailer parseTrailer(std::string_view bytes) {
    FileTrailer out;
    // Only the last such line counts: an older, longer version may have left a trailer further up.
    constexpr std::string_view kEnd = "\nend {";
    const std::size_t at = bytes.rfind(kEnd);
    out.found = at != bytes.npos;
    out.bodyBytes = out.found ? at + 1 : bytes.size();
    out.digest = sha256(bytes.substr(0, out.bodyBytes));
    if (!out.found) return out;
    const std::string_view line = bytes.substr(out.bodyBytes);
    const std::size_t close = line.find('}');
    if (close == line.npos || line.find_first_not_of(" \t\r\n", close + 1) != line.npos) return out;
    const std::size_t hash = line.find("sha256: \"" + out.digest + '"');
    out.isValid = hash != line.npos && hash < close;
    return out;
}

ParsedNodeFile decodeNodeFile(const std::string& file, std::string_view bytes, bool wholeOnly) {
    ParsedNodeFile out;
    out.file = file;
    const FileTrailer seal = parseTrailer(bytes);
    out.digest = seal.digest;
    const std::string broken =
        !seal.found ? "no line that begins with \"end {\": half written, or not sealed"
                    : "the sha256 in the last line does not match the content before it: half written, or "
                      "edited without being sealed again";
    if (!seal.isValid && wholeOnly) {
        out.problems.emplace_back(membership::SourceLocation{file, 0, 0}, broken, Severity::incomplete);
        return out;
    }
    if (bytes.size() > std::numeric_limits<int>::max() / 2) {
        out.problems.emplace_back(membership::SourceLocation{file, 0, 0}, "too long to be parsed");
        return out;
    }
    NodeFile message;
    pb::TextFormat::ParseInfoTree tree;
    // Under a valid trailer the content is complete, so waiting does not cure an error in it.
    const Severity severity = seal.isValid ? Severity::refused : Severity::incomplete;
    if (const auto error = parseTextFormat(bytes, message, &tree))
        out.problems.push_back(problemOf(*error, file, severity));
    else
        fill(message, tree, out);
    if (!seal.isValid)
        out.problems.emplace_back(membership::SourceLocation{file, 0, 0}, broken, Severity::incomplete);
    return out;
}

std::vector<ParsedNodeFile> readNodeFiles(const std::vector<std::string>& files, std::size_t most,
                                          bool wholeOnly) {
    std::vector<ParsedNodeFile> out;
    for (const std::string& file : files) {
        const FileContent content = readRegularFile(file, most);
        most -= std::min(content.bytes.size(), most);
        if (content.error.empty()) {
            out.push_back(decodeNodeFile(file, content.bytes, wholeOnly));
            continue;
        }
        ParsedNodeFile unread;
        unread.file = file;
        unread.problems.emplace_back(membership::SourceLocation{file, 0, 0}, content.error,
                                     content.missing ? Severity::incomplete : Severity::refused);
        out.push_back(std::move(unread));
    }
    return out;
}

std::string withTrailer(const std::string& body, std::uint64_t version) {
    const std::string whole = body.empty() || body.back() == '\n' ? body : body + '\n';
    return whole + "end { version: " + std::to_string(version) + " sha256: \"" + sha256(whole) + "\" }\n";
}

std::string updateCountAndTrailer(const std::string& file, const std::string& bytes) {
    NodeFile message;
    const std::string old = bytes.substr(0, parseTrailer(bytes).bodyBytes);
    if (const auto error = parseTextFormat(old, message))
        throw std::invalid_argument(problemOf(*error, file, Severity::refused).text());
    if (message.version() == 0)
        throw std::invalid_argument(file + ": version: missing or 0; versions are numbered from 1");
    // Keeps the text as it was written, comments included, and corrects only a wrong count.
    std::string body = old;
    if (message.count() != static_cast<std::uint64_t>(message.node_size())) {
        const std::string count = "count: " + std::to_string(message.node_size());
        const std::size_t at = body.starts_with("count:") ? 0 : body.find("\ncount:");
        if (at == body.npos) {
            body = count + '\n' + body;
        } else {
            const std::size_t from = at == 0 && body.starts_with("count:") ? 0 : at + 1;
            body.replace(from, body.find_first_of("\n#", from) - from, count);
        }
    }
    return withTrailer(body, message.version());
}

std::string encodeKeptVersion(const membership::Membership& membership) {
    KeptVersion out;
    out.set_version(membership.version);
    out.set_digest(membership.digest);
    for (const membership::Member& m : membership.members) {
        if (m.leaving) continue;
        Node& node = *out.add_node();
        node.set_name(m.name);
        node.set_dial(m.address);
        node.set_shard(static_cast<std::uint32_t>(m.shard));
        node.set_weight(m.weight);
        if (!m.rack.empty()) node.set_rack(m.rack);
        if (m.state == membership::MemberState::draining) node.set_state(DRAINING);
        node.set_born_ms(std::llround(m.bootTimeMs));
    }
    return withTrailer(printed(out), membership.version);
}

membership::Membership decodeKeptVersion(std::string_view bytes, std::string& problem) {
    membership::Membership out;
    KeptVersion message;
    if (!parseTrailer(bytes).isValid) {
        problem = "incomplete or altered: no trailer with the sha256 of the content";
    } else if (const auto error = parseTextFormat(bytes, message)) {
        problem = problemOf(*error, "", Severity::refused).text();
    } else if (message.version() == 0 || message.version() != message.end().version()) {
        problem = "version: missing or 0, or not the same in the trailer";
    } else {
        out.version = message.version();
        out.digest = message.digest();
        for (const Node& node : message.node()) out.members.push_back(memberOf(node));
    }
    return out;
}

}  // namespace martencove::files
