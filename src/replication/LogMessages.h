//===- LogMessages.h - Messages between the members of a group --*- C++ -*-===//
//
// Each message names its sender and its receiver with their incarnations, so
// that a message for a member that lost its disk does not reach its successor.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_LOGMESSAGES_H
#define TULIPWEIR_REPLICATION_LOGMESSAGES_H

#include "replication/LogTypes.h"

#include <variant>

namespace tulipweir::replication {

/// Asks for a vote. With PreVote_ it only asks whether a vote would be granted
/// in the term after the sender's, and does not change the receiver's state.
struct VoteRequest {
  bool PreVote_ = false;
  bool Transfer_ = false; ///< The leader itself requested this election.
  std::uint64_t LastIndex_ = 0;
  std::uint64_t LastTerm_ = 0;
  bool operator==(const VoteRequest &) const = default;
};

struct VoteReply {
  bool PreVote_ = false;
  bool Granted_ = false;
  bool operator==(const VoteReply &) const = default;
};

/// Entries that follow (PrevIndex_, PrevTerm_), or none for a heartbeat. Round_
/// counts the leader's broadcasts; the reply echoes it.
struct AppendRequest {
  std::uint64_t Round_ = 0;
  std::uint64_t PrevIndex_ = 0;
  std::uint64_t PrevTerm_ = 0;
  std::uint64_t Commit_ = 0;
  std::vector<LogEntry> Entries_;
  bool operator==(const AppendRequest &) const = default;
};

/// If Accepted_, the log matches through Index_. Otherwise there is no match at
/// PrevIndex_ = Index_, and the leader should continue after Hint_.
struct AppendReply {
  std::uint64_t Round_ = 0;
  bool Accepted_ = false;
  std::uint64_t Index_ = 0;
  std::uint64_t Hint_ = 0;
  bool operator==(const AppendReply &) const = default;
};

/// Acknowledges that the sender has received the leader's broadcast Round_. It
/// says nothing about the log and therefore does not wait for the disk. Members
/// of versions without this message drop it.
struct RoundAck {
  std::uint64_t Round_ = 0;
  bool operator==(const RoundAck &) const = default;
};

/// A part of a snapshot's state, starting at Offset_.
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

/// The number of bytes received of the snapshot at Index_; Installed_ once the
/// snapshot has replaced the state.
struct SnapshotReply {
  std::uint64_t Round_ = 0;
  std::uint64_t Index_ = 0;
  std::uint64_t Received_ = 0;
  bool Installed_ = false;
  bool operator==(const SnapshotReply &) const = default;
};

/// The leader asks the receiver to start an election immediately.
struct TimeoutNow {
  bool operator==(const TimeoutNow &) const = default;
};

/// A member without a log asks whether the receiver has one.
struct JoinProbe {
  bool operator==(const JoinProbe &) const = default;
};

/// If Empty_, the sender has no log either and promises to follow no earlier
/// incarnation of the coordinator than the one it replies to.
struct JoinReply {
  bool Empty_ = false;
  bool operator==(const JoinReply &) const = default;
};

/// The coordinator tells the initial voters which incarnations form the group.
struct BootstrapGroup {
  std::vector<Member> Members_;
  bool operator==(const BootstrapGroup &) const = default;
};

/// Asks an initial voter to accept no proposal with a lower ballot.
struct BootstrapPrepare {
  std::uint64_t Ballot_ = 0;
  /// The names of all initial voters, sorted; others have another group.
  std::vector<std::string> InitialVoters_;
  bool operator==(const BootstrapPrepare &) const = default;
};

/// Answers BootstrapPrepare with the highest ballot that the sender has
/// promised, which is higher than the one asked for if it refuses, and the
/// proposal with the highest ballot that it has accepted.
struct BootstrapPromise {
  std::uint64_t Ballot_ = 0;
  std::uint64_t AcceptedBallot_ = 0; ///< 0 if it has accepted none.
  std::vector<Member> Accepted_;
  bool operator==(const BootstrapPromise &) const = default;
};

/// Asks an initial voter to accept these initial members.
struct BootstrapProposal {
  std::uint64_t Ballot_ = 0;
  std::vector<std::string> InitialVoters_;
  std::vector<Member> Members_;
  bool operator==(const BootstrapProposal &) const = default;
};

/// The sender has accepted the proposal with this ballot.
struct BootstrapAcceptance {
  std::uint64_t Ballot_ = 0;
  bool operator==(const BootstrapAcceptance &) const = default;
};

/// The initial members that a majority of the initial voters has accepted.
struct BootstrapResult {
  std::vector<Member> Members_;
  bool operator==(const BootstrapResult &) const = default;
};

/// Incarnation 0 in To_ addresses any incarnation; only join messages use it.
struct Message {
  MemberId From_;
  MemberId To_;
  std::uint64_t Term_ = 0;
  std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
               SnapshotChunk, SnapshotReply, TimeoutNow, JoinProbe, JoinReply,
               BootstrapGroup, RoundAck, BootstrapPrepare, BootstrapPromise,
               BootstrapProposal, BootstrapAcceptance, BootstrapResult>
      Body_;
  bool operator==(const Message &) const = default;
};

/// Returns whether the message has one of these bodies.
template <class... Bodies> bool isAnyOf(const Message &Msg) {
  return (std::holds_alternative<Bodies>(Msg.Body_) || ...);
}

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_LOGMESSAGES_H
