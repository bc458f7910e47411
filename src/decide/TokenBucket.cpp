//===- TokenBucket.cpp - A rate limit with a burst ----------------------===//

#include "tulipweir/decide/TokenBucket.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::decide;

TokenBucket::TokenBucket(double PerSecond, double Burst, TimePoint Now)
    : PerSecond_(PerSecond), Burst_(Burst), Tokens_(Burst), UpdatedAt_(Now) {}

bool TokenBucket::tryTake(TimePoint Now, double Amount) {
  Tokens_ = countTokens(Now);
  UpdatedAt_ = std::max(UpdatedAt_, Now);
  if (Tokens_ < Amount)
    return false;
  Tokens_ -= Amount;
  return true;
}

void TokenBucket::setLimits(double PerSecond, double Burst, TimePoint Now) {
  Tokens_ = std::min(countTokens(Now), Burst);
  UpdatedAt_ = std::max(UpdatedAt_, Now);
  PerSecond_ = PerSecond;
  Burst_ = Burst;
}

Duration TokenBucket::getTimeUntil(TimePoint Now, double Amount) const {
  const double Missing = Amount - countTokens(Now);
  if (Missing <= 0)
    return Duration::zero();
  if (PerSecond_ <= 0 || Amount > Burst_)
    return MaxWait;
  const std::chrono::duration<double> Wait(Missing / PerSecond_);
  // The wait is rounded up by one tick, so that the token is there after it.
  return std::min(std::chrono::duration_cast<Duration>(Wait) + Duration(1),
                  MaxWait);
}

double TokenBucket::countTokens(TimePoint Now) const {
  if (Now <= UpdatedAt_)
    return Tokens_;
  const std::chrono::duration<double> Elapsed = Now - UpdatedAt_;
  return std::min(Burst_, Tokens_ + Elapsed.count() * PerSecond_);
}
