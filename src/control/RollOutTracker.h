//===- RollOutTracker.h - Which bundle each entry acts by ------*- C++ -*-===//
//
// Versions that the entries of a data centre reported to its leader, and how
// long the last bundle took until all of them held it.
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
  std::uint64_t AgeMs_ = 0; ///< Since its last report.
  bool operator==(const EntryVersion &) const = default;
};

/// The latest bundle that all entries of a data centre came to hold.
struct RollOut {
  BundleVersion Version_;
  std::uint64_t TookMs_ = 0; ///< From its acceptance, by wall clocks.
  bool operator==(const RollOut &) const = default;
};

/// Thread-safe.
class RollOutTracker {
public:
  explicit RollOutTracker(const Clock &Time) : Time_(Time) {}

  // Commands.

  void noteAccepted(BundleVersion Version, std::uint64_t AcceptedWallMs);
  void noteEntry(const EntryId &Entry, std::uint64_t Incarnation,
                 BundleVersion Held);
  void forgetEntry(const EntryId &Entry);
  /// Forgets all entries: they report to another leader now.
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
