#include "jobs/JobLeaderImpl.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// The least time between two checks of a server whose lease has expired, in
/// which the server sends two to three reports.
static constexpr Duration RecheckDelay = 1s;
/// The longest wait in a first check for relays that do not answer and are not
/// reachable. An overloaded leader also begins the check earlier.
static constexpr Duration MaxFirstRoundTime = 1s;
static constexpr Duration MaxOverloadedFirstRoundTime = 1500ms;
/// The first check begins this long before the lease expires, so that a silent
/// relay delays the removal by less than a second. An overloaded leader, which
/// checks twice, begins earlier.
static constexpr Duration FirstCheckLead = 600ms;
static constexpr Duration OverloadedFirstCheckLead = RecheckDelay;
/// The same in a second check if a relay was silent in the first one.
static constexpr Duration MaxSecondRoundTime = 500ms;
/// A relay that is reachable but does not answer is waited for until this time
/// after the lease expired, and for ReachableRelayTime in each round, as its
/// answer may be waiting for this leader. Long-running tasks of a lost server
/// have to run again within half a lease, which leaves time for one more round.
static constexpr Duration MaxWaitForSlowRelay = 1500ms;
static constexpr Duration ReachableRelayTime = 1s;
/// A server that got no answer has turned to another relay after this time, so
/// an answer of that relay from before says nothing about it.
static constexpr Duration MaxAnswerAge = 1200ms;
/// The least time between two rounds while the leader is overloaded.
static constexpr Duration ExpiryRoundInterval = 250ms;

/// Asks the relays for servers whose leases are about to expire, and again once
/// they have expired if they answer before.
void JobLeader::Impl::checkExpiredLeases() {
  const WorkTimer::Scope Measured(Work_, LeaderWork::Leases);
  const TimePoint Now = Time_.now();
  const bool IsOverloaded = Now < OverloadedUntil_;
  endOverdueRounds();
  // More rounds would only add to the load of an overloaded leader.
  if (IsOverloaded && Now < NextExpiryRound_)
    return;
  std::erase_if(ExpiryChecks_, [Now](const auto &Entry) {
    return !Entry.second.IsOpen_ && Entry.second.NextAsk_ <= Now;
  });
  std::erase_if(Unheard_, [this, Now](const auto &Entry) {
    const LiveServer *Live = LiveServers_.find(Entry.first);
    return !Live || Live->LeaseEnd_ > Now + RecheckDelay;
  });
  const TimePoint ExpiredBy =
      Now + (IsOverloaded ? OverloadedFirstCheckLead : FirstCheckLead);
  std::vector<std::string> NewlyExpired;
  const std::uint64_t Round = LastExpiryRound_ + 1;
  for (const std::string &Id : LiveServers_.listExpired(ExpiredBy))
    if (ExpiryChecks_.try_emplace(Id, ExpiryCheck{Round, true, Now, {}}).second)
      NewlyExpired.push_back(Id);
  if (NewlyExpired.empty())
    return;
  LastExpiryRound_ = Round;
  NextExpiryRound_ = Now + ExpiryRoundInterval;
  Relays_.findHeard(
      NewlyExpired, [Weak = weak_from_this(), NewlyExpired, Round,
                     Term = Term_](const ReportRelays::Heard &Heard) {
        const std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self || !Self->isLeading() || Self->Term_ != Term)
          return;
        for (const std::string &Id : NewlyExpired)
          Self->finishExpiryCheck(Id, Round,
                                  Heard.count(Id) != 0 ? RelayAnswer::Heard
                                                       : RelayAnswer::Unheard);
      });
}

/// Ends rounds that a relay has not answered in time. What the other relays
/// have said counts. One silent relay must not delay the removal of all servers
/// of a round, as nothing runs on a server without a lease. But a relay that is
/// only slow may hold reports of completed runs, so it is waited for longer.
void JobLeader::Impl::endOverdueRounds() {
  const TimePoint Now = Time_.now();
  const Duration FirstRoundTime =
      Now < OverloadedUntil_ ? MaxOverloadedFirstRoundTime : MaxFirstRoundTime;
  std::vector<std::string> Overdue;
  for (const auto &[Id, Check] : ExpiryChecks_) {
    const auto It = Unheard_.find(Id);
    const bool HasSilentRelay = It != Unheard_.end() && It->second;
    const Duration Longest =
        HasSilentRelay ? MaxSecondRoundTime : FirstRoundTime;
    if (Check.IsOpen_ && Now - Check.AskedAt_ >= Longest)
      Overdue.push_back(Id);
  }
  if (Overdue.empty())
    return;
  const PartialAnswer Answer = Relays_.findPartialAnswer(Overdue);
  for (const std::string &Id : Overdue) {
    const LiveServer *Live = LiveServers_.find(Id);
    const ExpiryCheck &Check = ExpiryChecks_.at(Id);
    if (Answer.Unknown_.count(Id) != 0 && Live &&
        Now < std::max(Live->LeaseEnd_ + MaxWaitForSlowRelay,
                       Check.AskedAt_ + ReachableRelayTime))
      continue;
    finishExpiryCheck(Id, Check.Round_,
                      Answer.Heard_.count(Id) != 0 ? RelayAnswer::Heard
                                                   : RelayAnswer::Missing);
  }
}

/// Removes the server unless a relay has heard it. A server that was heard is
/// kept although its lease expired: its next report tells which runs have
/// finished, and these must not start elsewhere. While the leader is overloaded
/// a relay may not have read that report yet, and beside a silent relay the
/// server may have turned to another one since, so the relays are asked twice.
void JobLeader::Impl::finishExpiryCheck(const std::string &Id,
                                        std::uint64_t Round,
                                        RelayAnswer Answer) {
  const auto It = ExpiryChecks_.find(Id);
  if (It == ExpiryChecks_.end() || !It->second.IsOpen_ ||
      It->second.Round_ != Round)
    return;
  const TimePoint Now = Time_.now();
  ExpiryCheck &Check = It->second;
  Check.IsOpen_ = false;
  Check.NextAsk_ = Now + RecheckDelay;
  const LiveServer *Live = LiveServers_.find(Id);
  const bool WasUnheard = Unheard_.erase(Id) != 0;
  if (!Live || Live->IsRemoving_ || Live->LeaseEnd_ > Now + RecheckDelay)
    return;
  if (Answer == RelayAnswer::Heard) {
    Meter_.add(JobCounter::ExpiredServersKept, Live->LeaseEnd_ <= Now ? 1 : 0);
    return;
  }
  const bool HasLease = Live->LeaseEnd_ > Now;
  const bool IsOverloaded = Now < OverloadedUntil_;
  const bool IsMissing = Answer == RelayAnswer::Missing;
  const bool IsStale = Now - Check.AskedAt_ > MaxAnswerAge;
  if (HasLease || IsStale || ((IsOverloaded || IsMissing) && !WasUnheard)) {
    // The next round is short enough that its answers are not stale.
    Unheard_[Id] =
        IsMissing || (IsStale && Now >= Live->LeaseEnd_ + RecheckDelay);
    Check.NextAsk_ = Live->LeaseEnd_;
    if (IsOverloaded)
      Check.NextAsk_ = std::max(Check.NextAsk_, Check.AskedAt_ + RecheckDelay);
    return;
  }
  if (IsMissing)
    Meter_.add(JobCounter::ServersGoneUnconfirmed, 1);
  removeServer(
      Id, Departure::Silent, [](const Outcome<CommandResult> &) {},
      IsMissing ? "a relay did not say whether it has heard it" : "");
}
