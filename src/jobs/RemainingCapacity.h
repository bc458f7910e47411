//===- RemainingCapacity.h - What is left on one server ---------------*- C++ -*-===//

#ifndef TULIPWEIR_SRC_JOBS_REMAININGCAPACITY_H
#define TULIPWEIR_SRC_JOBS_REMAININGCAPACITY_H

#include "jobs/ServingLoads.h"
#include "jobs/InterferenceModel.h"
#include "tulipweir/jobs/JobBook.h"

#include <cstdint>

namespace tulipweir::jobs {

/// The room on one server, as a plan uses it up.
struct ServerRoom {
  /// What filling tasks use of the processors that they declare, on average
  /// (measured, 0.84).
  static constexpr double UsedOfFilling = 0.85;
  /// Of a server's processors, by what its tasks are expected to use; beyond
  /// that all tails grow many times over (measured: by a third at 1, threefold
  /// at 1.1).
  static constexpr double MostUsed = 0.95;

  Resources Free_;
  /// Processors that are expected to stay idle, thousandths.
  std::int64_t Idle_ = 0;
  std::int64_t KeptIdle_ = 0; ///< Of these, what nothing may fill.
  ServingImages Serving_;     ///< How many tasks of each image serve there.

  /// Processors that what is placed there is expected to leave idle.
  static std::int64_t measureIdle(const ServerRecord &Server,
                                  const ServingLoads &Loads);
  /// As of what is placed there.
  static ServerRoom measure(const ServerRecord &Server,
                            const ServingLoads &Loads);
  /// One more task of the step is placed there.
  void take(const StepSpec &Step);
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_REMAININGCAPACITY_H
