//===- ActiveBundle.h - Bundle that a process uses -------------*- C++ -*-===//
//
// The version only rises: a process never returns to an older bundle, even if
// bundles arrive late, twice or out of order.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_FLEET_ACTIVEBUNDLE_H
#define TULIPWEIR_FLEET_ACTIVEBUNDLE_H

#include "tulipweir/core/Error.h"
#include "tulipweir/fleet/Bundle.h"
#include "tulipweir/wire/Messages.h"

#include <memory>
#include <mutex>

namespace tulipweir::fleet {

/// Thread-safe.
class ActiveBundle {
public:
  /// Replaces the active bundle if Offered is newer and returns whether it did.
  /// Fails without any change if the text does not match its digest or version
  /// (Corrupt), if the text is invalid (InvalidArgument), or if the active
  /// bundle has the same version and another digest (Conflict).
  Outcome<bool> adopt(const wire::SignedBundle &Offered);

  /// Returns zero before the first bundle.
  BundleVersion getVersion() const;
  Digest getDigest() const;
  /// Returns nullptr before the first bundle.
  std::shared_ptr<const Bundle> getBundle() const;

private:
  mutable std::mutex Mutex_;
  BundleVersion Version_;
  Digest Digest_;
  std::shared_ptr<const Bundle> Bundle_;
};

} // namespace tulipweir::fleet

#endif // TULIPWEIR_FLEET_ACTIVEBUNDLE_H
