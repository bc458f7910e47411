//===- BundleKeeper.h - The bundle that a control acts by ------*- C++ -*-===//
//
// What a control shows, hands to entries and decides by. Its version only
// rises, over restarts too: a newer bundle is on disk before anybody gets it,
// and the file is read before the log is, which may begin with an older
// snapshot.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_BUNDLEKEEPER_H
#define TULIPWEIR_SRC_CONTROL_BUNDLEKEEPER_H

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

/// One bundle, as accepted and read. From a file, signers and time of
/// acceptance are missing until the log tells them.
struct KeptBundle {
  fleet::AcceptedBundle Accepted_;
  std::shared_ptr<const fleet::Bundle> Bundle_;
};

struct KeeperCounters {
  net::Counter &Damaged_;      ///< Files that could not be used at a start.
  net::Counter &WritesFailed_; ///< Tries, repeated ones included.
  net::Counter &Refused_;      ///< Contradict the held one, or do not check.
  static KeeperCounters makeFor(net::Metrics &From);
};

/// Thread-safe. Files are written on the strand.
class BundleKeeper {
public:
  using Latest = std::function<std::optional<fleet::AcceptedBundle>()>;
  using Taken = std::function<void(const fleet::AcceptedBundle &)>;

  /// FindLatest gives the log's newest bundle. OnTaken is told, on the strand,
  /// each one that is newer than those before. File is nullptr where nothing
  /// is kept on disk, and outlives this; it is read here, so that no older
  /// bundle can replace it; without a usable one, nothing is held.
  BundleKeeper(BundleFile *File, Executor &Strand, Latest FindLatest,
               Taken OnTaken, const KeeperCounters &Counters);

  // Commands.

  /// The log's newest bundle may have changed. Never blocks.
  void noteChanged();
  /// Runs Next after the changes noted so far were dealt with.
  void afterChanges(std::function<void()> Next) {
    Strand_.post(std::move(Next));
  }

  // Queries.

  /// nullptr before the first.
  std::shared_ptr<const KeptBundle> get() const;
  std::shared_ptr<const fleet::Bundle> getBundle() const;
  /// As it travels to entries.
  std::optional<wire::SignedBundle> getInForce() const;
  /// Zero before the first.
  BundleVersion getVersion() const;
  /// The accepted one that could not be written yet; zero if none.
  BundleVersion getUnwritten() const;

private:
  void load();
  void review();
  void complete(const fleet::AcceptedBundle &Value);
  bool write(const wire::SignedBundle &Value);
  void noteRefused(BundleVersion Version, const std::string &Why);
  void set(std::shared_ptr<const KeptBundle> Value);

  BundleFile *const File_;
  Executor &Strand_;
  const Latest FindLatest_;
  const Taken OnTaken_;
  const KeeperCounters Counters_;
  bool RetryPlanned_ = false;   ///< Used on the strand only.
  BundleVersion LatestRefused_; ///< The same; it is logged once.
  mutable std::mutex Mutex_;
  std::shared_ptr<const KeptBundle> Kept_;
  BundleVersion Unwritten_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_BUNDLEKEEPER_H
