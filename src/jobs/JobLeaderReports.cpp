#include "jobs/JobLeaderImpl.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// A server that refused a start gets no others for this time, as its free
/// resources differ from those in the replicated state.
static constexpr Duration RefusalPause = 500ms;
/// The longest time for which pending commits delay an answer.
static constexpr Duration MaxAnswerDelay = 300ms;
/// A server that has sent a report which arrived too late reports again after
/// this time.
static constexpr std::uint64_t LateReportMs = 100;

void JobLeader::Impl::learnRunTimes(const JobRegistry &Registry,
                                    const ServerReport &Report) {
  if (Settings_.RunTimes_.IsEnabled_)
    RunTimes_.learn(Registry, Report, Time_.now());
}

void JobLeader::Impl::observe(const ServerReport &Report) {
  ReportAges_.isTooLate(Report, Time_.now());
  Machine_.read([&](const JobRegistry &Registry) {
    learnRunTimes(Registry, Report);
    return Learner_.learn(Registry, Report, Time_.now());
  });
}

void JobLeader::Impl::report(ServerReport Report, Done<ServerOrders> Reply) {
  if (!isLeading())
    return Reply(makeNotLeaderError());
  const WorkTimer::Scope Measured(Work_, LeaderWork::Reports);
  ++Figures_.Reports_;
  Figures_.ReportsWaitedMs_ += Report.WaitedMs_;
  PeriodicWork_.recordReport(std::chrono::milliseconds(Report.WaitedMs_));
  resolveIncarnation(Report);
  // The ends in a late report of an ended incarnation count, but it gets no
  // orders.
  const std::string &Id = Report.Facts_.Id_;
  const bool IsOver = Leaving_.count(Id) != 0 ||
                      Machine_.read([&Id](const JobRegistry &Registry) {
                        return !Registry.findServer(Id) && Registry.isOver(Id);
                      });
  if (IsOver) {
    Meter_.add(JobCounter::ReportsOfEndedIncarnations, 1);
    return recordLateEnds(Report, Reply);
  }
  const TimePoint ReceivedAt =
      Time_.now() - std::chrono::milliseconds(Report.WaitedMs_);
  if (ReportAges_.isTooLate(Report, ReceivedAt)) {
    Meter_.add(JobCounter::ReportsLate, 1);
    return recordLateEnds(Report, [Reply, IsDraining = Report.IsDraining_](
                                      Outcome<ServerOrders> Orders) {
      // A draining server would take an answer for an acknowledgement.
      if (IsDraining)
        return Reply(fail(ErrorCode::Unavailable, "the report is too old"));
      if (Orders)
        Orders.value().NextReportMs_ = LateReportMs;
      Reply(std::move(Orders));
    });
  }
  const auto Pending = std::make_shared<PendingReport>();
  Pending->Report_ = std::move(Report);
  Pending->Reply_ = std::move(Reply);
  Pending->ArrivedAt_ = Time_.now();
  Pending->SentBy_ = Pending->ArrivedAt_ -
                     std::chrono::milliseconds(Pending->Report_.WaitedMs_);
  admit(Pending);
}

void JobLeader::Impl::recordLateEnds(const ServerReport &Report,
                                     const Done<ServerOrders> &Reply) {
  if (!isLeading())
    return Reply(makeNotLeaderError());
  EndTasks Command{Report.Facts_.Id_, {}};
  Machine_.read([&](const JobRegistry &Registry) {
    for (const EndedTask &Ended : Report.Ended_) {
      const TaskRecord *Task = Registry.findTask(Ended.End_.Task_);
      const bool IsOpen = Task && Task->State_ != TaskState::Done;
      if (Ended.End_.Outcome_ == RunOutcome::Done && IsOpen)
        Command.Ends_.push_back(Ended.End_);
    }
    return 0;
  });
  if (Command.Ends_.empty())
    return Reply(ServerOrders{});
  propose(Command,
          [this, Command, Reply](const Outcome<CommandResult> &Applied) {
            if (!Applied)
              return Reply(Applied.error());
            logEnds(Command.Server_, Command.Ends_);
            for (const TaskEnd &End : Command.Ends_)
              handleJobEnd(End.Task_.Job_);
            Reply(ServerOrders{});
          });
}

/// Whether the end of a run on the server changes the replicated state.
static bool changesState(const JobRegistry &Registry,
                         const ServerRecord &Server, const TaskEnd &End) {
  const auto Placed = Server.Placed_.find(End.Task_);
  if (Placed != Server.Placed_.end() && Placed->second == End.Run_)
    return true;
  const TaskRecord *Task = Registry.findTask(End.Task_);
  return End.Outcome_ == RunOutcome::Done && Task &&
         Task->State_ != TaskState::Done;
}

void JobLeader::Impl::commitEnds(const PendingReportPtr &Pending) {
  const ServerReport &Report = Pending->Report_;
  const std::string &Id = Report.Facts_.Id_;
  const TimePoint Now = Time_.now();
  const bool WasDraining =
      LiveServers_.find(Id) && LiveServers_.find(Id)->IsDraining_;
  Pending->IsRecorded_ = LiveServers_.recordReport(Report, Now, getMaxLease());
  if (Report.IsDraining_ && !WasDraining && Pending->IsRecorded_) {
    Event Line;
    Line.Kind_ = EventKind::ServerDraining;
    Line.Server_ = Id;
    Line.Count_ = Report.RemainingMs_;
    Log_.write(Line);
  }
  if (!Pending->IsRecorded_) {
    Meter_.add(JobCounter::ReportsLate, 1);
    return reply(Pending, ServerOrders{});
  }
  {
    const WorkTimer::Scope Learning(Work_, LeaderWork::Learning);
    Setter_.updatePaces(Report);
  }
  EndTasks Command{Id, {}};
  // Taken now, as the server may report again before the commit.
  std::vector<RunTimeBounds> RunTimes;
  Machine_.read([&](const JobRegistry &Registry) {
    learnRunTimes(Registry, Report);
    const ServerRecord *Server = Registry.findServer(Id);
    if (!Server)
      return 0;
    for (const EndedTask &Ended : Report.Ended_)
      if (changesState(Registry, *Server, Ended.End_)) {
        Command.Ends_.push_back(Ended.End_);
        RunTimes.push_back(boundRunTime(Registry, Id, Ended));
        Pending->FirstUncommittedEnd_ =
            std::min(Pending->FirstUncommittedEnd_, Ended.Number_);
      }
    return 0;
  });
  if (Command.Ends_.empty())
    return startTasks(Pending);
  deferAnswer(Pending);
  const bool AnyRefused = std::any_of(
      Command.Ends_.begin(), Command.Ends_.end(),
      [](const TaskEnd &End) { return End.Outcome_ == RunOutcome::Refused; });
  if (AnyRefused)
    LiveServers_.find(Id)->NoStartsUntil_ = Now + RefusalPause;
  propose(Command, [this, Pending, Command, RunTimes = std::move(RunTimes)](
                       const Outcome<CommandResult> &Applied) {
    const WorkTimer::Scope Measured(Work_, LeaderWork::Commits);
    if (!Applied)
      return reply(Pending, Applied.error());
    Figures_.Ends_ += Command.Ends_.size();
    Pending->FirstUncommittedEnd_ = NoUncommittedEnd;
    Meter_.record(JobTimer::EndCommit, Time_.now() - Pending->SentBy_);
    logEnds(Command.Server_, Command.Ends_);
    beginAbsences(Command, Pending->SentBy_);
    updateHealth(Command, RunTimes);
    for (const TaskEnd &End : Command.Ends_)
      handleJobEnd(End.Task_.Job_);
    // If the server has reported again since, starts are planned for
    // the later report, and this answer has none.
    const LiveServer *Live = LiveServers_.find(Command.Server_);
    if (Live && Live->LastSequence_ == Pending->Report_.Sequence_)
      startTasks(Pending);
    else
      answer(Pending);
  });
}

/// Returns the kind of work that the task is, and what it reserves.
static std::string describeWork(const JobRegistry &Registry,
                                const TaskKey &Task) {
  const StepSpec *Step = Registry.findStep(Task);
  if (!Step)
    return "";
  const std::string Cpus = std::to_string(Step->Need_.MilliCpus_);
  if (Step->Fills_)
    return "fills, up to " + Cpus + " thousandths of a processor";
  return (Step->LongRunning_ ? "long-running, " : "bounded, ") + Cpus +
         " thousandths of a processor";
}

void JobLeader::Impl::logStart(const TaskStart &Start, bool IsPlaced,
                               Duration Age) {
  Event Line;
  Line.Kind_ = EventKind::TaskStarted;
  Line.Reason_ = Machine_.read([&Start](const JobRegistry &Registry) {
    return describeWork(Registry, Start.Task_);
  });
  Line.Job_ = Start.Task_.Job_;
  Line.Task_ = toText(Start.Task_);
  Line.Attempt_ = Start.Run_;
  Line.Server_ = Start.Server_;
  Line.Outcome_ = IsPlaced ? "placed" : "refused";
  Line.AgeMs_ =
      std::chrono::duration_cast<std::chrono::milliseconds>(Age).count();
  Log_.write(Line);
}

void JobLeader::Impl::startTasks(const PendingReportPtr &Pending) {
  const std::string &Id = Pending->Report_.Facts_.Id_;
  std::vector<TaskStart> Starts =
      Machine_.read([&](const JobRegistry &Registry) {
        const WorkTimer::Scope Planning(Work_, LeaderWork::Plans);
        return Dispatcher_.plan(Registry, LiveServers_, Id, Time_.now(),
                                Time_.wallNow());
      });
  Meter_.add(JobCounter::PlanRecordsRead, Dispatcher_.takeRecordsRead());
  Meter_.add(JobCounter::OrderStepsRead, Dispatcher_.takeOrderStepsRead());
  if (Starts.empty())
    return answer(Pending);
  deferAnswer(Pending);
  const TimePoint PlannedAt = Time_.now();
  for (const Duration Waited : Dispatcher_.takePlannedWaits())
    Meter_.record(JobTimer::StartPlan, Waited);
  propose(StartTasks{Starts}, [this, Pending, Starts, PlannedAt](
                                  const Outcome<CommandResult> &Applied) {
    const WorkTimer::Scope Measured(Work_, LeaderWork::Commits);
    Dispatcher_.releaseProposed(Starts);
    if (!Applied)
      return reply(Pending, Applied.error());
    Meter_.record(JobTimer::StartCommit, Time_.now() - PlannedAt);
    for (std::size_t I = 0; I < Starts.size(); ++I) {
      const bool IsPlaced = Applied.value().Accepted_[I];
      if (!Log_.leavesOut(EventKind::TaskStarted))
        logStart(Starts[I], IsPlaced, Time_.now() - Pending->ArrivedAt_);
      meterStart(Starts[I], IsPlaced);
    }
    endAbsences(Starts, Applied.value().Accepted_);
    answer(Pending);
  });
}

void JobLeader::Impl::reply(const PendingReportPtr &Pending,
                            Outcome<ServerOrders> Orders) {
  if (!std::exchange(Pending->IsAnswered_, true))
    Pending->Reply_(std::move(Orders));
}

void JobLeader::Impl::deferAnswer(const PendingReportPtr &Pending) {
  if (!std::exchange(Pending->AwaitsCommit_, true))
    PendingReports_.push_back(Pending);
}

/// Answers reports whose commits take long, so that leases do not wait for
/// them. Changes that are committed later go into the next answer.
void JobLeader::Impl::answerOverdueReports() {
  const TimePoint Now = Time_.now();
  while (!PendingReports_.empty() &&
         (PendingReports_.front()->IsAnswered_ ||
          Now - PendingReports_.front()->ArrivedAt_ >= MaxAnswerDelay)) {
    const PendingReportPtr Next = std::move(PendingReports_.front());
    PendingReports_.pop_front();
    if (Next->IsAnswered_)
      continue;
    Meter_.add(JobCounter::ReportsAnsweredEarly, 1);
    answer(Next);
  }
}

/// Returns the time to the server's next report. Whatever waits for a later
/// report makes the server a busy one.
Duration JobLeader::Impl::chooseInterval(const PendingReport &Pending,
                                         const ServerOrders &Orders) {
  const ServerReport &Report = Pending.Report_;
  LiveServer &Live = *LiveServers_.find(Report.Facts_.Id_);
  const bool IsIdle = Report.Running_.empty() && !Pending.AwaitsCommit_ &&
                      Orders.Starts_.empty() && Orders.Stops_.empty() &&
                      Live.isInService() && Live.NoStartsUntil_ <= Time_.now();
  LiveServers_.setIdle(Live, IsIdle);
  return IsIdle ? Pacing_.getIdleInterval(LiveServers_.countIdle())
                : Pacing_.getBusyInterval();
}

void JobLeader::Impl::answer(const PendingReportPtr &Pending) {
  if (Pending->IsAnswered_)
    return;
  const WorkTimer::Scope Measured(Work_, LeaderWork::Answers);
  const ServerReport &Report = Pending->Report_;
  const std::string &Id = Report.Facts_.Id_;
  const LiveServer *Live = LiveServers_.find(Id);
  const bool IsKnown = Live && !Live->IsRemoving_ &&
                       Machine_.read([&](const JobRegistry &Registry) {
                         return Registry.findServer(Id) != nullptr;
                       });
  if (!IsKnown)
    return reply(Pending,
                 fail(ErrorCode::Unavailable, "the server is being removed"));
  // The server has sent a later report and no longer waits for this answer, so
  // it would not see these orders.
  if (Live->LastSequence_ != Report.Sequence_) {
    Meter_.add(JobCounter::ReportsSuperseded, 1);
    return reply(Pending, ServerOrders{});
  }
  std::vector<TaskEnd> NeverRan;
  ServerOrders Orders = makeOrders(Report, NeverRan);
  if (!NeverRan.empty())
    propose(EndTasks{Id, NeverRan},
            [this, Ended = EndTasks{Id, NeverRan},
             Since = Pending->SentBy_](const Outcome<CommandResult> &Applied) {
              if (Applied)
                beginAbsences(Ended, Since);
            });
  Orders.LeaseMs_ = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Settings_.Lease_)
          .count());
  Orders.FencingToken_ = Term_;
  for (const EndedTask &Ended : Report.Ended_)
    if (Ended.Number_ < Pending->FirstUncommittedEnd_)
      Orders.EndsNoted_ = std::max(Orders.EndsNoted_, Ended.Number_);
  Orders.NextReportMs_ = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          chooseInterval(*Pending, Orders))
          .count());
  Setter_.addPaceOrders(Report, *LiveServers_.find(Id), Orders);
  // Another member may have become the leader.
  const TimePoint Now = Time_.now();
  if (Group_.findLeaseTerm(Now) != Term_)
    return reply(Pending, makeNotLeaderError());
  const TimePoint LeaseEnd = Pending->SentBy_ + getMaxLease();
  Meter_.record(JobTimer::LeaseRenewal,
                std::max<Duration>(LeaseEnd - Live->LeaseEnd_, Duration(0)));
  LiveServers_.extendLease(Id, LeaseEnd);
  if (const std::optional<Duration> Waited =
          PendingStops_.recordAnswer(Id, !Orders.Stops_.empty(), Now))
    Meter_.record(JobTimer::Stop, *Waited);
  Meter_.record(JobTimer::Heartbeat, Now - Pending->ArrivedAt_);
  if (Now - Pending->ArrivedAt_ > OverloadDelay)
    markOverloaded();
  reply(Pending, std::move(Orders));
}
