#include "learned_state.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace limedrum {
namespace {

// The text consists of lines of fields separated by a space. The first line begins with the version of the
// format, the last one contains the number of lines before it.
constexpr std::string_view kFormat = "learned1";
constexpr double kBucketMs = 100;          // resolution of the windows of requests and retries
constexpr double kMaxFigure = 1e15;        // no plausible figure is larger
constexpr std::size_t kMaxNameBytes = 64;  // volumes with longer names are left out

// The members that are written, in the order of the text. Times are those of the machine's clock, which both
// processes use.
constexpr std::array kNodeFigures{&Node::usualMsPerUnit, &Node::smoothedDelayMs, &Node::unitsPerSecond};
constexpr std::array kNodeTimes{&Node::lastOverloadSignMs,      &Node::localOverloadUntilMs,
                                &Node::reportedOverloadUntilMs, &Node::lastSaturatedMs,
                                &Node::silentSinceMs,           &Node::lastTrialAttemptMs};
constexpr std::array kBidFigures{&Bid::offeredUnits, &Bid::reservedUnits, &Bid::weightedUnits,
                                 &Bid::servedUnits,  &Bid::overloadUnits, &Bid::bidderCount};
constexpr std::array kVolumeFigures{&Volume::servedViaThisHost, &Volume::servedViaOtherHosts,
                                    &Volume::offeredThisRound, &Volume::offeredLastRound};

class Writer {
public:
    /// Begins a line.
    void beginLine(std::string_view kind) {
        text += lines++ == 0 ? "" : "\n";
        text += kind;
    }
    void name(std::string_view value) { (text += ' ') += value; }
    void integer(std::uint64_t value) { name(std::to_string(value)); }
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
    void put(const char* format, double value) {
        char digits[400];
        std::snprintf(digits, sizeof digits, format, std::isfinite(value) ? value : 0);
        text += digits;
    }
};

/// Reads lines and their fields from the front of a text; `valid` becomes false at the first invalid one.
class Reader {
public:
    explicit Reader(std::string_view text) : rest_(text) {}
    /// Begins the next line and returns its first field; empty after the last line.
    std::string_view beginLine() {
        if (!line_.empty()) valid = false;  // the previous line has more fields than expected
        if (rest_.empty()) return {};
        line_ = rest_.substr(0, rest_.find('\n'));
        rest_.remove_prefix(std::min(rest_.size(), line_.size() + 1));
        ++lines;
        const std::string_view kind = line_.substr(0, line_.find(' '));
        line_.remove_prefix(kind.size());
        return kind;
    }
    [[nodiscard]] bool allRead() const { return rest_.empty(); }
    /// Whether the line has more fields.
    [[nodiscard]] bool hasMoreFields() const { return !line_.empty(); }
    std::string name() {
        const std::string_view text = takeField();
        if (text.size() > kMaxNameBytes) valid = false;
        return std::string(text);
    }
    std::uint64_t integer() { return parse<std::uint64_t>(); }
    /// Reads a figure or time, which must not be negative.
    double figure() {
        const double value = parse<double>();
        if (!(value >= 0 && value <= kMaxFigure)) valid = false;
        return value;
    }
    Bid bid() {
        Bid bid;
        for (const auto figureOfBid : kBidFigures) bid.*figureOfBid = figure();
        return bid;
    }

    bool valid = true;
    int lines = 0;

private:
    std::string_view takeField() {
        if (line_.empty()) {
            valid = false;
            return {};
        }
        line_.remove_prefix(1);
        const std::string_view text = line_.substr(0, line_.find(' '));
        line_.remove_prefix(text.size());
        if (text.empty()) valid = false;
        return text;
    }
    template <typename Number>
    Number parse() {
        const std::string_view text = takeField();
        Number value{};
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc{} || end != text.data() + text.size()) valid = false;
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
        out.beginLine(kind);
        out.time(ms);
        out.number(units);
    }
}

/// Inserts imported entries before those of `to`: they are older than what was counted here.
void prepend(SlidingWindow& to, const std::map<double, double>& from) {
    SlidingWindow both;
    for (const auto& [ms, units] : from) both.add(ms, units);
    for (const auto& [ms, units] : to.entries) both.add(ms, units);
    to = std::move(both);
}

/// The content of a text, kept apart until all of it is known to be valid.
struct ImportedState {
    std::map<NodeId, Node> nodes;
    std::map<CellId, Cell> cells;
    std::map<std::string, Volume> volumes;
    std::map<BudgetId, BudgetLedger> shareLevels;
    std::map<std::pair<BudgetId, int>, BudgetLedger> coordinatorLevels;
    std::map<double, double> recentRequests, recentRetries;
    double writtenMs = 0, budgetFillStartMs = 0;
};

void readNode(Reader& reader, ImportedState& state) {
    Node node;
    node.id = static_cast<NodeId>(reader.integer());
    node.bootMs = reader.figure();
    for (const auto figure : kNodeFigures) node.*figure = reader.figure();
    for (const auto time : kNodeTimes) node.*time = reader.figure();
    state.nodes[node.id] = node;
}

void readCell(Reader& reader, ImportedState& state) {
    Cell cell;
    cell.id = static_cast<CellId>(reader.integer());
    cell.ownBid = reader.bid();
    cell.bidSum = reader.bid();
    cell.bidSumMs = reader.figure();
    cell.saturated = reader.integer() != 0;
    for (double* figure : {&cell.offeredLastRound, &cell.offeredThisRound, &cell.admittedUnitsThisRound})
        *figure = reader.figure();
    state.cells[cell.id] = cell;
}

void readDemand(Reader& reader, ImportedState& state) {
    const auto cell = state.cells.find(static_cast<CellId>(reader.integer()));
    const std::string name = reader.name();
    Demand demand;
    for (double* figure : {&demand.offeredThisRound, &demand.offeredLastRound, &demand.fairUnitsPerSecond})
        *figure = reader.figure();
    while (reader.valid && reader.hasMoreFields()) {
        WorthDemand& worthDemand = demand.byWorth[reader.figure()];
        worthDemand.offeredThisRound = reader.figure();
        worthDemand.offeredLastRound = reader.figure();
    }
    if (cell == state.cells.end())
        reader.valid = false;
    else
        cell->second.volumes[name] = demand;
}

void readBucket(Reader& reader, BudgetLedger& bucket) {
    bucket.bucketLevel = reader.figure();
    bucket.lastRefillMs = reader.figure();
}

void readVolume(Reader& reader, ImportedState& state) {
    Volume& volume = state.volumes[reader.name()];
    volume.planNo = static_cast<int>(std::min<std::uint64_t>(reader.integer(), 1'000'000));
    volume.hostCount = static_cast<int>(std::clamp<std::uint64_t>(reader.integer(), 1, 1'000'000));
    volume.lastSeenMs = reader.figure();
    for (const auto figure : kVolumeFigures) volume.*figure = reader.figure();
}

bool readAll(Reader& reader, ImportedState& state) {
    if (reader.beginLine() != kFormat) return false;
    state.writtenMs = reader.figure();
    state.budgetFillStartMs = reader.figure();
    bool ended = false;
    for (auto kind = reader.beginLine(); !kind.empty() && reader.valid; kind = reader.beginLine()) {
        if (ended) return false;
        const int linesBefore = reader.lines - 1;
        if (kind == "node") {
            readNode(reader, state);
        } else if (kind == "cell") {
            readCell(reader, state);
        } else if (kind == "demand") {
            readDemand(reader, state);
        } else if (kind == "volume") {
            readVolume(reader, state);
        } else if (kind == "share") {
            const BudgetId id{'v', reader.integer()};
            readBucket(reader, state.shareLevels[id]);
        } else if (kind == "till") {
            const BudgetId id{'v', reader.integer()};
            const int coordinatorIndex =
                static_cast<int>(std::min<std::uint64_t>(reader.integer(), 1'000'000));
            readBucket(reader, state.coordinatorLevels[{id, coordinatorIndex}]);
        } else if (kind == "taken" || kind == "extra") {
            const double ms = reader.figure();
            (kind == "taken" ? state.recentRequests : state.recentRetries)[ms] = reader.figure();
        } else if (kind == "end") {
            ended = reader.integer() == static_cast<std::uint64_t>(linesBefore);
        } else {
            return false;
        }
    }
    return reader.valid && ended && reader.allRead();
}

void writeNodes(Writer& out, const Fleet& fleet) {
    for (const Node* node : fleet.nodesById()) {
        if (node->usualMsPerUnit <= 0 && node->unitsPerSecond <= 0 && node->silentSinceMs <= 0) continue;
        out.beginLine("node");
        out.integer(node->id);
        out.exact(node->bootMs);
        for (const auto figure : kNodeFigures) out.number(node->*figure);
        for (const auto time : kNodeTimes) out.time(node->*time);
    }
}

void writeCells(Writer& out, const Fleet& fleet) {
    for (const CellId id : fleet.cellsInRounds) {
        const Cell& cell = fleet.cells.at(id);
        out.beginLine("cell");
        out.integer(static_cast<std::uint64_t>(id));
        out.bid(cell.ownBid);
        out.bid(cell.bidSum);
        out.time(cell.bidSumMs);
        out.integer(cell.saturated ? 1 : 0);
        for (const double figure :
             {cell.offeredLastRound, cell.offeredThisRound, cell.admittedUnitsThisRound})
            out.number(figure);
        for (const auto& [name, demand] : cell.volumes) {
            if (name.empty() || name.size() > kMaxNameBytes) continue;
            out.beginLine("demand");
            out.integer(static_cast<std::uint64_t>(id));
            out.name(name);
            for (const double figure :
                 {demand.offeredThisRound, demand.offeredLastRound, demand.fairUnitsPerSecond})
                out.number(figure);
            for (const auto& [worth, worthDemand] : demand.byWorth)
                for (const double figure :
                     {worth, worthDemand.offeredThisRound, worthDemand.offeredLastRound})
                    out.number(figure);
        }
    }
}

/// Accounts for a round that ended after the text was written: its current round is now the last one.
void endRound(ImportedState& imported) {
    for (auto& [id, cell] : imported.cells) {
        cell.offeredLastRound = std::exchange(cell.offeredThisRound, 0);
        cell.admittedUnitsThisRound = 0;
        for (auto& [name, demand] : cell.volumes) {
            demand.offeredLastRound = std::exchange(demand.offeredThisRound, 0);
            for (auto& [worth, worthDemand] : demand.byWorth)
                worthDemand.offeredLastRound = std::exchange(worthDemand.offeredThisRound, 0);
        }
    }
    for (auto& [name, volume] : imported.volumes) volume.endRound();
}

/// Writes a bucket's level and empties the bucket, which from now on fills from zero.
void moveLevel(Writer& out, BudgetLedger& bucket, double nowMs) {
    out.number(std::max(0.0, std::exchange(bucket.bucketLevel, 0)));
    out.time(std::exchange(bucket.lastRefillMs, nowMs));
}
/// Adds an imported level. The bucket's own level is small, since it was empty when this host started.
void addLevel(BudgetLedger& bucket, const BudgetLedger& imported, double nowMs) {
    bucket.bucketLevel += imported.bucketLevel;
    bucket.lastRefillMs = std::min(imported.lastRefillMs, nowMs);
}

}  // namespace

std::string writeLearnedState(double nowMs, const LearnedState& from) {
    Writer out;
    out.beginLine(kFormat);
    out.time(nowMs);
    out.time(std::exchange(from.budgetFillStartMs, nowMs));
    writeNodes(out, from.fleet);
    writeCells(out, from.fleet);
    for (const auto& [name, volume] : from.volumes) {
        if (name.empty() || name.size() > kMaxNameBytes) continue;
        out.beginLine("volume");
        out.name(name);
        out.integer(static_cast<std::uint64_t>(volume.planNo));
        out.integer(static_cast<std::uint64_t>(volume.hostCount));
        out.time(volume.lastSeenMs);
        for (const auto figure : kVolumeFigures) out.number(volume.*figure);
    }
    for (auto& [id, share] : from.budgetShares) {
        if (id.first != 'v') continue;
        out.beginLine("share");
        out.integer(id.second);
        moveLevel(out, share.evenPart, nowMs);
    }
    for (auto& [id, coordinator] : from.coordinatorBudgets) {
        if (id.first != 'v') continue;
        for (auto& [index, bucket] : coordinator.ledgers) {
            out.beginLine("till");
            out.integer(id.second);
            out.integer(static_cast<std::uint64_t>(index));
            moveLevel(out, bucket, nowMs);
        }
    }
    writeWindow(out, "taken", from.recentRequests, false);
    writeWindow(out, "extra", from.recentRetries, true);
    const int linesBefore = out.lines;
    out.beginLine("end");
    out.integer(static_cast<std::uint64_t>(linesBefore));
    return std::move(out.text);
}

bool readLearnedState(std::string_view text, double nowMs, double roundStartMs, const LearnedState& to) {
    Reader reader(text);
    ImportedState imported;
    if (!readAll(reader, imported) || std::abs(nowMs - imported.writtenMs) > kLearnedStateMaxAgeMs)
        return false;
    if (imported.writtenMs < roundStartMs) endRound(imported);
    const double latestValidMs = nowMs + kLearnedStateMaxAgeMs;  // overload never holds for longer
    for (const auto& [id, importedNode] : imported.nodes) {
        const auto known = to.fleet.nodes.find(id);
        if (known == to.fleet.nodes.end() || known->second.bootMs != importedNode.bootMs) continue;
        for (const auto figure : kNodeFigures) known->second.*figure = importedNode.*figure;
        for (const auto time : kNodeTimes) known->second.*time = std::min(importedNode.*time, latestValidMs);
    }
    // This process may have fewer plans than the one that wrote the text.
    std::erase_if(imported.volumes, [&](const auto& v) {
        return v.second.planNo >= static_cast<int>(to.settings.plans.size());
    });
    for (auto& [id, importedCell] : imported.cells) {
        const auto known = to.fleet.cells.find(id);
        if (known == to.fleet.cells.end() || known->second.holders.empty()) continue;
        Cell& cell = to.fleet.cellForUpdate(id);
        cell.ownBid = importedCell.ownBid;
        cell.bidSum = importedCell.bidSum;
        cell.bidSumMs = std::min(importedCell.bidSumMs, nowMs);
        cell.saturated = importedCell.saturated;
        cell.offeredLastRound = importedCell.offeredLastRound;
        cell.offeredThisRound += importedCell.offeredThisRound;
        cell.admittedUnitsThisRound += importedCell.admittedUnitsThisRound;
        for (auto& [name, demand] : importedCell.volumes)
            if (imported.volumes.contains(name)) cell.volumes.try_emplace(name, std::move(demand));
    }
    for (auto& [name, volume] : imported.volumes) {
        volume.lastSeenMs = std::min(volume.lastSeenMs, nowMs);
        to.volumes.try_emplace(name, volume);
    }
    for (const auto& [id, level] : imported.shareLevels) addLevel(to.budgetShares[id].evenPart, level, nowMs);
    for (const auto& [id, level] : imported.coordinatorLevels)
        addLevel(to.coordinatorBudgets[id.first].ledgers[id.second], level, nowMs);
    to.budgetFillStartMs = std::min(imported.budgetFillStartMs, nowMs);
    prepend(to.recentRequests, imported.recentRequests);
    prepend(to.recentRetries, imported.recentRetries);
    return true;
}

}  // namespace limedrum
