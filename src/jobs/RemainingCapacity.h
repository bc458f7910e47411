//===- RemainingCapacity.h - Remaining capacity of one server --*- C++ -*-===//

#ifndef TULIPWEIR_SRC_JOBS_REMAININGCAPACITY_H
#define TULIPWEIR_SRC_JOBS_REMAININGCAPACITY_H

#include "jobs/InterferenceModel.h"
#include "jobs/ServingLoads.h"
#include "tulipweir/jobs/JobRegistry.h"

#include <cstdint>

namespace tulipweir::jobs {

/// The remaining capacity of one server; a plan updates it with each start.
struct RemainingCapacity {
  /// The share of their declared processors that filling tasks use on average
  /// (0.84).
  static constexpr double FillingUsedShare = 0.85;
  /// The largest share of a server's processors that its tasks are expected to
  /// use. Beyond it all tails grow: by a third at 1, threefold at 1.1.
  static constexpr double MaxUsedShare = 0.95;

  Resources Free_;
  /// Processors that are expected to stay idle, thousandths.
  std::int64_t Idle_ = 0;
  std::int64_t IdleReserve_ = 0; ///< The part of Idle_ that nothing may fill.
  ServingImages Serving_;        ///< Number of serving tasks of each image.

  /// Returns the processors that the placed tasks are expected to leave idle.
  static std::int64_t computeIdleCpus(const ServerRecord &Server,
                                      const ServingLoads &Loads);
  /// Returns the capacity that the placed tasks leave.
  static RemainingCapacity compute(const ServerRecord &Server,
                                   const ServingLoads &Loads);
  /// Subtracts one more task of the step.
  void place(const StepSpec &Step);
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_REMAININGCAPACITY_H
