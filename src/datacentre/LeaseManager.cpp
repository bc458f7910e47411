//===- LeaseManager.cpp - Expiry of task leases at the leader -------------===//

#include "tulipweir/datacentre/LeaseManager.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::datacentre;

LeaseManager::LeaseManager(const LeaseSettings &Settings,
                           const FencingToken &LastPlaced, TimePoint ElectedAt)
    : Settings_(Settings), LastPlaced_(LastPlaced),
      EarlierLeasesEnd_(ElectedAt + Settings.getMaxRunTime()) {}

bool LeaseManager::renew(const TaskId &Task, AttemptNumber Attempt,
                         const LeadershipCheck &Check) {
  if (!Check.IsLeader_)
    return false;
  Leases_[Task] = Lease{Attempt, Check.Now_ + Settings_.getMaxRunTime()};
  return true;
}

void LeaseManager::forget(const TaskId &Task, AttemptNumber Attempt) {
  const auto It = Leases_.find(Task);
  if (It != Leases_.end() && It->second.Attempt_ <= Attempt)
    Leases_.erase(It);
}

TimePoint LeaseManager::findExpiry(const TaskId &Task, AttemptNumber Attempt,
                                   const FencingToken &Token) const {
  // No other LeaseManager can have granted a lease for a later placement.
  TimePoint Expiry =
      Token <= LastPlaced_ ? EarlierLeasesEnd_ : TimePoint::min();
  const auto It = Leases_.find(Task);
  if (It != Leases_.end() && It->second.Attempt_ == Attempt)
    Expiry = std::max(Expiry, It->second.Expiry_);
  return Expiry;
}
