//===- FleetStateMachine.h - Replicated fleet state machine ----*- C++ -*-===//
//
// The state machine that a Replica of the group "fleet" drives. Queries may
// come from any thread.
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

/// An open or ended job with its name.
struct NamedJob {
  JobId Job_;
  FleetJob Record_;
  bool operator==(const NamedJob &) const = default;
};

/// Thread-safe; one mutex guards the state.
class FleetStateMachine final : public replication::StateMachine {
public:
  /// Called with each applied command and its result, on the replica's thread,
  /// without the lock and after the command's batch. It must not block.
  using AppliedListener =
      std::function<void(const Command &, const CommandResult &)>;
  /// Called after a snapshot has replaced the state.
  using RestoredListener = std::function<void()>;

  explicit FleetStateMachine(AppliedListener OnApplied = nullptr,
                             RestoredListener OnRestored = nullptr);

  // Called by the replica.

  std::string apply(const replication::CommittedEntry &Entry) override;
  /// Blocks readers until the end of the batch, so that they never see the
  /// earlier bundles of a replayed log.
  void beginBatch() override;
  void endBatch() override;
  std::string takeSnapshot() const override;
  Outcome<void> restoreSnapshot(std::string_view Snapshot) override;

  // Queries.

  /// Returns the bundle in force as it is sent to entries; nullopt before the
  /// first.
  std::optional<wire::SignedBundle> getInForce() const;
  /// Returns the parsed bundle in force; nullptr before the first.
  std::shared_ptr<const Bundle> getBundle() const;
  std::optional<AcceptedBundle> findBundle(BundleVersion Version) const;
  /// Returns at most Limit accepted bundles, the newest first.
  std::vector<AcceptedBundle> listHistory(std::size_t Limit) const;
  std::optional<NamedJob> findJob(const JobId &Job) const;
  /// Returns at most Limit open jobs that the data centre holds, sorted by
  /// name, starting after After.
  std::vector<NamedJob> listHeld(const DataCentreId &DataCentre,
                                 std::size_t Limit,
                                 const JobId &After = {}) const;
  std::vector<NamedJob> listUnassigned(std::size_t Limit) const;
  /// Returns at most Limit open and ended jobs, sorted by name, starting after
  /// After.
  std::vector<NamedJob> listJobs(std::size_t Limit,
                                 const JobId &After = {}) const;

  /// Calls Function with the state under the lock and returns its result.
  /// Function must be short and keep no reference to the state.
  template <class Reader> auto read(Reader &&Function) const {
    const std::lock_guard Lock(Mutex_);
    return Function(static_cast<const FleetState &>(State_));
  }

private:
  struct AppliedCommand {
    Command Command_;
    CommandResult Result_;
  };

  CommandResult applyLocked(const Command &Request);

  AppliedListener OnApplied_;
  RestoredListener OnRestored_;
  mutable std::mutex Mutex_;
  /// Only the replica's thread uses Batch_ and PendingNotifications_.
  std::unique_lock<std::mutex> Batch_{Mutex_, std::defer_lock};
  std::vector<AppliedCommand> PendingNotifications_;
  FleetState State_;
  std::shared_ptr<const Bundle> Bundle_;
};

} // namespace tulipweir::fleet

#endif // TULIPWEIR_FLEET_FLEETSTATEMACHINE_H
