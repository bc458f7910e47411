//===- Results.h - Helpers for command results -----------------*- C++ -*-===//
//
// Shared by the registries of the fleet's state.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_FLEET_RESULTS_H
#define TULIPWEIR_SRC_FLEET_RESULTS_H

#include "tulipweir/core/Error.h"
#include "tulipweir/fleet/Commands.h"

#include <string>

namespace tulipweir::fleet {

/// Returns the result of a command that changed nothing, with the reason.
inline CommandResult refuse(ErrorCode Code, std::string Message) {
  CommandResult Result;
  Result.Error_ = std::string(getErrorName(Code));
  Result.Message_ = std::move(Message);
  return Result;
}

/// Returns the result of a command that took effect.
inline CommandResult confirm(std::string Message) {
  CommandResult Result;
  Result.Message_ = std::move(Message);
  return Result;
}

} // namespace tulipweir::fleet

#endif // TULIPWEIR_SRC_FLEET_RESULTS_H
