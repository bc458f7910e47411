#include "jobs/JobLeaderImpl.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// How soon the others are asked again for a server whose lease ran out: two to
/// three of its reports.
static constexpr Duration AskAgainAfter = 1s;
/// Longest wait for the relays' answers.
static constexpr Duration LongestLapseRound = 1500ms;
/// Least time between two rounds while the leader is behind.
static constexpr Duration LapseRoundInterval = 250ms;

/// Asks the relays for servers whose leases have expired. While the leader is
/// behind they are asked twice, and the first time before the lease expires.
void JobLeader::Impl::removeLapsed() {
  const TimePoint Now = Time_.now();
  const bool IsBehind = Now < BehindUntil_;
  endOverdueRounds();
  // More rounds would only add to the work of a leader that is behind.
  if (IsBehind && Now < NextLapseRound_)
    return;
  std::erase_if(Lapsed_, [Now](const auto &Each) {
    return !Each.second.IsOpen_ && Each.second.NextAsk_ <= Now;
  });
  std::erase_if(Unheard_, [this, Now](const std::string &Id) {
    const ServerLive *Live = Board_.find(Id);
    return !Live || Live->LeaseEnd_ > Now + AskAgainAfter;
  });
  const TimePoint LapsedBy = IsBehind ? Now + AskAgainAfter : Now;
  std::vector<std::string> Fresh;
  const std::uint64_t Round = LastLapseRound_ + 1;
  for (const std::string &Id : Board_.listLapsed(LapsedBy))
    if (Lapsed_.try_emplace(Id, LapseCheck{Round, true, Now, {}}).second)
      Fresh.push_back(Id);
  if (Fresh.empty())
    return;
  LastLapseRound_ = Round;
  NextLapseRound_ = Now + LapseRoundInterval;
  Relays_.findHeard(Fresh, [Weak = weak_from_this(), Fresh, Round,
                            Term = Term_](const ReportRelays::Heard &Heard) {
    const std::shared_ptr<Impl> Self = Weak.lock();
    if (!Self || !Self->isLeading() || Self->Term_ != Term)
      return;
    for (const std::string &Id : Fresh)
      Self->endLapseCheck(Id, Round, Heard.count(Id) != 0);
  });
}

/// Nothing runs on a server without a lease, so a relay that does not answer is
/// not waited for: it may hold up all servers of a round.
void JobLeader::Impl::endOverdueRounds() {
  const TimePoint Now = Time_.now();
  std::vector<std::pair<std::string, std::uint64_t>> Overdue;
  for (const auto &[Id, Check] : Lapsed_)
    if (Check.IsOpen_ && Now - Check.AskedAt_ >= LongestLapseRound)
      Overdue.emplace_back(Id, Check.Round_);
  for (const auto &[Id, Round] : Overdue)
    endLapseCheck(Id, Round, false);
}

/// Keeps a server that a relay has heard, although its lease expired: the next
/// report tells which runs were done, and these must not start elsewhere.
/// While the leader is behind a relay may not have read that report yet, so the
/// relays are asked twice.
void JobLeader::Impl::endLapseCheck(const std::string &Id, std::uint64_t Round,
                                    bool IsHeard) {
  const auto Found = Lapsed_.find(Id);
  if (Found == Lapsed_.end() || !Found->second.IsOpen_ ||
      Found->second.Round_ != Round)
    return;
  const TimePoint Now = Time_.now();
  LapseCheck &Check = Found->second;
  Check.IsOpen_ = false;
  Check.NextAsk_ = Now + AskAgainAfter;
  const ServerLive *Live = Board_.find(Id);
  const bool WasUnheard = Unheard_.erase(Id) != 0;
  if (!Live || Live->IsRemoving_ || Live->LeaseEnd_ > Now + AskAgainAfter)
    return;
  if (IsHeard) {
    Meter_.add(Counted::LapsesHeard, Live->LeaseEnd_ <= Now ? 1 : 0);
    return;
  }
  const bool HasLease = Live->LeaseEnd_ > Now;
  if (HasLease || (Now < BehindUntil_ && !WasUnheard)) {
    Unheard_.insert(Id);
    Check.NextAsk_ = std::max(Live->LeaseEnd_, Check.AskedAt_ + AskAgainAfter);
    return;
  }
  removeServer(Id, Departure::Silent, [](const Outcome<CommandResult> &) {});
}
