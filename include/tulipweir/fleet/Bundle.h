//===- Bundle.h - The operators' configuration -----------------*- C++ -*-===//
//
// A bundle is JSON with comments: services, caller limits, team quotas,
// policy, operator keys. It is checked as a whole, and all that is wrong with
// it is reported at once, each error with its place.
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

/// How requests to one service are handled.
struct ServiceConfig {
  ServiceId Service_;
  Duration DefaultDeadline_ = std::chrono::seconds(2);
  Duration MaxDeadline_ = std::chrono::seconds(60);
  Duration TargetP99_ = std::chrono::milliseconds(100);
  std::uint32_t QueueLimit_ = 256; ///< Requests waiting per entry.
  std::uint64_t MaxBodyBytes_ = 1 << 20;
  bool HedgingAllowed_ = false;
  /// Set aside for it on each backend server that serves it.
  Resources Share_;
  bool operator==(const ServiceConfig &) const = default;
};

/// A caller's token bucket.
struct CallerLimit {
  CallerId Caller_; ///< "*" is every caller not named.
  double RequestsPerSecond_ = 0;
  double Burst_ = 0;
  bool operator==(const CallerLimit &) const = default;
};

struct OperatorKey {
  OperatorId Operator_;
  std::string PublicKey_; ///< Ed25519, in lower-case hexadecimal.
  bool operator==(const OperatorKey &) const = default;
};

/// A checked bundle.
struct Bundle {
  BundleVersion Version_;
  BundleVersion ParentVersion_;
  Digest ParentDigest_; ///< Empty for the first bundle.
  std::string Note_;    ///< Why, for the history.
  std::uint32_t SignOffsNeeded_ = 1;
  std::vector<OperatorKey> Operators_;
  std::vector<ServiceConfig> Services_;
  std::vector<CallerLimit> CallerLimits_;
  double RetryBudget_ = 0.1; ///< Retries and hedges per request, 0 to 1.
  Duration RequestRetention_ = std::chrono::hours(24);
  decide::Policy Policy_;
  bool operator==(const Bundle &) const = default;
};

/// A longer text is refused before it is read. 190 teams and 100 services take
/// under a quarter of it.
inline constexpr std::size_t MaxBundleBytes = std::size_t(256) << 10U;

/// One thing wrong with a bundle's text.
struct BundleProblem {
  std::string Location_; ///< A JSON pointer, or "line:column" for syntax.
  std::string Text_;     ///< What was found and what is allowed.
  bool operator==(const BundleProblem &) const = default;
};

/// A checked bundle, or every problem with the text. Exactly one is filled.
struct BundleCheck {
  std::vector<Bundle> Bundle_; ///< One element when there is no problem.
  std::vector<BundleProblem> Problems_;
};

/// Reads and checks the text of a bundle.
BundleCheck checkBundle(std::string_view Text);

/// BLAKE2b of the text, byte for byte.
Digest computeDigest(std::string_view Text);

} // namespace tulipweir::fleet

#endif // TULIPWEIR_FLEET_BUNDLE_H
