//===- WorkTimer.h - The leader's time by kind of work ----------*- C++ -*-===//
//
// Measures how long the leader's strand spends on each kind of work. A scope
// inside another one interrupts it, so that the times add up to the time that
// the strand was busy with measured work.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_WORKTIMER_H
#define TULIPWEIR_SRC_JOBS_WORKTIMER_H

#include "tulipweir/core/Time.h"
#include "tulipweir/jobs/JobMeter.h"

#include <array>
#include <string>

namespace tulipweir::jobs {

/// Not thread-safe.
class WorkTimer {
public:
  using Times = std::array<Duration, LeaderWorkCount>;

  /// Attributes the time of its life to a kind of work.
  class Scope {
  public:
    Scope(WorkTimer &Timer, LeaderWork Work)
        : Timer_(Timer), Outer_(Timer.begin(Work)) {}
    ~Scope() { Timer_.begin(Outer_); }
    Scope(const Scope &) = delete;
    Scope &operator=(const Scope &) = delete;

  private:
    WorkTimer &Timer_;
    const LeaderWork Outer_;
  };

  explicit WorkTimer(const Clock &Time) : Time_(Time), Since_(Time.now()) {}

  /// Returns the times since the last call, except for idle time.
  Times take();

private:
  /// Ends the current work and returns its kind.
  LeaderWork begin(LeaderWork Work);

  const Clock &Time_;
  TimePoint Since_; ///< When Current_ began.
  LeaderWork Current_ = LeaderWork::Idle;
  Times Times_{};
};

/// Formats the times as percentages of Elapsed, the largest first, without
/// those below one percent: "plans 21%, reports 9%".
std::string toText(const WorkTimer::Times &Times, Duration Elapsed);

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_WORKTIMER_H
