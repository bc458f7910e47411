//===- Packing.h - Strict msgpack for the types of this module --*- C++ -*-===//
//
// Lists the fields of the types that members exchange and store, for
// core/Packing.h. Included by .cpp files only.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_PACKING_H
#define TULIPWEIR_REPLICATION_PACKING_H

#include "replication/LogMessages.h"
#include "replication/LogStorage.h"

#include "core/Packing.h"

#include <tuple>

namespace tulipweir::replication {

inline void put(packing::Packer &To, const CommandBytes &X) {
  packing::put(To, X.view());
}
inline void get(const packing::Object &From, CommandBytes &X) {
  std::string Bytes;
  packing::get(From, Bytes);
  X = CommandBytes(std::move(Bytes));
}

// The fields of each type, in their order on the wire and on disk.

inline auto fields(MemberId &X) { return std::tie(X.Name_, X.Incarnation_); }
inline auto fields(Member &X) { return std::tie(X.Id_, X.Role_); }
inline auto fields(LogEntry &X) {
  return std::tie(X.Term_, X.Index_, X.Kind_, X.Command_, X.Members_);
}
inline auto fields(HardState &X) { return std::tie(X.Term_, X.Vote_); }
inline auto fields(Snapshot &X) {
  return std::tie(X.Index_, X.Term_, X.Members_, X.State_);
}
inline auto fields(VoteRequest &X) {
  return std::tie(X.PreVote_, X.Transfer_, X.LastIndex_, X.LastTerm_);
}
inline auto fields(VoteReply &X) { return std::tie(X.PreVote_, X.Granted_); }
inline auto fields(AppendRequest &X) {
  return std::tie(X.Round_, X.PrevIndex_, X.PrevTerm_, X.Commit_, X.Entries_);
}
inline auto fields(AppendReply &X) {
  return std::tie(X.Round_, X.Accepted_, X.Index_, X.Hint_);
}
inline auto fields(RoundAck &X) { return std::tie(X.Round_); }
inline auto fields(SnapshotChunk &X) {
  return std::tie(X.Round_, X.Index_, X.LastTerm_, X.Members_, X.Offset_,
                  X.Total_, X.Digest_, X.Bytes_);
}
inline auto fields(SnapshotReply &X) {
  return std::tie(X.Round_, X.Index_, X.Received_, X.Installed_);
}
inline auto fields(TimeoutNow &) { return std::tuple<>(); }
inline auto fields(JoinProbe &) { return std::tuple<>(); }
inline auto fields(JoinReply &X) { return std::tie(X.Empty_); }
inline auto fields(BootstrapGroup &X) { return std::tie(X.Members_); }
inline auto fields(BootstrapPrepare &X) {
  return std::tie(X.Ballot_, X.InitialVoters_);
}
inline auto fields(BootstrapPromise &X) {
  return std::tie(X.Ballot_, X.AcceptedBallot_, X.Accepted_);
}
inline auto fields(BootstrapProposal &X) {
  return std::tie(X.Ballot_, X.InitialVoters_, X.Members_);
}
inline auto fields(BootstrapAcceptance &X) { return std::tie(X.Ballot_); }
inline auto fields(BootstrapResult &X) { return std::tie(X.Members_); }
inline auto fields(Message &X) {
  return std::tie(X.From_, X.To_, X.Term_, X.Body_);
}

inline auto fields(BootstrapState &X) {
  return std::tie(X.InitialVoters_, X.Promised_, X.AcceptedBallot_,
                  X.Accepted_);
}
inline auto fields(LogBatch &X) { return std::tie(X.Hard_, X.Entries_); }
inline auto fields(Identity &X) {
  return std::tie(X.Group_, X.Self_, X.CoordinatorPromise_);
}

/// The largest value of each enumeration.
constexpr std::uint8_t maxOf(MemberRole) {
  return static_cast<std::uint8_t>(MemberRole::Learner);
}
constexpr std::uint8_t maxOf(EntryKind) {
  return static_cast<std::uint8_t>(EntryKind::Membership);
}

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_PACKING_H
