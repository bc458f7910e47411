//===- OperatorRouter.h - Dispatcher of the operator API -------*- C++ -*-===//
//
// Passes an operator's call to the route set that knows its path.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_OPERATORROUTER_H
#define TULIPWEIR_SRC_CONTROL_OPERATORROUTER_H

#include "control/RouteTable.h"

#include <vector>

namespace tulipweir::control {

/// Thread-safe if its route sets are. They must outlive the router.
class OperatorRouter {
public:
  explicit OperatorRouter(std::vector<RouteSet *> Parts);
  /// Replies 404 for an unknown path and 405 for a method that the path does
  /// not support.
  void handle(const wire::OperatorCall &Call, OperatorDone Done) const;

private:
  const std::vector<RouteSet *> Parts_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_OPERATORROUTER_H
