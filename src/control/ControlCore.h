//===- ControlCore.h - A control process without its sockets ---*- C++ -*-===//
//
// Combines the leader services, the operator API and the message handlers over
// two open replicas.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_CONTROLCORE_H
#define TULIPWEIR_SRC_CONTROL_CONTROLCORE_H

#include "control/BundleRoutes.h"
#include "control/BundleStore.h"
#include "control/ControlHandlers.h"
#include "control/JobRoutes.h"
#include "control/LearnerAdmission.h"
#include "control/MemberRoutes.h"
#include "control/ServerRoutes.h"
#include "tulipweir/control/ControlSettings.h"

namespace tulipweir::control {

/// The dependencies of the core; all must outlive it. There is one executor for
/// the data centre's work and one for the fleet's.
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
  /// Stores the bundle in force; nullptr if nothing is kept on disk.
  BundleFile *BundleFile_ = nullptr;
};

/// Derives the settings of a leadership from those of the process.
LeadershipSettings makeLeadershipSettings(const ControlSettings &Settings);

/// Thread-safe.
class ControlCore {
public:
  ControlCore(const ControlSettings &Settings, const CoreParts &Parts);

  // Commands.

  void start();
  /// Calls Stopped after all leader's work has ended.
  void stop(std::function<void()> Stopped);
  void handle(wire::MessageKind Kind, std::string Body, net::LinkReply Reply) {
    Handlers_.handle(Kind, std::move(Body), std::move(Reply));
  }
  /// Called after the fleet log applied a command.
  void onFleetApplied(const fleet::Command &Cmd,
                      const fleet::CommandResult &Result);
  /// Called after a snapshot replaced the fleet's state.
  void onFleetRestored();
  void onDataCentreRestored() { DataCentreService_.onStateRestored(); }

  // Queries.

  const BundleStore &getBundleStore() const { return BundleStore_; }
  std::uint64_t getInProgress() const { return Handlers_.getInProgress(); }
  bool isLeadingDataCentre() const { return DataCentreService_.isLeading(); }
  /// Returns an empty text if the process is ready; otherwise the reason why it
  /// is not.
  std::string getUnreadyReason() const;
  /// Returns the state without the parts that only a leader has.
  Json makeDump() const;

private:
  void onBundleAccepted(const fleet::AcceptedBundle &Bundle);
  Json makeBundleDump() const;
  ControlReport makeReport() const;

  const ControlSettings Settings_;
  const CoreParts Parts_;
  const fleet::AssignmentTimes Times_;
  fleet::AssignmentLease Lease_;
  RollOutTracker RollOuts_;
  BundleStore BundleStore_;
  DecisionStream Stream_;
  FleetProposer Proposer_;
  DataCentreService DataCentreService_;
  FleetService FleetService_;
  LearnerAdmission DataCentreLearners_;
  LearnerAdmission FleetLearners_;
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
