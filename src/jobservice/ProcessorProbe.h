//===- ProcessorProbe.h - Measures processor speed --------------*- C++ -*-===//
//
// Times a small workload that is the same on every member. The time does not
// depend on the load, but increases on a slower processor. This tells a slow
// member from an overloaded one.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_PROCESSORPROBE_H
#define TULIPWEIR_SRC_JOBSERVICE_PROCESSORPROBE_H

#include "tulipweir/core/Time.h"

#include <array>
#include <cstddef>

namespace tulipweir::jobservice {

/// Runs the workload once and returns the time that it took.
Duration timeWork(const Clock &Time);

/// Reports the shortest of the recent times, as interruptions only lengthen
/// them. Not thread-safe.
class ProcessorProbe {
public:
  // Commands.

  void addSample(Duration WorkTime);

  // Queries.

  /// Returns the shortest recent time; zero until there are SampleCount
  /// samples.
  Duration getWorkTime() const;
  /// Returns the shortest work time so far. VMs of one kind differ by up to a
  /// factor of two, so slowness is relative to the VM's own baseline.
  Duration getBaselineWorkTime() const { return BaselineWorkTime_; }

private:
  /// At four samples a second, a slowdown is detected after 1.25 s.
  static constexpr std::size_t SampleCount = 5;

  std::array<Duration, SampleCount> Samples_{};
  std::size_t Recorded_ = 0; ///< Number of samples recorded so far.
  Duration BaselineWorkTime_{};
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_PROCESSORPROBE_H
