//===- LeaseSimulation.cpp - Simulates task leases under faults -----------===//

#include "datacentre/LeaseSimulation.h"

using namespace tulipweir;
using namespace tulipweir::datacentre;
using std::chrono::milliseconds;

static constexpr Duration Step = milliseconds(2);
static constexpr Duration LeaderLease = milliseconds(60);
static constexpr double MaxDrift = 0.1;
static constexpr int MaxJobs = 3;
static constexpr std::uint32_t TasksPerJob = 4;

LeaseSimulation::LeaseSimulation(const LeaseFaults &Faults, unsigned Seed)
    : Faults_(Faults), Random_(Seed) {
  Settings_.Leases_ = {milliseconds(600), 100'000, milliseconds(80)};
  Settings_.Heartbeat_ = milliseconds(20);
  Settings_.SilentAfter_ = milliseconds(60);
  Settings_.ForgetAfter_ = milliseconds(1500);
  for (int I = 0; I < 3; ++I) {
    FakeBackendServer Server;
    Server.Id_ = BackendServerId("s" + std::to_string(I));
    Server.Clock_ = makeClock();
    Server.Capacity_ = Resources::makeFor(6, 6, 6);
    Server.StopDelay_ = milliseconds(pick(4) == 0 ? 0 : 80);
    Servers_.push_back(Server);
  }
  PartitionedUntil_.resize(Servers_.size());
  OldLeaderUntil_.resize(Servers_.size());
  elect();
}

DriftingClock LeaseSimulation::makeClock() {
  DriftingClock Clock;
  if (Faults_.Drift_)
    Clock.Rate_ = 1 + MaxDrift * (pick(2) == 0 ? -1 : 1);
  return Clock;
}

/// Elects a new leader. Called when the leader lease of the previous one has
/// expired.
void LeaseSimulation::elect() {
  auto Next = std::make_unique<Leader>();
  Next->Term_ = Leaders_.size() + 1;
  Next->Clock_ = makeClock();
  if (!Leaders_.empty()) {
    Leader &Old = *Leaders_.back();
    // A prefix of the pending proposals is committed and the rest is lost.
    const std::size_t Kept = pick(static_cast<int>(Old.Pending_.size()) + 1);
    for (std::size_t I = 0; I < Kept; ++I)
      Log_.push_back({Old.Term_, Old.Pending_[I].second});
    Old.Pending_.clear();
    ++Changes_;
    // Some servers still reach only the old leader.
    for (Duration &Until : OldLeaderUntil_)
      if (Faults_.FrozenLeader_ && pick(3) == 0)
        Until = RealTime_ + milliseconds(pick(2500));
  }
  applyLog(*Next, static_cast<int>(Log_.size()));
  Next->Tracker_ = std::make_unique<ServerTracker>(
      Settings_, Next->Term_, Next->Clock_.at(RealTime_), Next->State_);
  NextElection_ = RealTime_ + milliseconds(150 + pick(600));
  Leaders_.push_back(std::move(Next));
}

void LeaseSimulation::applyLog(Leader &Replica, int MaxEntries) {
  for (; MaxEntries > 0 && Replica.Applied_ < Log_.size(); --MaxEntries) {
    const LogEntry &Entry = Log_[Replica.Applied_++];
    std::vector<Change> Changes;
    Replica.State_.apply(Entry.Command_, Entry.Term_, Replica.Applied_,
                         &Changes);
    if (!Replica.Tracker_)
      continue;
    for (const Change &Applied : Changes) {
      Replica.Tracker_->onChange(Applied);
      Lost_ += Applied.Kind_ == ChangeKind::AttemptEnded &&
               Applied.End_ == AttemptEnd::Lost;
    }
    if (Entry.Term_ == Replica.Term_)
      Replica.Tracker_->onProposalDone(Entry.Command_);
  }
}

void LeaseSimulation::propose(Leader &Proposer, const Command &Value) {
  if (&Proposer != Leaders_.back().get())
    return;
  const int MaxDelay = pick(20) == 0 ? 150 : 6;
  Proposer.Pending_.emplace_back(RealTime_ + milliseconds(pick(MaxDelay)),
                                 Value);
}

void LeaseSimulation::commit(Leader &Proposer) {
  while (!Proposer.Pending_.empty() &&
         Proposer.Pending_.front().first <= RealTime_ &&
         RealTime_ < Proposer.LeadsUntil_) {
    Log_.push_back({Proposer.Term_, Proposer.Pending_.front().second});
    Proposer.Pending_.pop_front();
  }
}

/// Simulates the planner and the operators.
void LeaseSimulation::schedule(Leader &Proposer) {
  // The applied state lags behind, but not without bound.
  if (Proposer.Pending_.size() + Log_.size() - Proposer.Applied_ > 6)
    return;
  if (Proposer.State_.jobs().size() < MaxJobs && Proposer.Pending_.empty()) {
    const JobId Id("j" + std::to_string(NextJob_++ / 4));
    propose(Proposer, AdoptJob{{Id, TeamId("t"), JobClassId("c"), 1,
                                TasksPerJob, Resources{}, "p", 1000},
                               1,
                               ""});
  }
  for (const auto &[Id, Job] : Proposer.State_.jobs()) {
    if (Job.Ended_ == Job.Tasks_.size())
      propose(Proposer, DropJob{Id});
    else if (pick(1500) == 0)
      propose(Proposer, CancelJob{Id});
    for (std::uint32_t Index = 0; Index < TasksPerJob; ++Index)
      scheduleTask(Proposer, {Id, Index}, Job.Tasks_[Index]);
  }
}

void LeaseSimulation::scheduleTask(Leader &Proposer, const TaskId &Id,
                                   const TaskRecord &Task) {
  if (Task.State_ == TaskState::Placed && pick(250) == 0)
    Proposer.Tracker_->attempts().requestCheckpoint(Id, Task.Attempt_);
  if (Task.State_ == TaskState::Placed && pick(600) == 0)
    Proposer.Tracker_->attempts().requestStop(Id, Task.Attempt_);
  const auto Server = Proposer.State_.findServer(Servers_[pick(3)].Id_);
  if (Task.State_ != TaskState::Waiting || !Server || pick(3) == 0)
    return;
  propose(Proposer, PlaceTask{Id, AttemptNumber(Task.Attempt_.value() + 1),
                              Server->Info_.Server_, Server->Info_.Boot_,
                              Resources::makeFor(1 + pick(3), 1, 1)});
}

void LeaseSimulation::send(std::function<void()> Deliver, bool FromLeader) {
  int MaxDelay = 6;
  int Copies = 1;
  if (Faults_.Disorder_) {
    MaxDelay = pick(20) == 0 ? 1500 : pick(4) == 0 ? 400 : 20;
    Copies = pick(10) == 0 ? 2 : pick(12) == 0 ? 0 : 1;
  }
  if (Faults_.FrozenLeader_ && FromLeader && pick(4) == 0)
    MaxDelay = 1500;
  for (; Copies > 0; --Copies)
    Messages_.push_back({RealTime_ + milliseconds(pick(MaxDelay)), Deliver});
}

void LeaseSimulation::announce(std::size_t Server) {
  const wire::Announcement Value = Servers_[Server].announce(RealTime_);
  // The announcement may go to the previous leader.
  const bool Old = RealTime_ < OldLeaderUntil_[Server] || pick(4) == 0;
  const std::size_t Back = Old && Leaders_.size() > 1 ? 2 : 1;
  Leader &Receiver = *Leaders_[Leaders_.size() - Back];
  if (RealTime_ < PartitionedUntil_[Server])
    return;
  send([this, &Receiver, Value,
        Server] { onAnnouncement(Receiver, Value, Server); },
       false);
}

void LeaseSimulation::onAnnouncement(Leader &Receiver,
                                     const wire::Announcement &Value,
                                     std::size_t Server) {
  const LeadershipCheck Check{Receiver.Clock_.at(RealTime_),
                              RealTime_ < Receiver.LeadsUntil_};
  const auto Result =
      Receiver.Tracker_->onAnnouncement(Value, Receiver.State_, Check);
  if (!Result)
    return;
  if (Result.value().IsNewest_)
    for (const wire::AttemptReport &Report : Value.Attempts_)
      Receiver.Reported_.insert({Report.Task_, Report.Token_});
  for (const wire::TaskCommand &C : Result.value().Reply_.Commands_) {
    if (C.Kind_ != wire::TaskCommandKind::Start)
      continue;
    const TaskRecord *Task = Receiver.State_.findTask(C.Task_);
    const bool Placed = Task && Task->State_ == TaskState::Placed &&
                        Task->Token_ == C.Token_ &&
                        Task->Server_ == Value.Server_;
    if (!Placed)
      Violation_ = "start without a committed placement: " + C.Task_.toString();
    if (Receiver.Reported_.count({C.Task_, C.Token_}))
      Violation_ =
          "start after the attempt was reported: " + C.Task_.toString();
  }
  for (const Command &Proposal : Result.value().Proposals_)
    propose(Receiver, Proposal);
  const BootId Boot = Value.Boot_;
  const std::uint64_t Sequence = Value.Sequence_;
  const wire::AnnouncementReply Reply = Result.value().Reply_;
  send(
      [this, Server, Boot, Sequence, Reply] {
        FakeBackendServer &Recipient = Servers_[Server];
        if (RealTime_ >= PartitionedUntil_[Server] &&
            Recipient.getBootId() == Boot)
          Recipient.onReply(Sequence, Reply, RealTime_);
      },
      true);
}

void LeaseSimulation::deliver() {
  std::vector<Message> Due;
  std::erase_if(Messages_, [&](const Message &Pending) {
    if (Pending.Due_ > RealTime_)
      return false;
    Due.push_back(Pending);
    return true;
  });
  for (const Message &Arrived : Due)
    Arrived.Deliver_();
}

/// Restarts the server. Sometimes a boot lasts for a single announcement, or is
/// partitioned right after it starts.
void LeaseSimulation::reboot(std::size_t Server) {
  for (int Times = pick(2); Times >= 0; --Times) {
    Servers_[Server].reboot();
    announce(Server);
  }
  if (Faults_.PartitionServers_ && pick(2) == 0)
    PartitionedUntil_[Server] = RealTime_ + milliseconds(pick(900));
}

void LeaseSimulation::stepServers() {
  for (std::size_t I = 0; I < Servers_.size(); ++I) {
    FakeBackendServer &Server = Servers_[I];
    Server.tick(RealTime_);
    if (Faults_.PartitionServers_ && pick(500) == 0)
      PartitionedUntil_[I] = RealTime_ + milliseconds(pick(1500));
    if (Faults_.Reboots_ && pick(1200) == 0)
      reboot(I);
    if (pick(500) == 0)
      Server.Draining_ = !Server.Draining_;
    if (Faults_.Reboots_ && !Server.Held_.empty() && pick(1000) == 0)
      Server.Held_.erase(Server.Held_.begin()); // The server loses an attempt.
    for (auto &[Task, Held] : Server.Held_)
      if (FakeBackendServer::isRunning(Held) && pick(300) == 0)
        Held.Report_.State_ = pick(3) == 0 ? wire::AttemptState::Finished
                                           : wire::AttemptState::Failed;
    if (pick(10) == 0)
      announce(I);
  }
}

std::string LeaseSimulation::check() {
  std::map<TaskId, int> Running;
  for (const FakeBackendServer &Server : Servers_) {
    Resources Sum;
    for (const auto &[Task, Held] : Server.Held_) {
      if (!FakeBackendServer::isRunning(Held))
        continue;
      Sum = Sum + Held.Reservation_;
      if (++Running[Task] > 1)
        return Task.toString() + " runs on two servers";
    }
    if (!Sum.fitsIn(Server.Capacity_))
      return Server.Id_.value() + " exceeds its capacity";
  }
  return Violation_;
}

std::string LeaseSimulation::run(Duration Length) {
  std::set<std::pair<TaskId, FencingToken>> Started;
  while (RealTime_ < Length) {
    RealTime_ += Step;
    Leader &Current = *Leaders_.back();
    const bool LosingLease =
        Faults_.LeaderChanges_ && RealTime_ > NextElection_;
    if (!LosingLease)
      Current.LeadsUntil_ = RealTime_ + LeaderLease;
    stepServers();
    deliver();
    for (auto &Replica : Leaders_)
      applyLog(*Replica, pick(4));
    if (RealTime_ < Current.LeadsUntil_) {
      commit(Current);
      for (const Command &Proposal : Current.Tracker_->onTick(
               Current.State_, Current.Clock_.at(RealTime_)))
        propose(Current, Proposal);
      schedule(Current);
    } else if (pick(6) == 0) {
      elect();
    }
    for (const FakeBackendServer &Server : Servers_)
      for (const auto &[Task, Held] : Server.Held_)
        Starts_ += FakeBackendServer::isRunning(Held) &&
                   Started.insert({Task, Held.Report_.Token_}).second;
    const std::string Violation = check();
    if (!Violation.empty())
      return Violation + " at " +
             std::to_string(
                 std::chrono::duration_cast<milliseconds>(RealTime_).count()) +
             " ms";
  }
  return "";
}
