//===- DataCentreStateMachine.h - Data centre state machine -----*- C++ -*-===//
//
// Implements replication::StateMachine on top of DataCentreState. Adds a lock,
// queries for other threads and notifications of applied commands.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DATACENTRE_DATACENTRESTATEMACHINE_H
#define TULIPWEIR_DATACENTRE_DATACENTRESTATEMACHINE_H

#include "tulipweir/datacentre/DataCentreState.h"
#include "tulipweir/replication/StateMachine.h"

#include <functional>
#include <shared_mutex>
#include <vector>

namespace tulipweir::datacentre {

/// A committed command with its result and effects.
struct AppliedCommand {
  std::uint64_t Term_ = 0;
  std::uint64_t Index_ = 0;
  const Command &Command_;
  const CommandResult &Result_;
  const std::vector<Change> &Changes_;
};

/// Thread-safe. apply and restoreSnapshot are called by one thread at a time.
class DataCentreStateMachine final : public replication::StateMachine {
public:
  /// Called for each applied command in log order, on the applying thread and
  /// without the lock. The listener may call withState, but the state that
  /// other threads see may already be ahead of this command. The listener must
  /// not block.
  using AppliedListener = std::function<void(const AppliedCommand &)>;
  /// Called after a snapshot replaced the state. Listeners must rebuild
  /// everything that they derived from earlier changes, with withStateAndIndex
  /// and listChanges.
  using RestoredListener = std::function<void()>;

  /// Either listener may be empty.
  explicit DataCentreStateMachine(const RecordLimits &Limits,
                                  AppliedListener OnApplied = {},
                                  RestoredListener OnRestored = {});

  // Commands.

  std::string apply(const replication::CommittedEntry &Entry) override;
  Outcome<void> restoreSnapshot(std::string_view Snapshot) override;

  // Queries.

  std::string takeSnapshot() const override;

  /// Calls Callback with the state, which does not change during the call.
  /// Callback must be short and must not call this object.
  void
  withState(const std::function<void(const DataCentreState &)> &Callback) const;

  /// Like withState, and also passes the index of the last applied command. A
  /// listener that rebuilds its derived state ignores notifications up to that
  /// index. After a restore the index is 0 until the next command, because
  /// snapshots do not contain it.
  void withStateAndIndex(
      const std::function<void(const DataCentreState &, std::uint64_t)>
          &Callback) const;

private:
  const RecordLimits Limits_;
  const AppliedListener OnApplied_;
  const RestoredListener OnRestored_;
  mutable std::shared_mutex Mutex_;
  DataCentreState State_;          ///< Guarded by Mutex_.
  std::uint64_t AppliedIndex_ = 0; ///< Guarded by Mutex_.
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_DATACENTRESTATEMACHINE_H
