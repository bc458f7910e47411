//===- PlannerState.h - State of the planner -------------------*- C++ -*-===//
//
// Servers, running, waiting and proposed tasks, teams and jobs, and what was
// learned from samples. The commands keep these consistent with each other;
// the strategies (Placer, Preemptor, TailGuard, UsageGuard) read the state and
// return decisions.
//
// A task is in exactly one of three states: waiting (in the queue), proposed
// (a decision was returned, or a server is being cleared for it; the room is
// held until the proposal expires) or running (committed). A task may run
// while its next attempt is already known; that attempt waits in
// NextAttempts_.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_PLANNERSTATE_H
#define TULIPWEIR_SRC_DECIDE_PLANNERSTATE_H

#include "decide/DecisionLog.h"
#include "decide/InterferenceModel.h"
#include "decide/Interner.h"
#include "decide/JobSpread.h"
#include "decide/Quarantine.h"
#include "decide/ServerTable.h"
#include "decide/SizeLearner.h"
#include "decide/WaitQueue.h"

#include <deque>
#include <set>

namespace tulipweir::decide {

/// Resources held for a task that does not run yet.
struct Proposal {
  WaitingTask Task_;
  ServerIndex Server_ = 0;
  Resources Reservation_;
  TimePoint ExpiresAt_;
  bool IsClaim_ = false; ///< The room is not free yet.
};

/// The state of a task that is kept between its attempts.
struct TaskRecord {
  AttemptNumber LastEndedAttempt_; ///< The latest attempt known to have ended.
  std::uint32_t Failures_ = 0;
  TimePoint RetryAt_;
  /// Start of the waiting time that counts for ageing.
  TimePoint WaitingSince_;
  std::optional<BackendServerId> AvoidedServer_;
  TimePoint AvoidUntil_;
};

class PlannerState {
public:
  explicit PlannerState(const Policy &Settings);

  // Commands. Each ignores stale events (older attempts, unknown tasks).
  void setPolicy(const Policy &Settings);
  void upsertServer(const ServerInfo &Info);
  void removeServer(const BackendServerId &Server);
  void addWaiting(const TaskInfo &Task, TimePoint Now);
  void removeWaiting(const TaskId &Task);
  void recordPlacement(const TaskInfo &Task, AttemptNumber Attempt,
                       const BackendServerId &Server,
                       const Resources &Reservation, TimePoint Now);
  void updateReservation(const TaskId &Task, AttemptNumber Attempt,
                         const Resources &Reservation);
  void updateThrottle(const TaskId &Task, AttemptNumber Attempt,
                      std::uint32_t Percent, TimePoint Now);
  void recordEnd(const TaskId &Task, AttemptNumber Attempt, EndReason Reason,
                 TimePoint Now);
  /// Moves a waiting task to the proposed state and holds its resources.
  void propose(const TaskId &Task, ServerIndex Server,
               const Resources &Reservation, TimePoint ExpiresAt, bool IsClaim);
  /// Turns a claim whose room is free now into a plain proposal.
  void convertClaim(const TaskId &Task, TimePoint ExpiresAt);
  /// Holds the resources by which a running task's reservation will grow.
  void holdGrowth(const TaskId &Task, const Resources &Amount,
                  TimePoint ExpiresAt);
  /// Moves tasks with expired proposals back to the queue, adds due retries to
  /// it and releases expired growths; handles at most Limit of each.
  void expire(TimePoint Now, std::size_t Limit);

  // Queries.
  RunningTask *findRunning(const TaskId &Task);
  const RunningTask *findRunning(const TaskId &Task) const;
  const Proposal *findProposal(const TaskId &Task) const;
  const TaskRecord *findRecord(const TaskId &Task) const;
  /// Returns the resources of the team's running and proposed tasks.
  Resources getTeamUsage(const TeamId &Team) const;
  std::optional<Resources> findQuota(const TeamId &Team) const;
  std::optional<TimePoint> findRetryTime(const TaskId &Task) const;
  /// Returns the p99 target of a service in microseconds; 0 if there is none.
  double getTargetMicros(ServiceIndex Service) const;
  std::size_t countClaims() const { return ClaimCount_; }
  /// Returns the delay in queue order of tasks of a class that slows services.
  Duration computeOrderPenalty(const TaskInfo &Task) const;

  Policy Policy_;
  Interner<JobClassId> Classes_;
  Interner<ServiceId> Services_;
  Interner<RackId> Racks_;
  ServerTable Servers_;
  WaitQueue Queue_;
  SizeLearner Sizes_;
  InterferenceModel Interference_;
  JobSpread Spread_;
  DecisionLog Decisions_;
  Quarantine Health_;
  /// Recent part of all services' reports that exceeded their target, averaged
  /// over about a hundred seconds.
  double OverTargetShare_ = 0;
  /// Servers with claims on which room became free.
  std::set<ServerIndex> ClaimsToCheck_;
  /// Draining servers that may still have tasks to evict.
  std::set<ServerIndex> DrainingServers_;

private:
  void enqueue(const TaskInfo &Task, TimePoint Since);
  std::optional<WaitingTask> dropProposal(const TaskId &Task);
  void clearGuardPending(RunningTask &Task);
  void releaseGrowth(const TaskId &Task);
  void removeRunning(const TaskId &Task, TimePoint Now);
  void wakeTasksForRoom(ServerIndex Server);
  TaskRecord &getOrCreateRecord(const TaskId &Task);
  void indexPolicy();

  std::unordered_map<TaskId, RunningTask> Running_;
  std::unordered_map<TaskId, Proposal> Proposals_;
  std::set<std::pair<TimePoint, TaskId>> Expiries_;
  struct PendingGrowth {
    ServerIndex Server_ = 0;
    Resources Amount_;
    TimePoint ExpiresAt_;
  };
  std::unordered_map<TaskId, PendingGrowth> PendingGrowths_;
  std::set<std::pair<TimePoint, TaskId>> GrowthExpiries_;
  std::unordered_map<TaskId, WaitingTask> NextAttempts_;
  std::unordered_map<TaskId, WaitingTask> BackingOff_;
  std::set<std::pair<TimePoint, TaskId>> Retries_;
  std::unordered_map<TaskId, TaskRecord> Records_;
  std::deque<TaskId> RecordOrder_;
  std::unordered_map<TeamId, Resources> TeamUsage_;
  std::unordered_map<TeamId, Resources> Quotas_;
  std::unordered_map<ServiceId, double> Targets_;
  std::size_t ClaimCount_ = 0;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_PLANNERSTATE_H
