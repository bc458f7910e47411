//===- ReplicaDriver.h - Runs one member -----------------------*- C++ -*-===//
//
// The Replica behind Replica::open: one thread that steps the core, applies
// and calls back, and the LogWriter's thread that writes and syncs.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_REPLICADRIVER_H
#define TULIPWEIR_REPLICATION_REPLICADRIVER_H

#include "tulipweir/replication/StateMachine.h"

#include "replication/GroupBootstrap.h"
#include "replication/LogStorage.h"
#include "replication/LogWriter.h"
#include "replication/PendingCalls.h"
#include "replication/RaftCore.h"
#include "replication/Rejoin.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace tulipweir::replication {

/// What a member starts from.
struct ReplicaStart {
  ReplicaSettings Settings_;
  Identity Owner_;
  Checkpoint Stored_; ///< Its snapshot is in the state machine already.
  std::unique_ptr<LogStorage> Storage_;
  std::string LostDisk_;
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
  void transferLeadership(DoneCallback Done) override;
  void transferLeadershipTo(std::string To, DoneCallback Done) override;
  void stop() override;

private:
  struct Call {
    std::string Command_;
    AppliedCallback Done_;
  };
  /// Until when no other leader than this one, of this term, can exist.
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
    std::string To_; ///< Empty: to the best other voter.
    DoneCallback Done_;
  };
  /// What other threads handed in since the last turn.
  struct Inbox {
    std::vector<Synced> Synced_;
    std::vector<std::string> Messages_;
    std::vector<Call> Calls_;
    std::vector<DoneCallback> Reads_;
    std::vector<Change> Changes_;
    std::vector<TransferCall> Transfers_;
    std::optional<Error> Failure_;
    bool IsStopping_ = false;
    bool isEmpty() const { return Calls_.empty() && !isUrgent(); }
    /// Holds more than proposals, which may gather for a moment.
    bool isUrgent() const;
  };

  /// Hands something in; Edit runs under the lock.
  template <class Function> void post(Function Edit);
  void requestChange(ChangeKind Kind, MemberId Id, DoneCallback Done);

  // All below runs on the driver's thread.
  void run();
  Inbox takeInbox();
  void handleInbox(Inbox &In);
  void tick();
  void handleMessage(const std::string &Bytes);
  void proposeAll(std::vector<Call> &Calls);
  void step(decltype(Input::Event_) Event);
  void processOutputs(Outputs Out);
  void write(Outputs &Out);
  void restore(const Snapshot &From);
  void applyAll(const std::vector<LogEntry> &Entries);
  bool isSnapshotDue() const;
  void takeSnapshotIfDue();
  LocalState getLocalState() const;
  std::vector<MemberId> getJoinRequests() const;
  std::vector<MemberHealth> listMemberHealth() const;
  void publishMemberHealth();
  void proposeMembershipChange();
  void processOutputs(BootstrapOutputs Out);
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
  PendingCalls Pending_;
  HardState Hard_;
  std::uint64_t Applied_ = 0;
  std::uint64_t NextSnapshot_ = 0;
  std::uint64_t SnapshotBytes_ = 0;      ///< Size of the last one.
  std::uint64_t BytesSinceSnapshot_ = 0; ///< Of commands applied.
  bool WasLeader_ = false;
  bool HasFailed_ = false;
  TimePoint NextTick_;
  TimePoint NextProposalTime_{}; ///< Until then they gather.
  TimePoint NextJoinProbe_;
  TimePoint NextMembershipCheck_;

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
