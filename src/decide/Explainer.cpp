//===- Explainer.cpp - Explains the state of a task ----------------------===//

#include "decide/Explainer.h"

#include "decide/PlacementRound.h"
#include "decide/Text.h"

using namespace tulipweir;
using namespace tulipweir::decide;

static std::string describeRemedy(ReasonCode Reason, const TaskInfo &Task,
                                  const Resources &Needed) {
  switch (Reason) {
  case ReasonCode::QuotaReached:
    return "the end of tasks of team " + Task.Team_.value() +
           ", or a larger quota in the bundle";
  case ReasonCode::NeverFits:
    return "a server with " + describe(Needed) + ", or a smaller declared size";
  case ReasonCode::AllQuarantined:
    return "the end of a quarantine, or another healthy server";
  case ReasonCode::TailAtRisk:
    return "less load on the services, the end of other batch tasks, or a "
           "higher p99 target in the bundle";
  case ReasonCode::BackingOff:
    return "another server with room, or the end of the time in which it "
           "avoids the servers where it failed or was evicted";
  default:
    return "the end of other tasks, another server, or a higher priority";
  }
}

static void explainRunningTask(const RunningTask &Running,
                               const PlannerState &State, Explanation &Result) {
  Result.Running_ = true;
  Result.Server_ = State.Servers_.at(Running.Server_).Info_.Server_;
  Result.Declared_ = Running.Info_.Declared_;
  Result.Reservation_ = Running.Reservation_;
  if (Running.ThrottlePercent_ == 100)
    return;
  Result.WhatWouldHelp_ = "it runs at " +
                          std::to_string(Running.ThrottlePercent_) +
                          "%; it returns to full speed once the services on "
                          "the server stay below " +
                          describe(100 * State.Policy_.GuardReleasePart_) +
                          "% of their p99 targets and the prediction allows it";
}

static void explainQueuedTask(const PlannerState &State,
                              const WaitingTask &Waiting,
                              const Resources &Needed, TimePoint Now,
                              Explanation &Result) {
  const auto Parked = State.Queue_.findParkedState(Result.Task_);
  if (!Parked) {
    Result.WhatWouldHelp_ = "nothing blocks it; it is tried in queue order, "
                            "after more urgent and longer waiting tasks";
    return;
  }
  const Duration Remaining =
      std::max(Duration::zero(), Duration(Parked->RetryAt_ - Now));
  Result.WhatWouldHelp_ =
      "it waits because " +
      describeObstacle(State, Waiting.Info_, Needed, Parked->Reason_) +
      ". What would let it run: " +
      describeRemedy(Parked->Reason_, Waiting.Info_, Needed) +
      ". It is retried in " + describe(Remaining) + " or when that changes";
}

std::optional<Explanation> decide::explainTask(const PlannerState &State,
                                               const Placer &Placement,
                                               const TaskId &Task,
                                               TimePoint Now) {
  Explanation Result;
  Result.Task_ = Task;
  if (const Decision *Last = State.Decisions_.find(Task))
    Result.Last_ = *Last;
  if (const RunningTask *Running = State.findRunning(Task)) {
    explainRunningTask(*Running, State, Result);
    return Result;
  }
  if (const Proposal *Proposed = State.findProposal(Task)) {
    Result.Declared_ = Proposed->Task_.Info_.Declared_;
    Result.Reservation_ = Proposed->Reservation_;
    Result.Server_ = State.Servers_.at(Proposed->Server_).Info_.Server_;
    Result.WhatWouldHelp_ =
        Proposed->IsClaim_
            ? "room for it is being cleared on " + Result.Server_->value() +
                  "; it starts when tasks there have stopped"
            : "its placement is being committed";
    return Result;
  }
  if (const auto RetryAt = State.findRetryTime(Task)) {
    const TaskRecord *Record = State.findRecord(Task);
    Result.WhatWouldHelp_ = "it failed " + std::to_string(Record->Failures_) +
                            " times and is tried again in " +
                            describe(Duration(*RetryAt - Now));
    return Result;
  }
  const WaitingTask *Waiting = State.Queue_.find(Task);
  if (!Waiting)
    return std::nullopt;
  Result.Declared_ = Waiting->Info_.Declared_;
  Result.Reservation_ = Placement.computeReservation(Waiting->Info_);
  explainQueuedTask(State, *Waiting, Result.Reservation_, Now, Result);
  return Result;
}
