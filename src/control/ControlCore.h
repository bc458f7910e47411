//===- ControlCore.h - A control between its logs and its links -*- C++ -*-===//
//
// The duties, the operators' API and the handlers of frames, built over two
// open replicas. Has no sockets of its own.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_CONTROLCORE_H
#define TULIPWEIR_SRC_CONTROL_CONTROLCORE_H

#include "control/BundleKeeper.h"
#include "control/BundleRoutes.h"
#include "control/ControlHandlers.h"
#include "control/JobRoutes.h"
#include "control/LearnerDuty.h"
#include "control/MemberRoutes.h"
#include "control/ServerRoutes.h"
#include "tulipweir/control/ControlSettings.h"

namespace tulipweir::control {

/// What the core is built over; all outlive it. The executors are one each for
/// the data centre's and the fleet's duties.
struct CoreParts {
  const Clock &Time_;
  Executor &DataCentreStrand_;
  Executor &FleetStrand_;
  PeerCaller &Peers_;
  ChangeFeed &Feed_;
  const datacentre::DataCentreStateMachine &DataCentreMachine_;
  const fleet::FleetStateMachine &FleetMachine_;
  replication::Replica &DataCentreGroup_;
  replication::Replica &FleetGroup_;
  net::Metrics &Metrics_;
  /// Where the bundle in force is kept; nullptr with memory only.
  BundleFile *BundleFile_ = nullptr;
};

/// Settings of the leader's duties, out of those of the process.
LeadershipSettings makeLeadershipSettings(const ControlSettings &Settings);

/// Thread-safe.
class ControlCore {
public:
  ControlCore(const ControlSettings &Settings, const CoreParts &Parts);

  // Commands.

  void start();
  /// Calls Stopped once the duties are given up.
  void stop(std::function<void()> Stopped);
  void handle(wire::MessageKind Kind, std::string Body, net::LinkReply Reply) {
    Handlers_.handle(Kind, std::move(Body), std::move(Reply));
  }
  /// The fleet's log applied a command.
  void onFleetApplied(const fleet::Command &Value,
                      const fleet::CommandResult &Result);
  /// The fleet's state was replaced by a snapshot's.
  void onFleetRestored();
  void onDataCentreRestored() { DataCentre_.noteRestored(); }

  // Queries.

  const BundleKeeper &keeper() const { return Keeper_; }
  std::uint64_t getInProgress() const { return Handlers_.getInProgress(); }
  bool isLeadingDataCentre() const { return DataCentre_.isLeading(); }
  /// Empty when ready, or why not.
  std::string findUnready() const;
  /// The state without the leader's part.
  Json makeDump() const;

private:
  void onBundleTaken(const fleet::AcceptedBundle &Value);
  Json makeBundleDump() const;
  ControlReport makeReport() const;

  const ControlSettings Settings_;
  const CoreParts Parts_;
  const fleet::AssignmentTimes Times_;
  fleet::AssignmentLease Lease_;
  RollOutTracker RollOuts_;
  BundleKeeper Keeper_;
  DecisionStream Stream_;
  FleetProposer Proposer_;
  DataCentreDuties DataCentre_;
  FleetDuties Fleet_;
  LearnerDuty DataCentreLearners_;
  LearnerDuty FleetLearners_;
  FleetSurvey Survey_;
  BundleRoutes Bundles_;
  JobRoutes Jobs_;
  ServerRoutes Servers_;
  MemberRoutes Members_;
  OperatorRouter Operators_;
  ControlHandlers Handlers_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_CONTROLCORE_H
