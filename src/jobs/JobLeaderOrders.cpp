#include "jobs/JobLeaderImpl.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// A filling task whose pace is below this percentage is moved if there is room
/// elsewhere, unless its progress has reached the second percentage.
static constexpr std::uint64_t MinPaceToStay = 40;
static constexpr std::uint64_t MinPercentToStay = 90;
/// On a server that leaves, a run with at least this progress may finish, if
/// the server has more time left than a stop and its report take.
static constexpr std::uint64_t MinPercentToFinish = 60;
static constexpr std::uint64_t MinMsToFinish = 1500;
static constexpr std::uint64_t Percent = 100;

/// Whether the run makes no progress although nothing throttles it.
bool JobLeader::Impl::isStalled(const JobRegistry &Registry,
                                const StepSpec &Step, const TaskKey &Task,
                                const std::string &Server,
                                const RunProgress &Progress,
                                TimePoint Now) const {
  const Duration StalledFor = Now - Progress.ChangedAt_;
  // This check is enough for most runs.
  if (StalledFor < RunStallDetector::MinStallTime || Step.Gang_)
    return false;
  if (Step.LongRunning_ && Progress.Percent_ >= Percent)
    return false;
  if (Step.Fills_ && Paces_.getMinPace(Server) != PaceController::FullPace)
    return false;
  return StalledFor >=
         Stalls_.getStallTime(*Registry.findJob(Task.Job_), Task, Progress);
}

/// Whether so few other tasks of the step are unavailable that this one may be
/// stopped too.
bool JobLeader::Impl::canSpare(
    const JobRegistry &Registry, const StepSpec &Step, const TaskKey &Task,
    const std::map<TaskKey, std::uint64_t> &Stopping) const {
  const auto IsAvailable = [&](const TaskKey &Other, const TaskRecord &Record) {
    for (const Placement &Placed : Record.Placements_) {
      const LiveServer *Live = LiveServers_.find(Placed.Server_);
      if (!Live || Live->isSilent(Time_.now()))
        continue;
      const RunProgress *Seen = Live->findProgress(Other);
      const bool IsSeen =
          Seen && Seen->Run_ == Placed.Run_ && Seen->Percent_ >= Percent;
      if (IsSeen && Live->StopsSent_.count(Other) == 0 &&
          Stopping.count(Other) == 0)
        return true;
    }
    return false;
  };
  const std::vector<TaskRecord> &Tasks = Registry.findJob(Task.Job_)
                                             ->findOccurrence(Task.Occurrence_)
                                             ->Steps_[Task.Step_]
                                             .Tasks_;
  std::uint64_t Unavailable = 0;
  TaskKey Other = Task;
  for (Other.Index_ = 0; Other.Index_ < Tasks.size(); ++Other.Index_)
    if (Other.Index_ != Task.Index_ && !IsAvailable(Other, Tasks[Other.Index_]))
      ++Unavailable;
  return Unavailable < std::max<std::uint64_t>(Step.MaxUnavailable_, 1);
}

/// Whether to stop the run and save its work now, as its server is about to
/// leave.
bool JobLeader::Impl::shouldEvacuate(
    const JobRegistry &Registry, const StepSpec &Step, const LiveServer &Live,
    const ServerReport &Report, const RunningTask &Running,
    const std::map<TaskKey, std::uint64_t> &Stopping) const {
  if (Step.Gang_ || (!Report.IsDraining_ && !Live.IsEmptying_))
    return false;
  if (!Report.IsDraining_) {
    if (!Step.LongRunning_)
      return Step.Checkpointing_ && Running.Percent_ < MinPercentToFinish;
    const auto Sent = Live.StopsSent_.find(Running.Task_);
    const bool IsSent =
        Sent != Live.StopsSent_.end() && Sent->second == Running.Run_;
    return IsSent || canSpare(Registry, Step, Running.Task_, Stopping);
  }
  if (Step.LongRunning_)
    return true;
  const bool MayEndInTime = Running.Percent_ >= MinPercentToFinish &&
                            Report.RemainingMs_ > MinMsToFinish;
  return Step.Checkpointing_ && !MayEndInTime;
}

/// Whether a long-running task makes room for bounded work that would be late.
bool JobLeader::Impl::shouldYield(
    const JobRegistry &Registry, const StepSpec &Step, const LiveServer &Live,
    const RunningTask &Running,
    const std::map<TaskKey, std::uint64_t> &Stopping) const {
  if (Settings_.Shares_.getBudget(Step) == 0 ||
      !Shares_.mustYield(Running.Task_, Running.Run_))
    return false;
  const auto Sent = Live.StopsSent_.find(Running.Task_);
  const bool IsSent =
      Sent != Live.StopsSent_.end() && Sent->second == Running.Run_;
  return IsSent || canSpare(Registry, Step, Running.Task_, Stopping);
}

/// Whether a task that is throttled strongly, to protect the tasks beside it,
/// can continue on another server. The stop loses no work, as the task writes a
/// checkpoint.
bool JobLeader::Impl::shouldMove(const StepSpec &Step,
                                 const ServerRecord &Server,
                                 const RunningTask &Running) {
  const bool IsSlow =
      Step.Fills_ && Step.Checkpointing_ &&
      Running.Percent_ < MinPercentToStay &&
      Paces_.getPace(Server.Facts_.Id_, Step.Image_) < MinPaceToStay;
  if (!IsSlow || !Dispatcher_.claimInterferenceFreeCpus(Step))
    return false;
  Meter_.add(JobCounter::TasksMoved, 1);
  return true;
}

/// Returns the step of a run that is placed on the server and should continue
/// there; nullptr for any other run.
static const StepSpec *findWantedStep(const JobRegistry &Registry,
                                      const std::string &Server,
                                      const TaskKey &Task, std::uint64_t Run) {
  const JobRecord *Job = Registry.findJob(Task.Job_);
  if (!Job || isEnded(Job->State_))
    return nullptr;
  const TaskRecord *Record = Job->findTask(Task);
  const bool IsOpen = Record && Record->State_ != TaskState::Done;
  const bool IsHere =
      IsOpen &&
      std::any_of(Record->Placements_.begin(), Record->Placements_.end(),
                  [&](const Placement &Placed) {
                    return Placed.Run_ == Run && Placed.Server_ == Server;
                  });
  return IsHere ? &Job->Spec_.Steps_[Task.Step_] : nullptr;
}

/// Returns why a run that is placed on its server should be stopped; empty if
/// it should continue.
std::string_view JobLeader::Impl::findStopReason(
    const JobRegistry &Registry, const StepSpec &Step,
    const ServerRecord &Server, const LiveServer &Live,
    const ServerReport &Report, std::size_t At,
    const std::map<TaskKey, std::uint64_t> &Stopping) {
  const RunningTask &Running = Report.Running_[At];
  const bool IsSeen = At < Live.Progress_.size();
  if (IsSeen && isStalled(Registry, Step, Running.Task_, Report.Facts_.Id_,
                          Live.Progress_[At], Time_.now()))
    return StallReason;
  if (shouldEvacuate(Registry, Step, Live, Report, Running, Stopping))
    return "its server is draining or due for maintenance";
  if (shouldYield(Registry, Step, Live, Running, Stopping))
    return YieldReason;
  if (shouldMove(Step, Server, Running))
    return "throttled to protect other tasks, and another server has room";
  return "";
}

/// Returns the runs that are placed on the server but named in its report
/// neither as running nor as ended.
static std::vector<std::pair<TaskKey, std::uint64_t>>
listUnreported(const ServerRecord &Server, const ServerReport &Report) {
  // A server runs few tasks, so comparing them costs less than copying keys.
  const auto IsReported = [&Report](const TaskKey &Task, std::uint64_t Run) {
    const auto IsRun = [&](const auto &Listed) {
      return Listed.Run_ == Run && Listed.Task_ == Task;
    };
    return std::any_of(Report.Running_.begin(), Report.Running_.end(), IsRun) ||
           std::any_of(
               Report.Ended_.begin(), Report.Ended_.end(),
               [&](const EndedTask &Ended) { return IsRun(Ended.End_); });
  };
  std::vector<std::pair<TaskKey, std::uint64_t>> Missing;
  for (const auto &[Task, Run] : Server.Placed_)
    if (!IsReported(Task, Run))
      Missing.emplace_back(Task, Run);
  return Missing;
}

void JobLeader::Impl::requestStops(const std::string &Job) {
  Machine_.read([&](const JobRegistry &Registry) {
    if (const JobRecord *Ended = Registry.findJob(Job))
      PendingStops_.add(*Ended, Time_.now());
    return 0;
  });
}

ServerOrders JobLeader::Impl::makeOrders(const ServerReport &Report,
                                         std::vector<TaskEnd> &NeverRan) {
  ServerOrders Orders;
  const std::string &Id = Report.Facts_.Id_;
  LiveServer *Live = LiveServers_.find(Id);
  std::map<TaskKey, std::uint64_t> StopsSent;
  std::vector<std::pair<RunningTask, std::string_view>> Stopped;
  Machine_.read([&](const JobRegistry &Registry) {
    const ServerRecord &Server = *Registry.findServer(Id);
    const auto Stop = [&](const TaskKey &Task, std::uint64_t Run) {
      Orders.Stops_.push_back({Task, Run});
      StopsSent[Task] = Run;
    };
    std::size_t Wanted = 0;
    bool AnyUnplaced = false;
    Resources Available = Report.Facts_.Capacity_;
    for (std::size_t At = 0; At < Report.Running_.size(); ++At) {
      const RunningTask &Running = Report.Running_[At];
      const StepSpec *Step =
          findWantedStep(Registry, Id, Running.Task_, Running.Run_);
      Wanted += Step ? 1 : 0;
      AnyUnplaced = AnyUnplaced ||
                    (!Step && !Server.isPlaced(Running.Task_, Running.Run_));
      if (const StepSpec *Known =
              Step ? Step : Registry.findStep(Running.Task_))
        Available = Available - Known->getReserved();
      const std::string_view Reason =
          Step ? findStopReason(Registry, *Step, Server, *Live, Report, At,
                                StopsSent)
               : "the run is no longer needed";
      if (Reason.empty())
        continue;
      Stop(Running.Task_, Running.Run_);
      const auto Previous = Live->StopsSent_.find(Running.Task_);
      if (Previous == Live->StopsSent_.end() ||
          Previous->second != Running.Run_)
        Stopped.emplace_back(Running, Reason);
    }
    Live->MayHaveUnplaced_ = AnyUnplaced;
    // Usually the report names all runs that are placed on the server.
    if (Wanted == Server.Placed_.size())
      return 0;
    // In an evacuated data centre a placed run that was never reported is not
    // started any more: the server is told to stop it, and it starts elsewhere.
    const bool MayStart = !Registry.isEvacuated(Server.Facts_);
    for (const auto &[Task, Run] : listUnreported(Server, Report)) {
      const StepSpec *Step = findWantedStep(Registry, Id, Task, Run);
      // The capacity may have shrunk since the task was placed.
      if (!MayStart || !Step || !Step->getReserved().fitsIn(Available)) {
        const auto Previous = Live->StopsSent_.find(Task);
        // The server was told in an earlier answer to stop the run and still
        // does not report it, so an order to start it can no longer take
        // effect.
        if (Previous != Live->StopsSent_.end() && Previous->second == Run)
          NeverRan.push_back({Task, Run, RunOutcome::NeverRan, ""});
        else
          Stop(Task, Run);
        continue;
      }
      Available = Available - Step->getReserved();
      const std::string *Ticket = Advice_.findTicket(
          {Task.Job_, Task.Occurrence_, Task.Step_}, Id, Time_.now());
      Orders.Starts_.push_back(
          {Task, Run, Registry.findJob(Task.Job_)->Spec_.Payload_,
           Registry.findTask(Task)->Checkpoint_, Ticket ? *Ticket : ""});
    }
    return 0;
  });
  Live->StopsSent_ = std::move(StopsSent);
  for (const auto &[Task, Reason] : Stopped) {
    Event Line;
    Line.Kind_ = EventKind::TaskStopped;
    Line.Job_ = Task.Task_.Job_;
    Line.Task_ = toText(Task.Task_);
    Line.Attempt_ = Task.Run_;
    Line.Server_ = Report.Facts_.Id_;
    Line.Reason_ = Reason == YieldReason ? Shares_.describeYield(Task.Task_)
                                         : std::string(Reason);
    Log_.write(Line);
    if (Reason == StallReason) {
      Stalls_.recordStop(Task.Task_);
      recordFailedRun(Report.Facts_.Id_, Task.Task_.Job_, "runs stalled");
    }
    if (Reason == YieldReason) {
      Shares_.recordStop(Task.Task_, Task.Run_);
      Meter_.add(JobCounter::TasksYielded, 1);
    }
  }
  return Orders;
}
