//===- Results.h - Makes command results -----------------------*- C++ -*-===//
//
// Shorthands that the parts of the fleet's state share.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_FLEET_RESULTS_H
#define TULIPWEIR_SRC_FLEET_RESULTS_H

#include "tulipweir/core/Error.h"
#include "tulipweir/fleet/Commands.h"

#include <string>

namespace tulipweir::fleet {

/// A command that changed nothing, and why.
inline CommandResult refuse(ErrorCode Code, std::string Message) {
  CommandResult Result;
  Result.Error_ = std::string(getErrorName(Code));
  Result.Message_ = std::move(Message);
  return Result;
}

/// A command that took effect.
inline CommandResult confirm(std::string Message) {
  CommandResult Result;
  Result.Message_ = std::move(Message);
  return Result;
}

} // namespace tulipweir::fleet

#endif // TULIPWEIR_SRC_FLEET_RESULTS_H
