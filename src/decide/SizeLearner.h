//===- SizeLearner.h - Learns task sizes from usage ------------*- C++ -*-===//
//
// Declared sizes are often wrong by a large factor. For each job class, two
// histograms of measured usage (processors, memory) are kept. The reservation
// is a high quantile plus a margin, but never less than a part of the declared
// size. The declared size is reserved until there are enough samples.
// Accelerators are always reserved as declared, because their usage is not
// divisible.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_SIZELEARNER_H
#define TULIPWEIR_SRC_DECIDE_SIZELEARNER_H

#include "decide/PlacementHistory.h"
#include "tulipweir/core/FadingHistogram.h"
#include "tulipweir/core/Resources.h"
#include "tulipweir/decide/Policy.h"

#include <vector>

namespace tulipweir::decide {

class SizeLearner {
public:
  static constexpr std::uint32_t MinSamples = 8;

  /// CountProcessors is false for a throttled task, because its usage does not
  /// show how much it needs.
  void learn(ClassIndex Class, const Resources &Usage, bool CountProcessors);
  /// Returns the resources to reserve for a task of the class.
  Resources computeReservation(ClassIndex Class, const Resources &Declared,
                               const Policy &Settings) const;
  bool isKnown(ClassIndex Class) const;

private:
  struct ClassUsage {
    FadingHistogram Processors_;
    FadingHistogram Memory_;
    std::uint32_t ProcessorSamples_ = 0;
    std::uint32_t MemorySamples_ = 0;
  };
  std::vector<ClassUsage> Classes_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_SIZELEARNER_H
