#include "jobs/FullFleet.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

static constexpr std::int64_t ServerMilliCpus = 32'000;
static constexpr std::size_t ServersPerRack = 8;
static constexpr std::uint64_t TasksPerLongRunningJob = 4;
static constexpr std::int64_t MinLongRunningMilliCpus = 4'000;
static constexpr std::uint64_t LongRunningMilliCpusRange = 6'001;
/// How much of the capacity long-running tasks need at first, in percent.
static constexpr std::int64_t LongRunningPercent = 94;
static constexpr std::int64_t ShortMilliCpus = 4'000;
static constexpr std::uint64_t TasksPerShortJob = 8;
static constexpr Duration ShortRunTime = 640ms;
static constexpr int SlowFactor = 6;
static constexpr Duration SlowServerInterval = 5s;
static constexpr Duration ShortJobInterval = 100ms;
static constexpr Duration CommitInterval = 20ms;
static constexpr Duration LookInterval = 100ms;
/// From an end to the report of it.
static constexpr Duration EndReportDelay = 50ms;
static constexpr Duration ReportInterval = 500ms;
static constexpr Duration RestartDelay = 2s;
/// A server that has got no answer for this time is not in service.
static constexpr Duration MaxAnswerAge = 1s;
/// Until a long-running task has waited for this time, short work that is due
/// earlier comes first, unless the task was lost with its server.
static constexpr Duration PrecedenceWait = 2s;
static constexpr std::size_t SmallLossDivisor = 7;
static constexpr std::size_t MaxSmallLosses = 2;
static constexpr Duration SmallLossInterval = 3s;

FullFleet::FullFleet(const FullFleetScenario &Scenario)
    : Scenario_(Scenario), Random_(Scenario.Seed_) {
  Leader_.start();
  Strand_.advance(100ms);
  Leader_.putConfiguration(makeConfiguration(), [](const Outcome<void> &) {});
  Strand_.runAll();
  Group_.IsHeld_ = true;
  BeganAt_ = Time_.now();
  if (Scenario_.LossAt_ != Duration::max())
    LossAt_ = BeganAt_ + Scenario_.LossAt_;
  if (Scenario_.TwoLossesAt_ != Duration::max())
    NextSmallLossAt_ = BeganAt_ + Scenario_.TwoLossesAt_;
  if (Scenario_.RackCrashAt_ != Duration::max())
    RackCrashAt_ = BeganAt_ + Scenario_.RackCrashAt_;
  NextCancel_ = NextFailure_ = NextFailingJob_ = BeganAt_ + FillTime;
  Servers_.resize(Scenario_.Servers_);
  for (std::size_t I = 0; I < Servers_.size(); ++I) {
    Servers_[I].Index_ = I;
    begin(Servers_[I]);
  }
  const std::int64_t Limit = static_cast<std::int64_t>(Scenario_.Servers_) *
                             ServerMilliCpus * LongRunningPercent / 100;
  std::int64_t Needed = 0;
  while (Needed < Limit) {
    submitLongRunningJob();
    Needed = 0;
    for (const auto &[Task, Entry] : LongRunning_)
      Needed += Entry.Spec_.Need_.MilliCpus_;
  }
}

void FullFleet::run() {
  while (Time_.now() - BeganAt_ < Scenario_.Length_)
    runStep();
}

/// Returns whether the time has come, and sets the next one.
bool FullFleet::isDue(TimePoint &Next, Duration Interval) const {
  if (Interval == Duration(0) || Time_.now() < Next)
    return false;
  Next = Time_.now() + Interval;
  return true;
}

void FullFleet::runStep() {
  Strand_.advance(Step);
  const TimePoint Now = Time_.now();
  if (isDue(NextCommit_, CommitInterval)) {
    Group_.commitAll();
    Strand_.runAll();
  }
  if (isDue(NextShortJobs_, ShortJobInterval))
    submitShortJobs();
  if (isDue(NextCancel_, Scenario_.CancelInterval_)) {
    cancelRandomJob();
    submitLongRunningJob();
  }
  if (isDue(NextFailure_, Scenario_.FailureInterval_))
    failRandomTask();
  if (isDue(NextFailingJob_, Scenario_.FailingJobInterval_)) {
    const std::string Job = "failing" + std::to_string(++Jobs_);
    FailingJobs_.insert(Job);
    submit(Job, makeStep(TasksPerShortJob, ShortMilliCpus));
  }
  if (Now >= LossAt_) {
    LossAt_ = TimePoint::max();
    loseEvery(4, 0);
    for (auto &[Task, Entry] : LongRunning_)
      if (!Entry.IsRunning_ && Entry.WaitingSince_ > Now)
        Entry.LostAt_ = Now;
  }
  if (Now >= NextSmallLossAt_ && SmallLosses_ < MaxSmallLosses) {
    loseEvery(SmallLossDivisor, SmallLosses_++);
    NextSmallLossAt_ = Now + SmallLossInterval;
  }
  if (Now >= RackCrashAt_) {
    RackCrashAt_ = TimePoint::max();
    for (std::size_t I = 0; I < ServersPerRack; ++I)
      if (Servers_[I].IsUp_) {
        lose(Servers_[I]);
        Servers_[I].RestartsAt_ = Now + RestartDelay;
      }
  }
  for (Server &Backend : Servers_) {
    if (!Backend.IsUp_ && Backend.RestartsAt_ <= Now)
      begin(Backend);
    if (!Backend.IsUp_)
      continue;
    endDueRuns(Backend);
    if (!Backend.IsWaiting_ && Backend.NextReport_ <= Now)
      report(Backend.Index_);
  }
  if (isDue(NextLook_, LookInterval))
    look();
  if (isDue(NextRoomLook_, RoomLookInterval))
    lookForTasksDownBesideRoom();
}

void FullFleet::submit(const std::string &Job, const StepSpec &Spec) {
  Leader_.call({CallKind::Submit, Host, Prefix + Job, makeJob("", {Spec})},
               [](const Outcome<JobCallReply> &Reply) {
                 EXPECT_TRUE(Reply &&
                             Reply.value().Outcome_ == CallOutcome::Done);
               });
}

void FullFleet::submitLongRunningJob() {
  const std::string Job = "lasting" + std::to_string(++Jobs_);
  const std::int64_t MilliCpus =
      MinLongRunningMilliCpus +
      static_cast<std::int64_t>(drawBelow(LongRunningMilliCpusRange));
  StepSpec Spec = makeStep(TasksPerLongRunningJob, MilliCpus);
  Spec.LongRunning_ = true;
  Spec.MaxUnavailable_ = Scenario_.MaxUnavailable_;
  Spec.Image_ = "image" + std::to_string(drawBelow(4));
  if (drawBelow(2) == 0)
    Spec.SpreadLimit_ = 1;
  if (drawBelow(4) == 0)
    Spec.Label_ = "a";
  if (Scenario_.HasServing_ && drawBelow(2) == 0)
    Spec.TailTargetMs_ = 100;
  submit(Job, Spec);
  LongRunningJobs_.push_back(Job);
  for (std::uint64_t I = 0; I < TasksPerLongRunningJob; ++I) {
    LongRunningTask &Task = LongRunning_[{Job, 0, 0, I}];
    Task.Spec_ = Spec;
    Task.WaitingSince_ = Time_.now();
    Task.CountsFrom_ = Time_.now() + PrecedenceWait;
  }
}

/// Keeps many short tasks waiting.
void FullFleet::submitShortJobs() {
  const std::size_t Waiting = Machine_.read([](const JobRegistry &Registry) {
    return Registry.readySteps().size() -
           Registry.readyLongRunningSteps().size();
  });
  if (Waiting * TasksPerShortJob < Scenario_.MinShortTasksWaiting_) {
    StepSpec Spec = makeStep(TasksPerShortJob, ShortMilliCpus);
    Spec.EstimateMs_ = ShortRunTime / 1ms;
    submit("short" + std::to_string(++Jobs_), Spec);
  }
}

void FullFleet::cancelRandomJob() {
  if (LongRunningJobs_.empty())
    return;
  const std::size_t Index = drawBelow(LongRunningJobs_.size());
  const std::string Job = LongRunningJobs_[Index];
  LongRunningJobs_.erase(LongRunningJobs_.begin() +
                         static_cast<std::ptrdiff_t>(Index));
  std::erase_if(LongRunning_,
                [&Job](const auto &Entry) { return Entry.first.Job_ == Job; });
  Leader_.call({CallKind::Cancel, Host, Prefix + Job, {}},
               [](const Outcome<JobCallReply> &) {});
}

void FullFleet::failRandomTask() {
  Server &Backend = Servers_[drawBelow(Servers_.size())];
  for (const auto &[Task, Active] : Backend.Running_)
    if (LongRunning_.count(Task) != 0)
      return endRun(Backend, TaskKey(Task), RunOutcome::Failed);
}

ServerFacts FullFleet::getFacts(const Server &Backend) const {
  ServerFacts Facts = makeServer(Backend.Id_, ServerMilliCpus);
  Facts.Address_ = "a" + std::to_string(Backend.Index_) + ":80";
  Facts.Rack_ = "r" + std::to_string(Backend.Index_ / ServersPerRack);
  Facts.Labels_ = {Facts.Rack_};
  if (Backend.Index_ % 2 == 1)
    Facts.Labels_.push_back("a");
  return Facts;
}

/// Begins a new incarnation of the server.
void FullFleet::begin(Server &Backend) {
  Server Next;
  Next.Index_ = Backend.Index_;
  Next.Id_ = "i" + std::to_string(++Incarnations_);
  Next.NextReport_ = Time_.now() + 10ms * static_cast<int>(drawBelow(50));
  Next.Free_ = getFacts(Next).Capacity_;
  Backend = std::move(Next);
}

void FullFleet::lose(Server &Backend) {
  Backend.IsUp_ = false;
  const TimePoint LeaseEnd = Backend.SentAt_ + Settings_.Lease_;
  LostLeaseEnds_[Backend.Id_] = LeaseEnd;
  for (const auto &[Task, Active] : Backend.Running_) {
    const auto It = LongRunning_.find(Task);
    if (It == LongRunning_.end())
      continue;
    It->second.IsRunning_ = false;
    It->second.DownSince_ = Time_.now();
    It->second.WaitingSince_ = It->second.CountsFrom_ = LeaseEnd;
  }
  Backend.Running_.clear();
}

/// Tasks that are placed on a lost server wait from the end of its lease on:
/// the leader does not know that the start, or the report of an end, was lost.
void FullFleet::updateLostPlacements() {
  Machine_.read([this](const JobRegistry &Registry) {
    for (auto &[Task, Entry] : LongRunning_) {
      const TaskRecord *Record = Registry.findTask(Task);
      if (Entry.IsRunning_ || !Record)
        continue;
      for (const Placement &Placed : Record->Placements_) {
        const auto Lost = LostLeaseEnds_.find(Placed.Server_);
        if (Lost == LostLeaseEnds_.end())
          continue;
        Entry.WaitingSince_ = Entry.CountsFrom_ = Lost->second;
        if (Time_.now() >= Lost->second)
          continue;
        Entry.RoomSince_.reset();
        Entry.ReclaimableSince_.reset();
      }
    }
    return 0;
  });
}

void FullFleet::endDueRuns(Server &Backend) {
  std::vector<std::pair<TaskKey, RunOutcome>> Ended;
  for (const auto &[Task, Active] : Backend.Running_)
    if (Active.EndsAt_ <= Time_.now())
      Ended.emplace_back(Task, Active.EndsAs_);
  for (const auto &[Task, How] : Ended)
    endRun(Backend, Task, How);
}

void FullFleet::endRun(Server &Backend, const TaskKey &Task, RunOutcome How) {
  const auto Active = Backend.Running_.find(Task);
  const Resources Need = Active->second.Need_;
  Backend.Free_ = Backend.Free_ + Need;
  if (Active->second.IsShort_)
    Backend.UsedByShortWork_ = Backend.UsedByShortWork_ - Need;
  Backend.Ended_.push_back(
      {++Backend.LastEnd_, {Task, Active->second.Number_, How, ""}});
  Backend.Running_.erase(Active);
  Backend.NextReport_ =
      std::min(Backend.NextReport_, Time_.now() + EndReportDelay);
  const auto It = LongRunning_.find(Task);
  if (It == LongRunning_.end())
    return;
  It->second.IsRunning_ = false;
  It->second.DownSince_ = Time_.now();
  It->second.WaitingSince_ = Time_.now();
  It->second.CountsFrom_ = Time_.now() + PrecedenceWait;
}

void FullFleet::report(std::size_t Index) {
  Server &Backend = Servers_[Index];
  ServerReport Report;
  Report.Facts_ = getFacts(Backend);
  Report.Sequence_ = ++Backend.Sequence_;
  Report.Ended_ = Backend.Ended_;
  for (const auto &[Task, Active] : Backend.Running_) {
    const bool IsLongRunning = LongRunning_.count(Task) != 0;
    Report.Running_.push_back(
        {Task, Active.Number_, "", IsLongRunning ? 100U : 50U, 5});
  }
  Backend.IsWaiting_ = true;
  Backend.SentAt_ = Time_.now();
  Leader_.report(Report, [this, Index, Id = Backend.Id_](
                             const Outcome<ServerOrders> &Orders) {
    Server &Reporter = Servers_[Index];
    if (Reporter.Id_ != Id || !Reporter.IsUp_)
      return;
    Reporter.IsWaiting_ = false;
    Reporter.NextReport_ = Time_.now() + ReportInterval;
    if (Orders)
      handleAnswer(Reporter, Orders.value());
  });
  Strand_.runAll();
}

void FullFleet::handleAnswer(Server &Backend, const ServerOrders &Orders) {
  const TimePoint Now = Time_.now();
  std::erase_if(Backend.Ended_, [&Orders](const EndedTask &End) {
    return End.Number_ <= Orders.EndsNoted_;
  });
  const bool HasNews = !Backend.Ended_.empty() || !Orders.Starts_.empty();
  Backend.NextReport_ =
      Now + (HasNews ? EndReportDelay
                     : std::chrono::milliseconds(Orders.NextReportMs_));
  if (Orders.LeaseMs_ == 0)
    return;
  Backend.AnsweredAt_ = Now;
  Backend.LeaseEnd_ =
      std::max(Backend.LeaseEnd_,
               Backend.SentAt_ + std::chrono::milliseconds(Orders.LeaseMs_));
  for (const StopOrder &Stop : Orders.Stops_) {
    std::uint64_t &Highest = Backend.HighestRunNumbers_[Stop.Task_];
    Highest = std::max(Highest, Stop.Run_);
    const auto Active = Backend.Running_.find(Stop.Task_);
    if (Active != Backend.Running_.end() && Active->second.Number_ == Stop.Run_)
      Yields_ += LongRunning_.count(Stop.Task_);
    if (Active != Backend.Running_.end() && Active->second.Number_ == Stop.Run_)
      endRun(Backend, Stop.Task_, RunOutcome::Stopped);
  }
  for (const StartOrder &Start : Orders.Starts_)
    startRun(Backend, Start);
}

void FullFleet::startRun(Server &Backend, const StartOrder &Start) {
  std::uint64_t &Highest = Backend.HighestRunNumbers_[Start.Task_];
  if (Start.Run_ <= Highest)
    return;
  Highest = Start.Run_;
  const auto It = LongRunning_.find(Start.Task_);
  Run Active;
  Active.Number_ = Start.Run_;
  if (It != LongRunning_.end()) {
    ++LongRunningStarts_;
    recordStart(Backend, Start.Task_);
    Active.Need_ = It->second.Spec_.Need_;
  } else {
    ++ShortStarts_;
    Active.IsShort_ = true;
    const bool IsSlow = Scenario_.HasSlowServers_ &&
                        Backend.Index_ % ServersPerRack ==
                            static_cast<std::size_t>((Time_.now() - BeganAt_) /
                                                     SlowServerInterval) %
                                ServersPerRack;
    Active.Need_ = Resources::makeFor(ShortMilliCpus, 100);
    Backend.UsedByShortWork_ = Backend.UsedByShortWork_ + Active.Need_;
    Active.EndsAt_ =
        Time_.now() + (IsSlow ? SlowFactor * ShortRunTime : ShortRunTime);
    if (FailingJobs_.count(Start.Task_.Job_) != 0) {
      Active.EndsAs_ = RunOutcome::Failed;
      Active.EndsAt_ = Time_.now() + ShortRunTime / 4;
    }
  }
  Backend.Free_ = Backend.Free_ - Active.Need_;
  EXPECT_GE(Backend.Free_.MilliCpus_, 0) << Backend.Id_;
  Backend.Running_[Start.Task_] = Active;
}

/// Those that have not waited for longer do not count the room that the task
/// takes.
void FullFleet::recordStart(const Server &Backend, const TaskKey &Task) {
  LongRunningTask &Started = LongRunning_.at(Task);
  for (auto &[Key, Waiting] : LongRunning_) {
    const StepSpec &Spec = Waiting.Spec_;
    if (Waiting.IsRunning_ || Started.WaitingSince_ > Waiting.WaitingSince_ ||
        !mayRun(Backend, Key, Spec))
      continue;
    if (Spec.Need_.fitsIn(Backend.Free_))
      Waiting.RoomSince_.reset();
    if (Spec.Need_.fitsIn(Backend.Free_ + Backend.UsedByShortWork_))
      Waiting.ReclaimableSince_.reset();
  }
  Started.IsRunning_ = true;
  Started.DownSince_.reset();
  Started.RoomLooks_ = 0;
  if (std::exchange(Started.LostAt_, std::nullopt))
    ++LostTasks_;
  Started.RoomSince_.reset();
  Started.ReclaimableSince_.reset();
}

bool FullFleet::isInService(const Server &Backend) const {
  return Backend.IsUp_ && Time_.now() - Backend.AnsweredAt_ <= MaxAnswerAge &&
         Backend.LeaseEnd_ > Time_.now();
}

bool FullFleet::mayRun(const Server &Backend, const TaskKey &Task,
                       const StepSpec &Spec) const {
  if (!Spec.Label_.empty() && Backend.Index_ % 2 == 0)
    return false;
  const auto Siblings = std::count_if(
      Backend.Running_.begin(), Backend.Running_.end(),
      [&Task](const auto &Entry) { return Entry.first.Job_ == Task.Job_; });
  return Spec.SpreadLimit_ == 0 ||
         static_cast<std::uint64_t>(Siblings) < Spec.SpreadLimit_;
}

void FullFleet::countLongAbsences() {
  for (auto &[Task, Entry] : LongRunning_) {
    if (!Entry.LostAt_ || Time_.now() - *Entry.LostAt_ <= LongAbsence)
      continue;
    Entry.LostAt_.reset();
    ++LostTasks_;
    ++LongAbsences_;
  }
}

void FullFleet::loseEvery(std::size_t Divisor, std::size_t Remainder) {
  for (std::size_t I = Remainder; I < Servers_.size(); I += Divisor)
    lose(Servers_[I]);
}
