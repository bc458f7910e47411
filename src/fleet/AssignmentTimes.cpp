//===- AssignmentTimes.cpp - Long leases of jobs to data centres ----------===//

#include "tulipweir/fleet/AssignmentTimes.h"

#include <algorithm>
#include <cassert>

using namespace tulipweir;
using namespace tulipweir::fleet;

AssignmentTimes AssignmentTimes::makeFor(Duration Ttl) {
  static constexpr int MarginParts = 40;
  static constexpr int StopParts = 24;
  static constexpr int RenewParts = 8;
  assert(Ttl > Duration::zero() && "a lease needs a length");
  AssignmentTimes Times;
  Times.Ttl_ = Ttl;
  Times.Margin_ = Ttl / MarginParts;
  Times.StopBefore_ = Ttl / StopParts;
  Times.RenewEvery_ = Ttl / RenewParts;
  Times.ReachableWithin_ = std::min(Times.ReachableWithin_, Ttl);
  Times.Settle_ = std::min(Times.Settle_, Ttl / RenewParts);
  Times.ProposeAgain_ = std::min(Times.ProposeAgain_, Ttl / RenewParts);
  return Times;
}
