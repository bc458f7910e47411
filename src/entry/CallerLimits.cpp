//===- CallerLimits.cpp ---------------------------------------------------===//

#include "tulipweir/entry/CallerLimits.h"

using namespace tulipweir;
using namespace tulipweir::entry;

// Names that callers make up share one bucket beyond this many per shard, so
// that they cannot fill the memory.
static constexpr std::size_t MaxBucketsPerShard = 10'000;

static const CallerId &everyOther() {
  static const CallerId Name("*");
  return Name;
}

static const fleet::CallerLimit *findLimit(const Configuration &Config,
                                           const CallerId &Caller) {
  const auto Named = Config.CallerLimits_.find(Caller);
  if (Named != Config.CallerLimits_.end())
    return &Named->second;
  const auto Others = Config.CallerLimits_.find(everyOther());
  return Others == Config.CallerLimits_.end() ? nullptr : &Others->second;
}

std::optional<Duration> CallerLimits::tryTake(const CallerId &Caller,
                                              const Configuration &Config,
                                              TimePoint Now) {
  const fleet::CallerLimit *Limit = findLimit(Config, Caller);
  if (!Limit)
    return std::nullopt;
  const BundleVersion &Version = Config.Bundle_.Version_;
  Shard &Home = Shards_[std::hash<CallerId>()(Caller) % ShardCount];
  std::lock_guard Lock(Home.Mutex_);
  const bool Full = Home.Buckets_.size() >= MaxBucketsPerShard &&
                    !Home.Buckets_.contains(Caller);
  const CallerId &Name = Full ? everyOther() : Caller;
  const auto [Found, Inserted] = Home.Buckets_.try_emplace(
      Name, Bucket{Version, decide::TokenBucket(Limit->RequestsPerSecond_,
                                                Limit->Burst_, Now)});
  Bucket &Value = Found->second;
  if (Value.Version_ != Version) {
    Value.Tokens_.setLimits(Limit->RequestsPerSecond_, Limit->Burst_, Now);
    Value.Version_ = Version;
  }
  if (Value.Tokens_.tryTake(Now))
    return std::nullopt;
  return Value.Tokens_.timeUntil(Now);
}
