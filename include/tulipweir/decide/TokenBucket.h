//===- TokenBucket.h - A rate limit with a burst ---------------*- C++ -*-===//
//
// Limits how often a caller may send requests: tokens are added at a steady
// rate up to a burst, and each request takes one. The caller passes the time;
// nothing blocks.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DECIDE_TOKENBUCKET_H
#define TULIPWEIR_DECIDE_TOKENBUCKET_H

#include "tulipweir/core/Time.h"

namespace tulipweir::decide {

/// Not thread-safe: guarded by its owner's lock.
class TokenBucket {
public:
  /// The bucket starts full. PerSecond is the number of tokens added each
  /// second, Burst the capacity; both are 0 or more. A rate of 0 never refills.
  TokenBucket(double PerSecond, double Burst, TimePoint Now);

  /// Takes Amount tokens if there are that many; otherwise takes none.
  bool tryTake(TimePoint Now, double Amount = 1);

  /// Changes the limits and keeps the current tokens, up to the new burst.
  void setLimits(double PerSecond, double Burst, TimePoint Now);

  /// Returns the time until Amount tokens are available: 0 if they are now, and
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
