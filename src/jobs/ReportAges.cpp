#include "jobs/ReportAges.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// A server drops an answer that takes longer.
static constexpr Duration MaxAge = 1s;
/// Two reports in a row whose delays differ by less are from a running server
/// whose clock has stood still. Delayed reports of a lost server were sent a
/// second apart and arrive together.
static constexpr Duration MaxDelayChange = 100ms;
/// Longer than any delay of a report.
static constexpr Duration Retention = 60s;
static constexpr Duration CleanupInterval = 10s;

bool ReportAges::isTooLate(const ServerReport &Report, TimePoint ReceivedAt) {
  removeOld(ReceivedAt);
  if (Report.ServerClockMs_ == 0)
    return false;
  Server &Known = Servers_[Report.Facts_.Id_];
  // A later report has overtaken it.
  if (Report.Sequence_ <= Known.LastSequence_)
    return true;
  // A clock that does not advance tells nothing.
  if (Report.ServerClockMs_ <= Known.LastClockMs_)
    Known.Sent_ = {};
  Known.LastSequence_ = Report.Sequence_;
  Known.LastClockMs_ = Report.ServerClockMs_;
  Known.LastReceivedAt_ = ReceivedAt;
  const Duration Delay =
      ReceivedAt -
      Known.Sent_.compute(ReceivedAt, Report.ServerClockMs_, DriftPercent_);
  const bool IsAsLateAsBefore =
      Known.LastDelay_ > Duration(0) &&
      std::chrono::abs(Delay - Known.LastDelay_) <= MaxDelayChange;
  const bool IsLate = Delay > MaxAge && !IsAsLateAsBefore;
  Known.LastDelay_ = IsLate ? Delay : Duration(0);
  if (Delay > MaxAge && IsAsLateAsBefore) {
    Known.Sent_ = {};
    Known.Sent_.compute(ReceivedAt, Report.ServerClockMs_, DriftPercent_);
  }
  return IsLate;
}

void ReportAges::removeOld(TimePoint Now) {
  if (Now < NextCleanup_)
    return;
  NextCleanup_ = Now + CleanupInterval;
  std::erase_if(Servers_, [Now](const auto &Entry) {
    return Now - Entry.second.LastReceivedAt_ > Retention;
  });
}
