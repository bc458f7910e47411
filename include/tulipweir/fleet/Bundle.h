//===- Bundle.h - The operators' configuration -----------------*- C++ -*-===//
//
// A bundle is JSON with comments: services, caller limits, team quotas, policy
// and operator keys. It is checked as a whole; all problems are reported at
// once, each with its location.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_FLEET_BUNDLE_H
#define TULIPWEIR_FLEET_BUNDLE_H

#include "tulipweir/core/Error.h"
#include "tulipweir/core/Ids.h"
#include "tulipweir/core/Resources.h"
#include "tulipweir/core/Time.h"
#include "tulipweir/decide/Policy.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tulipweir::fleet {

/// Request handling of one service.
struct ServiceConfig {
  ServiceId Service_;
  Duration DefaultDeadline_ = std::chrono::seconds(2);
  Duration MaxDeadline_ = std::chrono::seconds(60);
  Duration TargetP99_ = std::chrono::milliseconds(100);
  std::uint32_t QueueLimit_ = 256; ///< Queued requests per entry.
  std::uint64_t MaxBodyBytes_ = 1 << 20;
  bool HedgingAllowed_ = false;
  /// Reserved for the service on each backend server that serves it.
  Resources Share_;
  bool operator==(const ServiceConfig &) const = default;
};

/// Token bucket of a caller.
struct CallerLimit {
  CallerId Caller_; ///< "*" stands for every caller not listed.
  double RequestsPerSecond_ = 0;
  double Burst_ = 0;
  bool operator==(const CallerLimit &) const = default;
};

struct OperatorKey {
  OperatorId Operator_;
  std::string PublicKey_; ///< Ed25519, in lower-case hexadecimal.
  bool operator==(const OperatorKey &) const = default;
};

/// A bundle that has passed every check.
struct Bundle {
  BundleVersion Version_;
  BundleVersion ParentVersion_;
  Digest ParentDigest_; ///< Empty for the first bundle.
  std::string Note_;    ///< Reason for the change, for the history.
  std::uint32_t SignOffsNeeded_ = 1;
  std::vector<OperatorKey> Operators_;
  std::vector<ServiceConfig> Services_;
  std::vector<CallerLimit> CallerLimits_;
  double RetryBudget_ = 0.1; ///< Retries and hedges per request, 0 to 1.
  Duration RequestRetention_ = std::chrono::hours(24);
  decide::Policy Policy_;
  bool operator==(const Bundle &) const = default;
};

/// Longer texts are rejected before they are parsed. A bundle with 190 teams
/// and 100 services takes less than a quarter of this size.
inline constexpr std::size_t MaxBundleBytes = std::size_t(256) << 10U;

/// One problem in the text of a bundle.
struct BundleProblem {
  std::string Location_; ///< JSON pointer, or "line:column" of a syntax error.
  std::string Text_;     ///< Actual value and allowed values.
  bool operator==(const BundleProblem &) const = default;
};

/// Result of a check: either the bundle or every problem in its text.
struct BundleCheck {
  std::vector<Bundle> Bundle_; ///< One element if there is no problem.
  std::vector<BundleProblem> Problems_;
};

/// Parses and checks the text of a bundle.
BundleCheck checkBundle(std::string_view Text);

/// Returns the BLAKE2b hash of the text, byte for byte.
Digest computeDigest(std::string_view Text);

} // namespace tulipweir::fleet

#endif // TULIPWEIR_FLEET_BUNDLE_H
