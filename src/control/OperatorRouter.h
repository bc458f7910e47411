//===- OperatorRouter.h - Every path of the operators' API -----*- C++ -*-===//
//
// Hands an operator's call to the part of the API that knows its path.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_OPERATORROUTER_H
#define TULIPWEIR_SRC_CONTROL_OPERATORROUTER_H

#include "control/RouteTable.h"

#include <vector>

namespace tulipweir::control {

/// Thread-safe as far as its parts are. The parts must outlive it.
class OperatorRouter {
public:
  explicit OperatorRouter(std::vector<RouteSet *> Parts);
  /// Answers 404 for an unknown path and 405 for a wrong method.
  void handle(const wire::OperatorCall &Call, OperatorDone Done) const;

private:
  const std::vector<RouteSet *> Parts_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_OPERATORROUTER_H
