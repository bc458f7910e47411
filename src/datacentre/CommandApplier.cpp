//===- CommandApplier.cpp - Applies one command to the state --------------===//

#include "datacentre/CommandApplier.h"
#include "tulipweir/datacentre/DataCentreCodec.h"

#include <algorithm>
#include <cassert>

using namespace tulipweir;
using namespace tulipweir::datacentre;

static constexpr std::uint32_t MaxTasksPerJob = 100'000;
static constexpr std::size_t MaxDroppedJobs = 65'536;
/// Keeps sums of amounts far from overflow.
static constexpr std::int64_t MaxAmount = 1LL << 50;

static CommandResult refuse(ErrorCode Code, std::string Message) {
  CommandResult Result;
  Result.Error_ = std::string(getErrorName(Code));
  Result.Message_ = std::move(Message);
  return Result;
}

static bool isSane(const Resources &Amount) {
  return Amount.isValid() &&
         Amount.fitsIn(Resources::makeFor(MaxAmount, MaxAmount, MaxAmount));
}

static std::string describe(const Resources &Amount) {
  return std::to_string(Amount.MilliCpus_) + " mCPU, " +
         std::to_string(Amount.MemoryMib_) + " MiB, " +
         std::to_string(Amount.Accelerators_) + " accelerators";
}

static bool isEnded(TaskState State) {
  return State != TaskState::Waiting && State != TaskState::Placed;
}

/// Whether replacing Before by After, of which Reserved is the sum with
/// Before, grows a dimension beyond Capacity.
static bool overfills(const Resources &Reserved, const Resources &Before,
                      const Resources &After, const Resources &Capacity) {
  const Resources Sum = Reserved - Before + After;
  // Where nothing grows the sum may stay over a capacity that was lowered.
  return !Sum.fitsIn(Capacity.maxWith(Reserved));
}

JobRecord *CommandApplier::findJob(const JobId &Job) {
  const auto Found = State_.Jobs_.find(Job);
  return Found == State_.Jobs_.end() ? nullptr : &Found->second;
}

TaskRecord *CommandApplier::findTask(const TaskId &Task) {
  JobRecord *Job = findJob(Task.Job_);
  if (!Job || Task.Index_ >= Job->Tasks_.size())
    return nullptr;
  return &Job->Tasks_[Task.Index_];
}

CommandResult CommandApplier::apply(const RegisterServer &Value) {
  if (Value.Server_.value().empty() || Value.Boot_.value().empty())
    return refuse(ErrorCode::InvalidArgument,
                  "a backend server needs a name and a boot id");
  if (!isSane(Value.Capacity_))
    return refuse(ErrorCode::InvalidArgument,
                  "capacity out of range: " + describe(Value.Capacity_));
  ServerRecord &Server = State_.Servers_[Value.Server_];
  const bool NewBoot = Server.Info_.Boot_ != Value.Boot_;
  if (NewBoot && !Server.Info_.Server_.value().empty()) {
    const std::set<TaskId> Lost = Server.Placed_;
    for (const TaskId &Task : Lost) {
      TaskRecord &Record = *findTask(Task);
      endPlaced(EndAttempt{Task, Record.Attempt_, AttemptEnd::Lost, "",
                           "the backend server restarted"},
                Record);
    }
  }
  Server.Info_ = Value;
  Notes_.noteServer(ChangeKind::ServerChanged, Value.Server_);
  return {};
}

CommandResult CommandApplier::apply(const ForgetServer &Value) {
  const auto Found = State_.Servers_.find(Value.Server_);
  if (Found == State_.Servers_.end())
    return refuse(ErrorCode::NotFound,
                  "no backend server " + Value.Server_.value());
  if (!Found->second.Placed_.empty())
    return refuse(ErrorCode::Conflict,
                  std::to_string(Found->second.Placed_.size()) +
                      " attempts are still placed on " + Value.Server_.value());
  State_.Servers_.erase(Found);
  Notes_.noteServer(ChangeKind::ServerForgotten, Value.Server_);
  return {};
}

CommandResult CommandApplier::apply(const AdoptJob &Value) {
  const JobSpec &Spec = Value.Spec_;
  if (Spec.Tasks_ == 0 || Spec.Tasks_ > MaxTasksPerJob)
    return refuse(ErrorCode::InvalidArgument,
                  "a job has 1 to " + std::to_string(MaxTasksPerJob) +
                      " tasks, not " + std::to_string(Spec.Tasks_));
  if (!isSane(Spec.Declared_))
    return refuse(ErrorCode::InvalidArgument,
                  "declared size out of range: " + describe(Spec.Declared_));
  const std::uint64_t Latest = State_.findAssignment(Spec.Job_);
  if (Latest != 0 && Latest == Value.Assignment_)
    return refuse(ErrorCode::AlreadyExists,
                  "assignment " + std::to_string(Latest) + " of " +
                      Spec.Job_.value() + " was adopted before");
  if (Latest >= Value.Assignment_)
    return refuse(ErrorCode::StaleToken,
                  "assignment " + std::to_string(Value.Assignment_) + " of " +
                      Spec.Job_.value() + " is not above " +
                      std::to_string(Latest));
  const JobRecord *Earlier = findJob(Spec.Job_);
  if (Earlier && Earlier->Placed_ != 0)
    return refuse(ErrorCode::Conflict,
                  std::to_string(Earlier->Placed_) +
                      " tasks of an earlier assignment are still placed");
  const auto Progress = decodeProgress(Value.Progress_, Spec.Tasks_);
  if (!Progress)
    return refuse(Progress.error().Code_, Progress.error().Message_);

  if (Earlier)
    Notes_.noteJob(ChangeKind::JobDropped, Spec.Job_);
  JobRecord &Job = State_.Jobs_[Spec.Job_];
  Job = JobRecord{};
  Job.Spec_ = Spec;
  Job.Assignment_ = Value.Assignment_;
  Job.Tasks_.resize(Spec.Tasks_);
  Notes_.noteJob(ChangeKind::JobAdopted, Spec.Job_);
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

std::string CommandApplier::findPlacementProblem(const PlaceTask &Value,
                                                 ErrorCode &Code) {
  const JobRecord *Job = findJob(Value.Task_.Job_);
  const TaskRecord *Task = findTask(Value.Task_);
  const ServerRecord *Server = State_.findServer(Value.Server_);
  Code = ErrorCode::NotFound;
  if (!Task)
    return "no task " + Value.Task_.toString();
  if (!Server)
    return "no backend server " + Value.Server_.value();
  Code = ErrorCode::Conflict;
  if (Job->Cancelling_ || Job->Releasing_)
    return Value.Task_.toString() + " is being cancelled or released";
  if (Task->State_ != TaskState::Waiting)
    return Value.Task_.toString() + " is not waiting";
  if (Server->Info_.Draining_)
    return Value.Server_.value() + " is leaving";
  Code = ErrorCode::StaleToken;
  if (Value.Attempt_.value() != Task->Attempt_.value() + 1)
    return "the next attempt of " + Value.Task_.toString() + " is " +
           std::to_string(Task->Attempt_.value() + 1);
  if (Server->Info_.Boot_ != Value.Boot_)
    return Value.Server_.value() + " is of boot " + Server->Info_.Boot_.value();
  Code = ErrorCode::InvalidArgument;
  if (!isSane(Value.Reservation_))
    return "reservation out of range: " + describe(Value.Reservation_);
  Code = ErrorCode::Overfull;
  // Unlike a changed reservation this must fit even where nothing grows.
  const Resources Sum = Server->Reserved_ + Value.Reservation_;
  if (!Sum.fitsIn(Server->Info_.Capacity_))
    return Value.Server_.value() + " holds " + describe(Server->Reserved_) +
           " of " + describe(Server->Info_.Capacity_) + "; no room for " +
           describe(Value.Reservation_);
  return "";
}

CommandResult CommandApplier::apply(const PlaceTask &Value) {
  ErrorCode Code{};
  std::string Problem = findPlacementProblem(Value, Code);
  if (!Problem.empty())
    return refuse(Code, std::move(Problem));
  ServerRecord &Server = State_.Servers_.at(Value.Server_);
  TaskRecord &Task = *findTask(Value.Task_);
  Task.State_ = TaskState::Placed;
  Task.Attempt_ = Value.Attempt_;
  Task.Token_ = Token_;
  Task.Server_ = Value.Server_;
  Task.Boot_ = Value.Boot_;
  Task.Reservation_ = Value.Reservation_;
  Server.Reserved_ = Server.Reserved_ + Value.Reservation_;
  Server.Placed_.insert(Value.Task_);
  ++findJob(Value.Task_.Job_)->Placed_;
  Notes_.notePlaced(ChangeKind::TaskPlaced, Value.Task_, Task);
  CommandResult Result;
  Result.Token_ = Token_;
  return Result;
}

TaskRecord *CommandApplier::findPlaced(const TaskId &Id,
                                       const AttemptNumber &Attempt,
                                       const char *Otherwise,
                                       CommandResult &Refusal) {
  TaskRecord *const Task = findTask(Id);
  if (!Task) {
    Refusal = refuse(ErrorCode::NotFound, "no task " + Id.toString());
    return nullptr;
  }
  if (Task->State_ == TaskState::Placed && Task->Attempt_ == Attempt)
    return Task;
  Refusal = refuse(ErrorCode::StaleToken,
                   "attempt " + std::to_string(Attempt.value()) + " of " +
                       Id.toString() + " " + Otherwise);
  return nullptr;
}

CommandResult CommandApplier::apply(const ChangeReservation &Value) {
  CommandResult Refusal;
  TaskRecord *const Task =
      findPlaced(Value.Task_, Value.Attempt_, "is not placed", Refusal);
  if (!Task)
    return Refusal;
  if (!isSane(Value.Reservation_))
    return refuse(ErrorCode::InvalidArgument,
                  "reservation out of range: " + describe(Value.Reservation_));
  ServerRecord &Server = State_.Servers_.at(Task->Server_);
  if (overfills(Server.Reserved_, Task->Reservation_, Value.Reservation_,
                Server.Info_.Capacity_))
    return refuse(ErrorCode::Overfull,
                  Task->Server_.value() + " has no room for " +
                      describe(Value.Reservation_) + " in place of " +
                      describe(Task->Reservation_));
  Server.Reserved_ = Server.Reserved_ - Task->Reservation_ + Value.Reservation_;
  Task->Reservation_ = Value.Reservation_;
  Notes_.notePlaced(ChangeKind::ReservationChanged, Value.Task_, *Task);
  return {};
}

CommandResult CommandApplier::apply(const EndAttempt &Value) {
  CommandResult Refusal;
  TaskRecord *const Task =
      findPlaced(Value.Task_, Value.Attempt_, "ended before", Refusal);
  if (!Task)
    return Refusal;
  if (Value.End_ == AttemptEnd::Cancelled &&
      !findJob(Value.Task_.Job_)->Cancelling_)
    return refuse(ErrorCode::InvalidArgument,
                  "job " + Value.Task_.Job_.value() + " is not cancelled");
  endPlaced(Value, *Task);
  return {};
}

void CommandApplier::endPlaced(const EndAttempt &Value, TaskRecord &Task) {
  assert(Task.State_ == TaskState::Placed && "only a placed attempt ends");
  JobRecord &Job = *findJob(Value.Task_.Job_);
  ServerRecord &Server = State_.Servers_.at(Task.Server_);
  Server.Reserved_ = Server.Reserved_ - Task.Reservation_;
  Server.Placed_.erase(Value.Task_);
  --Job.Placed_;

  Notes_.noteEnd(Value.Task_, Task, Value.End_);
  Task.Server_ = BackendServerId();
  Task.Boot_ = BootId();
  Task.Reservation_ = Resources{};
  Task.Message_ = Value.Message_;
  if (!Value.Checkpoint_.empty())
    Task.Checkpoint_ = Value.Checkpoint_;
  Task.Failures_ += Value.End_ == AttemptEnd::Failed ? 1 : 0;
  Task.Evictions_ += Value.End_ == AttemptEnd::Evicted ? 1 : 0;
  Task.Losses_ += Value.End_ == AttemptEnd::Lost ? 1 : 0;

  TaskState Next = TaskState::Waiting;
  if (Value.End_ == AttemptEnd::Failed &&
      Task.Failures_ >= Job.Spec_.MaxAttempts_)
    Next = TaskState::Failed;
  if (Job.Cancelling_)
    Next = TaskState::Cancelled;
  if (Value.End_ == AttemptEnd::Finished)
    Next = TaskState::Finished;
  setTaskState(Value.Task_, Task, Next);
}

/// From Waiting or Placed to any state but Placed.
void CommandApplier::setTaskState(const TaskId &Id, TaskRecord &Task,
                                  TaskState State) {
  JobRecord &Job = *findJob(Id.Job_);
  Task.State_ = State;
  Notes_.noteTask(Id, Task);
  if (!isEnded(State))
    return;
  ++Job.Ended_;
  if (Job.Ended_ == Job.Tasks_.size())
    Notes_.noteJob(ChangeKind::JobEnded, Id.Job_);
}

CommandResult CommandApplier::apply(const CancelJob &Value) {
  JobRecord *Job = findJob(Value.Job_);
  if (!Job)
    return refuse(ErrorCode::NotFound, "no job " + Value.Job_.value());
  if (Job->Cancelling_ || Job->Ended_ == Job->Tasks_.size())
    return refuse(ErrorCode::AlreadyExists,
                  "job " + Value.Job_.value() + " was cancelled or ended");
  Job->Cancelling_ = true;
  Notes_.noteJob(ChangeKind::JobCancelling, Value.Job_);
  for (std::uint32_t I = 0; I < Job->Tasks_.size(); ++I)
    if (Job->Tasks_[I].State_ == TaskState::Waiting)
      setTaskState(TaskId{Value.Job_, I}, Job->Tasks_[I], TaskState::Cancelled);
  return {};
}

CommandResult CommandApplier::apply(const ReleaseJob &Value) {
  JobRecord *Job = findJob(Value.Job_);
  if (!Job)
    return refuse(ErrorCode::NotFound, "no job " + Value.Job_.value());
  if (Job->Assignment_ != Value.Assignment_)
    return refuse(ErrorCode::StaleToken,
                  "assignment " + std::to_string(Job->Assignment_) + " of " +
                      Value.Job_.value() + " stands here");
  if (Job->Releasing_)
    return refuse(ErrorCode::AlreadyExists,
                  "job " + Value.Job_.value() + " is being released");
  Job->Releasing_ = true;
  Notes_.noteJob(ChangeKind::JobReleasing, Value.Job_);
  return {};
}

CommandResult CommandApplier::apply(const DropJob &Value) {
  const JobRecord *Job = findJob(Value.Job_);
  if (!Job)
    return refuse(ErrorCode::NotFound, "no job " + Value.Job_.value());
  const bool Ended = Job->Ended_ == Job->Tasks_.size();
  const bool Released = Job->Releasing_ && Job->Placed_ == 0;
  if (!Ended && !Released)
    return refuse(ErrorCode::Conflict,
                  std::to_string(Job->Tasks_.size() - Job->Ended_) +
                      " tasks of " + Value.Job_.value() + " have not ended");
  rememberDropped(Value.Job_, Job->Assignment_);
  State_.Jobs_.erase(Value.Job_);
  Notes_.noteJob(ChangeKind::JobDropped, Value.Job_);
  return {};
}

void CommandApplier::rememberDropped(const JobId &Job,
                                     std::uint64_t Assignment) {
  const bool Fresh = State_.Dropped_.insert_or_assign(Job, Assignment).second;
  if (!Fresh)
    return;
  State_.DropOrder_.push_back(Job);
  if (State_.DropOrder_.size() <= MaxDroppedJobs)
    return;
  State_.Dropped_.erase(State_.DropOrder_.front());
  State_.DropOrder_.pop_front();
}

CommandResult CommandApplier::apply(const BeginRecord &Value) {
  auto Reply = State_.Records_.begin(Value.Request_, Value.WallMs_);
  if (!Reply)
    return refuse(Reply.error().Code_, Reply.error().Message_);
  CommandResult Result;
  Result.Begin_ = std::move(Reply).value();
  return Result;
}

CommandResult CommandApplier::apply(const FinishRecord &Value) {
  if (State_.Records_.finish(Value.Request_, Value.WallMs_))
    return {};
  return refuse(ErrorCode::Conflict, "another attempt or outcome stands");
}

CommandResult CommandApplier::apply(const AbandonRecord &Value) {
  if (State_.Records_.abandon(Value.Request_, Value.WallMs_))
    return {};
  return refuse(ErrorCode::Conflict, "another attempt or outcome stands");
}

CommandResult CommandApplier::apply(const EndEntry &Value) {
  State_.Records_.endEntry(Value.Entry_, Value.Incarnation_);
  return {};
}
