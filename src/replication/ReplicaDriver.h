//===- ReplicaDriver.h - Replica implementation ----------------*- C++ -*-===//
//
// The Replica that Replica::open returns: one thread steps the core, applies
// entries and calls back, and the LogWriter's thread writes and syncs.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_REPLICADRIVER_H
#define TULIPWEIR_REPLICATION_REPLICADRIVER_H

#include "tulipweir/replication/StateMachine.h"

#include "replication/GroupBootstrap.h"
#include "replication/LogStorage.h"
#include "replication/LogWriter.h"
#include "replication/MajorityBootstrap.h"
#include "replication/PendingCalls.h"
#include "replication/RaftCore.h"
#include "replication/Rejoin.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace tulipweir::replication {

/// The state from which a member starts.
struct ReplicaStart {
  ReplicaSettings Settings_;
  Identity Owner_;
  Checkpoint Stored_; ///< The state machine has already restored its snapshot.
  BootstrapState BootstrapState_;
  std::unique_ptr<LogStorage> Storage_;
  std::string LostDisk_;
  Duration RecoveryTime_{};
};

class ReplicaDriver final : public Replica {
public:
  using DoneCallback = std::function<void(Outcome<void>)>;

  ReplicaDriver(ReplicaStart Start, StateMachine &Machine, Transport &Out,
                const Clock &Time);
  ~ReplicaDriver() override;

  void propose(std::string Command, AppliedCallback Done) override;
  void receive(std::string Message) override;
  void confirmLeadership(DoneCallback Done) override;
  std::optional<std::uint64_t> findLeaseTerm(TimePoint Now) const override;
  ReplicaStatus getStatus() const override;
  void addLearner(MemberId Id, DoneCallback Done) override;
  void promote(MemberId Id, DoneCallback Done) override;
  void remove(MemberId Id, DoneCallback Done) override;
  void setPlaces(MemberPlaces Places) override;
  void transferLeadership(DoneCallback Done) override;
  void transferLeadershipTo(std::string To, DoneCallback Done) override;
  void stop() override;

private:
  struct Call {
    std::string Command_;
    AppliedCallback Done_;
  };
  /// The time until which no leader other than this one, of this term, can
  /// exist.
  struct LeaderLease {
    TimePoint End_ = TimePoint::min();
    std::uint64_t Term_ = 0;
  };
  struct Change {
    ChangeKind Kind_;
    MemberId Member_;
    DoneCallback Done_;
  };
  struct TransferCall {
    std::string To_; ///< Empty selects the most up-to-date other voter.
    DoneCallback Done_;
  };
  /// Input from other threads since the last iteration of the driver's thread.
  struct Inbox {
    std::vector<Synced> Synced_;
    std::vector<std::string> Messages_;
    std::vector<Call> Calls_;
    std::vector<DoneCallback> Reads_;
    std::vector<Change> Changes_;
    std::vector<TransferCall> Transfers_;
    std::optional<MemberPlaces> Places_;
    std::optional<Error> Failure_;
    bool IsStopping_ = false;
    bool isEmpty() const { return Calls_.empty() && !isUrgent(); }
    /// Returns whether the inbox holds anything other than proposals, which may
    /// be delayed in order to be batched.
    bool isUrgent() const;
  };

  /// Adds to the inbox; Edit runs under the lock.
  template <class Function> void post(Function Edit);
  void requestChange(ChangeKind Kind, MemberId Id, DoneCallback Done);

  // The functions below run on the driver's thread.
  void run();
  Inbox takeInbox();
  void handleInbox(Inbox &In);
  void tick();
  Duration getTickInterval() const;
  void handleMessage(const std::string &Bytes);
  void proposeAll(std::vector<Call> &Calls);
  void step(decltype(Input::Event_) Event);
  void processOutputs(Outputs Out);
  void write(Outputs &Out);
  void restore(const Snapshot &From);
  void applyAll(const std::vector<LogEntry> &Entries);
  bool isSnapshotDueForSize() const;
  bool isSnapshotDue() const;
  void takeSnapshotIfDue();
  LocalState getLocalState() const;
  LocalState getMajorityLocalState() const;
  std::vector<MemberId> getJoinRequests() const;
  std::vector<MemberHealth> listMemberHealth() const;
  void publishMemberHealth();
  void proposeMembershipChange();
  void processOutputs(BootstrapOutputs Out);
  void processOutputs(MajorityBootstrapOutputs Out);
  /// Bootstraps with Members unless there are none, and then sends Messages.
  void bootstrap(std::vector<Member> Members, std::vector<Message> Messages);
  void failWith(const Error &Why);
  void setLease(const LeaderLease &Value);
  void publish();
  void sendAll(const std::vector<Message> &Messages);

  const ReplicaSettings Settings_;
  StateMachine &Machine_;
  Transport &Out_;
  const Clock &Time_;
  const std::unique_ptr<LogStorage> Storage_;

  RaftCore Core_;
  GroupBootstrap Bootstrap_;
  MajorityBootstrap MajorityBootstrap_;
  PendingCalls Pending_;
  MemberPlaces Places_;
  HardState Hard_;
  std::uint64_t Applied_ = 0;
  std::uint64_t NextSnapshot_ = 0;
  std::uint64_t SnapshotBytes_ = 0;      ///< Size of the last snapshot.
  std::uint64_t BytesSinceSnapshot_ = 0; ///< Bytes of applied commands.
  /// A snapshot is due once as many bytes were applied since the last one.
  std::uint64_t SnapshotAfterBytes_ = 0;
  std::uint64_t Snapshots_ = 0;
  std::uint64_t SnapshotsForSize_ = 0;
  bool WasLeader_ = false;
  bool HasFailed_ = false;
  TimePoint NextTick_;
  TimePoint NextProposalTime_{}; ///< Proposals are batched until this time.
  TimePoint NextJoinProbe_;
  TimePoint NextMembershipCheck_;
  TimePoint NextListing_{}; ///< When lists of members are published again.
  /// As of the last published lists.
  bool AreMembersCommitted_ = false;

  std::mutex InboxLock_;
  std::condition_variable Wake_;
  Inbox Inbox_;

  mutable std::mutex LeaseLock_;
  LeaderLease Lease_; ///< Guarded by LeaseLock_.
  mutable std::mutex StatusLock_;
  ReplicaStatus Status_;

  std::unique_ptr<LogWriter> Writer_;
  std::thread Thread_;
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_REPLICADRIVER_H
