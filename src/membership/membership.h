// What a version of the node list is, and what may be wrong with one. Plain data: src/membership/gate.h
// decides.
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

/// A storage node as a version names it.
struct Member {
    std::string name;     ///< unique in a version
    std::string address;  ///< "host:port", unique in a version
    int shard = 0;        ///< from 0
    double weight = 1;    ///< its part of a shard's work, against the shard's other holders; 0: nothing new
    std::string rack;     ///< empty: not told
    MemberState state = MemberState::ready;
    double bootTimeMs = 0;  ///< Unix time of its last start, in ms; 0: long ago
    bool leaving = false;   ///< in force, but no version names it any more: it drains until it is gone

    [[nodiscard]] bool serving() const { return state == MemberState::ready && !leaving && weight > 0; }
    bool operator==(const Member&) const = default;
};

/// Line and column count from 1; 0: not known.
struct SourceLocation {
    std::string file;
    int line = 0;
    int column = 0;
};

/// `incomplete` may heal by itself, as when a file is caught halfway through writing. `refused` does not.
enum class Severity { incomplete, refused };
struct Problem {
    SourceLocation location;
    std::string reason;
    Severity severity = Severity::refused;

    Problem(SourceLocation where, std::string why, Severity how = Severity::refused)
        : location(std::move(where)), reason(std::move(why)), severity(how) {}
    /// "FILE:LINE:COLUMN: REASON", without what is not known.
    [[nodiscard]] std::string text() const;
};

/// The statement in a file that a removal is meant. It holds for one step only, from the version named, so
/// that one left behind in a file allows nothing later.
struct RemovalPermit {
    std::uint64_t fromVersion = 0;
    std::vector<std::string> racks;  ///< that may lose every serving node
    std::vector<int> shards;         ///< that may lose every serving node
    double maxFleetFraction = 0;     ///< part of the fleet that may leave, 0 to 1
};

struct ParsedMember {
    Member member;
    bool hasBootTime = false;
    int line = 0;  // in its draft's file
    int column = 0;
};
/// One file as it was read: every value is typed, nothing is checked.
struct ParsedNodeFile {
    std::string file;
    std::uint64_t version = 0;
    std::uint64_t trailerVersion = 0;    ///< the version again, at the file's end
    std::uint64_t declaredCount = 0;     ///< of nodes in this file, as its head tells
    std::string partName;                ///< this file's name among `parts`; empty where it is the only one
    std::vector<std::string> partNames;  ///< all files of the version; empty: this one alone
    std::string digest;                  ///< of the content, by the reader
    std::vector<RemovalPermit> permits;
    std::vector<ParsedMember> members;
    std::vector<Problem> problems;  ///< met in reading: then the values above may be anything
};

/// A version in force. Immutable once it is handed out.
struct Membership {
    std::uint64_t version = 0;  ///< from 1
    std::string digest;
    double activatedAtMs = 0;     ///< Unix time at which it came into force
    std::vector<Member> members;  ///< by name; those that are leaving among them
};
/// The member of that name in a list that is sorted by name; null: none.
[[nodiscard]] const Member* findMember(const std::vector<Member>& byName, const std::string& name);
/// Whether there is one and it serves.
[[nodiscard]] bool hasServingMember(const std::vector<Member>& byName, const std::string& name);

using MembershipPtr = std::shared_ptr<const Membership>;

enum class TargetState { ready, draining, gone };
/// How one node changes from one membership to the next.
struct MemberChange {
    Member member;
    TargetState targetState = TargetState::ready;
};
/// What leads from `before` (null: from nothing) to `after`. A shard's changes stand together, shards
/// that lose a node come first.
[[nodiscard]] std::vector<MemberChange> diffMemberships(const Membership* before, const Membership& after);

/// The same for people: one line a node ("+ name ...", "- name ...", "~ name weight 1 -> 2"), then a sum.
[[nodiscard]] std::vector<std::string> describeChanges(const Membership* before, const Membership& after);

}  // namespace martencove::membership
