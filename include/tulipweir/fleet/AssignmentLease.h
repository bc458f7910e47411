//===- AssignmentLease.h - What a data centre may run, and until when -----===//
//
// Kept by EVERY control process of a data centre, leader or not, each with its
// own reports: then a data centre that is cut off keeps its jobs also when its
// own leader changes. A process that restarts while cut off holds nothing
// until the fleet's leader answers it. See AssignmentTimes.h for the argument.
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

  /// The fleet's leader answered the report that was SENT at SentAt, by this
  /// process's clock. Renewals of an earlier assignment of a job are ignored.
  void recordRenewals(const AssignmentReply &Reply, TimePoint SentAt);

  /// Forgets what is no longer in Standing: the assignments that this
  /// process's own fleet replica shows for its data centre.
  void retain(const std::vector<HeldAssignment> &Standing);

  // Queries.

  /// Whether the job may be run here until Until. Ask with the end of each
  /// task lease before granting or renewing it.
  bool covers(const HeldAssignment &Held, TimePoint Until) const;

  /// Whether it is time to checkpoint and stop: less than StopLeadTime_ is
  /// left, or nothing was ever renewed.
  bool isExpiring(const HeldAssignment &Held, TimePoint Now) const;

  /// Those of Standing to put into the next report, at most Limit; those that
  /// end first come first.
  std::vector<HeldAssignment>
  listDue(const std::vector<HeldAssignment> &Standing, TimePoint Now,
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
