//===- LogMessages.h - What members of a group tell each other -*- C++ -*-===//
//
// Typed messages of the log. Each names its sender and its receiver with their
// incarnations, so that nothing meant for a lost disk reaches its successor.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_LOGMESSAGES_H
#define TULIPWEIR_REPLICATION_LOGMESSAGES_H

#include "replication/LogTypes.h"

#include <variant>

namespace tulipweir::replication {

/// Asks for a vote. With PreVote_ it only asks whether a vote would be given,
/// for the term after the sender's, and changes nothing at the receiver.
struct VoteRequest {
  bool PreVote_ = false;
  bool Transfer_ = false; ///< The leader itself asked for this election.
  std::uint64_t LastIndex_ = 0;
  std::uint64_t LastTerm_ = 0;
  bool operator==(const VoteRequest &) const = default;
};

struct VoteReply {
  bool PreVote_ = false;
  bool Granted_ = false;
  bool operator==(const VoteReply &) const = default;
};

/// Entries that follow (PrevIndex_, PrevTerm_); none for a heartbeat. Round_
/// counts the leader's broadcasts and is echoed.
struct AppendRequest {
  std::uint64_t Round_ = 0;
  std::uint64_t PrevIndex_ = 0;
  std::uint64_t PrevTerm_ = 0;
  std::uint64_t Commit_ = 0;
  std::vector<LogEntry> Entries_;
  bool operator==(const AppendRequest &) const = default;
};

/// Accepted: the log matches through Index_. Otherwise nothing matched at
/// PrevIndex_ = Index_, and the leader should go on after Hint_.
struct AppendReply {
  std::uint64_t Round_ = 0;
  bool Accepted_ = false;
  std::uint64_t Index_ = 0;
  std::uint64_t Hint_ = 0;
  bool operator==(const AppendReply &) const = default;
};

/// The sender has heard the leader's broadcast Round_; vouches for nothing in
/// the log, and so waits for no disk. A member that does not know it drops it.
struct RoundAck {
  std::uint64_t Round_ = 0;
  bool operator==(const RoundAck &) const = default;
};

/// A piece of a snapshot's state, from Offset_.
struct SnapshotChunk {
  std::uint64_t Round_ = 0;
  std::uint64_t Index_ = 0;
  std::uint64_t LastTerm_ = 0;
  std::vector<Member> Members_;
  std::uint64_t Offset_ = 0;
  std::uint64_t Total_ = 0;
  std::uint64_t Digest_ = 0; ///< xxh3 of the whole state.
  std::string Bytes_;
  bool operator==(const SnapshotChunk &) const = default;
};

/// How much of the snapshot at Index_ has arrived; Installed_ once it stands.
struct SnapshotReply {
  std::uint64_t Round_ = 0;
  std::uint64_t Index_ = 0;
  std::uint64_t Received_ = 0;
  bool Installed_ = false;
  bool operator==(const SnapshotReply &) const = default;
};

/// The leader asks its receiver to start an election now.
struct TimeoutNow {
  bool operator==(const TimeoutNow &) const = default;
};

/// A member without a log asks what the receiver has.
struct JoinProbe {
  bool operator==(const JoinProbe &) const = default;
};

/// Empty_: the sender holds nothing either and will follow no founder of an
/// earlier incarnation than the one it answers.
struct JoinReply {
  bool Empty_ = false;
  bool operator==(const JoinReply &) const = default;
};

/// The founder tells the first voters which incarnations form the group.
struct BootstrapGroup {
  std::vector<Member> Members_;
  bool operator==(const BootstrapGroup &) const = default;
};

/// Incarnation 0 in To_ means whichever one runs; only joining uses it.
struct Message {
  MemberId From_;
  MemberId To_;
  std::uint64_t Term_ = 0;
  std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
               SnapshotChunk, SnapshotReply, TimeoutNow, JoinProbe, JoinReply,
               BootstrapGroup, RoundAck>
      Body_;
  bool operator==(const Message &) const = default;
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_LOGMESSAGES_H
