//===- UsageGuard.h - Reservations that follow measured usage --*- C++ -*-===//
//
// Learns sizes from late usage and adjusts reservations to them. A task that
// uses more than is reserved for it gets a larger reservation while there is
// room. Where there is none and the server as a whole is measured full, the
// offender is throttled, and evicted if newer samples still show the excess;
// its neighbours are left alone. An excess on a server that is not full hurts
// nobody and is left.
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

  void noteUsage(const UsageSample &Sample);
  /// Appends at most Budget decisions.
  void act(TimePoint Now, std::size_t Budget, std::vector<Decision> &Decisions);

private:
  Resources wantedFor(const RunningTask &Task) const;
  bool isWorthResizing(const RunningTask &Task, const Resources &Wanted) const;
  void queue(RunningTask &Task);
  std::optional<Decision> judge(RunningTask &Task, TimePoint Now);
  std::optional<Decision> resize(RunningTask &Task, TimePoint Now);
  std::optional<Decision> punish(RunningTask &Task, TimePoint Now);

  PlannerState &State_;
  std::deque<TaskId> ToCheck_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_USAGEGUARD_H
