// The protocol of the simulation bench: decodes JSON lines into scheduler events and encodes the resulting
// actions as JSON.
#pragma once

#include <limedrum/scheduler.h>

#include <map>
#include <stdexcept>
#include <string>

namespace limedrum::benchlink {

/// Thrown for a malformed line. The message names the batch, or the line, and the field.
class WireError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Holds the scheduler instances that the bench creates, by number.
class BenchSession {
public:
    /// Handles one batch of events and returns the reply, both without a line end. The events of an instance
    /// are passed to its scheduler together, after the whole batch is decoded. `Born` replaces an instance;
    /// `CrashNow` removes it with the events of the batch that came before. Throws WireError on malformed
    /// input.
    [[nodiscard]] std::string handleBatch(const std::string& line);

private:
    std::map<int, Scheduler> instances_;
    long long lineCount_ = 0;
};

}  // namespace limedrum::benchlink
