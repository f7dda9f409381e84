// Reads whole regular files into memory and replaces files atomically. Anything that is not a regular file (a
// FIFO, a directory, a device) is refused without blocking on it.
#pragma once

#include <cstddef>
#include <string>

namespace martencove::files {

/// The result of reading a file.
struct FileContent {
    std::string bytes;
    std::string error;     ///< why the file was not read; empty on success
    bool missing = false;  ///< the file does not exist
};

/// Reads the regular file at `path` if it has at most `maxBytes` bytes. Reports every problem with the file
/// in `error` and throws nothing for it. A file that is read while it is being written may come out as any
/// mixture of old and new content; the trailer of a node file (see node_file.h) detects that.
[[nodiscard]] FileContent readRegularFile(const std::string& path, std::size_t maxBytes);

/// Writes `bytes` to `path`.new, syncs it and renames it over `path`, so that a reader, or a start after a
/// crash, finds either the old content or the new. Returns an error text, or an empty string on success.
/// After a failed write the old content is still in place.
[[nodiscard]] std::string writeFileAtomically(const std::string& path, const std::string& bytes);

}  // namespace martencove::files
