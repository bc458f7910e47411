//===- ReplicaEvents.h - Lines about changes of a replica -------*- C++ -*-===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_REPLICAEVENTS_H
#define TULIPWEIR_SRC_JOBSERVICE_REPLICAEVENTS_H

#include "tulipweir/core/EventLog.h"
#include "tulipweir/replication/Replica.h"

#include <vector>

namespace tulipweir::jobservice {

/// Compares each status of a replica with the one before. Not thread-safe.
class ReplicaEvents {
public:
  explicit ReplicaEvents(EventLog &Log) : Log_(Log) {}

  /// Logs the size and the time of the replica's recovery.
  void logRecovery(const replication::ReplicaStatus &Status);
  /// Logs changes of the members, and when the size of the log begins or ceases
  /// to trigger snapshots.
  void update(const replication::ReplicaStatus &Status);

private:
  void logMembers(const replication::ReplicaStatus &Status);
  void logSnapshots(const replication::ReplicaStatus &Status);

  EventLog &Log_;
  std::vector<replication::Member> Members_;
  std::uint64_t Snapshots_ = 0;
  std::uint64_t SnapshotsForSize_ = 0;
  bool AreEarly_ = false;
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_REPLICAEVENTS_H
