//===- Policy.h - Weights and thresholds of the decisions ------*- C++ -*-===//
//
// The policy is part of the bundle in force. Every field has a unit, a range
// and a default; docs/POLICY.md explains them to operators.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DECIDE_POLICY_H
#define TULIPWEIR_DECIDE_POLICY_H

#include "tulipweir/core/Ids.h"
#include "tulipweir/core/Resources.h"
#include "tulipweir/core/Time.h"

#include <cstdint>
#include <vector>

namespace tulipweir::decide {

/// The most that a team may use at a time in one data centre.
struct TeamQuota {
  TeamId Team_;
  Resources Limit_;
  bool operator==(const TeamQuota &) const = default;
};

/// The p99 latency that a service must keep.
struct ServiceTarget {
  ServiceId Service_;
  Duration P99_{};
  bool operator==(const ServiceTarget &) const = default;
};

struct Policy {
  /// Weights of the score's terms, 0 to 100, relative to each other.
  double TailWeight_ = 50;
  double ThroughputWeight_ = 25;
  double EvictionWeight_ = 25;
  /// Tasks of this priority or a higher one are urgent and may evict lower
  /// ones.
  std::uint32_t UrgentPriority_ = 100;
  /// Quantile of measured usage that is reserved, 0.5 to 1.
  double UsageQuantile_ = 0.9;
  /// Margin added to that quantile, 0 to 1.
  double UsageMargin_ = 0.02;
  /// Lower bound of a learned reservation as a part of the declared size, 0.05
  /// to 1.
  double ReserveFloorPart_ = 0.2;
  /// Weight of spreading a job's tasks over racks, 0 to 100.
  double SpreadWeight_ = 10;
  /// Consecutive reports over a target before a guard acts, 1 to 20.
  std::uint32_t GuardReports_ = 3;
  /// Throttled tasks may be released while the p99 is under this part of its
  /// target, 0.1 to 1.
  double GuardReleasePart_ = 0.9;
  /// Speed of a throttled task in percent, 5 to 95.
  std::uint32_t ThrottlePercent_ = 40;
  /// Different jobs that must fail on a server, although they succeed
  /// elsewhere, before it is quarantined, 2 to 20.
  std::uint32_t QuarantineJobs_ = 3;
  Duration QuarantineTime_ = std::chrono::seconds(60);
  /// A waiting task gains one priority step per this time, 1 s to 1 h.
  Duration AgeingStep_ = std::chrono::seconds(30);
  /// Ageing steps by which tasks of harmless classes may overtake tasks of the
  /// class that slows services most, 0 (strict order) to 100.
  double CostlyClassSteps_ = 20;
  std::vector<TeamQuota> Quotas_;
  std::vector<ServiceTarget> Targets_;
  bool operator==(const Policy &) const = default;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_DECIDE_POLICY_H
