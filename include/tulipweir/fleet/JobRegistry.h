//===- JobRegistry.h - Batch jobs and their assignments --------*- C++ -*-===//
//
// The jobs in the fleet's replicated state. A job is held by one data centre
// at a time, under a number that increases with each assignment of the job.
// All operations are deterministic: JobAssigner decides, outside the state,
// when the lease of an assignment has expired.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_FLEET_JOBREGISTRY_H
#define TULIPWEIR_FLEET_JOBREGISTRY_H

#include "tulipweir/core/Error.h"
#include "tulipweir/core/Ids.h"
#include "tulipweir/fleet/Commands.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace tulipweir::fleet {

struct FleetJob {
  TeamId Team_;
  std::string Spec_;  ///< Empty for an ended job whose spec was long.
  Digest SpecDigest_; ///< Tells a resubmitted job from another one.
  DataCentreId Preferred_;
  std::uint64_t SubmittedWallMs_ = 0;
  std::uint64_t Assignment_ = 0; ///< The latest number; 0 before the first.
  DataCentreId DataCentre_;      ///< Empty while the job is unassigned.
  bool Cancelling_ = false;
  std::string Progress_; ///< From the latest release.
  std::optional<JobEnd> End_;
  std::string Message_; ///< Explains the end.
  std::uint64_t EndedWallMs_ = 0;
  bool operator==(const FleetJob &) const = default;
};

/// Not thread-safe.
class JobRegistry {
public:
  /// Ended jobs that are kept: more than a day's jobs at 8,000 a day. A job
  /// that is resubmitted after that counts as new.
  static constexpr std::size_t MaxEndedJobs = 10'000;
  /// Open jobs; further submissions are refused.
  static constexpr std::size_t MaxOpenJobs = 100'000;
  static constexpr std::size_t MaxSpecBytes = std::size_t(64) << 10U;
  /// Specs of ended jobs that are longer than this are dropped.
  static constexpr std::size_t MaxEndedSpecBytes = 2048;
  static constexpr std::size_t MaxProgressBytes = std::size_t(1) << 20U;
  static constexpr std::size_t MaxNameBytes = 128;

  // Commands.

  CommandResult submit(const SubmitJob &Request);
  CommandResult assign(const AssignJob &Request);
  CommandResult release(const ReleaseJob &Request);
  CommandResult cancel(const CancelJob &Request);
  CommandResult end(const EndJob &Request);

  // Queries.

  const std::map<JobId, FleetJob> &jobs() const { return Jobs_; }
  const FleetJob *find(const JobId &Job) const;
  /// Returns the open jobs that no data centre holds.
  const std::set<JobId> &unassigned() const { return Unassigned_; }
  /// Returns the open jobs of each data centre.
  const std::map<DataCentreId, std::set<JobId>> &held() const { return Held_; }
  /// Returns the ended jobs, the earliest end first.
  const std::deque<JobId> &ended() const { return Ended_; }
  std::size_t countOpen() const { return Jobs_.size() - Ended_.size(); }
  bool operator==(const JobRegistry &) const = default;

  /// Restores a registry from a snapshot and derives the indexes from the jobs.
  /// Fails with Malformed unless Ended lists exactly the ended jobs.
  static Outcome<JobRegistry> restore(std::map<JobId, FleetJob> Jobs,
                                      std::deque<JobId> Ended);

private:
  /// Returns the open job, or nullptr and sets Refusal.
  FleetJob *findOpen(const JobId &Job, CommandResult &Refusal);
  void finishJob(const JobId &Job, FleetJob &Record, JobEnd End,
                 std::string Message, std::uint64_t WallMs);
  void unassign(const JobId &Job, FleetJob &Record);

  std::map<JobId, FleetJob> Jobs_;
  std::set<JobId> Unassigned_;
  std::map<DataCentreId, std::set<JobId>> Held_;
  std::deque<JobId> Ended_;
};

} // namespace tulipweir::fleet

#endif // TULIPWEIR_FLEET_JOBREGISTRY_H
