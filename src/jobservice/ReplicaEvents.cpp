#include "jobservice/ReplicaEvents.h"

#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobservice;
using replication::ReplicaStatus;

void ReplicaEvents::logRecovery(const ReplicaStatus &Status) {
  Event Line;
  Line.Kind_ = EventKind::LogRecovered;
  Line.Count_ = Status.Recovery_.Entries_;
  Line.AgeMs_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                    Status.Recovery_.Time_)
                    .count();
  Line.Reason_ = std::to_string(Status.Recovery_.Bytes_) +
                 " bytes of log and snapshot recovered";
  Log_.write(Line);
  Snapshots_ = Status.Snapshots_;
  SnapshotsForSize_ = Status.SnapshotsForSize_;
  AreEarly_ = false;
}

void ReplicaEvents::update(const ReplicaStatus &Status) {
  logMembers(Status);
  logSnapshots(Status);
}

void ReplicaEvents::logMembers(const ReplicaStatus &Status) {
  if (Status.Members_ == Members_)
    return;
  Members_ = Status.Members_;
  Event Line;
  Line.Kind_ = EventKind::MembersChanged;
  Line.Term_ = Status.Term_;
  Line.Count_ = Status.Members_.size();
  for (const replication::Member &Member : Status.Members_)
    Line.Reason_ +=
        Member.Id_.Name_ + (Member.Role_ == replication::MemberRole::Voter
                                ? " (voter), "
                                : " (learner), ");
  Log_.write(Line);
}

void ReplicaEvents::logSnapshots(const ReplicaStatus &Status) {
  if (Status.Snapshots_ == std::exchange(Snapshots_, Status.Snapshots_))
    return;
  const bool AreEarly =
      Status.SnapshotsForSize_ !=
      std::exchange(SnapshotsForSize_, Status.SnapshotsForSize_);
  if (AreEarly == std::exchange(AreEarly_, AreEarly))
    return;
  Event Line;
  Line.Kind_ = EventKind::SnapshotsEarly;
  Line.Count_ = Status.SnapshotBytes_;
  Line.Outcome_ = AreEarly ? "by size" : "by number";
  Line.Reason_ = "the log retains " + std::to_string(Status.RetainedBytes_) +
                 " bytes of commands";
  Log_.write(Line);
}
