//===- Executor.h - Where a duty's work runs -------------------*- C++ -*-===//
//
// Work posted to one Executor runs in order and never two pieces at once. The
// program's is a strand on the network threads; tests drive one by hand.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_EXECUTOR_H
#define TULIPWEIR_SRC_CONTROL_EXECUTOR_H

#include "tulipweir/core/Time.h"
#include "tulipweir/net/IoPool.h"

#include <functional>
#include <memory>

namespace tulipweir::control {

/// Thread-safe.
class Executor {
public:
  virtual ~Executor() = default;
  /// Runs Task soon, after what was posted before.
  virtual void post(std::function<void()> Task) = 0;
  /// Posts Task once Delay has passed.
  virtual void postAfter(Duration Delay, std::function<void()> Task) = 0;
};

/// A strand on the pool's threads. The pool must outlive it.
class StrandExecutor final : public Executor {
public:
  explicit StrandExecutor(net::IoPool &Pool);
  ~StrandExecutor() override;
  void post(std::function<void()> Task) override;
  void postAfter(Duration Delay, std::function<void()> Task) override;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_EXECUTOR_H
