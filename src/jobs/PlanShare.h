//===- PlanShare.h - How much of a leader's time plans may take -*- C++ -*-===//
//
// Plans get dearer the more waits. At a leader that is behind that would feed
// itself: the longer the queue, the fewer reports are answered, the longer the
// queue. There a plan is followed by a rest of twice its time, in which reports
// are answered without one.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_PLANSHARE_H
#define TULIPWEIR_SRC_JOBS_PLANSHARE_H

#include "tulipweir/core/Time.h"

namespace tulipweir::jobs {

/// Not thread-safe.
class PlanShare {
public:
  // Commands.

  /// A plan was made in that time.
  void note(TimePoint Begin, TimePoint End) {
    NextAt_ = End + (End - Begin) * RestOfPlan;
  }

  // Queries.

  /// Whether a leader that is behind may make a plan.
  bool mayPlan(TimePoint Now) const { return Now >= NextAt_; }

private:
  /// Plans take a third of the time at the most; measured beside a slowed
  /// leader they had taken over half.
  static constexpr int RestOfPlan = 2;

  TimePoint NextAt_ = TimePoint::min();
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_PLANSHARE_H
