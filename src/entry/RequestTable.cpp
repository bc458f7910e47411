//===- RequestTable.cpp ---------------------------------------------------===//

#include "tulipweir/entry/RequestTable.h"

#include <cassert>

using namespace tulipweir;
using namespace tulipweir::entry;

RequestTable::RequestTable(std::size_t Shards) {
  assert(Shards > 0 && "the table needs at least one shard");
  for (std::size_t Index = 0; Index < Shards; ++Index)
    Shards_.push_back(std::make_unique<Shard>());
}

RequestTable::Shard &RequestTable::findShard(const RequestKey &Key) {
  return *Shards_[std::hash<RequestKey>()(Key) % Shards_.size()];
}

JoinResult RequestTable::join(const RequestKey &Key, const Digest &Digest,
                              TimePoint Deadline, AttachedCallback Callback) {
  Shard &KeyShard = findShard(Key);
  std::lock_guard Lock(KeyShard.Mutex_);
  const auto [It, Inserted] = KeyShard.Keys_.try_emplace(Key);
  KeyState &State = It->second;
  if (Inserted) {
    State.Digest_ = Digest;
    return JoinResult::Owner;
  }
  if (State.Digest_ != Digest)
    return JoinResult::Conflict;
  State.AttachedRequests_.push_back({Deadline, std::move(Callback)});
  return JoinResult::Attached;
}

void RequestTable::end(const RequestKey &Key, const FinalResult &Result) {
  std::vector<Attached> Waiting;
  {
    Shard &KeyShard = findShard(Key);
    std::lock_guard Lock(KeyShard.Mutex_);
    const auto It = KeyShard.Keys_.find(Key);
    assert(It != KeyShard.Keys_.end() && "the key has no owner");
    Waiting = std::move(It->second.AttachedRequests_);
    KeyShard.Keys_.erase(It);
  }
  for (const Attached &Request : Waiting)
    Request.Callback_(&Result);
}

void RequestTable::sweep(TimePoint Now) {
  std::vector<Attached> Expired;
  for (const std::unique_ptr<Shard> &TableShard : Shards_) {
    std::lock_guard Lock(TableShard->Mutex_);
    for (auto &[Key, State] : TableShard->Keys_)
      std::erase_if(State.AttachedRequests_, [&](Attached &Waiting) {
        if (Now < Waiting.Deadline_)
          return false;
        Expired.push_back(std::move(Waiting));
        return true;
      });
  }
  for (const Attached &Waiting : Expired)
    Waiting.Callback_(nullptr);
}

std::size_t RequestTable::getOwnerCount() const {
  std::size_t Count = 0;
  for (const std::unique_ptr<Shard> &TableShard : Shards_) {
    std::lock_guard Lock(TableShard->Mutex_);
    Count += TableShard->Keys_.size();
  }
  return Count;
}

std::size_t RequestTable::getWaiterCount() const {
  std::size_t Count = 0;
  for (const std::unique_ptr<Shard> &TableShard : Shards_) {
    std::lock_guard Lock(TableShard->Mutex_);
    for (const auto &[Key, State] : TableShard->Keys_)
      Count += State.AttachedRequests_.size();
  }
  return Count;
}
