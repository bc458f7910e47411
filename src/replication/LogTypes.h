//===- LogTypes.h - Data types of a replicated log -------------*- C++ -*-===//
//
// Entries, the state that must survive a restart, and snapshots.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_LOGTYPES_H
#define TULIPWEIR_REPLICATION_LOGTYPES_H

#include "tulipweir/replication/Replica.h"

#include "replication/CommandBytes.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace tulipweir::replication {

enum class EntryKind : std::uint8_t { NoOp, Command, Membership };

/// Returns whether Members has the voter Id.
inline bool hasVoter(const std::vector<Member> &Members, const MemberId &Id) {
  return std::find(Members.begin(), Members.end(),
                   Member{Id, MemberRole::Voter}) != Members.end();
}

/// One entry of the log. Indexes start at 1 and have no gaps.
struct LogEntry {
  std::uint64_t Term_ = 0;
  std::uint64_t Index_ = 0;
  EntryKind Kind_ = EntryKind::NoOp;
  CommandBytes Command_; ///< For Command.
  std::vector<Member>
      Members_; ///< For Membership: all members as of this entry.
  bool operator==(const LogEntry &) const = default;
};

/// The state that a member persists in addition to its log: the highest term it
/// has seen and its vote in that term (an empty name if it has not voted).
struct HardState {
  std::uint64_t Term_ = 0;
  MemberId Vote_;
  bool operator==(const HardState &) const = default;
};

/// The state machine's state after entry Index_, and the members at that index.
struct Snapshot {
  std::uint64_t Index_ = 0;
  std::uint64_t Term_ = 0;
  std::vector<Member> Members_;
  std::string State_;
  bool operator==(const Snapshot &) const = default;
};

/// The durable state of an initial voter in MajorityBootstrap.
struct BootstrapState {
  /// The names of all initial voters; empty if this member is none.
  std::vector<std::string> InitialVoters_;
  std::uint64_t Promised_ = 0; ///< No proposal with a lower ballot is accepted.
  std::uint64_t AcceptedBallot_ = 0; ///< 0 if none was accepted.
  std::vector<Member> Accepted_;
  bool operator==(const BootstrapState &) const = default;
};

using SnapshotRef = std::shared_ptr<const Snapshot>;

/// Replaces everything stored: a snapshot and the entries retained with it.
struct Checkpoint {
  SnapshotRef Snapshot_; ///< Null before the first snapshot.
  HardState Hard_;
  std::vector<LogEntry> Entries_;
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_LOGTYPES_H
