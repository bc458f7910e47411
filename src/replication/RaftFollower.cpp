//===- RaftFollower.cpp - RaftCore: following a leader --------------------===//

#include "replication/RaftCore.h"

#include <algorithm>
#include <cassert>
#include <xxhash.h>

using namespace tulipweir;
using namespace tulipweir::replication;

void RaftCore::followLeader(const MemberId &Leader) {
  assert(Role_ != Role::Leader && "two leaders in one term");
  Role_ = Role::Follower;
  Leader_ = Leader;
  LastHeard_ = Now_;
  FailedElections_ = 0;
  resetElectionTimer();
}

/// Acknowledges a round at once, without confirming anything about the log, so
/// that a disk whose syncs outlast an election timeout does not make the leader
/// step down. This is safe before anything is stored: a member that restarts
/// counts as having heard a leader (see the constructor) and grants no vote
/// before the lease that relies on this acknowledgement has ended.
void RaftCore::acknowledgeRound(const MemberId &Leader, std::uint64_t Round) {
  const std::pair Place(Hard_.Term_, Round);
  if (Place <= LastRound_)
    return;
  LastRound_ = Place;
  send(Out_.MessagesBeforeSync_, Leader, Hard_.Term_, RoundAck{Round});
}

/// Returns the last index at which the leader's log may match. Entries with
/// terms above the compared one cannot match.
std::uint64_t RaftCore::findHint(const AppendRequest &Request) const {
  std::uint64_t Hint = std::min(Log_.getLastIndex(), Request.PrevIndex_ - 1);
  while (Hint > Commit_ && Log_.findTerm(Hint) > Request.PrevTerm_)
    --Hint;
  return std::max(Hint, Commit_);
}

void RaftCore::onMessage(const Message &From, const AppendRequest &Body) {
  followLeader(From.From_);
  acknowledgeRound(From.From_, Body.Round_);
  AppendReply Reply;
  Reply.Round_ = Body.Round_;
  // Entries that are committed here are identical on the leader.
  bool IsMatch = Body.PrevIndex_ <= Commit_ ||
                 Log_.findTerm(Body.PrevIndex_) == Body.PrevTerm_;
  if (!IsMatch) {
    Reply.Index_ = Body.PrevIndex_;
    Reply.Hint_ = findHint(Body);
    send(Out_.MessagesAfterSync_, From.From_, Hard_.Term_, Reply);
    return;
  }
  storeEntries(Body.Entries_);
  Reply.Accepted_ = true;
  Reply.Index_ = Body.PrevIndex_ + Body.Entries_.size();
  if (Body.Commit_ > Commit_ && Reply.Index_ > Commit_)
    setCommit(std::min(Body.Commit_, Reply.Index_));
  send(Out_.MessagesAfterSync_, From.From_, Hard_.Term_, Reply);
}

void RaftCore::storeEntries(const std::vector<LogEntry> &Entries) {
  for (const LogEntry &Entry : Entries) {
    if (Entry.Index_ <= Commit_ || Log_.findTerm(Entry.Index_) == Entry.Term_)
      continue;
    Log_.truncateFrom(Entry.Index_);
    Synced_ = std::min(Synced_, Entry.Index_ - 1);
    Log_.append(Entry);
    Out_.Appended_.push_back(Entry);
  }
}

void RaftCore::onMessage(const Message &From, const SnapshotChunk &Body) {
  followLeader(From.From_);
  acknowledgeRound(From.From_, Body.Round_);
  SnapshotReply Reply;
  Reply.Round_ = Body.Round_;
  Reply.Index_ = Body.Index_;
  if (Body.Index_ <= Commit_) {
    Reply.Installed_ = true;
    send(Out_.MessagesAfterSync_, From.From_, Hard_.Term_, Reply);
    return;
  }
  bool IsSame = IncomingSnapshot_.Index_ == Body.Index_ &&
                IncomingSnapshot_.LastTerm_ == Body.LastTerm_ &&
                IncomingSnapshot_.Digest_ == Body.Digest_ &&
                IncomingSnapshot_.Total_ == Body.Total_;
  if (!IsSame) {
    IncomingSnapshot_ = Body;
    IncomingSnapshot_.Bytes_.clear();
  }
  if (Body.Offset_ == IncomingSnapshot_.Bytes_.size())
    IncomingSnapshot_.Bytes_ += Body.Bytes_;
  Reply.Received_ = IncomingSnapshot_.Bytes_.size();
  if (Reply.Received_ >= Body.Total_) {
    installSnapshot(Body);
    Reply.Installed_ = Body.Index_ <= Commit_;
    Reply.Received_ = 0;
  }
  send(Out_.MessagesAfterSync_, From.From_, Hard_.Term_, Reply);
}

void RaftCore::installSnapshot(const SnapshotChunk &Last) {
  std::string State = std::move(IncomingSnapshot_.Bytes_);
  IncomingSnapshot_ = {};
  bool IsWhole = State.size() == Last.Total_ &&
                 XXH3_64bits(State.data(), State.size()) == Last.Digest_;
  if (!IsWhole)
    return;
  auto Arrived = std::make_shared<Snapshot>();
  Arrived->Index_ = Last.Index_;
  Arrived->Term_ = Last.LastTerm_;
  Arrived->Members_ = Last.Members_;
  Arrived->State_ = std::move(State);
  Log_.install(Arrived);
  Commit_ = Arrived->Index_;
  Synced_ = std::max(Commit_, std::min(Synced_, Log_.getLastIndex()));
  // The snapshot includes the entries that this step was about to apply.
  Out_.Committed_.clear();
  Out_.Restore_ = Arrived;
  Out_.Checkpoint_ = Checkpoint{
      Arrived, Hard_, Log_.copyFrom(Arrived->Index_ + 1, SIZE_MAX, SIZE_MAX)};
}
