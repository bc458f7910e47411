//===- ReportPacing.h - When a server reports next --------------*- C++ -*-===//
//
// Chooses the time to a server's next report. Reports renew leases, show the
// progress of runs, and offer free capacity. On a large fleet that is mostly
// idle, nearly all reports only repeat that a server is free, far more often
// than tasks start; handling them delays the ones that matter. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_REPORTPACING_H
#define TULIPWEIR_SRC_JOBS_REPORTPACING_H

#include "tulipweir/core/Time.h"

#include <cstddef>

namespace tulipweir::jobs {

struct ReportPacingSettings {
  /// The interval of a server with tasks. It also reports when one ends.
  Duration Interval_ = std::chrono::milliseconds(500);
  /// The lease that each answer grants.
  Duration Lease_ = std::chrono::seconds(5);
};

class ReportPacing {
public:
  explicit ReportPacing(const ReportPacingSettings &Settings)
      : Settings_(Settings) {}

  /// Returns the interval of a server with tasks, or for which anything is
  /// outstanding.
  Duration getBusyInterval() const { return Settings_.Interval_; }
  /// Returns the interval of a server that has nothing to report, as one of
  /// this number of such servers.
  Duration getIdleInterval(std::size_t IdleServers) const;

private:
  const ReportPacingSettings Settings_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_REPORTPACING_H
