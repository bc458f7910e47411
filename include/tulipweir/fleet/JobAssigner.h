//===- JobAssigner.h - The fleet leader's view of assignments --*- C++ -*-===//
//
// Chooses data centres for jobs and takes jobs back from data centres whose
// leases ran out. Volatile: a new leader begins afresh. No clock, lock or
// socket inside. The safety argument stands in AssignmentTimes.h.
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

  /// This replica leads the fleet log and has applied all that was committed
  /// before (Replica::confirmLeadership). Forgets all that was known. Call it
  /// for every term, also when this replica led the one before last.
  void startLeading(TimePoint Now);
  void stopLeading();

  /// Answers a control process's report. Call it only directly after
  /// Replica::findLeaseTerm answered with the term of the latest
  /// startLeading, with the state applied here. While not leading nothing is
  /// renewed.
  AssignmentReply renew(const AssignmentReport &Report, const JobRegistry &Jobs,
                        TimePoint Now);

  /// At most Budget commands to propose now: assignments of unassigned jobs
  /// and releases of expired ones. The same one comes again only after
  /// RetryInterval_ without effect. Work is proportional to Budget and the
  /// number of data centres.
  std::vector<Command> decide(const JobRegistry &Jobs, TimePoint Now,
                              std::size_t Budget);

  // Queries.

  bool isLeading() const { return LeadingSince_.has_value(); }
  bool isReachable(const DataCentreId &DataCentre, TimePoint Now) const;
  /// When what this data centre holds may be moved; nullopt while following.
  std::optional<TimePoint> getExpiry(const DataCentreId &DataCentre) const;

private:
  struct DataCentreStatus {
    TimePoint AnsweredAt_{};
    DataCentreLoad Load_;
    bool HasLoad_ = false;
    std::uint32_t AssignedSince_ = 0; ///< Since that load was reported.
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
  double computeScore(const DataCentreStatus &Known) const;

  AssignmentTimes Times_;
  std::optional<TimePoint> LeadingSince_;
  std::map<DataCentreId, DataCentreStatus> DataCentres_;
  std::map<JobId, PendingRelease> PendingReleases_;
  std::map<JobId, TimePoint> PendingAssignments_; ///< When each was proposed.
};

} // namespace tulipweir::fleet

#endif // TULIPWEIR_FLEET_JOBASSIGNER_H
