//===- FleetStateMachine.h - Replicated fleet state machine -----*- C++ -*-===//
//
// What a Replica of group "fleet" drives. Answers queries from any thread.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_FLEET_FLEETSTATEMACHINE_H
#define TULIPWEIR_FLEET_FLEETSTATEMACHINE_H

#include "tulipweir/fleet/FleetState.h"
#include "tulipweir/replication/StateMachine.h"
#include "tulipweir/wire/Messages.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tulipweir::fleet {

/// One open or ended job with its name.
struct NamedJob {
  JobId Job_;
  FleetJob Record_;
  bool operator==(const NamedJob &) const = default;
};

/// Thread-safe: one lock around the state.
class FleetStateMachine final : public replication::StateMachine {
public:
  /// Told each applied command and its result, on the replica's thread, outside
  /// the lock and after the batch that it is part of. It must not block.
  using AppliedListener =
      std::function<void(const Command &, const CommandResult &)>;
  /// Told that the state was replaced by a snapshot's.
  using RestoredListener = std::function<void()>;

  explicit FleetStateMachine(AppliedListener OnApplied = nullptr,
                             RestoredListener OnRestored = nullptr);

  // Called by the replica.

  std::string apply(const replication::CommittedEntry &Entry) override;
  /// Readers wait until the batch is over: the bundles of a replayed history
  /// are never shown.
  void beginBatch() override;
  void endBatch() override;
  std::string takeSnapshot() const override;
  Outcome<void> restoreSnapshot(std::string_view Snapshot) override;

  // Queries.

  /// As it travels to entries; nullopt before the first.
  std::optional<wire::SignedBundle> getInForce() const;
  /// The same, read; nullptr before the first.
  std::shared_ptr<const Bundle> getBundle() const;
  std::optional<AcceptedBundle> findBundle(BundleVersion Version) const;
  /// The newest first.
  std::vector<AcceptedBundle> listHistory(std::size_t Limit) const;
  std::optional<NamedJob> findJob(const JobId &Job) const;
  /// Open jobs that the data centre holds, at most Limit, from after After in
  /// the order of names.
  std::vector<NamedJob> listHeld(const DataCentreId &DataCentre,
                                 std::size_t Limit,
                                 const JobId &After = {}) const;
  std::vector<NamedJob> listUnassigned(std::size_t Limit) const;
  /// All kept jobs in the order of names, from after After.
  std::vector<NamedJob> listJobs(std::size_t Limit,
                                 const JobId &After = {}) const;

  /// Calls Reader with the state under the lock and returns its answer.
  /// Reader must be short and keep no reference.
  template <class Reader> auto read(Reader &&Function) const {
    const std::lock_guard Lock(Mutex_);
    return Function(static_cast<const FleetState &>(State_));
  }

private:
  struct AppliedCommand {
    Command Command_;
    CommandResult Result_;
  };

  CommandResult applyLocked(const Command &Value);

  AppliedListener OnApplied_;
  RestoredListener OnRestored_;
  mutable std::mutex Mutex_;
  /// Only the replica's thread uses these two.
  std::unique_lock<std::mutex> Batch_{Mutex_, std::defer_lock};
  std::vector<AppliedCommand> PendingNotifications_;
  FleetState State_;
  std::shared_ptr<const Bundle> Bundle_;
};

} // namespace tulipweir::fleet

#endif // TULIPWEIR_FLEET_FLEETSTATEMACHINE_H
