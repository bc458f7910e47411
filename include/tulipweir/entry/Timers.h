//===- Timers.h - Timer interface ------------------------------*- C++ -*-===//
//
// Declares the timers that the request path uses, so that tests can control
// them.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_TIMERS_H
#define TULIPWEIR_ENTRY_TIMERS_H

#include "tulipweir/core/Time.h"

#include <functional>

namespace tulipweir::entry {

/// Runs tasks after a delay. Implementations are thread-safe.
class Timers {
public:
  virtual ~Timers() = default;
  /// Calls Task once after Delay on any thread, never from within this call.
  virtual void runAfter(Duration Delay, std::function<void()> Task) = 0;
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_TIMERS_H
