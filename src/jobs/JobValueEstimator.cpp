#include "jobs/JobValueEstimator.h"

#include <array>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

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
/// An estimate is used for this time, a fifth of a report interval.
static constexpr Duration MaxEstimateAge = 100ms;

void JobValueEstimator::reset() {
  Queues_.clear();
  Estimates_.clear();
}

JobEstimate JobValueEstimator::read(const JobRecord &Job, TimePoint Now) {
  ++EstimatesMade_;
  JobEstimate Result;
  Result.Work_ = MinWork;
  Result.ReadAt_ = Now;
  for (std::size_t Step = 0; Step < Job.Spec_.Steps_.size(); ++Step) {
    const StepSpec &Spec = Job.Spec_.Steps_[Step];
    const Duration RunTime = RunTimes_.getTypical(Job, Step);
    const double TaskWork = std::chrono::duration<double>(RunTime).count() *
                            double(Spec.Need_.MilliCpus_) / 1000;
    Result.RunTimes_.push_back(RunTime);
    Result.TaskWork_.push_back(TaskWork);
    Result.Work_ += double(Spec.Count_) * TaskWork;
  }
  return Result;
}

const JobEstimate &JobValueEstimator::estimate(const JobRecord &Job,
                                               TimePoint Now) {
  const auto [It, IsNew] = Estimates_.try_emplace(Job.Sequence_);
  if (IsNew || Now - It->second.ReadAt_ >= MaxEstimateAge)
    It->second = read(Job, Now);
  return It->second;
}

void JobValueEstimator::prune(TimePoint Now) {
  if (Now < NextPrune_)
    return;
  NextPrune_ = Now + MaxEstimateAge;
  std::erase_if(Estimates_, [Now](const auto &Entry) {
    return Now - Entry.second.ReadAt_ >= 2 * MaxEstimateAge;
  });
}

void JobValueEstimator::addJob(const JobRecord &Job, TimePoint Now) {
  Queues_[Job.Policy_.getKey()].addJob(estimate(Job, Now).Work_);
}

void JobValueEstimator::recordStart(const JobRecord &Job, std::uint64_t Step,
                                    TimePoint Now) {
  const auto It = Queues_.find(Job.Policy_.getKey());
  if (It == Queues_.end())
    return;
  const JobEstimate &Estimate = estimate(Job, Now);
  It->second.recordStart(Estimate.Work_, Estimate.TaskWork_[Step]);
}

double JobValueEstimator::getDensity(const JobRecord &Job,
                                     const JobEstimate &Estimate,
                                     const OccurrenceRecord &Occurrence,
                                     Lateness When) const {
  const auto It = Queues_.find(Job.Policy_.getKey());
  const double QueueMean =
      It == Queues_.end() ? Estimate.Work_ : It->second.getMean();
  double Waiting = MinWork;
  for (std::size_t I = 0; I < Estimate.TaskWork_.size(); ++I)
    Waiting += double(Occurrence.Steps_[I].Waiting_) * Estimate.TaskWork_[I];
  const bool IsBehind = When == Lateness::OnTime && It != Queues_.end() &&
                        It->second.isBehind(Estimate.Work_);
  return (FixedFraction * QueueMean + (1 - FixedFraction) * Estimate.Work_) /
         Waiting * ValueByLateness.at(static_cast<std::size_t>(When)) *
         (IsBehind ? BehindFactor : 1);
}
