#include "jobs/JobValueEstimator.h"

#include <array>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// The fraction of an average job's value that does not depend on the job's
/// work. Defined by the users' rules for valuing jobs.
static constexpr double FixedFraction = 0.3;
/// The fraction of a job's value by its lateness. Defined by the same rules.
static constexpr std::array<double, 3> ValueByLateness = {1, 0.15, 0};
/// How much more the jobs of a size count that is behind. A job that has not
/// begun comes before smaller ones that have not, but not before those of which
/// most has started.
static constexpr double BehindFactor = 2;
/// Work of a job that declares none, in processor seconds.
static constexpr double MinWork = 0.001;

double JobValueEstimator::getWork(const JobRecord &Job, std::uint64_t Step,
                                  std::uint64_t Tasks) const {
  const std::chrono::duration<double> RunTime = RunTimes_.getTypical(Job, Step);
  return double(Tasks) * RunTime.count() *
         double(Job.Spec_.Steps_[Step].Need_.MilliCpus_) / 1000;
}

double JobValueEstimator::getWork(const JobRecord &Job) const {
  double Work = MinWork;
  for (std::size_t Step = 0; Step < Job.Spec_.Steps_.size(); ++Step)
    Work += getWork(Job, Step, Job.Spec_.Steps_[Step].Count_);
  return Work;
}

void JobValueEstimator::addJob(const JobRecord &Job) {
  Queues_[Job.Policy_.getKey()].addJob(getWork(Job));
}

void JobValueEstimator::recordStart(const JobRecord &Job, std::uint64_t Step) {
  const auto It = Queues_.find(Job.Policy_.getKey());
  if (It != Queues_.end())
    It->second.recordStart(getWork(Job), getWork(Job, Step, 1));
}

double JobValueEstimator::getDensity(const JobRecord &Job,
                                     const OccurrenceRecord &Occurrence,
                                     Lateness When) const {
  const double Total = getWork(Job);
  const auto It = Queues_.find(Job.Policy_.getKey());
  const double QueueMean = It == Queues_.end() ? Total : It->second.getMean();
  double Waiting = MinWork;
  for (std::size_t I = 0; I < Job.Spec_.Steps_.size(); ++I)
    Waiting += getWork(Job, I, Occurrence.Steps_[I].Waiting_);
  const bool IsBehind = When == Lateness::OnTime && It != Queues_.end() &&
                        It->second.isBehind(Total);
  return (FixedFraction * QueueMean + (1 - FixedFraction) * Total) / Waiting *
         ValueByLateness.at(static_cast<std::size_t>(When)) *
         (IsBehind ? BehindFactor : 1);
}
