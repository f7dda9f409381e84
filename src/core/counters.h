// What the program took in, sent and answered, by the names that are printed.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace martencove {

class Counters {
public:
    void add(std::string_view name, std::uint64_t more = 1) {
        const auto at = counts_.find(name);
        at == counts_.end() ? void(counts_.emplace(name, more)) : void(at->second += more);
    }
    [[nodiscard]] std::uint64_t value(std::string_view name) const {
        const auto at = counts_.find(name);
        return at == counts_.end() ? 0 : at->second;
    }
    /// A level, not a count: bytes of nodes' answers in memory, from the node's connection to the client's.
    std::size_t answerBytes = 0;

    /// All of them, in order of the names.
    [[nodiscard]] std::map<std::string, std::uint64_t> snapshot() const {
        std::map<std::string, std::uint64_t> out(counts_.begin(), counts_.end());
        out["answer_bytes"] = answerBytes;
        return out;
    }
    /// One "name value" line each, in order of the names.
    [[nodiscard]] std::string toText() const {
        std::string lines;
        for (const auto& [name, count] : snapshot()) lines += name + ' ' + std::to_string(count) + '\n';
        return lines;
    }

private:
    std::map<std::string, std::uint64_t, std::less<>> counts_;
};

}  // namespace martencove
