//===- PlannerState.cpp - All that the planner knows --------------------===//

#include "decide/PlannerState.h"

#include <algorithm>
#include <cassert>
#include <cmath>

using namespace tulipweir;
using namespace tulipweir::decide;

/// Tasks remembered between attempts, beyond those that wait or run.
static constexpr std::size_t MaxMemories = 32768;
/// Back-off of a task that failed: doubles from the first to the longest.
static constexpr Duration FirstBackoff = std::chrono::seconds(1);
static constexpr Duration LongestBackoff = std::chrono::seconds(60);
/// How long a task that was evicted or failed on a server avoids it.
static constexpr Duration AvoidTime = std::chrono::seconds(60);

/// Effects between which a class is put off, none to in full: a server full
/// of it lengthens a service's p99 by 5% or by 300%.
static constexpr double HarmlessWeight = 0.05;
static constexpr double CostlyWeight = 3;

PlannerState::PlannerState(const Policy &Settings)
    : Policy_(Settings), Queue_(Settings, [this](const TaskInfo &Task) {
        return handicapOf(Task);
      }) {
  indexTargets();
}

void PlannerState::indexTargets() {
  Quotas_.clear();
  for (const TeamQuota &Quota : Policy_.Quotas_)
    Quotas_[Quota.Team_] = Quota.Limit_;
  Targets_.clear();
  for (const ServiceTarget &Target : Policy_.Targets_)
    Targets_[Target.Service_] =
        std::chrono::duration<double, std::micro>(Target.P99_).count();
}

void PlannerState::setPolicy(const Policy &Settings) {
  Policy_ = Settings;
  indexTargets();
  Queue_.setPolicy(Settings);
}

void PlannerState::upsertServer(const ServerInfo &Info) {
  const ServerIndex Server = Servers_.intern(Info.Server_);
  const bool IsNew = !Servers_.at(Server).Present_;
  const Resources Before = Servers_.at(Server).limit();
  Servers_.upsert(Info, Racks_.intern(Info.Rack_));
  const ServerHealth Health = Health_.healthOf(Info.Server_);
  Servers_.setQuarantine(Server, Health == ServerHealth::Quarantined,
                         Health == ServerHealth::Suspect ||
                             Health == ServerHealth::Probation);
  if (Info.Draining_ && !Servers_.at(Server).Tasks_.empty())
    Leaving_.insert(Server);
  const bool Grew = IsNew || !Servers_.at(Server).limit().fitsIn(Before);
  if (!Grew || Info.Draining_)
    return;
  Queue_.wakeReason(ReasonCode::NeverFits);
  roomGrew(Server);
}

void PlannerState::removeServer(const BackendServerId &Server) {
  Servers_.remove(Server);
}

TaskMemory &PlannerState::memoryOf(const TaskId &Task) {
  const auto Found = Memory_.find(Task);
  if (Found != Memory_.end())
    return Found->second;
  MemoryOrder_.push_back(Task);
  if (MemoryOrder_.size() > MaxMemories) {
    Memory_.erase(MemoryOrder_.front());
    MemoryOrder_.pop_front();
  }
  return Memory_[Task];
}

void PlannerState::enqueue(const TaskInfo &Task, TimePoint Since) {
  const TaskMemory *Known = findMemory(Task.Task_);
  if (Known && Known->Failures_ > 0 && Known->RetryAt_ > Since) {
    BackingOff_[Task.Task_] = {Task, Since};
    Retries_.insert({Known->RetryAt_, Task.Task_});
    return;
  }
  const bool Resumes = Known && Known->FirstSince_ != TimePoint();
  Queue_.add(Task, Resumes ? std::min(Known->FirstSince_, Since) : Since);
}

void PlannerState::addWaiting(const TaskInfo &Task, TimePoint Now) {
  const TaskMemory *Known = findMemory(Task.Task_);
  if (Known && Task.NextAttempt_ <= Known->Ended_)
    return;
  if (const RunningTask *Running = findRunning(Task.Task_)) {
    if (Running->Attempt_ < Task.NextAttempt_)
      Later_[Task.Task_] = {Task, Now};
    return;
  }
  if (Proposals_.contains(Task.Task_) || BackingOff_.contains(Task.Task_))
    return;
  enqueue(Task, Now);
}

void PlannerState::removeWaiting(const TaskId &Task) {
  Later_.erase(Task);
  Queue_.remove(Task);
  BackingOff_.erase(Task);
  dropProposal(Task);
}

void PlannerState::notePlaced(const TaskInfo &Task, AttemptNumber Attempt,
                              const BackendServerId &Server,
                              const Resources &Reservation, TimePoint Now) {
  const TaskMemory *Known = findMemory(Task.Task_);
  const RunningTask *Before = findRunning(Task.Task_);
  const bool Stale = (Known && Attempt <= Known->Ended_) ||
                     (Before && Attempt <= Before->Attempt_);
  if (Stale)
    return;
  if (Before)
    dropRunning(Task.Task_, Now);
  removeWaiting(Task.Task_);
  RunningTask &Added = Running_[Task.Task_];
  Added.Info_ = Task;
  Added.Attempt_ = Attempt;
  Added.Server_ = Servers_.intern(Server);
  Added.Class_ = Classes_.intern(Task.Class_);
  Added.Reservation_ = Reservation;
  Added.PlacedAt_ = Now;
  Servers_.addTask(Added, Now);
  Servers_.setUnproven(Added, !Sizes_.isKnown(Added.Class_));
  ServerEntry &Home = Servers_.at(Added.Server_);
  if (!Home.takesWork())
    Leaving_.insert(Added.Server_);
  Held_[Task.Team_] = Held_[Task.Team_] + Reservation;
  Spread_.add(Task.Task_.Job_, Home.Rack_);
}

void PlannerState::dropRunning(const TaskId &Task, TimePoint Now) {
  dropGrowth(Task);
  const auto Found = Running_.find(Task);
  RunningTask &Value = Found->second;
  const ServerIndex Server = Value.Server_;
  const std::uint32_t Rack = Servers_.at(Server).Rack_;
  guardEffectSeen(Value);
  Held_[Value.Info_.Team_] = Held_[Value.Info_.Team_] - Value.Reservation_;
  Spread_.remove(Task.Job_, Rack);
  Servers_.removeTask(Value, Now);
  Running_.erase(Found);
  Queue_.wakeReason(ReasonCode::QuotaReached);
  roomGrew(Server);
}

void PlannerState::roomGrew(ServerIndex Server) {
  const ServerEntry &Entry = Servers_.at(Server);
  if (!Entry.Claims_.empty())
    ClaimsToCheck_.insert(Server);
  if (Entry.takesWork())
    Queue_.wakeFitting(Entry.room());
}

void PlannerState::noteReservation(const TaskId &Task, AttemptNumber Attempt,
                                   const Resources &Reservation) {
  RunningTask *Value = findRunning(Task);
  if (!Value || Value->Attempt_ != Attempt)
    return;
  dropGrowth(Task);
  auto &Held = Held_[Value->Info_.Team_];
  Held = Held - Value->Reservation_ + Reservation;
  const bool Shrinks = Reservation.fitsIn(Value->Reservation_);
  // The change counts from the last thing that happened on the server.
  Servers_.resizeTask(*Value, Reservation, Value->PlacedAt_);
  Value->PendingUntil_ = TimePoint();
  Value->OverReports_ = 0;
  if (Shrinks)
    roomGrew(Value->Server_);
}

void PlannerState::guardEffectSeen(RunningTask &Task) {
  if (!Task.GuardPending_)
    return;
  Task.GuardPending_ = false;
  ServerEntry &Home = Servers_.at(Task.Server_);
  if (--Home.GuardPending_ == 0)
    Home.GuardPendingUntil_ = TimePoint();
}

void PlannerState::noteThrottle(const TaskId &Task, AttemptNumber Attempt,
                                std::uint32_t Percent, TimePoint Now) {
  RunningTask *Value = findRunning(Task);
  if (!Value || Value->Attempt_ != Attempt)
    return;
  Servers_.throttleTask(*Value, Percent, Now);
  guardEffectSeen(*Value);
  Value->PendingUntil_ = TimePoint();
  Value->IgnoreUsageUntil_ = Now;
  ServerEntry &Home = Servers_.at(Value->Server_);
  Home.QuietUntil_ = std::max(Home.QuietUntil_, Now);
}

void PlannerState::noteEnded(const TaskId &Task, AttemptNumber Attempt,
                             EndReason Reason, TimePoint Now) {
  const RunningTask *Value = findRunning(Task);
  const bool IsRunning = Value && Value->Attempt_ == Attempt;
  TaskMemory &Memory = memoryOf(Task);
  Memory.Ended_ = std::max(Memory.Ended_, Attempt);
  if (!IsRunning)
    return;
  ServerEntry &Home = Servers_.at(Value->Server_);
  const BackendServerId Server = Home.Info_.Server_;
  if (Reason == EndReason::Failed) {
    ++Memory.Failures_;
    const std::uint32_t Doublings = std::min(Memory.Failures_ - 1, 10U);
    Memory.RetryAt_ =
        Now + std::min(FirstBackoff * (1U << Doublings), LongestBackoff);
    Health_.noteFailed(Task.Job_, Server, Now, Policy_);
  }
  if (Reason == EndReason::Finished) {
    Memory.Failures_ = 0;
    Health_.noteHealthy(Task.Job_, Server, Now, Policy_);
  }
  if (Reason == EndReason::Failed || Reason == EndReason::Evicted) {
    Memory.Avoid_ = Server;
    Memory.AvoidUntil_ = Now + AvoidTime;
  }
  if (Reason == EndReason::Evicted || Reason == EndReason::Lost)
    Memory.FirstSince_ = Value->PlacedAt_;
  if (Reason == EndReason::Evicted)
    Home.QuietUntil_ = std::max(Home.QuietUntil_, Now);
  dropRunning(Task, Now);
  const auto Next = Later_.find(Task);
  if (Next == Later_.end())
    return;
  const WaitingTask Waits = Next->second;
  Later_.erase(Next);
  if (Waits.Info_.NextAttempt_ > Attempt)
    enqueue(Waits.Info_, Now);
}

void PlannerState::propose(const TaskId &Task, ServerIndex Server,
                           const Resources &Reservation, TimePoint ExpiresAt,
                           bool IsClaim) {
  const WaitingTask Waits = *Queue_.find(Task);
  Queue_.remove(Task);
  Proposals_[Task] = {Waits, Server, Reservation, ExpiresAt, IsClaim};
  Expiries_.insert({ExpiresAt, Task});
  Servers_.hold(Server, Reservation);
  Held_[Waits.Info_.Team_] = Held_[Waits.Info_.Team_] + Reservation;
  if (!IsClaim)
    return;
  Servers_.at(Server).Claims_.push_back(Task);
  ++Claims_;
}

static void eraseClaim(ServerEntry &Entry, const TaskId &Task) {
  std::erase(Entry.Claims_, Task);
}

void PlannerState::settleClaim(const TaskId &Task, TimePoint ExpiresAt) {
  Proposal &Value = Proposals_.at(Task);
  assert(Value.IsClaim_ && "only a claim can be settled");
  eraseClaim(Servers_.at(Value.Server_), Task);
  --Claims_;
  Value.IsClaim_ = false;
  Expiries_.erase({Value.ExpiresAt_, Task});
  Value.ExpiresAt_ = ExpiresAt;
  Expiries_.insert({ExpiresAt, Task});
}

std::optional<WaitingTask> PlannerState::dropProposal(const TaskId &Task) {
  const auto Found = Proposals_.find(Task);
  if (Found == Proposals_.end())
    return std::nullopt;
  const Proposal Value = Found->second;
  Proposals_.erase(Found);
  Expiries_.erase({Value.ExpiresAt_, Task});
  if (Value.IsClaim_) {
    eraseClaim(Servers_.at(Value.Server_), Task);
    --Claims_;
  }
  auto &Held = Held_[Value.Task_.Info_.Team_];
  Held = Held - Value.Reservation_;
  Servers_.release(Value.Server_, Value.Reservation_);
  roomGrew(Value.Server_);
  return Value.Task_;
}

void PlannerState::holdGrowth(const TaskId &Task, const Resources &Amount,
                              TimePoint ExpiresAt) {
  dropGrowth(Task);
  const ServerIndex Server = findRunning(Task)->Server_;
  Servers_.hold(Server, Amount);
  Growths_[Task] = {Server, Amount, ExpiresAt};
  GrowthExpiries_.insert({ExpiresAt, Task});
}

void PlannerState::dropGrowth(const TaskId &Task) {
  const auto Found = Growths_.find(Task);
  if (Found == Growths_.end())
    return;
  const Growth Value = Found->second;
  Growths_.erase(Found);
  GrowthExpiries_.erase({Value.ExpiresAt_, Task});
  Servers_.release(Value.Server_, Value.Amount_);
  roomGrew(Value.Server_);
}

void PlannerState::expire(TimePoint Now, std::size_t Most) {
  for (std::size_t I = 0; I < Most && !GrowthExpiries_.empty(); ++I) {
    const auto First = *GrowthExpiries_.begin();
    if (First.first > Now)
      break;
    dropGrowth(First.second);
  }
  for (std::size_t I = 0; I < Most && !Expiries_.empty(); ++I) {
    const auto First = *Expiries_.begin();
    if (First.first > Now)
      break;
    const auto Waits = dropProposal(First.second);
    if (Waits)
      Queue_.add(Waits->Info_, Waits->Since_);
  }
  for (std::size_t I = 0; I < Most && !Retries_.empty(); ++I) {
    const auto First = *Retries_.begin();
    if (First.first > Now)
      break;
    Retries_.erase(Retries_.begin());
    const auto Waits = BackingOff_.find(First.second);
    if (Waits == BackingOff_.end())
      continue;
    Queue_.add(Waits->second.Info_, Waits->second.Since_);
    BackingOff_.erase(Waits);
  }
}

RunningTask *PlannerState::findRunning(const TaskId &Task) {
  const auto Found = Running_.find(Task);
  return Found == Running_.end() ? nullptr : &Found->second;
}

const RunningTask *PlannerState::findRunning(const TaskId &Task) const {
  const auto Found = Running_.find(Task);
  return Found == Running_.end() ? nullptr : &Found->second;
}

const Proposal *PlannerState::findProposal(const TaskId &Task) const {
  const auto Found = Proposals_.find(Task);
  return Found == Proposals_.end() ? nullptr : &Found->second;
}

const TaskMemory *PlannerState::findMemory(const TaskId &Task) const {
  const auto Found = Memory_.find(Task);
  return Found == Memory_.end() ? nullptr : &Found->second;
}

Resources PlannerState::heldBy(const TeamId &Team) const {
  const auto Found = Held_.find(Team);
  return Found == Held_.end() ? Resources{} : Found->second;
}

std::optional<Resources> PlannerState::quotaOf(const TeamId &Team) const {
  const auto Found = Quotas_.find(Team);
  if (Found == Quotas_.end())
    return std::nullopt;
  return Found->second;
}

std::optional<TimePoint> PlannerState::retryTimeOf(const TaskId &Task) const {
  const TaskMemory *Known = findMemory(Task);
  if (!Known || !BackingOff_.contains(Task))
    return std::nullopt;
  return Known->RetryAt_;
}

Duration PlannerState::handicapOf(const TaskInfo &Task) const {
  const auto Class = Classes_.find(Task.Class_);
  if (!Class || Task.Priority_ >= Policy_.UrgentPriority_)
    return Duration::zero();
  // A guess counts like a harmless class, so that it is tried and learned.
  double Worst = 0;
  for (ServiceIndex Service = 0; Service < Services_.size(); ++Service)
    if (targetMicros(Service) > 0)
      Worst = std::max(Worst, Effects_.largestWeight(Service, *Class));
  const double Range = std::log(CostlyWeight / HarmlessWeight);
  const double Part = std::clamp(
      std::log(std::max(Worst, HarmlessWeight) / HarmlessWeight) / Range, 0.0,
      1.0);
  return std::chrono::duration_cast<Duration>(
      Part * Policy_.CostlyClassSteps_ *
      std::chrono::duration<double, std::nano>(Policy_.AgeingStep_));
}

double PlannerState::targetMicros(ServiceIndex Service) const {
  const auto Found = Targets_.find(Services_.nameOf(Service));
  return Found == Targets_.end() ? 0 : Found->second;
}
