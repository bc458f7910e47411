//===- InterferenceModel.h - How much batch work slows services -----*- C++
//-*-===//
//
// For each service, job class and band of load one weight is learned: by how
// much a server full of that class would lengthen the service's p99, as a part
// of its p99 alone. A prediction is the sum of weight x load over the classes
// on the server. Each late sample is compared with the prediction for what ran
// when it was taken, and the difference is shared out over those classes
// (normalised least mean squares). Confidence in a weight halves with time.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_INTERFERENCEMODEL_H
#define TULIPWEIR_SRC_DECIDE_INTERFERENCEMODEL_H

#include "decide/PlacementHistory.h"
#include "tulipweir/decide/Planner.h"

#include <array>
#include <unordered_map>
#include <vector>

namespace tulipweir::decide {

/// Position of a service in the planner's tables.
using ServiceIndex = std::uint32_t;

/// A part of a service's range of load, lowest first.
using LoadBand = std::uint8_t;
constexpr LoadBand LoadBands = 4;
LoadBand getLoadBand(std::uint32_t LoadPercent);

/// How strongly a class slows a service.
struct ClassEffect {
  double Weight_ = 0;     ///< Slowdown, as a part, of a server full of it.
  double Confidence_ = 0; ///< 0 (a guess) to 1.
};

class InterferenceModel {
public:
  /// Learns from one sample. Loads is what ran when it was taken.
  /// TargetMicros bounds the first guess of the p99 alone; 0 without one.
  void learn(ServiceIndex Service, LoadBand Band, const ServiceSample &Sample,
             const ClassLoads &Loads, double TargetMicros);

  ClassEffect estimateEffect(ServiceIndex Service, ClassIndex Class,
                             LoadBand Band, TimePoint Now) const;
  /// The pair's largest learned weight over all bands; 0 if none is known.
  double getMaxWeight(ServiceIndex Service, ClassIndex Class) const;
  /// Added part of the service's p99 alone: 0.3 means 1.3 times as long.
  double predict(ServiceIndex Service, LoadBand Band, const ClassLoads &Loads,
                 TimePoint Now) const;
  /// The service's p99 alone on a server, in microseconds; 0 if unknown.
  double getBaselineMicros(ServiceIndex Service, LoadBand Band) const;

private:
  struct Pair {
    float Weight_ = 0;
    float Confidence_ = 0;
    TimePoint LearnedAt_;
  };
  struct Baseline {
    double Micros_ = 0;
    std::uint32_t Samples_ = 0;
  };

  const Pair *findPair(ServiceIndex Service, ClassIndex Class,
                       LoadBand Band) const;
  void updateBaseline(Baseline &Reference, double Micros, double Predicted,
                      bool IsAlone, double TargetMicros);
  void dropLeastConfident();

  std::unordered_map<std::uint64_t, Pair> Pairs_;
  std::vector<std::array<Baseline, LoadBands>> Baselines_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_INTERFERENCEMODEL_H
