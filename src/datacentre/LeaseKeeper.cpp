//===- LeaseKeeper.cpp - Until when attempts may run ----------------------===//

#include "tulipweir/datacentre/LeaseKeeper.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::datacentre;

LeaseKeeper::LeaseKeeper(const LeaseSettings &Settings,
                         const FencingToken &LastPlaced, TimePoint ElectedAt)
    : Settings_(Settings), LastPlaced_(LastPlaced),
      EarlierEnd_(ElectedAt + Settings.longestRun()) {}

bool LeaseKeeper::renew(const TaskId &Task, AttemptNumber Attempt,
                        const LeaderMoment &Moment) {
  if (!Moment.Leads_)
    return false;
  Leases_[Task] = Lease{Attempt, Moment.Now_ + Settings_.longestRun()};
  return true;
}

void LeaseKeeper::forget(const TaskId &Task, AttemptNumber Attempt) {
  const auto Found = Leases_.find(Task);
  if (Found != Leases_.end() && Found->second.Attempt_ <= Attempt)
    Leases_.erase(Found);
}

TimePoint LeaseKeeper::findEnd(const TaskId &Task, AttemptNumber Attempt,
                               const FencingToken &Token) const {
  // A later placement was never seen by another keeper.
  TimePoint End = Token <= LastPlaced_ ? EarlierEnd_ : TimePoint::min();
  const auto Found = Leases_.find(Task);
  if (Found != Leases_.end() && Found->second.Attempt_ == Attempt)
    End = std::max(End, Found->second.End_);
  return End;
}
