#include "jobs/JobValueEstimator.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// The fraction of an average job's value that does not depend on the job's
/// work. Defined by the users' rules for valuing jobs.
static constexpr double FixedFraction = 0.3;
/// The mean follows this many recent jobs, which is half a minute of a busy
/// queue.
static constexpr double MaxMeanCount = 100;
/// Work of a job that declares none, in milliseconds.
static constexpr double MinWork = 1;

static double getWork(const StepSpec &Step, std::uint64_t Tasks) {
  return double(Tasks) * double(Step.EstimateMs_) *
         double(Step.Need_.MilliCpus_) / 1000;
}

static double getWork(const JobSpec &Spec) {
  double Work = MinWork;
  for (const StepSpec &Step : Spec.Steps_)
    Work += getWork(Step, Step.Count_);
  return Work;
}

void JobValueEstimator::addJob(const JobRecord &Job) {
  Mean &Queue = MeanWork_[Job.Policy_.getKey()];
  Queue.Count_ = std::min(Queue.Count_ + 1, MaxMeanCount);
  Queue.Value_ += (getWork(Job.Spec_) - Queue.Value_) / Queue.Count_;
}

double JobValueEstimator::getDensity(const JobRecord &Job,
                                     const OccurrenceRecord &Occurrence) const {
  const double Total = getWork(Job.Spec_);
  const auto It = MeanWork_.find(Job.Policy_.getKey());
  const double QueueMean = It == MeanWork_.end() ? Total : It->second.Value_;
  double Remaining = MinWork;
  for (std::size_t I = 0; I < Job.Spec_.Steps_.size(); ++I) {
    const StepRecord &Record = Occurrence.Steps_[I];
    Remaining +=
        getWork(Job.Spec_.Steps_[I], Record.Tasks_.size() - Record.DoneCount_);
  }
  return (FixedFraction * QueueMean + (1 - FixedFraction) * Total) / Remaining;
}
