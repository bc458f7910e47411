//===- SizeLearner.cpp - Learns task sizes from usage --------------------===//

#include "decide/SizeLearner.h"

#include <algorithm>
#include <cmath>

using namespace tulipweir;
using namespace tulipweir::decide;

static constexpr double BucketGrowth = 1.03;
/// Upper bound of the first bucket, in thousandths of a processor or MiB.
static constexpr double FirstEdge = 10;
/// When the total weight reaches this value, all weights are halved.
static constexpr float MaxTotalWeight = 512;
/// A task that runs out of memory ends, so nearly its peak usage is reserved.
static constexpr double MemoryQuantile = 0.995;
static constexpr double MinMemoryMargin = 0.15;

void UsageHistogram::add(std::int64_t Amount) {
  const double Ratio = std::max(1.0, static_cast<double>(Amount) / FirstEdge);
  const auto Bucket = static_cast<std::size_t>(
      std::ceil(std::log(Ratio) / std::log(BucketGrowth)));
  Weights_[std::min(Bucket, Buckets - 1)] += 1;
  Total_ += 1;
  if (Total_ < MaxTotalWeight)
    return;
  for (float &Weight : Weights_)
    Weight /= 2;
  Total_ /= 2;
}

std::int64_t UsageHistogram::getQuantile(double Fraction) const {
  float Remaining = Total_ * static_cast<float>(Fraction);
  double Edge = FirstEdge;
  for (const float Weight : Weights_) {
    Remaining -= Weight;
    if (Remaining <= 0)
      break;
    Edge *= BucketGrowth;
  }
  return Total_ > 0 ? static_cast<std::int64_t>(
                          std::ceil(Edge / std::sqrt(BucketGrowth)))
                    : 0;
}

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
