#include "platform/soak/SoakPlan.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

using namespace tulipweir::platform_test;
using tulipweir::system_test::Milliseconds;

/// Delays range from several faults during one election to faults far apart.
static constexpr int MinDelayMs = 100;
static constexpr int MaxDelayMs = 2500;
/// Faults last from less than a heartbeat to more than a lease of two seconds.
static constexpr int MinFaultMs = 100;
static constexpr int MaxFaultMs = 4000;

static constexpr std::array<const char *, 13> Names = {"kill",
                                                       "freeze",
                                                       "stop",
                                                       "lose-disk",
                                                       "kill-controls",
                                                       "cut",
                                                       "cut-out",
                                                       "cut-in",
                                                       "silence",
                                                       "reset",
                                                       "crash-worker",
                                                       "cut-worker",
                                                       "cut-and-crash-worker"};

static bool isWorkerFault(FaultKind Kind) {
  return Kind >= FaultKind::CrashWorker;
}

std::vector<SoakFault>
tulipweir::platform_test::planFaults(std::uint64_t Seed, Milliseconds Length,
                                     std::size_t Workers) {
  static constexpr std::array<const char *, 5> Processes = {
      "control0", "control1", "control2", "entry0", "entry1"};
  std::mt19937_64 Random(Seed);
  const auto Draw = [&Random](std::uint64_t Min, std::uint64_t Max) {
    // Distributions of the standard library differ between implementations.
    return Min + Random() % (Max - Min + 1);
  };
  std::vector<SoakFault> Plan;
  bool HasLostDisk = false;
  Milliseconds At(0);
  for (;;) {
    At += Milliseconds(Draw(MinDelayMs, MaxDelayMs));
    SoakFault Next;
    Next.Kind_ = static_cast<FaultKind>(Draw(0, Names.size() - 1));
    Next.At_ = At;
    Next.Length_ = Milliseconds(Draw(MinFaultMs, MaxFaultMs));
    if (At + Next.Length_ > Length)
      return Plan;
    if (isWorkerFault(Next.Kind_))
      Next.Worker_ = Draw(0, Workers - 1);
    else
      Next.Process_ = Processes.at(Draw(0, Processes.size() - 1));
    if (Next.Kind_ == FaultKind::LoseDisk) {
      if (std::exchange(HasLostDisk, true))
        continue;
      Next.Process_ = Processes.at(Draw(0, 2));
    }
    Plan.push_back(Next);
  }
}

std::string tulipweir::platform_test::describe(const SoakFault &Fault) {
  return std::string(Names.at(static_cast<std::size_t>(Fault.Kind_))) + " " +
         (isWorkerFault(Fault.Kind_) ? "w" + std::to_string(Fault.Worker_)
                                     : Fault.Process_) +
         " at " + std::to_string(Fault.At_.count()) + " ms for " +
         std::to_string(Fault.Length_.count()) + " ms";
}
