//===- Leadership.h - Leadership checks and clock drift ---------*- C++ -*-===//
//
// Shared by the leader's time-limited grants: task leases and slot grants.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DATACENTRE_LEADERSHIP_H
#define TULIPWEIR_DATACENTRE_LEADERSHIP_H

#include "tulipweir/core/Time.h"

#include <cstdint>

namespace tulipweir::datacentre {

/// A clock reading taken after the current message was received, and whether no
/// other leader could exist at that time (Replica::findLeaseTerm(Now_) returned
/// the current term). A grant that starts at Now_ was made before the next
/// election, even if the process is frozen afterwards: the grantee counts from
/// before Now_ and the next leader from after it.
struct LeadershipCheck {
  TimePoint Now_;
  bool IsLeader_ = false;
};

/// Returns the longest time on this clock that a grant of Length can last on
/// another clock, if the rate of each clock is off by at most DriftPpm
/// millionths.
Duration stretchForDrift(Duration Length, std::uint32_t DriftPpm);

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_LEADERSHIP_H
