#include "jobs/RunTimeEstimator.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// The median of three run times is off by less than a declared run time, and
/// one very long run does not move it.
static constexpr std::size_t MinStepSamples = 3;
/// Bounds the memory of a step and of all steps.
static constexpr std::size_t MaxStepSamples = 64;
static constexpr std::size_t MaxJobs = 8192;
/// The runs on so many servers show the distributions of all; with more, what a
/// leader spends on learning would grow with the fleet.
static constexpr std::size_t MaxServers = 400;
/// The speed of a run is known after a report interval. Half-way, a run counts
/// for its step as an ended one does; otherwise the shortest runs would be
/// counted first.
static constexpr Duration MinProjectionTime = 400ms;
static constexpr std::uint64_t MinPercentToCount = 50;
/// A run that was stopped counts for its queue if it had got this far: runs
/// that take long are stopped more often, and would be missing.
static constexpr std::uint64_t MinPercentOfStopped = 20;
/// Of the processors that a filling run asks for. With less it was slowed; the
/// use in a report scatters by a quarter.
static constexpr std::uint64_t MinUsedPercent = 75;
/// Bounds wider than this factor tell a step's median nothing.
static constexpr std::int64_t MaxStepBoundsFactor = 2;
/// The shortest run time that wide bounds allow, as a part of the longest.
static constexpr std::int64_t MinPartOfLongest = 16;
/// Runs with up to this many times the typical run time of their queue and
/// image are usual: declared run times are off by less, and slow servers take
/// longer. The runs of their own step are no measure, as all of them may be on
/// the server in question.
static constexpr double MaxUsualSlowness = 1.8;
/// A server is not slow with this many usual runs, if they are at least this
/// part of its runs: where all runs take several times as long, few are usual,
/// those of steps that declare far too much.
static constexpr std::size_t MinUsualRuns = 2;
static constexpr std::size_t MinUsualPart = 3;
static constexpr std::size_t MaxLastRuns = 16;
static constexpr Duration ServerExpiry = 60s;
static constexpr double MedianFraction = LearnedRunTimes::MedianFraction;
static constexpr std::int64_t Percent = 100;

static RunTimeBounds makePlausible(RunTimeBounds Bounds) {
  Bounds.Shortest_ =
      std::max(Bounds.Shortest_, Bounds.Longest_ / MinPartOfLongest);
  return Bounds;
}

static Duration getMiddle(const RunTimeBounds &Bounds) {
  return (Bounds.Shortest_ + Bounds.Longest_) / 2;
}

static bool isNarrow(const RunTimeBounds &Bounds) {
  return Bounds.Longest_ > Duration(0) &&
         Bounds.Longest_ <= MaxStepBoundsFactor * Bounds.Shortest_;
}

void RunTimeEstimator::learn(const JobRegistry &Registry,
                             const ServerReport &Report, TimePoint Now) {
  Server *Tracked = findOrTrack(Registry, Report);
  if (!Tracked)
    return;
  Server &Where = *Tracked;
  LastHeard_ = std::max(LastHeard_, Now);
  if (!Where.Tracker_.begin(Report, Now))
    return;
  for (const EndedTask *Ended : Where.Tracker_.listNewEnds(Report))
    learnEnd(Registry, Where, *Ended);
  const TimePoint Sent = Where.Tracker_.getLastHeard();
  Where.Tracker_.update(
      Report,
      [&](TrackedRun &Run, const RunningTask &Running) {
        admit(Registry, Run, Running);
      },
      [&](TrackedRun &Run, const RunningTask &Running) {
        if (Run.IsWatched_)
          advance(Registry, Run, Running, Sent);
      });
  const std::vector<TrackedRun> &Runs = Where.Tracker_.runs();
  const bool IsTelling =
      std::any_of(Runs.begin(), Runs.end(),
                  [](const TrackedRun &Run) { return Run.IsWatched_; });
  if (IsTelling)
    Untelling_.erase(Report.Facts_.Id_);
  else
    Untelling_.insert(Report.Facts_.Id_);
}

static bool listsBoundedRun(const JobRegistry &Registry,
                            const ServerReport &Report) {
  return std::any_of(Report.Running_.begin(), Report.Running_.end(),
                     [&Registry](const RunningTask &Running) {
                       const StepSpec *Step = Registry.findStep(Running.Task_);
                       return Step && !Step->LongRunning_;
                     });
}

/// Returns the server's state; nullptr if enough others are tracked. A server
/// with bounded runs replaces one that has none, as most of a large fleet may
/// be idle.
RunTimeEstimator::Server *
RunTimeEstimator::findOrTrack(const JobRegistry &Registry,
                              const ServerReport &Report) {
  const std::string &Id = Report.Facts_.Id_;
  const auto It = Servers_.find(Id);
  if (It != Servers_.end())
    return &It->second;
  if (Servers_.size() >= MaxServers) {
    if (Untelling_.empty() || !listsBoundedRun(Registry, Report))
      return nullptr;
    const auto Replaced = Untelling_.begin();
    Servers_.erase(*Replaced);
    Untelling_.erase(Replaced);
  }
  return &Servers_[Id];
}

/// Returns whether a run of the task would begin from a checkpoint.
static bool isResumed(const JobRegistry &Registry, const StepSpec &Step,
                      const TaskKey &Task) {
  const TaskRecord *Record =
      Step.Checkpointing_ ? Registry.findTask(Task) : nullptr;
  return Record && !Record->Checkpoint_.empty();
}

void RunTimeEstimator::admit(const JobRegistry &Registry, TrackedRun &Run,
                             const RunningTask &) {
  const StepSpec *Step = Registry.findStep(Run.Task_);
  Run.IsWatched_ = Step && !Step->LongRunning_;
  if (Run.IsWatched_)
    Run.IsResumed_ = isResumed(Registry, *Step, Run.Task_);
  // An earlier run of the task may have been lost with its server.
  if (Run.IsWatched_)
    forgetRun(Run.Task_);
}

void RunTimeEstimator::advance(const JobRegistry &Registry, TrackedRun &Run,
                               const RunningTask &Running, TimePoint At) {
  const JobRecord *Job = Registry.findJob(Run.Task_.Job_);
  if (!Job || Run.Task_.Step_ >= Job->Spec_.Steps_.size())
    return;
  const StepSpec &Step = Job->Spec_.Steps_[Run.Task_.Step_];
  if (Step.Fills_ &&
      Running.Measure_ * Percent <
          static_cast<std::uint64_t>(Step.Need_.MilliCpus_) * MinUsedPercent)
    Run.IsSlowed_ = true;
  if (Run.Listed_.Shortest_ < MinProjectionTime)
    return;
  const RunTimeBounds Whole = RunTracker::project(Run);
  if (Whole.Longest_ == Duration(0))
    return;
  // Only other steps of the job wait for the end.
  if (Job->Spec_.Steps_.size() > 1)
    setExpectedEnd(
        *Job, Run.Task_,
        At + getMiddle(Whole) *
                 (Percent - static_cast<std::int64_t>(Run.Percent_)) / Percent);
  const bool Counts = Run.Percent_ >= MinPercentToCount && !Run.IsSlowed_ &&
                      !Run.HasSample_ && isNarrow(Whole);
  if (!Counts)
    return;
  Run.HasSample_ = true;
  addSample(*Job, Run.Task_, Run.Run_, Whole);
}

void RunTimeEstimator::learnEnd(const JobRegistry &Registry, Server &Where,
                                const EndedTask &Ended) {
  const TaskKey &Task = Ended.End_.Task_;
  const JobRecord *Job = Registry.findJob(Task.Job_);
  forgetRun(Task);
  if (!Job || Task.Step_ >= Job->Spec_.Steps_.size() ||
      Job->Spec_.Steps_[Task.Step_].LongRunning_)
    return;
  const StepSpec &Step = Job->Spec_.Steps_[Task.Step_];
  const TrackedRun *Run = Where.Tracker_.find(Task, Ended.End_.Run_);
  const bool IsTelling = Run ? !Run->IsResumed_ && !Run->IsSlowed_
                             : !isResumed(Registry, Step, Task);
  if (!IsTelling)
    return;
  RunTimeBounds Length;
  double Weight = 1;
  if (Ended.End_.Outcome_ == RunOutcome::Done) {
    Length = Where.Tracker_.boundEnded(Run);
  } else if (Ended.End_.Outcome_ == RunOutcome::Stopped && Run &&
             Run->Percent_ >= MinPercentOfStopped &&
             Run->Listed_.Shortest_ >= MinProjectionTime) {
    Length = RunTracker::project(*Run);
    Weight = double(Run->Percent_) / double(Percent);
  }
  if (Length.Longest_ <= Duration(0))
    return;
  Length = makePlausible(Length);
  const StepTimes *Times = findTimes(Task.Job_, Task.Step_);
  const Duration Median = Times ? Times->Median_ : Duration(0);
  const auto Typical =
      Classes_.findQuantile(Job->Policy_, Step, MedianFraction);
  if (Typical && *Typical > Duration(0) && !Step.Fills_) {
    Where.LastRuns_.push_back(
        {Ended.Number_, Where.Tracker_.getLastHeard(),
         double(getMiddle(Length).count()) / double(Typical->count())});
    if (Where.LastRuns_.size() > MaxLastRuns)
      Where.LastRuns_.pop_front();
  }
  Classes_.add(Job->Policy_, Step, Length, Median, Weight);
  if (Ended.End_.Outcome_ == RunOutcome::Done && isNarrow(Length))
    addSample(*Job, Task, Ended.End_.Run_, Length);
}

RunTimeEstimator::StepTimes *
RunTimeEstimator::findOrAddTimes(const JobRecord &Job, std::uint64_t Step) {
  if (isEnded(Job.State_))
    return nullptr;
  auto It = Jobs_.find(Job.Spec_.Id_);
  if (It == Jobs_.end()) {
    if (Jobs_.size() >= MaxJobs)
      return nullptr;
    It = Jobs_.try_emplace(Job.Spec_.Id_).first;
    It->second.resize(Job.Spec_.Steps_.size());
  }
  return Step < It->second.size() ? &It->second[Step] : nullptr;
}

const RunTimeEstimator::StepTimes *
RunTimeEstimator::findTimes(const std::string &Job, std::uint64_t Step) const {
  const auto It = Jobs_.find(Job);
  return It != Jobs_.end() && Step < It->second.size() ? &It->second[Step]
                                                       : nullptr;
}

void RunTimeEstimator::addSample(const JobRecord &Job, const TaskKey &Task,
                                 std::uint64_t Run,
                                 const RunTimeBounds &Length) {
  StepTimes *Times = findOrAddTimes(Job, Task.Step_);
  if (!Times)
    return;
  std::vector<Sample> &Samples = Times->Samples_;
  const auto It =
      std::find_if(Samples.begin(), Samples.end(), [&](const Sample &Each) {
        return Each.Index_ == Task.Index_ && Each.Run_ == Run &&
               Each.Occurrence_ == Task.Occurrence_;
      });
  const Sample Value{Task.Occurrence_, Task.Index_, Run, getMiddle(Length)};
  if (It != Samples.end())
    *It = Value;
  else if (Samples.size() < MaxStepSamples)
    Samples.push_back(Value);
  else
    Samples[Times->NextSample_++ % MaxStepSamples] = Value;
  if (Samples.size() < MinStepSamples)
    return;
  std::vector<Duration> Lengths;
  Lengths.reserve(Samples.size());
  for (const Sample &Each : Samples)
    Lengths.push_back(Each.Length_);
  const auto Middle =
      Lengths.begin() + static_cast<std::ptrdiff_t>(Lengths.size() / 2);
  std::nth_element(Lengths.begin(), Middle, Lengths.end());
  Times->Median_ = *Middle;
}

void RunTimeEstimator::setExpectedEnd(const JobRecord &Job, const TaskKey &Task,
                                      TimePoint At) {
  StepTimes *Times = findOrAddTimes(Job, Task.Step_);
  if (!Times)
    return;
  const auto It = std::find_if(Times->Ends_.begin(), Times->Ends_.end(),
                               [&Task](const ExpectedEnd &Each) {
                                 return Each.Index_ == Task.Index_ &&
                                        Each.Occurrence_ == Task.Occurrence_;
                               });
  if (It != Times->Ends_.end())
    It->At_ = At;
  else
    Times->Ends_.push_back({Task.Occurrence_, Task.Index_, At});
}

void RunTimeEstimator::forgetRun(const TaskKey &Task) {
  const auto It = Jobs_.find(Task.Job_);
  if (It == Jobs_.end() || Task.Step_ >= It->second.size())
    return;
  std::erase_if(It->second[Task.Step_].Ends_, [&Task](const ExpectedEnd &Each) {
    return Each.Index_ == Task.Index_ && Each.Occurrence_ == Task.Occurrence_;
  });
}

void RunTimeEstimator::prune(const JobRegistry &Registry) {
  std::erase_if(Jobs_, [&Registry](const auto &Entry) {
    const JobRecord *Job = Registry.findJob(Entry.first);
    return !Job || isEnded(Job->State_);
  });
  std::erase_if(Servers_, [this](const auto &Entry) {
    return LastHeard_ - Entry.second.Tracker_.getLastHeard() > ServerExpiry;
  });
  std::erase_if(Untelling_, [this](const std::string &Id) {
    return Servers_.count(Id) == 0;
  });
}

std::optional<Duration> RunTimeEstimator::findQuantile(const JobRecord &Job,
                                                       std::uint64_t Step,
                                                       double Fraction) const {
  const StepSpec &Spec = Job.Spec_.Steps_[Step];
  if (Spec.LongRunning_)
    return std::nullopt;
  const StepTimes *Times = findTimes(Job.Spec_.Id_, Step);
  if (!Times || Times->Median_ == Duration(0))
    return Classes_.findQuantile(Job.Policy_, Spec, Fraction);
  if (Fraction == MedianFraction)
    return Times->Median_;
  // A few runs show the middle of their step, but not its tail.
  if (const auto Spread = Classes_.findSpread(Job.Policy_, Spec, Fraction))
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, Duration::period>(Times->Median_) *
        *Spread);
  std::vector<Duration> Lengths;
  for (const Sample &Each : Times->Samples_)
    Lengths.push_back(Each.Length_);
  std::sort(Lengths.begin(), Lengths.end());
  const auto At = static_cast<std::size_t>(Fraction * double(Lengths.size()));
  return Lengths[std::min(At, Lengths.size() - 1)];
}

Duration RunTimeEstimator::getQuantile(const JobRecord &Job, std::uint64_t Step,
                                       double Fraction) const {
  return findQuantile(Job, Step, Fraction)
      .value_or(std::chrono::milliseconds(Job.Spec_.Steps_[Step].EstimateMs_));
}

Duration RunTimeEstimator::getTypical(const QueuePolicy &Queue,
                                      const StepSpec &Step) const {
  const auto Learned = Step.LongRunning_
                           ? std::nullopt
                           : Classes_.findQuantile(Queue, Step, MedianFraction);
  return Learned.value_or(std::chrono::milliseconds(Step.EstimateMs_));
}

Duration RunTimeEstimator::getTypical(const JobRecord &Job,
                                      std::uint64_t Step) const {
  return getQuantile(Job, Step, MedianFraction);
}

Duration RunTimeEstimator::getRemaining(const JobRecord &Job,
                                        const OccurrenceRecord &Occurrence,
                                        std::uint64_t Step,
                                        TimePoint Now) const {
  return getRemaining(Job, Occurrence, Step, getTypical(Job, Step), Now);
}

Duration RunTimeEstimator::getRemaining(const JobRecord &Job,
                                        const OccurrenceRecord &Occurrence,
                                        std::uint64_t Step, Duration Typical,
                                        TimePoint Now) const {
  const StepRecord &Record = Occurrence.Steps_[Step];
  if (Record.DoneCount_ == Record.Tasks_.size())
    return Duration(0);
  if (Record.Waiting_ > 0)
    return Typical;
  const StepTimes *Times = findTimes(Job.Spec_.Id_, Step);
  if (!Times)
    return Typical;
  Duration Remaining(0);
  std::size_t Known = 0;
  for (const ExpectedEnd &Each : Times->Ends_)
    if (Each.Occurrence_ == Occurrence.Number_) {
      Remaining = std::max<Duration>(Remaining, Each.At_ - Now);
      ++Known;
    }
  const bool AreAllKnown = Known + Record.DoneCount_ >= Record.Tasks_.size();
  return AreAllKnown ? Remaining : std::max(Remaining, Typical);
}

bool RunTimeEstimator::doOthersAdvanceAsUsual(const JobRegistry &Registry,
                                              const std::string &ServerId,
                                              std::uint64_t EndNumber,
                                              Duration Within) const {
  const auto It = Servers_.find(ServerId);
  if (It == Servers_.end())
    return false;
  const Server &Where = It->second;
  const TimePoint Since = Where.Tracker_.getLastHeard() - Within;
  std::vector<double> Others;
  for (const ServerRun &Each : Where.LastRuns_)
    if (Each.EndNumber_ != EndNumber && Each.At_ >= Since)
      Others.push_back(Each.Slowness_);
  for (const TrackedRun &Run : Where.Tracker_.runs()) {
    const JobRecord *Job =
        Run.IsWatched_ ? Registry.findJob(Run.Task_.Job_) : nullptr;
    if (!Job || Job->Spec_.Steps_[Run.Task_.Step_].Fills_ ||
        Run.Listed_.Shortest_ < MinProjectionTime)
      continue;
    const auto Typical = Classes_.findQuantile(
        Job->Policy_, Job->Spec_.Steps_[Run.Task_.Step_], MedianFraction);
    if (!Typical || *Typical <= Duration(0))
      continue;
    // A run that has hardly advanced takes at least as long as it was listed.
    const Duration Whole =
        std::max(getMiddle(RunTracker::project(Run)), Run.Listed_.Shortest_);
    Others.push_back(double(Whole.count()) / double(Typical->count()));
  }
  const auto Usual = static_cast<std::size_t>(
      std::count_if(Others.begin(), Others.end(), [](double Slowness) {
        return Slowness <= MaxUsualSlowness;
      }));
  return Usual >= MinUsualRuns && Usual * MinUsualPart >= Others.size();
}
