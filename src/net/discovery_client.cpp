#include "net/discovery_client.h"

#include <algorithm>
#include <string>
#include <utility>

#include "net/node_list.h"

namespace martencove {
namespace {

constexpr std::size_t kMaxRetiredWatches = 4;  // the oldest is dropped first

roster::NodeReport nodeReport(const NodeEntry& node) {
    return {node.id,
            node.state == NodeState::ready      ? roster::ReportedState::ready
            : node.state == NodeState::draining ? roster::ReportedState::draining
                                                : roster::ReportedState::gone,
            node.bootTimeMs, node.shard};
}

}  // namespace

DiscoveryClient::DiscoveryClient(event_base* base, Address address, const NodeList& known, std::uint64_t seed,
                                 const Limits& limits, Counters& counters, Log& log,
                                 std::function<void(const NodeList&)> onNodesChanged)
    : base_(base),
      limits_(limits),
      counters_(counters),
      log_(log),
      onNodesChanged_(std::move(onNodesChanged)),
      seed_(seed),
      initialDelay_(0, 0, seed),
      roster_(limits.maxNodes),
      version_(known.version),
      cleanupTimer_(base, [this] {
          std::erase_if(retiredWatches_, [](const auto& watch) { return watch->isFinished(); });
      }) {
    roster::ReportedList initial{known.version, true, {}, {}};
    for (const NodeEntry& node : known.nodes) initial.nodes.push_back(nodeReport(node));
    (void)roster_.merge(initial);
    // An agent on this machine answers with a snapshot at once. What it holds counts as delivered, whatever
    // list the program started with.
    currentWatch_ = makeWatch(std::move(address), version_, limits_.listPushed);
}

std::unique_ptr<ListWatch> DiscoveryClient::makeWatch(Address address, std::int64_t version,
                                                      bool wantsSnapshot) {
    return std::make_unique<ListWatch>(base_, std::move(address), version, wantsSnapshot,
                                       initialDelay_.initialDelayMs(limits_.discoveryRetry.initialMs),
                                       seed_++, limits_, counters_, log_,
                                       [this](ListWatch& watch, const std::string& text, bool truncated) {
                                           return handleResponse(watch, text, truncated);
                                       });
}

void DiscoveryClient::switchAddress(Address address) {
    if (address == currentWatch_->address()) return pendingWatch_.reset();
    if (pendingWatch_ && address == pendingWatch_->address()) return;
    pendingWatch_ = makeWatch(std::move(address), version_, true);
}

void DiscoveryClient::retireWatch(std::unique_ptr<ListWatch> watch) {
    if (retiredWatches_.size() >= kMaxRetiredWatches) retiredWatches_.erase(retiredWatches_.begin());
    retiredWatches_.push_back(std::move(watch));
    retiredWatches_.back()->stopAfterCurrentRequest([this] { cleanupTimer_.start(0); });
}

ListWatch::NextRequest DiscoveryClient::handleResponse(ListWatch& watch, const std::string& text,
                                                       bool truncated) {
    DecodedNodeList decoded = decodeNodeListLenient(text);
    const bool isCurrent = &watch == currentWatch_.get();
    if (!decoded.isMalformed && !truncated) counters_.add("discovery_list");
    if (decoded.invalidEntryCount > 0) counters_.add("discovery_entry_bad", decoded.invalidEntryCount);
    if (decoded.isMalformed || decoded.invalidEntryCount > 0) {
        if (decoded.isMalformed) counters_.add("discovery_bad");
        log_.warn("discovery", decoded.isMalformed ? "malformed node list" : "invalid entries in node list",
                  {{"reason", decoded.firstError},
                   {"entries", decoded.invalidEntryCount},
                   {"leaving", decoded.list.nodes.size()}});
    }
    if (decoded.list.version < 0) decoded.list.version = version_;
    const bool isSnapshot = decoded.list.isSnapshot && !decoded.isMalformed;
    const std::int64_t version = decoded.list.version;
    if (&watch == pendingWatch_.get() && isSnapshot) {
        version_ = version;
        counters_.add("discovery_moved");
        log_.info("discovery", "switched to the new address", {{"address", watch.address().toString()}});
        retireWatch(std::exchange(currentWatch_, std::move(pendingWatch_)));
    } else if (isCurrent && !decoded.isMalformed) {
        version_ = version;
    }
    applyList(std::move(decoded.list), decoded.unreadableIds, watch);
    if (!hasReceivedList_ && !decoded.isMalformed) {
        hasReceivedList_ = true;
        if (onFirstList_) onFirstList_();
    }
    if (&watch == pendingWatch_.get()) return {version_, true, true};  // it has not delivered its snapshot
    // After an unreadable list a snapshot is requested at once, but only once in a row; the next unreadable
    // list counts as a failed request.
    const bool alreadyRetried = std::exchange(snapshotRetryPending_, false);
    if (decoded.isMalformed) {
        snapshotRetryPending_ = !alreadyRetried;
        return {version_, true, alreadyRetried};
    }
    snapshotRetryPending_ = decoded.invalidEntryCount > 0 && !alreadyRetried;
    return {version, snapshotRetryPending_, false};
}

// Reports only entries that change something; stale ones are counted and dropped.
void DiscoveryClient::applyList(NodeList list, const std::vector<NodeId>& unreadableIds,
                                const ListWatch& watch) {
    roster::ReportedList report{list.version, list.isSnapshot, {}, unreadableIds};
    for (const NodeEntry& node : list.nodes) report.nodes.push_back(nodeReport(node));
    const roster::MergeResult merged = roster_.merge(report);
    if (merged.staleCount > 0) {
        counters_.add("discovery_stale", merged.staleCount);
        log_.warn("discovery", "ignored stale entries",
                  {{"entries", merged.staleCount}, {"version", list.version}});
    }
    NodeList changes{list.version, false, {}};
    for (const std::size_t i : merged.appliedIndexes) changes.nodes.push_back(std::move(list.nodes[i]));
    for (const roster::NodeReport& removed : merged.removed) {
        NodeEntry& node = changes.nodes.emplace_back();
        node.id = removed.id;
        node.shard = removed.shard;
        node.bootTimeMs = removed.bootTimeMs;
        node.state = NodeState::gone;
    }
    if (changes.nodes.empty()) return;
    const double sinceGoodResponseMs = watch.sinceGoodResponseMs(), sinceRequestMs = watch.sinceRequestMs();
    onNodesChanged_(changes);
    const auto leaving = std::count_if(changes.nodes.begin(), changes.nodes.end(),
                                       [](const NodeEntry& node) { return node.state != NodeState::ready; });
    if (leaving == 0) return;
    // The fields give the upper bound of what each stage used of the drain grace: the change may be as old as
    // the last good response.
    const auto ms = [](double value) { return static_cast<std::int64_t>(value); };
    log_.infoRateLimited("leaving", "servers leave",
                         {{"servers", leaving},
                          {"version", list.version},
                          {"heard_before_ms", ms(sinceGoodResponseMs)},
                          {"failed_calls", watch.failedRequestCount()},
                          {"call_ms", ms(sinceRequestMs)},
                          {"turn_ms", ms(watch.sinceRequestMs() - sinceRequestMs)},
                          {"grace_ms", ms(limits_.drainGrace.totalMs)}});
    counters_.add("server_leaves", static_cast<std::uint64_t>(leaving));
}

}  // namespace martencove
