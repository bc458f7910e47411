//===- LeaderWatch.h - Start and end of leadership --------------*- C++ -*-===//
//
// Polls a replica and notifies its owner when this process becomes leader,
// once all previously committed entries are applied here, and when it stops
// leading.
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

/// Bound to one executor: poll() and the callbacks run there.
class LeaderWatch {
public:
  struct Callbacks {
    std::function<void(std::uint64_t Term)> OnLeading_;
    std::function<void()> OnFollowing_;
  };

  LeaderWatch(Replica &Group, Executor &Strand, Callbacks Owner);

  /// Checks the replica's status; cheap if nothing has changed.
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
  std::uint64_t Term_ = 0; ///< The term that is led or being confirmed.
  bool Confirming_ = false;
  bool Leading_ = false;
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_SRC_REPLICATION_LEADERWATCH_H
