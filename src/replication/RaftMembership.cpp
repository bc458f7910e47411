//===- RaftMembership.cpp - RaftCore: membership and transfer -------------===//

#include "replication/RaftCore.h"

#include <algorithm>
#include <cassert>

using namespace tulipweir;
using namespace tulipweir::replication;

static const Member *findMember(const std::vector<Member> &All,
                                const MemberId &Id) {
  auto Found = std::find_if(All.begin(), All.end(),
                            [&](const Member &M) { return M.Id_ == Id; });
  return Found == All.end() ? nullptr : &*Found;
}

static std::vector<Member> makeChanged(std::vector<Member> All,
                                       const ChangeRequested &Change) {
  std::erase_if(All, [&](const Member &M) { return M.Id_ == Change.Member_; });
  if (Change.Kind_ == ChangeKind::AddLearner)
    All.push_back({Change.Member_, MemberRole::Learner});
  if (Change.Kind_ == ChangeKind::Promote)
    All.push_back({Change.Member_, MemberRole::Voter});
  std::sort(All.begin(), All.end());
  return All;
}

void RaftCore::handle(const ChangeRequested &In) {
  if (Role_ != Role::Leader || Transfer_) {
    finish(In.Id_, makeNotLeader());
    return;
  }
  if (Change_ && ChangeIndex_ != 0) {
    finish(In.Id_, Error::make(ErrorCode::Conflict,
                               "another membership change is not committed "
                               "yet; retry when it is"));
    return;
  }
  if (std::optional<Error> Why = validateChange(In)) {
    finish(In.Id_, std::move(Why));
    return;
  }
  // A new change replaces a pending promotion. The promotion may wait forever
  // if its learner died, and must not block the removal of that learner.
  if (Change_)
    finish(Change_->Id_,
           Error::make(ErrorCode::Conflict,
                       "superseded by another membership change"));
  Change_ = In;
  CatchUpIndex_ = Log_.getLastIndex();
  CatchUpStart_ = Now_;
  tryChange();
}

std::optional<Error>
RaftCore::validateChange(const ChangeRequested &Change) const {
  const Member *Found = findMember(Log_.getMembers(), Change.Member_);
  const std::string &Name = Change.Member_.Name_;
  if (Change.Kind_ == ChangeKind::AddLearner) {
    if (Found)
      return Error::make(ErrorCode::AlreadyExists,
                         Name + " is already a member");
    if (Name.empty() || Change.Member_.Incarnation_ == 0)
      return Error::make(ErrorCode::InvalidArgument,
                         "a member needs a name and a nonzero incarnation");
    return std::nullopt;
  }
  if (!Found)
    return Error::make(ErrorCode::NotFound,
                       Name + " is not a member with this incarnation");
  bool IsVoting = Found->Role_ == MemberRole::Voter;
  if (Change.Kind_ == ChangeKind::Promote && IsVoting)
    return Error::make(ErrorCode::AlreadyExists, Name + " is already a voter");
  if (Change.Kind_ == ChangeKind::Remove && IsVoting && countVoters() == 1)
    return Error::make(ErrorCode::InvalidArgument,
                       Name + " is the last voter; add another one first");
  return std::nullopt;
}

/// Returns whether the learner has, within an election timeout, reached the end
/// that the log had when the attempt began. New entries arrive all the time, so
/// an attempt that takes longer is followed by one towards the current end.
bool RaftCore::hasCaughtUp(const Progress &Learner) {
  if (Learner.Match_ < CatchUpIndex_)
    return false;
  if (Now_ - CatchUpStart_ < Settings_.ElectionTimeout_)
    return true;
  CatchUpIndex_ = Log_.getLastIndex();
  CatchUpStart_ = Now_;
  return Learner.Match_ >= CatchUpIndex_;
}

/// Appends the pending change once its conditions hold: an entry of this term
/// is committed, so that no two leaders change different memberships, and a
/// learner that is to be promoted has caught up.
void RaftCore::tryChange() {
  bool IsWaiting = Role_ == Role::Leader && Change_ && ChangeIndex_ == 0;
  bool IsCommitted = hasCommittedInTerm() && Log_.getMembersIndex() <= Commit_;
  if (!IsWaiting || !IsCommitted)
    return;
  if (Change_->Kind_ == ChangeKind::Promote) {
    auto Learner = Peers_.find(Change_->Member_);
    if (Learner == Peers_.end() || !hasCaughtUp(Learner->second))
      return;
  }
  std::vector<Member> Changed = makeChanged(Log_.getMembers(), *Change_);
  // The index is set first, as appending may commit and finish the change at
  // once.
  ChangeIndex_ = Log_.getLastIndex() + 1;
  appendNewEntry(EntryKind::Membership, "", std::move(Changed));
  sendAppends();
}

/// Called after a commit. Ends a committed change, and steps down if the change
/// removed this leader's own vote.
void RaftCore::finishChange() {
  if (Change_ && ChangeIndex_ != 0 && ChangeIndex_ <= Commit_) {
    finish(Change_->Id_, std::nullopt);
    Change_.reset();
    ChangeIndex_ = 0;
  }
  bool IsRemoved =
      Log_.getMembersIndex() <= Commit_ && !isVoter(Settings_.Self_);
  if (!IsRemoved)
    return;
  // The other members learn of the commit from this last round.
  broadcastRound();
  becomeFollower(Hard_.Term_, std::nullopt);
}

void RaftCore::handle(const TransferRequested &In) {
  if (Role_ != Role::Leader) {
    finish(In.Id_, makeNotLeader());
    return;
  }
  const MemberId *Best = nullptr;
  for (const auto &[Id, Peer] : Peers_) {
    bool IsWanted = In.To_.empty() || In.To_ == Id.Name_;
    bool IsEligible = IsWanted && isVoter(Id) &&
                      Now_ - Peer.LastStored_ < Settings_.ElectionTimeout_;
    if (IsEligible && (!Best || Peer.Match_ > Peers_.at(*Best).Match_))
      Best = &Id;
  }
  if (!Best || Transfer_) {
    finish(In.Id_, Error::make(ErrorCode::Unavailable,
                               "no other voter can become leader now"));
    return;
  }
  Transfer_ = Transfer{In.Id_, *Best, Now_ + Settings_.ElectionTimeout_};
  tryTransfer();
}

/// Asks the target to start an election once it holds the whole, committed log.
/// This gives up the lease for the rest of the term, as the request may arrive
/// late.
void RaftCore::tryTransfer() {
  if (!Transfer_ || Transfer_->Sent_)
    return;
  auto Target = Peers_.find(Transfer_->Target_);
  bool IsReady = Target != Peers_.end() && isVoter(Transfer_->Target_) &&
                 Target->second.Match_ == Log_.getLastIndex() &&
                 Commit_ == Log_.getLastIndex();
  if (!IsReady)
    return;
  Transfer_->Sent_ = true;
  send(Out_.MessagesAfterSync_, Transfer_->Target_, Hard_.Term_, TimeoutNow{});
}

/// Steps down after a failed transfer if the request was sent: a leader without
/// a lease is of no use, and only a new term can bring a new lease.
void RaftCore::checkTransferDeadline() {
  if (!Transfer_ || Now_ < Transfer_->Deadline_)
    return;
  finish(Transfer_->Id_,
         Error::make(ErrorCode::Timeout,
                     "the target did not become leader in time"));
  bool WasSent = Transfer_->Sent_;
  Transfer_.reset();
  if (WasSent)
    becomeFollower(Hard_.Term_, std::nullopt);
}
