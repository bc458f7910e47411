//===- ChangeFeed.h - Passes applied changes to the leader -----*- C++ -*-===//
//
// Passes the changes of applied commands to the current leadership. Costs one
// atomic load while this process does not lead.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_CHANGEFEED_H
#define TULIPWEIR_SRC_CONTROL_CHANGEFEED_H

#include "tulipweir/datacentre/DataCentreStateMachine.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <vector>

namespace tulipweir::control {

/// Thread-safe.
class ChangeFeed {
public:
  using Sink =
      std::function<void(std::uint64_t Index, std::vector<datacentre::Change>)>;

  /// Called on the applying thread, in log order.
  void publish(const datacentre::AppliedCommand &Applied) {
    if (!Open_.load(std::memory_order_acquire) || Applied.Changes_.empty())
      return;
    const std::lock_guard Lock(Mutex_);
    if (Sink_)
      Sink_(Applied.Index_, Applied.Changes_);
  }

  /// Sink receives all changes applied from now on; it must not block.
  void open(Sink To) {
    const std::lock_guard Lock(Mutex_);
    Sink_ = std::move(To);
    Open_.store(true, std::memory_order_release);
  }

  void close() {
    const std::lock_guard Lock(Mutex_);
    Open_.store(false, std::memory_order_release);
    Sink_ = nullptr;
  }

private:
  std::atomic<bool> Open_{false};
  std::mutex Mutex_;
  Sink Sink_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_CHANGEFEED_H
