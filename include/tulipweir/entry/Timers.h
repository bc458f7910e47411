//===- Timers.h - Calling back later ---------------------------*- C++ -*-===//
//
// What the request path needs of timers, so that tests drive them by hand.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_TIMERS_H
#define TULIPWEIR_ENTRY_TIMERS_H

#include "tulipweir/core/Time.h"

#include <functional>

namespace tulipweir::entry {

/// Implementations are thread-safe.
class Timers {
public:
  virtual ~Timers() = default;
  /// Calls Task once, Delay from now, on any thread; never from inside here.
  virtual void runAfter(Duration Delay, std::function<void()> Task) = 0;
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_TIMERS_H
