//===- Explainer.cpp - Why a task stands where it stands ----------------===//

#include "decide/Explainer.h"

#include "decide/PlacementRound.h"
#include "decide/Text.h"

using namespace tulipweir;
using namespace tulipweir::decide;

static std::string describeHelp(ReasonCode Reason, const TaskInfo &Task,
                                const Resources &Needed) {
  switch (Reason) {
  case ReasonCode::QuotaReached:
    return "tasks of team " + Task.Team_.value() +
           " that end, or a larger quota in the bundle";
  case ReasonCode::NeverFits:
    return "a server that gives " + describe(Needed) +
           ", or a smaller declared size";
  case ReasonCode::AllQuarantined:
    return "the end of a quarantine, or another healthy server";
  case ReasonCode::TailAtRisk:
    return "less load on the services, other batch tasks that end, or a "
           "higher tail target in the bundle";
  case ReasonCode::BackingOff:
    return "another server with room, or the end of the time in which it "
           "avoids the ones where it failed or was evicted";
  default:
    return "other tasks that end, a further server, or a higher priority";
  }
}

static void explainRunning(const RunningTask &Running,
                           const PlannerState &State, Explanation &Value) {
  Value.Running_ = true;
  Value.Server_ = State.Servers_.at(Running.Server_).Info_.Server_;
  Value.Declared_ = Running.Info_.Declared_;
  Value.Reservation_ = Running.Reservation_;
  if (Running.ThrottlePercent_ == 100)
    return;
  Value.WhatWouldHelp_ =
      "it runs at " + std::to_string(Running.ThrottlePercent_) +
      "%; it gets full speed once the services on the server keep under " +
      describe(100 * State.Policy_.GuardReleasePart_) +
      "% of their tail targets and the prediction allows it";
}

static void explainQueued(const PlannerState &State, const WaitingTask &Waits,
                          const Resources &Needed, TimePoint Now,
                          Explanation &Value) {
  const auto Parked = State.Queue_.parkedState(Value.Task_);
  if (!Parked) {
    Value.WhatWouldHelp_ = "nothing is in its way; it is tried in its turn, "
                           "after more urgent and longer waiting tasks";
    return;
  }
  const Duration Left =
      std::max(Duration::zero(), Duration(Parked->RetryAt_ - Now));
  Value.WhatWouldHelp_ =
      "it waits because " +
      describeObstacle(State, Waits.Info_, Needed, Parked->Reason_) +
      ". What would let it run: " +
      describeHelp(Parked->Reason_, Waits.Info_, Needed) +
      ". It is tried again in " + describe(Left) + " or when that changes";
}

std::optional<Explanation> decide::explainTask(const PlannerState &State,
                                               const Placer &Placement,
                                               const TaskId &Task,
                                               TimePoint Now) {
  Explanation Value;
  Value.Task_ = Task;
  if (const Decision *Last = State.Decisions_.find(Task))
    Value.Last_ = *Last;
  if (const RunningTask *Running = State.findRunning(Task)) {
    explainRunning(*Running, State, Value);
    return Value;
  }
  if (const Proposal *Proposed = State.findProposal(Task)) {
    Value.Declared_ = Proposed->Task_.Info_.Declared_;
    Value.Reservation_ = Proposed->Reservation_;
    Value.Server_ = State.Servers_.at(Proposed->Server_).Info_.Server_;
    Value.WhatWouldHelp_ =
        Proposed->IsClaim_
            ? "room for it is being cleared on " + Value.Server_->value() +
                  "; it starts when tasks there have stopped"
            : "its placement was decided and is being committed";
    return Value;
  }
  if (const auto RetryAt = State.retryTimeOf(Task)) {
    const TaskMemory *Known = State.findMemory(Task);
    Value.WhatWouldHelp_ = "it failed " + std::to_string(Known->Failures_) +
                           " times and is tried again in " +
                           describe(Duration(*RetryAt - Now));
    return Value;
  }
  const WaitingTask *Waits = State.Queue_.find(Task);
  if (!Waits)
    return std::nullopt;
  Value.Declared_ = Waits->Info_.Declared_;
  Value.Reservation_ = Placement.reserveFor(Waits->Info_);
  explainQueued(State, *Waits, Value.Reservation_, Now, Value);
  return Value;
}
