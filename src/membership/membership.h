// Data types for versions of the node list: members, parsed files, problems and the differences between two
// versions. MembershipManager (membership_manager.h) decides which version becomes current.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace martencove::membership {

enum class MemberState { ready, draining };

/// A storage node as listed in a version of the node list.
struct Member {
    std::string name;     ///< unique within a version
    std::string address;  ///< "host:port", unique within a version
    int shard = 0;        ///< numbered from 0
    double weight = 1;    ///< share of the shard's work relative to its other holders; 0: no new work
    std::string rack;     ///< empty if unknown
    MemberState state = MemberState::ready;
    double bootTimeMs = 0;  ///< Unix time of the last start, in ms; 0: long ago or unknown
    bool leaving = false;   ///< no longer listed; drains until it is removed

    /// Whether the node may get new work.
    [[nodiscard]] bool isServing() const { return state == MemberState::ready && !leaving && weight > 0; }
    bool operator==(const Member&) const = default;
};

/// A position in a node file. Lines and columns are numbered from 1; 0 means unknown.
struct SourceLocation {
    std::string file;
    int line = 0;
    int column = 0;
};

/// `incomplete` may resolve itself, for example when a file was read while it was being written. `refused`
/// needs a change to the files.
enum class Severity { incomplete, refused };

/// A reason for which a version is not accepted.
struct Problem {
    SourceLocation location;
    std::string reason;
    Severity severity = Severity::refused;

    Problem(SourceLocation where, std::string why, Severity level = Severity::refused)
        : location(std::move(where)), reason(std::move(why)), severity(level) {}
    /// Returns "FILE:LINE:COLUMN: REASON", without the parts of the location that are unknown.
    [[nodiscard]] std::string text() const;
};

/// A statement in a node file that a large removal is intended. It applies only to the change from version
/// `fromVersion`, so that a permit left in a file allows nothing later.
struct RemovalPermit {
    std::uint64_t fromVersion = 0;
    std::vector<std::string> racks;  ///< racks that may lose every serving node
    std::vector<int> shards;         ///< shards that may lose every serving node
    double maxFleetFraction = 0;     ///< fraction of the serving nodes that may be lost, 0 to 1
};

/// A node entry of a file, with its position there.
struct ParsedMember {
    Member member;
    bool hasBootTime = false;  ///< whether the entry states a boot time
    int line = 0;              ///< from 1; 0: unknown
    int column = 0;            ///< from 1; 0: unknown
};

/// A node file after parsing: the values have the right types but are not validated.
struct ParsedNodeFile {
    std::string file;
    std::uint64_t version = 0;
    std::uint64_t trailerVersion = 0;    ///< the version as repeated at the end of the file
    std::uint64_t declaredCount = 0;     ///< number of nodes that the head of the file states
    std::string partName;                ///< name of this file among `partNames`; empty for a single file
    std::vector<std::string> partNames;  ///< all parts of the version; empty for a single file
    std::string digest;                  ///< digest of the content
    std::vector<RemovalPermit> permits;
    std::vector<ParsedMember> members;
    std::vector<Problem> problems;  ///< from parsing; if not empty, the other values are unspecified
};

/// An accepted version of the node list. Immutable once shared through a MembershipPtr.
struct Membership {
    std::uint64_t version = 0;    ///< numbered from 1
    std::string digest;           ///< digests of the files, joined by '+'
    double activatedAtMs = 0;     ///< Unix time of activation, in ms
    std::vector<Member> members;  ///< sorted by name, including leaving nodes
};

/// Returns the member with that name from a list sorted by name, or null.
[[nodiscard]] const Member* findMember(const std::vector<Member>& sortedMembers, const std::string& name);
/// Returns whether a list sorted by name has a member with that name that serves.
[[nodiscard]] bool hasServingMember(const std::vector<Member>& sortedMembers, const std::string& name);

using MembershipPtr = std::shared_ptr<const Membership>;

enum class TargetState { ready, draining, gone };

/// A node that differs between two memberships, and the state that it changes to.
struct MemberChange {
    Member member;
    TargetState targetState = TargetState::ready;
};

/// Returns the changes that lead from `before` (null: an empty membership) to `after`. The changes of a shard
/// are adjacent, and shards that lose a node come first.
[[nodiscard]] std::vector<MemberChange> diffMemberships(const Membership* before, const Membership& after);

/// Describes the changes from `before` to `after` for operators: one line per node ("+ name ...",
/// "- name ...", "~ name weight 1 -> 2"), then a line of totals.
[[nodiscard]] std::vector<std::string> describeChanges(const Membership* before, const Membership& after);

}  // namespace martencove::membership
