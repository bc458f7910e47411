//===- SizeLearner.h - What tasks of a class really use --------*- C++ -*-===//
//
// Declared sizes are far off. For each job class two histograms of measured
// usage (processors, memory) are kept; the reservation is their high quantile
// with a margin, never below a part of what was declared. Until enough
// samples came, what was declared is reserved. Accelerators are always
// reserved as declared: usage of them is not divisible.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_SIZELEARNER_H
#define TULIPWEIR_SRC_DECIDE_SIZELEARNER_H

#include "decide/PlacementHistory.h"
#include "tulipweir/core/Resources.h"
#include "tulipweir/decide/Policy.h"

#include <array>
#include <vector>

namespace tulipweir::decide {

/// A histogram with buckets that grow by 3% each, whose old samples
/// count ever less.
class UsageHistogram {
public:
  void add(std::int64_t Amount);
  /// Middle of the bucket in which the quantile lies; 0 when empty.
  std::int64_t getQuantile(double Fraction) const;

private:
  static constexpr std::size_t Buckets = 320;
  std::array<float, Buckets> Weights_{};
  float Total_ = 0;
};

class SizeLearner {
public:
  static constexpr std::uint32_t MinSamples = 8;

  /// CountProcessors is false when the task was throttled: what it used then
  /// says nothing about what it needs.
  void learn(ClassIndex Class, const Resources &Usage, bool CountProcessors);
  /// What to set aside for a task of the class.
  Resources computeReservation(ClassIndex Class, const Resources &Declared,
                               const Policy &Settings) const;
  bool isKnown(ClassIndex Class) const;

private:
  struct ClassUsage {
    UsageHistogram Processors_;
    UsageHistogram Memory_;
    std::uint32_t ProcessorSamples_ = 0;
    std::uint32_t MemorySamples_ = 0;
  };
  std::vector<ClassUsage> Classes_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_SIZELEARNER_H
