//===- PlanningService.h - Runs the planner --------------------*- C++ -*-===//
//
// Passes committed changes and measurements to the planner, in order, and
// turns its decisions into proposals and commands to backend servers.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_PLANNINGSERVICE_H
#define TULIPWEIR_SRC_CONTROL_PLANNINGSERVICE_H

#include "control/CommandProposer.h"
#include "control/DecisionStream.h"
#include "tulipweir/datacentre/AttemptTracker.h"
#include "tulipweir/datacentre/DataCentreStateMachine.h"
#include "tulipweir/decide/Planner.h"
#include "tulipweir/fleet/Bundle.h"
#include "tulipweir/net/Metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace tulipweir::control {

/// Whether a backend server can take tasks, judged by its announcements.
enum class ServerReachability : std::uint8_t {
  Reachable,
  Silent,        ///< No tasks are placed there; running tasks may continue.
  LeasesExpired, ///< Silent for so long that its leases have expired.
};

struct PlanningCounters {
  net::Counter &Placements_;
  net::Counter &PlacementsRefused_;
  net::Counter &Evictions_;
  net::Counter &Throttles_;
  net::Counter &Holds_;
  static PlanningCounters makeFor(net::Metrics &Registry);
};

/// Lives on the leader's strand for the duration of one leadership.
class PlanningService {
public:
  /// Returns whether tasks of the job may currently be placed.
  using PlacementFilter = std::function<bool(const JobId &)>;

  PlanningService(const datacentre::DataCentreStateMachine &Machine,
                  CommandProposer &Proposer,
                  datacentre::AttemptTracker &Attempts, DecisionStream &Stream,
                  const Clock &Time, PlanningCounters Counters,
                  PlacementFilter JobMayRun, std::uint64_t Seed);

  // Commands.

  void setBundle(std::shared_ptr<const fleet::Bundle> InForce);
  /// Handles changes in log order.
  void onChanges(const std::vector<datacentre::Change> &Changes);
  void recordUsage(const BackendServerId &Server,
                   const wire::AttemptReport &Report, TimePoint Now);
  void recordServiceReport(const BackendServerId &Server,
                           const wire::ServiceReport &Report, TimePoint Now);
  void onReachabilityChanged(const BackendServerId &Server,
                             ServerReachability Reachability);
  /// Runs the planner and executes at most Budget decisions; returns their
  /// number.
  std::size_t run(std::size_t Budget);

  // Queries.

  /// Returns whether an event since the last run may allow a new decision.
  bool isDue() const { return RunNeeded_; }
  const decide::Planner &planner() const { return Planner_; }
  std::size_t countWaiting() const { return Waiting_.size(); }
  /// Returns the assignment under which this data centre holds a job; 0 if it
  /// does not hold it.
  std::uint64_t findAssignment(const JobId &Job) const;

private:
  using Change = datacentre::Change;
  using Handler = void (PlanningService::*)(const Change &);
  static const Handler Handlers[];

  void ignore(const Change &AppliedChange);
  void onServerChanged(const Change &AppliedChange);
  void onServerForgotten(const Change &AppliedChange);
  void onJobAdopted(const Change &AppliedChange);
  void onJobReleasing(const Change &AppliedChange);
  void onJobDropped(const Change &AppliedChange);
  void onTaskWaiting(const Change &AppliedChange);
  void onTaskPlaced(const Change &AppliedChange);
  void onReservationChanged(const Change &AppliedChange);
  void onAttemptEnded(const Change &AppliedChange);
  void onTaskEnded(const Change &AppliedChange);

  using Action = void (PlanningService::*)(const decide::Decision &);
  static const Action Actions[];

  void publish(const decide::Decision &NewDecision);
  void place(const decide::Decision &NewDecision);
  void reserve(const decide::Decision &NewDecision);
  void throttle(const decide::Decision &NewDecision);
  void evict(const decide::Decision &NewDecision);
  void publishHold(const decide::Decision &NewDecision);

  /// The data of a job that placement needs.
  struct AdoptedJob {
    datacentre::JobSpec Spec_; ///< The payload is cleared.
    std::uint64_t Assignment_ = 0;
  };

  void upsert(const datacentre::RegisterServer &Info);
  void upsertFromState(const BackendServerId &Server);
  ServerReachability getReachability(const BackendServerId &Server) const;
  std::optional<decide::TaskInfo> makeTask(const Change &AppliedChange) const;

  const datacentre::DataCentreStateMachine &Machine_;
  CommandProposer &Proposer_;
  datacentre::AttemptTracker &Attempts_;
  DecisionStream &Stream_;
  const Clock &Time_;
  const PlanningCounters Counters_;
  const PlacementFilter JobMayRun_;
  decide::Planner Planner_;
  std::shared_ptr<const fleet::Bundle> Bundle_;
  std::unordered_map<JobId, AdoptedJob> Jobs_;
  std::unordered_map<BackendServerId, BootId> Boots_;
  std::unordered_map<BackendServerId, ServerReachability> Unreachable_;
  std::unordered_set<TaskId> Waiting_;
  bool RunNeeded_ = true;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_PLANNINGSERVICE_H
