//===- LongRunningRank.h - Which long-running work comes first --*- C++ -*-===//
//
// The order of long-running steps where not all of them fit: work that ran
// before comes before work that never began, and steps that lack few tasks
// before those that lack many, so that whole jobs run rather than parts of
// many.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_LONGRUNNINGRANK_H
#define TULIPWEIR_SRC_JOBS_LONGRUNNINGRANK_H

#include "tulipweir/jobs/JobRegistry.h"

#include <algorithm>
#include <utility>

namespace tulipweir::jobs {

/// Whether a waiting task ran before, and minus the number of waiting tasks;
/// the greater one comes first.
using LongRunningRank = std::pair<bool, std::int64_t>;

inline const StepRecord &getStepRecord(const JobRegistry &Registry,
                                       const ReadyStep &Ready) {
  return Registry.findJob(Ready.Job_)
      ->findOccurrence(Ready.Occurrence_)
      ->Steps_[Ready.Step_];
}

/// Returns whether one of the step's waiting tasks has run before.
inline bool hasLostTask(const StepRecord &Step) {
  return std::any_of(
      Step.Tasks_.begin(), Step.Tasks_.end(), [](const TaskRecord &Task) {
        return Task.State_ == TaskState::Waiting && Task.LastRun_ > 0;
      });
}

inline LongRunningRank getLongRunningRank(const StepRecord &Step) {
  return {hasLostTask(Step), -static_cast<std::int64_t>(Step.Waiting_)};
}

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_LONGRUNNINGRANK_H
