// The status that ReplicaDriver publishes.
#include "replication/ReplicaDriver.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::replication;

Duration ReplicaDriver::getTickInterval() const {
  return std::min(Settings_.HeartbeatInterval_ / 2,
                  Settings_.ElectionTimeout_ / 10);
}

void ReplicaDriver::publish() {
  if (HasFailed_)
    setLease({});
  std::lock_guard Guard(StatusLock_);
  const std::optional<MemberId> &Leader = Core_.getLeader();
  const bool WasLeader = Status_.IsLeader_;
  Status_.IsLeader_ = Core_.getRole() == Role::Leader && !HasFailed_;
  Status_.LeaderName_ = Leader && !HasFailed_ ? Leader->Name_ : "";
  Status_.Term_ = Core_.getTerm();
  Status_.CommitIndex_ = Core_.getCommit();
  Status_.AppliedIndex_ = Applied_;
  Status_.LeaderSince_ = Core_.getLeaderSince();
  Status_.PreviousTerm_ = Core_.getPreviousTerm();
  Status_.LogBytes_ = Storage_->countBytes();
  Status_.RetainedBytes_ = Core_.getLog().countBytes();
  Status_.BytesSinceSnapshot_ = BytesSinceSnapshot_;
  Status_.SnapshotBytes_ = SnapshotBytes_;
  Status_.Snapshots_ = Snapshots_;
  Status_.SnapshotsForSize_ = SnapshotsForSize_;
  Status_.QueuedBytes_ = Writer_ ? Writer_->countQueuedBytes() : 0;
  Status_.RefusedProposals_ = Core_.countRefusedProposals();
  Status_.Syncs_ = Storage_->countSyncs();
  const bool AreMembersCommitted =
      Core_.getLog().getMembersIndex() <= Core_.getCommit();
  const bool HasChanged =
      Status_.IsLeader_ != WasLeader ||
      Status_.MembersIndex_ != Core_.getLog().getMembersIndex() ||
      AreMembersCommitted_ != AreMembersCommitted;
  // The lists take longer than the rest of a message.
  if (!HasChanged && Time_.now() < NextListing_)
    return;
  NextListing_ = Time_.now() + getTickInterval();
  AreMembersCommitted_ = AreMembersCommitted;
  Status_.Members_ = Core_.getLog().getMembers();
  Status_.MembersIndex_ = Core_.getLog().getMembersIndex();
  Status_.CommittedMembers_ = Core_.getLog().getMembersAt(Core_.getCommit());
  publishMemberHealth();
  Status_.JoinRequests_ = getJoinRequests();
}

std::vector<MemberHealth> ReplicaDriver::listMemberHealth() const {
  std::vector<MemberHealth> Health;
  for (const Member &M : Core_.getLog().getMembers()) {
    const Duration Stall = Core_.getTimeSinceStored(M.Id_, Time_.now());
    Health.push_back({M, Stall < Settings_.ElectionTimeout_,
                      Stall >= Settings_.UnresponsiveAfter_,
                      M.Id_.Name_ == Settings_.Name_});
  }
  return Health;
}

/// The caller holds StatusLock_.
void ReplicaDriver::publishMemberHealth() {
  Status_.Responsive_.clear();
  Status_.Reachable_.clear();
  Status_.Unresponsive_.clear();
  if (!Status_.IsLeader_)
    return;
  for (const MemberHealth &Health : listMemberHealth()) {
    const std::string &Name = Health.Member_.Id_.Name_;
    if (Name == Settings_.Name_)
      continue;
    if (Health.IsAlive_)
      Status_.Responsive_.push_back(Name);
    // A member whose disk hangs can still relay messages.
    const Duration Silence =
        Core_.getTimeSinceHeard(Health.Member_.Id_, Time_.now());
    if (Silence < Settings_.ElectionTimeout_)
      Status_.Reachable_.push_back(Name);
    if (Silence >= Settings_.UnresponsiveAfter_)
      Status_.Unresponsive_.push_back(Name);
  }
}

std::vector<MemberId> ReplicaDriver::getJoinRequests() const {
  const std::vector<Member> &Members = Core_.getLog().getMembers();
  std::vector<MemberId> JoinRequests;
  for (const auto &[Name, Incarnation] : Bootstrap_.getJoinRequests()) {
    MemberId Id{Name, Incarnation};
    bool IsMember = std::any_of(Members.begin(), Members.end(),
                                [&](const Member &M) { return M.Id_ == Id; });
    if (!IsMember)
      JoinRequests.push_back(std::move(Id));
  }
  return JoinRequests;
}
