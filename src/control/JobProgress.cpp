#include "control/JobProgress.h"

#include "tulipweir/datacentre/DataCentreCodec.h"
#include "tulipweir/datacentre/DataCentreState.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::control;
using datacentre::JobRecord;
using datacentre::TaskProgress;
using datacentre::TaskRecord;
using datacentre::TaskState;

static TaskRecord makeTask(const TaskProgress &From, AttemptNumber Least) {
  TaskRecord Task;
  if (From.Finished_)
    Task.State_ = TaskState::Finished;
  if (From.Failed_)
    Task.State_ = TaskState::Failed;
  Task.Attempt_ = std::max(From.Attempt_, Least);
  Task.Failures_ = From.Failures_;
  Task.Checkpoint_ = From.Checkpoint_;
  return Task;
}

Outcome<std::string>
control::makeAdoptedProgress(const datacentre::JobSpec &Spec,
                             const std::string &Passed,
                             std::uint64_t Assignment) {
  if (Assignment <= 1 && Passed.empty())
    return std::string();
  std::vector<TaskProgress> Tasks(Spec.Tasks_);
  if (!Passed.empty()) {
    auto Decoded = datacentre::decodeProgress(Passed, Spec.Tasks_);
    if (!Decoded)
      return Decoded.as_failure();
    Tasks = std::move(Decoded.value());
  }
  const AttemptNumber Least((Assignment - 1) * AttemptsPerAssignment);
  JobRecord Job;
  for (const TaskProgress &Task : Tasks)
    Job.Tasks_.push_back(makeTask(Task, Least));
  return datacentre::encodeProgress(Job);
}
