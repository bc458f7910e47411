#include "jobs/ReportPacing.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// Idle servers take turns so that one of them offers its capacity this often.
/// A commit takes ten times as long, so more offers start no task sooner.
static constexpr Duration OfferInterval = 500us;
/// An idle server may lose three consecutive reports before its lease expires,
/// and one that has not reported for four usual intervals counts as silent.
static constexpr std::int64_t ReportsPerLease = 4;
static constexpr std::int64_t MaxUsualIntervals = 3;

Duration ReportPacing::getIdleInterval(std::size_t IdleServers) const {
  const Duration Longest =
      std::max(std::min(Settings_.Lease_ / ReportsPerLease,
                        Settings_.Interval_ * MaxUsualIntervals),
               Settings_.Interval_);
  return std::clamp<Duration>(OfferInterval *
                                  static_cast<std::int64_t>(IdleServers),
                              Settings_.Interval_, Longest);
}
