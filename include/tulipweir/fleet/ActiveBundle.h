//===- ActiveBundle.h - Bundle that a process uses --------------*- C++ -*-===//
//
// Its version only rises: whatever arrives late, twice or out of order, a
// process never goes back to an older bundle.
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
  /// Takes the bundle if it is newer than the one held and says whether it
  /// did. Fails, and changes nothing, when the text does not fit its digest or
  /// version (Corrupt), does not pass the check (InvalidArgument), or the
  /// version held has another digest (Conflict).
  Outcome<bool> adopt(const wire::SignedBundle &Offered);

  /// Zero before the first.
  BundleVersion getVersion() const;
  Digest getDigest() const;
  /// nullptr before the first.
  std::shared_ptr<const Bundle> getBundle() const;

private:
  mutable std::mutex Mutex_;
  BundleVersion Version_;
  Digest Digest_;
  std::shared_ptr<const Bundle> Bundle_;
};

} // namespace tulipweir::fleet

#endif // TULIPWEIR_FLEET_ACTIVEBUNDLE_H
