//===- Interference.cpp - How much batch work slows services ------------===//

#include "decide/Interference.h"

#include <algorithm>
#include <cmath>

using namespace tulipweir;
using namespace tulipweir::decide;

/// Weight assumed for a pair that was never seen together: a server full of
/// an unknown class is taken to double the service's p99.
static constexpr double UnknownWeight = 1.0;
static constexpr double LargestWeight = 20;
/// Part of the difference that one sample corrects.
static constexpr double Step = 0.3;
/// First guess of the p99 alone, at most, as a part of the target.
static constexpr double AlonePart = 0.7;
/// Keeps small loads from taking the blame for everything.
static constexpr double SmallLoad = 0.02;
/// Confidence gained by one sample, and the time in which half of it goes.
static constexpr double ConfidenceGain = 0.12;
static constexpr double ConfidenceHalfLife = 600;
/// Requests of a report from which its p99 counts in full.
static constexpr double FullReport = 100;
/// Pairs kept; beyond, those with the least confidence are dropped.
static constexpr std::size_t MaxPairs = 1U << 16U;
static constexpr float WeakConfidence = 0.5F;

LoadBand decide::getLoadBand(std::uint32_t LoadPercent) {
  static constexpr std::array<std::uint32_t, LoadBands - 1> Edges = {35, 60,
                                                                     80};
  const auto Above = std::upper_bound(Edges.begin(), Edges.end(), LoadPercent);
  return static_cast<LoadBand>(Above - Edges.begin());
}

static std::uint64_t keyOf(ServiceIndex Service, ClassIndex Class,
                           LoadBand Band) {
  return (std::uint64_t{Service} << 40U) | (std::uint64_t{Class} << 8U) | Band;
}

static double decayed(double Confidence, TimePoint Since, TimePoint Now) {
  const double Age = std::chrono::duration<double>(Now - Since).count();
  return Confidence * std::exp2(-std::max(0.0, Age) / ConfidenceHalfLife);
}

const Interference::Pair *Interference::findPair(ServiceIndex Service,
                                                 ClassIndex Class,
                                                 LoadBand Band) const {
  const auto Found = Pairs_.find(keyOf(Service, Class, Band));
  return Found == Pairs_.end() ? nullptr : &Found->second;
}

PairEffect Interference::effectOf(ServiceIndex Service, ClassIndex Class,
                                  LoadBand Band, TimePoint Now) const {
  if (const Pair *Known = findPair(Service, Class, Band))
    return {Known->Weight_,
            decayed(Known->Confidence_, Known->LearnedAt_, Now)};
  // A neighbouring band is the better guess; higher loads slow more.
  for (int Distance = 1; Distance < LoadBands; ++Distance) {
    for (const int Other : {Band - Distance, Band + Distance}) {
      if (Other < 0 || Other >= LoadBands)
        continue;
      const Pair *Near = findPair(Service, Class, static_cast<LoadBand>(Other));
      if (!Near)
        continue;
      const double Trust = decayed(Near->Confidence_, Near->LearnedAt_, Now);
      return {Near->Weight_, Trust / (1 + Distance)};
    }
  }
  return {UnknownWeight, 0};
}

double Interference::largestWeight(ServiceIndex Service,
                                   ClassIndex Class) const {
  double Largest = 0;
  for (LoadBand Band = 0; Band < LoadBands; ++Band)
    if (const Pair *Known = findPair(Service, Class, Band))
      Largest = std::max(Largest, double{Known->Weight_});
  return Largest;
}

double Interference::predict(ServiceIndex Service, LoadBand Band,
                             const ClassLoads &Loads, TimePoint Now) const {
  double Added = 0;
  for (const ClassLoad &Value : Loads)
    Added += Value.Load_ * effectOf(Service, Value.Class_, Band, Now).Weight_;
  return Added;
}

double Interference::aloneMicros(ServiceIndex Service, LoadBand Band) const {
  if (Service >= Alone_.size())
    return 0;
  for (int Lower = Band; Lower >= 0; --Lower)
    if (Alone_[Service][Lower].Samples_ > 0)
      return Alone_[Service][Lower].Micros_;
  for (int Higher = Band + 1; Higher < LoadBands; ++Higher)
    if (Alone_[Service][Higher].Samples_ > 0)
      return Alone_[Service][Higher].Micros_;
  return 0;
}

void Interference::learnAlone(Alone &Base, double Micros, double Predicted,
                              bool IsAlone, double TargetMicros) {
  const double Seen = IsAlone ? Micros : Micros / (1 + Predicted);
  ++Base.Samples_;
  if (Base.Samples_ == 1) {
    // A target is set so that the service can keep it alone; a first sample
    // taken in a crowd says little.
    const bool IsBounded = !IsAlone && TargetMicros > 0;
    Base.Micros_ = IsBounded ? std::min(Seen, AlonePart * TargetMicros) : Seen;
    return;
  }
  // Without neighbours the p99 is the answer. With them it is a guess, and
  // one that is too high would hide the neighbours' effect: rise slowly.
  constexpr double Down = 0.1;
  constexpr double Up = 0.01;
  const double Gain = IsAlone || Seen < Base.Micros_ ? Down : Up;
  Base.Micros_ += Gain * (Seen - Base.Micros_);
}

void Interference::learn(ServiceIndex Service, LoadBand Band,
                         const ServiceSample &Sample, const ClassLoads &Loads,
                         double TargetMicros) {
  if (Service >= Alone_.size())
    Alone_.resize(std::size_t{Service} + 1);
  const double Micros =
      std::chrono::duration<double, std::micro>(Sample.P99_).count();
  const double Predicted = predict(Service, Band, Loads, Sample.SampledAt_);
  Alone &Base = Alone_[Service][Band];
  learnAlone(Base, Micros, Predicted, Loads.empty(), TargetMicros);
  double Norm = SmallLoad * SmallLoad;
  for (const ClassLoad &Value : Loads)
    Norm += Value.Load_ * Value.Load_;
  const double Measured = Micros / std::max(1.0, Base.Micros_) - 1;
  const double Weight = std::min(1.0, Sample.Requests_ / FullReport);
  const double Error = std::clamp(Measured - Predicted, -3.0, 3.0);
  for (const ClassLoad &Value : Loads) {
    const auto Known = effectOf(Service, Value.Class_, Band, Sample.SampledAt_);
    Pair &Learned = Pairs_[keyOf(Service, Value.Class_, Band)];
    const double Share = Value.Load_ / Norm;
    const double Updated = Known.Weight_ + Step * Weight * Error * Share;
    Learned.Weight_ =
        static_cast<float>(std::clamp(Updated, 0.0, LargestWeight));
    // A class that is hardly there teaches hardly anything about itself.
    const double Gain =
        ConfidenceGain * Weight * std::min(1.0, Value.Load_ * Share);
    Learned.Confidence_ = static_cast<float>(
        std::min(1.0, Known.Confidence_ + Gain * (1 - Known.Confidence_)));
    Learned.LearnedAt_ = std::max(Learned.LearnedAt_, Sample.SampledAt_);
  }
  if (Pairs_.size() > MaxPairs)
    dropWeakest();
}

void Interference::dropWeakest() {
  std::erase_if(Pairs_, [](const auto &Entry) {
    return Entry.second.Confidence_ < WeakConfidence;
  });
  if (Pairs_.size() > MaxPairs)
    Pairs_.clear();
}
