//===- UsageGuard.h - Adjusts reservations to usage ------------*- C++ -*-===//
//
// Learns sizes from usage samples, which may arrive late, and adjusts
// reservations to them. A task that uses more than its reservation gets a
// larger one while there is room. If there is none and the measured usage of
// the whole server is at its limit, the task is throttled, and evicted if
// newer samples still show the excess; other tasks on the server are not
// affected. An excess on a server that is not full harms nobody and is
// ignored.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_USAGEGUARD_H
#define TULIPWEIR_SRC_DECIDE_USAGEGUARD_H

#include "decide/PlannerState.h"

#include <deque>

namespace tulipweir::decide {

class UsageGuard {
public:
  explicit UsageGuard(PlannerState &State) : State_(State) {}

  void addUsageSample(const UsageSample &Sample);
  /// Appends at most Budget decisions.
  void appendDecisions(TimePoint Now, std::size_t Budget,
                       std::vector<Decision> &Decisions);

private:
  Resources computeWantedReservation(const RunningTask &Task) const;
  bool isWorthResizing(const RunningTask &Task, const Resources &Wanted) const;
  void enqueueTask(RunningTask &Task);
  std::optional<Decision> decideTask(RunningTask &Task, TimePoint Now);
  std::optional<Decision> resize(RunningTask &Task, TimePoint Now);
  std::optional<Decision> limitTask(RunningTask &Task, TimePoint Now);

  PlannerState &State_;
  std::deque<TaskId> TasksToCheck_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_USAGEGUARD_H
