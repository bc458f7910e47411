#include "jobs/SchedulingOrder.h"

#include "jobs/LongRunningRank.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// A job that takes more than this many times its allowed duration is worth
/// nothing.
static constexpr std::uint64_t LateFactor = 3;
/// Bounds the work of an update: at most this many of the most urgent steps are
/// considered, and as many long-running ones beyond them.
static constexpr std::size_t MaxSteps = 1024;
/// An update visits the whole queue. With this pause for each step its share of
/// the processor does not grow with the queue; a short queue is updated
/// whenever a step joins.
static constexpr Duration UpdatePausePerStep = 40us;
static constexpr std::size_t ShortQueueLength = 16;
/// Whether a job can still meet its objective changes with time alone, so the
/// order is never older than this.
static constexpr Duration MaxAge = 100ms;
/// Long-running steps that were passed over for two report intervals come
/// before those that are due earlier, the ones with the smallest tasks first:
/// most tasks run that way, and room for a small task comes up most often.
/// Large ones do not wait for longer than the second time.
static constexpr Duration MinPassedOverTime = 1s;
static constexpr Duration MaxPassedOverTime = 15s;
static constexpr std::int64_t Unlimited =
    std::numeric_limits<std::int64_t>::max();

void SchedulingOrder::reset() {
  Candidates_.clear();
  FillingImages_.clear();
  Minimum_ = {Unlimited, Unlimited, Unlimited};
  Value_.reset();
  HasBounded_ = false;
  LastAddedSequence_ = 0;
  UpdatedAt_ = TimePoint::min();
}

/// Returns the longest chain of work that remains in an occurrence, by the
/// typical run times of its steps.
static std::uint64_t getRemainingMs(const RunTimeEstimator &RunTimes,
                                    const JobEstimate &Estimate,
                                    const JobRecord &Job,
                                    const OccurrenceRecord &Occurrence,
                                    TimePoint Now) {
  std::vector<Duration> Ends;
  Duration Longest{};
  for (std::size_t Index = 0; Index < Job.Spec_.Steps_.size(); ++Index) {
    const StepSpec &Step = Job.Spec_.Steps_[Index];
    Duration Begin{};
    for (const std::uint64_t Other : Step.DependsOn_)
      Begin = std::max(Begin, Ends[Other]);
    Ends.push_back(Begin + RunTimes.getRemaining(Job, Occurrence, Index,
                                                 Estimate.RunTimes_[Index],
                                                 Now));
    Longest = std::max(Longest, Ends.back());
  }
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Longest).count());
}

Lateness SchedulingOrder::getLateness(const JobRecord &Job,
                                      const OccurrenceRecord &Occurrence,
                                      std::uint64_t DueMs, TimePoint Now,
                                      WallTime Wall) {
  if (Job.Spec_.RepeatCount_ > 0)
    return Lateness::OnTime;
  const std::uint64_t Allowed = DueMs - Job.AcceptedMs_;
  const std::uint64_t Limit = Job.AcceptedMs_ + LateFactor * Allowed;
  const auto Begin = static_cast<std::uint64_t>(Wall.count());
  // Most steps of a long queue are too late and need no estimate.
  if (Begin > Limit)
    return Lateness::TooLate;
  const std::uint64_t End =
      Begin + getRemainingMs(RunTimes_, Value_.estimate(Job, Now), Job,
                             Occurrence, Now);
  if (End <= DueMs)
    return Lateness::OnTime;
  return End <= Limit ? Lateness::Late : Lateness::TooLate;
}

/// Puts the long-running steps among these into the order of their ranks; the
/// others keep their positions.
void SchedulingOrder::sortLongRunning(std::vector<WaitingStep> &Steps) {
  std::vector<std::pair<LongRunningRank, WaitingStep>> Ranked;
  std::vector<std::size_t> Positions;
  for (std::size_t At = 0; At < Steps.size(); ++At)
    if (Steps[At].Spec_->LongRunning_) {
      Ranked.emplace_back(getLongRunningRank(*Steps[At].Record_), Steps[At]);
      Positions.push_back(At);
    }
  std::stable_sort(
      Ranked.begin(), Ranked.end(),
      [](const auto &A, const auto &B) { return A.first > B.first; });
  for (std::size_t I = 0; I < Ranked.size(); ++I)
    Steps[Positions[I]] = Ranked[I].second;
}

void SchedulingOrder::addNewJobs(const JobRegistry &Registry, TimePoint Now) {
  std::uint64_t Newest = LastAddedSequence_;
  std::uint64_t Previous = LastAddedSequence_;
  for (const ReadyStep &Ready : Registry.readySteps()) {
    // The steps of a job follow each other.
    const bool IsNew =
        Ready.Sequence_ > LastAddedSequence_ &&
        std::exchange(Previous, Ready.Sequence_) != Ready.Sequence_;
    if (!IsNew)
      continue;
    const JobRecord &Job = *Registry.findJob(Ready.Job_);
    if (Job.Spec_.Steps_[Ready.Step_].Fills_)
      Value_.addJob(Job, Now);
    Newest = std::max(Newest, Ready.Sequence_);
  }
  LastAddedSequence_ = Newest;
}

void SchedulingOrder::add(const WaitingStep &Waiting, ReadyTimes &Waits,
                          TimePoint Now) {
  const ReadyStep &Ready = *Waiting.Ready_;
  const JobRecord &Job = *Waiting.Job_;
  const StepSpec &Step = *Waiting.Spec_;
  Candidate NewCandidate;
  NewCandidate.Step_ = Ready;
  NewCandidate.Job_ = &Job;
  NewCandidate.Reserved_ = Step.getReserved();
  NewCandidate.ReadySince_ = Now - Waits.getWait(Ready, Now);
  NewCandidate.IsIdleJob_ = Job.Placements_ == 0;
  if (Step.Fills_) {
    NewCandidate.IdleNeeded_ = Step.Need_.MilliCpus_;
    NewCandidate.FillingImage_ =
        FillingImages_.try_emplace(Step.Image_, FillingImages_.size())
            .first->second;
  }
  Candidates_.push_back(std::move(NewCandidate));
  Minimum_.Memory_ = std::min(Minimum_.Memory_, Step.Need_.MemoryMib_);
  std::int64_t &Cpus =
      Step.Fills_ ? Minimum_.FillingCpus_ : Minimum_.PlainCpus_;
  Cpus = std::min(Cpus, Step.Need_.MilliCpus_);
}

/// Returns the steps that an update considers: the first ones, and the
/// long-running ones after them, as a long queue must not hide these.
static std::vector<const ReadyStep *>
listConsidered(const JobRegistry &Registry) {
  std::vector<const ReadyStep *> Steps;
  for (const ReadyStep &Ready : Registry.readySteps()) {
    if (Steps.size() == MaxSteps)
      break;
    Steps.push_back(&Ready);
  }
  const std::set<ReadyStep> &LongRunning = Registry.readyLongRunningSteps();
  auto It = Steps.empty() ? LongRunning.end()
                          : LongRunning.upper_bound(*Steps.back());
  for (; It != LongRunning.end() && Steps.size() < 2 * MaxSteps; ++It)
    Steps.push_back(&*It);
  return Steps;
}

/// The waiting steps of one priority by the class in which they get capacity,
/// the first class first. Within a priority, long-running steps that were
/// passed over for long come first, then overdue ones that are passed over;
/// then steps that can still meet their objective, as that chance ends soon,
/// and filling ones by value; then long-running steps; then late ones. Work
/// that was running and was lost comes before work that has not begun.
struct SchedulingOrder::Level {
  std::vector<std::pair<std::pair<bool, Duration>, WaitingStep>> Starved_;
  std::vector<std::pair<std::pair<bool, std::int64_t>, WaitingStep>>
      OverduePassedOver_;
  std::vector<WaitingStep> Endangered_;
  std::vector<std::pair<std::pair<bool, std::int64_t>, WaitingStep>>
      PassedOver_;
  std::vector<WaitingStep> FirstClass_;
  std::vector<std::pair<double, WaitingStep>> Filling_;
  std::array<std::vector<WaitingStep>, 3> Later_; ///< By lateness.

  std::vector<WaitingStep> &later(Lateness When) {
    return Later_.at(static_cast<std::size_t>(When));
  }
};

static std::pair<bool, std::int64_t>
getRank(const StepRecord &Record, const StepSpec &Step, bool IsByJob) {
  const LongRunningRank Rank = getLongRunningRank(Record);
  return {Rank.first, IsByJob ? Rank.second : -Step.Need_.MilliCpus_};
}

/// Sorts a step that reserves processors into its class.
void SchedulingOrder::classifyReserving(const OrderInputs &In,
                                        const WaitingStep &Waiting,
                                        Lateness When, bool IsOverdueByJob,
                                        Level &To) const {
  const ReadyStep &Ready = *Waiting.Ready_;
  const StepSpec &Step = *Waiting.Spec_;
  const bool IsFirstClass =
      !Step.LongRunning_ || In.Waits_.takesPrecedence(Ready, In.Now_);
  const Duration PassedOverFor = In.PassedOver_.getTime(Ready, In.Now_);
  if (IsFirstClass && PassedOverFor >= MaxPassedOverTime)
    To.Starved_.emplace_back(
        std::pair(hasLostTask(*Waiting.Record_), PassedOverFor), Waiting);
  else if (In.Overdue_.contains(Ready) && PassedOverFor >= MinPassedOverTime)
    To.OverduePassedOver_.emplace_back(
        getRank(*Waiting.Record_, Step, IsOverdueByJob), Waiting);
  else if (Shares_ && Shares_->isEndangered(Ready))
    To.Endangered_.push_back(Waiting);
  else if (IsFirstClass && PassedOverFor >= MinPassedOverTime)
    To.PassedOver_.emplace_back(
        getRank(*Waiting.Record_, Step, Shares_ != nullptr), Waiting);
  else if (When == Lateness::OnTime && IsFirstClass)
    To.FirstClass_.push_back(Waiting);
  else
    To.later(When).push_back(Waiting);
}

/// Adds the steps of a priority, class by class.
void SchedulingOrder::addLevel(const OrderInputs &In, Level Of) {
  const auto AddAll = [&](const std::vector<WaitingStep> &Steps) {
    for (const WaitingStep &Waiting : Steps)
      add(Waiting, In.Waits_, In.Now_);
  };
  const auto AddSorted = [&](auto &Steps) {
    std::stable_sort(
        Steps.begin(), Steps.end(),
        [](const auto &A, const auto &B) { return A.first > B.first; });
    for (const auto &[Key, Waiting] : Steps)
      add(Waiting, In.Waits_, In.Now_);
  };
  if (Shares_) {
    sortLongRunning(Of.FirstClass_);
    sortLongRunning(Of.later(Lateness::OnTime));
  }
  AddSorted(Of.Starved_);
  AddSorted(Of.OverduePassedOver_);
  AddAll(Of.Endangered_);
  AddSorted(Of.PassedOver_);
  AddAll(Of.FirstClass_);
  AddSorted(Of.Filling_);
  for (const std::vector<WaitingStep> &Class : Of.Later_)
    AddAll(Class);
}

/// Returns whether the order is to be recomputed.
bool SchedulingOrder::isDue(const JobRegistry &Registry, TimePoint Now) const {
  if (UpdatedAt_ == TimePoint::min() ||
      ForgottenVersion_ != Registry.getForgottenVersion())
    return true;
  const Duration Pause =
      Candidates_.size() < ShortQueueLength
          ? Duration(0)
          : UpdatePausePerStep * static_cast<std::int64_t>(Candidates_.size());
  const bool HasNewSteps = Version_ != Registry.getReadyVersion();
  return Now - UpdatedAt_ >= (HasNewSteps ? Pause : MaxAge) * AgeFactor_;
}

void SchedulingOrder::update(const OrderInputs &In) {
  const JobRegistry &Registry = In.Registry_;
  if (!isDue(Registry, In.Now_))
    return;
  const bool HasNewSteps =
      UpdatedAt_ == TimePoint::min() || Version_ != Registry.getReadyVersion();
  UpdatedAt_ = In.Now_;
  Version_ = Registry.getReadyVersion();
  ForgottenVersion_ = Registry.getForgottenVersion();
  Value_.prune(In.Now_);
  if (HasNewSteps)
    addNewJobs(Registry, In.Now_);
  Candidates_.clear();
  FillingImages_.clear();
  Minimum_ = {Unlimited, Unlimited, Unlimited};
  // Bounded work makes small rooms all the time; ranked by jobs, small tasks
  // would wait beside them.
  const bool IsOverdueByJob = Shares_ && !HasBounded_;
  HasBounded_ = false;
  Level Current;
  std::uint64_t Priority = 0;
  for (const ReadyStep *Each : listConsidered(Registry)) {
    const ReadyStep &Ready = *Each;
    ++StepsRead_;
    if (std::exchange(Priority, Ready.Priority_) != Ready.Priority_)
      addLevel(In, std::exchange(Current, {}));
    const JobRecord &Job = *Registry.findJob(Ready.Job_);
    const OccurrenceRecord &Occurrence = *Job.findOccurrence(Ready.Occurrence_);
    const StepSpec &Step = Job.Spec_.Steps_[Ready.Step_];
    const WaitingStep Waiting{&Ready, &Job, &Step,
                              &Occurrence.Steps_[Ready.Step_]};
    const Lateness When =
        Step.LongRunning_
            ? Lateness::OnTime
            : getLateness(Job, Occurrence, Ready.DueMs_, In.Now_, In.Wall_);
    if (Step.LongRunning_ || !Step.Fills_) {
      HasBounded_ = HasBounded_ || !Step.LongRunning_;
      classifyReserving(In, Waiting, When, IsOverdueByJob, Current);
    } else if (When == Lateness::TooLate) {
      Current.later(When).push_back(Waiting);
    } else {
      Current.Filling_.emplace_back(
          Value_.getDensity(Job, Value_.estimate(Job, In.Now_), Occurrence,
                            When),
          Waiting);
    }
  }
  addLevel(In, std::move(Current));
}
