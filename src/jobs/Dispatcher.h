//===- Dispatcher.h - Which task starts on which server --------*- C++ -*-===//
//
// Chooses the tasks that a server starts when it reports; the answer carries
// the orders. A task that would do better elsewhere is held back for a bounded
// time, then started where it fits. Deterministic: no clock, no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_DISPATCHER_H
#define TULIPWEIR_SRC_JOBS_DISPATCHER_H

#include "jobs/AdviceCache.h"
#include "jobs/IsolationPlanner.h"
#include "jobs/PaceController.h"
#include "jobs/ReadyTimes.h"
#include "jobs/CapacitySurvey.h"
#include "jobs/ServerBoard.h"
#include "jobs/ServerHealth.h"
#include "jobs/RemainingCapacity.h"
#include "jobs/SchedulingOrder.h"
#include "jobs/StragglerDetector.h"
#include "jobs/InterferenceModel.h"
#include "jobs/TailHeadroom.h"

#include <optional>
#include <set>

namespace tulipweir::jobs {

/// Not thread-safe.
class Dispatcher {
public:
  /// All must outlive it.
  Dispatcher(const TailEffects &Effects, const ServingLoads &Loads,
             const PaceGuard &Paces, const ServerHealth &Health,
             const AdviceBook &Advice)
      : Effects_(Effects), Loads_(Loads), Paces_(Paces), Health_(Health),
        Advice_(Advice) {}

  // Commands.

  void reset();
  /// What the server shall start now. The tasks count as taken until settle.
  std::vector<TaskStart> plan(const JobBook &Book, const ServerBoard &Board,
                              const std::string &ServerId, TimePoint Now,
                              WallTime Wall);
  /// The starts were applied or refused.
  void settle(const std::vector<TaskStart> &Starts);
  /// Looks at all servers and all that waits; now and then.
  void survey(const JobBook &Book, const ServerBoard &Board, TimePoint Now);
  /// Whether a task that hardly works where it is, as it would disturb, is to
  /// be stopped so that it goes on elsewhere; takes the room that it needs.
  bool takeSafeRoom(const StepSpec &Step) { return Survey_.takeSafeRoom(Step); }
  /// Whole gangs that can be placed now, over several servers.
  std::vector<TaskStart> planGang(const JobBook &Book, const ServerBoard &Board,
                                  TimePoint Now);
  /// A run of the task failed there: its next one goes elsewhere, if it can.
  void noteFailure(const TaskKey &Task, const std::string &ServerId,
                   TimePoint Now);
  /// Forgets since when steps that are no longer ready have been waiting.
  void prune(const JobBook &Book);

  // Queries.

  /// Why the step's tasks do not start: how many servers stand in which way.
  std::string explainWait(const JobBook &Book, const ServerBoard &Board,
                          const ReadyStep &Step, TimePoint Now) const;

private:
  /// A plan for one server in the making.
  struct Plan {
    const ServerRecord &Server_;
    ServerRoom Left_;
    TimePoint Now_;
    std::vector<TaskStart> Starts_;
    std::size_t MostStarts_;
    /// What the tasks that serve there still bear; measured once it is asked
    /// for, as most reports come while nothing that fills would fit.
    std::optional<TailRoom> Tails_;
    /// By filling image, the least processors of a task that was refused: of
    /// one that still waits for a place where it disturbs nobody, and of any.
    /// What was refused stays so while the plan is made, for room only shrinks.
    /// A long queue is mostly that.
    std::vector<std::int64_t> RefusedWhereItDisturbs_;
    std::vector<std::int64_t> Refused_;
  };

  std::optional<TaskStart> planIsolated(const JobBook &Book,
                                        const ServerBoard &Board,
                                        const ServerRecord &Server,
                                        TimePoint Now);
  bool isFull(const Plan &Own) const;
  TailRoom &getTails(Plan &Own) const;
  /// Whether the step may run there as far as the advice service is asked.
  bool isAdvised(const JobRecord &Job, const TaskKey &Task,
                 const std::string &ServerId, TimePoint Now) const;
  void planCopies(const JobBook &Book, Plan &Own);
  bool isRefused(const Candidate &Step, const Plan &Own) const;
  static void refuse(const Candidate &Step, Plan &Own);
  void planStep(const JobBook &Book, const Candidate &From, Plan &Own);
  bool hasRoom(const StepSpec &Step, const Plan &Own, Duration Waited) const;
  /// IsIdleJob: nothing of the job runs.
  bool isFit(const StepSpec &Step, Plan &Own, Duration Waited, bool IsIdleJob,
             std::uint64_t Waiting) const;
  bool isFitToServe(const StepSpec &Step, const ServerRoom &Left,
                    Duration Waited, std::uint64_t Waiting) const;
  bool isFitToFill(const StepSpec &Step, Plan &Own, Duration Waited,
                   bool IsIdleJob) const;

  const TailEffects &Effects_;
  const ServingLoads &Loads_;
  const PaceGuard &Paces_;
  const ServerHealth &Health_;
  const AdviceBook &Advice_;
  IsolationPlanner Isolation_;

  /// Where a task's last run failed, and when.
  struct FailedAt {
    std::string Server_;
    TimePoint At_;
  };
  bool isToAvoid(const TaskKey &Task, const Plan &Own) const;

  std::map<TaskKey, FailedAt> Failed_;
  ReadyTimes Waits_;
  RoomSurvey Survey_{Effects_, Loads_, Health_};
  std::set<TaskKey> Taken_; ///< Proposed, not applied yet.
  Stragglers Stragglers_;
  ServiceOrder Order_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_DISPATCHER_H
