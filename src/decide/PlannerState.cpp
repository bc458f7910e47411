//===- PlannerState.cpp - State of the planner ---------------------------===//

#include "decide/PlannerState.h"

#include <algorithm>
#include <cassert>
#include <cmath>

using namespace tulipweir;
using namespace tulipweir::decide;

/// Maximum number of task records, beside waiting and running tasks.
static constexpr std::size_t MaxRecords = 32768;
/// Back-off after a failure: doubles from the initial to the maximum value.
static constexpr Duration InitialBackoff = std::chrono::seconds(1);
static constexpr Duration MaxBackoff = std::chrono::seconds(60);
/// How long a task avoids the server on which it failed or from which it was
/// evicted.
static constexpr Duration AvoidanceTime = std::chrono::seconds(60);

/// The order penalty of a class grows from none to full between these weights:
/// a server full of the class lengthens a service's p99 by 5% or by 300%.
static constexpr double NoPenaltyWeight = 0.05;
static constexpr double FullPenaltyWeight = 3;

PlannerState::PlannerState(const Policy &Settings)
    : Policy_(Settings), Queue_(Settings, [this](const TaskInfo &Task) {
        return computeOrderPenalty(Task);
      }) {
  indexPolicy();
}

void PlannerState::indexPolicy() {
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
  indexPolicy();
  Queue_.setPolicy(Settings);
}

void PlannerState::upsertServer(const ServerInfo &Info) {
  const ServerIndex Server = Servers_.intern(Info.Server_);
  const bool IsNew = !Servers_.at(Server).Present_;
  const Resources Before = Servers_.at(Server).limit();
  Servers_.upsert(Info, Racks_.intern(Info.Rack_));
  const ServerHealth Health = Health_.getHealth(Info.Server_);
  Servers_.setQuarantine(Server, Health == ServerHealth::Quarantined,
                         Health == ServerHealth::Suspect ||
                             Health == ServerHealth::Probation);
  if (Info.Draining_ && !Servers_.at(Server).Tasks_.empty())
    DrainingServers_.insert(Server);
  const bool Grew = IsNew || !Servers_.at(Server).limit().fitsIn(Before);
  if (!Grew || Info.Draining_)
    return;
  Queue_.wakeReason(ReasonCode::NeverFits);
  wakeTasksForRoom(Server);
}

void PlannerState::removeServer(const BackendServerId &Server) {
  Servers_.remove(Server);
}

TaskRecord &PlannerState::getOrCreateRecord(const TaskId &Task) {
  const auto It = Records_.find(Task);
  if (It != Records_.end())
    return It->second;
  RecordOrder_.push_back(Task);
  if (RecordOrder_.size() > MaxRecords) {
    Records_.erase(RecordOrder_.front());
    RecordOrder_.pop_front();
  }
  return Records_[Task];
}

void PlannerState::enqueue(const TaskInfo &Task, TimePoint Since) {
  const TaskRecord *Record = findRecord(Task.Task_);
  if (Record && Record->Failures_ > 0 && Record->RetryAt_ > Since) {
    BackingOff_[Task.Task_] = {Task, Since};
    Retries_.insert({Record->RetryAt_, Task.Task_});
    return;
  }
  const bool Resumes = Record && Record->WaitingSince_ != TimePoint();
  Queue_.add(Task, Resumes ? std::min(Record->WaitingSince_, Since) : Since);
}

void PlannerState::addWaiting(const TaskInfo &Task, TimePoint Now) {
  const TaskRecord *Record = findRecord(Task.Task_);
  if (Record && Task.NextAttempt_ <= Record->LastEndedAttempt_)
    return;
  if (const RunningTask *Running = findRunning(Task.Task_)) {
    if (Running->Attempt_ < Task.NextAttempt_)
      NextAttempts_[Task.Task_] = {Task, Now};
    return;
  }
  if (Proposals_.contains(Task.Task_) || BackingOff_.contains(Task.Task_))
    return;
  enqueue(Task, Now);
}

void PlannerState::removeWaiting(const TaskId &Task) {
  NextAttempts_.erase(Task);
  Queue_.remove(Task);
  BackingOff_.erase(Task);
  dropProposal(Task);
}

void PlannerState::recordPlacement(const TaskInfo &Task, AttemptNumber Attempt,
                                   const BackendServerId &Server,
                                   const Resources &Reservation,
                                   TimePoint Now) {
  const TaskRecord *Record = findRecord(Task.Task_);
  const RunningTask *Before = findRunning(Task.Task_);
  const bool Stale = (Record && Attempt <= Record->LastEndedAttempt_) ||
                     (Before && Attempt <= Before->Attempt_);
  if (Stale)
    return;
  if (Before)
    removeRunning(Task.Task_, Now);
  removeWaiting(Task.Task_);
  RunningTask &Added = Running_[Task.Task_];
  Added.Info_ = Task;
  Added.Attempt_ = Attempt;
  Added.Server_ = Servers_.intern(Server);
  Added.Class_ = Classes_.intern(Task.Class_);
  Added.Reservation_ = Reservation;
  Added.PlacedAt_ = Now;
  Servers_.addTask(Added, Now);
  Servers_.setUnmeasured(Added, !Sizes_.isKnown(Added.Class_));
  ServerEntry &Entry = Servers_.at(Added.Server_);
  if (!Entry.acceptsTasks())
    DrainingServers_.insert(Added.Server_);
  TeamUsage_[Task.Team_] = TeamUsage_[Task.Team_] + Reservation;
  Spread_.add(Task.Task_.Job_, Entry.Rack_);
}

void PlannerState::removeRunning(const TaskId &Task, TimePoint Now) {
  releaseGrowth(Task);
  const auto It = Running_.find(Task);
  RunningTask &Running = It->second;
  const ServerIndex Server = Running.Server_;
  const std::uint32_t Rack = Servers_.at(Server).Rack_;
  clearGuardPending(Running);
  TeamUsage_[Running.Info_.Team_] =
      TeamUsage_[Running.Info_.Team_] - Running.Reservation_;
  Spread_.remove(Task.Job_, Rack);
  Servers_.removeTask(Running, Now);
  Running_.erase(It);
  Queue_.wakeReason(ReasonCode::QuotaReached);
  wakeTasksForRoom(Server);
}

void PlannerState::wakeTasksForRoom(ServerIndex Server) {
  const ServerEntry &Entry = Servers_.at(Server);
  if (!Entry.Claims_.empty())
    ClaimsToCheck_.insert(Server);
  if (Entry.acceptsTasks())
    Queue_.wakeFitting(Entry.room());
}

void PlannerState::updateReservation(const TaskId &Task, AttemptNumber Attempt,
                                     const Resources &Reservation) {
  RunningTask *Running = findRunning(Task);
  if (!Running || Running->Attempt_ != Attempt)
    return;
  releaseGrowth(Task);
  auto &Usage = TeamUsage_[Running->Info_.Team_];
  Usage = Usage - Running->Reservation_ + Reservation;
  const bool Shrinks = Reservation.fitsIn(Running->Reservation_);
  // The time of the change is that of the latest event on the server.
  Servers_.resizeTask(*Running, Reservation, Running->PlacedAt_);
  Running->PendingUntil_ = TimePoint();
  Running->OverReports_ = 0;
  if (Shrinks)
    wakeTasksForRoom(Running->Server_);
}

void PlannerState::clearGuardPending(RunningTask &Task) {
  if (!Task.GuardPending_)
    return;
  Task.GuardPending_ = false;
  ServerEntry &Entry = Servers_.at(Task.Server_);
  if (--Entry.PendingGuardTasks_ == 0)
    Entry.GuardPendingUntil_ = TimePoint();
}

void PlannerState::updateThrottle(const TaskId &Task, AttemptNumber Attempt,
                                  std::uint32_t Percent, TimePoint Now) {
  RunningTask *Running = findRunning(Task);
  if (!Running || Running->Attempt_ != Attempt)
    return;
  Servers_.throttleTask(*Running, Percent, Now);
  clearGuardPending(*Running);
  Running->PendingUntil_ = TimePoint();
  Running->IgnoreUsageUntil_ = Now;
  ServerEntry &Entry = Servers_.at(Running->Server_);
  Entry.IgnoreReportsUntil_ = std::max(Entry.IgnoreReportsUntil_, Now);
}

void PlannerState::recordEnd(const TaskId &Task, AttemptNumber Attempt,
                             EndReason Reason, TimePoint Now) {
  const RunningTask *Running = findRunning(Task);
  const bool IsRunning = Running && Running->Attempt_ == Attempt;
  TaskRecord &Record = getOrCreateRecord(Task);
  Record.LastEndedAttempt_ = std::max(Record.LastEndedAttempt_, Attempt);
  if (!IsRunning)
    return;
  ServerEntry &Entry = Servers_.at(Running->Server_);
  const BackendServerId Server = Entry.Info_.Server_;
  if (Reason == EndReason::Failed) {
    ++Record.Failures_;
    const std::uint32_t Doublings = std::min(Record.Failures_ - 1, 10U);
    Record.RetryAt_ =
        Now + std::min(InitialBackoff * (1U << Doublings), MaxBackoff);
    Health_.recordFailure(Task.Job_, Server, Now, Policy_);
  }
  if (Reason == EndReason::Finished) {
    Record.Failures_ = 0;
    Health_.recordSuccess(Task.Job_, Server, Now, Policy_);
  }
  if (Reason == EndReason::Failed || Reason == EndReason::Evicted) {
    Record.AvoidedServer_ = Server;
    Record.AvoidUntil_ = Now + AvoidanceTime;
  }
  if (Reason == EndReason::Evicted || Reason == EndReason::Lost)
    Record.WaitingSince_ = Running->PlacedAt_;
  if (Reason == EndReason::Evicted)
    Entry.IgnoreReportsUntil_ = std::max(Entry.IgnoreReportsUntil_, Now);
  removeRunning(Task, Now);
  const auto Next = NextAttempts_.find(Task);
  if (Next == NextAttempts_.end())
    return;
  const WaitingTask Waiting = Next->second;
  NextAttempts_.erase(Next);
  if (Waiting.Info_.NextAttempt_ > Attempt)
    enqueue(Waiting.Info_, Now);
}

void PlannerState::propose(const TaskId &Task, ServerIndex Server,
                           const Resources &Reservation, TimePoint ExpiresAt,
                           bool IsClaim) {
  const WaitingTask Waiting = *Queue_.find(Task);
  Queue_.remove(Task);
  Proposals_[Task] = {Waiting, Server, Reservation, ExpiresAt, IsClaim};
  Expiries_.insert({ExpiresAt, Task});
  Servers_.hold(Server, Reservation);
  TeamUsage_[Waiting.Info_.Team_] =
      TeamUsage_[Waiting.Info_.Team_] + Reservation;
  if (!IsClaim)
    return;
  Servers_.at(Server).Claims_.push_back(Task);
  ++ClaimCount_;
}

static void eraseClaim(ServerEntry &Entry, const TaskId &Task) {
  std::erase(Entry.Claims_, Task);
}

void PlannerState::convertClaim(const TaskId &Task, TimePoint ExpiresAt) {
  Proposal &Claim = Proposals_.at(Task);
  assert(Claim.IsClaim_ && "only a claim can be converted");
  eraseClaim(Servers_.at(Claim.Server_), Task);
  --ClaimCount_;
  Claim.IsClaim_ = false;
  Expiries_.erase({Claim.ExpiresAt_, Task});
  Claim.ExpiresAt_ = ExpiresAt;
  Expiries_.insert({ExpiresAt, Task});
}

std::optional<WaitingTask> PlannerState::dropProposal(const TaskId &Task) {
  const auto It = Proposals_.find(Task);
  if (It == Proposals_.end())
    return std::nullopt;
  const Proposal Dropped = It->second;
  Proposals_.erase(It);
  Expiries_.erase({Dropped.ExpiresAt_, Task});
  if (Dropped.IsClaim_) {
    eraseClaim(Servers_.at(Dropped.Server_), Task);
    --ClaimCount_;
  }
  auto &Usage = TeamUsage_[Dropped.Task_.Info_.Team_];
  Usage = Usage - Dropped.Reservation_;
  Servers_.release(Dropped.Server_, Dropped.Reservation_);
  wakeTasksForRoom(Dropped.Server_);
  return Dropped.Task_;
}

void PlannerState::holdGrowth(const TaskId &Task, const Resources &Amount,
                              TimePoint ExpiresAt) {
  releaseGrowth(Task);
  const ServerIndex Server = findRunning(Task)->Server_;
  Servers_.hold(Server, Amount);
  PendingGrowths_[Task] = {Server, Amount, ExpiresAt};
  GrowthExpiries_.insert({ExpiresAt, Task});
}

void PlannerState::releaseGrowth(const TaskId &Task) {
  const auto It = PendingGrowths_.find(Task);
  if (It == PendingGrowths_.end())
    return;
  const PendingGrowth Released = It->second;
  PendingGrowths_.erase(It);
  GrowthExpiries_.erase({Released.ExpiresAt_, Task});
  Servers_.release(Released.Server_, Released.Amount_);
  wakeTasksForRoom(Released.Server_);
}

void PlannerState::expire(TimePoint Now, std::size_t Limit) {
  for (std::size_t I = 0; I < Limit && !GrowthExpiries_.empty(); ++I) {
    const auto First = *GrowthExpiries_.begin();
    if (First.first > Now)
      break;
    releaseGrowth(First.second);
  }
  for (std::size_t I = 0; I < Limit && !Expiries_.empty(); ++I) {
    const auto First = *Expiries_.begin();
    if (First.first > Now)
      break;
    const auto Waiting = dropProposal(First.second);
    if (Waiting)
      Queue_.add(Waiting->Info_, Waiting->Since_);
  }
  for (std::size_t I = 0; I < Limit && !Retries_.empty(); ++I) {
    const auto First = *Retries_.begin();
    if (First.first > Now)
      break;
    Retries_.erase(Retries_.begin());
    const auto Waiting = BackingOff_.find(First.second);
    if (Waiting == BackingOff_.end())
      continue;
    Queue_.add(Waiting->second.Info_, Waiting->second.Since_);
    BackingOff_.erase(Waiting);
  }
}

RunningTask *PlannerState::findRunning(const TaskId &Task) {
  const auto It = Running_.find(Task);
  return It == Running_.end() ? nullptr : &It->second;
}

const RunningTask *PlannerState::findRunning(const TaskId &Task) const {
  const auto It = Running_.find(Task);
  return It == Running_.end() ? nullptr : &It->second;
}

const Proposal *PlannerState::findProposal(const TaskId &Task) const {
  const auto It = Proposals_.find(Task);
  return It == Proposals_.end() ? nullptr : &It->second;
}

const TaskRecord *PlannerState::findRecord(const TaskId &Task) const {
  const auto It = Records_.find(Task);
  return It == Records_.end() ? nullptr : &It->second;
}

Resources PlannerState::getTeamUsage(const TeamId &Team) const {
  const auto It = TeamUsage_.find(Team);
  return It == TeamUsage_.end() ? Resources{} : It->second;
}

std::optional<Resources> PlannerState::findQuota(const TeamId &Team) const {
  const auto It = Quotas_.find(Team);
  if (It == Quotas_.end())
    return std::nullopt;
  return It->second;
}

std::optional<TimePoint> PlannerState::findRetryTime(const TaskId &Task) const {
  const TaskRecord *Record = findRecord(Task);
  if (!Record || !BackingOff_.contains(Task))
    return std::nullopt;
  return Record->RetryAt_;
}

Duration PlannerState::computeOrderPenalty(const TaskInfo &Task) const {
  const auto Class = Classes_.find(Task.Class_);
  if (!Class || Task.Priority_ >= Policy_.UrgentPriority_)
    return Duration::zero();
  // A class without samples gets no penalty, so that it is placed and learned.
  double MaxWeight = 0;
  for (ServiceIndex Service = 0; Service < Services_.size(); ++Service)
    if (getTargetMicros(Service) > 0)
      MaxWeight =
          std::max(MaxWeight, Interference_.getMaxWeight(Service, *Class));
  const double Range = std::log(FullPenaltyWeight / NoPenaltyWeight);
  const double Ratio = std::clamp(
      std::log(std::max(MaxWeight, NoPenaltyWeight) / NoPenaltyWeight) / Range,
      0.0, 1.0);
  return std::chrono::duration_cast<Duration>(
      Ratio * Policy_.CostlyClassSteps_ *
      std::chrono::duration<double, std::nano>(Policy_.AgeingStep_));
}

double PlannerState::getTargetMicros(ServiceIndex Service) const {
  const auto It = Targets_.find(Services_.getName(Service));
  return It == Targets_.end() ? 0 : It->second;
}
