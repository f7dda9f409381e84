// The bench's wire: JSON lines to events of limedrum/scheduler.h and its actions back to JSON.
// Keeps the instances by number. It decides nothing.
#pragma once

#include <limedrum/scheduler.h>

#include <map>
#include <stdexcept>
#include <string>

namespace limedrum::benchlink {

/// A line the wire does not allow; the text names the batch and the field.
class WireError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

class BenchSession {
public:
    /// One batch in, one reply out, both without the line's end. Throws WireError on malformed input.
    [[nodiscard]] std::string handleBatch(const std::string& line);

private:
    std::map<int, Scheduler> instances_;
    long long lineCount_ = 0;
};

}  // namespace limedrum::benchlink
