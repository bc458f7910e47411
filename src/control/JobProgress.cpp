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

static TaskRecord makeTask(const TaskProgress &Source,
                           AttemptNumber MinAttempt) {
  TaskRecord Task;
  if (Source.Finished_)
    Task.State_ = TaskState::Finished;
  if (Source.Failed_)
    Task.State_ = TaskState::Failed;
  Task.Attempt_ = std::max(Source.Attempt_, MinAttempt);
  Task.Failures_ = Source.Failures_;
  Task.Checkpoint_ = Source.Checkpoint_;
  return Task;
}

Outcome<std::string>
control::makeAdoptedProgress(const datacentre::JobSpec &Spec,
                             const std::string &Released,
                             std::uint64_t Assignment) {
  if (Assignment <= 1 && Released.empty())
    return std::string();
  std::vector<TaskProgress> Tasks(Spec.Tasks_);
  if (!Released.empty()) {
    auto Decoded = datacentre::decodeProgress(Released, Spec.Tasks_);
    if (!Decoded)
      return Decoded.as_failure();
    Tasks = std::move(Decoded.value());
  }
  const AttemptNumber MinAttempt((Assignment - 1) * AttemptsPerAssignment);
  JobRecord Job;
  for (const TaskProgress &Task : Tasks)
    Job.Tasks_.push_back(makeTask(Task, MinAttempt));
  return datacentre::encodeProgress(Job);
}
