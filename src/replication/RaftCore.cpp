#include "replication/RaftCore.h"

#include <algorithm>
#include <cassert>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::replication;

RaftCore::RaftCore(const CoreSettings &Settings, TimePoint Start,
                   Checkpoint Stored)
    : Settings_(Settings), Random_(Settings.Seed_), Now_(Start),
      Hard_(std::move(Stored.Hard_)),
      Log_(std::move(Stored.Snapshot_), std::move(Stored.Entries_)),
      LastHeard_(Start) {
  Commit_ = Log_.getBaseIndex();
  Synced_ = Log_.getLastIndex();
  resetElectionTimer();
  // The only voter need not wait for an election timeout, as no other member
  // can lead.
  bool IsAlone = countVoters() == 1 && isVoter(Settings_.Self_);
  if (IsAlone)
    ElectionDeadline_ = Start;
}

Outputs RaftCore::step(const Input &In) {
  Now_ = std::max(Now_, In.Now_);
  std::visit([this](const auto &Event) { handle(Event); }, In.Event_);
  return std::exchange(Out_, Outputs{});
}

TimePoint RaftCore::getLeaseEnd() const {
  bool IsHeld = Role_ == Role::Leader && hasCommittedInTerm() &&
                !(Transfer_ && Transfer_->Sent_);
  if (!IsHeld || LeaseStart_ == TimePoint::min())
    return TimePoint::min();
  return LeaseStart_ + Settings_.ElectionTimeout_ * 7 / 8;
}

void RaftCore::handle(const Tick &) {
  if (Role_ != Role::Leader) {
    if (Now_ >= ElectionDeadline_ && isVoter(Settings_.Self_))
      startPreVote();
    return;
  }
  checkQuorum();
  checkTransferDeadline();
  if (Role_ != Role::Leader)
    return;
  if (Now_ >= NextHeartbeat_)
    broadcastRound();
  tryChange();
}

void RaftCore::handle(const Received &In) {
  const Message &From = In.Message_;
  if (From.To_ != Settings_.Self_ || !checkTerm(From))
    return;
  std::visit([&](const auto &Body) { onMessage(From, Body); }, From.Body_);
}

/// Returns whether the command may be appended. A snapshot cannot replace
/// uncommitted entries, which accumulate while the disks of a majority hang.
bool RaftCore::hasRoomFor(const Proposal &Next) const {
  const std::uint64_t Uncommitted = Log_.countBytes(Commit_);
  return Uncommitted == 0 ||
         Uncommitted + Next.Command_.size() <= Settings_.MaxLogBytes_;
}

void RaftCore::handle(const Proposed &In) {
  bool IsTaking = Role_ == Role::Leader && !Transfer_;
  for (const Proposal &NewProposal : In.Proposals_) {
    if (!IsTaking) {
      finish(NewProposal.Id_, makeNotLeader());
      continue;
    }
    if (!hasRoomFor(NewProposal)) {
      ++RefusedProposals_;
      finish(NewProposal.Id_, makeNotLeader());
      continue;
    }
    appendNewEntry(EntryKind::Command, NewProposal.Command_, {});
    Out_.Accepted_.push_back(
        {NewProposal.Id_, Hard_.Term_, Log_.getLastIndex()});
  }
  if (IsTaking)
    sendAppends();
}

void RaftCore::handle(const Synced &In) {
  if (Log_.findTerm(In.Index_) != In.Term_)
    return;
  Synced_ = std::max(Synced_, In.Index_);
  if (Role_ == Role::Leader)
    advanceCommit();
}

void RaftCore::handle(const ReadRequested &In) {
  if (Role_ != Role::Leader) {
    for (std::uint64_t Id : In.Ids_)
      finish(Id, makeNotLeader());
    return;
  }
  std::uint64_t Index = std::max(Commit_, FirstIndexOfTerm_);
  for (std::uint64_t Id : In.Ids_)
    Reads_.push_back({Id, Round_ + 1, Index});
  broadcastRound();
}

void RaftCore::handle(const SnapshotTaken &In) {
  assert(In.Index_ <= Commit_ && "the snapshot is not committed");
  if (In.Index_ <= Log_.getBaseIndex())
    return;
  auto Taken = std::make_shared<Snapshot>();
  Taken->Index_ = In.Index_;
  Taken->Term_ = *Log_.findTerm(In.Index_);
  Taken->Members_ = Log_.getMembersAt(In.Index_);
  Taken->State_ = In.State_;
  Log_.compact(std::move(Taken), limitCompaction(In));
  std::uint64_t First = Log_.getBaseIndex() + 1;
  Out_.Checkpoint_ = Checkpoint{Log_.getSnapshot(), Hard_,
                                Log_.copyFrom(First, SIZE_MAX, SIZE_MAX)};
}

/// Retains the entries that live followers still need, so that a slow follower
/// does not need one snapshot after the other.
std::uint64_t RaftCore::limitCompaction(const SnapshotTaken &Taken) const {
  const std::uint64_t Earliest =
      Log_.findFirstWithin(Taken.Index_, Settings_.MaxLogBytes_ / 2);
  const std::uint64_t KeepAfter = std::max(Taken.KeepAfter_, Earliest);
  std::uint64_t Limited = KeepAfter;
  for (const auto &[Id, Peer] : Peers_) {
    bool IsAlive = Now_ - Peer.LastStored_ < Settings_.ElectionTimeout_;
    std::uint64_t Needed = Peer.Sending_ ? Peer.Sending_->Index_ : Peer.Match_;
    if (IsAlive)
      Limited = std::min(Limited, Needed);
  }
  bool IsTooMuch = Limited < Earliest ||
                   Limited + Settings_.MaxEntriesKept_ < Log_.getLastIndex();
  return IsTooMuch ? KeepAfter : Limited;
}

void RaftCore::handle(const GroupBootstrapped &In) {
  if (!Log_.isEmpty())
    return;
  LogEntry First;
  First.Term_ = 1;
  First.Index_ = 1;
  First.Kind_ = EntryKind::Membership;
  First.Members_ = In.Members_;
  Log_.append(First);
  Out_.Appended_.push_back(std::move(First));
  if (Hard_.Term_ == 0)
    setHard({1, {}});
  setCommit(1);
  bool IsAlone = countVoters() == 1 && isVoter(Settings_.Self_);
  if (IsAlone)
    startElection(false);
}

void RaftCore::setCommit(std::uint64_t Index) {
  assert(Index <= Log_.getLastIndex());
  while (Commit_ < Index) {
    ++Commit_;
    Out_.Committed_.push_back(Log_.at(Commit_));
  }
}

void RaftCore::setHard(HardState Hard) {
  assert(Hard.Term_ >= Hard_.Term_ && "terms never decrease");
  if (Hard == Hard_)
    return;
  Hard_ = std::move(Hard);
  Out_.Hard_ = Hard_;
}

void RaftCore::send(std::vector<Message> &Box, const MemberId &To,
                    std::uint64_t Term, decltype(Message::Body_) Body) {
  Box.push_back({Settings_.Self_, To, Term, std::move(Body)});
}

void RaftCore::finish(std::uint64_t Id, std::optional<Error> Why,
                      std::uint64_t ReadIndex) {
  Out_.Finished_.push_back({Id, std::move(Why), ReadIndex});
}

Error RaftCore::makeNotLeader() const {
  bool IsElsewhere = Leader_ && *Leader_ != Settings_.Self_;
  return Error::make(ErrorCode::NotLeader, IsElsewhere ? Leader_->Name_ : "");
}

bool RaftCore::isVoter(const MemberId &Id) const {
  return hasVoter(Log_.getMembers(), Id);
}

std::size_t RaftCore::countVoters() const {
  const std::vector<Member> &All = Log_.getMembers();
  return static_cast<std::size_t>(
      std::count_if(All.begin(), All.end(), [](const Member &M) {
        return M.Role_ == MemberRole::Voter;
      }));
}

std::uint64_t RaftCore::findQuorumValue(std::uint64_t Progress::*Field,
                                        std::uint64_t Own) const {
  std::vector<std::uint64_t> Values;
  for (const Member &M : Log_.getMembers()) {
    if (M.Role_ != MemberRole::Voter)
      continue;
    bool IsSelf = M.Id_ == Settings_.Self_;
    Values.push_back(IsSelf ? Own : Peers_.at(M.Id_).*Field);
  }
  assert(!Values.empty() && "the group has no voters");
  std::sort(Values.begin(), Values.end(), std::greater<>());
  return Values[Values.size() / 2];
}

bool RaftCore::hasCommittedInTerm() const {
  return Commit_ >= FirstIndexOfTerm_;
}
