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
    unsigned hashBytes = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), hash.data(), &hashBytes, EVP_sha256(), nullptr) != 1)
        throw std::runtime_error("sha256 is not available");
    std::string hex;
    for (unsigned i = 0; i < hashBytes; ++i) {
        hex += "0123456789abcdef"[hash[i] >> 4];
        hex += "0123456789abcdef"[hash[i] & 15];
    }
    return hex;
}

membership::Problem makeProblem(const TextParseError& error, const std::string& file, Severity severity) {
    return {{file, error.line, error.column}, error.reason, severity};
}

membership::Member toMember(const Node& node) {
    membership::Member member;
    member.name = node.name();
    member.address = node.dial();
    // A shard that is missing or above INT_MAX becomes -1, which the membership checks refuse.
    member.shard =
        node.has_shard() && node.shard() <= static_cast<std::uint32_t>(std::numeric_limits<int>::max())
            ? static_cast<int>(node.shard())
            : -1;
    member.weight = node.has_weight() ? node.weight() : 1;
    member.rack = node.rack();
    member.state =
        node.state() == DRAINING ? membership::MemberState::draining : membership::MemberState::ready;
    member.bootTimeMs = static_cast<double>(node.born_ms());
    return member;
}

void convertNodeFile(const NodeFile& message, const pb::TextFormat::ParseInfoTree& positions,
                     ParsedNodeFile& parsed) {
    parsed.version = message.version();
    parsed.trailerVersion = message.end().version();
    parsed.declaredCount = message.count();
    parsed.partName = message.part();
    parsed.partNames = {message.parts().begin(), message.parts().end()};
    for (const Permit& permit : message.permit()) {
        membership::RemovalPermit removalPermit{
            permit.from_version(), {permit.rack().begin(), permit.rack().end()}, {}, permit.fleet_part()};
        for (const std::uint32_t shard : permit.shard())
            removalPermit.shards.push_back(static_cast<int>(shard));
        parsed.permits.push_back(std::move(removalPermit));
    }
    const pb::FieldDescriptor* nodeField =
        message.GetDescriptor()->FindFieldByNumber(NodeFile::kNodeFieldNumber);
    parsed.members.reserve(static_cast<std::size_t>(message.node_size()));
    for (int i = 0; i < message.node_size(); ++i) {
        const auto position = positions.GetLocation(nodeField, i);
        parsed.members.push_back({toMember(message.node(i)), message.node(i).has_born_ms(), position.line + 1,
                                  position.column + 1});
    }
}

std::string printTextFormat(const pb::Message& message) {
    std::string text;
    pb::TextFormat::Printer printer;
    if (!printer.PrintToString(message, &text))
        throw std::runtime_error("protobuf message cannot be printed in text format");
    return text;
}

}  // namespace

FileTrailer parseTrailer(std::string_view bytes) {
    FileTrailer trailer;
    // Only the last such line counts: an older, longer version may have left a trailer further up.
    constexpr std::string_view kTrailerStart = "\nend {";
    const std::size_t start = bytes.rfind(kTrailerStart);
    trailer.found = start != bytes.npos;
    trailer.bodyBytes = trailer.found ? start + 1 : bytes.size();
    trailer.digest = sha256(bytes.substr(0, trailer.bodyBytes));
    if (!trailer.found) return trailer;
    const std::string_view trailerText = bytes.substr(trailer.bodyBytes);
    const std::size_t closingBrace = trailerText.find('}');
    if (closingBrace == trailerText.npos ||
        trailerText.find_first_not_of(" \t\r\n", closingBrace + 1) != trailerText.npos)
        return trailer;
    const std::size_t digestField = trailerText.find("sha256: \"" + trailer.digest + '"');
    trailer.isValid = digestField != trailerText.npos && digestField < closingBrace;
    return trailer;
}

ParsedNodeFile decodeNodeFile(const std::string& file, std::string_view bytes, bool skipWithoutTrailer) {
    ParsedNodeFile parsed;
    parsed.file = file;
    const FileTrailer trailer = parseTrailer(bytes);
    parsed.digest = trailer.digest;
    const std::string trailerProblem =
        !trailer.found ? "no line that begins with \"end {\": half written, or not sealed"
                       : "the sha256 in the last line does not match the content before it: half written, or "
                         "edited without being sealed again";
    if (!trailer.isValid && skipWithoutTrailer) {
        parsed.problems.emplace_back(membership::SourceLocation{file, 0, 0}, trailerProblem,
                                     Severity::incomplete);
        return parsed;
    }
    if (bytes.size() > std::numeric_limits<int>::max() / 2) {
        parsed.problems.emplace_back(membership::SourceLocation{file, 0, 0}, "too long to be parsed");
        return parsed;
    }
    NodeFile message;
    pb::TextFormat::ParseInfoTree positions;
    // Under a valid trailer the content is complete, so waiting does not cure an error in it.
    const Severity severity = trailer.isValid ? Severity::refused : Severity::incomplete;
    if (const auto error = parseTextFormat(bytes, message, &positions))
        parsed.problems.push_back(makeProblem(*error, file, severity));
    else
        convertNodeFile(message, positions, parsed);
    if (!trailer.isValid)
        parsed.problems.emplace_back(membership::SourceLocation{file, 0, 0}, trailerProblem,
                                     Severity::incomplete);
    return parsed;
}

std::vector<ParsedNodeFile> readNodeFiles(const std::vector<std::string>& files, std::size_t maxTotalBytes,
                                          bool skipWithoutTrailer) {
    std::vector<ParsedNodeFile> parsedFiles;
    for (const std::string& file : files) {
        const FileContent content = readRegularFile(file, maxTotalBytes);
        maxTotalBytes -= std::min(content.bytes.size(), maxTotalBytes);
        if (content.error.empty()) {
            parsedFiles.push_back(decodeNodeFile(file, content.bytes, skipWithoutTrailer));
            continue;
        }
        ParsedNodeFile unreadable;
        unreadable.file = file;
        unreadable.problems.emplace_back(membership::SourceLocation{file, 0, 0}, content.error,
                                         content.missing ? Severity::incomplete : Severity::refused);
        parsedFiles.push_back(std::move(unreadable));
    }
    return parsedFiles;
}

std::string withTrailer(const std::string& body, std::uint64_t version) {
    const std::string terminatedBody = body.empty() || body.back() == '\n' ? body : body + '\n';
    return terminatedBody + "end { version: " + std::to_string(version) + " sha256: \"" +
           sha256(terminatedBody) + "\" }\n";
}

std::string updateCountAndTrailer(const std::string& file, const std::string& bytes) {
    NodeFile message;
    const std::string oldBody = bytes.substr(0, parseTrailer(bytes).bodyBytes);
    if (const auto error = parseTextFormat(oldBody, message))
        throw std::invalid_argument(makeProblem(*error, file, Severity::refused).text());
    if (message.version() == 0)
        throw std::invalid_argument(file + ": version: missing or 0; versions are numbered from 1");
    // Keeps the text as it was written, comments included, and corrects only a wrong count.
    std::string body = oldBody;
    if (message.count() != static_cast<std::uint64_t>(message.node_size())) {
        const std::string count = "count: " + std::to_string(message.node_size());
        const std::size_t lineStart = body.starts_with("count:") ? 0 : body.find("\ncount:");
        if (lineStart == body.npos) {
            body = count + '\n' + body;
        } else {
            const std::size_t countStart = lineStart == 0 && body.starts_with("count:") ? 0 : lineStart + 1;
            body.replace(countStart, body.find_first_of("\n#", countStart) - countStart, count);
        }
    }
    return withTrailer(body, message.version());
}

std::string encodeKeptVersion(const membership::Membership& membership) {
    KeptVersion kept;
    kept.set_version(membership.version);
    kept.set_digest(membership.digest);
    for (const membership::Member& member : membership.members) {
        if (member.leaving) continue;
        Node& node = *kept.add_node();
        node.set_name(member.name);
        node.set_dial(member.address);
        node.set_shard(static_cast<std::uint32_t>(member.shard));
        node.set_weight(member.weight);
        if (!member.rack.empty()) node.set_rack(member.rack);
        if (member.state == membership::MemberState::draining) node.set_state(DRAINING);
        node.set_born_ms(std::llround(member.bootTimeMs));
    }
    return withTrailer(printTextFormat(kept), membership.version);
}

membership::Membership decodeKeptVersion(std::string_view bytes, std::string& problem) {
    membership::Membership membership;
    KeptVersion kept;
    if (!parseTrailer(bytes).isValid) {
        problem = "incomplete or altered: no trailer with the sha256 of the content";
    } else if (const auto error = parseTextFormat(bytes, kept)) {
        problem = makeProblem(*error, "", Severity::refused).text();
    } else if (kept.version() == 0 || kept.version() != kept.end().version()) {
        problem = "version: missing or 0, or not the same in the trailer";
    } else {
        membership.version = kept.version();
        membership.digest = kept.digest();
        for (const Node& node : kept.node()) membership.members.push_back(toMember(node));
    }
    return membership;
}

}  // namespace martencove::files
