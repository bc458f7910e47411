//===- ProcessorProbe.h - Measures processor speed --------------*- C++ -*-===//
//
// Times a small piece of work that is the same on every member. Under much load
// it takes as long as ever; on a processor that runs slower it takes longer. So
// a member that is slow is told from one that has much to do.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_PROCESSORPROBE_H
#define TULIPWEIR_SRC_JOBSERVICE_PROCESSORPROBE_H

#include "tulipweir/core/Time.h"

#include <array>
#include <cstddef>

namespace tulipweir::jobservice {

/// Does the work once and returns the time that it took.
Duration timeWork(const Clock &Time);

/// The least of the last few times: an interruption makes one too long, nothing
/// makes one too short. Not thread-safe.
class ProcessorProbe {
public:
  // Commands.

  void addSample(Duration WorkTime);

  // Queries.

  /// Zero until there are as many times as it looks at.
  Duration getWorkTime() const;
  /// The least work time so far: VMs of one kind differ by up to a factor of
  /// two, so that one is slow shows beside its own past.
  Duration getBaselineWorkTime() const { return BaselineWorkTime_; }

private:
  /// At four a second, a slow second and a quarter shows.
  static constexpr std::size_t SampleCount = 5;

  std::array<Duration, SampleCount> Samples_{};
  std::size_t Recorded_ = 0; ///< Noted so far.
  Duration BaselineWorkTime_{};
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_PROCESSORPROBE_H
