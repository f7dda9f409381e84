// Reads a whole regular file into memory, and nothing else: a FIFO, a directory or a device is not waited on.
#pragma once

#include <cstddef>
#include <string>

namespace martencove::files {

struct FileContent {
    std::string bytes;
    std::string error;     ///< empty: it was read
    bool missing = false;  ///< there is no such file
};

/// `most` in bytes: a longer file is not read. Never throws on what the file is. What is read while a writer
/// is at work may be any mixture: the file's seal shows it.
[[nodiscard]] FileContent readRegularFile(const std::string& path, std::size_t most);

/// Writes `bytes` beside `path`, makes them durable and puts them in its place: a reader, and a start after a
/// crash, find the old content or the new. Returns why not; empty: done. On a failure the old content stands.
[[nodiscard]] std::string writeFileAtomically(const std::string& path, const std::string& bytes);

}  // namespace martencove::files
