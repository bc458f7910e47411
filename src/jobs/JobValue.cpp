#include "jobs/JobValue.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// Of what a job of average work is worth, the part that does not depend on its
/// work (the users' rules of what counts).
static constexpr double FixedPart = 0.3;
/// The mean follows the last so many jobs: half a minute of a busy queue.
static constexpr double MostCounted = 100;
/// A job without declared work counts as that much, milliseconds.
static constexpr double LeastWork = 1;

static double getWork(const StepSpec &Step, std::uint64_t Tasks) {
  return double(Tasks) * double(Step.EstimateMs_) *
         double(Step.Need_.MilliCpus_) / 1000;
}

static double getWork(const JobSpec &Spec) {
  double Work = LeastWork;
  for (const StepSpec &Step : Spec.Steps_)
    Work += getWork(Step, Step.Count_);
  return Work;
}

void JobValue::noteJob(const JobRecord &Job) {
  Mean &Own = Work_[Job.Policy_.getKey()];
  Own.Count_ = std::min(Own.Count_ + 1, MostCounted);
  Own.Value_ += (getWork(Job.Spec_) - Own.Value_) / Own.Count_;
}

double JobValue::getDensity(const JobRecord &Job,
                            const OccurrenceRecord &Occurrence) const {
  const double Whole = getWork(Job.Spec_);
  const auto Found = Work_.find(Job.Policy_.getKey());
  const double Usual = Found == Work_.end() ? Whole : Found->second.Value_;
  double Left = LeastWork;
  for (std::size_t At = 0; At < Job.Spec_.Steps_.size(); ++At) {
    const StepRecord &Record = Occurrence.Steps_[At];
    Left += getWork(Job.Spec_.Steps_[At], Record.Tasks_.size() - Record.Done_);
  }
  return (FixedPart * Usual + (1 - FixedPart) * Whole) / Left;
}
