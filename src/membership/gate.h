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
struct Rules {
    double departMs = 30'000;     ///< a node that no version names drains for so long before it is gone
    double mostLostPart = 0.25;   ///< of the serving nodes: may be lost within departMs; one always may
    double weightRatio = 1000;    ///< largest over smallest weight above 0 of one shard's holders
    double bornAheadMs = 5000;    ///< how far in the future a start may lie, for clocks that differ
    int shards = 0;               ///< shards are numbered below this; 0: any number
    std::size_t nodes = 100'000;  ///< in one version
    std::size_t problems = 20;    ///< told of one version, the rest is counted
};

enum class Ruling {
    accepted,    ///< in force now
    unchanged,   ///< what is in force already
    incomplete,  ///< not (yet) a whole version: what is in force stays
    refused      ///< not fit: what is in force stays
};
struct Verdict {
    Ruling ruling = Ruling::unchanged;
    std::uint64_t version = 0;       ///< that was offered; 0: not known
    std::vector<Problem> problems;   ///< why not
    std::vector<std::string> notes;  ///< of an accepted one: what an operator should hear
};

class Gate {
public:
    explicit Gate(Rules rules) : rules_(rules) {}

    /// Takes what was kept from an earlier run as the version in force. Nodes that were leaving are gone:
    /// this process has nothing out to them.
    void restore(Membership kept, double nowMs);

    /// Judges the files as they were last read, all of them.
    [[nodiscard]] Verdict offer(const std::vector<Draft>& drafts, double nowMs);

    /// Lets nodes go whose departure is over. True: there is a new membership, of the same version.
    [[nodiscard]] bool depart(double nowMs);
    /// When depart() has something to do next; infinity: nothing leaves.
    [[nodiscard]] double nextMs() const;

    /// The membership in force; null before the first.
    [[nodiscard]] const MembershipPtr& inForce() const { return inForce_; }

private:
    struct Leaving {
        Member member;
        double goneMs = 0;
    };
    /// Serving nodes that were lost a moment ago and do not serve again among `named`.
    [[nodiscard]] std::size_t lostLately(const std::vector<Member>& named, double nowMs) const;
    [[nodiscard]] std::vector<Member> merged(const std::vector<const Draft*>& parts, double nowMs) const;
    void swap(std::uint64_t version, std::string digest, std::vector<Member> named, double nowMs);

    Rules rules_;
    MembershipPtr inForce_;
    std::map<std::string, Leaving> leaving_;  // by name; all are in inForce_ too
    // When nodes ceased to serve, by name, for departMs: the guard on the fleet looks at what was lost in
    // that time, so that many small versions take away no more than a large one. At most one entry a node.
    std::map<std::string, double> lost_;
};

}  // namespace martencove::membership
