//===- BundleStore.h - The bundle in force ---------------------*- C++ -*-===//
//
// Holds the bundle that a control process shows, sends to entries and applies.
// Its version never decreases, not even across restarts: a newer bundle is
// persisted before it is published, and the file is read before the log, which
// may start with an older snapshot.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_BUNDLESTORE_H
#define TULIPWEIR_SRC_CONTROL_BUNDLESTORE_H

#include "control/BundleFile.h"
#include "tulipweir/core/Executor.h"
#include "tulipweir/fleet/ActiveBundle.h"
#include "tulipweir/fleet/BundleHistory.h"
#include "tulipweir/net/Metrics.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace tulipweir::control {

/// A parsed bundle and its acceptance. For a bundle from a file, the signers
/// and the time of acceptance are missing until the log provides them.
struct StoredBundle {
  fleet::AcceptedBundle Accepted_;
  std::shared_ptr<const fleet::Bundle> Bundle_;
};

struct BundleStoreCounters {
  net::Counter &Damaged_;      ///< Files that could not be used at startup.
  net::Counter &WritesFailed_; ///< Failed writes, including retries.
  net::Counter
      &Refused_; ///< Bundles that are invalid or conflict with the current one.
  static BundleStoreCounters makeFor(net::Metrics &Registry);
};

/// Thread-safe. Files are written on the strand.
class BundleStore {
public:
  using FindLatestBundle =
      std::function<std::optional<fleet::AcceptedBundle>()>;
  using UpdateCallback = std::function<void(const fleet::AcceptedBundle &)>;

  /// FindLatest returns the newest bundle of the log. OnUpdate is called on the
  /// strand for each bundle that is newer than all earlier ones. File is
  /// nullptr if nothing is kept on disk; otherwise it must outlive this object.
  /// The file is read by the constructor, so that no older bundle can replace
  /// its content; if it is unusable, there is no current bundle.
  BundleStore(BundleFile *File, Executor &Strand, FindLatestBundle FindLatest,
              UpdateCallback OnUpdate, const BundleStoreCounters &Counters);

  // Commands.

  /// Checks on the strand whether the log has a newer bundle. Never blocks.
  void scheduleUpdate();
  /// Runs Next on the strand after all updates scheduled so far.
  void runAfterUpdates(std::function<void()> Next) {
    Strand_.post(std::move(Next));
  }

  // Queries.

  /// Returns nullptr before the first bundle.
  std::shared_ptr<const StoredBundle> get() const;
  std::shared_ptr<const fleet::Bundle> getBundle() const;
  /// Returns the current bundle in the form sent to entries.
  std::optional<wire::SignedBundle> getInForce() const;
  /// Returns zero before the first bundle.
  BundleVersion getVersion() const;
  /// Returns the version of an accepted bundle that is not persisted yet; zero
  /// if there is none.
  BundleVersion getUnwrittenVersion() const;

private:
  void load();
  void update();
  void addAcceptanceDetails(const fleet::AcceptedBundle &NewBundle);
  bool persist(const wire::SignedBundle &NewBundle);
  void recordRefusal(BundleVersion Version, const std::string &Reason);
  void setCurrent(std::shared_ptr<const StoredBundle> NewBundle);

  BundleFile *const File_;
  Executor &Strand_;
  const FindLatestBundle FindLatest_;
  const UpdateCallback OnUpdate_;
  const BundleStoreCounters Counters_;
  bool RetryScheduled_ = false;      ///< Used on the strand only.
  BundleVersion LastRefusedVersion_; ///< Used on the strand only; avoids
                                     ///< repeated log lines.
  mutable std::mutex Mutex_;
  std::shared_ptr<const StoredBundle> Current_;
  BundleVersion UnwrittenVersion_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_BUNDLESTORE_H
