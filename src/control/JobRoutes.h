//===- JobRoutes.h - Routes of batch jobs ----------------------*- C++ -*-===//
//
// The part of the operator API below /jobs.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_JOBROUTES_H
#define TULIPWEIR_SRC_CONTROL_JOBROUTES_H

#include "control/DataCentreService.h"
#include "control/FleetSurvey.h"
#include "control/RouteTable.h"

namespace tulipweir::control {

/// Thread-safe.
class JobRoutes final : public RouteSet {
public:
  JobRoutes(DataCentreId DataCentre, const fleet::FleetStateMachine &Fleet,
            const BundleStore &Bundles,
            const datacentre::DataCentreStateMachine &Machine,
            FleetProposer &Proposer, FleetSurvey &Survey,
            DataCentreService &LeaderService, const Clock &Time);

  RouteMatch handle(const wire::OperatorCall &Call,
                    OperatorDone &Done) override;

private:
  void submit(const RoutedCall &Call, OperatorDone Done);
  void list(const RoutedCall &Call, OperatorDone Done);
  void show(const RoutedCall &Call, OperatorDone Done);
  void cancel(const RoutedCall &Call, OperatorDone Done);
  void explain(const RoutedCall &Call, OperatorDone Done);

  using LocalHandler = void (JobRoutes::*)(const RoutedCall &,
                                           const fleet::NamedJob &,
                                           OperatorDone);
  /// Answers locally or forwards to the data centre that holds the job.
  void answerAtHolder(const RoutedCall &Call, OperatorDone Done,
                      LocalHandler Handler);
  void showHere(const RoutedCall &Call, const fleet::NamedJob &Job,
                OperatorDone Done);
  void explainHere(const RoutedCall &Call, const fleet::NamedJob &Job,
                   OperatorDone Done);
  std::vector<std::string> listWarnings(const datacentre::JobSpec &Spec) const;

  static const RouteEntry<JobRoutes> Table[];

  const DataCentreId DataCentre_;
  const fleet::FleetStateMachine &Fleet_;
  const BundleStore &Bundles_;
  const datacentre::DataCentreStateMachine &Machine_;
  FleetProposer &Proposer_;
  FleetSurvey &Survey_;
  DataCentreService &DataCentreService_;
  const Clock &Time_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_JOBROUTES_H
