//===- DataCentreStateMachine.h - Data centre state machine -----*- C++ -*-===//
//
// Puts DataCentreState behind replication::StateMachine, with a lock of its
// own, queries for other threads and a feed of what was applied.
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

/// One committed command with its effects.
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
  /// Told of each applied command, in the log's order, on the applying thread
  /// and without the lock held: it may call withState, but the state may then
  /// be ahead of it on other threads. It must not block.
  using AppliedListener = std::function<void(const AppliedCommand &)>;
  /// Told that the state was replaced by a snapshot; whatever was derived from
  /// earlier changes must be rebuilt from withStateAndIndex + listChanges.
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

  /// Calls Use with the state, which stays as it is during the call. Use must
  /// be short and must not call this machine.
  void
  withState(const std::function<void(const DataCentreState &)> &Callback) const;

  /// The same with the index of the last command applied: a listener that
  /// rebuilds itself ignores fed commands up to that index. After a restore
  /// the index is 0 until the next command, as snapshots do not carry it.
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
