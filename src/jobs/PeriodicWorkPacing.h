//===- PeriodicWorkPacing.h - Periodic work of a busy leader ----*- C++ -*-===//
//
// A leader spends part of its processor by the clock: on the order of steps,
// surveys and forecasts. When reports wait for it, that part has to shrink, or
// a slower leader would handle fewer reports for the same periodic work and
// never catch up. Deterministic: reads no clock and does no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_PERIODICWORKPACING_H
#define TULIPWEIR_SRC_JOBS_PERIODICWORKPACING_H

#include "tulipweir/core/Time.h"

#include <cstdint>

namespace tulipweir::jobs {

/// Not thread-safe.
class PeriodicWorkPacing {
public:
  /// The most by which intervals grow. A survey that is due each tick then
  /// takes place about as often as a server reports.
  static constexpr std::int64_t MaxFactor = 8;

  // Commands.

  void reset() { *this = PeriodicWorkPacing(); }
  /// Records how long a report had waited before the leader handled it.
  void recordReport(Duration Waited);
  /// Adapts the factor to the reports since the last change; called some
  /// twenty times a second.
  void update(TimePoint Now);

  // Queries.

  /// Returns by how much the intervals of periodic work are to be longer than
  /// usual; 1 while reports hardly wait.
  std::int64_t getFactor() const { return Factor_; }

private:
  std::int64_t Factor_ = 1;
  std::int64_t Reports_ = 0;
  Duration Waited_{}; ///< By these reports, in all.
  TimePoint NextChange_{};
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_PERIODICWORKPACING_H
