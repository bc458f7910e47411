#include "jobs/FillingLoad.h"

#include <algorithm>
#include <cmath>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

static constexpr Duration Tick = 10ms;
static constexpr Duration ReportInterval = 500ms;
/// A server reports an end after this time.
static constexpr Duration EndDelay = 50ms;
static constexpr Duration SurveyInterval = 50ms;
static constexpr Duration DrainTime = 15s;
static constexpr std::int64_t ServerCpus = 16'000;
static constexpr std::int64_t TaskCpus = 1'800;
static constexpr double MeanWidth = 20;
static constexpr std::uint64_t MinWidth = 4;
static constexpr std::uint64_t MaxWidth = 80;
static constexpr double MeanRunMs = 2200;
static constexpr double MeanSteps = 2;
/// The value of a job that is late.
static constexpr double LateValue = 0.15;

/// Draws from a log-normal distribution by its mean.
static double draw(std::mt19937_64 &Random, double Mean, double Spread) {
  std::lognormal_distribution<double> Shape(
      std::log(Mean) - Spread * Spread / 2, Spread);
  return Shape(Random);
}

void FillingLoad::submitNext(std::size_t Number) {
  Job Next;
  Next.Id_ = "job" + std::to_string(Number);
  Next.AcceptedAt_ = Now_;
  std::vector<StepSpec> Steps;
  const std::uint64_t StepCount = 1 + Random_() % 3;
  Duration Chain{};
  for (std::uint64_t I = 0; I < StepCount; ++I) {
    const auto Width =
        std::clamp(static_cast<std::uint64_t>(draw(Random_, MeanWidth, 0.6)),
                   MinWidth, MaxWidth);
    const double RunMs = std::min(draw(Random_, MeanRunMs, 0.5), 5400.0);
    StepSpec Step =
        makeFilling(Width, "f" + std::to_string(Number % 4), TaskCpus);
    Step.EstimateMs_ = static_cast<std::uint64_t>(draw(Random_, RunMs, 0.2));
    if (I > 0)
      Step.DependsOn_ = {I - 1};
    Steps.push_back(Step);
    std::vector<Duration> &RunTimes = Next.RunTimes_.emplace_back();
    for (std::uint64_t Task = 0; Task < Width; ++Task)
      RunTimes.push_back(std::chrono::milliseconds(
          static_cast<std::int64_t>(draw(Random_, RunMs, 0.15))));
    Chain += *std::max_element(RunTimes.begin(), RunTimes.end());
    Next.Work_ += double(Width) * RunMs / 1000 * double(TaskCpus) / 1000;
  }
  Next.Objective_ = 1s + 2 * Chain;
  submitNow(makeJob(Next.Id_, Steps));
  ByIds_[Next.Id_] = Jobs_.size();
  Jobs_.push_back(std::move(Next));
}

/// Applies the ends that the report tells.
void FillingLoad::endRuns(const SentReport &Sent) {
  std::vector<RunEnd> &Runs = Running_[Sent.Server_];
  const auto IsTold = [&Sent](const RunEnd &Run) {
    return Run.At_ <= Sent.At_;
  };
  for (const RunEnd &Run : Runs) {
    if (!IsTold(Run))
      continue;
    end(Run.Start_, RunOutcome::Done);
    Job &Of = Jobs_[ByIds_[Run.Start_.Task_.Job_]];
    if (getJobState(Of.Id_) == JobState::Completed)
      Of.EndedAt_ = Now_;
  }
  std::erase_if(Runs, IsTold);
}

void FillingLoad::report(const SentReport &Sent) {
  endRuns(Sent);
  const std::vector<TaskStart> Starts = Dispatcher_.plan(
      Registry_, LiveServers_, Sent.Server_, Now_, WallTime(Wall_));
  apply(StartTasks{Starts});
  Dispatcher_.releaseProposed(Starts);
  std::vector<RunEnd> &Runs = Running_[Sent.Server_];
  for (const TaskStart &Start : Starts) {
    const Job &Of = Jobs_[ByIds_[Start.Task_.Job_]];
    Runs.push_back(
        {Now_ + Of.RunTimes_[Start.Task_.Step_][Start.Task_.Index_], Start});
  }
  TimePoint Next = Now_ + ReportInterval;
  for (const RunEnd &Run : Runs)
    Next = std::min(Next, std::max(Run.At_, Now_) + EndDelay);
  NextReports_[Sent.Server_] = Next;
}

void FillingLoad::sendReports() {
  for (auto It = NextReports_.begin(); It != NextReports_.end();) {
    if (It->second > Now_) {
      ++It;
      continue;
    }
    Inbox_.push_back({It->first, Now_});
    It = NextReports_.erase(It);
  }
}

void FillingLoad::runLeader(const LeaderCosts &Costs) {
  const TimePoint End = Now_ + Tick;
  IsBusyUntil_ = std::max(IsBusyUntil_, Now_);
  if (IsBusyUntil_ < End && Now_ >= NextSurvey_) {
    Pacing_.update(Now_);
    Dispatcher_.setOrderAgeFactor(Pacing_.getFactor());
    Dispatcher_.survey(Registry_, LiveServers_, Now_);
    NextSurvey_ = Now_ + SurveyInterval * Pacing_.getFactor();
    IsBusyUntil_ += Costs.Survey_;
  }
  while (IsBusyUntil_ < End && !Inbox_.empty()) {
    const SentReport Next = Inbox_.front();
    Inbox_.pop_front();
    Waits_.emplace_back(Now_, Now_ - Next.At_);
    Pacing_.recordReport(Now_ - Next.At_);
    report(Next);
    IsBusyUntil_ += Costs.Report_ +
                    Costs.OrderStep_ * static_cast<std::int64_t>(
                                           Dispatcher_.takeOrderStepsRead());
  }
}

Duration FillingLoad::getLongestWait(Duration From) const {
  Duration Longest{};
  for (const auto &[At, Waited] : Waits_)
    if (At >= BeginsAt_ + From)
      Longest = std::max(Longest, Waited);
  return Longest;
}

void FillingLoad::play(const FillingScenario &Scenario) {
  Random_.seed(Scenario.Seed_);
  for (const char *Idle : {"s1", "s2"})
    apply(RemoveServer{Idle, {}, true, {}});
  for (std::size_t I = 0; I < Scenario.Servers_; ++I) {
    ServerFacts Facts = makeServer("f" + std::to_string(I), ServerCpus);
    Facts.Capacity_.MemoryMib_ = 1'000'000;
    apply(AddServer{Facts});
    NextReports_[Facts.Id_] =
        Now_ + ReportInterval * static_cast<std::int64_t>(I) /
                   static_cast<std::int64_t>(Scenario.Servers_);
  }
  LiveServers_.reset(Registry_, Now_, 1h);
  const double JobWork =
      MeanSteps * MeanWidth * MeanRunMs / 1000 * double(TaskCpus) / 1000;
  const double PerSecond = Scenario.Load_ * double(Scenario.Servers_) *
                           double(ServerCpus) / 1000 / JobWork;
  std::exponential_distribution<double> Gap(PerSecond);
  BeginsAt_ = Now_;
  TimePoint NextJob = Now_;
  const TimePoint End = Now_ + Scenario.Length_;
  while (Now_ < End + DrainTime) {
    while (Now_ >= NextJob && Now_ < End) {
      submitNext(Jobs_.size());
      NextJob += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Gap(Random_)));
    }
    sendReports();
    runLeader(Scenario.Costs_);
    advance(Tick);
  }
}

SizeClass FillingLoad::getLargest(double From, double To) const {
  std::vector<const Job *> Sorted;
  for (const Job &Each : Jobs_)
    Sorted.push_back(&Each);
  std::stable_sort(
      Sorted.begin(), Sorted.end(),
      [](const Job *A, const Job *B) { return A->Work_ > B->Work_; });
  SizeClass Result;
  for (auto I = static_cast<std::size_t>(From * double(Sorted.size()));
       I < static_cast<std::size_t>(To * double(Sorted.size())); ++I) {
    ++Result.Jobs_;
    if (Sorted[I]->isWithin(1))
      ++Result.OnTime_;
    else if (Sorted[I]->isWithin(3))
      ++Result.Late_;
  }
  return Result;
}

double FillingLoad::getWorth() const {
  double All = 0;
  double Earned = 0;
  double Mean = 0;
  for (const Job &Each : Jobs_)
    Mean += Each.Work_ / double(Jobs_.size());
  for (const Job &Each : Jobs_) {
    const double Worth = std::min(0.3 + 0.7 * Each.Work_ / Mean, 4.0);
    All += Worth;
    Earned += Each.isWithin(1)   ? Worth
              : Each.isWithin(3) ? Worth * LateValue
                                 : 0;
  }
  return Earned / All;
}
