//===- LoadStatus.h - What a leader knows of its load -----------*- C++ -*-===//
//
// Plain figures for operators. Decisions read those on shares.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_LOADSTATUS_H
#define TULIPWEIR_JOBS_LOADSTATUS_H

#include "tulipweir/jobs/AdmissionStatus.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace tulipweir::jobs {

/// The backlog of one queue.
struct QueueBacklog {
  std::string Queue_;
  /// Jobs that are accepted and of which no task has started.
  std::uint64_t Waiting_ = 0;
  bool operator==(const QueueBacklog &) const = default;
};

/// Processors in thousandths, over all servers that accept starts.
struct ShareStatus {
  std::int64_t Capacity_ = 0;
  std::int64_t Lasting_ = 0;        ///< Reserved by long-running tasks.
  std::int64_t LastingWaiting_ = 0; ///< Needed by long-running tasks that wait.
  std::int64_t Bounded_ = 0;        ///< Reserved by all other tasks.
  std::int64_t BoundedWaiting_ = 0; ///< Needed by other tasks that wait.
  /// Reserved by long-running tasks that may yield now.
  std::int64_t Yieldable_ = 0;
  std::uint64_t Yielding_ = 0; ///< Tasks that have yielded and not returned.
  bool operator==(const ShareStatus &) const = default;
};

/// The learned run times of one queue and image.
struct LearnedRunTime {
  std::string Queue_; ///< The queue's key.
  std::string Image_;
  bool Fills_ = false;
  /// Whether the steps declare run times. The figures are in thousandths of
  /// these, or else in milliseconds.
  bool IsDeclared_ = true;
  std::uint64_t Samples_ = 0; ///< Counted since the first one; none fade.
  std::int64_t Median_ = 0;
  std::int64_t Percentile95_ = 0;
  auto operator<=>(const LearnedRunTime &) const = default;
};

/// The work of recent filling jobs of one size, in processor seconds.
struct SizeWork {
  double Offered_ = 0; ///< The work of all jobs.
  double Started_ = 0; ///< The work of their tasks that have started.
  bool operator==(const SizeWork &) const = default;
};

/// The filling work of one queue, by the size of its jobs. Sizes double with
/// every other entry; the first is half of the mean work and less, the last
/// twice the mean and more.
struct FillingWork {
  std::string Queue_; ///< The queue's key.
  std::vector<SizeWork> Sizes_;
  bool operator==(const FillingWork &) const = default;
};

/// The load as one leader sees it; all empty on a member that does not lead.
struct LoadStatus {
  bool IsLeading_ = false;
  ShareStatus Shares_;
  std::vector<QueueBacklog> Queues_; ///< In the order of the configuration.
  std::vector<LearnedRunTime> RunTimes_;
  std::vector<FillingWork> Filling_;
  AdmissionStatus Admission_;
  bool operator==(const LoadStatus &) const = default;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_LOADSTATUS_H
