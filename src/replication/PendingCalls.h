//===- PendingCalls.h - Callbacks of requests in progress ------*- C++ -*-===//
//
// Holds the callbacks of proposals, reads and membership changes until each
// has been called exactly once.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_PENDINGCALLS_H
#define TULIPWEIR_REPLICATION_PENDINGCALLS_H

#include "replication/RaftCore.h"

#include <functional>
#include <map>

namespace tulipweir::replication {

/// Not thread-safe.
class PendingCalls {
public:
  using AppliedCallback = Replica::AppliedCallback;
  using DoneCallback = std::function<void(Outcome<void>)>;

  /// Each returns the id by which the core refers to the request.
  std::uint64_t addProposal(AppliedCallback Done);
  std::uint64_t addOther(DoneCallback Done);

  void accept(const Accepted &Place);
  void finish(const Finished &End, std::uint64_t AppliedIndex);
  void apply(const LogEntry &Entry, std::string Result);
  /// Completes the reads that waited until Index was applied.
  void completeReads(std::uint64_t Index);
  /// Fails the proposals that have been appended to the log.
  void failAppended(const Error &Why);
  void failAll(const Error &Why);

private:
  struct Placed {
    std::uint64_t Term_ = 0;
    AppliedCallback Done_;
  };

  std::uint64_t LastId_ = 0;
  std::map<std::uint64_t, AppliedCallback> Proposals_;
  std::map<std::uint64_t, Placed> Placed_; ///< By index.
  std::map<std::uint64_t, DoneCallback> Others_;
  std::multimap<std::uint64_t, DoneCallback> Reads_; ///< By index.
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_PENDINGCALLS_H
