//===- SizeLearner.cpp - Learns task sizes from usage --------------------===//

#include "decide/SizeLearner.h"

#include <algorithm>
#include <cmath>

using namespace tulipweir;
using namespace tulipweir::decide;

/// A task that runs out of memory ends, so nearly its peak usage is reserved.
static constexpr double MemoryQuantile = 0.995;
static constexpr double MinMemoryMargin = 0.15;

void SizeLearner::learn(ClassIndex Class, const Resources &Usage,
                        bool CountProcessors) {
  if (Class >= Classes_.size())
    Classes_.resize(std::size_t{Class} + 1);
  ClassUsage &Learned = Classes_[Class];
  Learned.Memory_.add(Usage.MemoryMib_);
  ++Learned.MemorySamples_;
  if (!CountProcessors)
    return;
  Learned.Processors_.add(Usage.MilliCpus_);
  ++Learned.ProcessorSamples_;
}

static std::int64_t addMargin(std::int64_t Measured, std::int64_t Declared,
                              double Margin, const Policy &Settings) {
  const double WithMargin = static_cast<double>(Measured) * (1 + Margin);
  const double Floor =
      static_cast<double>(Declared) * Settings.ReserveFloorPart_;
  return static_cast<std::int64_t>(std::ceil(std::max(WithMargin, Floor)));
}

Resources SizeLearner::computeReservation(ClassIndex Class,
                                          const Resources &Declared,
                                          const Policy &Settings) const {
  Resources Reserved = Declared;
  if (Class >= Classes_.size())
    return Reserved;
  const ClassUsage &Learned = Classes_[Class];
  if (Learned.ProcessorSamples_ >= MinSamples)
    Reserved.MilliCpus_ =
        addMargin(Learned.Processors_.getQuantile(Settings.UsageQuantile_),
                  Declared.MilliCpus_, Settings.UsageMargin_, Settings);
  if (Learned.MemorySamples_ >= MinSamples)
    Reserved.MemoryMib_ =
        addMargin(Learned.Memory_.getQuantile(
                      std::max(Settings.UsageQuantile_, MemoryQuantile)),
                  Declared.MemoryMib_,
                  std::max(Settings.UsageMargin_, MinMemoryMargin), Settings);
  return Reserved;
}

bool SizeLearner::isKnown(ClassIndex Class) const {
  return Class < Classes_.size() &&
         Classes_[Class].MemorySamples_ >= MinSamples;
}
