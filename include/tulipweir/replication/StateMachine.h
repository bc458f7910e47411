//===- StateMachine.h - What a replicated log drives -----------*- C++ -*-===//
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

/// Deterministic: the same entries in the same order give the same state and
/// results on every replica. The replica calls it from one thread at a time;
/// an implementation that also answers queries brings its own lock.
class StateMachine {
public:
  virtual ~StateMachine() = default;

  /// Applies the entry and returns the result for whoever proposed it. A
  /// command that is not allowed is a result, not an error: it changes
  /// nothing, the same on all replicas.
  virtual std::string apply(const CommittedEntry &Entry) = 0;

  /// Called around the entries that are applied in one go. After a restart
  /// that is the whole history since the snapshot: whoever must never show an
  /// older state than before shows nothing in between. Results go out after
  /// endBatch.
  virtual void beginBatch() {}
  virtual void endBatch() {}

  /// The whole state as bytes.
  virtual std::string takeSnapshot() const = 0;

  /// Replaces the state by that of a snapshot; on failure it is unchanged.
  virtual Outcome<void> restoreSnapshot(std::string_view Snapshot) = 0;
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_STATEMACHINE_H
