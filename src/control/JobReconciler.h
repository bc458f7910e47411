//===- JobReconciler.h - Jobs between the fleet and a data centre -*- C++
//-*-===//
//
// Brings the data centre's jobs in line with what the fleet's log says:
// adopts, cancels, releases, reports ends, drops. Each job is reviewed when
// something about it changed and, slowly, in turn.
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

/// What one job needs next.
enum class JobStep : std::uint8_t {
  None,
  Adopt,        ///< The fleet assigned it here.
  Cancel,       ///< An operator cancelled it.
  Stop,         ///< It is no longer ours, or its assignment is ending.
  ReportEnd,    ///< All its tasks ended.
  GiveBack,     ///< It is stopped, and the fleet still holds it as ours.
  Drop,         ///< The fleet knows its end, or gave it to somebody else.
  ReportUnused, ///< Cancelled before it was adopted.
};

/// How a job stands in the fleet's log, as far as applied here.
struct FleetSide {
  bool Known_ = false;
  bool Ours_ = false; ///< Open and held by this data centre.
  bool Ended_ = false;
  bool Cancelling_ = false;
  std::uint64_t Assignment_ = 0;
  bool operator==(const FleetSide &) const = default;
};

/// How it stands in the data centre's log.
struct LocalSide {
  bool Known_ = false;
  bool Cancelling_ = false;
  bool Releasing_ = false;
  bool AllEnded_ = false;
  bool AnyPlaced_ = false;
  /// Of the job, or the latest one remembered when it is not known.
  std::uint64_t Assignment_ = 0;
  bool operator==(const LocalSide &) const = default;
};

/// How its assignment's lease stands.
struct LeaseSide {
  bool Covers_ = false; ///< A task started now would end in time.
  bool Ending_ = false; ///< Time to checkpoint and stop.
  bool operator==(const LeaseSide &) const = default;
};

/// The one thing to do next; pure.
JobStep chooseStep(const FleetSide &Fleet, const LocalSide &Local,
                   const LeaseSide &Lease);

/// Lives on the leader's strand, as long as one leadership.
class JobReconciler {
public:
  JobReconciler(DataCentreId DataCentre, const fleet::FleetStateMachine &Fleet,
                const datacentre::DataCentreStateMachine &Machine,
                const fleet::AssignmentLease &Lease, CommandProposer &Proposer,
                FleetProposer &FleetProposals, Executor &Strand,
                const Clock &Time, Duration LongestTaskLease);

  // Commands.

  /// Something about the job changed, here or in the fleet's log.
  void noteJob(const JobId &Job);
  void noteChanges(const std::vector<datacentre::Change> &Changes);
  /// Reviews at most Budget jobs.
  void run(std::size_t Budget);
  /// Queues the next jobs in turn, at most Budget of each log.
  void sweep(std::size_t Budget);

  // Queries.

  /// Whether a task of the job may be placed or go on under a lease now.
  bool mayRun(const JobId &Job) const;
  std::size_t countQueued() const { return Queue_.size(); }

private:
  using Step = void (JobReconciler::*)(const JobId &, const FleetSide &,
                                       const LocalSide &);
  static const Step Steps[];

  FleetSide readFleet(const JobId &Job) const;
  LocalSide readLocal(const JobId &Job) const;
  void review(const JobId &Job);

  void doNothing(const JobId &, const FleetSide &, const LocalSide &) {}
  void adopt(const JobId &Job, const FleetSide &Fleet, const LocalSide &Local);
  void failUnread(const JobId &Job, std::uint64_t Assignment,
                  const std::string &What);
  void cancel(const JobId &Job, const FleetSide &Fleet, const LocalSide &Local);
  void stop(const JobId &Job, const FleetSide &Fleet, const LocalSide &Local);
  void reportEnd(const JobId &Job, const FleetSide &Fleet,
                 const LocalSide &Local);
  void giveBack(const JobId &Job, const FleetSide &Fleet,
                const LocalSide &Local);
  void drop(const JobId &Job, const FleetSide &Fleet, const LocalSide &Local);
  void reportUnused(const JobId &Job, const FleetSide &Fleet,
                    const LocalSide &Local);

  void propose(const JobId &Job, const datacentre::Command &Value);
  void proposeToFleet(const JobId &Job, const fleet::Command &Value);
  void noteJobLater(const JobId &Job);
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
  const TimePoint BeganAt_;
  std::deque<JobId> Queue_;
  std::set<JobId> Queued_;
  /// Jobs with a command under way to the fleet. Shared with callbacks, which
  /// may come after this object is gone.
  std::shared_ptr<std::set<JobId>> AtFleet_ =
      std::make_shared<std::set<JobId>>();
  JobId FleetCursor_;
  JobId LocalCursor_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_JOBRECONCILER_H
