#include "jobs/PeriodicWorkPacing.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// Half a report interval.
static constexpr Duration ChangeInterval = 250ms;
/// Reports of a leader that keeps up wait for a few milliseconds. Above the
/// first mean the factor doubles, below the second it is halved.
static constexpr Duration LongWait = 40ms;
static constexpr Duration ShortWait = 15ms;

void PeriodicWorkPacing::recordReport(Duration Waited) {
  ++Reports_;
  Waited_ += Waited;
}

void PeriodicWorkPacing::update(TimePoint Now) {
  if (Now < NextChange_)
    return;
  NextChange_ = Now + ChangeInterval;
  const Duration Mean = Reports_ == 0 ? Duration(0) : Waited_ / Reports_;
  Reports_ = 0;
  Waited_ = {};
  if (Mean > LongWait)
    Factor_ = std::min(Factor_ * 2, MaxFactor);
  else if (Mean < ShortWait)
    Factor_ = std::max<std::int64_t>(Factor_ / 2, 1);
}
