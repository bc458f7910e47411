//===- RetryAfter.h - When rejected callers return --------------*- C++ -*-===//
//
// Callers that are rejected in one second must not return in one second, or
// they meet the same overload. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_CORE_RETRYAFTER_H
#define TULIPWEIR_CORE_RETRYAFTER_H

#include "tulipweir/core/Time.h"

#include <string_view>

namespace tulipweir {

/// Returns a time from Earliest up to, but not including, Earliest + Spread.
/// The same caller always gets the same part of the spread; callers are spread
/// evenly.
Duration spreadRetryAfter(Duration Earliest, Duration Spread,
                          std::string_view Caller);

} // namespace tulipweir

#endif // TULIPWEIR_CORE_RETRYAFTER_H
