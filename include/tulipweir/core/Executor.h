//===- Executor.h - Where a piece of work runs -----------------*- C++ -*-===//
//
// Work posted to one Executor runs in order and never two pieces at once; only
// urgent work overtakes. The programs' is a strand on the network threads;
// tests drive one by hand.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_CORE_EXECUTOR_H
#define TULIPWEIR_CORE_EXECUTOR_H

#include "tulipweir/core/Time.h"

#include <functional>
#include <utility>

namespace tulipweir {

/// Thread-safe.
class Executor {
public:
  virtual ~Executor() = default;
  /// Runs Task soon, after what was posted before.
  virtual void post(std::function<void()> Task) = 0;
  /// Runs Task before all work that is not urgent and has not begun. For rare
  /// work that must not wait behind a backlog.
  virtual void postUrgent(std::function<void()> Task) { post(std::move(Task)); }
  /// Posts Task once Delay has passed.
  virtual void postAfter(Duration Delay, std::function<void()> Task) = 0;
};

} // namespace tulipweir

#endif // TULIPWEIR_CORE_EXECUTOR_H
