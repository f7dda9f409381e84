// What discovery tells of storage nodes: watches at its addresses, and what their lists change.
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

class DiscoveryClient {
public:
    /// From `known`, the list that the program begins with. `told` gets what a list changes.
    DiscoveryClient(event_base* base, Address address, const NodeList& known, std::uint64_t seed,
                    const Limits& limits, Counters& counters, Log& log,
                    std::function<void(const NodeList&)> told);
    DiscoveryClient(const DiscoveryClient&) = delete;
    DiscoveryClient& operator=(const DiscoveryClient&) = delete;

    /// Goes on at another address. The watch at the old one stays until the new one has told its whole list,
    /// and what it has been asked by then is heard to its end.
    void switchAddress(Address address);
    /// Whether a list has come since the start.
    [[nodiscard]] bool hasReceivedList() const { return hasReceivedList_; }
    /// Called once, when the first list has come.
    void onFirstList(std::function<void()> then) { onFirstList_ = std::move(then); }

private:
    [[nodiscard]] std::unique_ptr<ListWatch> makeWatch(Address address, std::int64_t version, bool whole);
    [[nodiscard]] ListWatch::NextRequest handleResponse(ListWatch& from, const std::string& text, bool cut);
    void applyList(NodeList list, const std::vector<NodeId>& unreadable, const ListWatch& from);
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
    bool snapshotRetryPending_ =
        false;  // the whole list is asked for since what came could not be read whole
    std::unique_ptr<ListWatch> currentWatch_;
    std::int64_t version_ = 0;                 // that now_ watches from
    std::unique_ptr<ListWatch> pendingWatch_;  // after a move, until it has told a whole list
    std::vector<std::unique_ptr<ListWatch>> retiredWatches_;
    Timer cleanupTimer_;
};

}  // namespace martencove
