//===- Configuration.h - Configuration of an entry -------------*- C++ -*-===//
//
// Holds a verified bundle with its services indexed. ConfigurationHolder
// replaces it when a newer bundle arrives, so the version in use only
// increases.
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

  /// Verifies a bundle that a control process sent. Fails with Corrupt if the
  /// digest does not match the text, VersionMismatch if the text contains
  /// another version, and InvalidArgument if the text is invalid.
  static Outcome<Configuration> makeFrom(const wire::SignedBundle &Signed);
  const fleet::ServiceConfig *findService(const ServiceId &Service) const;
};

/// Holds the configuration in use. Thread-safe.
class ConfigurationHolder {
public:
  /// Replaces the configuration if the bundle has a higher version, and returns
  /// whether it did. An equal or lower version is not an error.
  Outcome<bool> adopt(const wire::SignedBundle &Signed);
  /// Returns null until the first bundle is adopted.
  std::shared_ptr<const Configuration> get() const;
  BundleVersion getVersion() const;

private:
  mutable std::mutex Mutex_;
  std::shared_ptr<const Configuration> Current_;
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_CONFIGURATION_H
