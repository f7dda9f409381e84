// Counts the events of the process by the names under which they are exported.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace martencove {

/// Event counters by name. A counter exists from its first event on.
class Counters {
public:
    void add(std::string_view name, std::uint64_t increment = 1) {
        const auto it = counts_.find(name);
        it == counts_.end() ? void(counts_.emplace(name, increment)) : void(it->second += increment);
    }
    /// Returns the value of a counter; 0 if it has counted nothing.
    [[nodiscard]] std::uint64_t value(std::string_view name) const {
        const auto it = counts_.find(name);
        return it == counts_.end() ? 0 : it->second;
    }
    /// Gauge: bytes of node answers in memory, from the node connection to the client connection.
    std::size_t answerBytes = 0;
    /// Gauge: bytes of clients' requests in memory, from the client connection to the answer.
    std::size_t requestBytes = 0;

    /// Returns all counters and the gauges, ordered by name.
    [[nodiscard]] std::map<std::string, std::uint64_t> snapshot() const {
        std::map<std::string, std::uint64_t> values(counts_.begin(), counts_.end());
        values["answer_bytes"] = answerBytes;
        values["request_bytes"] = requestBytes;
        return values;
    }
    /// Formats all values as "name value" lines, ordered by name.
    [[nodiscard]] std::string toText() const {
        std::string lines;
        for (const auto& [name, count] : snapshot()) lines += name + ' ' + std::to_string(count) + '\n';
        return lines;
    }

private:
    std::map<std::string, std::uint64_t, std::less<>> counts_;
};

}  // namespace martencove
