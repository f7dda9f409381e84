// Client of the discovery service: watches its lists of storage nodes and reports the changes.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "core/counters.h"
#include "core/limits.h"
#include "core/values.h"
#include "net/list_watch.h"
#include "roster/roster.h"

namespace martencove {

/// Keeps the watch at the configured address and merges the received lists into one roster, so that only
/// entries newer than what is known take effect.
class DiscoveryClient {
public:
    /// Starts with the node list `known`. `onNodesChanged` gets the nodes that a received list changed.
    DiscoveryClient(event_base* base, Address address, const NodeList& known, std::uint64_t seed,
                    const Limits& limits, Counters& counters, Log& log,
                    std::function<void(const NodeList&)> onNodesChanged);
    DiscoveryClient(const DiscoveryClient&) = delete;
    DiscoveryClient& operator=(const DiscoveryClient&) = delete;

    /// Moves the watch to another address. The watch at the old address stays open until the new one has
    /// delivered a snapshot, and its open request is then read to the end: a change counts as delivered
    /// once the agent holds it, whether or not this program reads it.
    void switchAddress(Address address);
    /// Whether a well-formed list has been received since the start.
    [[nodiscard]] bool hasReceivedList() const { return hasReceivedList_; }
    /// Sets the callback that is run once, when the first well-formed list is received.
    void setOnFirstList(std::function<void()> callback) { onFirstList_ = std::move(callback); }

private:
    [[nodiscard]] std::unique_ptr<ListWatch> makeWatch(Address address, std::int64_t version,
                                                       bool wantsSnapshot);
    [[nodiscard]] ListWatch::NextRequest handleResponse(ListWatch& watch, const std::string& text,
                                                        bool truncated);
    void applyList(NodeList list, const std::vector<NodeId>& unreadableIds, const ListWatch& watch);
    void retireWatch(std::unique_ptr<ListWatch> watch);

    event_base* base_;
    const Limits& limits_;
    Counters& counters_;
    Log& log_;
    std::function<void(const NodeList&)> onNodesChanged_;
    std::function<void()> onFirstList_;
    std::uint64_t seed_;
    Backoff initialDelay_;
    roster::Roster roster_;
    bool hasReceivedList_ = false;
    bool snapshotRetryPending_ = false;  // a snapshot was requested after an unreadable list
    std::unique_ptr<ListWatch> currentWatch_;
    std::int64_t version_ = 0;                 // list version that currentWatch_ continues from
    std::unique_ptr<ListWatch> pendingWatch_;  // at the new address, until its first snapshot
    std::vector<std::unique_ptr<ListWatch>> retiredWatches_;  // finishing their last request
    Timer cleanupTimer_;
};

}  // namespace martencove
