//===- OperatorErrors.h - Errors of the operator API -----------*- C++ -*-===//
//
// Converts errors and stable error names to HTTP statuses and JSON.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_OPERATORERRORS_H
#define TULIPWEIR_SRC_CONTROL_OPERATORERRORS_H

#include "tulipweir/core/Error.h"
#include "tulipweir/wire/Messages.h"

#include <string>
#include <string_view>

namespace tulipweir::control {

/// Returns the HTTP status for a stable error name; 500 for an unknown one.
std::uint32_t getErrorStatus(std::string_view ErrorName);

/// Returns {"error", "message"} with the status that belongs to the name.
wire::OperatorAnswer makeErrorAnswer(std::string_view ErrorName,
                                     const std::string &Message);
wire::OperatorAnswer makeErrorAnswer(const Error &Value);

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_OPERATORERRORS_H
