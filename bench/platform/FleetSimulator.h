//===- FleetSimulator.h - Simulated servers and clients ---------*- C++ -*-===//
//
// Simulates several hundred backend servers, whose tasks run on a manual clock
// and which report in the platform's format, and clients that submit three
// kinds of jobs: short, filling and long-running ones. They talk to a
// FleetTarget. Runs with the same seed are identical if the target gives the
// same answers.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_BENCH_PLATFORM_FLEETSIMULATOR_H
#define TULIPWEIR_BENCH_PLATFORM_FLEETSIMULATOR_H

#include "FleetTarget.h"

#include <nlohmann/json.hpp>

#include <random>

namespace tulipweir::bench {

/// Sizes of the load. The defaults are those that the users state for their
/// grown deployments.
struct FleetLoad {
  int Servers_ = 350;
  double ShortPerSecond_ = 16;
  double FillingPerSecond_ = 13;
  int LongRunningJobs_ = 110;
  int TasksPerShortJob_ = 10;
  int TasksPerFillingJob_ = 20;
  int TasksPerLongRunningJob_ = 14;
  std::uint64_t Seed_ = 1;
};

struct FleetResult {
  double Seconds_ = 0;          ///< Simulated time.
  double TargetCpuSeconds_ = 0; ///< Processor time of the target; 0 if unknown.
  std::uint64_t Reports_ = 0;
  std::uint64_t Starts_ = 0;
  std::uint64_t ShortDone_ = 0;
  std::uint64_t ShortInTime_ = 0;
  std::uint64_t FillingDone_ = 0;
  std::uint64_t FillingInTime_ = 0;
  /// Share of the serving tasks' samples above the target.
  double OverTargetShare_ = 0;
};

/// Simulates servers and clients of a FleetTarget. Not thread-safe.
class FleetSimulator {
public:
  FleetSimulator(const FleetLoad &Load, FleetTarget &Target);
  /// Simulates that many seconds and returns the figures of this time.
  FleetResult run(int Seconds);

private:
  struct Run {
    std::uint64_t Number_ = 0;
    std::string Kind_; ///< "s", or "f" or "l" and the image's number.
    double RemainingMs_ = 0;
    double TotalMs_ = 0;
    std::int64_t Cpu_ = 0;
    double Pace_ = 1;
  };
  struct Server {
    std::string Id_;
    std::string Rack_;
    std::map<std::string, Run> Running_;
    std::vector<nlohmann::json> Ended_;
    std::uint64_t LastEndNumber_ = 0;
    std::uint64_t Sequence_ = 0;
    std::int64_t ReportAtMs_ = 0;
    bool IsReportPending_ = false; ///< The last report has no answer yet.
  };
  struct Job {
    std::int64_t SubmittedMs_ = 0;
    std::int64_t DueMs_ = 0;
    bool IsFilling_ = false;
  };

  void submitJob(char Kind);
  void advanceTasks(Server &Backend, int ElapsedMs);
  void sendReport(Server &Backend);
  void applyOrders(Server &Backend, const std::string &Answer);
  void recordCompletedJobs();
  double sampleTail(const Server &Backend, const Run &Serving);
  double draw(double Mean, double Spread);

  const FleetLoad Load_;
  std::mt19937_64 Random_;
  FleetTarget &Target_;
  std::vector<Server> Servers_;
  std::map<std::string, Job> Jobs_;
  std::int64_t NowMs_ = 0;
  FleetResult Result_;
  std::uint64_t TailSamples_ = 0;
  std::uint64_t OverTargetSamples_ = 0;
};

} // namespace tulipweir::bench

#endif // TULIPWEIR_BENCH_PLATFORM_FLEETSIMULATOR_H
