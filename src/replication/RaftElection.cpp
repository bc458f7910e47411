//===- RaftElection.cpp - RaftCore: terms and elections -------------------===//

#include "replication/RaftCore.h"

#include <algorithm>
#include <cassert>

using namespace tulipweir;
using namespace tulipweir::replication;

/// Bounds the timeout of an election at four election timeouts.
static constexpr unsigned MaxTimeoutDoublings = 3;

void RaftCore::resetElectionTimer() {
  setElectionTimer(Settings_.ElectionTimeout_ * 5 / 4);
}

/// Sets the deadline to a random time from AtLeast to half an election timeout
/// later.
void RaftCore::setElectionTimer(Duration AtLeast) {
  std::uniform_int_distribution<Duration::rep> Spread(
      0, Settings_.ElectionTimeout_.count() / 2);
  ElectionDeadline_ = Now_ + AtLeast + Duration(Spread(Random_));
}

void RaftCore::startPreVote() {
  Role_ = Role::PreCandidate;
  Leader_.reset();
  Votes_ = {{Settings_.Self_, true}};
  // The retry comes sooner than the first attempt, which may have been refused
  // only because a voter heard the leader slightly later.
  setElectionTimer(Settings_.ElectionTimeout_ / 4);
  requestVotes(true, false);
  countVotes();
}

void RaftCore::startElection(bool IsTransfer) {
  Role_ = Role::Candidate;
  Leader_.reset();
  setHard({Hard_.Term_ + 1, Settings_.Self_});
  Votes_ = {{Settings_.Self_, true}};
  // The timeout covers two syncs and a round trip, but is shorter than the full
  // election timeout so that split votes are resolved quickly. It doubles after
  // each failed election, as the disks may be slower than that.
  setElectionTimer(Settings_.ElectionTimeout_ / 2 *
                   (1 << std::min(FailedElections_, MaxTimeoutDoublings)));
  ++FailedElections_;
  requestVotes(false, IsTransfer);
  countVotes();
}

void RaftCore::requestVotes(bool IsPreVote, bool IsTransfer) {
  VoteRequest Request;
  Request.PreVote_ = IsPreVote;
  Request.Transfer_ = IsTransfer;
  Request.LastIndex_ = Log_.getLastIndex();
  Request.LastTerm_ = Log_.getLastTerm();
  std::uint64_t Term = IsPreVote ? Hard_.Term_ + 1 : Hard_.Term_;
  for (const Member &M : Log_.getMembers()) {
    bool IsAsked = M.Role_ == MemberRole::Voter && M.Id_ != Settings_.Self_;
    if (IsAsked)
      send(Out_.MessagesAfterSync_, M.Id_, Term, Request);
  }
}

void RaftCore::countVotes() {
  std::size_t Granted = 0;
  for (const auto &[Voter, IsGranted] : Votes_)
    Granted += IsGranted && isVoter(Voter) ? 1 : 0;
  if (Granted <= countVoters() / 2)
    return;
  if (Role_ == Role::PreCandidate)
    startElection(false);
  else if (Role_ == Role::Candidate)
    becomeLeader();
}

void RaftCore::becomeFollower(std::uint64_t Term,
                              std::optional<MemberId> Leader) {
  endLeadership();
  Role_ = Role::Follower;
  Leader_ = std::move(Leader);
  Votes_.clear();
  if (Term > Hard_.Term_)
    setHard({Term, {}});
}

void RaftCore::becomeLeader() {
  Role_ = Role::Leader;
  FailedElections_ = 0;
  Leader_ = Settings_.Self_;
  LeaderSince_ = Now_;
  PreviousTerm_ = Log_.getLastTerm();
  LeaseStart_ = TimePoint::min();
  Round_ = 0;
  Rounds_.clear();
  Peers_.clear();
  FirstIndexOfTerm_ = Log_.getLastIndex() + 1;
  // A leader may count earlier entries as committed only after an entry of its
  // own term.
  appendNewEntry(EntryKind::NoOp, "", {});
  broadcastRound();
}

void RaftCore::endLeadership() {
  if (Role_ != Role::Leader)
    return;
  Role_ = Role::Follower;
  Leader_.reset();
  LeaseStart_ = TimePoint::min();
  for (const PendingRead &Read : Reads_)
    finish(Read.Id_, makeNotLeader());
  Reads_.clear();
  if (Change_)
    finish(Change_->Id_, Error::make(ErrorCode::Unavailable,
                                     "leadership was lost; check the members "
                                     "before retrying"));
  Change_.reset();
  ChangeIndex_ = 0;
  if (Transfer_)
    finish(Transfer_->Id_, Transfer_->Sent_
                               ? std::nullopt
                               : std::optional<Error>(makeNotLeader()));
  Transfer_.reset();
  Peers_.clear();
  resetElectionTimer();
}

bool RaftCore::hasRecentLeader() const {
  if (Role_ == Role::Leader)
    return true;
  return Now_ - LastHeard_ < Settings_.ElectionTimeout_;
}

bool RaftCore::isUpToDate(const VoteRequest &Request) const {
  std::uint64_t LastTerm = Log_.getLastTerm();
  if (Request.LastTerm_ != LastTerm)
    return Request.LastTerm_ > LastTerm;
  return Request.LastIndex_ >= Log_.getLastIndex();
}

/// Follows a higher term if there is one, and returns whether to handle the
/// message.
bool RaftCore::checkTerm(const Message &From) {
  const auto *Request = std::get_if<VoteRequest>(&From.Body_);
  if (Request && Request->PreVote_)
    return true;
  // The request's term is ignored as well: leases and check-quorum depend on
  // this.
  if (Request && !Request->Transfer_ && hasRecentLeader())
    return false;
  const auto *Reply = std::get_if<VoteReply>(&From.Body_);
  if (Reply && Reply->PreVote_ && Reply->Granted_)
    return Role_ == Role::PreCandidate && From.Term_ == Hard_.Term_ + 1;

  bool IsLeaders = std::holds_alternative<AppendRequest>(From.Body_) ||
                   std::holds_alternative<SnapshotChunk>(From.Body_);
  if (From.Term_ > Hard_.Term_) {
    becomeFollower(From.Term_, std::nullopt);
    return true;
  }
  if (From.Term_ == Hard_.Term_)
    return true;
  // The reply tells a leader of an old term that it no longer leads.
  if (IsLeaders)
    send(Out_.MessagesAfterSync_, From.From_, Hard_.Term_, AppendReply{});
  return false;
}

/// Lets another candidate go first, as two simultaneous candidates would split
/// the votes. Of two that have both sent requests, the one with the higher id
/// proceeds.
void RaftCore::deferElection(const MemberId &Other) {
  ElectionDeadline_ =
      std::max(ElectionDeadline_, Now_ + Settings_.ElectionTimeout_ / 4);
  if (Role_ == Role::PreCandidate && Other > Settings_.Self_)
    Role_ = Role::Follower;
}

void RaftCore::onMessage(const Message &From, const VoteRequest &Body) {
  VoteReply Reply;
  Reply.PreVote_ = Body.PreVote_;
  if (Body.PreVote_) {
    Reply.Granted_ =
        From.Term_ > Hard_.Term_ && !hasRecentLeader() && isUpToDate(Body);
    if (Reply.Granted_)
      deferElection(From.From_);
    std::uint64_t Term = Reply.Granted_ ? From.Term_ : Hard_.Term_;
    send(Out_.MessagesAfterSync_, From.From_, Term, Reply);
    return;
  }
  bool IsFree = Hard_.Vote_.Name_.empty() || Hard_.Vote_ == From.From_;
  Reply.Granted_ = IsFree && isUpToDate(Body);
  if (Reply.Granted_) {
    Role_ = Role::Follower;
    setHard({Hard_.Term_, From.From_});
    resetElectionTimer();
  }
  send(Out_.MessagesAfterSync_, From.From_, Hard_.Term_, Reply);
}

void RaftCore::onMessage(const Message &From, const VoteReply &Body) {
  Role Asking = Body.PreVote_ ? Role::PreCandidate : Role::Candidate;
  if (Role_ != Asking)
    return;
  Votes_[From.From_] = Body.Granted_;
  countVotes();
}

void RaftCore::onMessage(const Message &From, const TimeoutNow &) {
  bool IsFromLeader = Leader_ == From.From_ && Role_ == Role::Follower;
  if (IsFromLeader && isVoter(Settings_.Self_))
    startElection(true);
}
