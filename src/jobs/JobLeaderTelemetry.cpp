#include "jobs/JobLeaderImpl.h"

#include <array>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// The interval at which the reasons of waiting steps are logged, and the
/// number of steps, from the first on, that are examined each time.
static constexpr Duration WaitLogInterval = 1s;
static constexpr std::size_t MaxLoggedWaits = 8;
/// A long-running step that has waited for two report intervals, in which each
/// server has reported, should have started where there is room.
static constexpr Duration MaxWaitBesideRoom = 1s;
/// The interval at which long absences are looked for.
static constexpr Duration AbsenceCheckInterval = 500ms;

static std::string_view getName(RunOutcome How) {
  static constexpr std::array<std::string_view, 8> Names = {
      "done",   "failed", "stopped", "lapsed",
      "broken", "alone",  "refused", "never_ran"};
  return Names.at(static_cast<std::size_t>(How));
}

void JobLeader::Impl::meterJobEnd(const std::string &Job, JobCounter How) {
  Meter_.add(How, 1);
  StartedJobs_.erase(Job);
  const auto Accepted = AcceptedAt_.find(Job);
  if (Accepted == AcceptedAt_.end())
    return;
  Meter_.record(JobTimer::Finish, Time_.now() - Accepted->second);
  AcceptedAt_.erase(Accepted);
}

void JobLeader::Impl::meterStart(const TaskStart &Start, bool IsTaken) {
  Meter_.add(IsTaken ? JobCounter::TasksStarted : JobCounter::StartsRefused, 1);
  if (IsTaken)
    countStart(Start);
  const auto Accepted = AcceptedAt_.find(Start.Task_.Job_);
  if (!IsTaken || Accepted == AcceptedAt_.end() ||
      !StartedJobs_.insert(Start.Task_.Job_).second)
    return;
  const Duration Waited = Time_.now() - Accepted->second;
  Meter_.record(JobTimer::FirstStart, Waited);
  const std::string Queue =
      Machine_.read([&Start](const JobRegistry &Registry) {
        const JobRecord *Job = Registry.findJob(Start.Task_.Job_);
        return Job ? Job->Policy_.getKey() : std::string();
      });
  if (!Queue.empty())
    Meter_.recordFirstStart(Queue, Waited);
}

static Event makeTaskEnded(const std::string &Server, const TaskKey &Task,
                           std::uint64_t Run, RunOutcome How) {
  Event Line;
  Line.Kind_ = EventKind::TaskEnded;
  Line.Job_ = Task.Job_;
  Line.Task_ = toText(Task);
  Line.Attempt_ = Run;
  Line.Server_ = Server;
  Line.Outcome_ = getName(How);
  return Line;
}

void JobLeader::Impl::logEnds(const std::string &Server,
                              const std::vector<TaskEnd> &Ends) {
  for (const TaskEnd &End : Ends)
    if (!Log_.leavesOut(EventKind::TaskEnded))
      Log_.write(makeTaskEnded(Server, End.Task_, End.Run_, End.Outcome_));
}

void JobLeader::Impl::logLostRuns(const std::string &Server,
                                  const std::vector<LostRun> &Lost) {
  for (const LostRun &Run : Lost) {
    Event Line =
        makeTaskEnded(Server, Run.Task_, Run.Run_, RunOutcome::LeaseExpired);
    Line.AgeMs_ =
        std::chrono::duration_cast<std::chrono::milliseconds>(Run.Seen_)
            .count();
    Log_.write(Line);
  }
}

void JobLeader::Impl::beginAbsences(const EndTasks &Ended, TimePoint LastSeen) {
  Absence Value;
  Value.Server_ = Ended.Server_;
  Value.LastSeen_ = LastSeen;
  Value.LeaseEnd_ = LastSeen;
  Value.WaitsSince_ = Time_.now();
  Machine_.read([&](const JobRegistry &Registry) {
    for (const TaskEnd &End : Ended.Ends_) {
      Value.Run_ = End.Run_;
      Absences_.begin(Registry, End.Task_, Value);
    }
    return 0;
  });
}

void JobLeader::Impl::recordLoss(const std::vector<LostRun> &Lost,
                                 const Absence &Value) {
  Absence Gone = Value;
  Gone.WaitsSince_ = Time_.now();
  Machine_.read([&](const JobRegistry &Registry) {
    std::map<TaskKey, std::uint64_t> Runs;
    for (const LostRun &Run : Lost) {
      Gone.Run_ = Run.Run_;
      Absences_.begin(Registry, Run.Task_, Gone);
      Runs.emplace(Run.Task_, Run.Run_);
    }
    Dispatcher_.recordLoss(Registry, Runs);
    return 0;
  });
}

/// A short absence is logged without a reason, and so at level info.
static Event makeTaskAbsent(const TaskKey &Task, const Absence &Value,
                            TimePoint Now) {
  Event Line;
  Line.Kind_ = EventKind::TaskAbsent;
  Line.Job_ = Task.Job_;
  Line.Task_ = toText(Task);
  Line.Attempt_ = Value.Run_;
  Line.Server_ = Value.Server_;
  Line.AgeMs_ =
      std::chrono::duration_cast<std::chrono::milliseconds>(Value.getTotal(Now))
          .count();
  if (Value.getTotal(Now) > AbsenceTracker::LongAbsence)
    Line.Reason_ = toText(Value, Now);
  return Line;
}

void JobLeader::Impl::endAbsences(const std::vector<TaskStart> &Starts,
                                  const std::vector<bool> &Accepted) {
  const TimePoint Now = Time_.now();
  for (std::size_t I = 0; I < Starts.size(); ++I) {
    const std::optional<Absence> Ended =
        Accepted[I] ? Absences_.end(Starts[I].Task_) : std::nullopt;
    if (!Ended)
      continue;
    Meter_.record(JobTimer::Absence, Ended->getTotal(Now));
    Meter_.record(JobTimer::AbsenceLease, Ended->getLease());
    Meter_.record(JobTimer::AbsenceRemoval, Ended->getRemoval());
    Meter_.record(JobTimer::AbsenceWait, Ended->getWait(Now));
    Event Line = makeTaskAbsent(Starts[I].Task_, *Ended, Now);
    Line.Term_ = Term_;
    Line.Outcome_ = "placed on " + Starts[I].Server_;
    Log_.write(Line);
  }
}

/// Logs the absences that go on and have become long.
void JobLeader::Impl::logLongAbsences() {
  const TimePoint Now = Time_.now();
  if (Now < NextAbsenceCheck_)
    return;
  NextAbsenceCheck_ = Now + AbsenceCheckInterval;
  const auto Long = Machine_.read([&](const JobRegistry &Registry) {
    return Absences_.collectLong(Registry, Now);
  });
  for (const auto &[Task, Value] : Long) {
    Event Line = makeTaskAbsent(Task, Value, Now);
    Line.Term_ = Term_;
    Line.Outcome_ = "waiting";
    Log_.write(Line);
  }
}

RunTimeBounds JobLeader::Impl::boundRunTime(const JobRegistry &Registry,
                                            const std::string &Server,
                                            const EndedTask &Ended) const {
  RunTimeBounds Bounds = LiveServers_.find(Server)->boundRunTime(
      Ended.End_.Task_, Ended.End_.Run_);
  // Beside runs that took as long as usual, the task was long, not the server
  // slow.
  if (Bounds.Shortest_ > Duration(0) &&
      RunTimes_.doOthersAdvanceAsUsual(Registry, Server, Ended.Number_,
                                       Bounds.Shortest_))
    Bounds.Shortest_ = Duration(0);
  return Bounds;
}

void JobLeader::Impl::updateHealth(const EndTasks &Ended,
                                   const std::vector<RunTimeBounds> &RunTimes) {
  const LiveServer *Live = LiveServers_.find(Ended.Server_);
  const TimePoint Now = Time_.now();
  for (std::size_t I = 0; I < Ended.Ends_.size(); ++I) {
    const TaskEnd &End = Ended.Ends_[I];
    if (End.Outcome_ == RunOutcome::Failed)
      Dispatcher_.recordFailure(End.Task_, Ended.Server_, Now);
    if (End.Outcome_ == RunOutcome::Failed)
      recordFailedRun(Ended.Server_, End.Task_.Job_,
                      "runs of several jobs failed");
    if (End.Outcome_ != RunOutcome::Done || !Live)
      continue;
    const StepSpec *Step = Machine_.read([&End](const JobRegistry &Registry) {
      return Registry.findStep(End.Task_);
    });
    // A filling task runs only as fast as other tasks let it, so its run time
    // says nothing about the server.
    const bool IsTelling = Step && !Step->Fills_;
    const bool WasSick =
        Health_.getHealthState(Ended.Server_, Now) != HealthState::Healthy;
    const bool IsFaulty = Health_.recordCompletion(
        Ended.Server_, End.Task_.Job_, End.Task_.Step_,
        IsTelling ? RunTimes[I] : RunTimeBounds{}, Now);
    if (IsFaulty)
      logQuarantine(Ended.Server_, End.Task_.Job_,
                    "runs take much longer than on other servers");
    else if (WasSick && Health_.getHealthState(Ended.Server_, Now) ==
                            HealthState::Healthy) {
      Event Line;
      Line.Kind_ = EventKind::ServerReturned;
      Line.Server_ = Ended.Server_;
      Line.Reason_ = "a run was completed there";
      Log_.write(Line);
    }
  }
}

void JobLeader::Impl::recordFailedRun(const std::string &Server,
                                      const std::string &Job,
                                      const char *Reason) {
  if (Health_.recordFailure(Server, Job, Time_.now()))
    logQuarantine(Server, Job, Reason);
}

void JobLeader::Impl::logQuarantine(const std::string &Server,
                                    const std::string &Job,
                                    const char *Reason) {
  Event Line;
  Line.Kind_ = EventKind::ServerQuarantined;
  Line.Server_ = Server;
  Line.Job_ = Job;
  Line.Reason_ = Reason;
  Log_.write(Line);
}

static std::string getStepText(const ReadyStep &Step) {
  return std::to_string(Step.Occurrence_) + "." + std::to_string(Step.Step_);
}

void JobLeader::Impl::logWaits() {
  const TimePoint Now = Time_.now();
  if (Now < NextWaitLog_)
    return;
  NextWaitLog_ = Now + WaitLogInterval;
  const WorkTimer::Scope Measured(Work_, LeaderWork::Telemetry);
  Machine_.read([&](const JobRegistry &Registry) {
    Dispatcher_.explainer().examineNext(Registry);
    return 0;
  });
  logPlansBesideOverdue();
  logOverdueSteps();
  logWaitReasons(Now);
  logUnusedRoom(Now);
  logReservations(Now);
}

/// Logs why the first waiting steps wait, once for each reason.
void JobLeader::Impl::logWaitReasons(TimePoint Now) {
  Machine_.read([&](const JobRegistry &Registry) {
    std::erase_if(LoggedWaitReasons_, [&Registry](const auto &Entry) {
      return Registry.readySteps().count(Entry.first) == 0;
    });
    std::size_t Examined = 0;
    for (const ReadyStep &Step : Registry.readySteps()) {
      if (++Examined > MaxLoggedWaits)
        break;
      std::string Reason = Dispatcher_.explainer().explainWait(
          Registry, LiveServers_, Step, Now);
      const auto [It, IsNew] = LoggedWaitReasons_.try_emplace(Step);
      // A step that has just become ready usually starts with the next report.
      if (IsNew || It->second == Reason)
        continue;
      It->second = Reason;
      Event Line;
      Line.Kind_ = EventKind::TaskWaiting;
      Line.Job_ = Step.Job_;
      Line.Task_ = getStepText(Step);
      Line.Reason_ = std::move(Reason);
      Log_.write(Line);
    }
    return 0;
  });
}

/// Logs the long-running steps that wait although servers have room for them.
void JobLeader::Impl::logUnusedRoom(TimePoint Now) {
  const auto Found = Machine_.read([&](const JobRegistry &Registry) {
    return Dispatcher_.explainer().findUnusedRoom(
        Registry, LiveServers_, Now - MaxWaitBesideRoom, Now, MaxLoggedWaits);
  });
  Meter_.add(JobCounter::WaitsBesideRoom, Found.size());
  for (const auto &[Step, Reason] : Found) {
    Event Line;
    Line.Kind_ = EventKind::RoomUnused;
    Line.Job_ = Step.Job_;
    Line.Task_ = getStepText(Step);
    Line.Reason_ = Reason;
    Log_.write(Line);
  }
}

/// Counts the plans beside overdue tasks that would fit; logs one of each kind.
void JobLeader::Impl::logPlansBesideOverdue() {
  std::uint64_t Taking = 0;
  std::uint64_t Leaving = 0;
  for (const PlanBesideOverdue &Plan : Dispatcher_.takePlansBesideOverdue()) {
    const bool IsTaking = Plan.BoundedCpus_ > 0;
    std::uint64_t &Count = IsTaking ? Taking : Leaving;
    if (++Count > 1)
      continue;
    Event Line;
    Line.Kind_ = EventKind::RoomUnused;
    Line.Job_ = Plan.Step_.Job_;
    Line.Task_ = getStepText(Plan.Step_);
    Line.Server_ = Plan.Server_;
    Line.Outcome_ = IsTaking ? "taken by bounded work" : "left";
    Line.Reason_ = std::to_string(Plan.BoundedCpus_) + " taken, " +
                   std::to_string(Plan.LeftCpus_) +
                   " left (thousandths of a processor)";
    Log_.write(Line);
  }
  Meter_.add(JobCounter::PlansTakingRoom, Taking);
  Meter_.add(JobCounter::PlansLeavingRoom, Leaving);
}

/// Meters how long overdue steps have waited beside room for two of their
/// tasks; logs the long waits.
void JobLeader::Impl::logOverdueSteps() {
  OverdueSteps &Overdue = Dispatcher_.overdueSteps();
  for (const Duration Time : Overdue.takeEndedWaits())
    Meter_.record(JobTimer::BesideRoom, Time);
  for (const OverdueSteps::LongWaitBesideRoom &Wait : Overdue.takeLongWaits()) {
    Event Line;
    Line.Kind_ = EventKind::RoomUnused;
    Line.Job_ = Wait.Step_.Job_;
    Line.Task_ = getStepText(Wait.Step_);
    Line.Server_ = Wait.Server_;
    Line.Outcome_ = "overdue beside room";
    Line.AgeMs_ =
        std::chrono::duration_cast<std::chrono::milliseconds>(Wait.Time_)
            .count();
    Line.Reason_ =
        std::to_string(Wait.FreeCpus_) + " thousandths of a processor free";
    Log_.write(Line);
  }
}

/// Logs the reservations that have begun since the last call.
void JobLeader::Impl::logReservations(TimePoint Now) {
  const auto &Current = Dispatcher_.capacitySurvey().reservations();
  std::erase_if(LoggedReservations_, [&Current](const auto &Entry) {
    const auto It = Current.find(Entry.first);
    return It == Current.end() || It->second.Step_ != Entry.second;
  });
  for (const auto &[Id, Value] : Current) {
    if (!LoggedReservations_.try_emplace(Id, Value.Step_).second)
      continue;
    Event Line;
    Line.Kind_ = EventKind::RoomReserved;
    Line.Server_ = Id;
    Line.Job_ = Value.Step_.Job_;
    Line.Task_ = getStepText(Value.Step_);
    Line.AgeMs_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                      Now - Value.Since_)
                      .count();
    const LiveServer *Live = LiveServers_.find(Id);
    Line.Reason_ =
        std::to_string(Value.Need_.MilliCpus_) +
        " thousandths of a processor; the server reported " +
        (Live ? std::to_string(
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        Now - Live->LastHeard_)
                        .count()) +
                    " ms ago"
              : "never");
    Log_.write(Line);
  }
}
