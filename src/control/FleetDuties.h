//===- FleetDuties.h - The fleet's side of a control -----------*- C++ -*-===//
//
// Every control reports to the fleet's leader and so renews the assignments of
// its data centre's jobs. The fleet's leader answers those reports and assigns
// jobs.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_FLEETDUTIES_H
#define TULIPWEIR_SRC_CONTROL_FLEETDUTIES_H

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
  static FleetCounters makeFor(net::Metrics &From);
};

/// What the duties work with; all outlive them.
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
class FleetDuties {
public:
  /// The load of our data centre, if this control leads it.
  using FindLoad = std::function<std::optional<fleet::DataCentreLoad>()>;
  using Done = std::function<void(Outcome<fleet::AssignmentReply>)>;
  /// Told of each job whose assignment was renewed.
  using Renewed = std::function<void(const JobId &)>;

  FleetDuties(const FleetParts &Parts, DataCentreId DataCentre,
              const fleet::AssignmentTimes &Times, FindLoad Load,
              Renewed OnRenewed);

  void start();
  void stop(std::function<void()> Stopped);
  /// The fleet's log changed which jobs there are, or who holds them.
  void noteJobs();
  /// Answers another control's report, or NotLeader.
  void onReport(fleet::AssignmentReport Report, Done Reply);
  bool isLeading() const { return Leading_; }

private:
  void tick();
  void look();
  void decide();
  void report();
  bool leadsAt(TimePoint Now) const;
  void refreshStanding();
  void takeReply(const Outcome<fleet::AssignmentReply> &Reply,
                 TimePoint SentAt);
  Outcome<fleet::AssignmentReply> answer(const fleet::AssignmentReport &Report);

  const FleetParts Parts_;
  const DataCentreId DataCentre_;
  const FindLoad Load_;
  const Renewed OnRenewed_;
  replication::LeaderWatch Watch_;
  fleet::JobAssigner Assigner_;
  std::vector<fleet::HeldAssignment> Standing_;
  std::atomic<bool> JobsChanged_{true};
  std::atomic<bool> Leading_{false};
  std::uint64_t Term_ = 0;   ///< The one that Assigner_ leads under.
  bool Reporting_ = false;   ///< A report is on its way.
  bool ReportAgain_ = false; ///< Something changed since it left.
  bool Stopped_ = false;
  std::uint64_t Ticks_ = 0;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_FLEETDUTIES_H
