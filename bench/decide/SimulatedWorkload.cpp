//===- SimulatedWorkload.cpp - Simulated services and tasks -------------===//

#include "SimulatedWorkload.h"

#include <algorithm>
#include <cmath>

using namespace tulipweir;
using namespace tulipweir::decide;

static const ServiceId Booking("booking");
static constexpr double ServiceCores = 8;
static constexpr double TopLoad = 0.9;
static constexpr double TargetFactor = 1.25;
static constexpr double NoisyFactor = 3;
static constexpr int CheckpointEvery = 30;
static constexpr int StartUpSeconds = 3;
static constexpr int ReportEvery = 2;
static constexpr int RequestsDrawn = 10;
static constexpr int TasksPerJob = 20;
static constexpr int FailAfter = 2;

double SimulatedWorkload::getBaselineP99(double Load) {
  return 20 * (1 + Load * Load);
}

Policy SimulatedWorkload::makePolicy() {
  Policy Settings;
  const double Target = TargetFactor * getBaselineP99(TopLoad);
  Settings.Targets_ = {
      {Booking, std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double, std::milli>(Target))}};
  return Settings;
}

static double targetMillis() {
  return TargetFactor * SimulatedWorkload::getBaselineP99(TopLoad);
}

double SimulatedWorkload::draw(double From, double To) {
  return std::uniform_real_distribution<double>(From, To)(Random_);
}

SimulatedWorkload::SimulatedWorkload(const WorkloadSettings &Settings)
    : Settings_(Settings), Random_(Settings.Seed_),
      Noise_(Settings.Seed_ + 1000) {
  constexpr int ClassCount = 12;
  for (int I = 0; I < ClassCount; ++I) {
    SimulatedClass Class;
    Class.Id_ = JobClassId("class-" + std::to_string(I));
    Class.Effect_ = std::exp(draw(std::log(0.05), std::log(2.5)));
    Class.Size_ =
        Resources::makeFor(static_cast<std::int64_t>(
                               std::exp(draw(std::log(500), std::log(5000)))),
                           static_cast<std::int64_t>(std::exp(
                               draw(std::log(1000), std::log(12000)))));
    Classes_.push_back(Class);
  }
  for (int I = 0; I < Settings.Servers_; ++I) {
    SimulatedServer Server;
    Server.Info_.Server_ = BackendServerId("vm-" + std::to_string(I));
    Server.Info_.Rack_ = RackId("rack-" + std::to_string(I / 8));
    Server.Info_.Capacity_ = Resources::makeFor(32000, 125000);
    Server.Info_.ServiceShare_ = Resources::makeFor(8000, 16000);
    // One server in twenty fails every task.
    Server.FailsAll_ = Settings.Faults_ && I % 20 == 7;
    Servers_.push_back(Server);
  }
}

double SimulatedWorkload::computeSlowdown(const SimulatedServer &Server,
                                          std::size_t AddedClass,
                                          double AddedTasks,
                                          double Load) const {
  double Effect = 0;
  double Cores = Load * ServiceCores;
  const double All = 32000;
  const auto AddTasks = [&](std::size_t Class, double Tasks) {
    const double Part =
        Tasks * static_cast<double>(Classes_[Class].Size_.MilliCpus_) / All;
    const bool IsNoisy = Noisy_ && Class == NoisyClass_;
    Effect += Classes_[Class].Effect_ * (0.5 + Load) * Part *
              (IsNoisy ? NoisyFactor : 1);
    Cores += Part * All / 1000;
  };
  for (const TaskId &Id : Server.Tasks_) {
    const SimulatedTask &Task = Tasks_.at(Id);
    AddTasks(Task.Class_, Task.Throttle_ / 100.0);
  }
  if (AddedTasks > 0)
    AddTasks(AddedClass, AddedTasks);
  // Requests and tasks queue once the processors are used up.
  const double Overload = std::max(0.0, Cores / 32 - 1);
  return 1 + Effect + 4 * Overload;
}

void SimulatedWorkload::submitJob(ComparedPolicy &Policy) {
  const auto Class = static_cast<std::size_t>(draw(0, 11.999));
  const double Worst = std::log(Settings_.WorstDeclared_);
  const double ErrorFactor = std::exp(draw(-Worst, Worst));
  const auto Job = JobId("job-" + std::to_string(Jobs_++));
  for (int I = 0; I < TasksPerJob; ++I) {
    SimulatedTask Task;
    Task.Class_ = Class;
    Task.Info_.Task_ = {Job, static_cast<std::uint32_t>(I)};
    Task.Info_.NextAttempt_ = AttemptNumber(1);
    Task.Info_.Team_ = TeamId("team");
    Task.Info_.Class_ = Classes_[Class].Id_;
    const Resources &Size = Classes_[Class].Size_;
    const auto ApplyError = [&](std::int64_t Amount, std::int64_t Limit) {
      return std::min(Limit, static_cast<std::int64_t>(
                                 static_cast<double>(Amount) * ErrorFactor));
    };
    Task.Info_.Declared_ =
        Resources::makeFor(ApplyError(Size.MilliCpus_, 24000),
                           ApplyError(Size.MemoryMib_, 109000));
    Task.Work_ = std::exp(draw(std::log(40), std::log(400)));
    Tasks_[Task.Info_.Task_] = Task;
    Policy.addWaiting(Task.Info_, Now_);
  }
}

void SimulatedWorkload::updateLoads(int Second) {
  for (std::size_t I = 0; I < Servers_.size(); ++I) {
    const double Phase =
        static_cast<double>(I) / static_cast<double>(Servers_.size());
    const double Wave = std::sin(2 * M_PI * (Second / 400.0 + 0.2 * Phase));
    Servers_[I].Load_ = 0.55 + 0.35 * Wave;
  }
}

void SimulatedWorkload::stop(SimulatedTask &Task, EndReason Reason,
                             ComparedPolicy &Policy) {
  SimulatedServer &Server = Servers_[static_cast<std::size_t>(Task.Server_)];
  std::erase(Server.Tasks_, Task.Info_.Task_);
  Task.Server_ = -1;
  Task.Progress_ = Task.Saved_;
  Policy.recordEnd(Task.Info_.Task_, Task.Attempt_, Reason, Now_);
  Task.Done_ = Reason == EndReason::Finished || Reason == EndReason::Cancelled;
  if (Task.Done_)
    return;
  Task.Info_.NextAttempt_ = AttemptNumber(Task.Attempt_.value() + 1);
  Policy.addWaiting(Task.Info_, Now_);
}

void SimulatedWorkload::injectFaults(ComparedPolicy &Policy, int Second) {
  if (!Settings_.Faults_)
    return;
  Noisy_ = Second % 300 >= 200 && Second % 300 < 260;
  if (Second % 300 == 200)
    NoisyClass_ = static_cast<std::size_t>(draw(0, 11.999));
  for (SimulatedServer &Server : Servers_) {
    if (Server.Up_ || Second < Server.DownUntil_)
      continue;
    Server.Up_ = true;
    Policy.upsertServer(Server.Info_);
  }
  if (Second % 240 == 120) {
    auto &Lost = Servers_[static_cast<std::size_t>(
        draw(0, static_cast<double>(Servers_.size()) - 0.001))];
    const auto Tasks = Lost.Tasks_;
    for (const TaskId &Id : Tasks)
      stop(Tasks_.at(Id), EndReason::Lost, Policy);
    Lost.Up_ = false;
    Lost.DownUntil_ = Second + 100;
    Policy.removeServer(Lost.Info_.Server_);
  }
  if (Second % 500 != 450)
    return;
  // Cancels one job in ten.
  for (auto &[Id, Task] : Tasks_) {
    if (Task.Done_ || std::hash<JobId>()(Id.Job_) % 10 != 0)
      continue;
    if (Task.Server_ >= 0)
      stop(Task, EndReason::Cancelled, Policy);
    else
      Policy.removeWaiting(Id);
    Task.Done_ = true;
  }
}

void SimulatedWorkload::advanceTask(SimulatedTask &Task, double Speed,
                                    ComparedPolicy &Policy) {
  ++Task.RanFor_;
  const SimulatedServer &Server =
      Servers_[static_cast<std::size_t>(Task.Server_)];
  if (Server.FailsAll_ && Task.RanFor_ >= FailAfter) {
    stop(Task, EndReason::Failed, Policy);
    return;
  }
  if (Task.StartUp_ > 0) {
    --Task.StartUp_;
    return;
  }
  Task.Progress_ += Speed * Task.Throttle_ / 100;
  if (Task.Progress_ - Task.Saved_ >= CheckpointEvery)
    Task.Saved_ = Task.Progress_;
  if (Task.Progress_ < Task.Work_)
    return;
  ++Result_.FinishedTasks_;
  Result_.FinishedWork_ +=
      Task.Work_ * static_cast<double>(Classes_[Task.Class_].Size_.MilliCpus_) /
      1000;
  stop(Task, EndReason::Finished, Policy);
}

void SimulatedWorkload::measureRequests(const SimulatedServer &Server) {
  // Latencies are exponential with the given p99. Both lists get the same
  // draws.
  constexpr double P99OfUnit = 4.605170186;
  std::exponential_distribution<double> Unit(1);
  const int Count =
      1 + static_cast<int>(Server.Load_ * static_cast<double>(RequestsDrawn));
  for (int I = 0; I < Count; ++I) {
    const double UnitLatency = Unit(Noise_) / P99OfUnit;
    Latencies_.push_back(static_cast<float>(UnitLatency * Server.P99_));
    BaselineLatencies_.push_back(
        static_cast<float>(UnitLatency * Server.BaselineP99_));
  }
}

void SimulatedWorkload::advanceServer(SimulatedServer &Server,
                                      ComparedPolicy &Policy, int Second) {
  Server.BaselineP99_ = getBaselineP99(Server.Load_);
  Server.P99_ =
      Server.BaselineP99_ * computeSlowdown(Server, 0, 0, Server.Load_);
  if (Server.P99_ > targetMillis())
    Server.OverAt_ = Second;
  measureRequests(Server);
  double Cores = Server.Load_ * ServiceCores;
  std::int64_t Memory = 0;
  for (const TaskId &Id : Server.Tasks_) {
    const SimulatedTask &Task = Tasks_.at(Id);
    const Resources &Size = Classes_[Task.Class_].Size_;
    Cores += static_cast<double>(Size.MilliCpus_) / 1000 * Task.Throttle_ / 100;
    Memory += Size.MemoryMib_;
  }
  const double Speed = std::min(1.0, 32 / Cores);
  const auto Tasks = Server.Tasks_;
  for (const TaskId &Id : Tasks)
    advanceTask(Tasks_.at(Id), Speed, Policy);
  // The newest task is lost when the server runs out of memory.
  if (Memory > 125000 - 16000 && !Server.Tasks_.empty())
    stop(Tasks_.at(Server.Tasks_.back()), EndReason::Lost, Policy);
}

void SimulatedWorkload::report(int Second) {
  if (Second % ReportEvery != 0)
    return;
  Report Batch;
  Batch.ArrivesAt_ = Now_ + Settings_.Lag_;
  std::lognormal_distribution<double> Error(0, 0.08);
  for (const SimulatedServer &Server : Servers_) {
    if (!Server.Up_)
      continue;
    ServiceSample Sample;
    Sample.Server_ = Server.Info_.Server_;
    Sample.Service_ = Booking;
    Sample.Requests_ = static_cast<std::uint32_t>(400 * Server.Load_);
    Sample.P99_ = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(Server.P99_ * Error(Noise_)));
    Sample.LoadPercent_ = static_cast<std::uint32_t>(100 * Server.Load_);
    Sample.SampledAt_ = Now_;
    Batch.Services_.push_back(Sample);
    for (const TaskId &Id : Server.Tasks_) {
      const SimulatedTask &Task = Tasks_.at(Id);
      const Resources &Size = Classes_[Task.Class_].Size_;
      const double Part = Error(Noise_) * Task.Throttle_ / 100;
      UsageSample Usage;
      Usage.Task_ = Id;
      Usage.Attempt_ = Task.Attempt_;
      Usage.Server_ = Server.Info_.Server_;
      Usage.Usage_ =
          Resources::makeFor(static_cast<std::int64_t>(
                                 static_cast<double>(Size.MilliCpus_) * Part),
                             Size.MemoryMib_);
      Usage.WorkSinceCheckpoint_ = std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Task.Progress_ - Task.Saved_));
      Usage.SampledAt_ = Now_;
      Batch.Usages_.push_back(Usage);
    }
  }
  Reports_.push_back(std::move(Batch));
}

void SimulatedWorkload::deliver(ComparedPolicy &Policy) {
  while (!Reports_.empty() && Reports_.front().ArrivesAt_ <= Now_) {
    for (const UsageSample &Sample : Reports_.front().Usages_)
      Policy.addUsageSample(Sample);
    for (const ServiceSample &Sample : Reports_.front().Services_)
      Policy.addServiceSample(Sample);
    Reports_.pop_front();
  }
}

SimulatedServer *
SimulatedWorkload::findServer(const std::optional<BackendServerId> &Id) {
  for (SimulatedServer &Server : Servers_)
    if (Id == Server.Info_.Server_)
      return &Server;
  return nullptr;
}

void SimulatedWorkload::apply(const Decision &D, ComparedPolicy &Policy,
                              int Second) {
  SimulatedServer *Server = findServer(D.Server_);
  const auto It = D.Task_ ? Tasks_.find(*D.Task_) : Tasks_.end();
  if (!Server || !Server->Up_ || It == Tasks_.end())
    return;
  SimulatedTask &Task = It->second;
  Resources Reserved;
  for (const TaskId &Id : Server->Tasks_)
    Reserved = Reserved + Tasks_.at(Id).Reservation_;
  const Resources Limit = Server->Info_.Capacity_ - Server->Info_.ServiceShare_;
  const bool IsGuardAction = D.Reason_ == ReasonCode::TailOverTarget;
  const bool WasUnderTarget =
      Server->OverAt_ < Second - 10 - Settings_.Lag_ / std::chrono::seconds(1);
  if (IsGuardAction) {
    ++Result_.GuardActions_;
    Result_.FalseAlarms_ += WasUnderTarget ? 1 : 0;
  }
  const auto Index = static_cast<int>(Server - Servers_.data());
  if (D.Kind_ == DecisionKind::Place && Task.Server_ < 0 && !Task.Done_) {
    if (!(Reserved + D.Reservation_).fitsIn(Limit)) {
      ++Result_.Overfilled_;
      return;
    }
    Task.Server_ = Index;
    Task.RanFor_ = 0;
    Task.Reservation_ = D.Reservation_;
    Task.Attempt_ = D.Attempt_;
    Task.Throttle_ = 100;
    Task.StartUp_ = StartUpSeconds;
    Server->Tasks_.push_back(Task.Info_.Task_);
    Policy.recordPlacement(D, Task.Info_, Now_);
    return;
  }
  if (Task.Server_ != Index || Task.Attempt_ != D.Attempt_)
    return;
  if (D.Kind_ == DecisionKind::Reserve) {
    if (!(Reserved - Task.Reservation_ + D.Reservation_).fitsIn(Limit)) {
      ++Result_.Overfilled_;
      return;
    }
    Task.Reservation_ = D.Reservation_;
    Policy.updateReservation(D);
  } else if (D.Kind_ == DecisionKind::Throttle) {
    Result_.Throttles_ += D.ThrottlePercent_ < 100 ? 1 : 0;
    Task.Throttle_ = D.ThrottlePercent_;
    Policy.updateThrottle(D, Now_);
  } else if (D.Kind_ == DecisionKind::Evict) {
    ++Result_.Evictions_;
    Result_.LostToEvictions_ +=
        (Task.Progress_ - Task.Saved_) *
        static_cast<double>(Classes_[Task.Class_].Size_.MilliCpus_) / 1000;
    stop(Task, EndReason::Evicted, Policy);
  }
}

static double computeQuantile(std::vector<float> &Values, double Fraction) {
  const auto Position = static_cast<std::ptrdiff_t>(
      Fraction * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(), Values.begin() + Position, Values.end());
  return Values[static_cast<std::size_t>(Position)];
}

WorkloadResult SimulatedWorkload::run(ComparedPolicy &Policy) {
  for (const SimulatedServer &Server : Servers_)
    Policy.upsertServer(Server.Info_);
  // More work waits at all times than the servers can do.
  constexpr int FirstJobs = 60;
  constexpr int JobEvery = 6;
  for (int I = 0; I < FirstJobs; ++I)
    submitJob(Policy);
  for (int Second = 0; Second < Settings_.Seconds_; ++Second) {
    Now_ += std::chrono::seconds(1);
    if (Second % JobEvery == 0)
      submitJob(Policy);
    updateLoads(Second);
    injectFaults(Policy, Second);
    for (SimulatedServer &Server : Servers_)
      if (Server.Up_)
        advanceServer(Server, Policy, Second);
    report(Second);
    deliver(Policy);
    for (const Decision &D : Policy.decide(Now_))
      apply(D, Policy, Second);
  }
  Result_.TailRatio_ = computeQuantile(Latencies_, 0.99) /
                       computeQuantile(BaselineLatencies_, 0.99);
  return Result_;
}
