#include "jobservice/LeadershipTransferPolicy.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

/// Of the usual time, from which on a VM counts as slow. At a third of its
/// speed it takes three times as long; nothing slowed, beside a busy
/// machine, 1.75.
static constexpr int SlowPercent = 190;
/// Of the other's time: a hand-over costs the answers of 0.1 s, and processors
/// of one kind took 42 to 86 us for the same work.
static constexpr int WorthwhilePercent = 175;
/// A new leader hears all servers within two of their reports. They shall not
/// wait for the next one before that.
static constexpr Duration LeastTenure = 3s;
/// What a member said longer ago may be no longer so.
static constexpr Duration FreshFor = 2s;

void LeadershipTransferPolicy::recordProbe(const std::string &Member,
                                           Duration WorkTime) {
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

std::optional<TransferTarget>
LeadershipTransferPolicy::chooseTarget(const replication::ReplicaStatus &Own,
                                       const ProcessorProbe &Speed) const {
  const TimePoint Now = Time_.now();
  const Duration WorkTime = Speed.getWorkTime();
  const bool IsSlow = WorkTime * 100 >= Speed.getUsualWorkTime() * SlowPercent;
  if (!Own.IsLeader_ || !IsSlow || Now - Own.LeaderSince_ < LeastTenure)
    return std::nullopt;
  std::optional<TransferTarget> Best;
  for (const auto &[Name, Each] : Members_) {
    const bool IsFaster = Each.WorkTime_ * WorthwhilePercent <= WorkTime * 100;
    if (!IsFaster || Now - Each.At_ > FreshFor || !isFit(Own, Name))
      continue;
    if (!Best || Each.WorkTime_ < Best->WorkTime_)
      Best = TransferTarget{Name, Each.WorkTime_};
  }
  return Best;
}
