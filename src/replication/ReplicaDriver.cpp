#include "replication/ReplicaDriver.h"

#include "replication/MessageCodec.h"
#include "replication/Rejoin.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::replication;

/// A snapshot is taken after this many times SnapshotEvery_ at the latest.
constexpr std::uint64_t MaxSnapshotDelay = 8;

static CoreSettings makeCoreSettings(const ReplicaSettings &From,
                                     const MemberId &Self) {
  CoreSettings Core;
  Core.Self_ = Self;
  Core.ElectionTimeout_ = From.ElectionTimeout_;
  Core.HeartbeatInterval_ = From.HeartbeatInterval_;
  Core.Seed_ = From.Seed_ ^ Self.Incarnation_;
  Core.MaxMessagesInFlight_ = From.MaxMessagesInFlight_;
  Core.MaxLogBytes_ = From.MaxLogBytes_;
  return Core;
}

/// A proposer repeats its requests twice per election timeout. The gather time
/// allows several of them, as an initial voter that answers none is left out,
/// and the group tolerates no further loss until it has joined.
static MajorityBootstrapSettings
makeMajorityBootstrapSettings(const ReplicaSettings &From) {
  return {From.ElectionTimeout_ * 4, From.ElectionTimeout_ * 6};
}

/// Shortens the first interval between snapshots by up to a half. The members
/// then take them at different entries and do not all stall at the same time.
static std::uint64_t shortenFirst(const ReplicaSettings &Settings,
                                  std::uint64_t Interval) {
  std::uint64_t Spread = Interval / 2 + 1;
  return Interval - std::hash<std::string>()(Settings.Name_) % Spread;
}

bool ReplicaDriver::Inbox::isUrgent() const {
  return !Synced_.empty() || !Messages_.empty() || !Reads_.empty() ||
         !Changes_.empty() || !Transfers_.empty() || Places_ || Failure_ ||
         IsStopping_;
}

ReplicaDriver::ReplicaDriver(ReplicaStart Start, StateMachine &Machine,
                             Transport &Out, const Clock &Time)
    : Settings_(Start.Settings_), Machine_(Machine), Out_(Out), Time_(Time),
      Storage_(std::move(Start.Storage_)),
      Core_(makeCoreSettings(Settings_, Start.Owner_.Self_), Time.now(),
            Start.Stored_),
      Bootstrap_(Start.Owner_, Settings_.InitialVoters_,
                 Settings_.MayBootstrap_ && !Settings_.BootstrapsByMajority_),
      MajorityBootstrap_(Start.Owner_.Self_, Start.BootstrapState_,
                         makeMajorityBootstrapSettings(Settings_), Time.now()),
      Hard_(Start.Stored_.Hard_), Applied_(Core_.getCommit()),
      NextSnapshot_(Applied_ +
                    shortenFirst(Settings_, Settings_.SnapshotEvery_)),
      SnapshotAfterBytes_(shortenFirst(Settings_, Settings_.MaxLogBytes_ / 2)),
      NextTick_(Time.now()), NextJoinProbe_(Time.now()),
      NextMembershipCheck_(Time.now()) {
  if (Start.Stored_.Snapshot_)
    SnapshotBytes_ = Start.Stored_.Snapshot_->State_.size();
  Status_.Self_ = Start.Owner_.Self_;
  Status_.Recovery_ = {Start.Stored_.Entries_.size(),
                       Storage_->countBytes() + SnapshotBytes_,
                       Start.RecoveryTime_};
  Status_.LostDisk_ = Start.LostDisk_;
  Status_.IsDurable_ = !Settings_.Folder_.empty();
  publish();
  LogWriter::Callbacks Calls;
  Calls.Send_ = [this](const auto &Messages) { sendAll(Messages); };
  Calls.Synced_ = [this](const Synced &Mark) {
    post([&](Inbox &In) { In.Synced_.push_back(Mark); });
  };
  Calls.Failed_ = [this](const Error &Why) {
    post([&](Inbox &In) { In.Failure_ = Why; });
  };
  Writer_ = std::make_unique<LogWriter>(*Storage_, Settings_.MaxBatch_,
                                        std::move(Calls));
  Thread_ = std::thread([this] { run(); });
}

ReplicaDriver::~ReplicaDriver() { stop(); }

template <class Function> void ReplicaDriver::post(Function Edit) {
  std::lock_guard Guard(InboxLock_);
  // If the inbox is not empty, the thread has been notified already, unless it
  // is delaying proposals for batching.
  const bool WasWaiting = !Inbox_.isEmpty();
  Edit(Inbox_);
  if (!WasWaiting || Inbox_.isUrgent())
    Wake_.notify_one();
}

void ReplicaDriver::propose(std::string Command, AppliedCallback Done) {
  post([&](Inbox &In) {
    In.Calls_.push_back({std::move(Command), std::move(Done)});
  });
}

void ReplicaDriver::receive(std::string Message) {
  post([&](Inbox &In) { In.Messages_.push_back(std::move(Message)); });
}

void ReplicaDriver::confirmLeadership(DoneCallback Done) {
  post([&](Inbox &In) { In.Reads_.push_back(std::move(Done)); });
}

void ReplicaDriver::requestChange(ChangeKind Kind, MemberId Id,
                                  DoneCallback Done) {
  post([&](Inbox &In) {
    In.Changes_.push_back({Kind, std::move(Id), std::move(Done)});
  });
}

void ReplicaDriver::addLearner(MemberId Id, DoneCallback Done) {
  requestChange(ChangeKind::AddLearner, std::move(Id), std::move(Done));
}

void ReplicaDriver::promote(MemberId Id, DoneCallback Done) {
  requestChange(ChangeKind::Promote, std::move(Id), std::move(Done));
}

void ReplicaDriver::remove(MemberId Id, DoneCallback Done) {
  requestChange(ChangeKind::Remove, std::move(Id), std::move(Done));
}

void ReplicaDriver::setPlaces(MemberPlaces Places) {
  post([&](Inbox &In) { In.Places_ = std::move(Places); });
}

void ReplicaDriver::transferLeadership(DoneCallback Done) {
  transferLeadershipTo("", std::move(Done));
}

void ReplicaDriver::transferLeadershipTo(std::string To, DoneCallback Done) {
  post([&](Inbox &In) {
    In.Transfers_.push_back({std::move(To), std::move(Done)});
  });
}

std::optional<std::uint64_t> ReplicaDriver::findLeaseTerm(TimePoint Now) const {
  std::lock_guard Guard(LeaseLock_);
  if (Now >= Lease_.End_)
    return std::nullopt;
  return Lease_.Term_;
}

void ReplicaDriver::setLease(const LeaderLease &Value) {
  std::lock_guard Guard(LeaseLock_);
  Lease_ = Value;
}

ReplicaStatus ReplicaDriver::getStatus() const {
  std::lock_guard Guard(StatusLock_);
  return Status_;
}

void ReplicaDriver::stop() {
  post([](Inbox &In) { In.IsStopping_ = true; });
  if (Thread_.joinable())
    Thread_.join();
  Writer_->stop();
}

ReplicaDriver::Inbox ReplicaDriver::takeInbox() {
  std::unique_lock Guard(InboxLock_);
  for (TimePoint Now = Time_.now(); Now < NextTick_; Now = Time_.now()) {
    const bool AreDue = !Inbox_.Calls_.empty() && Now >= NextProposalTime_;
    if (AreDue || Inbox_.isUrgent())
      break;
    const TimePoint Until = Inbox_.Calls_.empty()
                                ? NextTick_
                                : std::min(NextTick_, NextProposalTime_);
    Wake_.wait_for(Guard, Until - Now);
  }
  bool IsStopping = Inbox_.IsStopping_;
  Inbox Taken = std::exchange(Inbox_, Inbox{});
  Inbox_.IsStopping_ = IsStopping;
  // Other input was urgent; the proposals stay until the end of their interval.
  if (!IsStopping && Time_.now() < NextProposalTime_)
    std::swap(Taken.Calls_, Inbox_.Calls_);
  return Taken;
}

void ReplicaDriver::run() {
  for (;;) {
    Inbox In = takeInbox();
    // The tick comes before all other input, so that a process that was frozen
    // first learns how much time has passed.
    if (Time_.now() >= NextTick_)
      tick();
    handleInbox(In);
    publish();
    if (!In.IsStopping_)
      continue;
    setLease({});
    Pending_.failAll(
        Error::make(ErrorCode::Unavailable, "this replica is stopping"));
    return;
  }
}

void ReplicaDriver::handleInbox(Inbox &In) {
  if (In.Failure_)
    failWith(*In.Failure_);
  if (In.Places_)
    Places_ = std::move(*In.Places_);
  for (const Synced &Mark : In.Synced_)
    step(Mark);
  for (const std::string &Bytes : In.Messages_)
    handleMessage(Bytes);
  proposeAll(In.Calls_);
  ReadRequested Reads;
  for (DoneCallback &Done : In.Reads_)
    Reads.Ids_.push_back(Pending_.addOther(std::move(Done)));
  if (!Reads.Ids_.empty())
    step(std::move(Reads));
  for (Change &Request : In.Changes_)
    step(ChangeRequested{Pending_.addOther(std::move(Request.Done_)),
                         Request.Kind_, std::move(Request.Member_)});
  for (TransferCall &Request : In.Transfers_)
    step(TransferRequested{Pending_.addOther(std::move(Request.Done_)),
                           std::move(Request.To_)});
}

void ReplicaDriver::tick() {
  NextTick_ = Time_.now() + getTickInterval();
  step(Tick{});
  proposeMembershipChange();
  if (HasFailed_ || Time_.now() < NextJoinProbe_)
    return;
  NextJoinProbe_ = Time_.now() + Settings_.ElectionTimeout_ / 2;
  if (Core_.getLog().isEmpty()) {
    processOutputs(
        MajorityBootstrap_.tick(Time_.now(), getMajorityLocalState()));
    return processOutputs(Bootstrap_.ask(getLocalState()));
  }
  // No message tells a member that it was removed while it was down.
  if (Settings_.TargetVoters_ > 0 && !Core_.getLeader())
    processOutputs(Bootstrap_.requestJoin());
}

void ReplicaDriver::proposeMembershipChange() {
  bool IsDue = Settings_.RejoinsLostDisks_ && !HasFailed_ &&
               Core_.getRole() == Role::Leader &&
               Time_.now() >= NextMembershipCheck_;
  if (!IsDue)
    return;
  NextMembershipCheck_ = Time_.now() + Settings_.HeartbeatInterval_;
  const std::optional<ChangeRequested> &Current = Core_.getChange();
  // An operator's change takes precedence. An automatic change may be replaced,
  // as it may no longer be needed.
  if (Current && Current->Id_ != 0)
    return;
  const std::vector<MemberHealth> Health = listMemberHealth();
  auto Next = planRejoin(Health, getJoinRequests());
  if (!Next && Settings_.TargetVoters_ > 0)
    Next = planMembers(Health, getJoinRequests(), Settings_.TargetVoters_,
                       Places_);
  if (!Next || Next == Current)
    return;
  if (Next->Kind_ == ChangeKind::AddLearner)
    Bootstrap_.removeJoinRequest(Next->Member_.Name_);
  step(*Next);
}

void ReplicaDriver::handleMessage(const std::string &Bytes) {
  Outcome<Message> Decoded = decodeMessage(Settings_.Group_, Bytes);
  if (!Decoded || HasFailed_)
    return;
  const bool IsBootstrapMessage =
      isAnyOf<JoinProbe, JoinReply, BootstrapGroup>(Decoded.value());
  const bool IsMajorityMessage =
      isAnyOf<BootstrapPrepare, BootstrapPromise, BootstrapProposal,
              BootstrapAcceptance, BootstrapResult>(Decoded.value());
  const std::optional<MemberId> &Leader = Core_.getLeader();
  const bool IsForLeader =
      std::holds_alternative<JoinProbe>(Decoded.value().Body_) && Leader &&
      Core_.getRole() != Role::Leader &&
      Decoded.value().From_.Name_ != Leader->Name_;
  // A member that asks to join knows some members but not the leader, so the
  // request is forwarded.
  if (IsForLeader && Decoded.value().To_.Name_ == Settings_.Name_) {
    Message Passed = Decoded.value();
    Passed.To_ = MemberId{Leader->Name_, 0};
    sendAll({Passed});
  }
  if (IsBootstrapMessage)
    processOutputs(Bootstrap_.receive(Decoded.value(), getLocalState()));
  else if (IsMajorityMessage)
    processOutputs(MajorityBootstrap_.receive(Decoded.value(), Time_.now(),
                                              getMajorityLocalState()));
  else
    step(Received{std::move(Decoded.value())});
}

void ReplicaDriver::proposeAll(std::vector<Call> &Calls) {
  Proposed Batch;
  for (Call &PendingCall : Calls) {
    std::uint64_t Id = Pending_.addProposal(std::move(PendingCall.Done_));
    Batch.Proposals_.push_back({Id, std::move(PendingCall.Command_)});
  }
  if (Batch.Proposals_.empty())
    return;
  NextProposalTime_ = Time_.now() + Settings_.ProposalBatchInterval_;
  step(std::move(Batch));
}

void ReplicaDriver::step(decltype(Input::Event_) Event) {
  if (HasFailed_) {
    Pending_.failAll(Error::make(ErrorCode::Unavailable,
                                 "this replica has stopped; see its status"));
    return;
  }
  processOutputs(Core_.step({Time_.now(), std::move(Event)}));
}

void ReplicaDriver::processOutputs(Outputs Out) {
  // The lease is updated before any message is sent: leadership transfer
  // depends on it.
  setLease({Core_.getLeaseEnd(), Core_.getTerm()});
  sendAll(Out.MessagesBeforeSync_);
  write(Out);
  for (const Accepted &Place : Out.Accepted_)
    Pending_.accept(Place);
  if (Out.Restore_)
    restore(*Out.Restore_);
  applyAll(Out.Committed_);
  for (const Finished &End : Out.Finished_)
    Pending_.finish(End, Applied_);
  bool IsLeader = Core_.getRole() == Role::Leader;
  if (std::exchange(WasLeader_, IsLeader) && !IsLeader)
    Pending_.failAppended(Error::make(
        ErrorCode::Unavailable,
        "leadership was lost; the proposal may or may not take effect"));
  if (!Out.Committed_.empty())
    takeSnapshotIfDue();
}

void ReplicaDriver::write(Outputs &Out) {
  WriteJob Job;
  Job.HasBatch_ = Out.Hard_ || !Out.Appended_.empty();
  if (Out.Hard_)
    Hard_ = std::move(*Out.Hard_);
  Job.Batch_ = {Hard_, std::move(Out.Appended_)};
  Job.Checkpoint_ = std::move(Out.Checkpoint_);
  Job.Messages_ = std::move(Out.MessagesAfterSync_);
  if (Job.HasBatch_ || Job.Checkpoint_ || !Job.Messages_.empty())
    Writer_->submit(std::move(Job));
}

void ReplicaDriver::restore(const Snapshot &From) {
  Outcome<void> Restored = Machine_.restoreSnapshot(From.State_);
  if (!Restored) {
    failWith(Restored.error());
    return;
  }
  Applied_ = From.Index_;
  NextSnapshot_ = From.Index_ + Settings_.SnapshotEvery_;
  SnapshotBytes_ = From.State_.size();
  BytesSinceSnapshot_ = 0;
}

void ReplicaDriver::applyAll(const std::vector<LogEntry> &Entries) {
  if (HasFailed_ || Entries.empty())
    return;
  std::vector<std::string> Results(Entries.size());
  Machine_.beginBatch();
  for (std::size_t I = 0; I < Entries.size(); ++I) {
    const LogEntry &Entry = Entries[I];
    if (Entry.Kind_ == EntryKind::Command)
      Results[I] =
          Machine_.apply({Entry.Term_, Entry.Index_, Entry.Command_.view()});
    Applied_ = Entry.Index_;
    BytesSinceSnapshot_ += Entry.Command_.size();
  }
  Machine_.endBatch();
  for (std::size_t I = 0; I < Entries.size(); ++I)
    Pending_.apply(Entries[I], std::move(Results[I]));
  Pending_.completeReads(Applied_);
}

/// Returns whether the size of the entries since the last snapshot triggers the
/// next one, before SnapshotEvery_ entries.
bool ReplicaDriver::isSnapshotDueForSize() const {
  return BytesSinceSnapshot_ >= std::max(SnapshotAfterBytes_, SnapshotBytes_);
}

/// Returns whether a snapshot is due. Snapshots write no more bytes than the
/// log itself, but are delayed by at most MaxSnapshotDelay times the configured
/// number of entries.
bool ReplicaDriver::isSnapshotDue() const {
  if (Settings_.SnapshotEvery_ == 0 || HasFailed_)
    return false;
  if (Applied_ < NextSnapshot_)
    return isSnapshotDueForSize();
  std::uint64_t Latest =
      NextSnapshot_ + Settings_.SnapshotEvery_ * (MaxSnapshotDelay - 1);
  return BytesSinceSnapshot_ >= SnapshotBytes_ || Applied_ >= Latest;
}

void ReplicaDriver::takeSnapshotIfDue() {
  if (!isSnapshotDue())
    return;
  ++Snapshots_;
  if (Applied_ < NextSnapshot_)
    ++SnapshotsForSize_;
  NextSnapshot_ = Applied_ + Settings_.SnapshotEvery_;
  SnapshotAfterBytes_ = Settings_.MaxLogBytes_ / 2;
  std::uint64_t Kept = std::min(Applied_, Settings_.SnapshotEvery_ / 10);
  std::string State = Machine_.takeSnapshot();
  SnapshotBytes_ = State.size();
  BytesSinceSnapshot_ = 0;
  step(SnapshotTaken{Applied_, std::move(State), Applied_ - Kept});
}

LocalState ReplicaDriver::getLocalState() const {
  const RaftLog &Log = Core_.getLog();
  LocalState Local;
  Local.IsEmpty_ = Log.isEmpty() && Core_.getTerm() == 0;
  bool HasFirst = Log.getBaseIndex() == 0 && !Log.isEmpty();
  if (HasFirst)
    Local.InitialMembers_ = Log.at(1).Members_;
  return Local;
}

/// A vote commits this member to no list of initial members, so it still counts
/// as empty for MajorityBootstrap, which lets only one list be chosen.
LocalState ReplicaDriver::getMajorityLocalState() const {
  LocalState Local = getLocalState();
  Local.IsEmpty_ = Core_.getLog().isEmpty();
  return Local;
}

void ReplicaDriver::processOutputs(BootstrapOutputs Out) {
  if (Out.Promise_) {
    Outcome<void> Saved = Storage_->saveIdentity(*Out.Promise_);
    if (!Saved) {
      failWith(Saved.error());
      return;
    }
  }
  bootstrap(std::move(Out.BootstrapMembers_), std::move(Out.Messages_));
}

void ReplicaDriver::processOutputs(MajorityBootstrapOutputs Out) {
  if (Out.State_) {
    Outcome<void> Saved = Storage_->saveBootstrap(Status_.Self_, *Out.State_);
    if (!Saved) {
      failWith(Saved.error());
      return;
    }
  }
  bootstrap(std::move(Out.ChosenMembers_), std::move(Out.Messages_));
}

void ReplicaDriver::bootstrap(std::vector<Member> Members,
                              std::vector<Message> Messages) {
  if (!Members.empty())
    step(GroupBootstrapped{std::move(Members)});
  // The messages follow the first log entry in the writer's queue.
  WriteJob Job;
  Job.Messages_ = std::move(Messages);
  if (!Job.Messages_.empty())
    Writer_->submit(std::move(Job));
}

void ReplicaDriver::failWith(const Error &Why) {
  HasFailed_ = true;
  setLease({});
  Pending_.failAll(Error::make(ErrorCode::Unavailable,
                               "this replica has stopped: " + Why.Message_));
  std::lock_guard Guard(StatusLock_);
  Status_.Failure_ = Why.Message_;
}

void ReplicaDriver::sendAll(const std::vector<Message> &Messages) {
  for (const Message &Msg : Messages)
    Out_.send(Msg.To_.Name_, encodeMessage(Settings_.Group_, Msg));
}
