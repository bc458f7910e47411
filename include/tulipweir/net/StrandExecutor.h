//===- StrandExecutor.h - An executor on network threads -------*- C++ -*-===//
//
// The programs' Executor.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_NET_STRANDEXECUTOR_H
#define TULIPWEIR_NET_STRANDEXECUTOR_H

#include "tulipweir/core/Executor.h"
#include "tulipweir/net/IoPool.h"

#include <memory>

namespace tulipweir::net {

/// A strand on the pool's threads. The pool must outlive it.
class StrandExecutor final : public Executor {
public:
  explicit StrandExecutor(IoPool &Pool);
  ~StrandExecutor() override;
  void post(std::function<void()> Task) override;
  void postUrgent(std::function<void()> Task) override;
  void postAfter(Duration Delay, std::function<void()> Task) override;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace tulipweir::net

#endif // TULIPWEIR_NET_STRANDEXECUTOR_H
