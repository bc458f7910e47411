//===- Dispatcher.h - Chooses the tasks that a server starts ---*- C++ -*-===//
//
// When a server reports, the dispatcher chooses the tasks that it starts; the
// answer to the report carries the orders. A task that would run better on
// another server is held back for a bounded time and then started where it
// fits. Deterministic: reads no clock and does no I/O. What concerns one
// step of a plan is in DispatcherSteps.cpp.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_DISPATCHER_H
#define TULIPWEIR_SRC_JOBS_DISPATCHER_H

#include "jobs/AdviceCache.h"
#include "jobs/CapacityShares.h"
#include "jobs/CapacitySurvey.h"
#include "jobs/InterferenceModel.h"
#include "jobs/IsolationPlanner.h"
#include "jobs/LiveServerTable.h"
#include "jobs/OverdueSteps.h"
#include "jobs/PaceController.h"
#include "jobs/PassedOverTimes.h"
#include "jobs/ProposedTasks.h"
#include "jobs/ReadyTimes.h"
#include "jobs/RemainingCapacity.h"
#include "jobs/RunTimeEstimator.h"
#include "jobs/SchedulingOrder.h"
#include "jobs/ServerHealth.h"
#include "jobs/StragglerDetector.h"
#include "jobs/TailHeadroom.h"
#include "jobs/WaitExplainer.h"

#include <optional>
#include <set>

namespace tulipweir::jobs {

/// A plan for a server beside an overdue step whose tasks fit there.
struct PlanBesideOverdue {
  std::string Server_;
  ReadyStep Step_;
  /// Thousandths of a processor: what the plan leaves free, and what it gives
  /// to tasks that are not long-running.
  std::int64_t LeftCpus_ = 0;
  std::int64_t BoundedCpus_ = 0;
};

/// Plans the starts of tasks. Not thread-safe.
class Dispatcher {
public:
  /// All arguments must outlive the dispatcher.
  Dispatcher(const InterferenceModel &Interference, const ServingLoads &Loads,
             const PaceController &Paces, const ServerHealth &Health,
             const AdviceCache &Advice, const RunTimeEstimator &RunTimes,
             const CapacityShares &Shares)
      : Interference_(Interference), Loads_(Loads), Paces_(Paces),
        Health_(Health), Advice_(Advice), RunTimes_(RunTimes), Shares_(Shares) {
  }

  // Commands.

  /// Called when this member begins to lead. Keeps the waiting times that
  /// observe() noted.
  void reset(const JobRegistry &Registry);
  /// Records that the server of these runs was removed, by task.
  void recordLoss(const JobRegistry &Registry,
                  const std::map<TaskKey, std::uint64_t> &Runs) {
    ReadyTimes_.recordLoss(Registry, Runs);
    Overdue_.recordLoss(Runs);
  }
  /// Notes since when long-running work has waited. Called periodically, also
  /// while another member leads.
  void observe(const JobRegistry &Registry, TimePoint Now) {
    ReadyTimes_.observe(Registry, Now);
    Isolation_.observe(Registry, Now);
  }
  /// Returns the starts for the server. Their tasks are not planned again until
  /// releaseProposed is called.
  std::vector<TaskStart> plan(const JobRegistry &Registry,
                              const LiveServerTable &LiveServers,
                              const std::string &ServerId, TimePoint Now,
                              WallTime Wall);
  /// Sets by how much the order of steps may be older than usual.
  void setOrderAgeFactor(std::int64_t Factor) { Order_.setAgeFactor(Factor); }
  /// Called once the starts were applied or refused; their tasks may be planned
  /// again.
  void releaseProposed(const std::vector<TaskStart> &Starts);
  /// Updates what depends on all servers and all waiting steps; called
  /// periodically.
  void survey(const JobRegistry &Registry, const LiveServerTable &LiveServers,
              TimePoint Now);
  /// Returns whether a filling task that is slowed down, as it would lengthen
  /// tails, is to be stopped so that it continues on another server; claims the
  /// processors that it needs there.
  bool claimInterferenceFreeCpus(const StepSpec &Step) {
    return Survey_.claimInterferenceFreeCpus(Step);
  }
  /// Returns the starts of one whole gang that can be placed now, over several
  /// servers.
  std::vector<TaskStart> planGang(const JobRegistry &Registry,
                                  const LiveServerTable &LiveServers,
                                  TimePoint Now);
  /// Records that a run of the task failed on the server: its next run starts
  /// on another one, if possible.
  void recordFailure(const TaskKey &Task, const std::string &ServerId,
                     TimePoint Now);
  /// Removes the entries of steps that are no longer ready and of tasks that
  /// are done.
  void prune(const JobRegistry &Registry);

  /// Returns how long the steps of the tasks planned since the last call had
  /// been ready.
  std::vector<Duration> takePlannedWaits() {
    return std::exchange(PlannedWaits_, {});
  }

  /// Returns how many records of steps and of tasks the plans since the last
  /// call have read.
  std::uint64_t takeRecordsRead() { return std::exchange(RecordsRead_, 0); }

  /// Returns how many waiting steps the updates of their order since the last
  /// call have read.
  std::uint64_t takeOrderStepsRead() { return Order_.takeStepsRead(); }

  OverdueSteps &overdueSteps() { return Overdue_; }
  /// Returns the plans since the last call that gave room to bounded work, or
  /// left room, into which an overdue task fits.
  std::vector<PlanBesideOverdue> takePlansBesideOverdue() {
    return std::exchange(PlansBesideOverdue_, {});
  }

  // Queries.

  WaitExplainer &explainer() { return Explainer_; }
  const WaitExplainer &explainer() const { return Explainer_; }
  const CapacitySurvey &capacitySurvey() const { return Survey_; }
  /// Returns the work of filling jobs by the key of their queue.
  const std::map<std::string, QueueWork> &fillingWork() const {
    return Order_.fillingWork();
  }

private:
  /// The state of a plan for one server.
  struct ServerPlan {
    const ServerRecord &Server_;
    RemainingCapacity Remaining_;
    TimePoint Now_;
    std::vector<TaskStart> Starts_{};
    /// Reserved by the starts that are not long-running.
    Resources StartedBounded_{};
    std::uint64_t BoundedPriority_ = 0; ///< The least urgent one of these.
    std::size_t MaxStarts_ = 0;
    bool MayFail_ = false; ///< The server may let all its runs fail.
    bool IsPaced_ = false; ///< All filling tasks on it are slowed down.
    /// How much filling work the serving tasks on the server tolerate. Computed
    /// on first use, as most reports come while no waiting filling task would
    /// fit.
    std::optional<TailHeadroom> Headroom_{};
    /// By filling image, the smallest processor need of a rejected task: of a
    /// task that still waits for a server without interference, and of any
    /// task. A rejection holds for the whole plan, as capacity only shrinks
    /// meanwhile. Most of a long queue is skipped this way.
    std::vector<std::int64_t> RejectedCpusAvoidingInterference_{};
    std::vector<std::int64_t> RejectedCpus_{};
  };

  /// The part of a plan for one server that concerns one step.
  struct StepPlan {
    const Candidate &Entry_;
    const StepSpec &Spec_;
    const StepRecord &Record_;
    TaskKey Task_{};              ///< The task that is considered.
    std::uint64_t TasksHere_ = 0; ///< Known if the step has a spread limit.
    bool IsIdleJob_ = false;      ///< Nothing of the job runs.
  };
  /// The waiting tasks to consider, by whether they ran before.
  enum class TaskFilter : std::uint8_t { All, Lost, New };

  std::optional<TaskStart> planIsolated(const JobRegistry &Registry,
                                        const LiveServerTable &LiveServers,
                                        const ServerRecord &Server,
                                        TimePoint Now);
  bool acceptsAnyServer(const JobRegistry &Registry, const ReadyStep &Step,
                        TimePoint Now);
  void audit(const JobRegistry &Registry, const ServerPlan &Plan);
  std::int64_t getFillableCpus(const ServerPlan &Plan) const;
  bool isFull(const ServerPlan &Plan) const;
  TailHeadroom &getHeadroom(ServerPlan &Plan) const;
  /// Returns whether the step needs no advice or has a ticket for the server.
  bool isAdvised(const JobRecord &Job, const TaskKey &Task,
                 const std::string &ServerId, TimePoint Now) const;
  void planCopies(const JobRegistry &Registry, ServerPlan &Plan);
  bool isKnownRejected(const Candidate &Step, const ServerPlan &Plan) const;
  static void recordRejection(const Candidate &Step, ServerPlan &Plan);
  void planStep(const JobRegistry &Registry, const Candidate &Entry,
                ServerPlan &Plan);
  bool mayPlaceNext(const StepPlan &Current, ServerPlan &Plan) const;
  bool planTasks(const JobRegistry &Registry, StepPlan &Current,
                 TaskFilter Filter, ServerPlan &Plan);
  void addStart(const TaskStart &Start, StepPlan &Current, ServerPlan &Plan);
  Resources getKeptForBounded(const ServerPlan &Plan,
                              const ReadyStep &Step) const;
  bool hasCapacity(const ReadyStep &Ready, const StepSpec &Step,
                   const ServerPlan &Plan, Duration Waited) const;
  /// IsIdleJob means that nothing of the job runs.
  bool isSuitable(const StepSpec &Step, ServerPlan &Plan, Duration Waited,
                  bool IsIdleJob, std::uint64_t Waiting) const;
  bool isSuitableForServing(const StepSpec &Step,
                            const RemainingCapacity &Remaining, Duration Waited,
                            std::uint64_t Waiting) const;
  bool isSuitableForFilling(const StepSpec &Step, ServerPlan &Plan,
                            Duration Waited, bool IsIdleJob) const;

  const InterferenceModel &Interference_;
  const ServingLoads &Loads_;
  const PaceController &Paces_;
  const ServerHealth &Health_;
  const AdviceCache &Advice_;
  const RunTimeEstimator &RunTimes_;
  const CapacityShares &Shares_;
  IsolationPlanner Isolation_;

  /// The server and the time of a task's last failed run.
  struct TaskFailure {
    std::string Server_;
    TimePoint At_;
  };
  bool hasJustFailedHere(const TaskKey &Task, const ServerPlan &Plan) const;

  std::map<TaskKey, TaskFailure> LastFailures_;
  ReadyTimes ReadyTimes_;
  CapacitySurvey Survey_{Interference_, Loads_, Health_};
  std::vector<Duration> PlannedWaits_;
  std::uint64_t RecordsRead_ = 0;
  WaitExplainer Explainer_{Interference_, Loads_,  Health_,    Advice_,
                           Isolation_,    Survey_, ReadyTimes_};
  /// Tasks with a start that was planned but not applied or refused yet.
  ProposedTasks Proposed_;
  StragglerDetector StragglerDetector_{RunTimes_};
  PassedOverTimes PassedOver_;
  OverdueSteps Overdue_;
  std::vector<PlanBesideOverdue> PlansBesideOverdue_;
  TimePoint NextAudit_{};
  SchedulingOrder Order_{RunTimes_, Shares_};
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_DISPATCHER_H
