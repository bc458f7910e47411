//===- ServerRoom.h - What is left on one server ---------------*- C++ -*-===//

#ifndef TULIPWEIR_SRC_JOBS_SERVERROOM_H
#define TULIPWEIR_SRC_JOBS_SERVERROOM_H

#include "jobs/ServingLoads.h"
#include "jobs/TailEffects.h"
#include "tulipweir/jobs/JobBook.h"

#include <cstdint>

namespace tulipweir::jobs {

/// The room on one server, as a plan uses it up.
struct ServerRoom {
  Resources Free_;
  /// Processors that are expected to stay idle, thousandths.
  std::int64_t Idle_ = 0;
  ServingImages Serving_; ///< How many tasks of each image serve there.

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

#endif // TULIPWEIR_SRC_JOBS_SERVERROOM_H
