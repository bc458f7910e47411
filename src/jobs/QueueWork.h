//===- QueueWork.h - Work that a queue's jobs ask for and get ---*- C++ -*-===//
//
// The work of the recent jobs of one queue and how much of it has started, by
// the size of the job. An order by value alone prefers small jobs: beside more
// work than room, large ones would hardly start. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_QUEUEWORK_H
#define TULIPWEIR_SRC_JOBS_QUEUEWORK_H

#include "tulipweir/jobs/LoadStatus.h"

#include <array>
#include <cstddef>

namespace tulipweir::jobs {

/// All work is in processor seconds. Not thread-safe.
class QueueWork {
public:
  /// Sizes double with every other class; half of the mean work and less are
  /// the first class, twice the mean and more the last one.
  static constexpr std::size_t SizeClasses = 6;

  // Commands.

  /// Adds the work of a new job.
  void addJob(double Work);
  /// Records the first start of a task of a job.
  void recordStart(double JobWork, double TaskWork);

  // Queries.

  /// Returns the mean work of recent jobs; zero before the first.
  double getMean() const { return Mean_; }
  /// Returns whether less work of jobs of this size has started than is due to
  /// them by the share that started of all work.
  bool isBehind(double JobWork) const;
  const std::array<SizeWork, SizeClasses> &sizes() const { return Sizes_; }

private:
  std::size_t classify(double JobWork) const;
  void fade();

  double Mean_ = 0;
  double MeanCount_ = 0;
  double FadingCount_ = 0; ///< Jobs since the last fading, and half of others.
  SizeWork All_;
  std::array<SizeWork, SizeClasses> Sizes_{};
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_QUEUEWORK_H
