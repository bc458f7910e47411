//===- PassedOverTimes.h - Waits beside room for the task -------*- C++ -*-===//
//
// On a full fleet room comes and goes within a report, and the steps that are
// due first take it. This class keeps, for each waiting long-running step,
// since when servers have offered enough room for its tasks at least every
// other second. Deterministic: reads no clock and does no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_PASSEDOVERTIMES_H
#define TULIPWEIR_SRC_JOBS_PASSEDOVERTIMES_H

#include "tulipweir/core/Time.h"
#include "tulipweir/jobs/JobRegistry.h"

#include <map>

namespace tulipweir::jobs {

/// Not thread-safe.
class PassedOverTimes {
public:
  // Commands.

  void reset();
  /// Records that a server has room for this many thousandths of a processor
  /// before its next starts are planned.
  void recordRoom(std::int64_t MilliCpus, TimePoint Now);
  /// Begins or ends the times of all waiting long-running steps; called some
  /// twenty times a second.
  void update(const JobRegistry &Registry, TimePoint Now);

  // Queries.

  /// Returns for how long there has been room for a task of the step time and
  /// again; zero if there is none.
  Duration getTime(const ReadyStep &Step, TimePoint Now) const;

private:
  std::map<ReadyStep, TimePoint> Since_;
  /// The largest room in the current period and in the one before.
  std::int64_t Largest_ = 0;
  std::int64_t PreviousLargest_ = 0;
  TimePoint PeriodEnd_{};
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_PASSEDOVERTIMES_H
