//===- AssignmentTimes.h - Long leases of jobs to data centres -*- C++ -*-===//
//
// A batch job is assigned to a data centre under a lease of hours, because
// regions lose each other for an hour and work must not stop for that. The
// argument that no job is ever held by two data centres:
//
//  1. A data centre holds a job only under a renewal, from the moment it SENT
//     the report that was answered, for Ttl_ by its own clock.
//  2. The leader counts from the later moment when it answered, for Ttl_ and
//     Margin_ by its own clock. Margin_ covers clocks that each differ from
//     true time by up to one part in a hundred.
//  3. A leader answers only directly after Replica::findLeaseTerm gave the
//     very term in which it began, so no later leader was elected before
//     the report was sent. A new leader counts every assignment as renewed at
//     its election. One that lost its term and was elected again is a new one:
//     what it knew is of an earlier time, and another may have led between.
//  4. A leader begins (JobAssigner::startLeading) only once
//     Replica::confirmLeadership has said that everything committed is applied
//     here, so it never renews what an earlier leader moved.
//  5. Once a leader has proposed to take an assignment back, it renews that
//     one no more: the proposal may be committed at any later time.
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

/// One job under one assignment.
struct HeldAssignment {
  JobId Job_;
  std::uint64_t Assignment_ = 0;
  auto operator<=>(const HeldAssignment &) const = default;
};

/// How busy a data centre is, by its leader.
struct DataCentreLoad {
  double Reserved_ = 0; ///< Part of its capacity that is set aside, 0 to 1.
  std::uint32_t WaitingTasks_ = 0;
  std::uint32_t Servers_ = 0;
  bool operator==(const DataCentreLoad &) const = default;
};

/// What every control process tells the fleet's leader, about once a second.
/// Due_ is short: each assignment is renewed every RenewInterval_ only.
struct AssignmentReport {
  DataCentreId DataCentre_;
  bool HasLoad_ = false; ///< Set by the data centre's leader.
  DataCentreLoad Load_;
  std::vector<HeldAssignment> Due_;
  bool operator==(const AssignmentReport &) const = default;
};

struct AssignmentReply {
  std::vector<HeldAssignment> Renewed_;
  bool operator==(const AssignmentReply &) const = default;
};

/// Durations of the leases; the same at all control processes.
struct AssignmentTimes {
  Duration Ttl_ = std::chrono::hours(2);
  /// The leader waits this much longer than Ttl_.
  Duration Margin_ = std::chrono::minutes(3);
  /// The data centre begins to checkpoint and stop this long before its own
  /// expiry.
  Duration StopLeadTime_ = std::chrono::minutes(5);
  Duration RenewInterval_ = std::chrono::minutes(15);
  /// A data centre that was heard within this time may be given jobs.
  Duration ReachableTimeout_ = std::chrono::seconds(10);
  /// A new leader listens this long before it assigns anything.
  Duration NewLeaderDelay_ = std::chrono::seconds(2);
  /// A proposal whose effect is not seen is proposed again after this time.
  Duration RetryInterval_ = std::chrono::seconds(5);

  /// The same proportions for another lease.
  static AssignmentTimes makeFor(Duration Ttl);
  bool operator==(const AssignmentTimes &) const = default;
};

} // namespace tulipweir::fleet

#endif // TULIPWEIR_FLEET_ASSIGNMENTTIMES_H
