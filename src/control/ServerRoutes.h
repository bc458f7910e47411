//===- ServerRoutes.h - Servers, services, decisions, dump -----*- C++ -*-===//
//
// The parts of the operators' API that show what the leader sees and decides.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_SERVERROUTES_H
#define TULIPWEIR_SRC_CONTROL_SERVERROUTES_H

#include "control/DataCentreDuties.h"
#include "control/JsonFields.h"
#include "control/RouteTable.h"

namespace tulipweir::control {

/// Thread-safe.
class ServerRoutes final : public RouteSet {
public:
  /// MakeDump gives what the process itself adds to the dump.
  ServerRoutes(const BundleKeeper &Keeper,
               const datacentre::DataCentreStateMachine &Machine,
               DecisionStream &Stream, DataCentreDuties &Duties,
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

  const BundleKeeper &Keeper_;
  const datacentre::DataCentreStateMachine &Machine_;
  DecisionStream &Stream_;
  DataCentreDuties &Duties_;
  const Clock &Time_;
  const std::function<Json()> MakeDump_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_SERVERROUTES_H
