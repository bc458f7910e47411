//===- LeaderWatch.h - Beginning and end of a leadership -------*- C++ -*-===//
//
// Polls a replica and tells its owner when this process begins to lead, once
// everything committed before was applied here, and when it has ceased to.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_REPLICATION_LEADERWATCH_H
#define TULIPWEIR_SRC_REPLICATION_LEADERWATCH_H

#include "tulipweir/core/Executor.h"
#include "tulipweir/replication/Replica.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace tulipweir::replication {

/// Lives on one executor: poll is called there and the callbacks run there.
class LeaderWatch {
public:
  struct Callbacks {
    std::function<void(std::uint64_t Term)> OnLeading_;
    std::function<void()> OnFollowing_;
  };

  LeaderWatch(Replica &Group, Executor &Strand, Callbacks Owner);

  /// Looks at the replica; a few comparisons when nothing changed.
  void poll();

  bool isLeading() const { return Leading_; }

private:
  void confirm(std::uint64_t Term);
  void endLeading();

  Replica &Group_;
  Executor &Strand_;
  const Callbacks Owner_;
  /// Guards callbacks that outlive this object.
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
  std::uint64_t Term_ = 0; ///< Of the leadership that is or is being begun.
  bool Confirming_ = false;
  bool Leading_ = false;
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_SRC_REPLICATION_LEADERWATCH_H
