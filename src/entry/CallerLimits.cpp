//===- CallerLimits.cpp ---------------------------------------------------===//

#include "tulipweir/entry/CallerLimits.h"

using namespace tulipweir;
using namespace tulipweir::entry;

// The maximum number of buckets per shard. Further names share one bucket, so
// that callers cannot exhaust the memory with invented names.
static constexpr std::size_t MaxBucketsPerShard = 10'000;

static const CallerId &getWildcardCaller() {
  static const CallerId Wildcard("*");
  return Wildcard;
}

static const fleet::CallerLimit *findLimit(const Configuration &Config,
                                           const CallerId &Caller) {
  const auto NamedIt = Config.CallerLimits_.find(Caller);
  if (NamedIt != Config.CallerLimits_.end())
    return &NamedIt->second;
  const auto WildcardIt = Config.CallerLimits_.find(getWildcardCaller());
  return WildcardIt == Config.CallerLimits_.end() ? nullptr
                                                  : &WildcardIt->second;
}

std::optional<Duration> CallerLimits::tryTake(const CallerId &Caller,
                                              const Configuration &Config,
                                              TimePoint Now) {
  const fleet::CallerLimit *Limit = findLimit(Config, Caller);
  if (!Limit)
    return std::nullopt;
  const BundleVersion &Version = Config.Bundle_.Version_;
  Shard &CallerShard = Shards_[std::hash<CallerId>()(Caller) % ShardCount];
  std::lock_guard Lock(CallerShard.Mutex_);
  const bool ShardIsFull = CallerShard.Buckets_.size() >= MaxBucketsPerShard &&
                           !CallerShard.Buckets_.contains(Caller);
  const CallerId &BucketName = ShardIsFull ? getWildcardCaller() : Caller;
  const auto [It, Inserted] = CallerShard.Buckets_.try_emplace(
      BucketName, Bucket{Version, decide::TokenBucket(Limit->RequestsPerSecond_,
                                                      Limit->Burst_, Now)});
  Bucket &CallerBucket = It->second;
  if (CallerBucket.Version_ != Version) {
    CallerBucket.Tokens_.setLimits(Limit->RequestsPerSecond_, Limit->Burst_,
                                   Now);
    CallerBucket.Version_ = Version;
  }
  if (CallerBucket.Tokens_.tryTake(Now))
    return std::nullopt;
  return CallerBucket.Tokens_.getTimeUntil(Now);
}
