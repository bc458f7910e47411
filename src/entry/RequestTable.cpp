//===- RequestTable.cpp ---------------------------------------------------===//

#include "tulipweir/entry/RequestTable.h"

#include <cassert>

using namespace tulipweir;
using namespace tulipweir::entry;

RequestTable::RequestTable(std::size_t Shards) {
  assert(Shards > 0 && "a table needs a shard");
  for (std::size_t Index = 0; Index < Shards; ++Index)
    Shards_.push_back(std::make_unique<Shard>());
}

RequestTable::Shard &RequestTable::findShard(const RequestKey &Key) {
  return *Shards_[std::hash<RequestKey>()(Key) % Shards_.size()];
}

JoinResult RequestTable::join(const RequestKey &Key, const Digest &Digest,
                              TimePoint Deadline, TableWaiter Waiter) {
  Shard &Home = findShard(Key);
  std::lock_guard Lock(Home.Mutex_);
  const auto [Found, Inserted] = Home.Held_.try_emplace(Key);
  Held &Value = Found->second;
  if (Inserted) {
    Value.Digest_ = Digest;
    return JoinResult::Owner;
  }
  if (Value.Digest_ != Digest)
    return JoinResult::Conflict;
  Value.Attached_.push_back({Deadline, std::move(Waiter)});
  return JoinResult::Attached;
}

void RequestTable::end(const RequestKey &Key, const FinalResult &Result) {
  std::vector<Attached> Waiting;
  {
    Shard &Home = findShard(Key);
    std::lock_guard Lock(Home.Mutex_);
    const auto Found = Home.Held_.find(Key);
    assert(Found != Home.Held_.end() && "ended without an owner");
    Waiting = std::move(Found->second.Attached_);
    Home.Held_.erase(Found);
  }
  for (const Attached &One : Waiting)
    One.Waiter_(&Result);
}

void RequestTable::sweep(TimePoint Now) {
  std::vector<Attached> Late;
  for (const std::unique_ptr<Shard> &One : Shards_) {
    std::lock_guard Lock(One->Mutex_);
    for (auto &[Key, Value] : One->Held_)
      std::erase_if(Value.Attached_, [&](Attached &Waiting) {
        if (Now < Waiting.Deadline_)
          return false;
        Late.push_back(std::move(Waiting));
        return true;
      });
  }
  for (const Attached &Waiting : Late)
    Waiting.Waiter_(nullptr);
}

std::size_t RequestTable::getOwners() const {
  std::size_t Count = 0;
  for (const std::unique_ptr<Shard> &One : Shards_) {
    std::lock_guard Lock(One->Mutex_);
    Count += One->Held_.size();
  }
  return Count;
}

std::size_t RequestTable::getWaiters() const {
  std::size_t Count = 0;
  for (const std::unique_ptr<Shard> &One : Shards_) {
    std::lock_guard Lock(One->Mutex_);
    for (const auto &[Key, Value] : One->Held_)
      Count += Value.Attached_.size();
  }
  return Count;
}
