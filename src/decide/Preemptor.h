//===- Preemptor.h - Evictions that make room for urgent tasks --*- C++ -*-===//
//
// Finds the server on which the fewest and cheapest evictions of less urgent
// tasks make room for an urgent one. Each call considers a bounded number of
// servers and starts where the previous call ended, so that repeated calls
// cover all servers.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_PREEMPTOR_H
#define TULIPWEIR_SRC_DECIDE_PREEMPTOR_H

#include "decide/PlannerState.h"

namespace tulipweir::decide {

struct Preemption {
  ServerIndex Server_ = 0;
  std::vector<RunningTask *> Victims_; ///< Cheapest first; not empty.
  Duration WorkLost_{};
};

/// Returns the work that an eviction now would lose: the work reported in the
/// latest sample plus an estimate of the work done since.
Duration estimateWorkLost(const RunningTask &Task, TimePoint Now);

class Preemptor {
public:
  explicit Preemptor(PlannerState &State) : State_(State) {}

  /// Returns the cheapest preemption for a task of this size and priority among
  /// the servers considered, or nullopt.
  std::optional<Preemption> findCheapest(const Resources &Needed,
                                         std::uint32_t Priority, TimePoint Now);

private:
  std::optional<Preemption> tryServer(ServerIndex Server,
                                      const Resources &Needed,
                                      std::uint32_t Priority, TimePoint Now);

  PlannerState &State_;
  ServerIndex Cursor_ = 0;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_PREEMPTOR_H
