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

class Discovery {
public:
    /// From `known`, the list that the program begins with. `told` gets what a list changes.
    Discovery(event_base* base, Address address, const NodeList& known, std::uint64_t seed,
              const Limits& limits, Counters& counters, Log& log, std::function<void(const NodeList&)> told);
    Discovery(const Discovery&) = delete;
    Discovery& operator=(const Discovery&) = delete;

    /// Goes on at another address. The watch at the old one stays until the new one has told its whole list,
    /// and what it has been asked by then is heard to its end.
    void moveTo(Address address);
    /// Whether a list has come since the start.
    [[nodiscard]] bool heard() const { return heard_; }
    /// Called once, when the first list has come.
    void onHeard(std::function<void()> then) { onHeard_ = std::move(then); }

private:
    [[nodiscard]] std::unique_ptr<ListWatch> watch(Address address, std::int64_t version, bool whole);
    [[nodiscard]] ListWatch::Next take(ListWatch& from, const std::string& text, bool cut);
    void bringIn(NodeList list, const std::vector<NodeId>& unreadable, const ListWatch& from);
    void retire(std::unique_ptr<ListWatch> watch);

    event_base* base_;
    const Limits& limits_;
    Counters& counters_;
    Log& log_;
    std::function<void(const NodeList&)> told_;
    std::function<void()> onHeard_;
    std::uint64_t seed_;
    Backoff first_;
    roster::Roster roster_;
    bool heard_ = false;
    bool askedAnew_ = false;  // the whole list is asked for since what came could not be read whole
    std::unique_ptr<ListWatch> now_;
    std::int64_t version_ = 0;           // that now_ watches from
    std::unique_ptr<ListWatch> coming_;  // after a move, until it has told a whole list
    std::vector<std::unique_ptr<ListWatch>> retired_;
    Timer tidy_;
};

}  // namespace martencove
