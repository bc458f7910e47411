//===- LoadSettings.h - Settings of decisions under load --------*- C++ -*-===//
//
// What a leader does when there is more work than capacity. Everything is off
// by default.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_LOADSETTINGS_H
#define TULIPWEIR_JOBS_LOADSETTINGS_H

#include "tulipweir/core/Time.h"
#include "tulipweir/jobs/JobSpec.h"

#include <cstdint>

namespace tulipweir::jobs {

/// Whether and how long-running tasks yield to bounded work.
struct ShareSettings {
  bool IsEnabled_ = false;
  /// Whether tasks yield, one of a step at a time, whose step declares no
  /// disruption budget.
  bool YieldsWithoutBudget_ = false;
  /// A task that has yielded does not yield again for this time.
  Duration MinYieldInterval_ = std::chrono::seconds(20);
  bool operator==(const ShareSettings &) const = default;

  /// Returns how many tasks of a long-running step may be away for others to
  /// run; 0 if none may yield.
  std::uint64_t getBudget(const StepSpec &Step) const {
    const std::uint64_t Undeclared = YieldsWithoutBudget_ ? 1 : 0;
    return Step.MaxUnavailable_ > 0 ? Step.MaxUnavailable_ : Undeclared;
  }
};

/// Whether run times are learned; otherwise the declared ones count.
struct RunTimeSettings {
  bool IsEnabled_ = false;
  bool operator==(const RunTimeSettings &) const = default;
};

/// Whether and when submissions are rejected.
struct AdmissionSettings {
  bool IsEnabled_ = false;
  /// A result is of no use to its callers after this many times the objective
  /// of its queue.
  std::uint64_t LatenessLimit_ = 3;
  /// Bounds of the time after which a rejected caller is told to return.
  Duration MinRetryAfter_ = std::chrono::seconds(1);
  Duration MaxRetryAfter_ = std::chrono::seconds(30);
  bool operator==(const AdmissionSettings &) const = default;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_LOADSETTINGS_H
