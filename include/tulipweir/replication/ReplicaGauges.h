//===- ReplicaGauges.h - Gauges over a replica's status --------*- C++ -*-===//
//
// The metrics that each process with a replica publishes for its group.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_REPLICAGAUGES_H
#define TULIPWEIR_REPLICATION_REPLICAGAUGES_H

#include "tulipweir/replication/Replica.h"

namespace tulipweir::replication {

struct ReplicaGauge {
  const char *Name_;
  const char *Help_;
  double (*Read_)(const ReplicaStatus &);
};

inline constexpr ReplicaGauge ReplicaGauges[] = {
    {"tulipweir_group_leader", "1 while this control leads the group",
     [](const ReplicaStatus &S) { return S.IsLeader_ ? 1.0 : 0.0; }},
    {"tulipweir_group_leader_known", "1 while a leader is known",
     [](const ReplicaStatus &S) { return S.LeaderName_.empty() ? 0.0 : 1.0; }},
    {"tulipweir_group_term", "Term of the group",
     [](const ReplicaStatus &S) { return double(S.Term_); }},
    {"tulipweir_group_commit_index", "Entries committed",
     [](const ReplicaStatus &S) { return double(S.CommitIndex_); }},
    {"tulipweir_group_applied_index", "Entries applied here",
     [](const ReplicaStatus &S) { return double(S.AppliedIndex_); }},
    {"tulipweir_group_log_bytes", "Bytes of the log on disk",
     [](const ReplicaStatus &S) { return double(S.LogBytes_); }},
    {"tulipweir_group_retained_bytes", "Bytes of the commands in the log",
     [](const ReplicaStatus &S) { return double(S.RetainedBytes_); }},
    {"tulipweir_group_unsaved_bytes",
     "Bytes of the commands applied since the last snapshot",
     [](const ReplicaStatus &S) { return double(S.BytesSinceSnapshot_); }},
    {"tulipweir_group_snapshot_bytes", "Bytes of the last snapshot",
     [](const ReplicaStatus &S) { return double(S.SnapshotBytes_); }},
    {"tulipweir_group_snapshots_total", "Snapshots taken",
     [](const ReplicaStatus &S) { return double(S.Snapshots_); }},
    {"tulipweir_group_snapshots_for_size_total",
     "Snapshots taken early as the log was full of large entries",
     [](const ReplicaStatus &S) { return double(S.SnapshotsForSize_); }},
    {"tulipweir_group_queued_bytes", "Bytes of commands waiting for the disk",
     [](const ReplicaStatus &S) { return double(S.QueuedBytes_); }},
    {"tulipweir_group_refused_proposals_total",
     "Proposals refused because too much was uncommitted",
     [](const ReplicaStatus &S) { return double(S.RefusedProposals_); }},
    {"tulipweir_group_recovered_bytes",
     "Bytes of the log and the snapshot that were read at start",
     [](const ReplicaStatus &S) { return double(S.Recovery_.Bytes_); }},
    {"tulipweir_group_recovery_seconds",
     "Time in which the log and the snapshot were read at start",
     [](const ReplicaStatus &S) {
       return std::chrono::duration<double>(S.Recovery_.Time_).count();
     }},
    {"tulipweir_group_syncs_total", "Syncs of the log",
     [](const ReplicaStatus &S) { return double(S.Syncs_); }},
    {"tulipweir_group_failed", "1 if this replica stopped by itself",
     [](const ReplicaStatus &S) { return S.Failure_.empty() ? 0.0 : 1.0; }},
    {"tulipweir_group_members", "Members of the group",
     [](const ReplicaStatus &S) { return double(S.Members_.size()); }}};

/// Adds all gauges to Registry. ReadStatus is called at each scrape, from any
/// thread.
template <class Metrics, class ReadStatus>
void addReplicaGauges(Metrics &Registry, const std::string &Group,
                      ReadStatus Status) {
  for (const ReplicaGauge &Gauge : ReplicaGauges)
    Registry.addGauge(
        Gauge.Name_, Gauge.Help_,
        [Status, Read = Gauge.Read_] { return Read(Status()); },
        "group=\"" + Group + "\"");
}

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_REPLICAGAUGES_H
