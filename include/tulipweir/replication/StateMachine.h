//===- StateMachine.h - The interface of replicated state ------*- C++ -*-===//
//
// The state that all replicas of a group build from the same entries.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_STATEMACHINE_H
#define TULIPWEIR_REPLICATION_STATEMACHINE_H

#include "tulipweir/core/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace tulipweir::replication {

/// A committed entry, in the order of the log.
struct CommittedEntry {
  std::uint64_t Term_ = 0;
  std::uint64_t Index_ = 0;
  std::string_view Command_; ///< Valid during the call only.
};

/// Implementations are deterministic: the same entries in the same order give
/// the same state and results on every replica. The replica calls from one
/// thread at a time; an implementation that also answers queries needs its own
/// lock.
class StateMachine {
public:
  virtual ~StateMachine() = default;

  /// Applies the entry and returns the result for its proposer. A command that
  /// is rejected is a result, not an error: it changes nothing, in the same way
  /// on all replicas.
  virtual std::string apply(const CommittedEntry &Entry) = 0;

  /// Enclose the entries that are applied in one batch. After a restart the
  /// first batch is the whole log since the snapshot, so an implementation that
  /// must never expose an older state than before publishes nothing between the
  /// two calls. Results are returned to callers after endBatch.
  virtual void beginBatch() {}
  virtual void endBatch() {}

  /// Serializes the whole state.
  virtual std::string takeSnapshot() const = 0;

  /// Replaces the state with that of a snapshot. On failure the state is
  /// unchanged.
  virtual Outcome<void> restoreSnapshot(std::string_view Snapshot) = 0;
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_STATEMACHINE_H
