//===- JobReconciler.h - Jobs and the fleet log ----------------*- C++ -*-===//
//
// Makes the data centre's jobs match the fleet log: adopts, cancels and
// releases jobs, reports their results and drops them. A job is reviewed
// whenever it changes and periodically.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_JOBRECONCILER_H
#define TULIPWEIR_SRC_CONTROL_JOBRECONCILER_H

#include "control/CommandProposer.h"
#include "control/FleetProposer.h"
#include "tulipweir/datacentre/DataCentreStateMachine.h"
#include "tulipweir/fleet/AssignmentLease.h"
#include "tulipweir/fleet/FleetStateMachine.h"

#include <deque>
#include <memory>
#include <set>
#include <vector>

namespace tulipweir::control {

/// The next action for a job.
enum class ReconcileAction : std::uint8_t {
  None,
  Adopt,  ///< The fleet assigned the job to this data centre.
  Cancel, ///< An operator cancelled the job.
  Stop,   ///< The job is no longer assigned here, or its assignment is about to
          ///< expire.
  ReportEnd,     ///< All tasks have ended.
  ReturnToFleet, ///< The job is stopped, and the fleet still assigns it here.
  Drop, ///< The fleet knows the result or assigned the job to another data
        ///< centre.
  ReportCancelled, ///< The job was cancelled before it was adopted.
};

/// State of a job in the local replica of the fleet log.
struct FleetJobState {
  bool Known_ = false;
  bool Ours_ = false; ///< Not ended and assigned to this data centre.
  bool Ended_ = false;
  bool Cancelling_ = false;
  std::uint64_t Assignment_ = 0;
  bool operator==(const FleetJobState &) const = default;
};

/// State of a job in the data centre's log.
struct LocalJobState {
  bool Known_ = false;
  bool Cancelling_ = false;
  bool Releasing_ = false;
  bool AllEnded_ = false;
  bool AnyPlaced_ = false;
  /// Assignment of the job; for an unknown job, the latest one remembered.
  std::uint64_t Assignment_ = 0;
  bool operator==(const LocalJobState &) const = default;
};

/// State of the lease on a job's assignment.
struct LeaseState {
  bool Covers_ =
      false; ///< A task started now would end before the lease expires.
  bool Ending_ = false; ///< Tasks must checkpoint and stop now.
  bool operator==(const LeaseState &) const = default;
};

/// Returns the next action; has no side effects.
ReconcileAction chooseAction(const FleetJobState &Fleet,
                             const LocalJobState &Local,
                             const LeaseState &Lease);

/// Lives on the leader's strand for the duration of one leadership.
class JobReconciler {
public:
  JobReconciler(DataCentreId DataCentre, const fleet::FleetStateMachine &Fleet,
                const datacentre::DataCentreStateMachine &Machine,
                const fleet::AssignmentLease &Lease, CommandProposer &Proposer,
                FleetProposer &FleetProposals, Executor &Strand,
                const Clock &Time, Duration LongestTaskLease);

  // Commands.

  /// Queues a job that changed in the data centre's or the fleet's log.
  void enqueue(const JobId &Job);
  void onChanges(const std::vector<datacentre::Change> &Changes);
  /// Reviews at most Budget jobs.
  void run(std::size_t Budget);
  /// Queues the next jobs in order, at most Budget of each log.
  void enqueueNext(std::size_t Budget);

  // Queries.

  /// Returns whether a task of the job may be placed or renewed now.
  bool mayRun(const JobId &Job) const;
  std::size_t countQueued() const { return Queue_.size(); }

private:
  using Handler = void (JobReconciler::*)(const JobId &, const FleetJobState &,
                                          const LocalJobState &);
  static const Handler Handlers[];

  FleetJobState readFleet(const JobId &Job) const;
  LocalJobState readLocal(const JobId &Job) const;
  void reconcile(const JobId &Job);

  void doNothing(const JobId &, const FleetJobState &, const LocalJobState &) {}
  void adopt(const JobId &Job, const FleetJobState &Fleet,
             const LocalJobState &Local);
  void failUndecodable(const JobId &Job, std::uint64_t Assignment,
                       const std::string &Field);
  void cancel(const JobId &Job, const FleetJobState &Fleet,
              const LocalJobState &Local);
  void stop(const JobId &Job, const FleetJobState &Fleet,
            const LocalJobState &Local);
  void reportEnd(const JobId &Job, const FleetJobState &Fleet,
                 const LocalJobState &Local);
  void returnToFleet(const JobId &Job, const FleetJobState &Fleet,
                     const LocalJobState &Local);
  void drop(const JobId &Job, const FleetJobState &Fleet,
            const LocalJobState &Local);
  void reportCancelled(const JobId &Job, const FleetJobState &Fleet,
                       const LocalJobState &Local);

  void propose(const JobId &Job, const datacentre::Command &Cmd);
  void proposeToFleet(const JobId &Job, const fleet::Command &Cmd);
  void enqueueLater(const JobId &Job);
  void onFleetResult(const JobId &Job, const Outcome<std::string> &Bytes);

  const DataCentreId DataCentre_;
  const fleet::FleetStateMachine &Fleet_;
  const datacentre::DataCentreStateMachine &Machine_;
  const fleet::AssignmentLease &Lease_;
  CommandProposer &Proposer_;
  FleetProposer &FleetProposals_;
  Executor &Strand_;
  const Clock &Time_;
  const Duration LongestTaskLease_;
  const TimePoint StartedAt_;
  std::deque<JobId> Queue_;
  std::set<JobId> Queued_;
  /// Jobs with an open command to the fleet. Shared with callbacks, which may
  /// outlive this object.
  std::shared_ptr<std::set<JobId>> PendingAtFleet_ =
      std::make_shared<std::set<JobId>>();
  JobId FleetCursor_;
  JobId LocalCursor_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_JOBRECONCILER_H
