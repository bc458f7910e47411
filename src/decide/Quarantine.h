//===- Quarantine.h - Servers on which every task fails --------*- C++ -*-===//
//
// A server is quarantined when several different jobs failed there since the
// last success and each of them succeeded on another server. A job that fails
// everywhere does not count. Before the evidence is complete, a server on
// which two jobs failed in a row gets one task at a time. After the quarantine
// the server is on probation: it gets one task at a time until one succeeds;
// if one fails again, the next quarantine lasts twice as long.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_QUARANTINE_H
#define TULIPWEIR_SRC_DECIDE_QUARANTINE_H

#include "tulipweir/core/Ids.h"
#include "tulipweir/core/Time.h"
#include "tulipweir/decide/Policy.h"

#include <deque>
#include <set>
#include <unordered_map>
#include <vector>

namespace tulipweir::decide {

enum class ServerHealth : std::uint8_t {
  Good,
  Suspect, ///< One task at a time, because several jobs failed there.
  Quarantined,
  Probation, ///< One task at a time after a quarantine.
};

/// A change of a server's health.
struct HealthChange {
  BackendServerId Server_;
  ServerHealth From_ = ServerHealth::Good;
  ServerHealth To_ = ServerHealth::Good;
  std::vector<JobId> Jobs_; ///< The failed jobs, or the job that succeeded.
  Duration Length_{};
  bool operator==(const HealthChange &) const = default;
};

class Quarantine {
public:
  void recordFailure(const JobId &Job, const BackendServerId &Server,
                     TimePoint Now, const Policy &Settings);
  /// Records that a task finished on the server or ran there for long.
  void recordSuccess(const JobId &Job, const BackendServerId &Server,
                     TimePoint Now, const Policy &Settings);
  /// Ends quarantines and suspicions whose time is over.
  void advance(TimePoint Now);
  /// Returns the changes since the last call, in order.
  std::vector<HealthChange> takeChanges();

  ServerHealth getHealth(const BackendServerId &Server) const;
  std::uint32_t countFailedJobs(const BackendServerId &Server) const;

private:
  struct ServerRecord {
    ServerHealth Health_ = ServerHealth::Good;
    /// Different jobs that failed since the last success.
    std::vector<JobId> FailedJobs_;
    TimePoint Until_;
    Duration QuarantineLength_{};
    TimePoint FailedAt_;
  };
  struct Job {
    std::vector<BackendServerId> FailedOn_;
    std::vector<BackendServerId> HealthyOn_;
  };

  Job &getOrCreateJob(const JobId &Id);
  bool isEvidence(const JobId &Id, const BackendServerId &Server) const;
  bool failsEverywhere(const JobId &Id) const;
  void updateHealth(const BackendServerId &Id, TimePoint Now,
                    const Policy &Settings);
  void setHealth(const BackendServerId &Id, ServerRecord &Record,
                 ServerHealth To, std::vector<JobId> Jobs);

  std::unordered_map<BackendServerId, ServerRecord> Servers_;
  std::unordered_map<JobId, Job> Jobs_;
  std::deque<JobId> JobOrder_;
  std::set<std::pair<TimePoint, BackendServerId>> Timers_;
  std::vector<HealthChange> Changes_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_QUARANTINE_H
