//===- TailModel.cpp - How near services are to their targets -----------===//

#include "decide/TailModel.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::decide;

/// A peak of load is expected again for this long: tasks run for minutes, and
/// the next wave comes while they do.
static constexpr Duration PeakTime = std::chrono::minutes(10);
/// Headroom of a service that meets its target barely or not even alone.
static constexpr double LeastHeadroom = 0.05;
/// Headroom while the service's p99 alone is not known.
static constexpr double UnknownHeadroom = 0.5;
/// Confidence from which a learned effect is taken at its word.
static constexpr double Sure = 0.3;
/// Pressure allowed while the effect is a guess: most classes are harmless,
/// and what is never placed is never learned.
static constexpr double CeilingOfGuess = 1.6;
static constexpr double HighestCeiling = 1.1;
static constexpr double CeilingPerTailShare = 0.4;
/// The ceiling gives way while more reports than this stand over a target:
/// the predictions are then too hopeful, or come too late for the lag.
static constexpr double UsualOverShare = 0.08;
static constexpr double CeilingPerStrain = 4;
static constexpr double LowestCeiling = 0.4;

LoadBand TailModel::planningBand(const ServiceState &Service, TimePoint Now) {
  const bool Recent = Now - Service.PeakAt_ < PeakTime;
  return Recent ? std::max(Service.Band_, Service.PeakBand_) : Service.Band_;
}

double TailModel::headroomOf(const ServiceState &Service, LoadBand Band) const {
  const double Target = State_.targetMicros(Service.Service_);
  const double Alone = State_.Effects_.aloneMicros(Service.Service_, Band);
  if (Alone <= 0)
    return UnknownHeadroom;
  return std::max(LeastHeadroom, Target / Alone - 1);
}

Pressure TailModel::pressureOn(const ServerEntry &Server,
                               const ClassLoad *Added, LoadExpectation Expected,
                               TimePoint Now) const {
  Pressure Worst;
  Worst.Confidence_ = 1;
  for (const ServiceState &Service : Server.Services_) {
    if (State_.targetMicros(Service.Service_) <= 0)
      continue;
    const LoadBand Band = Expected == LoadExpectation::Peak
                              ? planningBand(Service, Now)
                              : Service.Band_;
    double Growth = State_.Effects_.predict(Service.Service_, Band,
                                            Server.History_.now(), Now);
    double Confidence = 1;
    if (Added) {
      const auto Effect =
          State_.Effects_.effectOf(Service.Service_, Added->Class_, Band, Now);
      Growth += Effect.Weight_ * Added->Load_;
      Confidence = Effect.Confidence_;
    }
    const double Value = Growth / headroomOf(Service, Band);
    if (Worst.HasService_ && Value <= Worst.Value_)
      continue;
    Worst = {Value, Confidence, Service.Service_, true};
  }
  return Worst;
}

double TailModel::ceiling(double Confidence) const {
  if (Confidence < Sure)
    return CeilingOfGuess;
  const Policy &Settings = State_.Policy_;
  const double Sum = Settings.TailWeight_ + Settings.ThroughputWeight_ +
                     Settings.EvictionWeight_;
  const double Share = Sum > 0 ? Settings.TailWeight_ / Sum : 0;
  const double Strain = std::max(0.0, State_.OverShare_ - UsualOverShare);
  const double Ceiling = HighestCeiling - Share * (CeilingPerTailShare +
                                                   CeilingPerStrain * Strain);
  return std::max(LowestCeiling, Ceiling);
}
