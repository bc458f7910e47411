//===- TailModel.h - Predicted p99 relative to the targets -----*- C++ -*-===//
//
// Turns the learned interference into one figure per server. The headroom is
// the part by which a service's p99 without tasks may grow until it reaches
// its target. The pressure is the predicted growth relative to that headroom:
// at 1 the service is expected to just meet its target.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_TAILMODEL_H
#define TULIPWEIR_SRC_DECIDE_TAILMODEL_H

#include "decide/PlannerState.h"

namespace tulipweir::decide {

struct TailPressure {
  double Value_ = 0;
  /// Confidence in the effect of the added class; 1 without one.
  double Confidence_ = 0;
  ServiceIndex Service_ = 0; ///< The service with the highest pressure.
  bool HasService_ = false;
};

/// The load of the services for which a prediction is made.
enum class LoadExpectation : std::uint8_t {
  Current, ///< The last reported load, for changes that can soon be undone.
  Peak,    ///< The highest recent load, for tasks that stay.
};

class TailModel {
public:
  explicit TailModel(const PlannerState &State) : State_(State) {}

  /// Returns the pressure on a server, with Added to its load unless it is
  /// null.
  TailPressure predictPressure(const ServerEntry &Server,
                               const ClassLoad *Added, LoadExpectation Expected,
                               TimePoint Now) const;
  /// Returns the band to plan for: the highest one of the last ten minutes.
  static LoadBand getPlanningBand(const ServiceState &Service, TimePoint Now);
  /// Returns the part by which the service's p99 without tasks may grow.
  double computeHeadroom(const ServiceState &Service, LoadBand Band) const;
  /// Returns the pressure up to which tasks are placed. It decreases with the
  /// weight of the tail among all weights and with the part of reports over
  /// their targets.
  double getPressureLimit(double Confidence) const;

private:
  const PlannerState &State_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_TAILMODEL_H
