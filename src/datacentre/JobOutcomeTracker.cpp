//===- JobOutcomeTracker.cpp - Tracks ended and released jobs -------------===//

#include "tulipweir/datacentre/JobOutcomeTracker.h"

#include <cassert>

using namespace tulipweir;
using namespace tulipweir::datacentre;

JobOutcome tulipweir::datacentre::summarizeJob(const JobRecord &Job) {
  assert(Job.Ended_ == Job.Tasks_.size() &&
         "all tasks of the job must have ended");
  JobOutcome Result{Job.Spec_.Job_, Job.Assignment_, JobEnd::Finished, ""};
  for (const TaskRecord &Task : Job.Tasks_) {
    if (Task.State_ == TaskState::Failed) {
      Result.End_ = JobEnd::Failed;
      Result.Message_ = Task.Message_;
      return Result;
    }
    if (Task.State_ == TaskState::Cancelled)
      Result.End_ = JobEnd::Cancelled;
  }
  return Result;
}

void JobOutcomeTracker::onChange(const Change &AppliedChange) {
  const JobId &Job = AppliedChange.Task_.Job_;
  if (AppliedChange.Kind_ == ChangeKind::JobEnded)
    Ended_.insert(Job);
  if (AppliedChange.Kind_ == ChangeKind::JobReleasing)
    Releasing_.insert(Job);
  if (AppliedChange.Kind_ != ChangeKind::JobDropped)
    return;
  Ended_.erase(Job);
  Releasing_.erase(Job);
}

void JobOutcomeTracker::reset() {
  Ended_.clear();
  Releasing_.clear();
}

std::vector<JobOutcome>
JobOutcomeTracker::listEnded(const DataCentreState &State,
                             std::size_t Limit) const {
  std::vector<JobOutcome> Outcomes;
  for (const JobId &Id : Ended_) {
    const JobRecord *Job = State.findJob(Id);
    if (Outcomes.size() == Limit)
      break;
    // The changes applied to this object may lag behind the state.
    if (Job && Job->Ended_ == Job->Tasks_.size())
      Outcomes.push_back(summarizeJob(*Job));
  }
  return Outcomes;
}

std::vector<JobId> JobOutcomeTracker::listReleased(const DataCentreState &State,
                                                   std::size_t Limit) const {
  std::vector<JobId> Released;
  for (const JobId &Id : Releasing_) {
    const JobRecord *Job = State.findJob(Id);
    if (Released.size() == Limit)
      break;
    const bool Ready = Job && Job->Releasing_ && Job->Placed_ == 0 &&
                       Job->Ended_ != Job->Tasks_.size();
    if (Ready)
      Released.push_back(Id);
  }
  return Released;
}
