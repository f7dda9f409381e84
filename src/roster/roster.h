// Merges reported lists of nodes into the state of each node, which determines the nodes that may get work.
// Does no I/O and reads no clock: callers pass the lists.
//
// Lists may arrive late, truncated, out of order and from more than one sender: during a reload both the old
// and the new discovery agent report. The rule for drains is one-directional: a report that a node is leaving
// takes effect as soon as it can be read, and only newer information reverts it, either a later start of the
// node or a later version that reports it ready. An older list never reverts it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace martencove::roster {

enum class ReportedState { ready, draining, gone };

/// An entry of a reported list.
struct NodeReport {
    std::uint64_t id = 0;
    ReportedState state = ReportedState::ready;
    double bootTimeMs = 0;  ///< Unix time of the last start, in ms; 0: long ago or unknown
    int shard = 0;
};

/// A version of the node list, or an update to one, as a sender reports it.
struct ReportedList {
    std::int64_t version = 0;
    bool isSnapshot = false;  ///< lists every node: a node that it omits is gone
    std::vector<NodeReport> nodes;
    std::vector<std::uint64_t>
        unreadableIds;  ///< listed with unreadable entries: these nodes stay as they are
};

/// The changes that a merged list makes.
struct MergeResult {
    std::vector<std::size_t> appliedIndexes;  ///< indexes of the list's entries that took effect, ascending
    std::vector<NodeReport> removed;          ///< nodes that are gone because a snapshot omits them
    std::size_t staleCount = 0;               ///< entries ignored because newer information is known
};

/// The last known state of each node. Gone nodes are remembered, so that an older list cannot revive them.
class Roster {
public:
    /// At most `maxGone` gone nodes are remembered: those reported by the newest versions.
    explicit Roster(std::size_t maxGone) : maxGone_(maxGone) {}

    /// Applies the entries of `list` that are not older than what is known. A snapshot also removes the nodes
    /// that it omits.
    [[nodiscard]] MergeResult merge(const ReportedList& list);
    /// Returns the number of nodes known, including gone nodes.
    [[nodiscard]] std::size_t size() const { return nodesById_.size(); }

private:
    struct KnownNode {
        NodeReport report;
        std::int64_t version = 0;  // version of the list that the report came from
    };
    /// Returns whether a report from a list of that version takes precedence over what is known of the node.
    [[nodiscard]] bool supersedesKnown(const NodeReport& report, std::int64_t version) const;
    /// Forgets the oldest gone nodes if there are more than maxGone_.
    void evictOldestGone();

    std::size_t maxGone_;
    std::size_t goneCount_ = 0;  // number of gone nodes in nodesById_
    std::unordered_map<std::uint64_t, KnownNode> nodesById_;
};

}  // namespace martencove::roster
