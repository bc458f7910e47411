//===- RollOutTracker.h - Bundle versions of entries -----------*- C++ -*-===//
//
// Keeps the bundle versions that entries reported to the data centre's leader,
// and the time until all of them held the last bundle.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_ROLLOUTTRACKER_H
#define TULIPWEIR_SRC_CONTROL_ROLLOUTTRACKER_H

#include "tulipweir/core/Ids.h"
#include "tulipweir/core/Time.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <vector>

namespace tulipweir::control {

struct EntryVersion {
  EntryId Entry_;
  std::uint64_t Incarnation_ = 0;
  BundleVersion Held_;
  std::uint64_t AgeMs_ = 0; ///< Time since its last report.
  bool operator==(const EntryVersion &) const = default;
};

/// The latest bundle that all entries of a data centre hold.
struct RollOut {
  BundleVersion Version_;
  std::uint64_t DurationMs_ =
      0; ///< From acceptance until all held it, by wall clocks.
  bool operator==(const RollOut &) const = default;
};

/// Thread-safe.
class RollOutTracker {
public:
  explicit RollOutTracker(const Clock &Time) : Time_(Time) {}

  // Commands.

  void recordAccepted(BundleVersion Version, std::uint64_t AcceptedWallMs);
  void recordEntry(const EntryId &Entry, std::uint64_t Incarnation,
                   BundleVersion Held);
  void removeEntry(const EntryId &Entry);
  /// Removes all entries, which now report to another leader.
  void clear();

  // Queries.

  std::vector<EntryVersion> listEntries() const;
  RollOut getLast() const;

private:
  struct Report {
    std::uint64_t Incarnation_ = 0;
    BundleVersion Held_;
    TimePoint At_{};
  };
  void checkComplete();

  const Clock &Time_;
  mutable std::mutex Mutex_;
  std::map<EntryId, Report> Entries_;
  BundleVersion Accepted_;
  std::uint64_t AcceptedWallMs_ = 0;
  RollOut Last_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_ROLLOUTTRACKER_H
