//===- AssignmentTimes.cpp - Leases of jobs to data centres --------------===//

#include "tulipweir/fleet/AssignmentTimes.h"

#include <algorithm>
#include <cassert>

using namespace tulipweir;
using namespace tulipweir::fleet;

AssignmentTimes AssignmentTimes::makeFor(Duration Ttl) {
  static constexpr int MarginParts = 40;
  static constexpr int StopParts = 24;
  static constexpr int RenewParts = 8;
  assert(Ttl > Duration::zero() && "the lease duration must be positive");
  AssignmentTimes Times;
  Times.Ttl_ = Ttl;
  Times.Margin_ = Ttl / MarginParts;
  Times.StopLeadTime_ = Ttl / StopParts;
  Times.RenewInterval_ = Ttl / RenewParts;
  Times.ReachableTimeout_ = std::min(Times.ReachableTimeout_, Ttl);
  Times.NewLeaderDelay_ = std::min(Times.NewLeaderDelay_, Ttl / RenewParts);
  Times.RetryInterval_ = std::min(Times.RetryInterval_, Ttl / RenewParts);
  return Times;
}
