//===- JobsBench.cpp - Cost ratios of job hot paths -----------------------===//
//
// Compares, within one run, committing 100 starts in one command with
// committing them in 100 commands, with real disk syncs; and planning one
// start with 350 servers and 5,000 waiting tasks with planning it with 48 and
// 700; and surveying and explaining 1,000 waits on a full fleet, where only the
// smallest step has room, with surveying them where none has; and learning run
// times from a report of one of 350 servers with doing so of one of 48; and
// deciding which of 2,000 long-running tasks on 350 servers yield to 100
// waiting steps with deciding it for a seventh of each; and the admission of a
// job beside 5,000 waiting jobs with that beside 500. Bounds are ratios, so
// that they hold on any machine.
//
//===----------------------------------------------------------------------===//

#include "jobs/AdmissionController.h"
#include "jobs/Dispatcher.h"
#include "tulipweir/jobs/JobStateMachine.h"
#include "tulipweir/replication/Replica.h"

#include <chrono>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <future>
#include <limits>
#include <unistd.h>

using namespace tulipweir;
using namespace tulipweir::jobs;
using Instant = TimePoint;

static constexpr double MinCommitGain = 3;
static constexpr double MaxPlanGrowth = 2;
static constexpr double MaxWaitGrowth = 30;
static constexpr double MaxLearnGrowth = 2;
/// Seven times the servers, tasks and steps; a quadratic cost would be 49 times
/// as high.
static constexpr double MaxShareGrowth = 20;
static constexpr double MaxAdmissionGrowth = 3;
static constexpr std::uint64_t StartsPerBatch = 100;
static constexpr int Rounds = 5;

static Instant now() { return BootClock::now(); }
static double microsSince(Instant Begin) {
  return std::chrono::duration<double, std::micro>(now() - Begin).count();
}

static Configuration makeConfiguration() {
  Configuration Config;
  Config.Version_ = 1;
  QueuePolicy Queue;
  Queue.Host_ = "h";
  Queue.PathPrefix_ = "/p/";
  Queue.Service_ = "s";
  Queue.ObjectiveMs_ = 1000;
  Config.Queues_ = {Queue};
  Config.Services_ = {{"s", true, false}};
  return Config;
}

static ServerFacts makeServer(std::uint64_t Number, std::int64_t MilliCpus) {
  ServerFacts Facts;
  Facts.Id_ = "server-" + std::to_string(Number);
  Facts.Service_ = "s";
  Facts.Rack_ = "r" + std::to_string(Number / 8);
  Facts.Address_ = Facts.Id_;
  Facts.Capacity_ = Resources::makeFor(MilliCpus, 128'000);
  return Facts;
}

static SubmitJob makeJob(std::uint64_t Number, std::uint64_t Tasks) {
  SubmitJob Job;
  Job.Host_ = "h";
  Job.PathPrefix_ = "/p/";
  Job.Spec_.Id_ = "job-" + std::to_string(Number);
  StepSpec Step;
  Step.Count_ = Tasks;
  Step.Need_ = Resources::makeFor(2000, 4000);
  Step.EstimateMs_ = 700;
  Job.Spec_.Steps_ = {Step};
  Job.AcceptedMs_ = 1000;
  return Job;
}

static TaskStart makeStart(std::uint64_t Job, std::uint64_t Index) {
  return {{"job-" + std::to_string(Job), 0, 0, Index}, 1, "server-0"};
}

namespace {
class NoTransport final : public replication::Transport {
public:
  void send(const std::string &, std::string) override {}
};
} // namespace

static bool propose(replication::Replica &Replica, const Command &Cmd) {
  std::promise<bool> Done;
  Replica.propose(encodeCommand(Cmd),
                  [&Done](const Outcome<replication::Applied> &Applied) {
                    Done.set_value(Applied.has_value());
                  });
  return Done.get_future().get();
}

/// Adds up microseconds for one command with all starts and for one command per
/// start.
static bool measureCommit(double &Batched, double &Single) {
  const std::filesystem::path Directory =
      std::filesystem::temp_directory_path() /
      ("tulipweir-bench-" + std::to_string(::getpid()));
  const SystemClock Clock;
  NoTransport Network;
  JobStateMachine Machine;
  replication::ReplicaSettings Settings;
  Settings.Group_ = "bench";
  Settings.Name_ = "a";
  Settings.Folder_ = Directory.string();
  Settings.InitialVoters_ = {"a"};
  auto Replica = replication::Replica::open(Settings, Machine, Network, Clock);
  if (!Replica)
    return false;
  while (!propose(*Replica.value(), PutConfiguration{makeConfiguration()}))
    ::usleep(10'000);
  propose(*Replica.value(), AddServer{makeServer(0, 1 << 30)});
  std::uint64_t Job = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    propose(*Replica.value(), makeJob(Job, StartsPerBatch));
    StartTasks Batch;
    for (std::uint64_t I = 0; I < StartsPerBatch; ++I)
      Batch.Starts_.push_back(makeStart(Job, I));
    const Instant Begin = now();
    propose(*Replica.value(), Batch);
    Batched += microsSince(Begin);
    ++Job;
    propose(*Replica.value(), makeJob(Job, StartsPerBatch));
    const Instant SingleBegin = now();
    for (std::uint64_t I = 0; I < StartsPerBatch; ++I)
      propose(*Replica.value(), StartTasks{{makeStart(Job, I)}});
    Single += microsSince(SingleBegin);
    ++Job;
  }
  Replica.value()->stop();
  std::filesystem::remove_all(Directory);
  return true;
}

/// Returns the microseconds per planned start while all servers ask in turn.
static double measurePlan(std::uint64_t Servers, std::uint64_t Waiting) {
  constexpr std::uint64_t TasksPerJob = 10;
  double Total = 0;
  std::uint64_t Starts = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    JobRegistry Registry;
    Registry.apply(Command(PutConfiguration{makeConfiguration()}));
    for (std::uint64_t I = 0; I < Servers; ++I)
      Registry.apply(Command(AddServer{makeServer(I, 32'000)}));
    for (std::uint64_t I = 0; I < Waiting / TasksPerJob; ++I)
      Registry.apply(Command(makeJob(I, TasksPerJob)));
    LiveServerTable LiveServers;
    LiveServers.reset(Registry, now(), std::chrono::hours(1));
    InterferenceModel Effects;
    ServingLoads Loads;
    PaceController Paces;
    ServerHealth Health;
    AdviceCache Advice;
    const RunTimeEstimator RunTimes;
    const CapacityShares Shares(ShareSettings(), RunTimes);
    Dispatcher Planner(Effects, Loads, Paces, Health, Advice, RunTimes, Shares);
    // The leader surveys at every tick, too.
    Planner.survey(Registry, LiveServers, now());
    for (std::uint64_t I = 0; I < Servers; ++I) {
      const Instant Begin = now();
      const auto Plan = Planner.plan(
          Registry, LiveServers, makeServer(I, 0).Id_, Begin, WallTime(1000));
      Total += microsSince(Begin);
      Starts += Plan.size();
      Registry.apply(Command(StartTasks{Plan}));
      Planner.releaseProposed(Plan);
    }
  }
  return Total / double(Starts);
}

static SubmitJob makeLasting(std::uint64_t Number, std::uint64_t Tasks,
                             std::int64_t MilliCpus) {
  SubmitJob Job = makeJob(Number, Tasks);
  Job.Spec_.Steps_[0].LongRunning_ = true;
  Job.Spec_.Steps_[0].Need_ = Resources::makeFor(MilliCpus, 4000);
  return Job;
}

/// Returns the microseconds of a survey of a full fleet, and of explaining its
/// waits if the smallest step has room.
static double measureWaits(bool HasSmallStep) {
  constexpr std::uint64_t Servers = 1100;
  constexpr std::uint64_t Waiting = 1000;
  JobRegistry Registry;
  Registry.apply(Command(PutConfiguration{makeConfiguration()}));
  StartTasks Residents;
  for (std::uint64_t I = 0; I < Servers; ++I) {
    Registry.apply(Command(AddServer{makeServer(I, 32'000)}));
    Registry.apply(Command(makeLasting(I, 1, 30'000)));
    Residents.Starts_.push_back(makeStart(I, 0));
    Residents.Starts_.back().Server_ = makeServer(I, 0).Id_;
  }
  Registry.apply(Command(Residents));
  for (std::uint64_t I = 0; I < Waiting; ++I)
    Registry.apply(Command(makeLasting(Servers + I, 5, 3000)));
  if (HasSmallStep)
    Registry.apply(Command(makeLasting(Servers + Waiting, 1, 1500)));
  TimePoint At = now();
  LiveServerTable LiveServers;
  LiveServers.reset(Registry, At, std::chrono::hours(1));
  InterferenceModel Effects;
  ServingLoads Loads;
  PaceController Paces;
  ServerHealth Health;
  AdviceCache Advice;
  const RunTimeEstimator RunTimes;
  const CapacityShares Shares(ShareSettings(), RunTimes);
  Dispatcher Planner(Effects, Loads, Paces, Health, Advice, RunTimes, Shares);
  Planner.observe(Registry, At);
  At += std::chrono::seconds(5);
  Planner.survey(Registry, LiveServers, At);
  double Total = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    At += std::chrono::milliseconds(50);
    const Instant Begin = now();
    Planner.survey(Registry, LiveServers, At);
    if (HasSmallStep)
      Planner.explainer().findUnusedRoom(Registry, LiveServers, At, At, 8);
    Total += microsSince(Begin);
  }
  return Total / Rounds;
}

/// Microseconds of learning from a report, in the fastest of many rounds, and
/// of a forecast.
struct LearningCost {
  double Report_ = 0;
  double Forecast_ = 0;
};

/// Each server reports twenty runs, two of which have ended since its report
/// before and two of which are new; all of different jobs of twenty tasks.
static LearningCost measureLearning(std::uint64_t Servers) {
  constexpr std::uint64_t RunsPerServer = 20;
  constexpr std::uint64_t EndsPerReport = 2;
  constexpr std::uint64_t TasksPerJob = 20;
  constexpr std::uint64_t Reports = 40;
  JobRegistry Registry;
  Registry.apply(Command(PutConfiguration{makeConfiguration()}));
  const std::uint64_t Jobs =
      Servers * (RunsPerServer + EndsPerReport * Reports) / TasksPerJob + 1;
  for (std::uint64_t I = 0; I < Jobs; ++I)
    Registry.apply(Command(makeJob(I, TasksPerJob)));
  // Tasks of one job run on different servers.
  std::vector<ServerReport> Next(Servers);
  std::uint64_t LastTask = 0;
  const auto AddRun = [&](ServerReport &Report) {
    const std::uint64_t Task = LastTask++;
    Report.Running_.push_back(
        {makeStart(Task % Jobs, Task / Jobs).Task_, 1, "", 5, 1000});
  };
  for (std::uint64_t I = 0; I < Servers; ++I) {
    Next[I].Facts_ = makeServer(I, 32'000);
    for (std::uint64_t Run = 0; Run < RunsPerServer; ++Run)
      AddRun(Next[I]);
  }
  RunTimeEstimator RunTimes;
  TimePoint At = now();
  LearningCost Cost;
  Cost.Report_ = std::numeric_limits<double>::max();
  for (std::uint64_t Round = 1; Round <= Reports; ++Round) {
    At += std::chrono::milliseconds(500);
    double Total = 0;
    for (ServerReport &Report : Next) {
      Report.Sequence_ = Round;
      Report.ServerClockMs_ = Round * 500;
      const Instant Begin = now();
      RunTimes.learn(Registry, Report, At);
      Total += microsSince(Begin);
      Report.Ended_.clear();
      for (std::uint64_t End = 0; End < EndsPerReport; ++End) {
        Report.Ended_.push_back(
            {(Round - 1) * EndsPerReport + End + 1,
             {Report.Running_.front().Task_, 1, RunOutcome::Done, ""}});
        Report.Running_.erase(Report.Running_.begin());
        AddRun(Report);
      }
      for (RunningTask &Run : Report.Running_)
        Run.Percent_ = std::min<std::uint64_t>(Run.Percent_ + 9, 99);
    }
    const Instant Begin = now();
    RunTimes.prune(Registry);
    Total += microsSince(Begin);
    // The first rounds have no ends and no progress to learn from.
    if (Round > Reports / 2)
      Cost.Report_ = std::min(Cost.Report_, Total / double(Servers));
  }
  constexpr std::uint64_t Forecasts = 2000;
  Duration Sum{};
  const Instant Begin = now();
  for (std::uint64_t I = 0; I < Forecasts; ++I)
    Sum += RunTimes.getTypical(
        *Registry.findJob("job-" + std::to_string(I % Jobs)), 0);
  Cost.Forecast_ =
      Sum > Duration(0) ? microsSince(Begin) / double(Forecasts) : 0;
  return Cost;
}

/// Returns the microseconds for which this thread has used a processor.
static double getUsedMicros() {
  timespec Used{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Used);
  return 1e6 * double(Used.tv_sec) + 1e-3 * double(Used.tv_nsec);
}

/// Returns the microseconds of a decision of which tasks yield on a full fleet.
static double measureShares(std::uint64_t Servers, std::uint64_t Steps) {
  constexpr std::uint64_t TasksPerServer = 6;
  JobRegistry Registry;
  Registry.apply(Command(PutConfiguration{makeConfiguration()}));
  StartTasks Residents;
  TimePoint At = now();
  LiveServerTable LiveServers;
  for (std::uint64_t I = 0; I < Servers; ++I) {
    Registry.apply(Command(AddServer{makeServer(I, 18'000)}));
    SubmitJob Job = makeLasting(I, TasksPerServer, 3000);
    Job.Spec_.Steps_[0].MaxUnavailable_ = 1;
    Registry.apply(Command(Job));
    ServerReport Report;
    Report.Facts_ = makeServer(I, 18'000);
    Report.Sequence_ = 1;
    for (std::uint64_t Task = 0; Task < TasksPerServer; ++Task) {
      Residents.Starts_.push_back(makeStart(I, Task));
      Residents.Starts_.back().Server_ = Report.Facts_.Id_;
      Report.Running_.push_back({makeStart(I, Task).Task_, 1, "", 100, 0});
    }
    LiveServers.recordReport(Report, At, std::chrono::hours(1));
  }
  Registry.apply(Command(Residents));
  for (std::uint64_t I = 0; I < Steps; ++I)
    Registry.apply(Command(makeJob(Servers + I, 20)));
  InterferenceModel Effects;
  ServingLoads Loads;
  ServerHealth Health;
  const CapacitySurvey Survey(Effects, Loads, Health);
  const OverdueSteps Overdue;
  const RunTimeEstimator RunTimes;
  ShareSettings Settings;
  Settings.IsEnabled_ = true;
  double Total = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    CapacityShares Shares(Settings, RunTimes);
    // The jobs are due 1.7 s after their acceptance at 1,000 ms.
    const FleetView View{Registry,      LiveServers,
                         Health,        Survey,
                         Overdue,       At + std::chrono::milliseconds(3500),
                         WallTime(1500)};
    for (std::uint64_t I = 0; I < Servers; ++I) {
      ServerReport Report;
      Report.Facts_ = makeServer(I, 18'000);
      Report.Sequence_ = static_cast<std::uint64_t>(Round) + 2;
      Report.Running_ = LiveServers.find(Report.Facts_.Id_)->Running_;
      LiveServers.recordReport(Report, At + std::chrono::milliseconds(3400),
                               std::chrono::hours(1));
    }
    const double Begin = getUsedMicros();
    Shares.update(View);
    Total += getUsedMicros() - Begin;
    if (!Shares.isKept("server-0"))
      std::printf("no task yields on server-0\n");
  }
  return Total / Rounds;
}

/// Returns the microseconds per rejected submission on a full fleet where this
/// number of jobs waits.
static double measureAdmission(std::uint64_t Waiting) {
  constexpr std::uint64_t Submissions = 20'000;
  constexpr auto Interval = std::chrono::milliseconds(250);
  JobRegistry Registry;
  Configuration Config = makeConfiguration();
  Config.Queues_.front().ObjectiveMs_ = 1'000;
  Registry.apply(Command(PutConfiguration{Config}));
  for (std::uint64_t I = 0; I < 350; ++I)
    Registry.apply(Command(AddServer{makeServer(I, 1000)}));
  const WallTime Wall(1000);
  for (std::uint64_t I = 0; I < Waiting; ++I)
    Registry.apply(Command(makeJob(I, 10)));
  TimePoint Now = now();
  LiveServerTable LiveServers;
  LiveServers.reset(Registry, Now, std::chrono::hours(1));
  const RunTimeEstimator RunTimes;
  const ShareStatus Shares;
  const ServerHealth Health;
  AdmissionSettings Settings;
  Settings.IsEnabled_ = true;
  AdmissionController Admission(Settings, RunTimes, Shares);
  Admission.reset();
  // The servers are heard and nothing is served, so the rate is known soon.
  double Update = 0;
  for (int I = 0; I < 14; ++I, Now += Interval) {
    for (const auto &[Id, Server] : Registry.servers())
      LiveServers.find(Id)->LastHeard_ = Now;
    const Instant Begin = now();
    Admission.update(Registry, LiveServers, Health, Now, Wall);
    Update = microsSince(Begin);
  }
  std::uint64_t Rejected = 0;
  const Instant Begin = now();
  for (std::uint64_t I = 0; I < Submissions; ++I) {
    const JobSpec Job = makeJob(Waiting + I, 10).Spec_;
    Rejected +=
        Admission.decide(Job, Config.Queues_.front(), "dc", Now).isAccepted()
            ? 0
            : 1;
  }
  const double Each = microsSince(Begin) / double(Submissions);
  std::printf("admission beside %llu waiting jobs: %.2f us a submission, "
              "%.0f %% rejected; %.0f us an update\n",
              static_cast<unsigned long long>(Waiting), Each,
              100 * double(Rejected) / double(Submissions), Update);
  return Each;
}

int main() {
  double Batched = 0;
  double Single = 0;
  if (!measureCommit(Batched, Single))
    return 1;
  const double Gain = Single / Batched;
  const double Small = measurePlan(48, 700);
  const double Large = measurePlan(350, 5000);
  const double Growth = Large / Small;
  const double Plain = measureWaits(false);
  const double Mixed = measureWaits(true);
  const double WaitGrowth = Mixed / Plain;
  const LearningCost Few = measureLearning(48);
  const LearningCost Many = measureLearning(350);
  const double LearnGrowth = Many.Report_ / Few.Report_;
  const double FewShares = measureShares(50, 14);
  const double ManyShares = measureShares(350, 100);
  const double ShareGrowth = ManyShares / FewShares;
  const double AdmissionGrowth = measureAdmission(5000) / measureAdmission(500);
  const bool IsMet =
      Gain >= MinCommitGain && Growth <= MaxPlanGrowth &&
      WaitGrowth <= MaxWaitGrowth && LearnGrowth <= MaxLearnGrowth &&
      ShareGrowth <= MaxShareGrowth && AdmissionGrowth <= MaxAdmissionGrowth;
  std::printf("100 starts: one command %.0f us, 100 commands %.0f us\n",
              Batched / Rounds, Single / Rounds);
  std::printf("a planned start: %.2f us at 48 servers and 700 waiting tasks, "
              "%.2f us at 350 and 5,000\n",
              Small, Large);
  std::printf("1,000 waits on a full fleet of 1,100 servers: %.0f us without "
              "room, %.0f us with room for one\n",
              Plain, Mixed);
  std::printf("learning from a report of 20 runs: %.2f us at 48 servers, %.2f "
              "us at 350; a forecast %.2f us and %.2f us\n",
              Few.Report_, Many.Report_, Few.Forecast_, Many.Forecast_);
  std::printf("a decision of shares: %.0f us at 50 servers, 300 long-running "
              "tasks and 14 steps, %.0f us at 350, 2,100 and 100\n",
              FewShares, ManyShares);
  std::printf("jobs: commit_gain=%.2f plan_growth=%.2f wait_growth=%.2f "
              "learn_growth=%.2f share_growth=%.2f admission_growth=%.2f "
              "bounds=%s\n",
              Gain, Growth, WaitGrowth, LearnGrowth, ShareGrowth,
              AdmissionGrowth, IsMet ? "met" : "missed");
  return IsMet ? 0 : 1;
}
