#include "tulipweir/jobs/JobRegistry.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;

CommandResult JobRegistry::apply(const Command &Cmd) {
  NewlyFailedJobs_.clear();
  CommandResult Result = std::visit(
      [this](const auto &Alternative) { return apply(Alternative); }, Cmd);
  Result.FailedJobs_ = std::move(NewlyFailedJobs_);
  return Result;
}

const JobRecord *JobRegistry::findJob(const std::string &Id) const {
  const auto It = Jobs_.find(Id);
  return It == Jobs_.end() ? nullptr : &It->second;
}

const ServerRecord *JobRegistry::findServer(const std::string &Id) const {
  return Servers_.find(Id);
}

std::string JobRegistry::findServerAt(const std::string &Address) const {
  const auto It = IdByAddress_.find(Address);
  return It == IdByAddress_.end() ? "" : It->second;
}

const TaskRecord *JobRegistry::findTask(const TaskKey &Task) const {
  const JobRecord *Job = findJob(Task.Job_);
  return Job ? Job->findTask(Task) : nullptr;
}

const StepSpec *JobRegistry::findStep(const TaskKey &Task) const {
  const JobRecord *Job = findJob(Task.Job_);
  const bool IsKnown = Job && Task.Step_ < Job->Spec_.Steps_.size();
  return IsKnown ? &Job->Spec_.Steps_[Task.Step_] : nullptr;
}

TaskRecord *JobRegistry::findMutableTask(const TaskKey &Task) {
  return const_cast<TaskRecord *>(std::as_const(*this).findTask(Task));
}

std::uint64_t JobRegistry::countPending(const std::string &QueueKey) const {
  const auto It = Pending_.find(QueueKey);
  return It == Pending_.end() ? 0 : It->second;
}

CommandResult JobRegistry::apply(const PutConfiguration &Cmd) {
  if (Cmd.Configuration_.Version_ <= Configuration_.Version_)
    return {CommandStatus::AlreadyDone, {}};
  Configuration_ = Cmd.Configuration_;
  for (auto &[Id, Job] : Jobs_) {
    const QueuePolicy *Policy =
        Configuration_.findQueueByKey(Job.Policy_.getKey());
    // Jobs of a removed queue keep its last policy.
    if (!Policy || *Policy == Job.Policy_)
      continue;
    removeReadySteps(Job);
    Job.Policy_ = *Policy;
    updateReadySteps(Job);
  }
  return {};
}

CommandResult JobRegistry::apply(const SubmitJob &Cmd) {
  if (Jobs_.count(Cmd.Spec_.Id_) != 0)
    return {CommandStatus::AlreadyDone, {}};
  const QueuePolicy *Policy =
      Configuration_.findQueueByKey(Cmd.Host_ + Cmd.PathPrefix_);
  if (!Policy)
    return {CommandStatus::NotFound, {}};
  if (!checkJobSpec(Cmd.Spec_))
    return {CommandStatus::Refused, {}};
  JobRecord &Job = Jobs_[Cmd.Spec_.Id_];
  Job.Spec_ = Cmd.Spec_;
  Job.Policy_ = *Policy;
  Job.Sequence_ = NextSequence_++;
  Job.AcceptedMs_ = Cmd.AcceptedMs_;
  ++Pending_[Policy->getKey()];
  if (Job.Spec_.RepeatCount_ == 0)
    openOccurrence(Job, 0);
  else
    Timed_.insert(Job.Spec_.Id_);
  return {};
}

CommandResult JobRegistry::apply(const CancelJob &Cmd) {
  const auto It = Jobs_.find(Cmd.Id_);
  if (It == Jobs_.end())
    return {CommandStatus::NotFound, {}};
  if (isEnded(It->second.State_))
    return {CommandStatus::AlreadyDone, {}};
  finishJob(It->second, JobState::Cancelled);
  return {};
}

CommandResult JobRegistry::apply(const OpenOccurrence &Cmd) {
  const auto It = Jobs_.find(Cmd.Job_);
  if (It == Jobs_.end())
    return {CommandStatus::NotFound, {}};
  JobRecord &Job = It->second;
  const bool IsNext =
      !isEnded(Job.State_) && Cmd.Occurrence_ == Job.CreatedOccurrenceCount_ &&
      Job.CreatedOccurrenceCount_ < Job.Spec_.countOccurrences();
  if (!IsNext)
    return {CommandStatus::Refused, {}};
  openOccurrence(Job, Cmd.Occurrence_);
  if (Job.CreatedOccurrenceCount_ == Job.Spec_.countOccurrences())
    Timed_.erase(Cmd.Job_);
  return {};
}

CommandResult JobRegistry::apply(const StartTasks &Cmd) {
  CommandResult Result;
  // A gang is checked as a whole before any of its members is placed.
  std::map<std::pair<TaskKey, std::uint64_t>, bool> Gangs;
  for (const TaskStart &Start : Cmd.Starts_) {
    bool Accepted = findRejectionReason(Start).empty();
    const JobRecord *Job = findJob(Start.Task_.Job_);
    if (Accepted && Job->Spec_.Steps_[Start.Task_.Step_].Gang_) {
      TaskKey First = Start.Task_;
      First.Index_ = 0;
      const auto [It, IsNew] = Gangs.try_emplace({First, Start.Run_}, false);
      if (IsNew)
        It->second = isCompleteGang(Cmd.Starts_, Start);
      Accepted = It->second;
    }
    if (Accepted)
      placeTask(Start);
    Result.Accepted_.push_back(Accepted);
  }
  return Result;
}

CommandResult JobRegistry::apply(const EndTasks &Cmd) {
  for (const TaskEnd &End : Cmd.Ends_)
    endRun(Cmd.Server_, End);
  return {};
}

CommandResult JobRegistry::apply(const ForgetJobs &Cmd) {
  for (const std::string &Id : Cmd.Ids_) {
    const auto It = Jobs_.find(Id);
    const bool IsRemovable = It != Jobs_.end() && isEnded(It->second.State_) &&
                             It->second.Placements_ == 0;
    if (!IsRemovable)
      continue;
    Jobs_.erase(It);
    ++ForgottenVersion_;
  }
  return {};
}

CommandResult JobRegistry::apply(const StartWave &Cmd) {
  return {Waves_.start(Cmd.Spec_) ? CommandStatus::Done
                                  : CommandStatus::AlreadyDone,
          {}};
}

CommandResult JobRegistry::apply(const RecordMaintenanceStart &Cmd) {
  return {Waves_.markBegun(Cmd.Wave_, Cmd.Vm_) ? CommandStatus::Done
                                               : CommandStatus::AlreadyDone,
          {}};
}

CommandResult JobRegistry::apply(const EvacuateDataCentre &Cmd) {
  const bool IsChange = Cmd.IsStart_ ? Evacuated_.insert(Cmd.DataCentre_).second
                                     : Evacuated_.erase(Cmd.DataCentre_) != 0;
  return {IsChange ? CommandStatus::Done : CommandStatus::AlreadyDone, {}};
}

void JobRegistry::markDone(JobRecord &Job, OccurrenceRecord &Occurrence,
                           std::size_t Step, TaskRecord &Task) {
  StepRecord &Record = Occurrence.Steps_[Step];
  const auto SetDone = [&Record](TaskRecord &Other) {
    if (Other.State_ == TaskState::Done)
      return;
    if (Other.State_ == TaskState::Waiting)
      --Record.Waiting_;
    Other.State_ = TaskState::Done;
    ++Record.DoneCount_;
  };
  // The members of a gang end together, so one completion completes them all.
  if (Job.Spec_.Steps_[Step].Gang_)
    for (TaskRecord &Other : Record.Tasks_)
      SetDone(Other);
  else
    SetDone(Task);
  updateSuspectsOf(Job);
  if (Record.DoneCount_ < Record.Tasks_.size())
    return;
  bool AllDone = true;
  for (std::size_t Index = 0; Index < Occurrence.Steps_.size(); ++Index) {
    const StepRecord &OtherStep = Occurrence.Steps_[Index];
    AllDone = AllDone && OtherStep.DoneCount_ == OtherStep.Tasks_.size();
    updateReadyStep(Job, Occurrence, Index);
  }
  if (!AllDone)
    return;
  ++Job.OccurrencesDone_;
  if (Job.OccurrencesDone_ == Job.Spec_.countOccurrences())
    finishJob(Job, JobState::Completed);
}

void JobRegistry::failJob(JobRecord &Job, const TaskKey &Task,
                          FailureCause Cause, const std::string &Reason) {
  Job.Cause_ = Cause;
  Job.Reason_ = "task " + toText(Task) + " " + Reason;
  NewlyFailedJobs_.push_back(Task.Job_);
  finishJob(Job, JobState::Failed);
}

void JobRegistry::finishJob(JobRecord &Job, JobState State) {
  if (Job.State_ == JobState::Queued)
    --Pending_[Job.Policy_.getKey()];
  removeReadySteps(Job);
  Timed_.erase(Job.Spec_.Id_);
  Job.State_ = State;
  updateSuspectsOf(Job);
  if (Job.Placements_ > 0)
    return;
  Job.OpenOccurrences_.clear();
  Job.Spec_.Payload_.clear();
}

void JobRegistry::openOccurrence(JobRecord &Job, std::uint64_t Number) {
  OccurrenceRecord Occurrence;
  Occurrence.Number_ = Number;
  for (const StepSpec &Spec : Job.Spec_.Steps_) {
    StepRecord Step;
    Step.Tasks_.resize(Spec.Count_);
    Step.Waiting_ = Spec.Count_;
    Occurrence.Steps_.push_back(std::move(Step));
  }
  Job.OpenOccurrences_.push_back(std::move(Occurrence));
  Job.CreatedOccurrenceCount_ = Number + 1;
  for (std::size_t Step = 0; Step < Job.Spec_.Steps_.size(); ++Step)
    updateReadyStep(Job, Job.OpenOccurrences_.back(), Step);
}

bool JobRegistry::isReady(const JobRecord &Job,
                          const OccurrenceRecord &Occurrence,
                          std::size_t Step) const {
  for (const std::uint64_t Dependency : Job.Spec_.Steps_[Step].DependsOn_) {
    const StepRecord &DependencyStep = Occurrence.Steps_[Dependency];
    if (DependencyStep.DoneCount_ < DependencyStep.Tasks_.size())
      return false;
  }
  return true;
}

ReadyStep JobRegistry::makeReadyStep(const JobRecord &Job,
                                     std::uint64_t Occurrence,
                                     std::uint64_t Step) const {
  return {
      Job.Policy_.Priority_, Job.getDueMs(), Job.Sequence_, Occurrence, Step,
      Job.Spec_.Id_};
}

void JobRegistry::updateReadyStep(const JobRecord &Job,
                                  const OccurrenceRecord &Occurrence,
                                  std::size_t Step) {
  const ReadyStep Key = makeReadyStep(Job, Occurrence.Number_, Step);
  const bool ShouldBeListed = !isEnded(Job.State_) &&
                              Occurrence.Steps_[Step].Waiting_ > 0 &&
                              isReady(Job, Occurrence, Step);
  if (ShouldBeListed)
    ReadyVersion_ += Ready_.insert(Key).second ? 1 : 0;
  else
    Ready_.erase(Key);
  if (ShouldBeListed && Job.Spec_.Steps_[Step].LongRunning_)
    ReadyLongRunning_.insert(Key);
  else
    ReadyLongRunning_.erase(Key);
  if (ShouldBeListed && Job.Spec_.Steps_[Step].Gang_)
    ReadyGangs_.insert(Key);
  else
    ReadyGangs_.erase(Key);
}

void JobRegistry::updateReadySteps(const JobRecord &Job) {
  for (const OccurrenceRecord &Occurrence : Job.OpenOccurrences_)
    for (std::size_t Step = 0; Step < Occurrence.Steps_.size(); ++Step)
      updateReadyStep(Job, Occurrence, Step);
}

void JobRegistry::removeReadySteps(const JobRecord &Job) {
  for (const OccurrenceRecord &Occurrence : Job.OpenOccurrences_)
    for (std::size_t Step = 0; Step < Occurrence.Steps_.size(); ++Step) {
      const ReadyStep Key = makeReadyStep(Job, Occurrence.Number_, Step);
      Ready_.erase(Key);
      ReadyLongRunning_.erase(Key);
      ReadyGangs_.erase(Key);
    }
}
