//===- ReplicaInstance.h - An open replica and its leader -------*- C++ -*-===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_REPLICAINSTANCE_H
#define TULIPWEIR_SRC_JOBSERVICE_REPLICAINSTANCE_H

#include "tulipweir/jobs/JobLeader.h"
#include "tulipweir/jobs/JobMachine.h"
#include "tulipweir/replication/Replica.h"

#include <memory>

namespace tulipweir::jobservice {

/// One opening of the replica with what rests on it. Taken apart as a whole
/// when its disk fails.
struct ReplicaInstance {
  jobs::JobMachine Machine_;
  std::unique_ptr<replication::Replica> Replica_;
  std::unique_ptr<jobs::JobLeader> Leader_; ///< On the strand only.

  /// On the strand: the leader's side uses the replica there and nowhere else,
  /// so none of its work is under way now and none comes any more. Whoever
  /// still holds this life for a query keeps a replica that has stopped.
  void end() {
    Leader_.reset();
    Replica_->stop();
  }
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_REPLICAINSTANCE_H
