//===- PolicyBench.cpp - Tail latency, throughput and evictions ----------===//

#include "ComparedPolicies.h"
#include "DecideBench.h"

#include <algorithm>
#include <array>
#include <cstdio>

using namespace tulipweir;
using namespace tulipweir::decide;

static constexpr std::array<int, 3> LagSeconds = {0, 2, 10};
static constexpr std::array<std::uint64_t, 6> Seeds = {1, 2, 3, 11, 12, 13};

namespace {
struct Comparison {
  WorkloadResult Planner_;
  WorkloadResult FirstFit_;
};
} // namespace

static void print(const char *Name, int Lag, std::uint64_t Seed,
                  const WorkloadResult &Result) {
  std::printf("%-9s lag=%2ds seed=%llu p99=%.3fx finished=%6d work=%9.0f "
              "evictions=%5d lost=%8.0f throttles=%5d guard=%5d false=%4d "
              "refused=%d\n",
              Name, Lag, static_cast<unsigned long long>(Seed),
              Result.TailRatio_, Result.FinishedTasks_, Result.FinishedWork_,
              Result.Evictions_, Result.LostToEvictions_, Result.Throttles_,
              Result.GuardActions_, Result.FalseAlarms_, Result.Overfilled_);
}

/// The oracle has no lag, so one run serves for all lags.
static WorkloadResult runOracle(std::uint64_t Seed) {
  WorkloadSettings Settings;
  Settings.Seed_ = Seed;
  SimulatedWorkload Workload(Settings);
  const auto Result = Workload.run(*makeOracle(Workload));
  print("oracle", 0, Seed, Result);
  return Result;
}

static Comparison compare(int Lag, std::uint64_t Seed) {
  WorkloadSettings Settings;
  Settings.Seed_ = Seed;
  Settings.Lag_ = std::chrono::seconds(Lag);
  const Policy Weights = SimulatedWorkload::makePolicy();
  Comparison Result;
  SimulatedWorkload PlannerWorkload(Settings);
  Result.Planner_ = PlannerWorkload.run(*makePlannerPolicy(Weights, Seed));
  print("ours", Lag, Seed, Result.Planner_);
  SimulatedWorkload FirstFitWorkload(Settings);
  Result.FirstFit_ = FirstFitWorkload.run(*makeFirstFit(Weights));
  print("first-fit", Lag, Seed, Result.FirstFit_);
  return Result;
}

bool decide::measurePolicy() {
  std::printf("40 servers, 1800 s, declared sizes off by up to 5x, noisy "
              "waves, 5%% failing servers, VM losses, cancellations\n");
  bool Met = true;
  double MaxTailRatio = 0;
  double MinFinishedRatio = 1e9;
  double MaxEvictionRatio = 0;
  int Actions = 0;
  int FalseAlarms = 0;
  double OracleWork = 0;
  for (const std::uint64_t Seed : Seeds)
    OracleWork += runOracle(Seed).FinishedWork_;
  for (const int Lag : LagSeconds) {
    double FinishedWork = 0;
    double Evictions = 0;
    double FirstFitEvictions = 0;
    for (const std::uint64_t Seed : Seeds) {
      const Comparison Results = compare(Lag, Seed);
      MaxTailRatio = std::max(MaxTailRatio, Results.Planner_.TailRatio_);
      FinishedWork += Results.Planner_.FinishedWork_;
      Evictions += Results.Planner_.Evictions_;
      FirstFitEvictions += Results.FirstFit_.Evictions_;
      Actions += Results.Planner_.GuardActions_;
      FalseAlarms += Results.Planner_.FalseAlarms_;
    }
    std::printf("lag %d s: finished %.3f of the oracle's, evictions %.3f of "
                "first-fit's\n",
                Lag, FinishedWork / OracleWork, Evictions / FirstFitEvictions);
    MinFinishedRatio = std::min(MinFinishedRatio, FinishedWork / OracleWork);
    MaxEvictionRatio =
        std::max(MaxEvictionRatio, Evictions / FirstFitEvictions);
  }
  Met &= checkBound("worst p99 against alone", MaxTailRatio, "<=", 1.3);
  Met &= checkBound("finished against oracle", MinFinishedRatio, ">=", 0.85);
  Met &= checkBound("evictions against first-fit", MaxEvictionRatio, "<=", 0.5);
  std::printf("policy: p99_ratio=%.3f finished_part=%.3f evictions_part=%.3f "
              "false_alarms=%d/%d bounds=%s\n",
              MaxTailRatio, MinFinishedRatio, MaxEvictionRatio, FalseAlarms,
              Actions, Met ? "met" : "missed");
  return Met;
}
