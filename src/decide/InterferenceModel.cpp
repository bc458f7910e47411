//===- InterferenceModel.cpp - Effect of tasks on services --------------===//

#include "decide/InterferenceModel.h"

#include <algorithm>
#include <cmath>

using namespace tulipweir;
using namespace tulipweir::decide;

/// Weight of a service and a class without any sample: a server full of an
/// unknown class is assumed to double the service's p99.
static constexpr double DefaultWeight = 1.0;
static constexpr double MaxWeight = 20;
/// Part of the prediction error that one sample corrects.
static constexpr double LearningRate = 0.3;
/// Upper bound of the first baseline estimate, as a part of the target.
static constexpr double MaxFirstBaselineRatio = 0.7;
/// Keeps a small load from being blamed for the whole error.
static constexpr double LoadRegularization = 0.02;
/// Confidence gained by one sample, and its half-life in seconds.
static constexpr double ConfidenceGain = 0.12;
static constexpr double ConfidenceHalfLife = 600;
/// Requests in a report from which its p99 has full weight.
static constexpr double FullWeightRequests = 100;
/// Maximum number of pairs. Beyond it, pairs with a lower confidence than
/// MinKeptConfidence are dropped, and all pairs if that is not enough.
static constexpr std::size_t MaxPairs = 1U << 16U;
static constexpr float MinKeptConfidence = 0.5F;

LoadBand decide::getLoadBand(std::uint32_t LoadPercent) {
  static constexpr std::array<std::uint32_t, LoadBands - 1> Edges = {35, 60,
                                                                     80};
  const auto Above = std::upper_bound(Edges.begin(), Edges.end(), LoadPercent);
  return static_cast<LoadBand>(Above - Edges.begin());
}

static std::uint64_t makePairKey(ServiceIndex Service, ClassIndex Class,
                                 LoadBand Band) {
  return (std::uint64_t{Service} << 40U) | (std::uint64_t{Class} << 8U) | Band;
}

static double decayConfidence(double Confidence, TimePoint Since,
                              TimePoint Now) {
  const double Age = std::chrono::duration<double>(Now - Since).count();
  return Confidence * std::exp2(-std::max(0.0, Age) / ConfidenceHalfLife);
}

const InterferenceModel::Pair *
InterferenceModel::findPair(ServiceIndex Service, ClassIndex Class,
                            LoadBand Band) const {
  const auto It = Pairs_.find(makePairKey(Service, Class, Band));
  return It == Pairs_.end() ? nullptr : &It->second;
}

ClassEffect InterferenceModel::estimateEffect(ServiceIndex Service,
                                              ClassIndex Class, LoadBand Band,
                                              TimePoint Now) const {
  if (const Pair *Stored = findPair(Service, Class, Band))
    return {Stored->Weight_,
            decayConfidence(Stored->Confidence_, Stored->LearnedAt_, Now)};
  // A neighbouring band is a better estimate than the default weight, although
  // higher loads slow services more.
  for (int Distance = 1; Distance < LoadBands; ++Distance) {
    for (const int Other : {Band - Distance, Band + Distance}) {
      if (Other < 0 || Other >= LoadBands)
        continue;
      const Pair *Neighbour =
          findPair(Service, Class, static_cast<LoadBand>(Other));
      if (!Neighbour)
        continue;
      const double Confidence =
          decayConfidence(Neighbour->Confidence_, Neighbour->LearnedAt_, Now);
      return {Neighbour->Weight_, Confidence / (1 + Distance)};
    }
  }
  return {DefaultWeight, 0};
}

double InterferenceModel::getMaxWeight(ServiceIndex Service,
                                       ClassIndex Class) const {
  double Largest = 0;
  for (LoadBand Band = 0; Band < LoadBands; ++Band)
    if (const Pair *Stored = findPair(Service, Class, Band))
      Largest = std::max(Largest, double{Stored->Weight_});
  return Largest;
}

double InterferenceModel::predict(ServiceIndex Service, LoadBand Band,
                                  const ClassLoads &Loads,
                                  TimePoint Now) const {
  double Growth = 0;
  for (const ClassLoad &Load : Loads)
    Growth +=
        Load.Load_ * estimateEffect(Service, Load.Class_, Band, Now).Weight_;
  return Growth;
}

double InterferenceModel::getBaselineMicros(ServiceIndex Service,
                                            LoadBand Band) const {
  if (Service >= Baselines_.size())
    return 0;
  for (int CandidateBand = Band; CandidateBand >= 0; --CandidateBand)
    if (Baselines_[Service][CandidateBand].Samples_ > 0)
      return Baselines_[Service][CandidateBand].Micros_;
  for (int Higher = Band + 1; Higher < LoadBands; ++Higher)
    if (Baselines_[Service][Higher].Samples_ > 0)
      return Baselines_[Service][Higher].Micros_;
  return 0;
}

void InterferenceModel::updateBaseline(Baseline &Reference, double Micros,
                                       double Predicted, bool HasNoTasks,
                                       double TargetMicros) {
  const double Observed = HasNoTasks ? Micros : Micros / (1 + Predicted);
  ++Reference.Samples_;
  if (Reference.Samples_ == 1) {
    // A target is set so that the service can meet it without tasks. A first
    // sample that was taken beside tasks says little about the baseline.
    const bool IsBounded = !HasNoTasks && TargetMicros > 0;
    Reference.Micros_ =
        IsBounded ? std::min(Observed, MaxFirstBaselineRatio * TargetMicros)
                  : Observed;
    return;
  }
  // Without tasks the p99 is the baseline. With tasks it is an estimate, and
  // one that is too high would hide the tasks' effect, so it rises slowly.
  constexpr double FallRate = 0.1;
  constexpr double RiseRate = 0.01;
  const double Gain =
      HasNoTasks || Observed < Reference.Micros_ ? FallRate : RiseRate;
  Reference.Micros_ += Gain * (Observed - Reference.Micros_);
}

void InterferenceModel::learn(ServiceIndex Service, LoadBand Band,
                              const ServiceSample &Sample,
                              const ClassLoads &Loads, double TargetMicros) {
  if (Service >= Baselines_.size())
    Baselines_.resize(std::size_t{Service} + 1);
  const double Micros =
      std::chrono::duration<double, std::micro>(Sample.P99_).count();
  const double Predicted = predict(Service, Band, Loads, Sample.SampledAt_);
  Baseline &Reference = Baselines_[Service][Band];
  updateBaseline(Reference, Micros, Predicted, Loads.empty(), TargetMicros);
  double Norm = LoadRegularization * LoadRegularization;
  for (const ClassLoad &Load : Loads)
    Norm += Load.Load_ * Load.Load_;
  const double Measured = Micros / std::max(1.0, Reference.Micros_) - 1;
  const double Weight = std::min(1.0, Sample.Requests_ / FullWeightRequests);
  const double Error = std::clamp(Measured - Predicted, -3.0, 3.0);
  for (const ClassLoad &Load : Loads) {
    const auto Estimate =
        estimateEffect(Service, Load.Class_, Band, Sample.SampledAt_);
    Pair &Learned = Pairs_[makePairKey(Service, Load.Class_, Band)];
    const double Share = Load.Load_ / Norm;
    const double Updated =
        Estimate.Weight_ + LearningRate * Weight * Error * Share;
    Learned.Weight_ = static_cast<float>(std::clamp(Updated, 0.0, MaxWeight));
    // A class with little load gains little confidence from the sample.
    const double Gain =
        ConfidenceGain * Weight * std::min(1.0, Load.Load_ * Share);
    Learned.Confidence_ = static_cast<float>(std::min(
        1.0, Estimate.Confidence_ + Gain * (1 - Estimate.Confidence_)));
    Learned.LearnedAt_ = std::max(Learned.LearnedAt_, Sample.SampledAt_);
  }
  if (Pairs_.size() > MaxPairs)
    dropLeastConfident();
}

void InterferenceModel::dropLeastConfident() {
  std::erase_if(Pairs_, [](const auto &Entry) {
    return Entry.second.Confidence_ < MinKeptConfidence;
  });
  if (Pairs_.size() > MaxPairs)
    Pairs_.clear();
}
