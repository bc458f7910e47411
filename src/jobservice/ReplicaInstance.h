//===- ReplicaInstance.h - An open replica and its leader -------*- C++ -*-===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_REPLICAINSTANCE_H
#define TULIPWEIR_SRC_JOBSERVICE_REPLICAINSTANCE_H

#include "tulipweir/jobs/JobLeader.h"
#include "tulipweir/jobs/JobStateMachine.h"
#include "tulipweir/replication/Replica.h"

#include <memory>

namespace tulipweir::jobservice {

/// An open replica with its state machine and job leader. All three are
/// replaced together when the replica's disk fails.
struct ReplicaInstance {
  jobs::JobStateMachine Machine_;
  std::unique_ptr<replication::Replica> Replica_;
  std::unique_ptr<jobs::JobLeader> Leader_; ///< Used on the strand only.

  /// Stops the leader and the replica. Must be called on the strand, where the
  /// leader does all its work on the replica, so that none of it is in
  /// progress. Queries that still hold this instance use a stopped replica.
  void end() {
    Leader_.reset();
    Replica_->stop();
  }
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_REPLICAINSTANCE_H
