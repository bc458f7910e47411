//===- FleetService.h - The fleet's work -----------------------*- C++ -*-===//
//
// Every control process reports to the fleet's leader, which renews the
// assignments of its data centre's jobs. The fleet's leader answers these
// reports and assigns jobs.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_FLEETSERVICE_H
#define TULIPWEIR_SRC_CONTROL_FLEETSERVICE_H

#include "control/PeerCaller.h"
#include "replication/LeaderWatch.h"
#include "tulipweir/fleet/AssignmentLease.h"
#include "tulipweir/fleet/FleetStateMachine.h"
#include "tulipweir/fleet/JobAssigner.h"
#include "tulipweir/net/Metrics.h"

#include <atomic>
#include <functional>
#include <optional>
#include <vector>

namespace tulipweir::control {

struct FleetCounters {
  net::Counter &Reports_;
  net::Counter &ReportsFailed_;
  net::Counter &Proposals_;
  static FleetCounters makeFor(net::Metrics &Registry);
};

/// The dependencies of the service; all must outlive it.
struct FleetParts {
  replication::Replica &Group_;
  const fleet::FleetStateMachine &Machine_;
  fleet::AssignmentLease &Lease_;
  PeerCaller &Peers_;
  Executor &Strand_;
  const Clock &Time_;
  FleetCounters Counters_;
};

/// Thread-safe: everything is posted to the strand.
class FleetService {
public:
  /// Returns the load of this data centre if this process leads it.
  using FindLoad = std::function<std::optional<fleet::DataCentreLoad>()>;
  using Done = std::function<void(Outcome<fleet::AssignmentReply>)>;
  /// Called for each job whose assignment was renewed.
  using RenewedCallback = std::function<void(const JobId &)>;

  FleetService(const FleetParts &Parts, DataCentreId DataCentre,
               const fleet::AssignmentTimes &Times, FindLoad Load,
               RenewedCallback OnRenewed);

  void start();
  void stop(std::function<void()> Stopped);
  /// Called after the fleet log changed the set of jobs or their assignments.
  void onJobsChanged();
  /// Answers the report of another control process, or replies NotLeader.
  void onReport(fleet::AssignmentReport Report, Done Reply);
  bool isLeading() const { return Leading_; }

private:
  void tick();
  void update();
  void proposeAssignments();
  void report();
  bool holdsLeaseAt(TimePoint Now) const;
  void refreshAssignments();
  void handleReply(const Outcome<fleet::AssignmentReply> &Reply,
                   TimePoint SentAt);
  Outcome<fleet::AssignmentReply> answer(const fleet::AssignmentReport &Report);

  const FleetParts Parts_;
  const DataCentreId DataCentre_;
  const FindLoad FindLoad_;
  const RenewedCallback OnRenewed_;
  replication::LeaderWatch Watch_;
  fleet::JobAssigner Assigner_;
  std::vector<fleet::HeldAssignment> Assignments_;
  std::atomic<bool> JobsChanged_{true};
  std::atomic<bool> Leading_{false};
  std::uint64_t Term_ = 0; ///< The term under which Assigner_ leads.
  bool ReportInFlight_ = false;
  bool ReportQueued_ = false; ///< Something changed after the report was sent.
  bool Stopped_ = false;
  std::uint64_t Ticks_ = 0;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_FLEETSERVICE_H
