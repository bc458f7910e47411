#include "jobservice/LeadershipTransferPolicy.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

/// A VM is slow when a probe takes this percentage of its baseline time.
static constexpr int SlowPercent = 190;
/// The leader's probe takes at least this percentage of the target's time.
static constexpr int WorthwhilePercent = 175;
/// A new leader keeps leadership until it has heard all servers.
static constexpr Duration LeastTenure = 3s;
/// Probe results older than this are ignored.
static constexpr Duration FreshFor = 2s;

void LeadershipTransferPolicy::recordProbe(const std::string &Member,
                                           Duration WorkTime) {
  if (WorkTime > Duration(0))
    Members_[Member] = {WorkTime, Time_.now()};
}

static bool isFit(const replication::ReplicaStatus &Status,
                  const std::string &Name) {
  const bool IsHeard =
      std::find(Status.Responsive_.begin(), Status.Responsive_.end(), Name) !=
      Status.Responsive_.end();
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
