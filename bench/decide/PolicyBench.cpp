//===- PolicyBench.cpp - Tail, throughput and evictions -----------------===//

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
  WorkloadResult Ours_;
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

/// The oracle sees everything without lag: one run does for all.
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
  SimulatedWorkload ForOurs(Settings);
  Result.Ours_ = ForOurs.run(*makePlannerPolicy(Weights, Seed));
  print("ours", Lag, Seed, Result.Ours_);
  SimulatedWorkload ForFirstFit(Settings);
  Result.FirstFit_ = ForFirstFit.run(*makeFirstFit(Weights));
  print("first-fit", Lag, Seed, Result.FirstFit_);
  return Result;
}

bool decide::measurePolicy() {
  std::printf("40 servers, 1800 s, declared sizes off by up to 5x, noisy "
              "waves, 5%% failing servers, VM losses, cancellations\n");
  bool Met = true;
  double WorstTail = 0;
  double LeastFinished = 1e9;
  double MostEvictions = 0;
  int Actions = 0;
  int FalseAlarms = 0;
  double Oracle = 0;
  for (const std::uint64_t Seed : Seeds)
    Oracle += runOracle(Seed).FinishedWork_;
  for (const int Lag : LagSeconds) {
    double Ours = 0;
    double Evictions = 0;
    double FirstFit = 0;
    for (const std::uint64_t Seed : Seeds) {
      const Comparison Results = compare(Lag, Seed);
      WorstTail = std::max(WorstTail, Results.Ours_.TailRatio_);
      Ours += Results.Ours_.FinishedWork_;
      Evictions += Results.Ours_.Evictions_;
      FirstFit += Results.FirstFit_.Evictions_;
      Actions += Results.Ours_.GuardActions_;
      FalseAlarms += Results.Ours_.FalseAlarms_;
    }
    std::printf("lag %d s: finished %.3f of the oracle's, evictions %.3f of "
                "first-fit's\n",
                Lag, Ours / Oracle, Evictions / FirstFit);
    LeastFinished = std::min(LeastFinished, Ours / Oracle);
    MostEvictions = std::max(MostEvictions, Evictions / FirstFit);
  }
  Met &= checkBound("worst p99 against alone", WorstTail, "<=", 1.3);
  Met &= checkBound("finished against oracle", LeastFinished, ">=", 0.85);
  Met &= checkBound("evictions against first-fit", MostEvictions, "<=", 0.5);
  std::printf("policy: p99_ratio=%.3f finished_part=%.3f evictions_part=%.3f "
              "false_alarms=%d/%d bounds=%s\n",
              WorstTail, LeastFinished, MostEvictions, FalseAlarms, Actions,
              Met ? "met" : "missed");
  return Met;
}
