#include "jobs/RunTracker.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// A server starts a run when it gets the answer to the last report that does
/// not list it, which commits delay for this time at most.
static constexpr Duration MaxStartDelay = 300ms;
/// A server reports this soon after an end, with the time for the answer to a
/// report that is outstanding.
static constexpr Duration MaxEndDelay = 150ms;
/// A report arrives at most this much later than another one, within a few
/// seconds. A larger difference to the server's clock shows that it was set.
static constexpr Duration MaxClockDifference = 5s;
/// Percentages are cut off, so the progress between two reports is known to
/// one percent. With this much of it, a projection is off by a tenth at most.
static constexpr std::uint64_t MinProjectedPercent = 10;
/// This many lower sequence numbers in a row, which rise, are not late reports:
/// the server has started again under its id.
static constexpr std::uint64_t MinRestartReports = 3;
static constexpr std::int64_t Percent = 100;

/// Bounds the time between two reports. Where the server's clock was set
/// meanwhile, it counts as unknown.
static RunTimeBounds boundSent(const SendTime &From, const SendTime &To) {
  const RunTimeBounds Bounds = boundTimeBetween(From, To);
  const Duration Arrived = std::max<Duration>(To.At_ - From.At_, Duration(0));
  if (Bounds.Longest_ > Arrived + MaxClockDifference ||
      To.ServerClockMs_ < From.ServerClockMs_)
    return {Arrived, Arrived};
  return Bounds;
}

bool RunTracker::begin(const ServerReport &Report, TimePoint Now) {
  const SendTime Sent{Now - std::chrono::milliseconds(Report.WaitedMs_),
                      Report.ServerClockMs_};
  if (Report.Sequence_ <= Sequence_) {
    const bool Rises = LowCount_ == 0 || Report.Sequence_ > LowSequence_;
    LowCount_ = Rises ? LowCount_ + 1 : 1;
    LowSequence_ = Report.Sequence_;
    if (LowCount_ < MinRestartReports)
      return false;
    *this = RunTracker();
  }
  LowCount_ = 0;
  IsAdjacent_ = Sequence_ != 0 && Report.Sequence_ == Sequence_ + 1;
  Sequence_ = Report.Sequence_;
  PreviousSent_ = Sent_;
  Sent_ = Sent;
  return true;
}

std::vector<const EndedTask *>
RunTracker::listNewEnds(const ServerReport &Report) const {
  std::vector<const EndedTask *> Ends;
  for (const EndedTask &Ended : Report.Ended_)
    if (Ended.Number_ > LastEnd_)
      Ends.push_back(&Ended);
  return Ends;
}

void RunTracker::update(
    const ServerReport &Report,
    const std::function<void(TrackedRun &, const RunningTask &)> &Admit,
    const std::function<void(TrackedRun &, const RunningTask &)> &Advance) {
  for (const EndedTask &Ended : Report.Ended_)
    LastEnd_ = std::max(LastEnd_, Ended.Number_);
  std::vector<TrackedRun> Current;
  Current.reserve(Report.Running_.size());
  // A server lists its runs in the same order each time, except for new and
  // ended ones, so a run usually follows the one that was found before.
  std::size_t Expected = 0;
  for (const RunningTask &Running : Report.Running_) {
    std::size_t At = Runs_.size();
    for (std::size_t I = 0; I < Runs_.size() && At == Runs_.size(); ++I) {
      const std::size_t Next = (Expected + I) % Runs_.size();
      if (Runs_[Next].Task_.Index_ == Running.Task_.Index_ &&
          Runs_[Next].Run_ == Running.Run_ &&
          Runs_[Next].Task_ == Running.Task_)
        At = Next;
    }
    if (At < Runs_.size()) {
      Expected = At + 1;
      TrackedRun &Known = Current.emplace_back(std::move(Runs_[At]));
      Known.Percent_ = Running.Percent_;
      Known.Listed_ = boundSent(Known.FirstSent_, *Sent_);
      Advance(Known, Running);
      continue;
    }
    TrackedRun &New = Current.emplace_back();
    New.Task_ = Running.Task_;
    New.Run_ = Running.Run_;
    New.FirstSent_ = *Sent_;
    New.SentBefore_ = PreviousSent_;
    New.IsBeginKnown_ = IsAdjacent_;
    New.FirstPercent_ = New.Percent_ = Running.Percent_;
    Admit(New, Running);
  }
  Runs_ = std::move(Current);
}

const TrackedRun *RunTracker::find(const TaskKey &Task,
                                   std::uint64_t Run) const {
  for (const TrackedRun &Each : Runs_)
    if (Each.Task_.Index_ == Task.Index_ && Each.Run_ == Run &&
        Each.Task_ == Task)
      return &Each;
  return nullptr;
}

RunTimeBounds RunTracker::project(const TrackedRun &Run) {
  if (Run.Percent_ < Run.FirstPercent_ + MinProjectedPercent)
    return {};
  const auto Done = static_cast<std::int64_t>(Run.Percent_ - Run.FirstPercent_);
  return {Run.Listed_.Shortest_ * Percent / (Done + 1),
          Run.Listed_.Longest_ * Percent / (Done - 1)};
}

/// Returns the bounds that the progress in the only report that listed the run
/// sets: the part before it took at most Before, the part after it After.
static RunTimeBounds boundByParts(std::uint64_t Progress,
                                  const RunTimeBounds &Before,
                                  const RunTimeBounds &After,
                                  const RunTimeBounds &Whole) {
  RunTimeBounds Bounds = Whole;
  const auto Done = static_cast<std::int64_t>(Progress);
  if (Done > 0) {
    Bounds.Longest_ =
        std::min(Bounds.Longest_, Before.Longest_ * Percent / Done);
    Bounds.Shortest_ =
        std::max(Bounds.Shortest_, Before.Shortest_ * Percent / (Done + 1));
  }
  if (Done < Percent) {
    const std::int64_t Rest = Percent - Done;
    Bounds.Longest_ =
        std::min(Bounds.Longest_, After.Longest_ * Percent /
                                      std::max<std::int64_t>(Rest - 1, 1));
    Bounds.Shortest_ =
        std::max(Bounds.Shortest_, After.Shortest_ * Percent / Rest);
  }
  return Bounds.Shortest_ <= Bounds.Longest_ ? Bounds : Whole;
}

/// Shortens the lower bound by a delay.
static RunTimeBounds relax(RunTimeBounds Bounds, Duration Delay) {
  Bounds.Shortest_ = std::max(Bounds.Shortest_ - Delay, Duration(0));
  return Bounds;
}

RunTimeBounds RunTracker::boundEnded(const TrackedRun *Run) const {
  if (!Sent_ || !PreviousSent_)
    return {};
  if (!Run) {
    // It has started and ended since the report before.
    if (!IsAdjacent_)
      return {};
    return relax(boundSent(*PreviousSent_, *Sent_),
                 MaxStartDelay + MaxEndDelay);
  }
  if (!Run->SentBefore_)
    return project(*Run);
  const RunTimeBounds Whole = boundSent(*Run->SentBefore_, *Sent_);
  const RunTimeBounds Before =
      relax(boundSent(*Run->SentBefore_, Run->FirstSent_), MaxStartDelay);
  const RunTimeBounds After =
      relax(boundSent(Run->FirstSent_, *Sent_), MaxEndDelay);
  RunTimeBounds Bounds{Run->Listed_.Shortest_, Whole.Longest_};
  if (!Run->IsBeginKnown_ || !IsAdjacent_)
    return Bounds;
  Bounds.Shortest_ = std::max(
      Bounds.Shortest_, relax(Whole, MaxStartDelay + MaxEndDelay).Shortest_);
  const RunTimeBounds Projected = project(*Run);
  if (Projected.Longest_ == Duration(0))
    return Run->Listed_.Longest_ == Duration(0)
               ? boundByParts(Run->FirstPercent_, Before, After, Bounds)
               : Bounds;
  const RunTimeBounds Both{std::max(Bounds.Shortest_, Projected.Shortest_),
                           std::min(Bounds.Longest_, Projected.Longest_)};
  return Both.Shortest_ <= Both.Longest_ ? Both : Bounds;
}
