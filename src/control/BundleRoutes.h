//===- BundleRoutes.h - Routes of bundles ----------------------*- C++ -*-===//
//
// The part of the operator API below /bundles.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_BUNDLEROUTES_H
#define TULIPWEIR_SRC_CONTROL_BUNDLEROUTES_H

#include "control/BundleStore.h"
#include "control/FleetProposer.h"
#include "control/FleetSurvey.h"
#include "control/RouteTable.h"
#include "tulipweir/fleet/FleetStateMachine.h"

namespace tulipweir::control {

/// Thread-safe.
class BundleRoutes final : public RouteSet {
public:
  BundleRoutes(const fleet::FleetStateMachine &Fleet, BundleStore &Store,
               FleetProposer &Proposer, FleetSurvey &Survey, const Clock &Time);

  RouteMatch handle(const wire::OperatorCall &Call,
                    OperatorDone &Done) override;

private:
  void check(const RoutedCall &Call, OperatorDone Done);
  void propose(const RoutedCall &Call, OperatorDone Done);
  void sign(const RoutedCall &Call, OperatorDone Done);
  void listHistory(const RoutedCall &Call, OperatorDone Done);
  void showCurrent(const RoutedCall &Call, OperatorDone Done);
  void showVersion(const RoutedCall &Call, OperatorDone Done);
  void showStatus(const RoutedCall &Call, OperatorDone Done);
  void showReport(const RoutedCall &Call, OperatorDone Done);
  void showLimits(const RoutedCall &Call, OperatorDone Done);
  void send(const fleet::Command &Command, OperatorDone Done);

  static const RouteEntry<BundleRoutes> Table[];

  const fleet::FleetStateMachine &Fleet_;
  BundleStore &Store_;
  FleetProposer &Proposer_;
  FleetSurvey &Survey_;
  const Clock &Time_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_BUNDLEROUTES_H
