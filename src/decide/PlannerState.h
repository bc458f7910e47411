//===- PlannerState.h - All that the planner knows -------------*- C++ -*-===//
//
// Servers, running, waiting and proposed tasks, teams and jobs, with what was
// learned. Its commands keep these in step with each other; the strategies
// (Placer, Preemptor, TailGuard, UsageGuard) read it and answer decisions.
//
// A task is in exactly one of: waiting (in the queue), proposed (a decision
// was handed out, or a server is being emptied for it; the room is held until
// it expires), running (committed). A task may run while its next attempt is
// already known; that one waits in Later_.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_PLANNERSTATE_H
#define TULIPWEIR_SRC_DECIDE_PLANNERSTATE_H

#include "decide/DecisionLog.h"
#include "decide/Interference.h"
#include "decide/Interner.h"
#include "decide/JobSpread.h"
#include "decide/Quarantine.h"
#include "decide/ServerTable.h"
#include "decide/SizeLearner.h"
#include "decide/WaitQueue.h"

#include <deque>
#include <set>

namespace tulipweir::decide {

/// Room that is held for a task that does not run yet.
struct Proposal {
  WaitingTask Task_;
  ServerIndex Server_ = 0;
  Resources Reservation_;
  TimePoint ExpiresAt_;
  bool IsClaim_ = false; ///< The room is not free yet.
};

/// What is remembered of a task between its attempts.
struct TaskMemory {
  AttemptNumber Ended_; ///< Latest attempt known to have ended.
  std::uint32_t Failures_ = 0;
  TimePoint RetryAt_;
  TimePoint FirstSince_; ///< When it first waited, for ageing.
  std::optional<BackendServerId> Avoid_;
  TimePoint AvoidUntil_;
};

class PlannerState {
public:
  explicit PlannerState(const Policy &Settings);

  // Commands. Each ignores what is stale (older attempts, unknown tasks).
  void setPolicy(const Policy &Settings);
  void upsertServer(const ServerInfo &Info);
  void removeServer(const BackendServerId &Server);
  void addWaiting(const TaskInfo &Task, TimePoint Now);
  void removeWaiting(const TaskId &Task);
  void notePlaced(const TaskInfo &Task, AttemptNumber Attempt,
                  const BackendServerId &Server, const Resources &Reservation,
                  TimePoint Now);
  void noteReservation(const TaskId &Task, AttemptNumber Attempt,
                       const Resources &Reservation);
  void noteThrottle(const TaskId &Task, AttemptNumber Attempt,
                    std::uint32_t Percent, TimePoint Now);
  void noteEnded(const TaskId &Task, AttemptNumber Attempt, EndReason Reason,
                 TimePoint Now);
  /// Moves a waiting task to proposed and holds the room.
  void propose(const TaskId &Task, ServerIndex Server,
               const Resources &Reservation, TimePoint ExpiresAt, bool IsClaim);
  /// Turns a claim whose room came free into a proposal.
  void settleClaim(const TaskId &Task, TimePoint ExpiresAt);
  /// Holds the room by which a running task's reservation is to grow.
  void holdGrowth(const TaskId &Task, const Resources &Amount,
                  TimePoint ExpiresAt);
  /// Puts tasks whose proposals expired back to waiting, and due retries into
  /// the queue; Most at most.
  void expire(TimePoint Now, std::size_t Most);

  // Queries.
  RunningTask *findRunning(const TaskId &Task);
  const RunningTask *findRunning(const TaskId &Task) const;
  const Proposal *findProposal(const TaskId &Task) const;
  const TaskMemory *findMemory(const TaskId &Task) const;
  /// What the team holds, proposals included.
  Resources heldBy(const TeamId &Team) const;
  std::optional<Resources> quotaOf(const TeamId &Team) const;
  std::optional<TimePoint> retryTimeOf(const TaskId &Task) const;
  /// The target of a service in microseconds, 0 without one.
  double targetMicros(ServiceIndex Service) const;
  std::size_t claims() const { return Claims_; }
  /// By how much tasks of a class that slows services are put off.
  Duration handicapOf(const TaskInfo &Task) const;

  Policy Policy_;
  Interner<JobClassId> Classes_;
  Interner<ServiceId> Services_;
  Interner<RackId> Racks_;
  ServerTable Servers_;
  WaitQueue Queue_;
  SizeLearner Sizes_;
  Interference Effects_;
  JobSpread Spread_;
  DecisionLog Decisions_;
  Quarantine Health_;
  /// Part of all services' reports that stood over their target of late, over
  /// about a hundred seconds.
  double OverShare_ = 0;
  /// Servers on which room came free and that have claims.
  std::set<ServerIndex> ClaimsToCheck_;
  /// Servers that may have tasks to move because they leave.
  std::set<ServerIndex> Leaving_;

private:
  void enqueue(const TaskInfo &Task, TimePoint Since);
  std::optional<WaitingTask> dropProposal(const TaskId &Task);
  void guardEffectSeen(RunningTask &Task);
  void dropGrowth(const TaskId &Task);
  void dropRunning(const TaskId &Task, TimePoint Now);
  void roomGrew(ServerIndex Server);
  TaskMemory &memoryOf(const TaskId &Task);
  void indexTargets();

  std::unordered_map<TaskId, RunningTask> Running_;
  std::unordered_map<TaskId, Proposal> Proposals_;
  std::set<std::pair<TimePoint, TaskId>> Expiries_;
  struct Growth {
    ServerIndex Server_ = 0;
    Resources Amount_;
    TimePoint ExpiresAt_;
  };
  std::unordered_map<TaskId, Growth> Growths_;
  std::set<std::pair<TimePoint, TaskId>> GrowthExpiries_;
  std::unordered_map<TaskId, WaitingTask> Later_;
  std::unordered_map<TaskId, WaitingTask> BackingOff_;
  std::set<std::pair<TimePoint, TaskId>> Retries_;
  std::unordered_map<TaskId, TaskMemory> Memory_;
  std::deque<TaskId> MemoryOrder_;
  std::unordered_map<TeamId, Resources> Held_;
  std::unordered_map<TeamId, Resources> Quotas_;
  std::unordered_map<ServiceId, double> Targets_;
  std::size_t Claims_ = 0;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_PLANNERSTATE_H
