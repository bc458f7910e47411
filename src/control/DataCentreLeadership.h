//===- DataCentreLeadership.h - One term's duties --------------*- C++ -*-===//
//
// Everything that the leader of a data centre knows beyond the log, and what
// it does with it: leases, slots, placements, jobs. Made anew after each
// election from the state, thrown away when leadership is lost, so nothing of
// an earlier term is left over.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_DATACENTRELEADERSHIP_H
#define TULIPWEIR_SRC_CONTROL_DATACENTRELEADERSHIP_H

#include "control/AnnouncementDigests.h"
#include "control/BundleKeeper.h"
#include "control/ChangeFeed.h"
#include "control/JobReconciler.h"
#include "control/PlanningDuty.h"
#include "control/RollOutTracker.h"
#include "tulipweir/datacentre/ServerTracker.h"
#include "tulipweir/datacentre/SlotAllocator.h"

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace tulipweir::control {

/// Settings that every control of a data centre must share.
struct LeadershipSettings {
  DataCentreId DataCentre_;
  datacentre::ServerTrackerSettings Servers_;
  datacentre::SlotSettings Slots_;
  std::size_t PlanBudget_ = 128; ///< Decisions in one go.
  std::size_t JobBudget_ = 64;   ///< Jobs reviewed in one go.
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
  static LeadershipCounters makeFor(net::Metrics &From);
};

/// What a leadership works with; all outlive it.
struct LeadershipParts {
  replication::Replica &Group_;
  const datacentre::DataCentreStateMachine &Machine_;
  const fleet::FleetStateMachine &Fleet_;
  const BundleKeeper &Keeper_;
  const fleet::AssignmentLease &Lease_;
  FleetProposer &FleetProposals_;
  DecisionStream &Stream_;
  RollOutTracker &RollOuts_;
  Executor &Strand_;
  const Clock &Time_;
  LeadershipCounters Counters_;
};

/// The latest report about one service on one backend server.
struct ServiceView {
  BackendServerId Server_;
  wire::ServiceReport Report_;
  TimePoint At_{};
};

/// Lives on the leader's strand.
class DataCentreLeadership {
public:
  /// Everything committed before Term is applied to the machine by now, and
  /// the feed of what is applied afterwards is open already.
  DataCentreLeadership(const LeadershipParts &Parts,
                       const LeadershipSettings &Settings, std::uint64_t Term);

  // Commands.

  /// What the command at Index changed; those that the constructor saw in the
  /// state already are ignored.
  void noteChanges(std::uint64_t Index,
                   const std::vector<datacentre::Change> &Changes);
  /// The fleet's log changed: perhaps the bundle, perhaps this job.
  void noteBundle();
  void noteJob(const JobId &Job) { Jobs_.noteJob(Job); }

  Outcome<wire::AnnouncementReply> onAnnouncement(const wire::Announcement &);
  /// Each of the batch, checked and handled as by onAnnouncement.
  Outcome<wire::AnnouncementBatchReply>
  onAnnouncementBatch(const wire::AnnouncementBatch &Batch);
  Outcome<wire::EntryReportReply> onEntryReport(const wire::EntryReport &);

  /// Silent servers, gone entries, jobs, decisions that time alone calls for.
  void tick();
  /// Decisions that events called for; true if there may be more at once. None
  /// while another leader could exist.
  bool plan();
  bool isPlanDue() const { return Planning_.isDue(); }

  // Queries.

  const PlanningDuty &planning() const { return Planning_; }
  const datacentre::ServerTracker &servers() const { return Servers_; }
  const datacentre::SlotAllocator &slots() const { return Slots_; }
  const AnnouncementDigests &digests() const { return Digests_; }
  const JobReconciler &jobs() const { return Jobs_; }
  std::size_t countOpenProposals() const { return Proposer_.countOpen(); }
  std::uint64_t term() const { return Term_; }
  std::vector<ServiceView> listServices() const;
  fleet::DataCentreLoad measureLoad() const;

private:
  using State = datacentre::DataCentreState;

  /// How a server was last told to the slots.
  struct RouteNote {
    bool Routable_ = false;
    bool Draining_ = false;
    ServerReach Reach_ = ServerReach::Heard;
    bool operator==(const RouteNote &) const = default;
  };

  /// IsLeader_ only while the replica's term is the one that this began under:
  /// it may have lost that one and won a later one unnoticed.
  datacentre::LeadershipCheck readMoment() const;
  void submit(const std::vector<datacentre::Command> &Proposals);
  void withhold(wire::AnnouncementReply &Reply);
  bool mayRunOn(const JobId &Job, TimePoint Until);
  void learn(const wire::Announcement &Value, TimePoint Now);
  void refreshRoute(const datacentre::ServerRecord &Record, TimePoint Now,
                    bool Changed);
  void refreshRoutes(TimePoint Now);
  ServerReach findReach(const BackendServerId &Server, TimePoint Now) const;
  void endGoneEntries(TimePoint Now);
  void addBundle(const wire::EntryReport &Report,
                 wire::EntryReportReply &Reply) const;

  const LeadershipParts Parts_;
  const LeadershipSettings Settings_;
  const std::uint64_t Term_;
  std::uint64_t BuiltAtIndex_ = 0;
  CommandProposer Proposer_;
  datacentre::ServerTracker Servers_;
  AnnouncementDigests Digests_;
  datacentre::SlotAllocator Slots_;
  JobReconciler Jobs_;
  PlanningDuty Planning_;
  std::map<BackendServerId, RouteNote> Routes_;
  std::map<std::pair<ServiceId, BackendServerId>, ServiceView> Services_;
  /// Until when the jobs' assignments are known to cover leases.
  std::unordered_map<JobId, TimePoint> CoveredUntil_;
  std::uint64_t Ticks_ = 0;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_DATACENTRELEADERSHIP_H
