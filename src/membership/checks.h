// Checks that a version of the node list is complete, valid and safe to activate. The functions have no side
// effects beyond the problems that they report; MembershipManager calls them.
#pragma once

#include <string>
#include <vector>

#include "membership/membership.h"
#include "membership/membership_manager.h"

namespace martencove::membership {

/// Collects problems up to a limit and counts the rest.
class ProblemCollector {
public:
    explicit ProblemCollector(std::size_t maxProblems) : maxProblems_(maxProblems) {}
    void add(SourceLocation location, std::string reason, Severity severity = Severity::refused);
    [[nodiscard]] bool empty() const { return problems_.empty(); }
    /// Moves the problems out. If some were omitted, a last entry states how many.
    [[nodiscard]] std::vector<Problem> take();

private:
    std::size_t maxProblems_;
    std::size_t omittedCount_ = 0;
    std::vector<Problem> problems_;
};

/// Returns the files that make up the newest version, sorted by part name. Reports problems if they do not
/// form a complete and consistent version.
[[nodiscard]] std::vector<const ParsedNodeFile*> selectNewestVersion(
    const std::vector<ParsedNodeFile>& nodeFiles, ProblemCollector& problems);

/// Checks the names, addresses, shards, weights and boot times of a version's nodes. `nowMs` is Unix time.
void checkMembers(const std::vector<const ParsedNodeFile*>& parts, const MembershipRules& rules, double nowMs,
                  ProblemCollector& problems);

/// Checks that the change from `before` to `after` removes no more serving nodes than the rules and the
/// permits in `parts` allow. `recentlyLost` is the number of serving nodes lost earlier within
/// `rules.removalDrainMs`.
void checkRemovals(const Membership& before, const std::vector<Member>& after, std::size_t recentlyLost,
                   const std::vector<const ParsedNodeFile*>& parts, const MembershipRules& rules,
                   ProblemCollector& problems);

}  // namespace martencove::membership
