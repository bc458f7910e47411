//===- TokenBucket.h - A rate limit with a burst ---------------*- C++ -*-===//
//
// Limits how often a caller may ask: tokens come in at a steady rate up to a
// burst, and each request takes one. Time is an argument; nothing waits here.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DECIDE_TOKENBUCKET_H
#define TULIPWEIR_DECIDE_TOKENBUCKET_H

#include "tulipweir/core/Time.h"

namespace tulipweir::decide {

/// Not thread-safe: guarded by its owner's lock.
class TokenBucket {
public:
  /// Starts full. PerSecond is the tokens that come in each second, Burst the
  /// most that are kept; both 0 or more. A rate of 0 never refills.
  TokenBucket(double PerSecond, double Burst, TimePoint Now);

  /// Takes Amount tokens if that many are there; otherwise takes nothing.
  bool tryTake(TimePoint Now, double Amount = 1);

  /// Changes the limits and keeps what was collected, up to the new burst.
  void setLimits(double PerSecond, double Burst, TimePoint Now);

  /// How long until Amount tokens will be there; 0 if they are now, and
  /// MaxWait if they never will be.
  Duration getTimeUntil(TimePoint Now, double Amount = 1) const;

  static constexpr Duration MaxWait = std::chrono::hours(1);

private:
  double countTokens(TimePoint Now) const;

  double PerSecond_;
  double Burst_;
  double Tokens_;
  TimePoint UpdatedAt_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_DECIDE_TOKENBUCKET_H
