// Decides which version of the node list is in force. Does no I/O and reads no clock: what was read and the
// time are handed in. Not thread-safe: one thread calls it, what it hands out is immutable.
//
// A version comes into force whole or not at all. It must be complete (every part there, each with its count,
// its version at both ends and its seal), sound (names, addresses, shards, weights), newer than the one in
// force, and must not take away more than the guards let pass.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "membership/membership.h"

namespace martencove::membership {

/// Bounds and times by which versions are judged.
struct MembershipRules {
    double removalDrainMs = 30'000;  ///< a node that no version names drains for so long before it is gone
    double maxLostFraction = 0.25;   ///< of the serving nodes: may be lost within departMs; one always may
    double maxWeightRatio = 1000;    ///< largest over smallest weight above 0 of one shard's holders
    double maxClockSkewMs = 5000;    ///< how far in the future a start may lie, for clocks that differ
    int shardCount = 0;              ///< shards are numbered below this; 0: any number
    std::size_t maxNodes = 100'000;  ///< in one version
    std::size_t maxReportedProblems = 20;  ///< told of one version, the rest is counted
};

enum class OfferOutcome {
    accepted,    ///< in force now
    unchanged,   ///< what is in force already
    incomplete,  ///< not (yet) a whole version: what is in force stays
    refused      ///< not fit: what is in force stays
};
struct OfferResult {
    OfferOutcome outcome = OfferOutcome::unchanged;
    std::uint64_t version = 0;       ///< that was offered; 0: not known
    std::vector<Problem> problems;   ///< why not
    std::vector<std::string> notes;  ///< of an accepted one: what an operator should hear
};

class MembershipManager {
public:
    explicit MembershipManager(MembershipRules rules) : rules_(rules) {}

    /// Takes what was kept from an earlier run as the version in force. Nodes that were leaving are gone:
    /// this process has nothing out to them.
    void restore(Membership kept, double nowMs);

    /// Judges the files as they were last read, all of them.
    [[nodiscard]] OfferResult offerVersion(const std::vector<ParsedNodeFile>& drafts, double nowMs);

    /// Lets nodes go whose departure is over. True: there is a new membership, of the same version.
    [[nodiscard]] bool removeDeparted(double nowMs);
    /// When depart() has something to do next; infinity: nothing leaves.
    [[nodiscard]] double nextRemovalMs() const;

    /// The membership in force; null before the first.
    [[nodiscard]] const MembershipPtr& current() const { return current_; }

private:
    struct LeavingMember {
        Member member;
        double removeAtMs = 0;
    };
    /// Serving nodes that were lost a moment ago and do not serve again among `named`.
    [[nodiscard]] std::size_t countRecentlyLost(const std::vector<Member>& named, double nowMs) const;
    [[nodiscard]] std::vector<Member> mergeParts(const std::vector<const ParsedNodeFile*>& parts,
                                                 double nowMs) const;
    void activate(std::uint64_t version, std::string digest, std::vector<Member> named, double nowMs);

    MembershipRules rules_;
    MembershipPtr current_;
    std::map<std::string, LeavingMember> leaving_;  // by name; all are in inForce_ too
    // When nodes ceased to serve, by name, for departMs: the guard on the fleet looks at what was lost in
    // that time, so that many small versions take away no more than a large one. At most one entry a node.
    std::map<std::string, double> lostAtMs_;
};

}  // namespace martencove::membership
