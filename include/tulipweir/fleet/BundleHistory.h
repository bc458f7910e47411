//===- BundleHistory.h - Every bundle that was accepted --------*- C++ -*-===//
//
// Grows by one record for each accepted bundle and never changes one. Full
// texts are kept for the last 50, notes and signers for the last 10,000 (a
// month at 320 a day), version, digest and time for all (48 bytes each).
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_FLEET_BUNDLEHISTORY_H
#define TULIPWEIR_FLEET_BUNDLEHISTORY_H

#include "tulipweir/core/Ids.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace tulipweir::fleet {

struct AcceptedBundle {
  BundleVersion Version_;
  Digest Digest_;
  BundleVersion ParentVersion_;
  std::string Note_;                 ///< Empty once archived.
  std::vector<OperatorId> SignedBy_; ///< Empty once archived.
  std::uint64_t WallMs_ = 0;         ///< When it was accepted.
  std::string Text_;                 ///< Empty beyond the last 50.
  bool operator==(const AcceptedBundle &) const = default;
};

/// What stays of a bundle for ever.
struct ArchivedBundle {
  std::uint64_t Version_ = 0;
  std::uint64_t WallMs_ = 0;
  std::array<std::uint8_t, 32> Digest_{};
  bool operator==(const ArchivedBundle &) const = default;
};

/// Not thread-safe.
class BundleHistory {
public:
  static constexpr std::size_t MaxTexts = 50;
  static constexpr std::size_t MaxDetailedRecords = 10'000;

  BundleHistory() = default;
  /// From a snapshot; both in rising order of versions.
  BundleHistory(std::vector<ArchivedBundle> Archive,
                std::deque<AcceptedBundle> Recent)
      : Archive_(std::move(Archive)), Recent_(std::move(Recent)) {}

  /// Its version must be above all others.
  void append(AcceptedBundle Accepted);

  /// The bundle in force, or nullptr before the first.
  const AcceptedBundle *latest() const;
  std::optional<AcceptedBundle> findVersion(BundleVersion Version) const;
  /// Among those with details only.
  const AcceptedBundle *findDigest(const Digest &Value) const;
  /// The newest first, at most Limit.
  std::vector<AcceptedBundle> list(std::size_t Limit) const;
  std::size_t size() const { return Archive_.size() + Recent_.size(); }

  const std::vector<ArchivedBundle> &archive() const { return Archive_; }
  const std::deque<AcceptedBundle> &recent() const { return Recent_; }
  bool operator==(const BundleHistory &) const = default;

private:
  std::vector<ArchivedBundle> Archive_;
  std::deque<AcceptedBundle> Recent_;
};

} // namespace tulipweir::fleet

#endif // TULIPWEIR_FLEET_BUNDLEHISTORY_H
