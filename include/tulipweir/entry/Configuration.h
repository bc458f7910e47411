//===- Configuration.h - The bundle as an entry uses it --------*- C++ -*-===//
//
// A checked bundle with its services indexed, and the holder that adopts new
// ones. The version held only rises.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_CONFIGURATION_H
#define TULIPWEIR_ENTRY_CONFIGURATION_H

#include "tulipweir/core/Error.h"
#include "tulipweir/fleet/Bundle.h"
#include "tulipweir/wire/Messages.h"

#include <memory>
#include <mutex>
#include <unordered_map>

namespace tulipweir::entry {

struct Configuration {
  fleet::Bundle Bundle_;
  Digest Digest_;
  std::unordered_map<ServiceId, fleet::ServiceConfig> Services_;
  std::unordered_map<CallerId, fleet::CallerLimit> CallerLimits_;

  /// Checks a bundle that a control process sent. Fails with Corrupt (digest),
  /// VersionMismatch (the text names another version) or InvalidArgument.
  static Outcome<Configuration> makeFrom(const wire::SignedBundle &Signed);
  const fleet::ServiceConfig *findService(const ServiceId &Service) const;
};

/// Thread-safe.
class ConfigurationHolder {
public:
  /// Takes a bundle over if its version is higher than the one held; true if
  /// it did. An equal or lower one is no error.
  Outcome<bool> adopt(const wire::SignedBundle &Signed);
  /// Null until the first bundle came.
  std::shared_ptr<const Configuration> get() const;
  BundleVersion getVersion() const;

private:
  mutable std::mutex Mutex_;
  std::shared_ptr<const Configuration> Current_;
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_CONFIGURATION_H
