//===- DataCentreLeadership.h - One term of a leader -----------*- C++ -*-===//
//
// Holds what the leader of a data centre knows beyond the log, and runs its
// work on leases, slots, placements and jobs. It is rebuilt from the state
// after each election and discarded when leadership is lost, so that nothing
// of an earlier term remains.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_DATACENTRELEADERSHIP_H
#define TULIPWEIR_SRC_CONTROL_DATACENTRELEADERSHIP_H

#include "control/AnnouncementCache.h"
#include "control/BundleStore.h"
#include "control/ChangeFeed.h"
#include "control/JobReconciler.h"
#include "control/PlanningService.h"
#include "control/RollOutTracker.h"
#include "tulipweir/datacentre/ServerTracker.h"
#include "tulipweir/datacentre/SlotAllocator.h"

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace tulipweir::control {

/// Settings that must be equal at all control processes of a data centre.
struct LeadershipSettings {
  DataCentreId DataCentre_;
  datacentre::ServerTrackerSettings TrackerSettings_;
  datacentre::SlotSettings Slots_;
  std::size_t PlanBudget_ = 128; ///< Maximum decisions per run.
  std::size_t JobBudget_ = 64;   ///< Maximum jobs reviewed per run.
};

struct LeadershipCounters {
  net::Counter &Announcements_;
  net::Counter &StaleAnnouncements_;
  net::Counter &EntryReports_;
  net::Counter &Renewals_;
  net::Counter &RenewalsWithheld_;
  net::Counter &CommandsSent_;
  net::Counter &AttemptsEnded_;
  PlanningCounters Planning_;
  static LeadershipCounters makeFor(net::Metrics &Registry);
};

/// The dependencies of a leadership; all must outlive it.
struct LeadershipParts {
  replication::Replica &Group_;
  const datacentre::DataCentreStateMachine &Machine_;
  const fleet::FleetStateMachine &Fleet_;
  const BundleStore &Bundles_;
  const fleet::AssignmentLease &Lease_;
  FleetProposer &FleetProposals_;
  DecisionStream &Stream_;
  RollOutTracker &RollOuts_;
  Executor &Strand_;
  const Clock &Time_;
  LeadershipCounters Counters_;
};

/// The latest report about one service on one backend server.
struct ServiceStatus {
  BackendServerId Server_;
  wire::ServiceReport Report_;
  TimePoint At_{};
};

/// Lives on the leader's strand.
class DataCentreLeadership {
public:
  /// All entries committed before Term must be applied to the machine, and the
  /// feed of later changes must be open.
  DataCentreLeadership(const LeadershipParts &Parts,
                       const LeadershipSettings &Settings, std::uint64_t Term);

  // Commands.

  /// Handles the changes of the command at Index. Ignores changes that were
  /// already part of the state which the constructor read.
  void onChanges(std::uint64_t Index,
                 const std::vector<datacentre::Change> &Changes);
  /// Called after the fleet log changed the bundle or a job.
  void onBundleChanged();
  void onJobChanged(const JobId &Job) { Jobs_.enqueue(Job); }

  Outcome<wire::AnnouncementReply> onAnnouncement(const wire::Announcement &);
  /// Checks and handles each announcement of the batch like onAnnouncement.
  Outcome<wire::AnnouncementBatchReply>
  onAnnouncementBatch(const wire::AnnouncementBatch &Batch);
  Outcome<wire::EntryReportReply> onEntryReport(const wire::EntryReport &);

  /// Handles timeouts of servers, entries and jobs, and runs the planner.
  void tick();
  /// Runs the planner after events. Returns true if more decisions may be due
  /// at once. Does nothing while another leader could exist.
  bool plan();
  bool isPlanDue() const { return Planning_.isDue(); }

  // Queries.

  const PlanningService &planning() const { return Planning_; }
  const datacentre::ServerTracker &servers() const { return Servers_; }
  const datacentre::SlotAllocator &slots() const { return Slots_; }
  const AnnouncementCache &getAnnouncementCache() const {
    return AnnouncementCache_;
  }
  const JobReconciler &jobs() const { return Jobs_; }
  std::size_t countOpenProposals() const { return Proposer_.countOpen(); }
  std::uint64_t term() const { return Term_; }
  std::vector<ServiceStatus> listServices() const;
  fleet::DataCentreLoad measureLoad() const;

private:
  using State = datacentre::DataCentreState;

  /// The last known status of a server in the routes.
  struct RouteStatus {
    bool Routable_ = false;
    bool Draining_ = false;
    ServerReachability Reachability_ = ServerReachability::Reachable;
    bool operator==(const RouteStatus &) const = default;
  };

  /// Leads_ is set only if the replica's term is the one that this leadership
  /// began under: the replica may have lost that term and won a later one
  /// between two polls.
  datacentre::LeadershipCheck checkLeadership() const;
  void proposeAll(const std::vector<datacentre::Command> &Proposals);
  void removeUncoveredLeases(wire::AnnouncementReply &Reply);
  bool isCoveredUntil(const JobId &Job, TimePoint Until);
  void recordReports(const wire::Announcement &Announced, TimePoint Now);
  void updateRoute(const datacentre::ServerRecord &Record, TimePoint Now,
                   bool Changed);
  void updateRoutes(TimePoint Now);
  ServerReachability getReachability(const BackendServerId &Server,
                                     TimePoint Now) const;
  void endExpiredEntries(TimePoint Now);
  void attachBundle(const wire::EntryReport &Report,
                    wire::EntryReportReply &Reply) const;

  const LeadershipParts Parts_;
  const LeadershipSettings Settings_;
  const std::uint64_t Term_;
  std::uint64_t InitialIndex_ = 0;
  CommandProposer Proposer_;
  datacentre::ServerTracker Servers_;
  AnnouncementCache AnnouncementCache_;
  datacentre::SlotAllocator Slots_;
  JobReconciler Jobs_;
  PlanningService Planning_;
  std::map<BackendServerId, RouteStatus> Routes_;
  std::map<std::pair<ServiceId, BackendServerId>, ServiceStatus> Services_;
  /// The times until which the jobs' assignments are known to cover leases.
  std::unordered_map<JobId, TimePoint> CoverageCache_;
  std::uint64_t Ticks_ = 0;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_DATACENTRELEADERSHIP_H
