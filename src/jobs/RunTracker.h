//===- RunTracker.h - The runs that a server's reports list -----*- C++ -*-===//
//
// Follows the runs of one server from the first report that lists them to the
// one that lists their end, and bounds how long they took, by the server's own
// clock where it is known. Unlike LiveServerTable, which a leader keeps, every
// member that receives reports has trackers. Deterministic: no clock, no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_RUNTRACKER_H
#define TULIPWEIR_SRC_JOBS_RUNTRACKER_H

#include "jobs/RunTimeBounds.h"
#include "tulipweir/jobs/ServerReport.h"

#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace tulipweir::jobs {

/// A run that the last report of its server listed.
struct TrackedRun {
  TaskKey Task_;
  std::uint64_t Run_ = 0;
  SendTime FirstSent_; ///< The first report that listed the run.
  /// The report before that; nothing if unknown.
  std::optional<SendTime> SentBefore_;
  /// No report was missed between the two.
  bool IsBeginKnown_ = false;
  std::uint64_t FirstPercent_ = 0;
  std::uint64_t Percent_ = 0;
  /// From the first report to the last one that listed the run.
  RunTimeBounds Listed_;
  bool IsWatched_ = false; ///< Its length is wanted.
  bool IsResumed_ = false; ///< It continued from a checkpoint.
  bool IsSlowed_ = false;  ///< It got fewer processors than it asks for.
  bool HasSample_ = false; ///< Its progress was already counted.
};

/// Not thread-safe.
class RunTracker {
public:
  // Commands.

  /// Takes the times of a report. Returns false if it is older than one before;
  /// its content is then to be ignored.
  bool begin(const ServerReport &Report, TimePoint Now);
  /// Replaces the tracked runs by those that the report lists. Admit completes
  /// a run that is listed for the first time, Advance is called for all others.
  void
  update(const ServerReport &Report,
         const std::function<void(TrackedRun &, const RunningTask &)> &Admit,
         const std::function<void(TrackedRun &, const RunningTask &)> &Advance);

  // Queries.

  /// Returns the ends in the report that no earlier one listed.
  std::vector<const EndedTask *> listNewEnds(const ServerReport &Report) const;
  /// Returns the run, as of the last update; nullptr if it is not tracked.
  const TrackedRun *find(const TaskKey &Task, std::uint64_t Run) const;
  /// Bounds the run time of a run whose end is in the report that was begun.
  /// Run is nullptr if no report has listed it as running. Nothing is certain
  /// if the longest time is zero.
  RunTimeBounds boundEnded(const TrackedRun *Run) const;
  /// Returns how long the run takes in all if it goes on as it has so far;
  /// nothing is certain before it has advanced far enough.
  static RunTimeBounds project(const TrackedRun &Run);

  const std::vector<TrackedRun> &runs() const { return Runs_; }
  TimePoint getLastHeard() const { return Sent_ ? Sent_->At_ : TimePoint(); }

private:
  std::uint64_t Sequence_ = 0;
  bool IsAdjacent_ = false; ///< No report was missed before the last one.
  std::optional<SendTime> Sent_;
  std::optional<SendTime> PreviousSent_;
  std::uint64_t LastEnd_ = 0;
  /// Lower sequence numbers in a row, each higher than the one before.
  std::uint64_t LowSequence_ = 0;
  std::uint64_t LowCount_ = 0;
  std::vector<TrackedRun> Runs_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_RUNTRACKER_H
