#include "jobs/CrashSimulator.h"

#include "tulipweir/jobs/IncarnationId.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

static constexpr std::int64_t ServerMilliCpus = 16'000;
static constexpr std::uint64_t TasksPerJob = 6;
static constexpr std::size_t MaxStartsAfterThirdCrash = 2;
static constexpr std::size_t CrashThreshold = 3;

CrashSimulator::CrashSimulator(const CrashScenario &Scenario)
    : Scenario_(Scenario), Random_(Scenario.Seed_) {
  Leader_.start();
  Strand_.advance(100ms);
  Leader_.putConfiguration(makeConfiguration(), [](const Outcome<void> &) {});
  Strand_.runAll();
  BeganAt_ = Time_.now();
  Relays_.FlushDelay_ = Scenario_.FlushDelay_;
  const auto After = [this](Duration Interval) {
    return Interval == Duration(0) ? TimePoint::max() : BeganAt_ + Interval;
  };
  NextLeader_ = After(Scenario_.LeaderInterval_);
  NextMassCrash_ = After(Scenario_.MassCrashInterval_);
  NextPartition_ = After(Scenario_.PartitionInterval_);
  Servers_.resize(Scenario_.Servers_);
  for (std::size_t I = 0; I < Servers_.size(); ++I) {
    Servers_[I].Address_ = "a" + std::to_string(I) + ":80";
    restartServer(Servers_[I]);
  }
}

void CrashSimulator::submit(
    const std::string &Job, const std::vector<StepSpec> &Steps,
    const std::set<std::pair<std::uint64_t, std::uint64_t>> &CrashingTasks) {
  if (!CrashingTasks.empty())
    CrashingTasks_[Job] = CrashingTasks;
  const bool IsFinite =
      std::none_of(Steps.begin(), Steps.end(),
                   [](const StepSpec &Spec) { return Spec.LongRunning_; });
  if (CrashingTasks.empty() && IsFinite)
    Finite_.insert(Job);
  PendingJobs_[Job] = Steps;
  submitPendingJobs();
}

/// Clients retry until they get an answer.
void CrashSimulator::submitPendingJobs() {
  for (const auto &[Job, Steps] : std::map(PendingJobs_))
    Leader_.call({CallKind::Submit, Host, Prefix + Job, makeJob("", Steps)},
                 [this, Job = Job](const Outcome<JobCallReply> &Reply) {
                   if (Reply && Reply.value().Outcome_ == CallOutcome::Done)
                     PendingJobs_.erase(Job);
                 });
  Strand_.runAll();
}

void CrashSimulator::run(Duration Length) {
  const TimePoint End = Time_.now() + Length;
  while (Time_.now() < End)
    runStep();
  Machine_.read([this](const JobRegistry &Registry) {
    for (const auto &[Id, Job] : Registry.jobs())
      if (Job.State_ == JobState::Failed && CrashingTasks_.count(Id) == 0)
        Violations_.push_back(Id + ": healthy, but its state is failed");
    return 0;
  });
}

void CrashSimulator::runStep() {
  Strand_.advance(Step);
  const TimePoint Now = Time_.now();
  if (Now >= NextLeader_)
    changeLeader();
  submitPendingJobs();
  if (Now >= NextJob_ && Now - BeganAt_ < Scenario_.HealthyJobsFor_)
    submitHealthyJob();
  if (Now >= NextMassCrash_) {
    NextMassCrash_ = Now + Scenario_.MassCrashInterval_;
    for (Server &Backend : Servers_)
      if (Backend.IsUp_ && draw(5) == 0)
        crash(Backend);
  }
  if (Now >= NextPartition_) {
    NextPartition_ = Now + Scenario_.PartitionInterval_;
    Servers_[draw(Servers_.size())].PartitionedUntil_ = Now + 8s;
  }
  for (Server &Backend : Servers_) {
    if (!Backend.IsUp_ && Scenario_.RestartsServers_ &&
        Backend.RestartsAt_ <= Now)
      restartServer(Backend);
    if (Backend.IsUp_)
      updateRuns(Backend);
    if (Backend.IsUp_ && Backend.NextReport_ <= Now &&
        Backend.PartitionedUntil_ <= Now)
      report(Backend);
  }
}

/// A new leader has the state of the log and what this member noted of it.
void CrashSimulator::changeLeader() {
  NextLeader_ = Time_.now() + Scenario_.LeaderInterval_;
  Group_.IsLeader_ = false;
  Strand_.advance(100ms);
  ++Group_.Term_;
  Group_.IsLeader_ = true;
}

void CrashSimulator::submitHealthyJob() {
  NextJob_ = Time_.now() + Scenario_.JobInterval_;
  const std::string Id = "sound" + std::to_string(HealthyJobs_++);
  StepSpec Tasks = makeStep(TasksPerJob, 1000);
  if (draw(8) == 0)
    Tasks = makeServing(2, "image", 500);
  submit(Id, {Tasks}, {});
}

void CrashSimulator::restartServer(Server &Backend) {
  const bool IsFirst = Backend.Id_.empty();
  const std::size_t Index =
      static_cast<std::size_t>(&Backend - Servers_.data());
  Server Replacement;
  Replacement.Address_ = Backend.Address_;
  ++Incarnations_;
  Replacement.Id_ =
      Scenario_.KeepsIds_
          ? IncarnationId::make("i" + std::to_string(Index), Incarnations_)
                .toString()
          : "i" + std::to_string(Incarnations_);
  Replacement.StartedAt_ = Time_.now();
  Replacement.NextReport_ = Time_.now() + 10ms * static_cast<int>(draw(50));
  if (Index < Scenario_.UnstableServers_)
    Replacement.CrashesAt_ =
        Time_.now() + 2s + 100ms * static_cast<int>(draw(IsFirst ? 200 : 40));
  Backend = std::move(Replacement);
}

void CrashSimulator::crash(Server &Backend) {
  ++Crashes_;
  for (const auto &[Task, Active] : Backend.Running_) {
    TaskHistory &History = Histories_[Task];
    ++History.Crashes_;
    HealthyRunsCrashed_ += isCrashingTask(Task) ? 0 : 1;
    if (!isCrashingTask(Task) && isLongRunning(Task))
      History.DownSince_ = Time_.now();
  }
  Backend.IsUp_ = false;
  Backend.Running_.clear();
  Backend.RestartsAt_ = Time_.now() + Scenario_.RestartDelay_;
}

void CrashSimulator::crashFirst(std::size_t Count) {
  for (std::size_t I = 0; I < Count; ++I)
    if (Servers_[I].IsUp_)
      crash(Servers_[I]);
}

bool CrashSimulator::isCrashingTask(const TaskKey &Task) const {
  const auto Job = CrashingTasks_.find(Task.Job_);
  return Job != CrashingTasks_.end() &&
         Job->second.count({Task.Step_, Task.Index_}) != 0;
}

bool CrashSimulator::isLongRunning(const TaskKey &Task) const {
  return Machine_.read([&Task](const JobRegistry &Registry) {
    const StepSpec *Spec = Registry.findStep(Task);
    return Spec && Spec->LongRunning_;
  });
}

void CrashSimulator::updateRuns(Server &Backend) {
  const TimePoint Now = Time_.now();
  const bool HasCrashed =
      Backend.CrashesAt_ <= Now ||
      std::any_of(
          Backend.Running_.begin(), Backend.Running_.end(),
          [Now](const auto &Entry) { return Entry.second.CrashesAt_ <= Now; });
  if (HasCrashed)
    return crash(Backend);
  const bool IsLeaseExpired = Backend.LeaseEnd_ <= Now;
  for (auto It = Backend.Running_.begin(); It != Backend.Running_.end();) {
    const auto &[Task, Active] = *It;
    if (!IsLeaseExpired && Active.EndsAt_ > Now) {
      ++It;
      continue;
    }
    const RunOutcome EndedAs =
        IsLeaseExpired ? RunOutcome::LeaseExpired : RunOutcome::Done;
    RunsDone_ += IsLeaseExpired ? 0 : 1;
    Backend.Ended_.push_back(
        {++Backend.LastEnd_, {Task, Active.Number_, EndedAs, ""}});
    Backend.NextReport_ = std::min(Backend.NextReport_, Now + 50ms);
    It = Backend.Running_.erase(It);
  }
}

/// Long-running tasks are at full progress at once; others gain one percent
/// every 50 ms.
std::uint64_t CrashSimulator::getPercent(const Run &Active) const {
  static constexpr std::uint64_t Whole = 100;
  const bool IsLongRunning = Active.EndsAt_ == TimePoint::max() &&
                             Active.CrashesAt_ == TimePoint::max();
  return IsLongRunning
             ? Whole
             : std::min<std::uint64_t>(
                   Whole - 1, static_cast<std::uint64_t>(
                                  (Time_.now() - Active.StartedAt_) / 50ms));
}

void CrashSimulator::report(Server &Backend) {
  Backend.NextReport_ = Time_.now() + 500ms;
  ServerReport Report;
  Report.Facts_ = makeServer(Backend.Id_, ServerMilliCpus);
  Report.Facts_.Address_ = Backend.Address_;
  Report.Sequence_ = ++Backend.Sequence_;
  if (Scenario_.KeepsIds_)
    Report.ServerClockMs_ =
        static_cast<std::uint64_t>((Time_.now() - Backend.StartedAt_) / 1ms);
  Report.Ended_ = Backend.Ended_;
  for (const auto &[Task, Active] : Backend.Running_)
    Report.Running_.push_back(
        {Task, Active.Number_, "", getPercent(Active), 5});
  std::optional<Outcome<ServerOrders>> Got;
  const auto Answer = std::make_shared<std::optional<Outcome<ServerOrders>>>();
  Leader_.report(Report, [Answer](Outcome<ServerOrders> Orders) {
    *Answer = std::move(Orders);
  });
  Strand_.runAll();
  if (*Answer && **Answer)
    applyOrders(Backend, (*Answer)->value());
}

void CrashSimulator::applyOrders(Server &Backend, const ServerOrders &Orders) {
  const TimePoint Now = Time_.now();
  if (Orders.NextReportMs_ > 0)
    Backend.NextReport_ = Now + std::chrono::milliseconds(Orders.NextReportMs_);
  if (Orders.LeaseMs_ == 0)
    return;
  Backend.LeaseEnd_ = std::max(
      Backend.LeaseEnd_, Now + std::chrono::milliseconds(Orders.LeaseMs_));
  std::erase_if(Backend.Ended_, [&Orders](const EndedTask &End) {
    return End.Number_ <= Orders.EndsNoted_;
  });
  for (const StopOrder &Stop : Orders.Stops_) {
    std::uint64_t &Highest = Backend.HighestRunNumbers_[Stop.Task_];
    Highest = std::max(Highest, Stop.Run_);
    const auto Running = Backend.Running_.find(Stop.Task_);
    if (Running == Backend.Running_.end() ||
        Running->second.Number_ != Stop.Run_)
      continue;
    Backend.Running_.erase(Running);
    Backend.Ended_.push_back(
        {++Backend.LastEnd_, {Stop.Task_, Stop.Run_, RunOutcome::Stopped, ""}});
    Backend.NextReport_ = Now + 50ms;
  }
  for (const StartOrder &Start : Orders.Starts_)
    startRun(Backend, Start);
}

void CrashSimulator::startRun(Server &Backend, const StartOrder &Start) {
  std::uint64_t &Highest = Backend.HighestRunNumbers_[Start.Task_];
  if (Start.Run_ <= Highest)
    return;
  Highest = Start.Run_;
  const TimePoint Now = Time_.now();
  TaskHistory &History = Histories_[Start.Task_];
  Run &Active = Backend.Running_[Start.Task_];
  Active = {Start.Run_, Now, TimePoint::max(), TimePoint::max()};
  if (isCrashingTask(Start.Task_)) {
    Active.CrashesAt_ = Now + Scenario_.CrashDelay_;
    if (History.Crashes_ >= CrashThreshold &&
        ++History.StartsAfterThirdCrash_ > MaxStartsAfterThirdCrash)
      Violations_.push_back(Start.Task_.Job_ + "." +
                            std::to_string(Start.Task_.Index_) + " run " +
                            std::to_string(Start.Run_) +
                            ": started three times after three crashes");
    return;
  }
  if (History.DownSince_)
    LongestOutage_ = std::max(LongestOutage_, Now - *History.DownSince_);
  History.DownSince_.reset();
  if (!isLongRunning(Start.Task_))
    Active.EndsAt_ = Now + 300ms + 100ms * static_cast<int>(draw(15));
}

JobState CrashSimulator::getState(const std::string &Job) const {
  return Machine_.read([&Job](const JobRegistry &Registry) {
    const JobRecord *Record = Registry.findJob(Job);
    return Record ? Record->State_ : JobState::Queued;
  });
}

std::vector<std::string> CrashSimulator::listUnfinished() const {
  std::vector<std::string> Open;
  for (const std::string &Id : Finite_)
    if (getState(Id) != JobState::Completed)
      Open.push_back(Id);
  return Open;
}

std::size_t CrashSimulator::countCrashes(const std::string &Job) const {
  std::size_t Most = 0;
  for (const auto &[Task, History] : Histories_)
    if (Task.Job_ == Job && isCrashingTask(Task))
      Most = std::max(Most, History.Crashes_);
  return Most;
}

Duration CrashSimulator::getLongestOutage() const {
  Duration Longest = LongestOutage_;
  for (const auto &[Task, History] : Histories_)
    if (History.DownSince_)
      Longest = std::max(Longest, Time_.now() - *History.DownSince_);
  return Longest;
}
