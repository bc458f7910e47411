//===- SizeLearner.cpp - What tasks of a class really use ---------------===//

#include "decide/SizeLearner.h"

#include <algorithm>
#include <cmath>

using namespace tulipweir;
using namespace tulipweir::decide;

static constexpr double Growth = 1.03;
/// Upper edge of the first bucket, in thousandths of a processor or MiB.
static constexpr double FirstEdge = 10;
/// Samples that count in full; beyond, all weights are halved.
static constexpr float Remembered = 512;
/// Memory that runs out ends a task, so nearly its peak is reserved.
static constexpr double MemoryQuantile = 0.995;
static constexpr double LeastMemoryMargin = 0.15;

void UsageHistogram::add(std::int64_t Amount) {
  const double Ratio = std::max(1.0, static_cast<double>(Amount) / FirstEdge);
  const auto Bucket =
      static_cast<std::size_t>(std::ceil(std::log(Ratio) / std::log(Growth)));
  Weights_[std::min(Bucket, Buckets - 1)] += 1;
  Total_ += 1;
  if (Total_ < Remembered)
    return;
  for (float &Weight : Weights_)
    Weight /= 2;
  Total_ /= 2;
}

std::int64_t UsageHistogram::quantile(double Part) const {
  float Left = Total_ * static_cast<float>(Part);
  double Edge = FirstEdge;
  for (const float Weight : Weights_) {
    Left -= Weight;
    if (Left <= 0)
      break;
    Edge *= Growth;
  }
  return Total_ > 0
             ? static_cast<std::int64_t>(std::ceil(Edge / std::sqrt(Growth)))
             : 0;
}

void SizeLearner::learn(ClassIndex Class, const Resources &Usage,
                        bool WithProcessors) {
  if (Class >= Classes_.size())
    Classes_.resize(std::size_t{Class} + 1);
  Learned &Known = Classes_[Class];
  Known.Memory_.add(Usage.MemoryMib_);
  ++Known.MemorySamples_;
  if (!WithProcessors)
    return;
  Known.Processors_.add(Usage.MilliCpus_);
  ++Known.ProcessorSamples_;
}

static std::int64_t withMargin(std::int64_t Measured, std::int64_t Declared,
                               double Margin, const Policy &Settings) {
  const double Wanted = static_cast<double>(Measured) * (1 + Margin);
  const double Floor =
      static_cast<double>(Declared) * Settings.ReserveFloorPart_;
  return static_cast<std::int64_t>(std::ceil(std::max(Wanted, Floor)));
}

Resources SizeLearner::reserveFor(ClassIndex Class, const Resources &Declared,
                                  const Policy &Settings) const {
  Resources Reserved = Declared;
  if (Class >= Classes_.size())
    return Reserved;
  const Learned &Known = Classes_[Class];
  if (Known.ProcessorSamples_ >= MinSamples)
    Reserved.MilliCpus_ =
        withMargin(Known.Processors_.quantile(Settings.UsageQuantile_),
                   Declared.MilliCpus_, Settings.UsageMargin_, Settings);
  if (Known.MemorySamples_ >= MinSamples)
    Reserved.MemoryMib_ = withMargin(
        Known.Memory_.quantile(
            std::max(Settings.UsageQuantile_, MemoryQuantile)),
        Declared.MemoryMib_, std::max(Settings.UsageMargin_, LeastMemoryMargin),
        Settings);
  return Reserved;
}

bool SizeLearner::isKnown(ClassIndex Class) const {
  return Class < Classes_.size() &&
         Classes_[Class].MemorySamples_ >= MinSamples;
}
