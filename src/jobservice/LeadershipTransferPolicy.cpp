#include "jobservice/LeadershipTransferPolicy.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

/// A VM is slow when a probe takes this percentage of its baseline time.
static constexpr int SlowPercent = 190;
/// The leader's probe takes at least this percentage of the target's time.
static constexpr int MinSpeedupPercent = 175;
/// A new leader keeps leadership until it has heard all servers.
static constexpr Duration MinTenure = 3s;
/// Probe results older than this are ignored.
static constexpr Duration MaxProbeAge = 2s;

void LeadershipTransferPolicy::recordProbe(const std::string &Member,
                                           Duration WorkTime) {
  if (WorkTime > Duration(0))
    Members_[Member] = {WorkTime, Time_.now()};
}

static bool isEligible(const replication::ReplicaStatus &Status,
                       const std::string &Name) {
  const bool IsHeard =
      std::find(Status.Responsive_.begin(), Status.Responsive_.end(), Name) !=
      Status.Responsive_.end();
  return IsHeard &&
         std::any_of(Status.Members_.begin(), Status.Members_.end(),
                     [&Name](const replication::Member &Member) {
                       return Member.Id_.Name_ == Name &&
                              Member.Role_ == replication::MemberRole::Voter;
                     });
}

std::optional<TransferTarget>
LeadershipTransferPolicy::chooseTarget(const replication::ReplicaStatus &Status,
                                       const ProcessorProbe &Probe) const {
  const TimePoint Now = Time_.now();
  const Duration WorkTime = Probe.getWorkTime();
  const bool IsSlow =
      WorkTime * 100 >= Probe.getBaselineWorkTime() * SlowPercent;
  if (!Status.IsLeader_ || !IsSlow || Now - Status.LeaderSince_ < MinTenure)
    return std::nullopt;
  std::optional<TransferTarget> Best;
  for (const auto &[Name, Result] : Members_) {
    const bool IsFaster =
        Result.WorkTime_ * MinSpeedupPercent <= WorkTime * 100;
    if (!IsFaster || Now - Result.RecordedAt_ > MaxProbeAge ||
        !isEligible(Status, Name))
      continue;
    if (!Best || Result.WorkTime_ < Best->WorkTime_)
      Best = TransferTarget{Name, Result.WorkTime_};
  }
  return Best;
}
