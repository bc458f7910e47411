//===- Leadership.h - Leadership checks and clock drift ---------*- C++ -*-===//
//
// What everything that a leader promises for a time has in common.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DATACENTRE_LEADERSHIP_H
#define TULIPWEIR_DATACENTRE_LEADERSHIP_H

#include "tulipweir/core/Time.h"

#include <cstdint>

namespace tulipweir::datacentre {

/// A reading of the clock, taken after the message at hand was received, and
/// whether at that reading no other leader could exist
/// (Replica::findLeaseTerm(Now_), of the term at hand). What is promised from
/// such a moment on was promised before the next election, however long the
/// process is frozen afterwards: the other side counts from before Now_, the
/// next leader from after it.
struct LeadershipCheck {
  TimePoint Now_;
  bool IsLeader_ = false;
};

/// Returns how long a promise of Length by another clock may last at most by
/// this one, the rates of both being off by at most DriftPpm millionths.
Duration stretchForDrift(Duration Length, std::uint32_t DriftPpm);

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_LEADERSHIP_H
