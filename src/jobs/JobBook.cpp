#include "tulipweir/jobs/JobBook.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;

CommandResult JobBook::apply(const Command &Value) {
  JustFailed_.clear();
  CommandResult Result =
      std::visit([this](const auto &Each) { return apply(Each); }, Value);
  Result.Failed_ = std::move(JustFailed_);
  return Result;
}

const JobRecord *JobBook::findJob(const std::string &Id) const {
  const auto Found = Jobs_.find(Id);
  return Found == Jobs_.end() ? nullptr : &Found->second;
}

const ServerRecord *JobBook::findServer(const std::string &Id) const {
  const auto Found = Servers_.find(Id);
  return Found == Servers_.end() ? nullptr : &Found->second;
}

std::string JobBook::findServerAt(const std::string &Address) const {
  const auto Found = IdByAddress_.find(Address);
  return Found == IdByAddress_.end() ? "" : Found->second;
}

const TaskRecord *JobBook::findTask(const TaskKey &Task) const {
  const JobRecord *Job = findJob(Task.Job_);
  return Job ? Job->findTask(Task) : nullptr;
}

const StepSpec *JobBook::findStep(const TaskKey &Task) const {
  const JobRecord *Job = findJob(Task.Job_);
  const bool IsKnown = Job && Task.Step_ < Job->Spec_.Steps_.size();
  return IsKnown ? &Job->Spec_.Steps_[Task.Step_] : nullptr;
}

TaskRecord *JobBook::findTaskToChange(const TaskKey &Task) {
  return const_cast<TaskRecord *>(std::as_const(*this).findTask(Task));
}

std::uint64_t JobBook::countPending(const std::string &QueueKey) const {
  const auto Found = Pending_.find(QueueKey);
  return Found == Pending_.end() ? 0 : Found->second;
}

CommandResult JobBook::apply(const PutConfiguration &Value) {
  if (Value.Value_.Version_ <= Configuration_.Version_)
    return {Verdict::AlreadyDone, {}};
  Configuration_ = Value.Value_;
  for (auto &[Id, Job] : Jobs_) {
    const QueuePolicy *Policy =
        Configuration_.findQueueByKey(Job.Policy_.getKey());
    // A queue that was dropped: its jobs go on as they were accepted.
    if (!Policy || *Policy == Job.Policy_)
      continue;
    removeReadyOf(Job);
    Job.Policy_ = *Policy;
    updateReadyOfAll(Job);
  }
  return {};
}

CommandResult JobBook::apply(const SubmitJob &Value) {
  if (Jobs_.count(Value.Spec_.Id_) != 0)
    return {Verdict::AlreadyDone, {}};
  const QueuePolicy *Policy =
      Configuration_.findQueueByKey(Value.Host_ + Value.PathPrefix_);
  if (!Policy)
    return {Verdict::NotFound, {}};
  if (!checkJobSpec(Value.Spec_))
    return {Verdict::Refused, {}};
  JobRecord &Job = Jobs_[Value.Spec_.Id_];
  Job.Spec_ = Value.Spec_;
  Job.Policy_ = *Policy;
  Job.Sequence_ = NextSequence_++;
  Job.AcceptedMs_ = Value.AcceptedMs_;
  ++Pending_[Policy->getKey()];
  if (Job.Spec_.RepeatCount_ == 0)
    openOccurrence(Job, 0);
  else
    Timed_.insert(Job.Spec_.Id_);
  return {};
}

CommandResult JobBook::apply(const CancelJob &Value) {
  const auto Found = Jobs_.find(Value.Id_);
  if (Found == Jobs_.end())
    return {Verdict::NotFound, {}};
  if (isEnded(Found->second.State_))
    return {Verdict::AlreadyDone, {}};
  finishJob(Found->second, JobState::Cancelled);
  return {};
}

CommandResult JobBook::apply(const OpenOccurrence &Value) {
  const auto Found = Jobs_.find(Value.Job_);
  if (Found == Jobs_.end())
    return {Verdict::NotFound, {}};
  JobRecord &Job = Found->second;
  const bool IsNext = !isEnded(Job.State_) &&
                      Value.Occurrence_ == Job.OpenedUpTo_ &&
                      Job.OpenedUpTo_ < Job.Spec_.countOccurrences();
  if (!IsNext)
    return {Verdict::Refused, {}};
  openOccurrence(Job, Value.Occurrence_);
  if (Job.OpenedUpTo_ == Job.Spec_.countOccurrences())
    Timed_.erase(Value.Job_);
  return {};
}

CommandResult JobBook::apply(const StartTasks &Value) {
  CommandResult Result;
  // Gangs are judged before any of their members is placed.
  std::map<std::pair<TaskKey, std::uint64_t>, bool> Gangs;
  for (const TaskStart &Start : Value.Starts_) {
    bool Taken = findObjection(Start).empty();
    const JobRecord *Job = findJob(Start.Task_.Job_);
    if (Taken && Job->Spec_.Steps_[Start.Task_.Step_].Gang_) {
      TaskKey First = Start.Task_;
      First.Index_ = 0;
      const auto [Known, IsNew] = Gangs.try_emplace({First, Start.Run_}, false);
      if (IsNew)
        Known->second = isWholeGang(Value.Starts_, Start);
      Taken = Known->second;
    }
    if (Taken)
      place(Start);
    Result.Taken_.push_back(Taken);
  }
  return Result;
}

CommandResult JobBook::apply(const EndTasks &Value) {
  for (const TaskEnd &End : Value.Ends_)
    endRun(Value.Server_, End);
  return {};
}

CommandResult JobBook::apply(const ForgetJobs &Value) {
  for (const std::string &Id : Value.Ids_) {
    const auto Found = Jobs_.find(Id);
    const bool IsOver = Found != Jobs_.end() && isEnded(Found->second.State_) &&
                        Found->second.Placements_ == 0;
    if (IsOver)
      Jobs_.erase(Found);
  }
  return {};
}

CommandResult JobBook::apply(const StartWave &Value) {
  return {Waves_.start(Value.Spec_) ? Verdict::Done : Verdict::AlreadyDone, {}};
}

CommandResult JobBook::apply(const NoteMaintenance &Value) {
  return {Waves_.markBegun(Value.Wave_, Value.Vm_) ? Verdict::Done
                                                   : Verdict::AlreadyDone,
          {}};
}

CommandResult JobBook::apply(const EvacuateDataCentre &Value) {
  const bool IsNews = Value.IsBegun_
                          ? Evacuated_.insert(Value.DataCentre_).second
                          : Evacuated_.erase(Value.DataCentre_) != 0;
  return {IsNews ? Verdict::Done : Verdict::AlreadyDone, {}};
}

std::string JobBook::findObjection(const TaskStart &Start) const {
  const JobRecord *Job = findJob(Start.Task_.Job_);
  if (!Job || isEnded(Job->State_))
    return "the job is not open";
  const OccurrenceRecord *Occurrence =
      Job->findOccurrence(Start.Task_.Occurrence_);
  const TaskRecord *Task = findTask(Start.Task_);
  if (!Task)
    return "no such task";
  if (!isReady(*Job, *Occurrence, Start.Task_.Step_))
    return "a step before it has not ended";
  const StepSpec &Step = Job->Spec_.Steps_[Start.Task_.Step_];
  if (Start.Run_ <= Task->LastRun_)
    return "the run's number is not above the last one's";
  const bool MayCopy =
      Step.Speculative_ && !Step.Gang_ && Task->State_ == TaskState::Placed &&
      Task->Placements_.size() == 1 && Task->Crashes_.empty() &&
      Task->Placements_[0].Server_ != Start.Server_;
  if (Task->State_ != TaskState::Waiting && !MayCopy)
    return "the task is placed or done";
  if (!Task->Placements_.empty() && !MayCopy)
    return "an earlier run has not ended";
  if (!Step.LongRunning_ && Task->FailedRuns_ >= Job->Policy_.Attempts_)
    return "all attempts have failed";
  const ServerRecord *Server = findServer(Start.Server_);
  if (!Server)
    return "no such server";
  if (isEvacuated(Server->Facts_))
    return "the server's data centre is being evacuated";
  if (Server->Facts_.Service_ != Job->Policy_.Service_)
    return "the queue does not lead to this server's service";
  if (!(Server->Used_ + Step.getReserved()).fitsIn(Server->Facts_.Capacity_))
    return "it does not fit";
  if (!Server->Facts_.hasLabel(Step.Label_))
    return "the server lacks the label";
  if (Step.SpreadLimit_ == 0)
    return "";
  return Server->countTasksOf(Start.Task_) < Step.SpreadLimit_
             ? ""
             : "the step's spread limit";
}

/// Whether all members of the start's gang are in the same command with the
/// same run, and fit together where they are to run.
bool JobBook::isWholeGang(const std::vector<TaskStart> &Starts,
                          const TaskStart &Member) const {
  const JobRecord *Job = findJob(Member.Task_.Job_);
  const StepSpec &Step = Job->Spec_.Steps_[Member.Task_.Step_];
  std::set<std::uint64_t> Named;
  std::map<std::string, std::uint64_t> Beside;
  for (const TaskStart &Each : Starts) {
    TaskKey Same = Member.Task_;
    Same.Index_ = Each.Task_.Index_;
    if (Each.Task_ != Same || Each.Run_ != Member.Run_)
      continue;
    if (!findObjection(Each).empty() || !Named.insert(Same.Index_).second)
      return false;
    const ServerRecord &Server = *findServer(Each.Server_);
    const std::uint64_t Count = ++Beside[Each.Server_];
    Resources Together;
    for (std::uint64_t I = 0; I < Count; ++I)
      Together = Together + Step.getReserved();
    const bool IsCrowded = Step.SpreadLimit_ > 0 && Count > Step.SpreadLimit_;
    if (IsCrowded || !(Server.Used_ + Together).fitsIn(Server.Facts_.Capacity_))
      return false;
  }
  return Named.size() == Step.Count_;
}

void JobBook::place(const TaskStart &Start) {
  JobRecord &Job = Jobs_.at(Start.Task_.Job_);
  OccurrenceRecord &Occurrence = *Job.findOccurrence(Start.Task_.Occurrence_);
  StepRecord &Step = Occurrence.Steps_[Start.Task_.Step_];
  TaskRecord &Task = Step.Tasks_[Start.Task_.Index_];
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
  updateReady(Job, Occurrence, Start.Task_.Step_);
}

void JobBook::setWaiting(StepRecord &Step, TaskRecord &Task) {
  if (Task.State_ != TaskState::Placed || !Task.Placements_.empty())
    return;
  Task.State_ = TaskState::Waiting;
  ++Step.Waiting_;
}

void JobBook::endRun(const std::string &Server, const TaskEnd &End) {
  TaskRecord *Task = findTaskToChange(End.Task_);
  if (!Task)
    return;
  const auto Ended =
      std::find(Task->Placements_.begin(), Task->Placements_.end(),
                Placement{End.Run_, Server});
  if (Ended == Task->Placements_.end())
    return noteLateEnd(Server, *Task, End);
  Task->Placements_.erase(Ended);
  JobRecord &Job = Jobs_.at(End.Task_.Job_);
  const StepSpec &Spec = Job.Spec_.Steps_[End.Task_.Step_];
  --Job.Placements_;
  Servers_.at(Server).remove(End.Task_, Spec);
  OccurrenceRecord &Occurrence = *Job.findOccurrence(End.Task_.Occurrence_);
  StepRecord &Step = Occurrence.Steps_[End.Task_.Step_];
  if (!isEnded(Job.State_)) {
    if (!End.Checkpoint_.empty())
      Task->Checkpoint_ = End.Checkpoint_;
    const bool IsFailure = End.How_ == RunEnd::Failed;
    if (IsFailure)
      noteFailure(Spec, Step, *Task, End.Run_);
    const bool IsOver = End.How_ == RunEnd::Done && !Spec.LongRunning_;
    if (IsOver && Task->State_ != TaskState::Done)
      noteDone(Job, Occurrence, End.Task_.Step_, *Task);
    else if (IsFailure && !Spec.LongRunning_ &&
             Task->FailedRuns_ >= Job.Policy_.Attempts_ &&
             Task->State_ != TaskState::Done)
      failJob(Job, End.Task_, FailureCause::Attempts,
              "has failed as often as its queue allows");
    else
      setWaiting(Step, *Task);
  }
  if (isEnded(Job.State_)) {
    // Kept for its state only, once nothing of it runs.
    if (Job.Placements_ == 0) {
      Job.Open_.clear();
      Job.Spec_.Payload_.clear();
    }
    return;
  }
  updateReady(Job, Occurrence, End.Task_.Step_);
}

/// A gang's failed run counts once, and against all its members.
void JobBook::noteFailure(const StepSpec &Spec, StepRecord &Step,
                          TaskRecord &Task, std::uint64_t Run) {
  const auto Count = [Run](TaskRecord &Each) {
    if (Each.LastFailedRun_ >= Run)
      return;
    ++Each.FailedRuns_;
    Each.LastFailedRun_ = Run;
  };
  if (!Spec.Gang_)
    return Count(Task);
  for (TaskRecord &Each : Step.Tasks_)
    Count(Each);
}

/// An end of a run whose placement is gone, as its server was removed. That it
/// is done stays true; any other end was taken for a lapse already.
void JobBook::noteLateEnd(const std::string &Server, TaskRecord &Task,
                          const TaskEnd &End) {
  JobRecord &Job = Jobs_.at(End.Task_.Job_);
  const bool WasLost =
      std::find(Task.Lost_.begin(), Task.Lost_.end(),
                Placement{End.Run_, Server}) != Task.Lost_.end();
  const bool Counts = WasLost && End.How_ == RunEnd::Done &&
                      Task.State_ != TaskState::Done && !isEnded(Job.State_) &&
                      !Job.Spec_.Steps_[End.Task_.Step_].LongRunning_;
  if (!Counts)
    return;
  OccurrenceRecord &Occurrence = *Job.findOccurrence(End.Task_.Occurrence_);
  noteDone(Job, Occurrence, End.Task_.Step_, Task);
  if (!isEnded(Job.State_))
    updateReady(Job, Occurrence, End.Task_.Step_);
}

void JobBook::noteDone(JobRecord &Job, OccurrenceRecord &Occurrence,
                       std::size_t Step, TaskRecord &Task) {
  StepRecord &Record = Occurrence.Steps_[Step];
  const auto MarkDone = [&Record](TaskRecord &Each) {
    if (Each.State_ == TaskState::Done)
      return;
    if (Each.State_ == TaskState::Waiting)
      --Record.Waiting_;
    Each.State_ = TaskState::Done;
    ++Record.Done_;
  };
  // The members of a gang end together: one such end stands for all.
  if (Job.Spec_.Steps_[Step].Gang_)
    for (TaskRecord &Each : Record.Tasks_)
      MarkDone(Each);
  else
    MarkDone(Task);
  updateSuspectsOf(Job);
  if (Record.Done_ < Record.Tasks_.size())
    return;
  bool AllDone = true;
  for (std::size_t Other = 0; Other < Occurrence.Steps_.size(); ++Other) {
    const StepRecord &Each = Occurrence.Steps_[Other];
    AllDone = AllDone && Each.Done_ == Each.Tasks_.size();
    updateReady(Job, Occurrence, Other);
  }
  if (!AllDone)
    return;
  ++Job.OccurrencesDone_;
  if (Job.OccurrencesDone_ == Job.Spec_.countOccurrences())
    finishJob(Job, JobState::Completed);
}

void JobBook::failJob(JobRecord &Job, const TaskKey &Task, FailureCause Cause,
                      const std::string &Reason) {
  Job.Cause_ = Cause;
  Job.Reason_ = "task " + toText(Task) + " " + Reason;
  JustFailed_.push_back(Task.Job_);
  finishJob(Job, JobState::Failed);
}

void JobBook::finishJob(JobRecord &Job, JobState State) {
  if (Job.State_ == JobState::Queued)
    --Pending_[Job.Policy_.getKey()];
  removeReadyOf(Job);
  Timed_.erase(Job.Spec_.Id_);
  Job.State_ = State;
  updateSuspectsOf(Job);
  if (Job.Placements_ > 0)
    return;
  Job.Open_.clear();
  Job.Spec_.Payload_.clear();
}

void JobBook::openOccurrence(JobRecord &Job, std::uint64_t Number) {
  OccurrenceRecord Fresh;
  Fresh.Number_ = Number;
  for (const StepSpec &Spec : Job.Spec_.Steps_) {
    StepRecord Step;
    Step.Tasks_.resize(Spec.Count_);
    Step.Waiting_ = Spec.Count_;
    Fresh.Steps_.push_back(std::move(Step));
  }
  Job.Open_.push_back(std::move(Fresh));
  Job.OpenedUpTo_ = Number + 1;
  for (std::size_t Step = 0; Step < Job.Spec_.Steps_.size(); ++Step)
    updateReady(Job, Job.Open_.back(), Step);
}

bool JobBook::isReady(const JobRecord &Job, const OccurrenceRecord &Occurrence,
                      std::size_t Step) const {
  for (const std::uint64_t Before : Job.Spec_.Steps_[Step].DependsOn_) {
    const StepRecord &Other = Occurrence.Steps_[Before];
    if (Other.Done_ < Other.Tasks_.size())
      return false;
  }
  return true;
}

ReadyStep JobBook::makeReadyStep(const JobRecord &Job, std::uint64_t Occurrence,
                                 std::uint64_t Step) const {
  return {
      Job.Policy_.Priority_, Job.getDueMs(), Job.Sequence_, Occurrence, Step,
      Job.Spec_.Id_};
}

void JobBook::updateReady(const JobRecord &Job,
                          const OccurrenceRecord &Occurrence,
                          std::size_t Step) {
  const ReadyStep Key = makeReadyStep(Job, Occurrence.Number_, Step);
  const bool Wanted = !isEnded(Job.State_) &&
                      Occurrence.Steps_[Step].Waiting_ > 0 &&
                      isReady(Job, Occurrence, Step);
  if (Wanted)
    ReadyVersion_ += Ready_.insert(Key).second ? 1 : 0;
  else
    Ready_.erase(Key);
}

void JobBook::updateReadyOfAll(const JobRecord &Job) {
  for (const OccurrenceRecord &Occurrence : Job.Open_)
    for (std::size_t Step = 0; Step < Occurrence.Steps_.size(); ++Step)
      updateReady(Job, Occurrence, Step);
}

void JobBook::removeReadyOf(const JobRecord &Job) {
  for (const OccurrenceRecord &Occurrence : Job.Open_)
    for (std::size_t Step = 0; Step < Occurrence.Steps_.size(); ++Step)
      Ready_.erase(makeReadyStep(Job, Occurrence.Number_, Step));
}
