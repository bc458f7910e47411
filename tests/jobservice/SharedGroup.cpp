#include "jobservice/SharedGroup.h"

#include "jobservice/MemberSilence.h"

#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobservice::test;
using namespace std::chrono_literals;

/// Seven eighths of the election timeout of 600 ms.
static constexpr Duration LeaderLease = 525ms;

/// A member's access to the group.
class SharedGroup::Handle final : public replication::Replica {
public:
  Handle(SharedGroup &Group, std::size_t Member)
      : Group_(Group), Member_(Member) {}

  void propose(std::string Command, AppliedCallback Done) override {
    Group_.propose(Member_, std::move(Command), std::move(Done));
  }
  void receive(std::string) override {}
  void confirmLeadership(std::function<void(Outcome<void>)> Done) override {
    if (Group_.Leader_ == Member_ && Group_.isReachable(Member_))
      return Done(succeed());
    Done(fail(ErrorCode::NotLeader, ""));
  }
  std::optional<std::uint64_t> findLeaseTerm(TimePoint Now) const override {
    return Group_.findLeaseTerm(Member_, Now);
  }
  replication::ReplicaStatus getStatus() const override {
    return Group_.getStatus(Member_);
  }
  void addLearner(replication::MemberId,
                  std::function<void(Outcome<void>)>) override {}
  void promote(replication::MemberId,
               std::function<void(Outcome<void>)>) override {}
  void remove(replication::MemberId,
              std::function<void(Outcome<void>)>) override {}
  void transferLeadership(std::function<void(Outcome<void>)>) override {}
  void transferLeadershipTo(std::string,
                            std::function<void(Outcome<void>)>) override {}
  void stop() override {}

private:
  SharedGroup &Group_;
  const std::size_t Member_;
};

SharedGroup::SharedGroup(const Clock &Time, std::size_t Members)
    : Time_(Time), Members_(Members) {
  Newest_.Index_ = LastMembersIndex_;
  for (std::size_t I = 0; I < Members; ++I)
    Newest_.Numbers_.insert(I);
  Committed_ = Newest_;
  for (MemberState &State : Members_)
    State.Newest_ = State.Committed_ = Newest_;
}

bool SharedGroup::isReachable(std::size_t Member) const {
  return Members_[Member].Machine_ && Members_[Member].IsReachable_;
}

bool SharedGroup::isElectable(std::size_t Member) const {
  for (std::size_t I = 0; I < Members_.size(); ++I)
    if (Members_[I].Machine_ && !Members_[I].IsReachable_ &&
        findLeaseTerm(I, Time_.now()))
      return false;
  return isReachable(Member) && isMember(Member);
}

std::unique_ptr<replication::Replica>
SharedGroup::start(std::size_t Member, jobs::JobStateMachine &Machine) {
  MemberState &State = Members_[Member];
  State.Machine_ = &Machine;
  State.Applied_ = 0;
  State.Leader_.reset();
  catchUp(Member);
  updateViews();
  return std::make_unique<Handle>(*this, Member);
}

void SharedGroup::stop(std::size_t Member) {
  MemberState &State = Members_[Member];
  if (State.IsReachable_)
    State.UnreachableSince_ = Time_.now();
  State.Machine_ = nullptr;
  for (Proposal &Open : Proposals_)
    if (Open.Member_ == Member)
      Open.Done_ = nullptr;
}

void SharedGroup::setReachable(std::size_t Member, bool IsReachable) {
  MemberState &State = Members_[Member];
  if (std::exchange(State.IsReachable_, IsReachable) == IsReachable)
    return;
  if (!IsReachable) {
    State.UnreachableSince_ = Time_.now();
    return;
  }
  if (State.Machine_ && isMember(Member))
    catchUp(Member);
  updateViews();
  if (Leader_ != Member)
    failProposals(Member);
}

void SharedGroup::elect(std::size_t Member, bool KeepsProposals) {
  resolveProposals(KeepsProposals);
  ++Term_;
  Leader_ = Member;
  Members_[Member].LeaderSince_ = Time_.now();
  Members_[Member].PreviousTerm_ = LastLogTerm_;
  updateViews();
}

void SharedGroup::endTerm(bool KeepsProposals) {
  resolveProposals(KeepsProposals);
  ++Term_;
  Leader_.reset();
  updateViews();
}

/// Commits the open proposals as a later leader does that has them in its log,
/// or drops them. Their proposer does not learn which.
void SharedGroup::resolveProposals(bool KeepsProposals) {
  if (KeepsProposals && Leader_)
    LastLogTerm_ = Term_;
  if (KeepsProposals)
    Committed_ = Newest_;
  else
    Newest_ = Committed_;
  std::vector<Proposal> Open = std::exchange(Proposals_, {});
  for (Proposal &Next : Open)
    if (KeepsProposals && Next.Term_ == Term_)
      Log_.push_back({Next.Term_, Next.Command_});
  for (std::size_t I = 0; I < Members_.size(); ++I)
    if (isReachable(I) && isMember(I))
      catchUp(I);
  for (Proposal &Next : Open)
    if (Next.Done_)
      Next.Done_(fail(ErrorCode::Unavailable, "leadership was lost"));
}

void SharedGroup::failProposals(std::size_t Member) {
  std::vector<Proposal> Failed;
  std::erase_if(Proposals_, [&](Proposal &Open) {
    const bool IsFailed = Open.Member_ == Member;
    if (IsFailed)
      Failed.push_back(std::move(Open));
    return IsFailed;
  });
  for (Proposal &Next : Failed)
    if (Next.Done_)
      Next.Done_(fail(ErrorCode::Unavailable, "leadership was lost"));
}

void SharedGroup::commit() {
  if (!Leader_ || !isReachable(*Leader_))
    return;
  LastLogTerm_ = Term_;
  const bool HasChange = Committed_.Index_ != Newest_.Index_;
  Committed_ = Newest_;
  Members_[*Leader_].CommittedTerm_ = Term_;
  if (HasChange)
    updateViews();
  for (Proposal &Next : std::exchange(Proposals_, {})) {
    if (Next.Term_ != Term_) {
      Proposals_.push_back(std::move(Next));
      continue;
    }
    Log_.push_back({Term_, std::move(Next.Command_)});
    const std::string Result = applyNext(Next.Member_);
    if (Next.Done_)
      Next.Done_(replication::Applied{Term_, Log_.size(), Result});
  }
  for (std::size_t I = 0; I < Members_.size(); ++I)
    if (isReachable(I) && isMember(I))
      catchUp(I);
}

void SharedGroup::changeMember(std::size_t Member, bool IsAdded) {
  const bool IsOpen = Committed_.Index_ != Newest_.Index_;
  if (IsOpen || !Leader_ || !isReachable(*Leader_) ||
      Members_[*Leader_].CommittedTerm_ != Term_ || Leader_ == Member ||
      isMember(Member) == IsAdded)
    return;
  if (IsAdded)
    Newest_.Numbers_.insert(Member);
  else
    Newest_.Numbers_.erase(Member);
  Newest_.Index_ = ++LastMembersIndex_;
  updateView(*Leader_);
}

std::string SharedGroup::applyNext(std::size_t Member) {
  MemberState &State = Members_[Member];
  const Entry &Next = Log_[State.Applied_++];
  return State.Machine_->apply({Next.Term_, State.Applied_, Next.Command_});
}

void SharedGroup::catchUp(std::size_t Member) {
  while (Members_[Member].Applied_ < Log_.size())
    applyNext(Member);
}

void SharedGroup::updateViews() {
  for (std::size_t I = 0; I < Members_.size(); ++I)
    if (isReachable(I) && isMember(I))
      updateView(I);
}

void SharedGroup::updateView(std::size_t Member) {
  MemberState &State = Members_[Member];
  State.Leader_ = Leader_;
  State.Term_ = Term_;
  State.Newest_ = Newest_;
  State.Committed_ = Committed_;
}

void SharedGroup::propose(std::size_t Member, std::string Command,
                          replication::Replica::AppliedCallback Done) {
  const MemberState &State = Members_[Member];
  if (State.Leader_ != Member)
    return Done(fail(ErrorCode::NotLeader,
                     State.Leader_ ? getName(*State.Leader_) : ""));
  Proposals_.push_back(
      {Member, State.Term_, std::move(Command), std::move(Done)});
}

std::optional<std::uint64_t> SharedGroup::findLeaseTerm(std::size_t Member,
                                                        TimePoint Now) const {
  const MemberState &State = Members_[Member];
  const bool HasLease = State.IsReachable_
                            ? Leader_ == Member
                            : Now - State.UnreachableSince_ < LeaderLease;
  if (State.Leader_ == Member && HasLease &&
      State.CommittedTerm_ == State.Term_)
    return State.Term_;
  return std::nullopt;
}

replication::ReplicaStatus SharedGroup::getStatus(std::size_t Member) const {
  const MemberState &State = Members_[Member];
  replication::ReplicaStatus Status;
  Status.Self_ = {getName(Member), 1};
  Status.IsLeader_ = State.Leader_ == Member;
  Status.LeaderName_ = State.Leader_ ? getName(*State.Leader_) : "";
  Status.Term_ = State.Term_;
  Status.LeaderSince_ = State.LeaderSince_;
  Status.PreviousTerm_ = State.PreviousTerm_;
  Status.MembersIndex_ = State.Newest_.Index_;
  for (const std::size_t I : State.Committed_.Numbers_)
    Status.CommittedMembers_.push_back(
        {{getName(I), 1}, replication::MemberRole::Voter});
  for (const std::size_t I : State.Newest_.Numbers_) {
    Status.Members_.push_back(
        {{getName(I), 1}, replication::MemberRole::Voter});
    if (I == Member)
      continue;
    if (isReachable(I))
      Status.Responsive_.push_back(getName(I));
    recordSilence(Status, getName(I),
                  isReachable(I) ? Duration(0)
                                 : Time_.now() - Members_[I].UnreachableSince_);
  }
  return Status;
}
