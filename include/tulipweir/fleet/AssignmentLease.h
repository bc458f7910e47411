//===- AssignmentLease.h - Job leases held by a data centre ----*- C++ -*-===//
//
// Every control process of a data centre, leader or not, keeps its own leases
// and renews them with its own reports, so that a data centre that is cut off
// keeps its jobs even if its own leader changes. A process that restarts while
// it is cut off holds no lease until the fleet's leader answers it.
// AssignmentTimes.h explains why this is safe.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_FLEET_ASSIGNMENTLEASE_H
#define TULIPWEIR_FLEET_ASSIGNMENTLEASE_H

#include "tulipweir/fleet/AssignmentTimes.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <vector>

namespace tulipweir::fleet {

/// Thread-safe.
class AssignmentLease {
public:
  explicit AssignmentLease(const AssignmentTimes &Times) : Times_(Times) {}

  // Commands.

  /// Records the fleet leader's reply to the report that was sent at SentAt, by
  /// this process's clock. Renewals of an earlier assignment of a job are
  /// ignored.
  void recordRenewals(const AssignmentReply &Reply, TimePoint SentAt);

  /// Drops the leases of jobs that are not in Current, which holds the
  /// assignments that this process's replica of the fleet's state lists for its
  /// data centre.
  void retain(const std::vector<HeldAssignment> &Current);

  // Queries.

  /// Returns whether the job may run here until Until. Callers pass the expiry
  /// of each task lease before they grant or renew it.
  bool covers(const HeldAssignment &Held, TimePoint Until) const;

  /// Returns whether the job must be checkpointed and stopped: less than
  /// StopLeadTime_ is left, or the lease was never renewed.
  bool isExpiring(const HeldAssignment &Held, TimePoint Now) const;

  /// Returns the assignments in Current that the next report should renew, at
  /// most Limit, the earliest expiry first.
  std::vector<HeldAssignment>
  listDue(const std::vector<HeldAssignment> &Current, TimePoint Now,
          std::size_t Limit) const;

private:
  struct Renewal {
    std::uint64_t Assignment_ = 0;
    TimePoint SentAt_{};
  };
  const Renewal *find(const HeldAssignment &Held) const;

  AssignmentTimes Times_;
  mutable std::mutex Mutex_;
  std::map<JobId, Renewal> Renewals_;
};

} // namespace tulipweir::fleet

#endif // TULIPWEIR_FLEET_ASSIGNMENTLEASE_H
