//===- JobDemand.h - The work that a job asks for ---------------*- C++ -*-===//

#ifndef TULIPWEIR_SRC_JOBS_JOBDEMAND_H
#define TULIPWEIR_SRC_JOBS_JOBDEMAND_H

#include "tulipweir/core/Time.h"
#include "tulipweir/jobs/Configuration.h"
#include "tulipweir/jobs/JobSpec.h"

#include <string>
#include <vector>

namespace tulipweir::jobs {

/// Work that ends by itself. Filling work uses idle processors only.
enum class WorkKind : std::uint8_t { Bounded, Filling };

/// Work that competes for the same capacity.
struct WorkClass {
  std::string Service_;
  std::string Label_;
  WorkKind Kind_ = WorkKind::Bounded;
  auto operator<=>(const WorkClass &) const = default;
};

/// The demand of a job for one class of work.
struct ClassDemand {
  std::size_t Class_ = 0;
  double Work_ = 0;        ///< In processor seconds.
  Resources SmallestTask_; ///< By processors.
  bool operator==(const ClassDemand &) const = default;
};

/// The demand of a job that is not accepted yet.
struct JobDemand {
  std::uint64_t Priority_ = 0;
  std::vector<ClassDemand> Classes_; ///< Distinct classes.
  Duration Chain_{};                 ///< Longest chain of typical run times.
  bool IsKnown_ = true;              ///< All run times are known.
  bool operator==(const JobDemand &) const = default;

  double getWork() const {
    double Work = 0;
    for (const ClassDemand &Class : Classes_)
      Work += Class.Work_;
    return Work;
  }
};

/// Returns the time after its acceptance within which a job is on time.
Duration getObjective(const JobSpec &Job, const QueuePolicy &Queue);

/// Returns the longest chain through the steps, with one run time for each.
Duration getLongestChain(const JobSpec &Job,
                         const std::vector<Duration> &RunTimes);

/// Returns the processor seconds of one task that runs for this time.
double getWorkPerTask(const StepSpec &Step, Duration RunTime);

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_JOBDEMAND_H
