//===- BundleHistory.h - History of accepted bundles -----------*- C++ -*-===//
//
// The history grows by one record for each accepted bundle. The version, digest
// and time of every bundle are kept for ever (48 bytes per bundle), notes and
// signers for the last 10,000 (a month at 320 a day), full texts for the
// last 50.
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
  std::uint64_t WallMs_ = 0;         ///< Time of acceptance.
  std::string Text_; ///< Empty beyond the last MaxTexts bundles.
  bool operator==(const AcceptedBundle &) const = default;
};

/// The part of a record that is kept for ever.
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
  /// Restores a history from a snapshot; both lists are sorted by version.
  BundleHistory(std::vector<ArchivedBundle> Archive,
                std::deque<AcceptedBundle> Recent)
      : Archive_(std::move(Archive)), Recent_(std::move(Recent)) {}

  /// Appends a bundle whose version must be higher than all others.
  void append(AcceptedBundle Accepted);

  /// Returns the bundle in force, or nullptr before the first.
  const AcceptedBundle *latest() const;
  std::optional<AcceptedBundle> findVersion(BundleVersion Version) const;
  /// Searches only the bundles that are not archived.
  const AcceptedBundle *findDigest(const Digest &BundleDigest) const;
  /// Returns at most Limit bundles, the newest first.
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
