//===- RequestTable.h - Keyed requests in progress here --------*- C++ -*-===//
//
// Of the requests with one key, one at a time is the owner, who asks the
// record and sends; resends that reach the same entry meanwhile attach to it
// and get its result. Sharded by key, a lock per shard.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_REQUESTTABLE_H
#define TULIPWEIR_ENTRY_REQUESTTABLE_H

#include "tulipweir/core/Ids.h"
#include "tulipweir/core/Time.h"
#include "tulipweir/entry/FinalResult.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace tulipweir::entry {

enum class JoinResult : std::uint8_t {
  Owner,    ///< Nobody holds the key: the joiner must call end.
  Attached, ///< The waiter will be called once.
  Conflict, ///< The key is held by a request with another digest.
};

/// Called with the owner's result, or with null when the waiter's own deadline
/// passed first.
using AttachedCallback = std::function<void(const FinalResult *)>;

/// Thread-safe. Calls waiters without a lock held.
class RequestTable {
public:
  explicit RequestTable(std::size_t Shards = 64);

  // Commands.

  JoinResult join(const RequestKey &Key, const Digest &Digest,
                  TimePoint Deadline, AttachedCallback Callback);
  /// The owner's end: frees the key and calls who attached.
  void end(const RequestKey &Key, const FinalResult &Result);
  /// Calls, with null, those whose deadline passed.
  void sweep(TimePoint Now);

  // Queries.

  std::size_t getOwnerCount() const;
  std::size_t getWaiterCount() const;

private:
  struct Attached {
    TimePoint Deadline_;
    AttachedCallback Callback_;
  };
  struct KeyState {
    Digest Digest_;
    std::vector<Attached> AttachedRequests_;
  };
  struct Shard {
    mutable std::mutex Mutex_;
    std::unordered_map<RequestKey, KeyState> Keys_;
  };

  Shard &findShard(const RequestKey &Key);

  std::vector<std::unique_ptr<Shard>> Shards_;
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_REQUESTTABLE_H
