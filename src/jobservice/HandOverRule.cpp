#include "jobservice/HandOverRule.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

/// Of the usual time, from which on a VM counts as slow. One that works at half
/// its speed is far above it; interruptions, of which the least of five is
/// taken, and the processor's own steps stay below.
static constexpr int SlowPercent = 175;
/// Of the other's time: a hand-over costs the answers of some hundred
/// milliseconds, so the gain must be worth it.
static constexpr int WorthwhilePercent = 150;
/// A new leader hears all servers within two of their reports. They shall not
/// wait for the next one before that.
static constexpr Duration LeastTenure = 3s;
/// What a member said longer ago may be no longer so.
static constexpr Duration FreshFor = 2s;

void HandOverRule::note(const std::string &Member, Duration WorkTime) {
  if (WorkTime > Duration(0))
    Members_[Member] = {WorkTime, Time_.now()};
}

static bool isFit(const replication::ReplicaStatus &Status,
                  const std::string &Name) {
  const bool IsHeard = std::find(Status.Heard_.begin(), Status.Heard_.end(),
                                 Name) != Status.Heard_.end();
  return IsHeard &&
         std::any_of(Status.Members_.begin(), Status.Members_.end(),
                     [&Name](const replication::Member &Each) {
                       return Each.Id_.Name_ == Name &&
                              Each.Role_ == replication::MemberRole::Voter;
                     });
}

std::optional<BetterLeader>
HandOverRule::findBetter(const replication::ReplicaStatus &Own,
                         const ProcessorProbe &Speed) const {
  const TimePoint Now = Time_.now();
  const Duration WorkTime = Speed.getWorkTime();
  const bool IsSlow = WorkTime * 100 >= Speed.getUsualWorkTime() * SlowPercent;
  if (!Own.IsLeader_ || !IsSlow || Now - Own.LeaderSince_ < LeastTenure)
    return std::nullopt;
  std::optional<BetterLeader> Best;
  for (const auto &[Name, Each] : Members_) {
    const bool IsFaster = Each.WorkTime_ * WorthwhilePercent <= WorkTime * 100;
    if (!IsFaster || Now - Each.At_ > FreshFor || !isFit(Own, Name))
      continue;
    if (!Best || Each.WorkTime_ < Best->WorkTime_)
      Best = BetterLeader{Name, Each.WorkTime_};
  }
  return Best;
}
