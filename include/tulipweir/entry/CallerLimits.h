//===- CallerLimits.h - Rate limits per caller -----------------*- C++ -*-===//
//
// Keeps one token bucket per caller with the limits of the bundle in force.
// The buckets are sharded by caller, with one lock per shard.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_CALLERLIMITS_H
#define TULIPWEIR_ENTRY_CALLERLIMITS_H

#include "tulipweir/decide/TokenBucket.h"
#include "tulipweir/entry/Configuration.h"

#include <array>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace tulipweir::entry {

/// Applies the callers' rate limits. Each entry enforces the full limit on its
/// own. Thread-safe.
class CallerLimits {
public:
  /// Takes one token of the caller and returns nullopt, or returns the time
  /// until a token is available.
  std::optional<Duration> tryTake(const CallerId &Caller,
                                  const Configuration &Config, TimePoint Now);

private:
  struct Bucket {
    BundleVersion Version_;
    decide::TokenBucket Tokens_;
  };
  struct Shard {
    std::mutex Mutex_;
    std::unordered_map<CallerId, Bucket> Buckets_;
  };
  static constexpr std::size_t ShardCount = 16;

  std::array<Shard, ShardCount> Shards_;
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_CALLERLIMITS_H
