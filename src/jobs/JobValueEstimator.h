//===- JobValueEstimator.h - Value per remaining work ----------*- C++ -*-===//
//
// If there is more work than can be finished in time, running jobs in the
// order of their due times finishes most of them late. A job has value only
// once it is complete, and a large job has more value than a small one, but
// less than in proportion to its size. Jobs with the highest value per unit of
// work that has not started run first, which also finishes jobs that have
// begun. Jobs of a size of which less has started than of others count more, as
// large ones would hardly start else. Deterministic: no clock, no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_JOBVALUEESTIMATOR_H
#define TULIPWEIR_SRC_JOBS_JOBVALUEESTIMATOR_H

#include "jobs/QueueWork.h"
#include "jobs/RunTimeEstimator.h"
#include "tulipweir/jobs/JobRegistry.h"

#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace tulipweir::jobs {

/// Whether a job can still meet its objective.
enum class Lateness : std::uint8_t {
  OnTime,
  Late,    ///< It is worth a part of its value.
  TooLate, ///< It is worth nothing, though it still has to run.
};

/// Run times and work of a job, by the typical run times of its steps. Work is
/// in processor seconds.
struct JobEstimate {
  std::vector<Duration> RunTimes_; ///< By step.
  std::vector<double> TaskWork_;   ///< The work of one task, by step.
  double Work_ = 0;
  TimePoint ReadAt_{};
};

/// Not thread-safe.
class JobValueEstimator {
public:
  /// RunTimes must outlive the estimator.
  explicit JobValueEstimator(const RunTimeEstimator &RunTimes)
      : RunTimes_(RunTimes) {}

  // Commands.

  void reset();
  /// Adds the job to the work of its queue; call once per job.
  void addJob(const JobRecord &Job, TimePoint Now);
  /// Records the first start of one of the step's tasks.
  void recordStart(const JobRecord &Job, std::uint64_t Step, TimePoint Now);
  /// Returns what the job needs, as of a moment ago at most: learned run times
  /// change slowly, and an order reads them for each waiting step. Valid until
  /// the next command.
  const JobEstimate &estimate(const JobRecord &Job, TimePoint Now);
  /// Forgets the jobs that have not been asked for lately.
  void prune(TimePoint Now);
  /// Returns how many jobs were estimated anew since the last call.
  std::uint64_t takeEstimates() { return std::exchange(EstimatesMade_, 0); }

  // Queries.

  /// Returns the value per unit of the occurrence's work that has not started.
  /// Not negative; meaningful only in comparison with other jobs.
  double getDensity(const JobRecord &Job, const JobEstimate &Estimate,
                    const OccurrenceRecord &Occurrence, Lateness When) const;
  /// Returns the work of the jobs by the key of their queue.
  const std::map<std::string, QueueWork> &queues() const { return Queues_; }

private:
  JobEstimate read(const JobRecord &Job, TimePoint Now);

  const RunTimeEstimator &RunTimes_;
  std::map<std::string, QueueWork> Queues_;
  /// By the sequence number of the job.
  std::unordered_map<std::uint64_t, JobEstimate> Estimates_;
  std::uint64_t EstimatesMade_ = 0;
  TimePoint NextPrune_{};
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_JOBVALUEESTIMATOR_H
