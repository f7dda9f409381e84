#include "membership/checks.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>

namespace martencove::membership {
namespace {

std::string number(std::uint64_t value) { return std::to_string(value); }
std::string quoted(const std::string& text) { return '"' + text + '"'; }

/// Checks that a file by itself is complete.
void checkComplete(const ParsedNodeFile& nodeFile, ProblemCollector& problems) {
    for (const Problem& problem : nodeFile.problems)
        problems.add(problem.location, problem.reason, problem.severity);
    if (!nodeFile.problems.empty()) return;
    const auto addIncomplete = [&](const std::string& why) {
        problems.add({nodeFile.file, 0, 0}, why, Severity::incomplete);
    };
    if (nodeFile.version == 0)
        problems.add({nodeFile.file, 0, 0}, "version: missing or 0; versions are numbered from 1");
    if (nodeFile.version != nodeFile.trailerVersion)
        addIncomplete("starts with version " + number(nodeFile.version) + " but ends with version " +
                      number(nodeFile.trailerVersion));
    if (nodeFile.declaredCount != nodeFile.members.size())
        addIncomplete("count is " + number(nodeFile.declaredCount) +
                      ", but the number of nodes in the file is " + number(nodeFile.members.size()));
}

bool isValidName(const std::string& name) {
    const auto isAllowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
               std::string_view("-._").find(c) != std::string_view::npos;
    };
    return !name.empty() && name.size() <= 128 && std::all_of(name.begin(), name.end(), isAllowed);
}

/// Returns whether the address is "host:port" with a port from 1 to 65535. The host is not checked here.
bool isValidAddress(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    if (colon == address.npos || colon == 0 || address.size() > 256) return false;
    const std::string port = address.substr(colon + 1);
    const auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
    return !port.empty() && port.size() <= 5 && std::all_of(port.begin(), port.end(), isDigit) &&
           std::stoi(port) >= 1 && std::stoi(port) <= 65535;
}

/// An entry and the file that contains it.
struct Entry {
    const ParsedNodeFile* nodeFile = nullptr;
    const ParsedMember* parsed = nullptr;

    [[nodiscard]] SourceLocation location() const { return {nodeFile->file, parsed->line, parsed->column}; }
    [[nodiscard]] std::string text() const {
        return parsed->line > 0 ? nodeFile->file + ':' + std::to_string(parsed->line) : nodeFile->file;
    }
};

/// The range of the weights of a shard's ready holders.
struct WeightRange {
    double smallest = INFINITY;  // smallest weight above 0
    double largest = 0;
    Entry firstEntry;
};

void checkWeights(const std::map<int, WeightRange>& rangesByShard, const MembershipRules& rules,
                  ProblemCollector& problems) {
    for (const auto& [shard, range] : rangesByShard) {
        const std::string name = "shard " + std::to_string(shard);
        if (range.largest <= 0)
            problems.add(range.firstEntry.location(),
                         "weight: all ready nodes of " + name + " have weight 0");
        else if (range.largest > range.smallest * rules.maxWeightRatio)
            problems.add(range.firstEntry.location(),
                         "weight: in " + name + " the largest is " +
                             std::to_string(std::llround(range.largest / range.smallest)) +
                             " times the smallest; at most " +
                             std::to_string(std::llround(rules.maxWeightRatio)) + " times is allowed");
    }
}

/// The removals that the permits for a change allow together.
struct AllowedRemovals {
    std::set<std::string> racks;
    std::set<int> shards;
    double maxFleetFraction = 0;
    /// Whether there are permits for changes from other versions, which the problems mention.
    bool hasOtherPermits = false;
};
AllowedRemovals collectPermits(const std::vector<const ParsedNodeFile*>& parts, std::uint64_t fromVersion) {
    AllowedRemovals allowed;
    for (const ParsedNodeFile* nodeFile : parts) {
        for (const RemovalPermit& permit : nodeFile->permits) {
            if (permit.fromVersion != fromVersion) {
                allowed.hasOtherPermits = true;
                continue;
            }
            allowed.racks.insert(permit.racks.begin(), permit.racks.end());
            allowed.shards.insert(permit.shards.begin(), permit.shards.end());
            allowed.maxFleetFraction = std::max(allowed.maxFleetFraction, permit.maxFleetFraction);
        }
    }
    return allowed;
}

}  // namespace

void ProblemCollector::add(SourceLocation location, std::string reason, Severity severity) {
    if (problems_.size() >= maxProblems_) return void(++omittedCount_);
    problems_.emplace_back(std::move(location), std::move(reason), severity);
}

std::vector<Problem> ProblemCollector::take() {
    if (omittedCount_ > 0)
        problems_.emplace_back(SourceLocation{}, std::to_string(omittedCount_) + " more problems",
                               problems_.back().severity);
    return std::move(problems_);
}

std::vector<const ParsedNodeFile*> selectNewestVersion(const std::vector<ParsedNodeFile>& nodeFiles,
                                                       ProblemCollector& problems) {
    for (const ParsedNodeFile& nodeFile : nodeFiles) checkComplete(nodeFile, problems);
    if (!problems.empty()) return {};
    if (nodeFiles.empty()) {
        problems.add({}, "no files of nodes are there", Severity::incomplete);
        return {};
    }
    const auto byVersion = [](const ParsedNodeFile& a, const ParsedNodeFile& b) {
        return a.version < b.version;
    };
    const ParsedNodeFile& newest = *std::max_element(nodeFiles.begin(), nodeFiles.end(), byVersion);
    std::map<std::string, const ParsedNodeFile*> filesByPart;
    const std::set<std::string> partNames(newest.partNames.begin(), newest.partNames.end());
    if (partNames.size() != newest.partNames.size())
        problems.add({newest.file, 0, 0}, "parts: a part is listed twice");
    if (partNames.empty() != newest.partName.empty() ||
        (!partNames.empty() && !partNames.contains(newest.partName)))
        problems.add({newest.file, 0, 0},
                     "part: " + quoted(newest.partName) + " is not listed in the version's parts");
    for (const ParsedNodeFile& nodeFile : nodeFiles) {
        if (nodeFile.version == newest.version) {
            if (nodeFile.partNames != newest.partNames)
                problems.add({nodeFile.file, 0, 0},
                             "parts: differ from those in " + newest.file + ", which has the same version");
            else if (!filesByPart.emplace(nodeFile.partName, &nodeFile).second)
                problems.add({nodeFile.file, 0, 0}, "part: " + quoted(nodeFile.partName) +
                                                        " is also the part of " +
                                                        filesByPart.at(nodeFile.partName)->file);
        } else if (partNames.contains(nodeFile.partName)) {
            problems.add({nodeFile.file, 0, 0},
                         "part " + quoted(nodeFile.partName) + " is still at version " +
                             number(nodeFile.version) + ", " + newest.file + " is at " +
                             number(newest.version),
                         Severity::incomplete);
        }  // Older parts that the version no longer lists are ignored.
    }
    if (!problems.empty()) return {};
    for (const std::string& part : partNames) {
        if (!filesByPart.contains(part))
            problems.add({newest.file, 0, 0}, "part " + quoted(part) + " is not there", Severity::incomplete);
    }
    std::vector<const ParsedNodeFile*> selected;
    for (const auto& [part, nodeFile] : filesByPart) selected.push_back(nodeFile);
    return selected;
}

void checkMembers(const std::vector<const ParsedNodeFile*>& parts, const MembershipRules& rules, double nowMs,
                  ProblemCollector& problems) {
    std::unordered_map<std::string_view, Entry> entriesByName, entriesByAddress;
    std::map<int, WeightRange> rangesByShard;
    std::size_t nodeCount = 0;
    for (const ParsedNodeFile* nodeFile : parts) {
        nodeCount += nodeFile->members.size();
        for (const ParsedMember& parsed : nodeFile->members) {
            const Member& member = parsed.member;
            const Entry entry{nodeFile, &parsed};
            const auto addProblem = [&](const std::string& why) { problems.add(entry.location(), why); };
            if (!isValidName(member.name))
                addProblem("name: " + quoted(member.name.substr(0, 128)) +
                           " is not 1 to 128 letters, digits, '-', '.' or '_'");
            else if (const auto [existing, inserted] = entriesByName.emplace(member.name, entry); !inserted)
                addProblem("name: " + quoted(member.name) + " is also in " + existing->second.text());
            if (!isValidAddress(member.address))
                addProblem("dial: " + quoted(member.address.substr(0, 128)) + " is not host:port");
            else if (const auto [existing, inserted] = entriesByAddress.emplace(member.address, entry);
                     !inserted)
                addProblem("dial: " + quoted(member.address) + " is also the address of " +
                           quoted(existing->second.parsed->member.name) + " in " + existing->second.text());
            if (member.shard < 0 || (rules.shardCount > 0 && member.shard >= rules.shardCount))
                addProblem("shard: " + std::to_string(member.shard) + " is out of range" +
                           (rules.shardCount > 0
                                ? "; shards are numbered from 0 to " + std::to_string(rules.shardCount - 1)
                                : std::string()));
            if (!std::isfinite(member.weight) || member.weight < 0) {
                addProblem("weight: must be a finite number of at least 0");
                continue;
            }
            if (parsed.hasBootTime && (!std::isfinite(member.bootTimeMs) || member.bootTimeMs < 0))
                addProblem("born_ms: must be a finite number of at least 0");
            else if (member.bootTimeMs > nowMs + rules.maxClockSkewMs)
                addProblem("born_ms: is too far in the future");
            if (member.state != MemberState::ready) continue;
            WeightRange& range = rangesByShard[member.shard];
            if (range.firstEntry.parsed == nullptr) range.firstEntry = entry;
            range.largest = std::max(range.largest, member.weight);
            if (member.weight > 0) range.smallest = std::min(range.smallest, member.weight);
        }
    }
    if (nodeCount > rules.maxNodes)
        problems.add({parts.front()->file, 0, 0},
                     number(nodeCount) + " nodes; at most " + number(rules.maxNodes) + " are allowed");
    if (nodeCount == 0) problems.add({parts.front()->file, 0, 0}, "the version has no nodes");
    checkWeights(rangesByShard, rules, problems);
}

void checkRemovals(const Membership& before, const std::vector<Member>& after, std::size_t recentlyLost,
                   const std::vector<const ParsedNodeFile*>& parts, const MembershipRules& rules,
                   ProblemCollector& problems) {
    std::set<std::string> servingRacks;  // with a serving node afterwards
    std::set<int> servingShards;
    for (const Member& member : after) {
        if (!member.isServing()) continue;
        servingRacks.insert(member.rack);
        servingShards.insert(member.shard);
    }
    std::map<std::string, std::size_t> lostRacks;
    std::map<int, std::size_t> lostShards;
    std::size_t serving = 0, lost = 0;
    for (const Member& member : before.members) {
        if (!member.isServing()) continue;
        ++serving;
        lost += !hasServingMember(after, member.name);
        if (!member.rack.empty() && !servingRacks.contains(member.rack)) ++lostRacks[member.rack];
        if (!servingShards.contains(member.shard)) ++lostShards[member.shard];
    }
    const AllowedRemovals allowed = collectPermits(parts, before.version);
    const std::string fromVersion = number(before.version);
    const SourceLocation location{parts.front()->file, 0, 0};
    const std::string hint = allowed.hasOtherPermits ? " (a permit names another version than " +
                                                           fromVersion + ", the current version)"
                                                     : "";
    for (const auto& [rack, count] : lostRacks) {
        if (allowed.racks.contains(rack)) continue;
        problems.add(location, "would take every node of rack " + quoted(rack) + " out of service (" +
                                   number(count) + "); if this is intended, add: permit { from_version: " +
                                   fromVersion + " rack: " + quoted(rack) + " }" + hint);
    }
    for (const auto& [shard, count] : lostShards) {
        if (allowed.shards.contains(shard)) continue;
        problems.add(location, "would take every node of shard " + std::to_string(shard) +
                                   " out of service (" + number(count) +
                                   "); if this is intended, add: permit { from_version: " + fromVersion +
                                   " shard: " + std::to_string(shard) + " }" + hint);
    }
    // Nodes lost recently count too, so that several small versions remove no more than one large version.
    // The 1e-9 allows for rounding.
    const double total = static_cast<double>(serving + recentlyLost);
    const double maxFraction = std::max(allowed.maxFleetFraction, rules.maxLostFraction);
    const std::size_t totalLost = lost + recentlyLost;
    if (lost == 0 || totalLost <= 1 || static_cast<double>(totalLost) <= maxFraction * total * (1 + 1e-9))
        return;
    problems.add(location,
                 "would take " + number(totalLost) + " of " + number(serving + recentlyLost) +
                     " nodes out of service within " +
                     std::to_string(std::llround(rules.removalDrainMs / 1000)) +
                     " s; if this is intended, add: permit { from_version: " + fromVersion + " fleet_part: " +
                     std::to_string(static_cast<double>(totalLost) / total).substr(0, 4) + " }" + hint);
}

}  // namespace martencove::membership
