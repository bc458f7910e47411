//===- JobOutcomeTracker.h - Tracks ended and released jobs -----*- C++ -*-===//
//
// Derives from the applied changes which jobs have ended or were released and
// are not yet recorded by the fleet.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DATACENTRE_JOBOUTCOMETRACKER_H
#define TULIPWEIR_DATACENTRE_JOBOUTCOMETRACKER_H

#include "tulipweir/datacentre/DataCentreState.h"

#include <set>
#include <string>
#include <vector>

namespace tulipweir::datacentre {

enum class JobEnd : std::uint8_t { Finished, Failed, Cancelled };

/// Combines how the tasks of a job ended; see summarizeJob.
struct JobOutcome {
  JobId Job_;
  std::uint64_t Assignment_ = 0;
  JobEnd End_ = JobEnd::Finished;
  std::string Message_; ///< Message of a failed task, else empty.
  bool operator==(const JobOutcome &) const = default;
};

/// Returns Failed if any task failed, otherwise Cancelled if any task was
/// cancelled, otherwise Finished. All tasks of the job must have ended.
JobOutcome summarizeJob(const JobRecord &Job);

/// Not thread-safe.
class JobOutcomeTracker {
public:
  // Commands.

  /// Called for every applied change, and for each of listChanges() after a
  /// reset.
  void onChange(const Change &AppliedChange);
  /// Clears the tracked jobs before a rebuild.
  void reset();

  // Queries.

  /// Returns at most Limit jobs that ended and are not dropped yet. The caller
  /// sends EndJob to the fleet and then proposes DropJob here.
  std::vector<JobOutcome> listEnded(const DataCentreState &State,
                                    std::size_t Limit) const;
  /// Returns at most Limit released jobs without placed tasks. The caller sends
  /// ReleaseJob with encodeProgress to the fleet and then proposes DropJob
  /// here.
  std::vector<JobId> listReleased(const DataCentreState &State,
                                  std::size_t Limit) const;

private:
  std::set<JobId> Ended_;
  std::set<JobId> Releasing_;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_JOBOUTCOMETRACKER_H
