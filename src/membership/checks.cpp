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
void checkWhole(const ParsedNodeFile& d, ProblemCollector& problems) {
    for (const Problem& problem : d.problems)
        problems.add(problem.location, problem.reason, problem.severity);
    if (!d.problems.empty()) return;
    const auto incomplete = [&](const std::string& why) {
        problems.add({d.file, 0, 0}, why, Severity::incomplete);
    };
    if (d.version == 0) problems.add({d.file, 0, 0}, "version: missing or 0; versions are numbered from 1");
    if (d.version != d.trailerVersion)
        incomplete("starts with version " + number(d.version) + " but ends with version " +
                   number(d.trailerVersion));
    if (d.declaredCount != d.members.size())
        incomplete("count is " + number(d.declaredCount) + ", but the file has " + number(d.members.size()) +
                   " nodes");
}

bool goodName(const std::string& name) {
    const auto good = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
               std::string_view("-._").find(c) != std::string_view::npos;
    };
    return !name.empty() && name.size() <= 128 && std::all_of(name.begin(), name.end(), good);
}

/// Returns whether the address is "host:port" with a port from 1 to 65535. The host is not checked here.
bool goodDial(const std::string& dial) {
    const std::size_t colon = dial.rfind(':');
    if (colon == dial.npos || colon == 0 || dial.size() > 256) return false;
    const std::string port = dial.substr(colon + 1);
    const auto digit = [](char c) { return c >= '0' && c <= '9'; };
    return !port.empty() && port.size() <= 5 && std::all_of(port.begin(), port.end(), digit) &&
           std::stoi(port) >= 1 && std::stoi(port) <= 65535;
}

/// An entry and the file that contains it.
struct Entry {
    const ParsedNodeFile* draft = nullptr;
    const ParsedMember* told = nullptr;

    [[nodiscard]] SourceLocation at() const { return {draft->file, told->line, told->column}; }
    [[nodiscard]] std::string text() const {
        return told->line > 0 ? draft->file + ':' + std::to_string(told->line) : draft->file;
    }
};

/// The range of the weights of a shard's ready holders.
struct Weights {
    double least = INFINITY;  // smallest weight above 0
    double most = 0;
    Entry first;
};

void checkWeights(const std::map<int, Weights>& shards, const MembershipRules& rules,
                  ProblemCollector& problems) {
    for (const auto& [shard, w] : shards) {
        const std::string name = "shard " + std::to_string(shard);
        if (w.most <= 0)
            problems.add(w.first.at(), "weight: all ready nodes of " + name + " have weight 0");
        else if (w.most > w.least * rules.maxWeightRatio)
            problems.add(w.first.at(), "weight: in " + name + " the largest is " +
                                           std::to_string(std::llround(w.most / w.least)) +
                                           " times the smallest; at most " +
                                           std::to_string(std::llround(rules.maxWeightRatio)) +
                                           " times is allowed");
    }
}

/// The removals that the permits for a change allow together.
struct Allowed {
    std::set<std::string> racks;
    std::set<int> shards;
    double fleetPart = 0;
    bool other = false;  // whether there are permits for changes from another version
};
Allowed allowed(const std::vector<const ParsedNodeFile*>& parts, std::uint64_t from) {
    Allowed out;
    for (const ParsedNodeFile* d : parts) {
        for (const RemovalPermit& permit : d->permits) {
            if (permit.fromVersion != from) {
                out.other = true;
                continue;
            }
            out.racks.insert(permit.racks.begin(), permit.racks.end());
            out.shards.insert(permit.shards.begin(), permit.shards.end());
            out.fleetPart = std::max(out.fleetPart, permit.maxFleetFraction);
        }
    }
    return out;
}

}  // namespace

void ProblemCollector::add(SourceLocation at, std::string reason, Severity severity) {
    if (problems_.size() >= maxProblems_) return void(++omittedCount_);
    problems_.emplace_back(std::move(at), std::move(reason), severity);
}

std::vector<Problem> ProblemCollector::take() {
    if (omittedCount_ > 0)
        problems_.emplace_back(SourceLocation{}, std::to_string(omittedCount_) + " more problems",
                               problems_.back().severity);
    return std::move(problems_);
}

std::vector<const ParsedNodeFile*> selectNewestVersion(const std::vector<ParsedNodeFile>& drafts,
                                                       ProblemCollector& problems) {
    for (const ParsedNodeFile& d : drafts) checkWhole(d, problems);
    if (!problems.empty()) return {};
    if (drafts.empty()) {
        problems.add({}, "no files of nodes are there", Severity::incomplete);
        return {};
    }
    const auto byVersion = [](const ParsedNodeFile& a, const ParsedNodeFile& b) {
        return a.version < b.version;
    };
    const ParsedNodeFile& head = *std::max_element(drafts.begin(), drafts.end(), byVersion);
    std::map<std::string, const ParsedNodeFile*> found;
    const std::set<std::string> wanted(head.partNames.begin(), head.partNames.end());
    if (wanted.size() != head.partNames.size())
        problems.add({head.file, 0, 0}, "parts: a part is listed twice");
    if (wanted.empty() != head.partName.empty() || (!wanted.empty() && !wanted.contains(head.partName)))
        problems.add({head.file, 0, 0},
                     "part: " + quoted(head.partName) + " is not listed in the version's parts");
    for (const ParsedNodeFile& d : drafts) {
        if (d.version == head.version) {
            if (d.partNames != head.partNames)
                problems.add({d.file, 0, 0},
                             "parts: differ from those in " + head.file + ", which has the same version");
            else if (!found.emplace(d.partName, &d).second)
                problems.add({d.file, 0, 0}, "part: " + quoted(d.partName) + " is also the part of " +
                                                 found.at(d.partName)->file);
        } else if (wanted.contains(d.partName)) {
            problems.add({d.file, 0, 0},
                         "part " + quoted(d.partName) + " is still at version " + number(d.version) + ", " +
                             head.file + " is at " + number(head.version),
                         Severity::incomplete);
        }  // Older parts that the version no longer lists are ignored.
    }
    if (!problems.empty()) return {};
    for (const std::string& part : wanted) {
        if (!found.contains(part))
            problems.add({head.file, 0, 0}, "part " + quoted(part) + " is not there", Severity::incomplete);
    }
    std::vector<const ParsedNodeFile*> out;
    for (const auto& [part, d] : found) out.push_back(d);
    return out;
}

void checkMembers(const std::vector<const ParsedNodeFile*>& parts, const MembershipRules& rules, double nowMs,
                  ProblemCollector& problems) {
    std::unordered_map<std::string_view, Entry> names, dials;
    std::map<int, Weights> shards;
    std::size_t nodes = 0;
    for (const ParsedNodeFile* d : parts) {
        nodes += d->members.size();
        for (const ParsedMember& entry : d->members) {
            const Member& m = entry.member;
            const Entry here{d, &entry};
            const auto wrong = [&](const std::string& why) { problems.add(here.at(), why); };
            if (!goodName(m.name))
                wrong("name: " + quoted(m.name.substr(0, 128)) +
                      " is not 1 to 128 letters, digits, '-', '.' or '_'");
            else if (const auto [at, fresh] = names.emplace(m.name, here); !fresh)
                wrong("name: " + quoted(m.name) + " is also in " + at->second.text());
            if (!goodDial(m.address))
                wrong("dial: " + quoted(m.address.substr(0, 128)) + " is not host:port");
            else if (const auto [at, fresh] = dials.emplace(m.address, here); !fresh)
                wrong("dial: " + quoted(m.address) + " is also the address of " +
                      quoted(at->second.told->member.name) + " in " + at->second.text());
            if (m.shard < 0 || (rules.shardCount > 0 && m.shard >= rules.shardCount))
                wrong("shard: " + std::to_string(m.shard) + " is out of range" +
                      (rules.shardCount > 0
                           ? "; shards are numbered from 0 to " + std::to_string(rules.shardCount - 1)
                           : std::string()));
            if (!std::isfinite(m.weight) || m.weight < 0) {
                wrong("weight: must be a finite number of at least 0");
                continue;
            }
            if (entry.hasBootTime && (!std::isfinite(m.bootTimeMs) || m.bootTimeMs < 0))
                wrong("born_ms: must be a finite number of at least 0");
            else if (m.bootTimeMs > nowMs + rules.maxClockSkewMs)
                wrong("born_ms: is too far in the future");
            if (m.state != MemberState::ready) continue;
            Weights& w = shards[m.shard];
            if (w.first.told == nullptr) w.first = here;
            w.most = std::max(w.most, m.weight);
            if (m.weight > 0) w.least = std::min(w.least, m.weight);
        }
    }
    if (nodes > rules.maxNodes)
        problems.add({parts.front()->file, 0, 0},
                     number(nodes) + " nodes; at most " + number(rules.maxNodes) + " are allowed");
    if (nodes == 0) problems.add({parts.front()->file, 0, 0}, "the version has no nodes");
    checkWeights(shards, rules, problems);
}

void checkRemovals(const Membership& before, const std::vector<Member>& after, std::size_t leaving,
                   const std::vector<const ParsedNodeFile*>& parts, const MembershipRules& rules,
                   ProblemCollector& problems) {
    std::set<std::string> racks;  // with a serving node afterwards
    std::set<int> shards;
    for (const Member& m : after) {
        if (!m.serving()) continue;
        racks.insert(m.rack);
        shards.insert(m.shard);
    }
    std::map<std::string, std::size_t> lostRacks;
    std::map<int, std::size_t> lostShards;
    std::size_t serving = 0, lost = 0;
    for (const Member& m : before.members) {
        if (!m.serving()) continue;
        ++serving;
        lost += !hasServingMember(after, m.name);
        if (!m.rack.empty() && !racks.contains(m.rack)) ++lostRacks[m.rack];
        if (!shards.contains(m.shard)) ++lostShards[m.shard];
    }
    const Allowed may = allowed(parts, before.version);
    const std::string from = number(before.version);
    const SourceLocation head{parts.front()->file, 0, 0};
    const std::string hint =
        may.other ? " (a permit names another version than " + from + ", the current version)" : "";
    for (const auto& [rack, nodes] : lostRacks) {
        if (may.racks.contains(rack)) continue;
        problems.add(head, "would take every node of rack " + quoted(rack) + " out of service (" +
                               number(nodes) + "); if this is intended, add: permit { from_version: " + from +
                               " rack: " + quoted(rack) + " }" + hint);
    }
    for (const auto& [shard, nodes] : lostShards) {
        if (may.shards.contains(shard)) continue;
        problems.add(head, "would take every node of shard " + std::to_string(shard) + " out of service (" +
                               number(nodes) + "); if this is intended, add: permit { from_version: " + from +
                               " shard: " + std::to_string(shard) + " }" + hint);
    }
    // Nodes lost recently count too, so that several small versions remove no more than one large version.
    // The 1e-9 allows for rounding.
    const double all = static_cast<double>(serving + leaving);
    const double part = std::max(may.fleetPart, rules.maxLostFraction);
    const std::size_t gone = lost + leaving;
    if (lost == 0 || gone <= 1 || static_cast<double>(gone) <= part * all * (1 + 1e-9)) return;
    problems.add(head, "would take " + number(gone) + " of " + number(serving + leaving) +
                           " nodes out of service within " +
                           std::to_string(std::llround(rules.removalDrainMs / 1000)) +
                           " s; if this is intended, add: permit { from_version: " + from + " fleet_part: " +
                           std::to_string(static_cast<double>(gone) / all).substr(0, 4) + " }" + hint);
}

}  // namespace martencove::membership
