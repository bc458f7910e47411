//===- ServerRoutes.h - Servers and decisions ------------------*- C++ -*-===//
//
// The part of the operator API that shows the state and the decisions of the
// leader.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_SERVERROUTES_H
#define TULIPWEIR_SRC_CONTROL_SERVERROUTES_H

#include "control/DataCentreService.h"
#include "control/JsonFields.h"
#include "control/RouteTable.h"

namespace tulipweir::control {

/// Thread-safe.
class ServerRoutes final : public RouteSet {
public:
  /// MakeDump returns the process's own part of the dump.
  ServerRoutes(const BundleStore &Bundles,
               const datacentre::DataCentreStateMachine &Machine,
               DecisionStream &Stream, DataCentreService &LeaderService,
               const Clock &Time, std::function<Json()> MakeDump);

  RouteMatch handle(const wire::OperatorCall &Call,
                    OperatorDone &Done) override;

private:
  void listServers(const RoutedCall &Call, OperatorDone Done);
  void listServices(const RoutedCall &Call, OperatorDone Done);
  void readDecisions(const RoutedCall &Call, OperatorDone Done);
  void dump(const RoutedCall &Call, OperatorDone Done);

  Json makeServersJson(const DataCentreLeadership &Leader) const;
  Json makeServicesJson(const DataCentreLeadership &Leader) const;
  Json makeEntriesJson(const DataCentreLeadership &Leader) const;

  static const RouteEntry<ServerRoutes> Table[];

  const BundleStore &Bundles_;
  const datacentre::DataCentreStateMachine &Machine_;
  DecisionStream &Stream_;
  DataCentreService &DataCentreService_;
  const Clock &Time_;
  const std::function<Json()> MakeDump_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_SERVERROUTES_H
