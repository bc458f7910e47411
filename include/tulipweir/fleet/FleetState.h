//===- FleetState.h - The fleet's replicated state -------------*- C++ -*-===//
//
// Bundles and batch jobs of all data centres. The state is deterministic and
// uses no clock, lock or socket. FleetCodec.h defines its encoding.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_FLEET_FLEETSTATE_H
#define TULIPWEIR_FLEET_FLEETSTATE_H

#include "tulipweir/fleet/BundleRegistry.h"
#include "tulipweir/fleet/Commands.h"
#include "tulipweir/fleet/JobRegistry.h"

#include <utility>

namespace tulipweir::fleet {

/// Not thread-safe.
class FleetState {
public:
  FleetState() = default;
  /// Restores the state from the parts of a snapshot.
  FleetState(BundleRegistry Bundles, JobRegistry Jobs)
      : Bundles_(std::move(Bundles)), Jobs_(std::move(Jobs)) {}

  /// Applies one command. A refused command changes nothing.
  CommandResult apply(const Command &Request);

  const BundleRegistry &bundles() const { return Bundles_; }
  const JobRegistry &jobs() const { return Jobs_; }
  bool operator==(const FleetState &) const = default;

private:
  BundleRegistry Bundles_;
  JobRegistry Jobs_;
};

} // namespace tulipweir::fleet

#endif // TULIPWEIR_FLEET_FLEETSTATE_H
