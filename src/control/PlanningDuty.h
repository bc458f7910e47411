//===- PlanningDuty.h - The planner fed and obeyed -------------*- C++ -*-===//
//
// Tells the planner what was committed and measured, in order, and turns its
// decisions into proposals and commands to backend servers.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_PLANNINGDUTY_H
#define TULIPWEIR_SRC_CONTROL_PLANNINGDUTY_H

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

/// Whether a backend server can take tasks, by its announcements.
enum class ServerReach : std::uint8_t {
  Heard,
  Silent, ///< Nothing is placed there; what runs there may run on.
  Gone,   ///< Silent for so long that its leases have run out.
};

struct PlanningCounters {
  net::Counter &Placements_;
  net::Counter &PlacementsRefused_;
  net::Counter &Evictions_;
  net::Counter &Throttles_;
  net::Counter &Holds_;
  static PlanningCounters makeFor(net::Metrics &From);
};

/// Lives on the leader's strand, as long as one leadership.
class PlanningDuty {
public:
  /// Whether a task of the job may be placed at all at the moment.
  using MayPlace = std::function<bool(const JobId &)>;

  PlanningDuty(const datacentre::DataCentreStateMachine &Machine,
               CommandProposer &Proposer, datacentre::AttemptTracker &Attempts,
               DecisionStream &Stream, const Clock &Time,
               PlanningCounters Counters, MayPlace JobMayRun,
               std::uint64_t Seed);

  // Commands.

  void setBundle(std::shared_ptr<const fleet::Bundle> InForce);
  /// Changes in the order of the log.
  void noteChanges(const std::vector<datacentre::Change> &Changes);
  void noteUsage(const BackendServerId &Server,
                 const wire::AttemptReport &Report, TimePoint Now);
  void noteService(const BackendServerId &Server,
                   const wire::ServiceReport &Report, TimePoint Now);
  void noteReach(const BackendServerId &Server, ServerReach Reach);
  /// Asks the planner and acts on at most Budget decisions; returns how many
  /// there were.
  std::size_t run(std::size_t Budget);

  // Queries.

  /// Whether something happened since the last run that may allow a decision.
  bool isDue() const { return Due_; }
  const decide::Planner &planner() const { return Planner_; }
  std::size_t countWaiting() const { return Waiting_.size(); }
  /// The assignment under which a job is held here; 0 if it is not.
  std::uint64_t findAssignment(const JobId &Job) const;

private:
  using Change = datacentre::Change;
  using Handler = void (PlanningDuty::*)(const Change &);
  static const Handler Handlers[];

  void ignore(const Change &Value);
  void onServerChanged(const Change &Value);
  void onServerForgotten(const Change &Value);
  void onJobAdopted(const Change &Value);
  void onJobReleasing(const Change &Value);
  void onJobDropped(const Change &Value);
  void onTaskWaiting(const Change &Value);
  void onTaskPlaced(const Change &Value);
  void onReservationChanged(const Change &Value);
  void onAttemptEnded(const Change &Value);
  void onTaskEnded(const Change &Value);

  using Action = void (PlanningDuty::*)(const decide::Decision &);
  static const Action Actions[];

  void show(const decide::Decision &Value);
  void place(const decide::Decision &Value);
  void reserve(const decide::Decision &Value);
  void throttle(const decide::Decision &Value);
  void evict(const decide::Decision &Value);
  void hold(const decide::Decision &Value);

  /// What placing needs of a job.
  struct HeldJob {
    datacentre::JobSpec Spec_; ///< Without its payload.
    std::uint64_t Assignment_ = 0;
  };

  void upsert(const datacentre::RegisterServer &Info);
  void upsertFromState(const BackendServerId &Server);
  ServerReach findReach(const BackendServerId &Server) const;
  std::optional<decide::TaskInfo> makeTask(const Change &Value) const;

  const datacentre::DataCentreStateMachine &Machine_;
  CommandProposer &Proposer_;
  datacentre::AttemptTracker &Attempts_;
  DecisionStream &Stream_;
  const Clock &Time_;
  const PlanningCounters Counters_;
  const MayPlace JobMayRun_;
  decide::Planner Planner_;
  std::shared_ptr<const fleet::Bundle> Bundle_;
  std::unordered_map<JobId, HeldJob> Held_;
  std::unordered_map<BackendServerId, BootId> Boots_;
  std::unordered_map<BackendServerId, ServerReach> Unheard_;
  std::unordered_set<TaskId> Waiting_;
  bool Due_ = true;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_PLANNINGDUTY_H
