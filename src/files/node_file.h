// Parses and writes node files (proto/nodes.proto) and the kept copy of the version in force. A node file
// ends with a trailer: a line `end { ... }` that holds the sha256 of all bytes before it.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "membership/membership.h"

namespace martencove::files {

/// The position of a file's trailer and whether it matches the content.
struct FileTrailer {
    std::size_t bodyBytes = 0;  ///< bytes before the line that begins with `end {`
    bool found = false;
    bool isValid = false;  ///< its sha256 matches the bytes before it
    std::string digest;    ///< sha256 of the bytes before it, in hex
};
/// Finds the trailer: the last line that begins with `end {`.
[[nodiscard]] FileTrailer parseTrailer(std::string_view bytes);

/// Parses the content of one node file. A syntax error carries the line and column where the parser stopped.
/// Without a valid trailer it has severity `incomplete`, like the missing or invalid trailer itself, since
/// the file may be in the middle of a write; under a valid trailer it has severity `refused`. With
/// `skipWithoutTrailer`, content without a valid trailer is not parsed at all, which is faster, and its
/// problem has no line.
[[nodiscard]] membership::ParsedNodeFile decodeNodeFile(const std::string& file, std::string_view bytes,
                                                        bool skipWithoutTrailer);

/// Reads and parses all files of a version, at most `maxTotalBytes` bytes in total. A file that cannot be
/// read yields a result with that as its problem.
[[nodiscard]] std::vector<membership::ParsedNodeFile> readNodeFiles(const std::vector<std::string>& files,
                                                                    std::size_t maxTotalBytes,
                                                                    bool skipWithoutTrailer);

/// Returns `body` (all fields but `end`) followed by a trailer for it.
[[nodiscard]] std::string withTrailer(const std::string& body, std::uint64_t version);
/// Corrects `count` and replaces the trailer of a file that was edited by hand; everything else stays as it
/// is, comments included. Throws std::invalid_argument, with line and column, if the body cannot be parsed.
[[nodiscard]] std::string updateCountAndTrailer(const std::string& file, const std::string& bytes);

/// Serializes the version in force, without its leaving nodes, as a KeptVersion in text format with a
/// trailer.
[[nodiscard]] std::string encodeKeptVersion(const membership::Membership& membership);
/// Parses what encodeKeptVersion() returned. On an error sets `problem` and returns an empty membership.
[[nodiscard]] membership::Membership decodeKeptVersion(std::string_view bytes, std::string& problem);

}  // namespace martencove::files
