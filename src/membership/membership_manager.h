// Decides which version of the node list is current. Does no I/O and reads no clock: callers pass the parsed
// files and the time. Not thread-safe: a single thread calls it; the memberships that it returns are
// immutable.
//
// A version is accepted as a whole or not at all. It must be complete (every part present, each with the
// right count, the same version at both ends and its seal), valid (names, addresses, shards, weights), newer
// than the current version, and must not remove more nodes than the rules allow.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "membership/membership.h"

namespace martencove::membership {

/// Limits that offered versions must meet.
struct MembershipRules {
    double removalDrainMs = 30'000;  ///< how long a node that is no longer listed drains
    double maxLostFraction = 0.25;   ///< of serving nodes, per removalDrainMs; losing one is always allowed
    double maxWeightRatio = 1000;    ///< largest to smallest nonzero weight within a shard
    double maxClockSkewMs = 5000;    ///< how far boot times may lie in the future, as clocks differ
    int shardCount = 0;              ///< shard numbers are below this; 0: no limit
    std::size_t maxNodes = 100'000;  ///< per version
    std::size_t maxReportedProblems = 20;  ///< per version; further problems are only counted
};

/// The outcome of an offered version. Only `accepted` changes the current membership.
enum class OfferOutcome {
    accepted,    ///< now current
    unchanged,   ///< already current
    incomplete,  ///< not a complete version, at least not yet
    refused      ///< not acceptable
};

/// The answer to an offered version.
struct OfferResult {
    OfferOutcome outcome = OfferOutcome::unchanged;
    std::uint64_t version = 0;       ///< the offered version; 0: unknown
    std::vector<Problem> problems;   ///< why the version was not accepted
    std::vector<std::string> notes;  ///< warnings for the operator about an accepted version
};

/// Holds the current membership and replaces it when a newer acceptable version is offered. Times are Unix
/// time in ms.
class MembershipManager {
public:
    explicit MembershipManager(MembershipRules rules) : rules_(rules) {}

    /// Makes a membership saved by an earlier run current. Nodes that were leaving are dropped, because this
    /// process has no outstanding work on them.
    void restore(Membership saved, double nowMs);

    /// Offers the version that the files form together. `nodeFiles` must hold all files as last read.
    [[nodiscard]] OfferResult offerVersion(const std::vector<ParsedNodeFile>& nodeFiles, double nowMs);

    /// Removes leaving nodes whose drain time has passed. Returns whether this replaced the current
    /// membership; the version stays the same.
    [[nodiscard]] bool removeDeparted(double nowMs);
    /// Returns when removeDeparted() next has a node to remove; infinity if no node is leaving.
    [[nodiscard]] double nextRemovalMs() const;

    /// Returns the current membership; null before the first version.
    [[nodiscard]] const MembershipPtr& current() const { return current_; }

private:
    struct LeavingMember {
        Member member;
        double removeAtMs = 0;
    };
    /// Returns how many nodes stopped serving within the last removalDrainMs and do not serve in `listed`.
    [[nodiscard]] std::size_t countRecentlyLost(const std::vector<Member>& listed, double nowMs) const;
    /// Returns the nodes of all parts sorted by name, each with its boot time as far as known.
    [[nodiscard]] std::vector<Member> mergeParts(const std::vector<const ParsedNodeFile*>& parts,
                                                 double nowMs) const;
    /// Makes `members` current, together with the nodes that are still leaving.
    void activate(std::uint64_t version, std::string digest, std::vector<Member> members, double nowMs);

    MembershipRules rules_;
    MembershipPtr current_;
    std::map<std::string, LeavingMember> leaving_;  // by name; all are in current_ too
    // When nodes stopped serving, by name, kept for removalDrainMs. The limit on lost nodes applies to that
    // period, so that many small versions remove no more than one large version. One entry per node at most.
    std::map<std::string, double> lostAtMs_;
};

}  // namespace martencove::membership
