#include "learned_state.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace limedrum {
namespace {

// The text consists of lines of fields separated by a space. The first line begins with the version of the
// format, the last one contains the number of lines before it.
constexpr std::string_view kForm = "learned1";
constexpr double kBucketMs = 100;      // resolution of the windows of requests and retries
constexpr double kMostNumber = 1e15;   // no plausible figure is larger
constexpr std::size_t kMostName = 64;  // bytes; volumes with longer names are left out

// The members that are written, in the order of the text. Times are those of the machine's clock, which both
// processes use.
constexpr std::array kNodeFigures{&Node::usualMsPerUnit, &Node::smoothedDelayMs, &Node::unitsPerSecond};
constexpr std::array kNodeTimes{&Node::lastOverloadSignMs,      &Node::localOverloadUntilMs,
                                &Node::reportedOverloadUntilMs, &Node::lastSaturatedMs,
                                &Node::silentSinceMs,           &Node::lastTrickleMs};
constexpr std::array kBidFigures{&Bid::offeredUnits, &Bid::reservedUnits, &Bid::weightedUnits,
                                 &Bid::servedUnits,  &Bid::overloadUnits, &Bid::bidderCount};
constexpr std::array kVolumeFigures{&Volume::servedViaThisHost, &Volume::servedViaOtherHosts,
                                    &Volume::offeredThisRound, &Volume::offeredLastRound};

class Writer {
public:
    /// Begins a line.
    void line(std::string_view kind) {
        text += lines++ == 0 ? "" : "\n";
        text += kind;
    }
    void name(std::string_view value) { (text += ' ') += value; }
    void whole(std::uint64_t value) { name(std::to_string(value)); }
    void number(double value) { put(" %.6g", value); }
    /// Writes a time in whole ms; infinitely long ago becomes 0.
    void time(double ms) { put(" %.0f", std::max(ms, 0.0)); }
    /// Writes all digits, as a node's start time needs, which is compared to recognise a restart.
    void exact(double value) { put(" %.17g", value); }
    void bid(const Bid& b) {
        for (const auto figure : kBidFigures) number(b.*figure);
    }

    std::string text;
    int lines = 0;

private:
    void put(const char* form, double value) {
        char digits[400];
        std::snprintf(digits, sizeof digits, form, std::isfinite(value) ? value : 0);
        text += digits;
    }
};

/// Reads lines and their fields from the front of a text; `good` becomes false at the first invalid one.
class Reader {
public:
    explicit Reader(std::string_view text) : rest_(text) {}
    /// Begins the next line and returns its first field; empty after the last line.
    std::string_view line() {
        if (!line_.empty()) good = false;  // the previous line has more fields than expected
        if (rest_.empty()) return {};
        line_ = rest_.substr(0, rest_.find('\n'));
        rest_.remove_prefix(std::min(rest_.size(), line_.size() + 1));
        ++lines;
        const std::string_view kind = line_.substr(0, line_.find(' '));
        line_.remove_prefix(kind.size());
        return kind;
    }
    [[nodiscard]] bool atEnd() const { return rest_.empty(); }
    /// Whether the line has more fields.
    [[nodiscard]] bool more() const { return !line_.empty(); }
    std::string name() {
        const std::string_view field = take();
        if (field.size() > kMostName) good = false;
        return std::string(field);
    }
    std::uint64_t whole() { return read<std::uint64_t>(); }
    /// Reads a figure or time, which must not be negative.
    double figure() {
        const double value = read<double>();
        if (!(value >= 0 && value <= kMostNumber)) good = false;
        return value;
    }
    Bid bid() {
        Bid out;
        for (const auto f : kBidFigures) out.*f = figure();
        return out;
    }

    bool good = true;
    int lines = 0;

private:
    std::string_view take() {
        if (line_.empty()) {
            good = false;
            return {};
        }
        line_.remove_prefix(1);
        const std::string_view field = line_.substr(0, line_.find(' '));
        line_.remove_prefix(field.size());
        if (field.empty()) good = false;
        return field;
    }
    template <typename Number>
    Number read() {
        const std::string_view field = take();
        Number value{};
        const auto [end, error] = std::from_chars(field.data(), field.data() + field.size(), value);
        if (error != std::errc{} || end != field.data() + field.size()) good = false;
        return value;
    }

    std::string_view rest_, line_;
};

/// Writes a window as sums over kBucketMs each. With `atEnd` a bucket's units count from its end, else from
/// its start: retries are rounded up and requests down, so that neither rounding allows more retries.
void writeWindow(Writer& out, std::string_view kind, const SlidingWindow& window, bool atEnd) {
    std::map<double, double> buckets;
    for (const auto& [ms, units] : window.entries)
        buckets[(atEnd ? std::ceil(ms / kBucketMs) : std::floor(ms / kBucketMs)) * kBucketMs] += units;
    for (const auto& [ms, units] : buckets) {
        out.line(kind);
        out.time(ms);
        out.number(units);
    }
}

/// Inserts imported entries before those of `to`: they are older than what was counted here.
void join(SlidingWindow& to, const std::map<double, double>& from) {
    SlidingWindow both;
    for (const auto& [ms, units] : from) both.add(ms, units);
    for (const auto& [ms, units] : to.entries) both.add(ms, units);
    to = std::move(both);
}

/// The content of a text, kept apart until all of it is known to be valid.
struct Memory {
    std::map<NodeId, Node> nodes;
    std::map<CellId, Cell> cells;
    std::map<std::string, Volume> volumes;
    std::map<BudgetId, BudgetPart> shares;
    std::map<std::pair<BudgetId, int>, BudgetPart> tills;
    std::map<double, double> taken, extras;
    double writtenMs = 0, fillMs = 0;
};

void readNode(Reader& in, Memory& to) {
    Node n;
    n.id = static_cast<NodeId>(in.whole());
    n.bootMs = in.figure();
    for (const auto figure : kNodeFigures) n.*figure = in.figure();
    for (const auto time : kNodeTimes) n.*time = in.figure();
    to.nodes[n.id] = n;
}

void readCell(Reader& in, Memory& to) {
    Cell c;
    c.id = static_cast<CellId>(in.whole());
    c.ownBid = in.bid();
    c.bidSum = in.bid();
    c.bidSumMs = in.figure();
    c.saturated = in.whole() != 0;
    for (double* figure : {&c.offeredLastRound, &c.offeredThisRound, &c.tokensSpent}) *figure = in.figure();
    to.cells[c.id] = c;
}

void readDemand(Reader& in, Memory& to) {
    const auto cell = to.cells.find(static_cast<CellId>(in.whole()));
    const std::string name = in.name();
    Demand d;
    for (double* figure : {&d.offeredThisRound, &d.offeredLastRound, &d.fairUnitsPerSecond})
        *figure = in.figure();
    while (in.good && in.more()) {
        WorthDemand& offer = d.byWorth[in.figure()];
        offer.offeredThisRound = in.figure();
        offer.offeredLastRound = in.figure();
    }
    if (cell == to.cells.end())
        in.good = false;
    else
        cell->second.volumes[name] = d;
}

void readLedger(Reader& in, BudgetPart& to) {
    to.bucketLevel = in.figure();
    to.lastRefillMs = in.figure();
}

void readVolume(Reader& in, Memory& to) {
    Volume& v = to.volumes[in.name()];
    v.planNo = static_cast<int>(std::min<std::uint64_t>(in.whole(), 1'000'000));
    v.hostCount = static_cast<int>(std::clamp<std::uint64_t>(in.whole(), 1, 1'000'000));
    v.lastSeenMs = in.figure();
    for (const auto figure : kVolumeFigures) v.*figure = in.figure();
}

bool readAll(Reader& in, Memory& to) {
    if (in.line() != kForm) return false;
    to.writtenMs = in.figure();
    to.fillMs = in.figure();
    bool ended = false;
    for (auto kind = in.line(); !kind.empty() && in.good; kind = in.line()) {
        if (ended) return false;
        const int before = in.lines - 1;
        if (kind == "node") {
            readNode(in, to);
        } else if (kind == "cell") {
            readCell(in, to);
        } else if (kind == "demand") {
            readDemand(in, to);
        } else if (kind == "volume") {
            readVolume(in, to);
        } else if (kind == "share") {
            const BudgetId id{'v', in.whole()};
            readLedger(in, to.shares[id]);
        } else if (kind == "till") {
            const BudgetId id{'v', in.whole()};
            const int part = static_cast<int>(std::min<std::uint64_t>(in.whole(), 1'000'000));
            readLedger(in, to.tills[{id, part}]);
        } else if (kind == "taken" || kind == "extra") {
            const double ms = in.figure();
            (kind == "taken" ? to.taken : to.extras)[ms] = in.figure();
        } else if (kind == "end") {
            ended = in.whole() == static_cast<std::uint64_t>(before);
        } else {
            return false;
        }
    }
    return in.good && ended && in.atEnd();
}

void writeNodes(Writer& out, const Fleet& fleet) {
    for (const Node* n : fleet.nodesById()) {
        if (n->usualMsPerUnit <= 0 && n->unitsPerSecond <= 0 && n->silentSinceMs <= 0) continue;
        out.line("node");
        out.whole(n->id);
        out.exact(n->bootMs);
        for (const auto figure : kNodeFigures) out.number(n->*figure);
        for (const auto time : kNodeTimes) out.time(n->*time);
    }
}

void writeCells(Writer& out, const Fleet& fleet) {
    for (const CellId id : fleet.cellsInRounds) {
        const Cell& c = fleet.cells.at(id);
        out.line("cell");
        out.whole(static_cast<std::uint64_t>(id));
        out.bid(c.ownBid);
        out.bid(c.bidSum);
        out.time(c.bidSumMs);
        out.whole(c.saturated ? 1 : 0);
        for (const double figure : {c.offeredLastRound, c.offeredThisRound, c.tokensSpent})
            out.number(figure);
        for (const auto& [name, d] : c.volumes) {
            if (name.empty() || name.size() > kMostName) continue;
            out.line("demand");
            out.whole(static_cast<std::uint64_t>(id));
            out.name(name);
            for (const double figure : {d.offeredThisRound, d.offeredLastRound, d.fairUnitsPerSecond})
                out.number(figure);
            for (const auto& [worth, offer] : d.byWorth)
                for (const double figure : {worth, offer.offeredThisRound, offer.offeredLastRound})
                    out.number(figure);
        }
    }
}

/// Accounts for a round that ended after the text was written: its current round is now the last one.
void endRound(Memory& memory) {
    for (auto& [id, c] : memory.cells) {
        c.offeredLastRound = std::exchange(c.offeredThisRound, 0);
        c.tokensSpent = 0;
        for (auto& [name, d] : c.volumes) {
            d.offeredLastRound = std::exchange(d.offeredThisRound, 0);
            for (auto& [worth, offer] : d.byWorth)
                offer.offeredLastRound = std::exchange(offer.offeredThisRound, 0);
        }
    }
    for (auto& [name, v] : memory.volumes) v.endRound();
}

/// Writes a bucket's level and empties the bucket, which from now on fills from zero.
void giveUp(Writer& out, BudgetPart& ledger, double nowMs) {
    out.number(std::max(0.0, std::exchange(ledger.bucketLevel, 0)));
    out.time(std::exchange(ledger.lastRefillMs, nowMs));
}
/// Adds an imported level. The bucket's own level is small, since it was empty when this host started.
void fill(BudgetPart& ledger, const BudgetPart& told, double nowMs) {
    ledger.bucketLevel += told.bucketLevel;
    ledger.lastRefillMs = std::min(told.lastRefillMs, nowMs);
}

}  // namespace

std::string writeLearnedState(double nowMs, const LearnedState& from) {
    Writer out;
    out.line(kForm);
    out.time(nowMs);
    out.time(std::exchange(from.budgetFillStartMs, nowMs));
    writeNodes(out, from.fleet);
    writeCells(out, from.fleet);
    for (const auto& [name, v] : from.volumes) {
        if (name.empty() || name.size() > kMostName) continue;
        out.line("volume");
        out.name(name);
        out.whole(static_cast<std::uint64_t>(v.planNo));
        out.whole(static_cast<std::uint64_t>(v.hostCount));
        out.time(v.lastSeenMs);
        for (const auto figure : kVolumeFigures) out.number(v.*figure);
    }
    for (auto& [id, share] : from.budgetShares) {
        if (id.first != 'v') continue;
        out.line("share");
        out.whole(id.second);
        giveUp(out, share.evenPart, nowMs);
    }
    for (auto& [id, till] : from.coordinatorBudgets) {
        if (id.first != 'v') continue;
        for (auto& [part, ledger] : till.parts) {
            out.line("till");
            out.whole(id.second);
            out.whole(static_cast<std::uint64_t>(part));
            giveUp(out, ledger, nowMs);
        }
    }
    writeWindow(out, "taken", from.recentRequests, false);
    writeWindow(out, "extra", from.recentRetries, true);
    const int before = out.lines;
    out.line("end");
    out.whole(static_cast<std::uint64_t>(before));
    return std::move(out.text);
}

bool readLearnedState(std::string_view text, double nowMs, double roundStartMs, const LearnedState& to) {
    Reader in(text);
    Memory memory;
    if (!readAll(in, memory) || std::abs(nowMs - memory.writtenMs) > kLearnedStateMaxAgeMs) return false;
    if (memory.writtenMs < roundStartMs) endRound(memory);
    const double lastMs = nowMs + kLearnedStateMaxAgeMs;  // no valid time is later
    for (const auto& [id, told] : memory.nodes) {
        const auto at = to.fleet.nodes.find(id);
        if (at == to.fleet.nodes.end() || at->second.bootMs != told.bootMs) continue;
        for (const auto figure : kNodeFigures) at->second.*figure = told.*figure;
        for (const auto time : kNodeTimes) at->second.*time = std::min(told.*time, lastMs);
    }
    // This process may have fewer plans than the one that wrote the text.
    std::erase_if(memory.volumes, [&](const auto& v) {
        return v.second.planNo >= static_cast<int>(to.settings.plans.size());
    });
    for (auto& [id, told] : memory.cells) {
        const auto at = to.fleet.cells.find(id);
        if (at == to.fleet.cells.end() || at->second.holders.empty()) continue;
        Cell& c = to.fleet.cellForUpdate(id);
        c.ownBid = told.ownBid;
        c.bidSum = told.bidSum;
        c.bidSumMs = std::min(told.bidSumMs, nowMs);
        c.saturated = told.saturated;
        c.offeredLastRound = told.offeredLastRound;
        c.offeredThisRound += told.offeredThisRound;
        c.tokensSpent += told.tokensSpent;
        for (auto& [name, demand] : told.volumes)
            if (memory.volumes.contains(name)) c.volumes.try_emplace(name, std::move(demand));
    }
    for (auto& [name, told] : memory.volumes) {
        told.lastSeenMs = std::min(told.lastSeenMs, nowMs);
        to.volumes.try_emplace(name, told);
    }
    for (const auto& [id, told] : memory.shares) fill(to.budgetShares[id].evenPart, told, nowMs);
    for (const auto& [id, told] : memory.tills)
        fill(to.coordinatorBudgets[id.first].parts[id.second], told, nowMs);
    to.budgetFillStartMs = std::min(memory.fillMs, nowMs);
    join(to.recentRequests, memory.taken);
    join(to.recentRetries, memory.extras);
    return true;
}

}  // namespace limedrum
