#include "jobs/SendTimeBound.h"

using namespace tulipweir;
using namespace tulipweir::jobs;

static constexpr std::uint64_t Percent = 100;

/// Returns the longest time in which a slow clock advances by Ms. The clock
/// cuts off parts of a millisecond, so it may have advanced by one more.
static Duration getLongestTime(std::uint64_t Ms, std::uint64_t DriftPercent) {
  const Duration Shown = std::chrono::milliseconds(Ms + 1);
  return Shown + Shown * DriftPercent / Percent;
}

// The reference was sent at or before its receipt, and the server's clock shows
// at least the time since less the drift, so the bound is never too early.
TimePoint SendTimeBound::compute(TimePoint ReceivedAt,
                                 std::uint64_t ServerClockMs,
                                 std::uint64_t DriftPercent) {
  if (ServerClockMs == 0)
    return ReceivedAt;
  // A clock that went back gives no bound.
  const bool IsComparable = Reference_ &&
                            ServerClockMs >= Reference_->ServerClockMs_ &&
                            ReceivedAt > Reference_->ReceivedAt_;
  if (IsComparable) {
    const auto ElapsedMs = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            ReceivedAt - Reference_->ReceivedAt_)
            .count());
    const std::uint64_t ShownMs = ServerClockMs - Reference_->ServerClockMs_;
    // Otherwise the bound is after the receipt. Large values would overflow.
    if (ShownMs < ElapsedMs) {
      const TimePoint Bound =
          Reference_->ReceivedAt_ + getLongestTime(ShownMs, DriftPercent);
      if (Bound < ReceivedAt)
        return Bound;
    }
  }
  Reference_ = Reference{ReceivedAt, ServerClockMs};
  return ReceivedAt;
}
