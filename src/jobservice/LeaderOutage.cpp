#include "jobservice/LeaderOutage.h"

#include "tulipweir/core/RetryAfter.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

/// Callers return in at least this many different seconds: Retry-After is in
/// whole seconds, so a shorter spread would be rounded away.
static constexpr Duration MinSpread = 2s;

LeaderOutage::LeaderOutage(const LeaderOutageSettings &Settings, TimePoint Now)
    : Settings_(Settings), Since_(Now), PolledAt_(Now) {}

void LeaderOutage::recordPoll(TimePoint Now) {
  if (Now - PolledAt_ > Settings_.MaxAnswerAge_) {
    // Nobody was asked meanwhile, so nothing is known of that time.
    Since_ = Now;
    HadLeader_ = false;
    AnsweredAt_.clear();
  }
  PolledAt_ = Now;
}

std::optional<Duration> LeaderOutage::recordLeader(TimePoint Now) {
  const Duration Age = getAge(Now);
  HadLeader_ = true;
  Since_ = Now;
  AnsweredAt_.clear();
  return Age > Settings_.MaxAnswerAge_ ? std::optional(Age) : std::nullopt;
}

void LeaderOutage::recordMember(const std::string &Name, TimePoint Now) {
  if (!Members_.contains(Name))
    return;
  const bool HadMajority = hasMajority(Now);
  AnsweredAt_[Name] = Now;
  if (!HadMajority && hasMajority(Now))
    MajoritySince_ = Now;
}

void LeaderOutage::setMembers(const std::set<std::string> &Names) {
  if (Members_ == Names)
    return;
  Members_ = Names;
  std::erase_if(AnsweredAt_,
                [&](const auto &Row) { return !Names.contains(Row.first); });
}

bool LeaderOutage::hasLeader(TimePoint Now) const {
  return HadLeader_ && Now - Since_ <= Settings_.MaxAnswerAge_;
}

Duration LeaderOutage::getAge(TimePoint Now) const {
  return hasLeader(Now) ? Duration(0) : Now - Since_;
}

bool LeaderOutage::hasMajority(TimePoint Now) const {
  const auto Answering = static_cast<std::size_t>(
      std::count_if(AnsweredAt_.begin(), AnsweredAt_.end(), [&](auto &Row) {
        return Now - Row.second <= Settings_.MaxAnswerAge_;
      }));
  return Answering * 2 > Members_.size();
}

/// Returns the longest time from the loss of a leader until the next one, if
/// the first vote succeeds: a follower waits for up to 7/4 of the timeout, and
/// a candidate for half of it.
Duration LeaderOutage::getElectionTime() const {
  return Settings_.ElectionTimeout_ * 9 / 4;
}

Duration LeaderOutage::getWait(TimePoint Now) const {
  const bool IsElecting =
      hasMajority(Now) && Now - MajoritySince_ <= getElectionTime();
  if (hasLeader(Now) || IsElecting)
    return Settings_.ElectionWait_;
  if (!HadLeader_ && Now - Since_ <= Settings_.FirstAnswerWait_)
    return Settings_.FirstAnswerWait_;
  return Duration(0);
}

/// Returns the time until a leader is likely to answer. A state that has lasted
/// for some time without a leader is likely to last as long again.
Duration LeaderOutage::estimateRemaining(TimePoint Now) const {
  const Duration Election = getElectionTime();
  if (!hasMajority(Now))
    return std::max(Election, Now - Since_);
  const Duration Electing = Now - MajoritySince_;
  return std::max(Election - Electing, Electing);
}

Duration LeaderOutage::getRetryAfter(TimePoint Now,
                                     std::string_view Caller) const {
  const Duration Remaining =
      std::min(estimateRemaining(Now), Settings_.MaxRetryAfter_ / 2);
  const Duration Earliest =
      std::max(std::chrono::ceil<std::chrono::seconds>(Remaining), 1s);
  const Duration Spread = std::max(Earliest, MinSpread);
  return std::chrono::floor<std::chrono::seconds>(
      spreadRetryAfter(Earliest, Spread, Caller));
}
