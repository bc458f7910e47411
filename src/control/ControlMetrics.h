//===- ControlMetrics.h - What a control shows on /metrics -----*- C++ -*-===//
//
// Gauges over the parts that count for themselves.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_CONTROLMETRICS_H
#define TULIPWEIR_SRC_CONTROL_CONTROLMETRICS_H

#include "control/BundleKeeper.h"
#include "control/ReplicationTransport.h"
#include "tulipweir/fleet/FleetStateMachine.h"
#include "tulipweir/net/Link.h"
#include "tulipweir/net/Metrics.h"
#include "tulipweir/replication/Replica.h"

#include <string>

namespace tulipweir::control {

/// All arguments outlive the metrics.
void addGroupMetrics(net::Metrics &To, const std::string &Group,
                     const replication::Replica &Replica,
                     const ReplicationTransport &Out);
void addLinkMetrics(net::Metrics &To, const net::LinkServer &Server);
void addBundleMetrics(net::Metrics &To, const BundleKeeper &Keeper,
                      const fleet::FleetStateMachine &Fleet);

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_CONTROLMETRICS_H
