//===- JobSpec.h - A job as its client specifies it ------------*- C++ -*-===//
//
// A job is a graph of steps; a step is a set of identical tasks. Sizes and
// durations are the client's declarations, which may be far from the real
// ones.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_JOBSPEC_H
#define TULIPWEIR_JOBS_JOBSPEC_H

#include "tulipweir/core/Error.h"
#include "tulipweir/core/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tulipweir::jobs {

/// Identical tasks that become ready together.
struct StepSpec {
  std::uint64_t Count_ = 1;
  Resources Need_;                       ///< Resource request of each task.
  std::uint64_t EstimateMs_ = 0;         ///< Declared duration; 0 if unknown.
  std::vector<std::uint64_t> DependsOn_; ///< Indexes of earlier steps.
  bool Checkpointing_ = false;
  bool Gang_ = false;        ///< Tasks make progress only while all run.
  bool SameRack_ = false;    ///< A gang is slower across several racks.
  bool Speculative_ = false; ///< Copies may run; the first to end counts.
  bool LongRunning_ = false; ///< Runs until the job is cancelled.
  bool Fills_ = false;       ///< Runs only on CPUs that other tasks leave idle.
  std::string Label_;        ///< Servers must carry it; empty for any.
  std::string DataRack_;     ///< Slower on other racks; empty for none.
  std::uint64_t SpreadLimit_ = 0;  ///< Max tasks per server; 0 for no limit.
  std::string Image_;              ///< Interference is learned for each image.
  std::uint64_t TailTargetMs_ = 0; ///< Target tail latency; 0 for none.
  /// Number of tasks that the scheduler may keep down at a time.
  std::uint64_t MaxUnavailable_ = 0;
  bool operator==(const StepSpec &) const = default;

  /// Returns whether the tasks serve requests of their own users.
  bool isServing() const { return TailTargetMs_ > 0; }

  /// Returns what one task reserves of a server's capacity. A filling task
  /// reserves no CPUs, as it uses only those that other tasks leave idle.
  Resources getReserved() const {
    Resources Need = Need_;
    if (Fills_)
      Need.MilliCpus_ = 0;
    return Need;
  }
};

struct JobSpec {
  std::string Id_;
  std::string Payload_; ///< Opaque; passed to each task.
  std::vector<StepSpec> Steps_;
  /// If above 0, the steps run that many times. Occurrence K is due at
  /// FirstDueMs_ + K * IntervalMs_, wall time in milliseconds since 1970.
  std::uint64_t RepeatCount_ = 0;
  std::uint64_t FirstDueMs_ = 0;
  std::uint64_t IntervalMs_ = 0;
  bool operator==(const JobSpec &) const = default;

  std::uint64_t countOccurrences() const {
    return RepeatCount_ == 0 ? 1 : RepeatCount_;
  }
};

/// Checks what the state machine relies on: sizes of ids and counts,
/// dependencies on earlier steps only, and non-negative resource requests.
Outcome<void> checkJobSpec(const JobSpec &Spec);

/// Returns the longest chain of declared durations through the steps, in
/// milliseconds.
std::uint64_t getLongestChainMs(const JobSpec &Spec);

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_JOBSPEC_H
