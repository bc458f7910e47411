//===- RunTimeBounds.h - What is certain of a run's duration ----*- C++ -*-===//
//
// A server names a run in its reports, which are up to a second apart and may
// be late, so the duration of the run is known only within bounds.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_RUNTIMEBOUNDS_H
#define TULIPWEIR_SRC_JOBS_RUNTIMEBOUNDS_H

#include "tulipweir/core/Time.h"

#include <algorithm>
#include <cstdint>

namespace tulipweir::jobs {

/// When a server sent a report.
struct SendTime {
  TimePoint At_{};                  ///< Upper bound on the leader's clock.
  std::uint64_t ServerClockMs_ = 0; ///< On the server's clock; 0 if unknown.
};

/// The shortest and the longest time that a run can have taken.
struct RunTimeBounds {
  Duration Shortest_{}; ///< Zero if nothing is certain.
  Duration Longest_{};  ///< Zero if nothing is certain.
};

/// Returns the time between two reports, within bounds. The server's clock is
/// not affected by delays; it tells nothing while it stands still.
inline RunTimeBounds boundTimeBetween(const SendTime &From,
                                      const SendTime &To) {
  const Duration Between = std::max<Duration>(To.At_ - From.At_, Duration(0));
  if (From.ServerClockMs_ == 0 || To.ServerClockMs_ == 0)
    return {Between, Between};
  if (To.ServerClockMs_ <= From.ServerClockMs_)
    return {Duration(0), Between};
  // The clock cuts off parts of a millisecond.
  const std::uint64_t ShownMs = To.ServerClockMs_ - From.ServerClockMs_;
  return {std::chrono::milliseconds(ShownMs - 1),
          std::chrono::milliseconds(ShownMs + 1)};
}

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_RUNTIMEBOUNDS_H
