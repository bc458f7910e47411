//===- Executor.h - Where a piece of work runs -----------------*- C++ -*-===//
//
// Work posted to one Executor runs in order and never two pieces at once. The
// programs' is a strand on the network threads; tests drive one by hand.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_CORE_EXECUTOR_H
#define TULIPWEIR_CORE_EXECUTOR_H

#include "tulipweir/core/Time.h"

#include <functional>

namespace tulipweir {

/// Thread-safe.
class Executor {
public:
  virtual ~Executor() = default;
  /// Runs Task soon, after what was posted before.
  virtual void post(std::function<void()> Task) = 0;
  /// Posts Task once Delay has passed.
  virtual void postAfter(Duration Delay, std::function<void()> Task) = 0;
};

} // namespace tulipweir

#endif // TULIPWEIR_CORE_EXECUTOR_H
