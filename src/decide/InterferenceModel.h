//===- InterferenceModel.h - Effect of tasks on services -------*- C++ -*-===//
//
// Learns one weight for each service, job class and load band: the relative
// growth of the service's p99 on a server full of that class. The prediction
// is the sum of weight x load over the classes on the server. Each sample is
// compared with the prediction for the loads at the time when it was taken,
// and the error is distributed over those classes (normalised least mean
// squares). The confidence in a weight decays with a half-life.
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

/// Index of a service in the planner's tables.
using ServiceIndex = std::uint32_t;

/// A range of a service's load; 0 is the lowest.
using LoadBand = std::uint8_t;
constexpr LoadBand LoadBands = 4;
LoadBand getLoadBand(std::uint32_t LoadPercent);

/// The estimated effect of a job class on a service.
struct ClassEffect {
  double Weight_ = 0;     ///< Relative slowdown when the class fills a server.
  double Confidence_ = 0; ///< 0 (default value) to 1.
};

class InterferenceModel {
public:
  /// Learns from one sample. Loads holds the class loads at the time of the
  /// sample. TargetMicros bounds the first baseline estimate; 0 if there is no
  /// target.
  void learn(ServiceIndex Service, LoadBand Band, const ServiceSample &Sample,
             const ClassLoads &Loads, double TargetMicros);

  ClassEffect estimateEffect(ServiceIndex Service, ClassIndex Class,
                             LoadBand Band, TimePoint Now) const;
  /// Returns the pair's largest learned weight over all bands; 0 if there is
  /// none.
  double getMaxWeight(ServiceIndex Service, ClassIndex Class) const;
  /// Returns the predicted growth of the service's p99 relative to its
  /// baseline: 0.3 means 1.3 times as long.
  double predict(ServiceIndex Service, LoadBand Band, const ClassLoads &Loads,
                 TimePoint Now) const;
  /// Returns the service's p99 without tasks in microseconds; 0 if unknown.
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
                      bool HasNoTasks, double TargetMicros);
  void dropLeastConfident();

  std::unordered_map<std::uint64_t, Pair> Pairs_;
  std::vector<std::array<Baseline, LoadBands>> Baselines_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_INTERFERENCEMODEL_H
