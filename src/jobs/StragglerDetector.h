//===- StragglerDetector.h - Detection of late runs ------------*- C++ -*-===//
//
// Finds runs of speculative steps of which a copy elsewhere would probably end
// first: their server may be slow or hang. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_STRAGGLERDETECTOR_H
#define TULIPWEIR_SRC_JOBS_STRAGGLERDETECTOR_H

#include "jobs/LiveServerTable.h"
#include "jobs/RunTimeEstimator.h"

namespace tulipweir::jobs {

/// Lists late runs for speculative copies. Not thread-safe.
class StragglerDetector {
public:
  /// RunTimes must outlive the detector.
  explicit StragglerDetector(const RunTimeEstimator &RunTimes)
      : RunTimes_(RunTimes) {}

  // Commands.

  void reset();
  /// Checks all runs, if the last check was long enough ago.
  void survey(const JobRegistry &Registry, const LiveServerTable &LiveServers,
              TimePoint Now);

  // Queries.

  /// Returns the tasks of the late runs, the oldest run first.
  const std::vector<TaskKey> &getLateTasks() const { return Late_; }

private:
  bool isLate(const JobRecord &Job, std::uint64_t Step, const RunProgress &Run,
              TimePoint Now) const;

  const RunTimeEstimator &RunTimes_;
  std::vector<TaskKey> Late_;
  TimePoint NextSurvey_{};
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_STRAGGLERDETECTOR_H
