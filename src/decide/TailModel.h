//===- TailModel.h - How near services are to their targets ----*- C++ -*-===//
//
// Turns the learned interference into one figure per server. Headroom is by
// what part a service's p99 alone may grow until it meets its target; the
// pressure is the predicted growth as a part of that headroom. At 1 the target
// is expected to be met just so.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_TAILMODEL_H
#define TULIPWEIR_SRC_DECIDE_TAILMODEL_H

#include "decide/PlannerState.h"

namespace tulipweir::decide {

struct TailPressure {
  double Value_ = 0;
  double Confidence_ = 0;    ///< In the added class's effect; 1 without one.
  ServiceIndex Service_ = 0; ///< The one nearest to its target.
  bool HasService_ = false;
};

/// Which load of the services a prediction is made for.
enum class LoadExpectation : std::uint8_t {
  Current, ///< As last reported: for what can be taken back soon.
  Peak,    ///< The highest of late: for tasks that are to stay.
};

class TailModel {
public:
  explicit TailModel(const PlannerState &State) : State_(State) {}

  /// The pressure on a server as it is, or with a load added to it.
  TailPressure predictPressure(const ServerEntry &Server,
                               const ClassLoad *Added, LoadExpectation Expected,
                               TimePoint Now) const;
  /// The band to plan for: the highest one of the last ten minutes.
  static LoadBand getPlanningBand(const ServiceState &Service, TimePoint Now);
  /// By what part the service's p99 alone may grow.
  double computeHeadroom(const ServiceState &Service, LoadBand Band) const;
  /// The pressure up to which tasks are placed. The heavier the weight of
  /// the tail among all weights, and the more reports stand over their
  /// targets, the lower.
  double getPressureLimit(double Confidence) const;

private:
  const PlannerState &State_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_TAILMODEL_H
