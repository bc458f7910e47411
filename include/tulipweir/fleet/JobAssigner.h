//===- JobAssigner.h - Assignment of jobs to data centres ------*- C++ -*-===//
//
// The fleet's leader chooses data centres for jobs and releases the jobs of
// data centres whose leases have expired. The assigner's state is volatile: a
// new leader starts without it. It uses no clock, lock or socket.
// AssignmentTimes.h explains why it is safe.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_FLEET_JOBASSIGNER_H
#define TULIPWEIR_FLEET_JOBASSIGNER_H

#include "tulipweir/fleet/AssignmentTimes.h"
#include "tulipweir/fleet/Commands.h"
#include "tulipweir/fleet/JobRegistry.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace tulipweir::fleet {

/// Not thread-safe.
class JobAssigner {
public:
  explicit JobAssigner(const AssignmentTimes &Times) : Times_(Times) {}

  // Commands.

  /// Starts a term and forgets everything known from earlier ones. This replica
  /// must lead the fleet log and have applied every entry committed before
  /// (Replica::confirmLeadership). Call it for every term, even if this replica
  /// led an earlier term.
  void startLeading(TimePoint Now);
  void stopLeading();

  /// Answers a control process's report. Call it only directly after
  /// Replica::findLeaseTerm has returned the term of the latest startLeading,
  /// with the state applied on this replica. Renews nothing while not leading.
  AssignmentReply renew(const AssignmentReport &Report, const JobRegistry &Jobs,
                        TimePoint Now);

  /// Returns at most Budget commands to propose now: assignments of unassigned
  /// jobs and releases of jobs with expired leases. A command is repeated only
  /// if it has had no effect for RetryInterval_. The cost is proportional to
  /// Budget and the number of data centres.
  std::vector<Command> decide(const JobRegistry &Jobs, TimePoint Now,
                              std::size_t Budget);

  // Queries.

  bool isLeading() const { return LeadingSince_.has_value(); }
  bool isReachable(const DataCentreId &DataCentre, TimePoint Now) const;
  /// Returns when the jobs of this data centre may be moved; nullopt while not
  /// leading.
  std::optional<TimePoint> getExpiry(const DataCentreId &DataCentre) const;

private:
  struct DataCentreStatus {
    TimePoint AnsweredAt_{};
    DataCentreLoad Load_;
    bool HasLoad_ = false;
    std::uint32_t AssignedSince_ = 0; ///< Since the latest load report.
  };
  struct PendingRelease {
    std::uint64_t Assignment_ = 0;
    TimePoint ProposedAt_{};
  };

  void retryReleases(const JobRegistry &Jobs, TimePoint Now, std::size_t Budget,
                     std::vector<Command> &Out);
  void releaseExpired(const JobRegistry &Jobs, TimePoint Now,
                      std::size_t Budget, std::vector<Command> &Out);
  void prunePendingAssignments(const JobRegistry &Jobs, TimePoint Now);
  void assignWaitingJobs(const JobRegistry &Jobs, TimePoint Now,
                         std::size_t Budget, std::vector<Command> &Out);
  std::optional<DataCentreId> chooseDataCentre(const JobRegistry &Jobs,
                                               const FleetJob &Record,
                                               TimePoint Now) const;
  double computeScore(const DataCentreStatus &Status) const;

  AssignmentTimes Times_;
  std::optional<TimePoint> LeadingSince_;
  std::map<DataCentreId, DataCentreStatus> DataCentres_;
  std::map<JobId, PendingRelease> PendingReleases_;
  /// Proposal times of assignments that are not applied yet.
  std::map<JobId, TimePoint> PendingAssignments_;
};

} // namespace tulipweir::fleet

#endif // TULIPWEIR_FLEET_JOBASSIGNER_H
