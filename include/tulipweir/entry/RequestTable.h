//===- RequestTable.h - Keyed requests in progress -------------*- C++ -*-===//
//
// The first request with a key is the owner: it asks for the record and sends
// the request. Requests with the same key that reach this entry in the
// meantime attach to the owner and get its result. The table is sharded by
// key, with one lock per shard.
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
  Owner,    ///< The key was free; the caller must call end.
  Attached, ///< The callback is called exactly once.
  Conflict, ///< A request with another digest owns the key.
};

/// Receives the owner's result, or null if the attached request's own deadline
/// passed first.
using AttachedCallback = std::function<void(const FinalResult *)>;

/// Coordinates requests with the same key. Thread-safe. Callbacks run without a
/// lock held.
class RequestTable {
public:
  explicit RequestTable(std::size_t Shards = 64);

  // Commands.

  JoinResult join(const RequestKey &Key, const Digest &Digest,
                  TimePoint Deadline, AttachedCallback Callback);
  /// Frees the owner's key and passes Result to the attached requests.
  void end(const RequestKey &Key, const FinalResult &Result);
  /// Passes null to the attached requests whose deadline has passed.
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
