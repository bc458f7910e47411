//===- AttemptDecision.cpp - Decisions about running attempts -----------===//

#include "decide/AttemptDecision.h"

#include "decide/Text.h"

using namespace tulipweir;
using namespace tulipweir::decide;

Decision decide::makeAttemptDecision(DecisionKind Kind, ReasonCode Reason,
                                     const ServerEntry &Server,
                                     const RunningTask &Task) {
  Decision Value;
  Value.Kind_ = Kind;
  Value.Reason_ = Reason;
  Value.Task_ = Task.Info_.Task_;
  Value.Attempt_ = Task.Attempt_;
  Value.Server_ = Server.Info_.Server_;
  Value.Reservation_ = Task.Reservation_;
  Value.ThrottlePercent_ = Task.ThrottlePercent_;
  return Value;
}

std::string decide::describeExcess(const ServiceId &Name,
                                   const ServiceState &Service,
                                   double TargetMicros) {
  return "the p99 of " + Name.value() + " is " +
         describeMicros(Service.P99Micros_) + ", over its target of " +
         describeMicros(TargetMicros) + " for " +
         std::to_string(Service.OverReports_) + " reports";
}
