//===- TailModel.cpp - Predicted p99 relative to the targets -------------===//

#include "decide/TailModel.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::decide;

/// A load peak is expected to recur within this time: tasks run for minutes,
/// and the next wave may come while they do.
static constexpr Duration PeakWindow = std::chrono::minutes(10);
/// Headroom of a service that barely meets its target, or does not meet it,
/// without tasks.
static constexpr double MinHeadroom = 0.05;
/// Headroom while the service's p99 without tasks is not known.
static constexpr double DefaultHeadroom = 0.5;
/// Confidence from which a learned effect is used.
static constexpr double MinConfidence = 0.3;
/// Pressure limit for a class whose effect is not known: most classes are
/// harmless, and the effect of a class that is never placed is never learned.
static constexpr double UnknownPressureLimit = 1.6;
static constexpr double MaxPressureLimit = 1.1;
static constexpr double LimitPerTailWeight = 0.4;
/// The limit decreases while a larger part of the reports exceeds the targets:
/// the predictions are then too optimistic, or the reports too late.
static constexpr double ToleratedOverTargetShare = 0.08;
static constexpr double LimitPerOverTarget = 4;
static constexpr double MinPressureLimit = 0.4;

LoadBand TailModel::getPlanningBand(const ServiceState &Service,
                                    TimePoint Now) {
  const bool Recent = Now - Service.PeakAt_ < PeakWindow;
  return Recent ? std::max(Service.Band_, Service.PeakBand_) : Service.Band_;
}

double TailModel::computeHeadroom(const ServiceState &Service,
                                  LoadBand Band) const {
  const double Target = State_.getTargetMicros(Service.Service_);
  const double Baseline =
      State_.Interference_.getBaselineMicros(Service.Service_, Band);
  if (Baseline <= 0)
    return DefaultHeadroom;
  return std::max(MinHeadroom, Target / Baseline - 1);
}

TailPressure TailModel::predictPressure(const ServerEntry &Server,
                                        const ClassLoad *Added,
                                        LoadExpectation Expected,
                                        TimePoint Now) const {
  TailPressure Worst;
  Worst.Confidence_ = 1;
  for (const ServiceState &Service : Server.Services_) {
    if (State_.getTargetMicros(Service.Service_) <= 0)
      continue;
    const LoadBand Band = Expected == LoadExpectation::Peak
                              ? getPlanningBand(Service, Now)
                              : Service.Band_;
    double Growth = State_.Interference_.predict(
        Service.Service_, Band, Server.History_.currentLoads(), Now);
    double Confidence = 1;
    if (Added) {
      const auto Effect = State_.Interference_.estimateEffect(
          Service.Service_, Added->Class_, Band, Now);
      Growth += Effect.Weight_ * Added->Load_;
      Confidence = Effect.Confidence_;
    }
    const double Pressure = Growth / computeHeadroom(Service, Band);
    if (Worst.HasService_ && Pressure <= Worst.Value_)
      continue;
    Worst = {Pressure, Confidence, Service.Service_, true};
  }
  return Worst;
}

double TailModel::getPressureLimit(double Confidence) const {
  if (Confidence < MinConfidence)
    return UnknownPressureLimit;
  const Policy &Settings = State_.Policy_;
  const double Sum = Settings.TailWeight_ + Settings.ThroughputWeight_ +
                     Settings.EvictionWeight_;
  const double Share = Sum > 0 ? Settings.TailWeight_ / Sum : 0;
  const double ExcessShare =
      std::max(0.0, State_.OverTargetShare_ - ToleratedOverTargetShare);
  const double Limit =
      MaxPressureLimit -
      Share * (LimitPerTailWeight + LimitPerOverTarget * ExcessShare);
  return std::max(MinPressureLimit, Limit);
}
