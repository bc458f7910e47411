//===- RunStallDetector.h - Tells stalled from long runs --------*- C++ -*-===//
//
// A run is stalled when its percentage has not changed for several times as
// long as one percent of this run may be expected to take: by the run's own
// progress, else by the learned run time of its step, else by the declared one.
// The wait doubles with each stop of the same task, so that a task that is far
// longer than declared is stopped a few times at most. Deterministic: no clock,
// no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_RUNSTALLDETECTOR_H
#define TULIPWEIR_SRC_JOBS_RUNSTALLDETECTOR_H

#include "jobs/LiveServerTable.h"
#include "jobs/RunTimeEstimator.h"
#include "tulipweir/core/Time.h"
#include "tulipweir/jobs/JobRegistry.h"

#include <map>

namespace tulipweir::jobs {

/// Not thread-safe.
class RunStallDetector {
public:
  /// The least of all waits.
  static constexpr Duration MinStallTime = std::chrono::seconds(2);

  explicit RunStallDetector(const RunTimeEstimator &RunTimes)
      : RunTimes_(RunTimes) {}

  // Commands.

  void reset() { Stops_.clear(); }
  /// Records that a run of the task was stopped as stalled.
  void recordStop(const TaskKey &Task) { ++Stops_[Task]; }
  /// Removes the state of jobs that have ended.
  void prune(const JobRegistry &Registry);

  // Queries.

  /// Returns how long the run's percentage may stay unchanged.
  Duration getStallTime(const JobRecord &Job, const TaskKey &Task,
                        const RunProgress &Progress) const;

private:
  static Duration getFloor(const StepSpec &Step);
  Duration getExpectedWait(const JobRecord &Job, std::uint64_t Step) const;

  const RunTimeEstimator &RunTimes_;
  std::map<TaskKey, std::uint64_t> Stops_; ///< By task, while its job is open.
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_RUNSTALLDETECTOR_H
