//===- BundleRegistry.h - Bundle proposals and sign-offs -------*- C++ -*-===//
//
// The bundles in the fleet's replicated state. A bundle is accepted once k
// operators named by the bundle in force have signed it, and only while its
// parent is in force. Exactly one of several bundles with the same version is
// therefore accepted, and versions never decrease. All operations are
// deterministic.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_FLEET_BUNDLEREGISTRY_H
#define TULIPWEIR_FLEET_BUNDLEREGISTRY_H

#include "tulipweir/fleet/Bundle.h"
#include "tulipweir/fleet/BundleHistory.h"
#include "tulipweir/fleet/Commands.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace tulipweir::fleet {

/// A checked proposal that still needs sign-offs. Its parent is in force.
struct ProposedBundle {
  BundleVersion Version_;
  std::string Text_;
  std::vector<SignOff> SignOffs_; ///< Verified; the proposer's comes first.
  std::uint64_t Sequence_ = 0;    ///< Orders proposals by age.
  bool operator==(const ProposedBundle &) const = default;
};

/// A proposal that can no longer be accepted. It is kept so that later
/// sign-offs can be answered with the bundle that was accepted instead.
struct SupersededBundle {
  Digest Digest_;
  BundleVersion Version_;
  bool operator==(const SupersededBundle &) const = default;
};

/// Not thread-safe.
class BundleRegistry {
public:
  /// Open proposals per operator; a new one evicts the oldest.
  static constexpr std::size_t MaxProposalsPerOperator = 4;
  static constexpr std::size_t MaxSuperseded = 1000;

  // Commands.

  CommandResult propose(const ProposeBundle &Request);
  CommandResult sign(const SignBundle &Request);

  // Queries.

  const BundleHistory &history() const { return History_; }
  const std::map<Digest, ProposedBundle> &proposals() const {
    return Proposals_;
  }
  const std::deque<SupersededBundle> &superseded() const { return Superseded_; }
  /// Returns the bundle in force, or a default one before the first.
  const Bundle &inForce() const { return InForce_; }
  bool operator==(const BundleRegistry &) const = default;

  /// Restores a registry from a snapshot; fails with Malformed if its parts are
  /// inconsistent.
  static Outcome<BundleRegistry>
  restore(BundleHistory History, std::map<Digest, ProposedBundle> Proposals,
          std::deque<SupersededBundle> Superseded, std::uint64_t NextSequence);
  std::uint64_t nextSequence() const { return NextSequence_; }

private:
  /// Returns the bundle whose operators must sign Proposed: the one in force,
  /// or Proposed itself if there is none.
  const Bundle &getDecidingBundle(const Bundle &Proposed) const;
  CommandResult addSignOff(const Digest &BundleDigest, Bundle Proposed,
                           const SignOff &Added, std::uint64_t WallMs);
  CommandResult makeConflict(BundleVersion Version) const;
  CommandResult accept(const Digest &BundleDigest, Bundle Accepted,
                       std::uint64_t WallMs);
  void supersede(const Digest &BundleDigest);
  void evictOldestProposal(const OperatorId &Proposer);

  BundleHistory History_;
  std::map<Digest, ProposedBundle> Proposals_;
  std::deque<SupersededBundle> Superseded_;
  Bundle InForce_;
  std::uint64_t NextSequence_ = 0;
};

} // namespace tulipweir::fleet

#endif // TULIPWEIR_FLEET_BUNDLEREGISTRY_H
