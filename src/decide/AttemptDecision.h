//===- AttemptDecision.h - Decisions about running attempts ----*- C++ -*-===//
//
// The common part of the decisions by which guards, preemption and draining
// change a running attempt.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_ATTEMPTDECISION_H
#define TULIPWEIR_SRC_DECIDE_ATTEMPTDECISION_H

#include "decide/ServerTable.h"

namespace tulipweir::decide {

/// Returns a decision with the attempt's current values and without a text.
Decision makeAttemptDecision(DecisionKind Kind, ReasonCode Reason,
                             const ServerEntry &Server,
                             const RunningTask &Task);

/// Returns "the p99 of booking is 60.0 ms, over its target of .. for 3
/// reports".
std::string describeExcess(const ServiceId &Name, const ServiceState &Service,
                           double TargetMicros);

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_ATTEMPTDECISION_H
