//===- JobStateMachine.h - Job registry on a replicated log ----*- C++ -*-===//
//
// Applies the committed log entries of a replica to a JobRegistry under a
// lock.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_JOBSTATEMACHINE_H
#define TULIPWEIR_JOBS_JOBSTATEMACHINE_H

#include "tulipweir/jobs/JobRegistry.h"
#include "tulipweir/replication/StateMachine.h"

#include <mutex>

namespace tulipweir::jobs {

/// Thread-safe.
class JobStateMachine final : public replication::StateMachine {
public:
  std::string apply(const replication::CommittedEntry &Entry) override;
  std::string takeSnapshot() const override;
  Outcome<void> restoreSnapshot(std::string_view Snapshot) override;

  /// Calls Reader with the registry while holding the lock. Reader must not
  /// keep references to it.
  template <class Function> auto read(Function Reader) const {
    const std::lock_guard Hold(Lock_);
    return Reader(Registry_);
  }

private:
  mutable std::mutex Lock_;
  JobRegistry Registry_; ///< Guarded by Lock_.
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_JOBSTATEMACHINE_H
