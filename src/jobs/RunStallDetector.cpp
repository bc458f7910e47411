#include "jobs/RunStallDetector.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// Filling runs may have to wait for idle processors, and long-running ones
/// need time to start. Usual runs of 0.6 to 3 s progress with every report.
static constexpr Duration FillingStallTime = 6s;
static constexpr Duration LongRunningStallTime = 4s;
/// The wait in percents of the run. The speed of a run varies by a third, and
/// by a factor of two beside others.
static constexpr std::int64_t MeasuredPercents = 4;
/// Declared run times may be far too long, so they extend the wait least.
static constexpr std::int64_t DeclaredPercents = 2;
/// The first change may come soon after the first report, as the percentage is
/// a whole number. From the second on, a whole percent was seen.
static constexpr std::uint64_t MinChanges = 2;
/// Limits the factor of repeated stops to 1,024, which is half an hour.
static constexpr std::uint64_t MaxDoublings = 10;
static constexpr std::int64_t Percent = 100;

void RunStallDetector::prune(const JobRegistry &Registry) {
  std::erase_if(Stops_, [&Registry](const auto &Entry) {
    const JobRecord *Job = Registry.findJob(Entry.first.Job_);
    return !Job || isEnded(Job->State_);
  });
}

Duration RunStallDetector::getFloor(const StepSpec &Step) {
  if (Step.LongRunning_)
    return LongRunningStallTime;
  return Step.Fills_ ? FillingStallTime : MinStallTime;
}

/// Returns the wait for a run that has not shown its speed.
Duration RunStallDetector::getExpectedWait(const JobRecord &Job,
                                           std::uint64_t Step) const {
  const StepSpec &Spec = Job.Spec_.Steps_[Step];
  if (Spec.LongRunning_)
    return Duration(0);
  if (const auto Learned =
          RunTimes_.findQuantile(Job, Step, LearnedRunTimes::TailFraction))
    return *Learned * MeasuredPercents / Percent;
  return Duration(std::chrono::milliseconds(Spec.EstimateMs_)) *
         DeclaredPercents / Percent;
}

Duration RunStallDetector::getStallTime(const JobRecord &Job,
                                        const TaskKey &Task,
                                        const RunProgress &Progress) const {
  Duration Wait = std::max(getFloor(Job.Spec_.Steps_[Task.Step_]),
                           Progress.LongestPercentTime_ * MeasuredPercents);
  if (Progress.Changes_ < MinChanges)
    Wait = std::max(Wait, getExpectedWait(Job, Task.Step_));
  const auto It = Stops_.find(Task);
  const std::uint64_t Stops = It == Stops_.end() ? 0 : It->second;
  return Wait * (std::int64_t(1) << std::min(Stops, MaxDoublings));
}
