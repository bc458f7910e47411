//===- FleetSimulator.h - Backend servers and clients as arithmetic -*- C++
//-*-===//
//
// Several hundred servers whose tasks run by a manual clock, each reporting in
// the platform's words, and clients that hand in three kinds of jobs: short
// ones, ones that fill, ones that serve until they are cancelled. What they
// speak to is a FleetTarget. The same seed gives the same day, as far as the
// target answers alike.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_BENCH_PLATFORM_FLEETSIMULATOR_H
#define TULIPWEIR_BENCH_PLATFORM_FLEETSIMULATOR_H

#include "FleetTarget.h"

#include <nlohmann/json.hpp>

#include <random>

namespace tulipweir::bench {

/// Sizes as on the users' sheets for their grown deployments.
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
  double Seconds_ = 0; ///< Of the day that was simulated.
  double TargetCpuSeconds_ =
      0; ///< Processor time in the target, if it is known.
  std::uint64_t Reports_ = 0;
  std::uint64_t Starts_ = 0;
  std::uint64_t ShortDone_ = 0;
  std::uint64_t ShortInTime_ = 0;
  std::uint64_t FillingDone_ = 0;
  std::uint64_t FillingInTime_ = 0;
  double OverTargetShare_ =
      0; ///< Share of the serving tasks' reports over target.
};

class FleetSimulator {
public:
  FleetSimulator(const FleetLoad &Load, FleetTarget &Target);
  /// Goes on for so many seconds and says what happened in them.
  FleetResult run(int Seconds);

private:
  struct Run {
    std::uint64_t Number_ = 0;
    std::string Kind_; ///< "s", "f" or "l" with the image's number.
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
    bool IsReportPending_ = false; ///< For an answer.
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
