//===- AttemptDecision.cpp - Decisions about running attempts -----------===//

#include "decide/AttemptDecision.h"

#include "decide/Text.h"

using namespace tulipweir;
using namespace tulipweir::decide;

Decision decide::makeAttemptDecision(DecisionKind Kind, ReasonCode Reason,
                                     const ServerEntry &Server,
                                     const RunningTask &Task) {
  Decision Result;
  Result.Kind_ = Kind;
  Result.Reason_ = Reason;
  Result.Task_ = Task.Info_.Task_;
  Result.Attempt_ = Task.Attempt_;
  Result.Server_ = Server.Info_.Server_;
  Result.Reservation_ = Task.Reservation_;
  Result.ThrottlePercent_ = Task.ThrottlePercent_;
  return Result;
}

std::string decide::describeExcess(const ServiceId &Name,
                                   const ServiceState &Service,
                                   double TargetMicros) {
  return "the p99 of " + Name.value() + " is " +
         describeMicros(Service.P99Micros_) + ", over its target of " +
         describeMicros(TargetMicros) + " for " +
         std::to_string(Service.OverReports_) + " reports";
}
