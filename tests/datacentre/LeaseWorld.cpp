//===- LeaseWorld.cpp - Leaders, servers and a bad network ----------------===//

#include "datacentre/LeaseWorld.h"

using namespace tulipweir;
using namespace tulipweir::datacentre;
using std::chrono::milliseconds;

static constexpr Duration Step = milliseconds(2);
static constexpr Duration LeaderLease = milliseconds(60);
static constexpr double MostDrift = 0.1;
static constexpr int Jobs = 3;
static constexpr std::uint32_t TasksPerJob = 4;

LeaseWorld::LeaseWorld(const LeaseFaults &Faults, unsigned Seed)
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
  CutUntil_.resize(Servers_.size());
  StuckUntil_.resize(Servers_.size());
  elect();
}

DriftingClock LeaseWorld::makeClock() {
  DriftingClock Clock;
  if (Faults_.Drift_)
    Clock.Rate_ = 1 + MostDrift * (pick(2) == 0 ? -1 : 1);
  return Clock;
}

/// Called when no earlier leader's lease can still hold.
void LeaseWorld::elect() {
  auto Next = std::make_unique<Leader>();
  Next->Term_ = Leaders_.size() + 1;
  Next->Clock_ = makeClock();
  if (!Leaders_.empty()) {
    Leader &Old = *Leaders_.back();
    // What was under way is kept up to some point and lost after it.
    const std::size_t Kept = pick(static_cast<int>(Old.Pending_.size()) + 1);
    for (std::size_t I = 0; I < Kept; ++I)
      Log_.push_back({Old.Term_, Old.Pending_[I].second});
    Old.Pending_.clear();
    ++Changes_;
    // Some entries, and the servers behind them, see only the old leader.
    for (Duration &Until : StuckUntil_)
      if (Faults_.FrozenLeader_ && pick(3) == 0)
        Until = Real_ + milliseconds(pick(2500));
  }
  catchUp(*Next, static_cast<int>(Log_.size()));
  Next->Ledger_ = std::make_unique<ServerLedger>(
      Settings_, Next->Term_, Next->Clock_.at(Real_), Next->State_);
  NextElection_ = Real_ + milliseconds(150 + pick(600));
  Leaders_.push_back(std::move(Next));
}

void LeaseWorld::catchUp(Leader &Of, int Most) {
  for (; Most > 0 && Of.Applied_ < Log_.size(); --Most) {
    const LogEntry &Entry = Log_[Of.Applied_++];
    std::vector<Change> Changes;
    Of.State_.apply(Entry.Command_, Entry.Term_, Of.Applied_, &Changes);
    if (!Of.Ledger_)
      continue;
    for (const Change &Each : Changes) {
      Of.Ledger_->note(Each);
      Lost_ += Each.Kind_ == ChangeKind::AttemptEnded &&
               Each.End_ == AttemptEnd::Lost;
    }
    if (Entry.Term_ == Of.Term_)
      Of.Ledger_->noteDone(Entry.Command_);
  }
}

void LeaseWorld::propose(Leader &By, const Command &Value) {
  if (&By != Leaders_.back().get())
    return;
  const int Most = pick(20) == 0 ? 150 : 6;
  By.Pending_.emplace_back(Real_ + milliseconds(pick(Most)), Value);
}

void LeaseWorld::commit(Leader &By) {
  while (!By.Pending_.empty() && By.Pending_.front().first <= Real_ &&
         Real_ < By.LeadsUntil_) {
    Log_.push_back({By.Term_, By.Pending_.front().second});
    By.Pending_.pop_front();
  }
}

/// Stands in for the planner and the operators.
void LeaseWorld::schedule(Leader &By) {
  // What is applied lags, but does not fall behind for good.
  if (By.Pending_.size() + Log_.size() - By.Applied_ > 6)
    return;
  if (By.State_.jobs().size() < Jobs && By.Pending_.empty()) {
    const JobId Id("j" + std::to_string(NextJob_++ / 4));
    propose(By, AdoptJob{{Id, TeamId("t"), JobClassId("c"), 1, TasksPerJob,
                          Resources{}, "p", 1000},
                         1,
                         ""});
  }
  for (const auto &[Id, Job] : By.State_.jobs()) {
    if (Job.Ended_ == Job.Tasks_.size())
      propose(By, DropJob{Id});
    else if (pick(1500) == 0)
      propose(By, CancelJob{Id});
    for (std::uint32_t Index = 0; Index < TasksPerJob; ++Index)
      scheduleTask(By, {Id, Index}, Job.Tasks_[Index]);
  }
}

void LeaseWorld::scheduleTask(Leader &By, const TaskId &Id,
                              const TaskRecord &Task) {
  if (Task.State_ == TaskState::Placed && pick(250) == 0)
    By.Ledger_->attempts().requestCheckpoint(Id, Task.Attempt_);
  if (Task.State_ == TaskState::Placed && pick(600) == 0)
    By.Ledger_->attempts().requestStop(Id, Task.Attempt_);
  const auto Server = By.State_.findServer(Servers_[pick(3)].Id_);
  if (Task.State_ != TaskState::Waiting || !Server || pick(3) == 0)
    return;
  propose(By, PlaceTask{Id, AttemptNumber(Task.Attempt_.value() + 1),
                        Server->Info_.Server_, Server->Info_.Boot_,
                        Resources::makeFor(1 + pick(3), 1, 1)});
}

void LeaseWorld::send(std::function<void()> Deliver, bool FromLeader) {
  int Most = 6;
  int Copies = 1;
  if (Faults_.Disorder_) {
    Most = pick(20) == 0 ? 1500 : pick(4) == 0 ? 400 : 20;
    Copies = pick(10) == 0 ? 2 : pick(12) == 0 ? 0 : 1;
  }
  if (Faults_.FrozenLeader_ && FromLeader && pick(4) == 0)
    Most = 1500;
  for (; Copies > 0; --Copies)
    Messages_.push_back({Real_ + milliseconds(pick(Most)), Deliver});
}

void LeaseWorld::announce(std::size_t Server) {
  const wire::Announcement Value = Servers_[Server].announce(Real_);
  // The entry may not know the latest leader yet.
  const bool Old = Real_ < StuckUntil_[Server] || pick(4) == 0;
  const std::size_t Back = Old && Leaders_.size() > 1 ? 2 : 1;
  Leader &To = *Leaders_[Leaders_.size() - Back];
  if (Real_ < CutUntil_[Server])
    return;
  send([this, &To, Value, Server] { onAnnouncement(To, Value, Server); },
       false);
}

void LeaseWorld::onAnnouncement(Leader &At, const wire::Announcement &Value,
                                std::size_t Server) {
  const LeaderMoment Moment{At.Clock_.at(Real_), Real_ < At.LeadsUntil_};
  const auto Result = At.Ledger_->onAnnouncement(Value, At.State_, Moment);
  if (!Result)
    return;
  if (Result.value().Fresh_)
    for (const wire::AttemptReport &Report : Value.Attempts_)
      At.Shown_.insert({Report.Task_, Report.Token_});
  for (const wire::TaskCommand &C : Result.value().Reply_.Commands_) {
    if (C.Kind_ != wire::TaskCommandKind::Start)
      continue;
    const TaskRecord *Task = At.State_.findTask(C.Task_);
    const bool Placed = Task && Task->State_ == TaskState::Placed &&
                        Task->Token_ == C.Token_ &&
                        Task->Server_ == Value.Server_;
    if (!Placed)
      Problem_ = "a start without a committed place: " + C.Task_.toString();
    if (At.Shown_.count({C.Task_, C.Token_}))
      Problem_ = "a start after it was shown: " + C.Task_.toString();
  }
  for (const Command &Each : Result.value().Proposals_)
    propose(At, Each);
  const BootId Boot = Value.Boot_;
  const std::uint64_t Sequence = Value.Sequence_;
  const wire::AnnouncementReply Reply = Result.value().Reply_;
  send(
      [this, Server, Boot, Sequence, Reply] {
        FakeBackendServer &To = Servers_[Server];
        if (Real_ >= CutUntil_[Server] && To.boot() == Boot)
          To.onReply(Sequence, Reply, Real_);
      },
      true);
}

void LeaseWorld::deliver() {
  std::vector<Message> Due;
  std::erase_if(Messages_, [&](const Message &Each) {
    if (Each.Due_ > Real_)
      return false;
    Due.push_back(Each);
    return true;
  });
  for (const Message &Each : Due)
    Each.Deliver_();
}

/// Now and then a boot lives only for one announcement, or is cut off early.
void LeaseWorld::reboot(std::size_t Server) {
  for (int Times = pick(2); Times >= 0; --Times) {
    Servers_[Server].reboot();
    announce(Server);
  }
  if (Faults_.CutServers_ && pick(2) == 0)
    CutUntil_[Server] = Real_ + milliseconds(pick(900));
}

void LeaseWorld::stepServers() {
  for (std::size_t I = 0; I < Servers_.size(); ++I) {
    FakeBackendServer &Server = Servers_[I];
    Server.tick(Real_);
    if (Faults_.CutServers_ && pick(500) == 0)
      CutUntil_[I] = Real_ + milliseconds(pick(1500));
    if (Faults_.Reboots_ && pick(1200) == 0)
      reboot(I);
    if (pick(500) == 0)
      Server.Draining_ = !Server.Draining_;
    if (Faults_.Reboots_ && !Server.Held_.empty() && pick(1000) == 0)
      Server.Held_.erase(Server.Held_.begin()); // A server that forgets.
    for (auto &[Task, Held] : Server.Held_)
      if (FakeBackendServer::isRunning(Held) && pick(300) == 0)
        Held.Report_.State_ = pick(3) == 0 ? wire::AttemptState::Finished
                                           : wire::AttemptState::Failed;
    if (pick(10) == 0)
      announce(I);
  }
}

std::string LeaseWorld::check() {
  std::map<TaskId, int> Running;
  for (const FakeBackendServer &Server : Servers_) {
    Resources Sum;
    for (const auto &[Task, Held] : Server.Held_) {
      if (!FakeBackendServer::isRunning(Held))
        continue;
      Sum = Sum + Held.Reservation_;
      if (++Running[Task] > 1)
        return Task.toString() + " runs in two places";
    }
    if (!Sum.fitsIn(Server.Capacity_))
      return Server.Id_.value() + " is overfull";
  }
  return Problem_;
}

std::string LeaseWorld::run(Duration Length) {
  std::set<std::pair<TaskId, FencingToken>> Seen;
  while (Real_ < Length) {
    Real_ += Step;
    Leader &Now = *Leaders_.back();
    const bool Fading = Faults_.LeaderChanges_ && Real_ > NextElection_;
    if (!Fading)
      Now.LeadsUntil_ = Real_ + LeaderLease;
    stepServers();
    deliver();
    for (auto &Each : Leaders_)
      catchUp(*Each, pick(4));
    if (Real_ < Now.LeadsUntil_) {
      commit(Now);
      for (const Command &Each :
           Now.Ledger_->onTick(Now.State_, Now.Clock_.at(Real_)))
        propose(Now, Each);
      schedule(Now);
    } else if (pick(6) == 0) {
      elect();
    }
    for (const FakeBackendServer &Server : Servers_)
      for (const auto &[Task, Held] : Server.Held_)
        Starts_ += FakeBackendServer::isRunning(Held) &&
                   Seen.insert({Task, Held.Report_.Token_}).second;
    const std::string Broken = check();
    if (!Broken.empty())
      return Broken + " at " +
             std::to_string(
                 std::chrono::duration_cast<milliseconds>(Real_).count()) +
             " ms";
  }
  return "";
}
