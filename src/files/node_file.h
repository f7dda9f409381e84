// The form of a file of nodes (proto/nodes.proto): from its bytes to a Draft, and back.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "membership/membership.h"

namespace martencove::files {

/// Where the seal's line begins, and what it says.
struct FileTrailer {
    std::size_t bodyBytes = 0;  ///< bytes before the line that begins with `end {`
    bool found = false;
    bool isValid = false;  ///< its sha256 is that of the bytes before it
    std::string digest;    ///< sha256 of the bytes before it, in hex
};
[[nodiscard]] FileTrailer parseTrailer(std::string_view bytes);

/// Reads one file's content. Every way in which it is not whole is a problem of severity incomplete, with the
/// place where the parser stopped. `wholeOnly`: content whose seal is broken is not parsed, which is quick;
/// the problem then has no place.
[[nodiscard]] membership::ParsedNodeFile decodeNodeFile(const std::string& file, std::string_view bytes,
                                                        bool wholeOnly);

/// All files of a version, `most` bytes together. One that cannot be read is a draft with that as its
/// problem.
[[nodiscard]] std::vector<membership::ParsedNodeFile> readNodeFiles(const std::vector<std::string>& files,
                                                                    std::size_t most, bool wholeOnly);

/// A body (all fields but `end`) with the seal's line behind it.
[[nodiscard]] std::string withTrailer(const std::string& body, std::uint64_t version);
/// The same for a file that has been edited by hand: its count is set, its end is made new. Throws
/// std::invalid_argument, with the place, where the body cannot be read.
[[nodiscard]] std::string updateCountAndTrailer(const std::string& file, const std::string& bytes);

/// A version in force as text, and back. `problem` is empty where the text was whole.
[[nodiscard]] std::string encodeKeptVersion(const membership::Membership& membership);
[[nodiscard]] membership::Membership decodeKeptVersion(std::string_view bytes, std::string& problem);

}  // namespace martencove::files
