//===- StragglerDetector.h - Runs that a copy may overtake ------------*- C++ -*-===//
//
// Finds runs of speculative steps that take much longer than was declared, or
// will at their present speed: their server may be slow, or stand still. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_STRAGGLERDETECTOR_H
#define TULIPWEIR_SRC_JOBS_STRAGGLERDETECTOR_H

#include "jobs/ServerBoard.h"

namespace tulipweir::jobs {

/// Not thread-safe.
class Stragglers {
public:
  // Commands.

  void reset();
  /// Goes over all that runs, if the last time was long enough ago.
  void survey(const JobBook &Book, const ServerBoard &Board, TimePoint Now);

  // Queries.

  /// The tasks found, those that began first at the front.
  const std::vector<TaskKey> &list() const { return Late_; }

private:
  static bool isLate(const StepSpec &Step, const RunProgress &Run,
                     TimePoint Now);

  std::vector<TaskKey> Late_;
  TimePoint NextSurvey_{};
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_STRAGGLERDETECTOR_H
