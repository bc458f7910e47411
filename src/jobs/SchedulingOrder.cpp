#include "jobs/SchedulingOrder.h"

#include <algorithm>
#include <array>
#include <limits>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// A job that takes so many times as long as allowed is worth nothing.
static constexpr std::uint64_t LateFactor = 3;
/// Bounds the work of an update; the most urgent come first.
static constexpr std::size_t MostSteps = 1024;
/// An update goes over the whole queue; with a pause of so much for each step,
/// its share of the processor does not grow with the queue. A short queue is
/// looked at anew whenever something joins it.
static constexpr Duration PausePerStep = 40us;
static constexpr std::size_t ShortQueue = 16;
/// What can still be in time changes with time alone.
static constexpr Duration MostAge = 100ms;
static constexpr std::int64_t Unlimited =
    std::numeric_limits<std::int64_t>::max();

void ServiceOrder::reset() {
  Candidates_.clear();
  FillingImages_.clear();
  Least_ = {Unlimited, Unlimited, Unlimited};
  Value_.reset();
  LastValued_ = 0;
  MadeAt_ = TimePoint::min();
}

/// The longest chain of declared work that is left of an occurrence.
static std::uint64_t getRemainingMs(const JobRecord &Job,
                                    const OccurrenceRecord &Occurrence) {
  std::vector<std::uint64_t> Ends;
  std::uint64_t Longest = 0;
  for (std::size_t At = 0; At < Job.Spec_.Steps_.size(); ++At) {
    const StepSpec &Step = Job.Spec_.Steps_[At];
    std::uint64_t Begin = 0;
    for (const std::uint64_t Other : Step.DependsOn_)
      Begin = std::max(Begin, Ends[Other]);
    const StepRecord &Record = Occurrence.Steps_[At];
    const bool IsDone = Record.Done_ == Record.Tasks_.size();
    Ends.push_back(Begin + (IsDone ? 0 : Step.EstimateMs_));
    Longest = std::max(Longest, Ends.back());
  }
  return Longest;
}

/// 0: can still be done by its objective; 1: late, but worth something; 2: too
/// late for anybody, though it has to be done.
static std::size_t getLateness(const JobRecord &Job,
                               const OccurrenceRecord &Occurrence,
                               WallTime Wall) {
  const auto Now = static_cast<std::uint64_t>(Wall.count());
  const std::uint64_t Allowed = Job.getDueMs() - Job.AcceptedMs_;
  const std::uint64_t End = Now + getRemainingMs(Job, Occurrence);
  const bool IsTimed = Job.Spec_.RepeatCount_ > 0;
  if (IsTimed || End <= Job.AcceptedMs_ + Allowed)
    return 0;
  return End <= Job.AcceptedMs_ + LateFactor * Allowed ? 1 : 2;
}

void ServiceOrder::noteNewJobs(const JobBook &Book) {
  std::uint64_t Newest = LastValued_;
  for (const ReadyStep &Ready : Book.readySteps())
    if (Ready.Sequence_ > LastValued_) {
      Value_.noteJob(*Book.findJob(Ready.Job_));
      Newest = std::max(Newest, Ready.Sequence_);
    }
  LastValued_ = Newest;
}

void ServiceOrder::add(const JobBook &Book, const ReadyStep &Ready,
                       ReadyTimes &Waits, TimePoint Now) {
  const JobRecord &Job = *Book.findJob(Ready.Job_);
  const StepSpec &Step = Job.Spec_.Steps_[Ready.Step_];
  Candidate Own{Ready, Step.getReserved()};
  Own.WaitsSince_ = Now - Waits.getWait(Ready, Now);
  Own.IsIdleJob_ = Job.Placements_ == 0;
  if (Step.Fills_) {
    Own.IdleNeeded_ = Step.Need_.MilliCpus_;
    Own.FillingImage_ =
        FillingImages_.try_emplace(Step.Image_, FillingImages_.size())
            .first->second;
  }
  Candidates_.push_back(std::move(Own));
  Least_.Memory_ = std::min(Least_.Memory_, Step.Need_.MemoryMib_);
  std::int64_t &Cpus = Step.Fills_ ? Least_.FillingCpus_ : Least_.PlainCpus_;
  Cpus = std::min(Cpus, Step.Need_.MilliCpus_);
}

void ServiceOrder::update(const JobBook &Book, ReadyTimes &Waits, TimePoint Now,
                          WallTime Wall) {
  const bool IsNew = MadeAt_ == TimePoint::min();
  const Duration Age = IsNew ? MostAge : Now - MadeAt_;
  const bool HasNews = Version_ != Book.getReadyVersion();
  const Duration Pause =
      Candidates_.size() < ShortQueue
          ? Duration(0)
          : PausePerStep * static_cast<std::int64_t>(Candidates_.size());
  if (Age < (HasNews ? Pause : MostAge))
    return;
  MadeAt_ = Now;
  Version_ = Book.getReadyVersion();
  noteNewJobs(Book);
  Candidates_.clear();
  FillingImages_.clear();
  Least_ = {Unlimited, Unlimited, Unlimited};
  // Within a priority, what can still be in time goes first, for it is over
  // soon; then what lasts; then what is late.
  std::array<std::vector<const ReadyStep *>, 3> Later;
  std::vector<std::pair<double, const ReadyStep *>> Filling;
  const auto AddLater = [&] {
    std::stable_sort(
        Filling.begin(), Filling.end(),
        [](const auto &A, const auto &B) { return A.first > B.first; });
    for (const auto &[Density, Each] : Filling)
      add(Book, *Each, Waits, Now);
    Filling.clear();
    for (std::vector<const ReadyStep *> &Class : Later) {
      for (const ReadyStep *Each : Class)
        add(Book, *Each, Waits, Now);
      Class.clear();
    }
  };
  std::size_t LookedAt = 0;
  std::uint64_t Priority = 0;
  for (const ReadyStep &Ready : Book.readySteps()) {
    if (++LookedAt > MostSteps)
      break;
    if (Ready.Priority_ != Priority)
      AddLater();
    Priority = Ready.Priority_;
    const JobRecord &Job = *Book.findJob(Ready.Job_);
    const OccurrenceRecord &Occurrence = *Job.findOccurrence(Ready.Occurrence_);
    const StepSpec &Step = Job.Spec_.Steps_[Ready.Step_];
    const std::size_t Lateness =
        Step.LongRunning_ ? 0 : getLateness(Job, Occurrence, Wall);
    const bool GoesFirst =
        !Step.LongRunning_ ||
        Waits.getWait(Ready, Now) >= ReadyTimes::LastingPatience;
    if (Lateness == 0 && Step.Fills_)
      Filling.emplace_back(Value_.getDensity(Job, Occurrence), &Ready);
    else if (Lateness == 0 && GoesFirst)
      add(Book, Ready, Waits, Now);
    else
      Later.at(Lateness).push_back(&Ready);
  }
  AddLater();
}
