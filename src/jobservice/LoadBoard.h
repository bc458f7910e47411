//===- LoadBoard.h - The newest load status of a control --------*- C++ -*-===//
//
// The leader's strand publishes; pages and gauges read on any thread, so that
// they never wait for a busy leader.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_LOADBOARD_H
#define TULIPWEIR_SRC_JOBSERVICE_LOADBOARD_H

#include "tulipweir/jobs/LoadStatus.h"

#include <memory>
#include <mutex>

namespace tulipweir::jobservice {

/// Thread-safe.
class LoadBoard {
public:
  /// Returns the status that was published last; never null.
  std::shared_ptr<const jobs::LoadStatus> read() const {
    const std::lock_guard Hold(Lock_);
    return Newest_;
  }
  void publish(jobs::LoadStatus Status) {
    auto Next = std::make_shared<const jobs::LoadStatus>(std::move(Status));
    const std::lock_guard Hold(Lock_);
    Newest_ = std::move(Next);
  }

private:
  mutable std::mutex Lock_;
  std::shared_ptr<const jobs::LoadStatus> Newest_ =
      std::make_shared<const jobs::LoadStatus>();
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_LOADBOARD_H
