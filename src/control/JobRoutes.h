//===- JobRoutes.h - Batch jobs: submit, show, cancel, explain -*- C++ -*-===//
//
// The part of the operators' API below /jobs.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_JOBROUTES_H
#define TULIPWEIR_SRC_CONTROL_JOBROUTES_H

#include "control/DataCentreDuties.h"
#include "control/FleetSurvey.h"
#include "control/RouteTable.h"

namespace tulipweir::control {

/// Thread-safe.
class JobRoutes final : public RouteSet {
public:
  JobRoutes(DataCentreId DataCentre, const fleet::FleetStateMachine &Fleet,
            const BundleKeeper &Keeper,
            const datacentre::DataCentreStateMachine &Machine,
            FleetProposer &Proposer, FleetSurvey &Survey,
            DataCentreDuties &Duties, const Clock &Time);

  RouteMatch handle(const wire::OperatorCall &Call,
                    OperatorDone &Done) override;

private:
  void submit(const RoutedCall &Call, OperatorDone Done);
  void list(const RoutedCall &Call, OperatorDone Done);
  void show(const RoutedCall &Call, OperatorDone Done);
  void cancel(const RoutedCall &Call, OperatorDone Done);
  void explain(const RoutedCall &Call, OperatorDone Done);

  using Local = void (JobRoutes::*)(const RoutedCall &, const fleet::NamedJob &,
                                    OperatorDone);
  /// Answers here or at the data centre that holds the job.
  void answerWhereHeld(const RoutedCall &Call, OperatorDone Done, Local Here);
  void showHere(const RoutedCall &Call, const fleet::NamedJob &Job,
                OperatorDone Done);
  void explainHere(const RoutedCall &Call, const fleet::NamedJob &Job,
                   OperatorDone Done);
  std::vector<std::string> listWarnings(const datacentre::JobSpec &Spec) const;

  static const RouteEntry<JobRoutes> Table[];

  const DataCentreId DataCentre_;
  const fleet::FleetStateMachine &Fleet_;
  const BundleKeeper &Keeper_;
  const datacentre::DataCentreStateMachine &Machine_;
  FleetProposer &Proposer_;
  FleetSurvey &Survey_;
  DataCentreDuties &Duties_;
  const Clock &Time_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_JOBROUTES_H
