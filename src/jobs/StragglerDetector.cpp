#include "jobs/StragglerDetector.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// Half a report interval: nothing new is known sooner.
static constexpr Duration SurveyInterval = 250ms;
/// While no run times are known, a run is late after this many times its
/// declared duration; declarations are off by a fifth, and tasks of a step
/// differ by as much.
static constexpr std::int64_t LateFactor = 2;
/// A copy is expected to take no longer than this fraction of the runs of the
/// step: one copy in twenty may be in vain.
static constexpr double CopyFraction = LearnedRunTimes::TailFraction;
/// A run must also be late by this much, as progress is seen one report late.
static constexpr Duration MinDelay = 600ms;
/// Bounds the work of a plan.
static constexpr std::size_t MaxListed = 64;
static constexpr std::uint64_t Percent = 100;
/// The speed of a run is known after a report interval.
static constexpr Duration MinObserved = 400ms;

void StragglerDetector::reset() {
  Late_.clear();
  NextSurvey_ = {};
}

/// Returns whether the run still needs longer than a copy. Copy is the time
/// that a copy takes.
static bool needsLongerThan(Duration Copy, const RunProgress &Run,
                            TimePoint Now) {
  const Duration SinceChange = Now - Run.ChangedAt_;
  // Without progress, the time in which a copy would have ended counts.
  if (SinceChange >= Copy + MinDelay)
    return true;
  const Duration Observed = Run.ChangedAt_ - Run.SeenAt_;
  if (Observed < MinObserved || Run.Percent_ <= Run.FirstPercent_)
    return false;
  const auto Left =
      static_cast<std::int64_t>(Percent - std::min(Run.Percent_, Percent));
  const auto Gained =
      static_cast<std::int64_t>(Run.Percent_ - Run.FirstPercent_);
  return Observed * Left / Gained - SinceChange >= Copy + MinDelay;
}

bool StragglerDetector::isLate(const JobRecord &Job, std::uint64_t Index,
                               const RunProgress &Run, TimePoint Now) const {
  if (const auto Copy = RunTimes_.findQuantile(Job, Index, CopyFraction))
    return needsLongerThan(*Copy, Run, Now);
  const StepSpec &Step = Job.Spec_.Steps_[Index];
  const Duration Elapsed = Now - Run.SeenAt_;
  const Duration Declared = std::chrono::milliseconds(Step.EstimateMs_);
  const Duration Allowed = std::max(Declared * LateFactor, Declared + MinDelay);
  if (Elapsed >= Allowed)
    return true;
  const bool IsProgressKnown = Elapsed >= MinDelay && Run.Percent_ > 0;
  return IsProgressKnown && Elapsed * static_cast<std::int64_t>(Percent) /
                                    static_cast<std::int64_t>(Run.Percent_) >=
                                Allowed + MinDelay;
}

void StragglerDetector::survey(const JobRegistry &Registry,
                               const LiveServerTable &LiveServers,
                               TimePoint Now) {
  if (Now < NextSurvey_)
    return;
  NextSurvey_ = Now + SurveyInterval;
  std::vector<std::pair<TimePoint, TaskKey>> LateRuns;
  for (const auto &[Id, Live] : LiveServers.servers()) {
    for (std::size_t I = 0; I < Live.Running_.size(); ++I) {
      const TaskKey &Task = Live.Running_[I].Task_;
      const RunProgress &Run = Live.Progress_[I];
      // Most runs are too young to be late; they need no lookup.
      if (Now - Run.SeenAt_ < MinDelay)
        continue;
      const StepSpec *Step = Registry.findStep(Task);
      const bool MayCopy =
          Step && Step->Speculative_ && !Step->Gang_ && !Step->LongRunning_ &&
          isLate(*Registry.findJob(Task.Job_), Task.Step_, Run, Now);
      if (MayCopy)
        LateRuns.emplace_back(Run.SeenAt_, Task);
    }
  }
  std::sort(LateRuns.begin(), LateRuns.end());
  LateRuns.resize(std::min(LateRuns.size(), MaxListed));
  Late_.clear();
  for (auto &[Since, Task] : LateRuns)
    Late_.push_back(std::move(Task));
}
