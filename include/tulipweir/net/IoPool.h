//===- IoPool.h - Threads that run the network -----------------*- C++ -*-===//
//
// One io_context and the threads that run it.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_NET_IOPOOL_H
#define TULIPWEIR_NET_IOPOOL_H

#include "tulipweir/core/Time.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace tulipweir::net {

class IoPool {
public:
  explicit IoPool(unsigned Threads);
  /// Stops and joins.
  ~IoPool();
  IoPool(const IoPool &) = delete;
  IoPool &operator=(const IoPool &) = delete;

  boost::asio::io_context &context();
  /// Runs Task once after Delay on one of the threads.
  void runAfter(Duration Delay, std::function<void()> Task);
  /// Runs Task every Period until the pool stops; never overlapping itself.
  void runEvery(Duration Period, std::function<void()> Task);
  /// Ends the threads; pending work is dropped.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace tulipweir::net

#endif // TULIPWEIR_NET_IOPOOL_H
