//===- AssignmentTimes.h - Leases of jobs to data centres ------*- C++ -*-===//
//
// A batch job is assigned to a data centre under a lease of hours, because
// regions can lose contact with each other for an hour and work must not stop
// for that. No job is ever held by two data centres, for these reasons:
//
//  1. A data centre holds a job only under a renewal, for Ttl_ by its own
//     clock, counted from the moment at which it sent the report that was
//     answered.
//  2. The leader counts Ttl_ plus Margin_ by its own clock from the later
//     moment at which it answered. Margin_ covers clocks that each differ from
//     true time by up to 1 %.
//  3. A leader answers only directly after Replica::findLeaseTerm has returned
//     the term in which it started, so no later leader was elected before the
//     report was sent. A new leader counts every assignment as renewed at its
//     election. A leader that lost its term and was elected again counts as
//     new: its knowledge is out of date, and another one may have led in
//     between.
//  4. A leader starts (JobAssigner::startLeading) only once
//     Replica::confirmLeadership has reported that every committed entry is
//     applied here, so it never renews an assignment that an earlier leader
//     moved.
//  5. Once a leader has proposed to release an assignment, it no longer renews
//     it: the proposal may be committed at any later time.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_FLEET_ASSIGNMENTTIMES_H
#define TULIPWEIR_FLEET_ASSIGNMENTTIMES_H

#include "tulipweir/core/Ids.h"
#include "tulipweir/core/Time.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace tulipweir::fleet {

/// Identifies one assignment of a job.
struct HeldAssignment {
  JobId Job_;
  std::uint64_t Assignment_ = 0;
  auto operator<=>(const HeldAssignment &) const = default;
};

/// Load of a data centre as reported by its leader.
struct DataCentreLoad {
  double Reserved_ = 0; ///< Reserved share of the capacity, 0 to 1.
  std::uint32_t WaitingTasks_ = 0;
  std::uint32_t Servers_ = 0;
  bool operator==(const DataCentreLoad &) const = default;
};

/// Report that every control process sends to the fleet's leader about once a
/// second. Due_ is short because each assignment is renewed only every
/// RenewInterval_.
struct AssignmentReport {
  DataCentreId DataCentre_;
  bool HasLoad_ = false; ///< Set only by the data centre's leader.
  DataCentreLoad Load_;
  std::vector<HeldAssignment> Due_;
  bool operator==(const AssignmentReport &) const = default;
};

struct AssignmentReply {
  std::vector<HeldAssignment> Renewed_;
  bool operator==(const AssignmentReply &) const = default;
};

/// Lease durations; all control processes must use the same.
struct AssignmentTimes {
  Duration Ttl_ = std::chrono::hours(2);
  /// Extra time after Ttl_ before the leader moves a job.
  Duration Margin_ = std::chrono::minutes(3);
  /// The data centre starts to checkpoint and stop tasks this long before its
  /// lease expires.
  Duration StopLeadTime_ = std::chrono::minutes(5);
  Duration RenewInterval_ = std::chrono::minutes(15);
  /// A data centre may be given jobs if it reported within this time.
  Duration ReachableTimeout_ = std::chrono::seconds(10);
  /// A new leader collects reports for this long before it assigns jobs.
  Duration NewLeaderDelay_ = std::chrono::seconds(2);
  /// A proposal that has had no effect is repeated after this time.
  Duration RetryInterval_ = std::chrono::seconds(5);

  /// Returns the durations for a lease of Ttl, scaled in proportion.
  static AssignmentTimes makeFor(Duration Ttl);
  bool operator==(const AssignmentTimes &) const = default;
};

} // namespace tulipweir::fleet

#endif // TULIPWEIR_FLEET_ASSIGNMENTTIMES_H
