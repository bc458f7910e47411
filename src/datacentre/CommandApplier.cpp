//===- CommandApplier.cpp - Applies one command to the state --------------===//

#include "datacentre/CommandApplier.h"
#include "tulipweir/datacentre/DataCentreCodec.h"

#include <algorithm>
#include <cassert>

using namespace tulipweir;
using namespace tulipweir::datacentre;

static constexpr std::uint32_t MaxTasksPerJob = 100'000;
static constexpr std::size_t MaxDroppedJobs = 65'536;
/// Prevents overflow of sums.
static constexpr std::int64_t MaxResourceAmount = 1LL << 50;

static CommandResult makeRefusal(ErrorCode Code, std::string Message) {
  CommandResult Result;
  Result.Error_ = std::string(getErrorName(Code));
  Result.Message_ = std::move(Message);
  return Result;
}

static bool isWithinLimits(const Resources &Amount) {
  return Amount.isValid() &&
         Amount.fitsIn(Resources::makeFor(MaxResourceAmount, MaxResourceAmount,
                                          MaxResourceAmount));
}

static std::string describe(const Resources &Amount) {
  return std::to_string(Amount.MilliCpus_) + " mCPU, " +
         std::to_string(Amount.MemoryMib_) + " MiB, " +
         std::to_string(Amount.Accelerators_) + " accelerators";
}

static bool isEnded(TaskState State) {
  return State != TaskState::Waiting && State != TaskState::Placed;
}

/// Returns whether replacing Before with After raises a dimension of Reserved,
/// which includes Before, above Capacity.
static bool exceedsCapacity(const Resources &Reserved, const Resources &Before,
                            const Resources &After, const Resources &Capacity) {
  const Resources Sum = Reserved - Before + After;
  // A dimension that does not grow may stay above a capacity that was lowered.
  return !Sum.fitsIn(Capacity.maxWith(Reserved));
}

JobRecord *CommandApplier::findJob(const JobId &Job) {
  const auto It = State_.Jobs_.find(Job);
  return It == State_.Jobs_.end() ? nullptr : &It->second;
}

TaskRecord *CommandApplier::findTask(const TaskId &Task) {
  JobRecord *Job = findJob(Task.Job_);
  if (!Job || Task.Index_ >= Job->Tasks_.size())
    return nullptr;
  return &Job->Tasks_[Task.Index_];
}

CommandResult CommandApplier::apply(const RegisterServer &Cmd) {
  if (Cmd.Server_.value().empty() || Cmd.Boot_.value().empty())
    return makeRefusal(ErrorCode::InvalidArgument,
                       "a backend server needs a name and a boot id");
  if (!isWithinLimits(Cmd.Capacity_))
    return makeRefusal(ErrorCode::InvalidArgument,
                       "capacity out of range: " + describe(Cmd.Capacity_));
  ServerRecord &Server = State_.Servers_[Cmd.Server_];
  const bool NewBoot = Server.Info_.Boot_ != Cmd.Boot_;
  if (NewBoot && !Server.Info_.Server_.value().empty()) {
    const std::set<TaskId> Lost = Server.Placed_;
    for (const TaskId &Task : Lost) {
      TaskRecord &Record = *findTask(Task);
      endPlacedAttempt(EndAttempt{Task, Record.Attempt_, AttemptEnd::Lost, "",
                                  "the backend server restarted"},
                       Record);
    }
  }
  Server.Info_ = Cmd;
  Recorder_.recordServer(ChangeKind::ServerChanged, Cmd.Server_);
  return {};
}

CommandResult CommandApplier::apply(const ForgetServer &Cmd) {
  const auto It = State_.Servers_.find(Cmd.Server_);
  if (It == State_.Servers_.end())
    return makeRefusal(ErrorCode::NotFound,
                       "no backend server " + Cmd.Server_.value());
  if (!It->second.Placed_.empty())
    return makeRefusal(ErrorCode::Conflict,
                       std::to_string(It->second.Placed_.size()) +
                           " attempts are still placed on " +
                           Cmd.Server_.value());
  State_.Servers_.erase(It);
  Recorder_.recordServer(ChangeKind::ServerForgotten, Cmd.Server_);
  return {};
}

CommandResult CommandApplier::apply(const AdoptJob &Cmd) {
  const JobSpec &Spec = Cmd.Spec_;
  if (Spec.Tasks_ == 0 || Spec.Tasks_ > MaxTasksPerJob)
    return makeRefusal(ErrorCode::InvalidArgument,
                       "a job has 1 to " + std::to_string(MaxTasksPerJob) +
                           " tasks, not " + std::to_string(Spec.Tasks_));
  if (!isWithinLimits(Spec.Declared_))
    return makeRefusal(ErrorCode::InvalidArgument,
                       "declared size out of range: " +
                           describe(Spec.Declared_));
  const std::uint64_t LatestAssignment = State_.findAssignment(Spec.Job_);
  if (LatestAssignment != 0 && LatestAssignment == Cmd.Assignment_)
    return makeRefusal(ErrorCode::AlreadyExists,
                       "assignment " + std::to_string(LatestAssignment) +
                           " of " + Spec.Job_.value() + " was already adopted");
  if (LatestAssignment >= Cmd.Assignment_)
    return makeRefusal(ErrorCode::StaleToken,
                       "assignment " + std::to_string(Cmd.Assignment_) +
                           " of " + Spec.Job_.value() + " is not above " +
                           std::to_string(LatestAssignment));
  const JobRecord *Existing = findJob(Spec.Job_);
  if (Existing && Existing->Placed_ != 0)
    return makeRefusal(ErrorCode::Conflict,
                       std::to_string(Existing->Placed_) +
                           " tasks of an earlier assignment are still placed");
  const auto Progress = decodeProgress(Cmd.Progress_, Spec.Tasks_);
  if (!Progress)
    return makeRefusal(Progress.error().Code_, Progress.error().Message_);

  if (Existing)
    Recorder_.recordJob(ChangeKind::JobDropped, Spec.Job_);
  JobRecord &Job = State_.Jobs_[Spec.Job_];
  Job = JobRecord{};
  Job.Spec_ = Spec;
  Job.Assignment_ = Cmd.Assignment_;
  Job.Tasks_.resize(Spec.Tasks_);
  Recorder_.recordJob(ChangeKind::JobAdopted, Spec.Job_);
  for (std::uint32_t I = 0; I < Spec.Tasks_; ++I) {
    TaskRecord &Task = Job.Tasks_[I];
    TaskState State = TaskState::Waiting;
    if (!Progress.value().empty()) {
      const TaskProgress &From = Progress.value()[I];
      Task.Attempt_ = From.Attempt_;
      Task.Failures_ = From.Failures_;
      Task.Checkpoint_ = From.Checkpoint_;
      if (From.Failed_)
        State = TaskState::Failed;
      if (From.Finished_)
        State = TaskState::Finished;
    }
    setTaskState(TaskId{Spec.Job_, I}, Task, State);
  }
  return {};
}

std::string CommandApplier::findPlacementProblem(const PlaceTask &Cmd,
                                                 ErrorCode &Code) {
  const JobRecord *Job = findJob(Cmd.Task_.Job_);
  const TaskRecord *Task = findTask(Cmd.Task_);
  const ServerRecord *Server = State_.findServer(Cmd.Server_);
  Code = ErrorCode::NotFound;
  if (!Task)
    return "no task " + Cmd.Task_.toString();
  if (!Server)
    return "no backend server " + Cmd.Server_.value();
  Code = ErrorCode::Conflict;
  if (Job->Cancelling_ || Job->Releasing_)
    return Cmd.Task_.toString() + " is being cancelled or released";
  if (Task->State_ != TaskState::Waiting)
    return Cmd.Task_.toString() + " is not waiting";
  if (Server->Info_.Draining_)
    return Cmd.Server_.value() + " is draining";
  Code = ErrorCode::StaleToken;
  if (Cmd.Attempt_.value() != Task->Attempt_.value() + 1)
    return "the next attempt of " + Cmd.Task_.toString() + " is " +
           std::to_string(Task->Attempt_.value() + 1);
  if (Server->Info_.Boot_ != Cmd.Boot_)
    return Cmd.Server_.value() + " is registered with boot " +
           Server->Info_.Boot_.value();
  Code = ErrorCode::InvalidArgument;
  if (!isWithinLimits(Cmd.Reservation_))
    return "reservation out of range: " + describe(Cmd.Reservation_);
  Code = ErrorCode::Overfull;
  // Unlike a changed reservation, a new one must fit in every dimension.
  const Resources Sum = Server->Reserved_ + Cmd.Reservation_;
  if (!Sum.fitsIn(Server->Info_.Capacity_))
    return Cmd.Server_.value() + " has reserved " +
           describe(Server->Reserved_) + " of " +
           describe(Server->Info_.Capacity_) + "; no room for " +
           describe(Cmd.Reservation_);
  return "";
}

CommandResult CommandApplier::apply(const PlaceTask &Cmd) {
  ErrorCode Code{};
  std::string Problem = findPlacementProblem(Cmd, Code);
  if (!Problem.empty())
    return makeRefusal(Code, std::move(Problem));
  ServerRecord &Server = State_.Servers_.at(Cmd.Server_);
  TaskRecord &Task = *findTask(Cmd.Task_);
  Task.State_ = TaskState::Placed;
  Task.Attempt_ = Cmd.Attempt_;
  Task.Token_ = Token_;
  Task.Server_ = Cmd.Server_;
  Task.Boot_ = Cmd.Boot_;
  Task.Reservation_ = Cmd.Reservation_;
  Server.Reserved_ = Server.Reserved_ + Cmd.Reservation_;
  Server.Placed_.insert(Cmd.Task_);
  ++findJob(Cmd.Task_.Job_)->Placed_;
  Recorder_.recordPlacement(ChangeKind::TaskPlaced, Cmd.Task_, Task);
  CommandResult Result;
  Result.Token_ = Token_;
  return Result;
}

TaskRecord *CommandApplier::findPlacedTask(const TaskId &Id,
                                           const AttemptNumber &Attempt,
                                           const char *Reason,
                                           CommandResult &Refusal) {
  TaskRecord *const Task = findTask(Id);
  if (!Task) {
    Refusal = makeRefusal(ErrorCode::NotFound, "no task " + Id.toString());
    return nullptr;
  }
  if (Task->State_ == TaskState::Placed && Task->Attempt_ == Attempt)
    return Task;
  Refusal = makeRefusal(ErrorCode::StaleToken,
                        "attempt " + std::to_string(Attempt.value()) + " of " +
                            Id.toString() + " " + Reason);
  return nullptr;
}

CommandResult CommandApplier::apply(const ChangeReservation &Cmd) {
  CommandResult Refusal;
  TaskRecord *const Task =
      findPlacedTask(Cmd.Task_, Cmd.Attempt_, "is not placed", Refusal);
  if (!Task)
    return Refusal;
  if (!isWithinLimits(Cmd.Reservation_))
    return makeRefusal(ErrorCode::InvalidArgument,
                       "reservation out of range: " +
                           describe(Cmd.Reservation_));
  ServerRecord &Server = State_.Servers_.at(Task->Server_);
  if (exceedsCapacity(Server.Reserved_, Task->Reservation_, Cmd.Reservation_,
                      Server.Info_.Capacity_))
    return makeRefusal(ErrorCode::Overfull,
                       Task->Server_.value() + " has no room for " +
                           describe(Cmd.Reservation_) + " in place of " +
                           describe(Task->Reservation_));
  Server.Reserved_ = Server.Reserved_ - Task->Reservation_ + Cmd.Reservation_;
  Task->Reservation_ = Cmd.Reservation_;
  Recorder_.recordPlacement(ChangeKind::ReservationChanged, Cmd.Task_, *Task);
  return {};
}

CommandResult CommandApplier::apply(const EndAttempt &Cmd) {
  CommandResult Refusal;
  TaskRecord *const Task =
      findPlacedTask(Cmd.Task_, Cmd.Attempt_, "has already ended", Refusal);
  if (!Task)
    return Refusal;
  if (Cmd.End_ == AttemptEnd::Cancelled &&
      !findJob(Cmd.Task_.Job_)->Cancelling_)
    return makeRefusal(ErrorCode::InvalidArgument,
                       "job " + Cmd.Task_.Job_.value() + " is not cancelled");
  endPlacedAttempt(Cmd, *Task);
  return {};
}

void CommandApplier::endPlacedAttempt(const EndAttempt &Cmd, TaskRecord &Task) {
  assert(Task.State_ == TaskState::Placed && "only a placed attempt ends");
  JobRecord &Job = *findJob(Cmd.Task_.Job_);
  ServerRecord &Server = State_.Servers_.at(Task.Server_);
  Server.Reserved_ = Server.Reserved_ - Task.Reservation_;
  Server.Placed_.erase(Cmd.Task_);
  --Job.Placed_;

  Recorder_.recordAttemptEnd(Cmd.Task_, Task, Cmd.End_);
  Task.Server_ = BackendServerId();
  Task.Boot_ = BootId();
  Task.Reservation_ = Resources{};
  Task.Message_ = Cmd.Message_;
  if (!Cmd.Checkpoint_.empty())
    Task.Checkpoint_ = Cmd.Checkpoint_;
  Task.Failures_ += Cmd.End_ == AttemptEnd::Failed ? 1 : 0;
  Task.Evictions_ += Cmd.End_ == AttemptEnd::Evicted ? 1 : 0;
  Task.Losses_ += Cmd.End_ == AttemptEnd::Lost ? 1 : 0;

  TaskState Next = TaskState::Waiting;
  if (Cmd.End_ == AttemptEnd::Failed &&
      Task.Failures_ >= Job.Spec_.MaxAttempts_)
    Next = TaskState::Failed;
  if (Job.Cancelling_)
    Next = TaskState::Cancelled;
  if (Cmd.End_ == AttemptEnd::Finished)
    Next = TaskState::Finished;
  setTaskState(Cmd.Task_, Task, Next);
}

/// Changes the state from Waiting or Placed to any state except Placed.
void CommandApplier::setTaskState(const TaskId &Id, TaskRecord &Task,
                                  TaskState State) {
  JobRecord &Job = *findJob(Id.Job_);
  Task.State_ = State;
  Recorder_.recordTask(Id, Task);
  if (!isEnded(State))
    return;
  ++Job.Ended_;
  if (Job.Ended_ == Job.Tasks_.size())
    Recorder_.recordJob(ChangeKind::JobEnded, Id.Job_);
}

CommandResult CommandApplier::apply(const CancelJob &Cmd) {
  JobRecord *Job = findJob(Cmd.Job_);
  if (!Job)
    return makeRefusal(ErrorCode::NotFound, "no job " + Cmd.Job_.value());
  if (Job->Cancelling_ || Job->Ended_ == Job->Tasks_.size())
    return makeRefusal(ErrorCode::AlreadyExists,
                       "job " + Cmd.Job_.value() +
                           " was already cancelled or has ended");
  Job->Cancelling_ = true;
  Recorder_.recordJob(ChangeKind::JobCancelling, Cmd.Job_);
  for (std::uint32_t I = 0; I < Job->Tasks_.size(); ++I)
    if (Job->Tasks_[I].State_ == TaskState::Waiting)
      setTaskState(TaskId{Cmd.Job_, I}, Job->Tasks_[I], TaskState::Cancelled);
  return {};
}

CommandResult CommandApplier::apply(const ReleaseJob &Cmd) {
  JobRecord *Job = findJob(Cmd.Job_);
  if (!Job)
    return makeRefusal(ErrorCode::NotFound, "no job " + Cmd.Job_.value());
  if (Job->Assignment_ != Cmd.Assignment_)
    return makeRefusal(ErrorCode::StaleToken,
                       "assignment " + std::to_string(Job->Assignment_) +
                           " of " + Cmd.Job_.value() + " is the current one");
  if (Job->Releasing_)
    return makeRefusal(ErrorCode::AlreadyExists,
                       "job " + Cmd.Job_.value() +
                           " is already being released");
  Job->Releasing_ = true;
  Recorder_.recordJob(ChangeKind::JobReleasing, Cmd.Job_);
  return {};
}

CommandResult CommandApplier::apply(const DropJob &Cmd) {
  const JobRecord *Job = findJob(Cmd.Job_);
  if (!Job)
    return makeRefusal(ErrorCode::NotFound, "no job " + Cmd.Job_.value());
  const bool Ended = Job->Ended_ == Job->Tasks_.size();
  const bool Released = Job->Releasing_ && Job->Placed_ == 0;
  if (!Ended && !Released)
    return makeRefusal(ErrorCode::Conflict,
                       std::to_string(Job->Tasks_.size() - Job->Ended_) +
                           " tasks of " + Cmd.Job_.value() + " have not ended");
  recordDroppedJob(Cmd.Job_, Job->Assignment_);
  State_.Jobs_.erase(Cmd.Job_);
  Recorder_.recordJob(ChangeKind::JobDropped, Cmd.Job_);
  return {};
}

void CommandApplier::recordDroppedJob(const JobId &Job,
                                      std::uint64_t Assignment) {
  const bool Inserted =
      State_.DroppedAssignments_.insert_or_assign(Job, Assignment).second;
  if (!Inserted)
    return;
  State_.DropOrder_.push_back(Job);
  if (State_.DropOrder_.size() <= MaxDroppedJobs)
    return;
  State_.DroppedAssignments_.erase(State_.DropOrder_.front());
  State_.DropOrder_.pop_front();
}

CommandResult CommandApplier::apply(const BeginRecord &Cmd) {
  auto Reply = State_.Records_.begin(Cmd.Request_, Cmd.WallMs_);
  if (!Reply)
    return makeRefusal(Reply.error().Code_, Reply.error().Message_);
  CommandResult Result;
  Result.Begin_ = std::move(Reply).value();
  return Result;
}

CommandResult CommandApplier::apply(const FinishRecord &Cmd) {
  if (State_.Records_.finish(Cmd.Request_, Cmd.WallMs_))
    return {};
  return makeRefusal(ErrorCode::Conflict,
                     "another attempt or outcome is already recorded");
}

CommandResult CommandApplier::apply(const AbandonRecord &Cmd) {
  if (State_.Records_.abandon(Cmd.Request_, Cmd.WallMs_))
    return {};
  return makeRefusal(ErrorCode::Conflict,
                     "another attempt or outcome is already recorded");
}

CommandResult CommandApplier::apply(const EndEntry &Cmd) {
  State_.Records_.endEntry(Cmd.Entry_, Cmd.Incarnation_);
  return {};
}
