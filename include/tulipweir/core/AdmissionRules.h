//===- AdmissionRules.h - Rules shared by admission controls ----*- C++ -*-===//
//
// The drain rate of a queue, the expected wait in it, and when a caller that
// is rejected returns. Both the admission in front of one service and that of
// whole jobs decide by them. Deterministic: no clock, no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_CORE_ADMISSIONRULES_H
#define TULIPWEIR_CORE_ADMISSIONRULES_H

#include "tulipweir/core/Time.h"

namespace tulipweir {

/// The amount of work that leaves a queue per second, averaged over a window
/// in which older work counts less. Not thread-safe.
class DrainRate {
public:
  explicit DrainRate(Duration Window) : Window_(Window) {}

  // Commands.

  /// Forgets what was measured.
  void reset(TimePoint Now);
  /// Starts with a rate that counts as if it had been measured for long.
  void assume(double PerSecond, TimePoint Now);
  /// Adds work that left the queue since the last call. Time that goes back
  /// counts as no time.
  void record(double Work, TimePoint Now);
  /// Leaves the time since the last call out of the measurement.
  void skip(TimePoint Now);
  /// Keeps the rate. At is the time of the last measurement.
  void setWindow(Duration Window);

  // Queries.

  double getPerSecond(TimePoint Now) const;
  /// Returns the measured time that the rate rests on, which approaches the
  /// window.
  Duration getObservedTime(TimePoint Now) const;

private:
  double getDecay(TimePoint Now) const;

  Duration Window_;
  double Work_ = 0;            ///< Decayed work.
  double ObservedSeconds_ = 0; ///< Decayed time; at most the window.
  TimePoint At_{};
};

/// Returns how long a queue with this much work takes at this rate; at most an
/// hour.
Duration estimateWait(double Work, double PerSecond);

/// Returns whether work that takes ServiceTime after its wait ends too late.
inline bool isTooLate(Duration Wait, Duration ServiceTime, Duration Remaining) {
  return Wait + ServiceTime > Remaining;
}

/// Returns the time after which the queue is short enough for the work to end
/// in time, within the bounds.
Duration computeRetryAfter(Duration Wait, Duration ServiceTime,
                           Duration Remaining, Duration Least, Duration Most);

} // namespace tulipweir

#endif // TULIPWEIR_CORE_ADMISSIONRULES_H
