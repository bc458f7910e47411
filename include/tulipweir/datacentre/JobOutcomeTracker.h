//===- JobOutcomeTracker.h - Tracks ended and released jobs -----*- C++ -*-===//
//
// Derived from the feed of changes: what the fleet has yet to be told.
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

/// How a job ended, or with what it is handed back.
struct JobOutcome {
  JobId Job_;
  std::uint64_t Assignment_ = 0;
  JobEnd End_ = JobEnd::Finished;
  std::string Message_; ///< Of a failed task; empty otherwise.
  bool operator==(const JobOutcome &) const = default;
};

/// Failed if any task failed, else cancelled if any was, else finished. The
/// job must have ended.
JobOutcome summarizeJob(const JobRecord &Job);

/// Not thread-safe.
class JobOutcomeTracker {
public:
  // Commands.

  /// To be told of every change that is applied, and of listChanges() after a
  /// reset.
  void onChange(const Change &AppliedChange);
  /// Forgets everything, before a rebuild.
  void reset();

  // Queries.

  /// Jobs that ended and are not dropped yet: EndJob is to be told to the
  /// fleet, then DropJob proposed here. At most Limit.
  std::vector<JobOutcome> listEnded(const DataCentreState &State,
                                    std::size_t Limit) const;
  /// Jobs that are released and hold no place: ReleaseJob with encodeProgress
  /// is to be told to the fleet, then DropJob proposed here. At most Limit.
  std::vector<JobId> listReleased(const DataCentreState &State,
                                  std::size_t Limit) const;

private:
  std::set<JobId> Ended_;
  std::set<JobId> Releasing_;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_JOBOUTCOMETRACKER_H
