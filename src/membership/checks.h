// What makes a version of the node list complete, sound and safe to switch to. Pure functions; gate.h calls
// them.
#pragma once

#include <string>
#include <vector>

#include "membership/membership.h"
#include "membership/membership_manager.h"

namespace martencove::membership {

/// Collects problems up to a bound and counts the rest.
class ProblemCollector {
public:
    explicit ProblemCollector(std::size_t most) : maxProblems_(most) {}
    void add(SourceLocation at, std::string reason, Severity severity = Severity::refused);
    [[nodiscard]] bool empty() const { return problems_.empty(); }
    /// With a last one that says how many more there were.
    [[nodiscard]] std::vector<Problem> take();

private:
    std::size_t maxProblems_;
    std::size_t omittedCount_ = 0;
    std::vector<Problem> problems_;
};

/// The drafts that make up the newest version among them, in order of their parts' names; problems where
/// they do not make one up, yet or at all.
[[nodiscard]] std::vector<const ParsedNodeFile*> selectNewestVersion(
    const std::vector<ParsedNodeFile>& drafts, ProblemCollector& problems);

/// Names, addresses, shards, weights and starts of one version's nodes.
void checkMembers(const std::vector<const ParsedNodeFile*>& parts, const MembershipRules& rules, double nowMs,
                  ProblemCollector& problems);

/// What a switch from `before` to `after` would take away, against the guards and the permits.
/// `leaving`: how many serving nodes have left already within the rule's time.
void checkRemovals(const Membership& before, const std::vector<Member>& after, std::size_t leaving,
                   const std::vector<const ParsedNodeFile*>& parts, const MembershipRules& rules,
                   ProblemCollector& problems);

}  // namespace martencove::membership
