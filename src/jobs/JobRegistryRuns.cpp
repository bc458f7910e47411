// Starts and ends of runs in JobRegistry.
#include "tulipweir/jobs/JobRegistry.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;

std::string JobRegistry::findRejectionReason(const TaskStart &Start) const {
  const JobRecord *Job = findJob(Start.Task_.Job_);
  if (!Job || isEnded(Job->State_))
    return "the job does not exist or has ended";
  const OccurrenceRecord *Occurrence =
      Job->findOccurrence(Start.Task_.Occurrence_);
  const TaskRecord *Task = findTask(Start.Task_);
  if (!Task)
    return "no such task";
  if (!isReady(*Job, *Occurrence, Start.Task_.Step_))
    return "a step it depends on is not done";
  const StepSpec &Step = Job->Spec_.Steps_[Start.Task_.Step_];
  if (Start.Run_ <= Task->LastRun_)
    return "the run number is not higher than the task's last run";
  const bool MayCopy =
      Step.Speculative_ && !Step.Gang_ && Task->State_ == TaskState::Placed &&
      Task->Placements_.size() == 1 && Task->Crashes_.empty() &&
      Task->Placements_[0].Server_ != Start.Server_;
  if (Task->State_ != TaskState::Waiting && !MayCopy)
    return "the task is already placed or done";
  if (!Task->Placements_.empty() && !MayCopy)
    return "an earlier run of the task has not ended";
  if (!Step.LongRunning_ && Task->FailedRuns_ >= Job->Policy_.Attempts_)
    return "the task has used up its attempts";
  const ServerRecord *Server = findServer(Start.Server_);
  if (!Server)
    return "no such server";
  if (isEvacuated(Server->Facts_))
    return "the server's data centre is being evacuated";
  if (Server->Facts_.Service_ != Job->Policy_.Service_)
    return "the server belongs to another service than the queue";
  if (!(Server->Used_ + Step.getReserved()).fitsIn(Server->Facts_.Capacity_))
    return "the task exceeds the server's free capacity";
  if (!Server->Facts_.hasLabel(Step.Label_))
    return "the server lacks the label";
  if (Step.SpreadLimit_ == 0)
    return "";
  return Server->countTasksOfStep(Start.Task_) < Step.SpreadLimit_
             ? ""
             : "the step's spread limit is reached on the server";
}

/// Returns whether the command starts all members of the gang with the same
/// run, and they fit together on their servers.
bool JobRegistry::isCompleteGang(const std::vector<TaskStart> &Starts,
                                 const TaskStart &Member) const {
  const JobRecord *Job = findJob(Member.Task_.Job_);
  const StepSpec &Step = Job->Spec_.Steps_[Member.Task_.Step_];
  std::set<std::uint64_t> MemberIndexes;
  std::map<std::string, std::uint64_t> CountByServer;
  for (const TaskStart &Start : Starts) {
    TaskKey Key = Member.Task_;
    Key.Index_ = Start.Task_.Index_;
    if (Start.Task_ != Key || Start.Run_ != Member.Run_)
      continue;
    if (!findRejectionReason(Start).empty() ||
        !MemberIndexes.insert(Key.Index_).second)
      return false;
    const ServerRecord &Server = *findServer(Start.Server_);
    const std::uint64_t Count = ++CountByServer[Start.Server_];
    Resources Total;
    for (std::uint64_t I = 0; I < Count; ++I)
      Total = Total + Step.getReserved();
    const bool ExceedsSpread =
        Step.SpreadLimit_ > 0 && Count > Step.SpreadLimit_;
    if (ExceedsSpread ||
        !(Server.Used_ + Total).fitsIn(Server.Facts_.Capacity_))
      return false;
  }
  return MemberIndexes.size() == Step.Count_;
}

void JobRegistry::placeTask(const TaskStart &Start) {
  JobRecord &Job = Jobs_.at(Start.Task_.Job_);
  OccurrenceRecord &Occurrence = *Job.findOccurrence(Start.Task_.Occurrence_);
  StepRecord &Step = Occurrence.Steps_[Start.Task_.Step_];
  TaskRecord &Task = Step.Tasks_[Start.Task_.Index_];
  const std::uint64_t WaitingBefore = Step.Waiting_;
  if (Task.State_ == TaskState::Waiting)
    --Step.Waiting_;
  Task.State_ = TaskState::Placed;
  Task.LastRun_ = Start.Run_;
  Task.Placements_.push_back({Start.Run_, Start.Server_});
  ++Job.Placements_;
  Servers_.at(Start.Server_)
      .add(Start.Task_, Start.Run_, Job.Spec_.Steps_[Start.Task_.Step_]);
  if (Job.State_ == JobState::Queued) {
    Job.State_ = JobState::Running;
    --Pending_[Job.Policy_.getKey()];
  }
  // Whether a step is ready does not depend on how many of its tasks wait.
  if (WaitingBefore > 0 && Step.Waiting_ == 0)
    updateReadyStep(Job, Occurrence, Start.Task_.Step_);
}

void JobRegistry::requeueIfUnplaced(StepRecord &Step, TaskRecord &Task) {
  if (Task.State_ != TaskState::Placed || !Task.Placements_.empty())
    return;
  Task.State_ = TaskState::Waiting;
  ++Step.Waiting_;
}

void JobRegistry::endRun(const std::string &Server, const TaskEnd &End) {
  TaskRecord *Task = findMutableTask(End.Task_);
  if (!Task)
    return;
  const auto Ended =
      std::find(Task->Placements_.begin(), Task->Placements_.end(),
                Placement{End.Run_, Server});
  if (Ended == Task->Placements_.end())
    return applyLateEnd(Server, *Task, End);
  Task->Placements_.erase(Ended);
  JobRecord &Job = Jobs_.at(End.Task_.Job_);
  const StepSpec &Spec = Job.Spec_.Steps_[End.Task_.Step_];
  --Job.Placements_;
  Servers_.at(Server).remove(End.Task_, Spec);
  OccurrenceRecord &Occurrence = *Job.findOccurrence(End.Task_.Occurrence_);
  StepRecord &Step = Occurrence.Steps_[End.Task_.Step_];
  const bool HadWaiting = Step.Waiting_ > 0;
  if (!isEnded(Job.State_)) {
    saveCheckpoint(Spec, Step, *Task, End);
    const bool IsFailure = End.Outcome_ == RunOutcome::Failed;
    if (IsFailure)
      countFailure(Spec, Step, *Task, End.Run_);
    const bool IsDone = End.Outcome_ == RunOutcome::Done && !Spec.LongRunning_;
    if (IsDone && Task->State_ != TaskState::Done)
      markDone(Job, Occurrence, End.Task_.Step_, *Task);
    else if (IsFailure && !Spec.LongRunning_ &&
             Task->FailedRuns_ >= Job.Policy_.Attempts_ &&
             Task->State_ != TaskState::Done)
      failJob(Job, End.Task_, FailureCause::Attempts,
              "has failed as often as its queue allows");
    else
      requeueIfUnplaced(Step, *Task);
  }
  if (isEnded(Job.State_)) {
    // An ended job without runs is kept only for queries of its state.
    if (Job.Placements_ == 0) {
      Job.OpenOccurrences_.clear();
      Job.Spec_.Payload_.clear();
    }
    return;
  }
  // The end of a whole step has updated all steps.
  if ((Step.Waiting_ > 0) != HadWaiting)
    updateReadyStep(Job, Occurrence, End.Task_.Step_);
}

/// Saves the checkpoint of a run whose placement has just ended. All members of
/// a gang resume from one checkpoint, which any of them may have saved: members
/// whose run has ended share it, so it is the same for all once the last run
/// has ended. Members that still run keep the checkpoint their run began with.
void JobRegistry::saveCheckpoint(const StepSpec &Spec, StepRecord &Step,
                                 TaskRecord &Task, const TaskEnd &End) {
  if (!Spec.Gang_) {
    if (!End.Checkpoint_.empty())
      Task.Checkpoint_ = End.Checkpoint_;
    return;
  }
  const auto Other =
      std::find_if(Step.Tasks_.begin(), Step.Tasks_.end(),
                   [&Task](const TaskRecord &Record) {
                     return &Record != &Task && Record.Placements_.empty();
                   });
  const bool HasOther = Other != Step.Tasks_.end();
  // The last report of a removed server is older than the ends of the others.
  const bool IsOutdated = End.Outcome_ == RunOutcome::LeaseExpired &&
                          HasOther && !Other->Checkpoint_.empty();
  if (End.Checkpoint_.empty() || IsOutdated) {
    if (HasOther)
      Task.Checkpoint_ = Other->Checkpoint_;
    return;
  }
  for (TaskRecord &Record : Step.Tasks_)
    if (Record.Placements_.empty())
      Record.Checkpoint_ = End.Checkpoint_;
}

/// Counts the failure of a run whose placement has just ended. A gang's members
/// share its runs, which follow one another, so each run counts once, against
/// all of them. The copies of another task have runs of their own, which fail
/// in any order.
void JobRegistry::countFailure(const StepSpec &Spec, StepRecord &Step,
                               TaskRecord &Task, std::uint64_t Run) {
  if (!Spec.Gang_) {
    ++Task.FailedRuns_;
    return;
  }
  for (TaskRecord &Record : Step.Tasks_) {
    if (Record.LastFailedRun_ >= Run)
      continue;
    ++Record.FailedRuns_;
    Record.LastFailedRun_ = Run;
  }
}

/// Applies the end of a run whose placement is gone because its server was
/// removed. A completion still counts; any other end was already treated as an
/// expired lease.
void JobRegistry::applyLateEnd(const std::string &Server, TaskRecord &Task,
                               const TaskEnd &End) {
  JobRecord &Job = Jobs_.at(End.Task_.Job_);
  const bool WasLost =
      std::find(Task.LostPlacements_.begin(), Task.LostPlacements_.end(),
                Placement{End.Run_, Server}) != Task.LostPlacements_.end();
  const bool IsEffective = WasLost && End.Outcome_ == RunOutcome::Done &&
                           Task.State_ != TaskState::Done &&
                           !isEnded(Job.State_) &&
                           !Job.Spec_.Steps_[End.Task_.Step_].LongRunning_;
  if (!IsEffective)
    return;
  OccurrenceRecord &Occurrence = *Job.findOccurrence(End.Task_.Occurrence_);
  markDone(Job, Occurrence, End.Task_.Step_, Task);
  if (!isEnded(Job.State_))
    updateReadyStep(Job, Occurrence, End.Task_.Step_);
}
