#include "platform/soak/SoakPlan.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

using namespace tulipweir::platform_test;
using tulipweir::system_test::Milliseconds;

/// Several within an election, and some far apart.
static constexpr int ShortestPauseMs = 100;
static constexpr int LongestPauseMs = 2500;
/// From less than a heartbeat to more than a lease of two seconds.
static constexpr int ShortestMs = 100;
static constexpr int LongestMs = 4000;

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

static bool isOfWorkers(FaultKind Kind) {
  return Kind >= FaultKind::CrashWorker;
}

std::vector<SoakFault>
tulipweir::platform_test::planFaults(std::uint64_t Seed, Milliseconds Length,
                                     std::size_t Workers) {
  static constexpr std::array<const char *, 5> Processes = {
      "control0", "control1", "control2", "entry0", "entry1"};
  std::mt19937_64 Random(Seed);
  const auto Draw = [&Random](std::uint64_t Least, std::uint64_t Most) {
    // Not a distribution of the library's: those differ between libraries.
    return Least + Random() % (Most - Least + 1);
  };
  std::vector<SoakFault> Plan;
  bool HasLostDisk = false;
  Milliseconds At(0);
  for (;;) {
    At += Milliseconds(Draw(ShortestPauseMs, LongestPauseMs));
    SoakFault Next;
    Next.Kind_ = static_cast<FaultKind>(Draw(0, Names.size() - 1));
    Next.At_ = At;
    Next.For_ = Milliseconds(Draw(ShortestMs, LongestMs));
    if (At + Next.For_ > Length)
      return Plan;
    if (isOfWorkers(Next.Kind_))
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
         (isOfWorkers(Fault.Kind_) ? "w" + std::to_string(Fault.Worker_)
                                   : Fault.Process_) +
         " at " + std::to_string(Fault.At_.count()) + " ms for " +
         std::to_string(Fault.For_.count()) + " ms";
}
