//===- CallerLimits.h - Token buckets of the callers -----------*- C++ -*-===//
//
// One token bucket per caller, with the limits of the bundle in force. Sharded
// by caller, a lock per shard.
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

/// Thread-safe. Limits hold per entry.
class CallerLimits {
public:
  /// Takes one token of the caller's; otherwise returns when one is there.
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
