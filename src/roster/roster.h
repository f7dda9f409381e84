// Which servers may get work, as far as lists of them have told. Decides only: lists are handed in, no I/O,
// no clock.
//
// Lists come late, cut, out of order and from more than one place (the agent that a reload moves away from
// and the one it moves to). The rule on drains asks for one direction: word of a server's leaving holds from
// the moment it can be read, and only something newer takes it back, which is a later start of that server or
// a later version that calls it ready. An older list never does.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace martencove::roster {

enum class ReportedState { ready, draining, gone };

/// One entry of a list.
struct NodeReport {
    std::uint64_t id = 0;
    ReportedState state = ReportedState::ready;
    double bootTimeMs = 0;  ///< Unix time of its last start; 0: long ago
    int shard = 0;
};

struct ReportedList {
    std::int64_t version = 0;
    bool isSnapshot = false;  ///< names every server: one that it leaves out is gone
    std::vector<NodeReport> nodes;
    std::vector<std::uint64_t> unreadableIds;  ///< named, but what is told of them cannot be read: they stay
};

/// What a list changes.
struct MergeResult {
    std::vector<std::size_t> appliedIndexes;  ///< entries of the list that count, in order
    std::vector<NodeReport> removed;          ///< servers that a whole list leaves out: gone
    std::size_t staleCount = 0;               ///< entries passed over: something newer is known
};

class Roster {
public:
    /// Of servers that are gone at most `mostGone` are remembered, those told last.
    explicit Roster(std::size_t mostGone) : maxGone_(mostGone) {}

    [[nodiscard]] MergeResult merge(const ReportedList& list);
    [[nodiscard]] std::size_t size() const { return nodesById_.size(); }

private:
    struct KnownNode {
        NodeReport report;
        std::int64_t version = 0;  // of the list that told it
    };
    [[nodiscard]] bool supersedesKnown(const NodeReport& told, std::int64_t version) const;
    void evictOldestGone();

    std::size_t maxGone_;
    std::size_t goneCount_ = 0;  // of known_
    std::unordered_map<std::uint64_t, KnownNode> nodesById_;
};

}  // namespace martencove::roster
