//===- Preemptor.h - Room for urgent work ----------------------*- C++ -*-===//
//
// Looks for the server on which the fewest and cheapest evictions of less
// urgent tasks make room for an urgent one. Each call looks at a bounded
// number of servers, from where the last one ended, so that repeated calls see
// all of them.
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

/// Work that would be lost if the task was evicted now: what was reported at
/// its last sample and what it did since, as far as it can be known.
Duration estimateWorkLost(const RunningTask &Task, TimePoint Now);

class Preemptor {
public:
  explicit Preemptor(PlannerState &State) : State_(State) {}

  /// The cheapest preemption for a task of this size and priority among the
  /// servers looked at, or nullopt.
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
