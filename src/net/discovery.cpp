#include "net/discovery.h"

#include <algorithm>
#include <string>
#include <utility>

#include "net/node_list.h"

namespace martencove {
namespace {

constexpr std::size_t kMaxRetiredWatches = 4;  // the oldest is dropped first

roster::NodeReport toldOf(const NodeEntry& node) {
    return {node.id,
            node.state == NodeState::ready      ? roster::ReportedState::ready
            : node.state == NodeState::draining ? roster::ReportedState::draining
                                                : roster::ReportedState::gone,
            node.bootTimeMs, node.shard};
}

}  // namespace

DiscoveryClient::DiscoveryClient(event_base* base, Address address, const NodeList& known, std::uint64_t seed,
                                 const Limits& limits, Counters& counters, Log& log,
                                 std::function<void(const NodeList&)> told)
    : base_(base),
      limits_(limits),
      counters_(counters),
      log_(log),
      onNodesChanged_(std::move(told)),
      seed_(seed),
      initialDelay_(0, 0, seed),
      roster_(limits.maxNodes),
      version_(known.version),
      cleanupTimer_(
          base, [this] { std::erase_if(retiredWatches_, [](const auto& w) { return w->isFinished(); }); }) {
    roster::ReportedList begin{known.version, true, {}, {}};
    for (const NodeEntry& node : known.nodes) begin.nodes.push_back(toldOf(node));
    (void)roster_.merge(begin);
    // An agent on this machine answers with a snapshot at once. What it holds counts as delivered, whatever
    // list the program started with.
    currentWatch_ = makeWatch(std::move(address), version_, limits_.listPushed);
}

std::unique_ptr<ListWatch> DiscoveryClient::makeWatch(Address address, std::int64_t version, bool whole) {
    return std::make_unique<ListWatch>(base_, std::move(address), version, whole,
                                       initialDelay_.initialDelayMs(limits_.discoveryRetry.initialMs),
                                       seed_++, limits_, counters_, log_,
                                       [this](ListWatch& from, const std::string& text, bool cut) {
                                           return handleResponse(from, text, cut);
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

ListWatch::NextRequest DiscoveryClient::handleResponse(ListWatch& from, const std::string& text, bool cut) {
    DecodedNodeList read = decodeNodeListLenient(text);
    const bool ours = &from == currentWatch_.get();
    if (!read.isMalformed && !cut) counters_.add("discovery_list");
    if (read.invalidEntryCount > 0) counters_.add("discovery_entry_bad", read.invalidEntryCount);
    if (read.isMalformed || read.invalidEntryCount > 0) {
        if (read.isMalformed) counters_.add("discovery_bad");
        log_.warn("discovery", read.isMalformed ? "malformed node list" : "invalid entries in node list",
                  {{"reason", read.firstError},
                   {"entries", read.invalidEntryCount},
                   {"leaving", read.list.nodes.size()}});
    }
    if (read.list.version < 0) read.list.version = version_;
    const bool whole = read.list.isSnapshot && !read.isMalformed;
    const std::int64_t version = read.list.version;
    if (&from == pendingWatch_.get() && whole) {
        version_ = version;
        counters_.add("discovery_moved");
        log_.info("discovery", "switched to the new address", {{"address", from.address().toString()}});
        retireWatch(std::exchange(currentWatch_, std::move(pendingWatch_)));
    } else if (ours && !read.isMalformed) {
        version_ = version;
    }
    applyList(std::move(read.list), read.unreadableIds, from);
    if (!hasReceivedList_ && !read.isMalformed) {
        hasReceivedList_ = true;
        if (onFirstList_) onFirstList_();
    }
    if (&from == pendingWatch_.get()) return {version_, true, true};  // it has not delivered its snapshot
    // After an unreadable list a snapshot is requested at once, but only once in a row; the next unreadable
    // list counts as a failed request.
    const bool again = std::exchange(snapshotRetryPending_, false);
    if (read.isMalformed) {
        snapshotRetryPending_ = !again;
        return {version_, true, again};
    }
    snapshotRetryPending_ = read.invalidEntryCount > 0 && !again;
    return {version, snapshotRetryPending_, false};
}

// Reports only entries that change something; stale ones are counted and dropped.
void DiscoveryClient::applyList(NodeList list, const std::vector<NodeId>& unreadable, const ListWatch& from) {
    roster::ReportedList told{list.version, list.isSnapshot, {}, unreadable};
    for (const NodeEntry& node : list.nodes) told.nodes.push_back(toldOf(node));
    const roster::MergeResult effect = roster_.merge(told);
    if (effect.staleCount > 0) {
        counters_.add("discovery_stale", effect.staleCount);
        log_.warn("discovery", "ignored stale entries",
                  {{"entries", effect.staleCount}, {"version", list.version}});
    }
    NodeList out{list.version, false, {}};
    for (const std::size_t i : effect.appliedIndexes) out.nodes.push_back(std::move(list.nodes[i]));
    for (const roster::NodeReport& left : effect.removed) {
        NodeEntry& node = out.nodes.emplace_back();
        node.id = left.id;
        node.shard = left.shard;
        node.bootTimeMs = left.bootTimeMs;
        node.state = NodeState::gone;
    }
    if (out.nodes.empty()) return;
    const double heardMs = from.sinceGoodResponseMs(), calledMs = from.sinceRequestMs();
    onNodesChanged_(out);
    const auto leaving = std::count_if(out.nodes.begin(), out.nodes.end(),
                                       [](const NodeEntry& n) { return n.state != NodeState::ready; });
    if (leaving == 0) return;
    // The fields give the upper bound of what each stage used of the drain grace: the change may be as old as
    // the last good response.
    const auto ms = [](double value) { return static_cast<std::int64_t>(value); };
    log_.infoRateLimited("leaving", "servers leave",
                         {{"servers", leaving},
                          {"version", list.version},
                          {"heard_before_ms", ms(heardMs)},
                          {"failed_calls", from.failedRequestCount()},
                          {"call_ms", ms(calledMs)},
                          {"turn_ms", ms(from.sinceRequestMs() - calledMs)},
                          {"grace_ms", ms(limits_.drainGrace.totalMs)}});
    counters_.add("server_leaves", static_cast<std::uint64_t>(leaving));
}

}  // namespace martencove
