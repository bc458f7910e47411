//===- FleetBench.cpp - What a leader of a large fleet costs ---*- C++ -*-===//
//
// FleetBench [SERVERS[xLOAD] [SECONDS [SEED [CONTROL ENTRY]]]]: ten seconds at
// a time, the leader's processor time a second of the day, and what came of the
// work. LOAD is a factor on the jobs that end: far above 1 a queue builds up.
// With the addresses of the control that leads and of an entry, programs that
// run are driven in real time, and their time is measured from outside.
//
//===----------------------------------------------------------------------===//

#include "FleetWorld.h"
#include "LeaderTarget.h"
#include "ProcessTarget.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>

using namespace tulipweir::bench;

// NOLINTNEXTLINE(bugprone-exception-escape): whatever is thrown ends the bench.
int main(int Count, char **Words) {
  FleetLoad Load;
  const int Usual = Load.Servers_;
  if (Count > 1)
    Load.Servers_ = std::atoi(Words[1]);
  double Scale = double(Load.Servers_) / Usual;
  Load.LastingJobs_ = static_cast<int>(Load.LastingJobs_ * Scale);
  if (const char *Factor = Count > 1 ? std::strchr(Words[1], 'x') : nullptr)
    Scale *= std::atof(Factor + 1);
  Load.ShortPerSecond_ *= Scale;
  Load.FillingPerSecond_ *= Scale;
  const int Seconds = Count > 2 ? std::atoi(Words[2]) : 40;
  if (Count > 3)
    Load.Seed_ = std::strtoull(Words[3], nullptr, 10);
  std::unique_ptr<FleetTarget> Target;
  if (Count > 5)
    Target = std::make_unique<ProcessTarget>(
        tulipweir::net::Endpoint::parse(Words[4]).value(),
        tulipweir::net::Endpoint::parse(Words[5]).value());
  else
    Target = std::make_unique<LeaderTarget>();
  FleetWorld World(Load, *Target);
  for (int At = 0; At < Seconds; At += 10) {
    const FleetResult Now = World.run(10);
    std::printf(
        "%3d s: leader %.3f of a core, %.0f us a report, %.0f reports/s, "
        "%.0f starts/s; short %llu of %llu in time, filling %llu of %llu, "
        "tails over %.3f\n",
        At, Now.TargetSeconds_ / Now.Seconds_,
        1e6 * Now.TargetSeconds_ / double(Now.Reports_),
        double(Now.Reports_) / Now.Seconds_, double(Now.Starts_) / Now.Seconds_,
        static_cast<unsigned long long>(Now.ShortInTime_),
        static_cast<unsigned long long>(Now.ShortDone_),
        static_cast<unsigned long long>(Now.FillingInTime_),
        static_cast<unsigned long long>(Now.FillingDone_), Now.TailsOver_);
  }
  return 0;
}
