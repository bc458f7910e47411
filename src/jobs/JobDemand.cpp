#include "jobs/JobDemand.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;

static constexpr std::uint64_t Percent = 100;
static constexpr double MilliCpusPerCpu = 1000;
/// Longest declared time that is told apart, in milliseconds: eleven days.
static constexpr std::uint64_t MaxDeclaredMs = 1'000'000'000;

Duration jobs::getObjective(const JobSpec &Job, const QueuePolicy &Queue) {
  const std::uint64_t Chain = std::min(getLongestChainMs(Job), MaxDeclaredMs);
  const std::uint64_t Stretched =
      std::min(Chain * Queue.StretchPercent_ / Percent, MaxDeclaredMs);
  return std::chrono::milliseconds(std::min(Queue.ObjectiveMs_, MaxDeclaredMs) +
                                   Stretched);
}

Duration jobs::getLongestChain(const JobSpec &Job,
                               const std::vector<Duration> &RunTimes) {
  std::vector<Duration> Ends;
  Duration Longest{};
  for (std::size_t I = 0; I < Job.Steps_.size(); ++I) {
    Duration Begin{};
    for (const std::uint64_t Other : Job.Steps_[I].DependsOn_)
      Begin = std::max(Begin, Ends[Other]);
    Ends.push_back(Begin + RunTimes[I]);
    Longest = std::max(Longest, Ends.back());
  }
  return Longest;
}

double jobs::getWorkPerTask(const StepSpec &Step, Duration RunTime) {
  // A task without processors still takes its time.
  const std::int64_t MilliCpus =
      std::max<std::int64_t>(Step.Need_.MilliCpus_, 1);
  return static_cast<double>(MilliCpus) / MilliCpusPerCpu *
         std::chrono::duration<double>(RunTime).count();
}
