//===- FleetBench.cpp - Benchmark of a leader of a large fleet ------------===//
//
// FleetBench [SERVERS[xLOAD] [SECONDS [SEED [CONTROL ENTRY]]]] prints, for each
// ten simulated seconds, the leader's processor time per second and the results
// of the jobs. LOAD is a factor on the jobs that end; far above 1 the queue
// grows. Given the addresses of the leading control and of an entry, it drives
// running programs in real time, and their processor time is measured from
// outside.
//
//===----------------------------------------------------------------------===//

#include "FleetSimulator.h"
#include "LeaderTarget.h"
#include "ProcessTarget.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>

using namespace tulipweir::bench;

// NOLINTNEXTLINE(bugprone-exception-escape): whatever is thrown ends the bench.
int main(int ArgumentCount, char **Arguments) {
  FleetLoad Load;
  const int DefaultServers = Load.Servers_;
  if (ArgumentCount > 1)
    Load.Servers_ = std::atoi(Arguments[1]);
  double Scale = double(Load.Servers_) / DefaultServers;
  Load.LongRunningJobs_ = static_cast<int>(Load.LongRunningJobs_ * Scale);
  if (const char *Factor =
          ArgumentCount > 1 ? std::strchr(Arguments[1], 'x') : nullptr)
    Scale *= std::atof(Factor + 1);
  Load.ShortPerSecond_ *= Scale;
  Load.FillingPerSecond_ *= Scale;
  const int Seconds = ArgumentCount > 2 ? std::atoi(Arguments[2]) : 40;
  if (ArgumentCount > 3)
    Load.Seed_ = std::strtoull(Arguments[3], nullptr, 10);
  std::unique_ptr<FleetTarget> Target;
  if (ArgumentCount > 5)
    Target = std::make_unique<ProcessTarget>(
        tulipweir::net::Endpoint::parse(Arguments[4]).value(),
        tulipweir::net::Endpoint::parse(Arguments[5]).value());
  else
    Target = std::make_unique<LeaderTarget>();
  FleetSimulator Simulator(Load, *Target);
  for (int At = 0; At < Seconds; At += 10) {
    const FleetResult Result = Simulator.run(10);
    std::printf(
        "%3d s: leader %.3f of a core, %.0f us a report, %.0f reports/s, "
        "%.0f starts/s; short %llu of %llu in time, filling %llu of %llu, "
        "tails over %.3f\n",
        At, Result.TargetCpuSeconds_ / Result.Seconds_,
        1e6 * Result.TargetCpuSeconds_ / double(Result.Reports_),
        double(Result.Reports_) / Result.Seconds_,
        double(Result.Starts_) / Result.Seconds_,
        static_cast<unsigned long long>(Result.ShortInTime_),
        static_cast<unsigned long long>(Result.ShortDone_),
        static_cast<unsigned long long>(Result.FillingInTime_),
        static_cast<unsigned long long>(Result.FillingDone_),
        Result.OverTargetShare_);
  }
  return 0;
}
