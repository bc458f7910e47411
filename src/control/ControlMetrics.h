//===- ControlMetrics.h - Metrics of a control process ---------*- C++ -*-===//
//
// Adds gauges over the components that keep their own counters.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_CONTROLMETRICS_H
#define TULIPWEIR_SRC_CONTROL_CONTROLMETRICS_H

#include "control/BundleStore.h"
#include "control/ReplicationTransport.h"
#include "tulipweir/fleet/FleetStateMachine.h"
#include "tulipweir/net/Link.h"
#include "tulipweir/net/Metrics.h"
#include "tulipweir/replication/Replica.h"

#include <string>

namespace tulipweir::control {

/// All arguments must outlive the metrics.
void addGroupMetrics(net::Metrics &Registry, const std::string &Group,
                     const replication::Replica &Replica,
                     const ReplicationTransport &Out);
void addLinkMetrics(net::Metrics &Registry, const net::LinkServer &Server);
void addBundleMetrics(net::Metrics &Registry, const BundleStore &Store,
                      const fleet::FleetStateMachine &Fleet);

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_CONTROLMETRICS_H
