#include "replication/MajorityBootstrap.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::replication;

/// The low bits of a ballot hold its proposer's rank, so that no two proposers
/// use the same one.
constexpr std::uint64_t RankBits = 8;
/// The time of an attempt is doubled this many times at most, so that it
/// outlasts the saves of slow disks.
constexpr unsigned MaxDoublings = 4;

MajorityBootstrap::MajorityBootstrap(MemberId Self, BootstrapState State,
                                     const MajorityBootstrapSettings &Settings,
                                     TimePoint Start)
    : Self_(std::move(Self)), Settings_(Settings), State_(std::move(State)),
      Random_(Self_.Incarnation_), HighestBallot_(State_.Promised_),
      NextAttempt_(Start) {
  std::vector<std::string> &Voters = State_.InitialVoters_;
  std::sort(Voters.begin(), Voters.end());
  Voters.erase(std::unique(Voters.begin(), Voters.end()), Voters.end());
  const auto Own = std::find(Voters.begin(), Voters.end(), Self_.Name_);
  if (Own == Voters.end())
    return;
  Rank_ = static_cast<std::size_t>(Own - Voters.begin());
  NextAttempt_ += *Rank_ * Settings_.AttemptTime_;
}

bool MajorityBootstrap::isMajority(std::size_t Count) const {
  return Count > State_.InitialVoters_.size() / 2;
}

Message MajorityBootstrap::make(const MemberId &To,
                                decltype(Message::Body_) Body) const {
  return {Self_, To, 0, std::move(Body)};
}

MajorityBootstrapOutputs MajorityBootstrap::tick(TimePoint Now,
                                                 const LocalState &Local) {
  MajorityBootstrapOutputs Out;
  if (!Rank_ || !Local.IsEmpty_)
    return Out;
  if (Now >= NextAttempt_)
    beginAttempt(Now);
  if (!Attempt_)
    return Out;
  advance(Now, Out);
  repeatRequests(Out);
  return Out;
}

Duration MajorityBootstrap::getAttemptTime() const {
  return Settings_.AttemptTime_ * (1U << std::min(Attempts_, MaxDoublings));
}

void MajorityBootstrap::beginAttempt(TimePoint Now) {
  HighestBallot_ = ((HighestBallot_ >> RankBits) + 1) << RankBits | *Rank_;
  Attempt_ = Attempt{};
  Attempt_->Ballot_ = HighestBallot_;
  Attempt_->Begin_ = Now;
  // Jitter separates proposers that supersede each other.
  const Duration Time = getAttemptTime();
  const auto Jitter =
      std::uniform_int_distribution<Duration::rep>(0, Time.count())(Random_);
  NextAttempt_ = Now + Time + Duration(Jitter);
  ++Attempts_;
}

/// Enters the next phase of the attempt if enough members have answered. This
/// member answers its own requests.
void MajorityBootstrap::advance(TimePoint Now, MajorityBootstrapOutputs &Out) {
  if (Attempt_->Promised_.count(Self_.Name_) == 0)
    recordPromise(Self_,
                  promise({Attempt_->Ballot_, State_.InitialVoters_}, Out));
  if (isReadyToPropose(Now))
    propose(Out);
  if (!Attempt_->Members_.empty() && isMajority(Attempt_->Accepted_.size()))
    announce(Out);
}

bool MajorityBootstrap::isReadyToPropose(TimePoint Now) const {
  const std::size_t Count = Attempt_->Promised_.size();
  const bool HasAll = Count == State_.InitialVoters_.size();
  const bool HasWaited = Now - Attempt_->Begin_ >= Settings_.GatherTime_;
  return Attempt_->Members_.empty() && isMajority(Count) &&
         (HasAll || HasWaited);
}

/// Proposes the members that may have been chosen before, or else all members
/// that have promised.
void MajorityBootstrap::propose(MajorityBootstrapOutputs &Out) {
  std::vector<Member> &Members = Attempt_->Members_;
  Members = Attempt_->EarlierMembers_;
  if (Attempt_->EarlierBallot_ == 0)
    for (const auto &[Name, Id] : Attempt_->Promised_)
      Members.push_back({Id, MemberRole::Voter});
  if (const auto Own =
          accept({Attempt_->Ballot_, State_.InitialVoters_, Members}, Out))
    recordAcceptance(Self_, *Own);
  repeatRequests(Out);
}

void MajorityBootstrap::announce(MajorityBootstrapOutputs &Out) {
  const std::vector<Member> Members = std::move(Attempt_->Members_);
  Attempt_.reset();
  for (const Member &M : Members)
    if (M.Id_ != Self_)
      Out.Messages_.push_back(make(M.Id_, BootstrapResult{Members}));
  if (hasVoter(Members, Self_))
    Out.ChosenMembers_ = Members;
}

/// Sends the request of the current phase to those that have not answered it.
void MajorityBootstrap::repeatRequests(MajorityBootstrapOutputs &Out) const {
  if (!Attempt_)
    return;
  const bool IsProposed = !Attempt_->Members_.empty();
  const auto &Answered = IsProposed ? Attempt_->Accepted_ : Attempt_->Promised_;
  for (const std::string &Name : State_.InitialVoters_) {
    if (Name == Self_.Name_ || Answered.count(Name) != 0)
      continue;
    const MemberId To{Name, 0};
    if (IsProposed)
      Out.Messages_.push_back(
          make(To, BootstrapProposal{Attempt_->Ballot_, State_.InitialVoters_,
                                     Attempt_->Members_}));
    else
      Out.Messages_.push_back(
          make(To, BootstrapPrepare{Attempt_->Ballot_, State_.InitialVoters_}));
  }
}

BootstrapPromise MajorityBootstrap::promise(const BootstrapPrepare &Request,
                                            MajorityBootstrapOutputs &Out) {
  HighestBallot_ = std::max(HighestBallot_, Request.Ballot_);
  if (Request.Ballot_ > State_.Promised_) {
    State_.Promised_ = Request.Ballot_;
    Out.State_ = State_;
  }
  return {State_.Promised_, State_.AcceptedBallot_, State_.Accepted_};
}

std::optional<BootstrapAcceptance>
MajorityBootstrap::accept(const BootstrapProposal &Request,
                          MajorityBootstrapOutputs &Out) {
  HighestBallot_ = std::max(HighestBallot_, Request.Ballot_);
  if (Request.Ballot_ < State_.Promised_)
    return std::nullopt;
  if (Request.Ballot_ != State_.AcceptedBallot_) {
    State_.Promised_ = Request.Ballot_;
    State_.AcceptedBallot_ = Request.Ballot_;
    State_.Accepted_ = Request.Members_;
    Out.State_ = State_;
  }
  return BootstrapAcceptance{Request.Ballot_};
}

void MajorityBootstrap::recordPromise(const MemberId &From,
                                      const BootstrapPromise &Answer) {
  HighestBallot_ = std::max(HighestBallot_, Answer.Ballot_);
  const bool IsAwaited = Attempt_ && Attempt_->Members_.empty() &&
                         Answer.Ballot_ == Attempt_->Ballot_;
  if (!IsAwaited)
    return;
  Attempt_->Promised_[From.Name_] = From;
  if (Answer.AcceptedBallot_ <= Attempt_->EarlierBallot_)
    return;
  Attempt_->EarlierBallot_ = Answer.AcceptedBallot_;
  Attempt_->EarlierMembers_ = Answer.Accepted_;
}

void MajorityBootstrap::recordAcceptance(const MemberId &From,
                                         const BootstrapAcceptance &Answer) {
  const bool IsAwaited = Attempt_ && !Attempt_->Members_.empty() &&
                         Answer.Ballot_ == Attempt_->Ballot_;
  if (IsAwaited)
    Attempt_->Accepted_[From.Name_] = From;
}

MajorityBootstrapOutputs MajorityBootstrap::receive(const Message &From,
                                                    TimePoint Now,
                                                    const LocalState &Local) {
  MajorityBootstrapOutputs Out;
  const bool IsForSelf =
      From.To_ == Self_ || From.To_ == MemberId{Self_.Name_, 0};
  if (!IsForSelf)
    return Out;
  const auto *Prepare = std::get_if<BootstrapPrepare>(&From.Body_);
  const auto *Proposal = std::get_if<BootstrapProposal>(&From.Body_);
  if (!Local.IsEmpty_) {
    if ((Prepare || Proposal) && !Local.InitialMembers_.empty())
      Out.Messages_.push_back(
          make(From.From_, BootstrapResult{Local.InitialMembers_}));
    return Out;
  }
  if (const auto *Result = std::get_if<BootstrapResult>(&From.Body_);
      Result && hasVoter(Result->Members_, Self_))
    Out.ChosenMembers_ = Result->Members_;
  if (!Rank_)
    return Out;
  // A higher ballot would only delay the other proposer.
  if (Prepare || Proposal)
    NextAttempt_ = std::max(NextAttempt_, Now + getAttemptTime());
  if (Prepare && Prepare->InitialVoters_ == State_.InitialVoters_)
    Out.Messages_.push_back(make(From.From_, promise(*Prepare, Out)));
  if (Proposal && Proposal->InitialVoters_ == State_.InitialVoters_)
    if (const auto Acceptance = accept(*Proposal, Out))
      Out.Messages_.push_back(make(From.From_, *Acceptance));
  if (const auto *Promise = std::get_if<BootstrapPromise>(&From.Body_))
    recordPromise(From.From_, *Promise);
  if (const auto *Yes = std::get_if<BootstrapAcceptance>(&From.Body_))
    recordAcceptance(From.From_, *Yes);
  if (Attempt_)
    advance(Now, Out);
  return Out;
}
