//===- PlacementRound.cpp - Placement of waiting tasks -------------------===//

#include "decide/PlacementRound.h"

#include "decide/Text.h"

#include <algorithm>
#include <limits>

using namespace tulipweir;
using namespace tulipweir::decide;

/// Time to wait for the effect of a placement, or of the evictions that make
/// room for one, before it is decided again.
static constexpr Duration PlacementTimeout = std::chrono::seconds(5);
static constexpr Duration EvictionTimeout = std::chrono::seconds(10);
static constexpr Duration PreemptionClaimTimeout = std::chrono::seconds(20);
/// How long a server stays claimed for a task without evictions.
static constexpr Duration ClaimTimeout = std::chrono::minutes(10);
/// A server is claimed for a task that found no room for this many ageing
/// steps.
static constexpr int AgeingStepsBeforeClaim = 2;
/// At most MinClaims servers are claimed at a time, plus one per
/// ServersPerClaim servers.
static constexpr std::size_t MinClaims = 2;
static constexpr std::size_t ServersPerClaim = 32;
/// Servers that are compared to claim one.
static constexpr std::size_t ClaimSamples = 8;

PlacementRound::PlacementRound(PlannerState &State, std::uint64_t Seed)
    : State_(State), Placer_(State, Seed), Preemptor_(State),
      Random_(Seed + 1) {}

bool PlacementRound::isUrgent(const TaskInfo &Task) const {
  return Task.Priority_ >= State_.Policy_.UrgentPriority_;
}

void PlacementRound::placeUrgent(TimePoint Now, std::size_t Budget,
                                 std::vector<Decision> &Decisions) {
  placeWaiting(true, Now, Budget, Decisions);
}

void PlacementRound::placeAll(TimePoint Now, std::size_t Budget,
                              std::vector<Decision> &Decisions) {
  placeWaiting(false, Now, Budget, Decisions);
}

void PlacementRound::placeWaiting(bool UrgentOnly, TimePoint Now,
                                  std::size_t Budget,
                                  std::vector<Decision> &Decisions) {
  const std::size_t End = Decisions.size() + Budget;
  // A group that is parked again for the same reason adds no decision, so the
  // number of tries is bounded too.
  std::size_t RemainingTries = Budget * 2;
  while (Decisions.size() < End && RemainingTries-- > 0) {
    const WaitingTask *Waiting = State_.Queue_.first();
    if (!Waiting || (UrgentOnly && !isUrgent(Waiting->Info_)))
      return;
    if (!tryPlace(*Waiting, Now, End - Decisions.size(), Decisions))
      return;
  }
}

bool PlacementRound::tryPlace(const WaitingTask &Waiting, TimePoint Now,
                              std::size_t Budget,
                              std::vector<Decision> &Decisions) {
  const TaskInfo Task = Waiting.Info_;
  PlacementChoice Choice = Placer_.choose(Task, Now);
  if (Choice.Server_) {
    place(Task, std::move(Choice), Now, Decisions);
    return true;
  }
  if (Choice.Reason_ == ReasonCode::NoRoom) {
    const std::size_t Before = Decisions.size();
    if (isUrgent(Task) &&
        !tryPreempt(Task, Choice.Reservation_, Now, Budget, Decisions))
      return false;
    if (Decisions.size() > Before)
      return true;
    if (tryClaimServer(Waiting, Choice.Reservation_, Now, Decisions))
      return true;
  }
  parkTask(Task, Choice, Now, Decisions);
  return true;
}

static Decision makeTaskDecision(DecisionKind Kind, ReasonCode Reason,
                                 const TaskInfo &Task,
                                 const Resources &Reservation) {
  Decision Result;
  Result.Kind_ = Kind;
  Result.Reason_ = Reason;
  Result.Task_ = Task.Task_;
  Result.Attempt_ = Task.NextAttempt_;
  Result.Reservation_ = Reservation;
  return Result;
}

void PlacementRound::place(const TaskInfo &Task, PlacementChoice Choice,
                           TimePoint Now, std::vector<Decision> &Decisions) {
  auto Result = makeTaskDecision(DecisionKind::Place, ReasonCode::BestScore,
                                 Task, Choice.Reservation_);
  const ServerEntry &Server = State_.Servers_.at(*Choice.Server_);
  Result.Server_ = Server.Info_.Server_;
  Result.Candidates_ = std::move(Choice.Candidates_);
  const Candidate &Best = Result.Candidates_.front();
  Result.Text_ =
      "task " + Task.Task_.toString() + " starts on " +
      Server.Info_.Server_.value() + " with " + describe(Choice.Reservation_) +
      " reserved (declared " + describe(Task.Declared_) + "): score " +
      describe(Best.Score_) + " is the best of " +
      std::to_string(Result.Candidates_.size()) + " shown (" + Best.Note_ + ")";
  State_.propose(Task.Task_, *Choice.Server_, Choice.Reservation_,
                 Now + PlacementTimeout, false);
  Decisions.push_back(std::move(Result));
}

bool PlacementRound::tryPreempt(const TaskInfo &Task, const Resources &Needed,
                                TimePoint Now, std::size_t Budget,
                                std::vector<Decision> &Decisions) {
  const auto Plan = Preemptor_.findCheapest(Needed, Task.Priority_, Now);
  if (!Plan)
    return true;
  if (Plan->Victims_.size() > Budget)
    return !Decisions.empty() ? false : true;
  const ServerEntry &Server = State_.Servers_.at(Plan->Server_);
  for (RunningTask *Victim : Plan->Victims_) {
    auto Result = makeTaskDecision(DecisionKind::Evict, ReasonCode::UrgentWork,
                                   Victim->Info_, Victim->Reservation_);
    Result.Attempt_ = Victim->Attempt_;
    Result.Server_ = Server.Info_.Server_;
    Result.ThrottlePercent_ = Victim->ThrottlePercent_;
    Result.Text_ = "task " + Victim->Info_.Task_.toString() + " (priority " +
                   std::to_string(Victim->Info_.Priority_) +
                   ") is evicted from " + Server.Info_.Server_.value() +
                   " to make room for urgent task " + Task.Task_.toString() +
                   " (priority " + std::to_string(Task.Priority_) +
                   "); this loses " + describe(estimateWorkLost(*Victim, Now)) +
                   " of work";
    Victim->PendingUntil_ = Now + EvictionTimeout;
    Decisions.push_back(std::move(Result));
  }
  State_.propose(Task.Task_, Plan->Server_, Needed,
                 Now + PreemptionClaimTimeout, true);
  return true;
}

/// Returns the smallest ratio of Room to Needed over the dimensions.
static double computeFitRatio(const Resources &Needed, const Resources &Room) {
  const auto ComputeRatio = [](std::int64_t Wanted, std::int64_t Free) {
    if (Wanted <= 0)
      return 1.0;
    return static_cast<double>(Free) / static_cast<double>(Wanted);
  };
  return std::min({ComputeRatio(Needed.MilliCpus_, Room.MilliCpus_),
                   ComputeRatio(Needed.MemoryMib_, Room.MemoryMib_),
                   ComputeRatio(Needed.Accelerators_, Room.Accelerators_)});
}

bool PlacementRound::tryClaimServer(const WaitingTask &Waiting,
                                    const Resources &Needed, TimePoint Now,
                                    std::vector<Decision> &Decisions) {
  const Duration MinWait = State_.Policy_.AgeingStep_ * AgeingStepsBeforeClaim;
  const std::size_t Limit =
      MinClaims + State_.Servers_.size() / ServersPerClaim;
  if (Now - Waiting.Since_ < MinWait || State_.countClaims() >= Limit)
    return false;
  std::optional<ServerIndex> Best;
  double BestRatio = -std::numeric_limits<double>::infinity();
  for (std::size_t I = 0; I < ClaimSamples; ++I) {
    const auto From =
        static_cast<ServerIndex>(Random_() % State_.Servers_.size());
    const auto Server = State_.Servers_.limits().findFrom(From, Needed);
    if (!Server || State_.Servers_.at(*Server).ProbeOnly_)
      continue;
    const double Ratio =
        computeFitRatio(Needed, State_.Servers_.at(*Server).room());
    if (Ratio <= BestRatio)
      continue;
    Best = Server;
    BestRatio = Ratio;
  }
  if (!Best)
    return false;
  const TaskInfo Task = Waiting.Info_;
  auto Result =
      makeTaskDecision(DecisionKind::Hold, ReasonCode::NoRoom, Task, Needed);
  Result.Server_ = State_.Servers_.at(*Best).Info_.Server_;
  Result.Text_ = "task " + Task.Task_.toString() + " has waited " +
                 describe(Duration(Now - Waiting.Since_)) + " for " +
                 describe(Needed) + "; " + Result.Server_->value() +
                 " is reserved for it and accepts no other task until it fits";
  State_.propose(Task.Task_, *Best, Needed, Now + ClaimTimeout, true);
  Decisions.push_back(std::move(Result));
  return true;
}

std::string decide::describeObstacle(const PlannerState &State,
                                     const TaskInfo &Task,
                                     const Resources &Needed,
                                     ReasonCode Reason) {
  if (Reason == ReasonCode::QuotaReached)
    return "team " + Task.Team_.value() + " holds " +
           describe(State.getTeamUsage(Task.Team_)) + " of its quota of " +
           describe(State.findQuota(Task.Team_).value_or(Resources())) +
           ", and the task needs " + describe(Needed);
  if (Reason == ReasonCode::NeverFits)
    return "no known server could hold it even when empty; the largest "
           "capacity per dimension is " +
           describe(State.Servers_.allLimits().maximum()) + ", lacking " +
           describeShortage(Needed, State.Servers_.allLimits().maximum());
  if (Reason == ReasonCode::AllQuarantined)
    return "every server that could hold it is quarantined";
  if (Reason == ReasonCode::TailAtRisk)
    return "on every server with room that was considered, a service would "
           "exceed its p99 target";
  if (Reason == ReasonCode::BackingOff)
    return "it failed or was evicted on the servers with room, and avoids "
           "them for a while";
  return "no server has " + describe(Needed) + " free; short of " +
         describeShortage(Needed, State.Servers_.room().maximum());
}

void PlacementRound::parkTask(const TaskInfo &Task,
                              const PlacementChoice &Choice, TimePoint Now,
                              std::vector<Decision> &Decisions) {
  if (!State_.Queue_.park(Task.Task_, Choice.Reason_, Now))
    return;
  auto Result = makeTaskDecision(DecisionKind::Hold, Choice.Reason_, Task,
                                 Choice.Reservation_);
  Result.Candidates_ = Choice.Candidates_;
  Result.Text_ =
      "task " + Task.Task_.toString() + " waits: " +
      describeObstacle(State_, Task, Choice.Reservation_, Choice.Reason_);
  Decisions.push_back(std::move(Result));
}

void PlacementRound::placeClaimedTasks(TimePoint Now, std::size_t Budget,
                                       std::vector<Decision> &Decisions) {
  const std::size_t End = Decisions.size() + Budget;
  while (!State_.ClaimsToCheck_.empty() && Decisions.size() < End) {
    const ServerIndex Index = *State_.ClaimsToCheck_.begin();
    State_.ClaimsToCheck_.erase(State_.ClaimsToCheck_.begin());
    const ServerEntry &Server = State_.Servers_.at(Index);
    if (!Server.acceptsTasks())
      continue;
    // The held resources include those of the claim itself, so the task fits
    // once the free room plus the claim's reservation is large enough.
    const auto Claims = Server.Claims_;
    for (const TaskId &Id : Claims) {
      const Proposal Claim = *State_.findProposal(Id);
      const Resources Room = Server.room() + Claim.Reservation_;
      if (!Claim.Reservation_.fitsIn(Room) || Decisions.size() >= End)
        continue;
      State_.convertClaim(Id, Now + PlacementTimeout);
      auto Result = makeTaskDecision(DecisionKind::Place, ReasonCode::BestScore,
                                     Claim.Task_.Info_, Claim.Reservation_);
      Result.Server_ = Server.Info_.Server_;
      Result.Candidates_ = {
          Candidate{Server.Info_.Server_, true, 1, "room was cleared for it"}};
      Result.Text_ = "task " + Id.toString() + " starts on " +
                     Server.Info_.Server_.value() + " with " +
                     describe(Claim.Reservation_) +
                     " reserved, the room cleared for it";
      Decisions.push_back(std::move(Result));
    }
  }
}

void PlacementRound::evictFromDraining(TimePoint Now, std::size_t Budget,
                                       std::vector<Decision> &Decisions) {
  const std::size_t End = Decisions.size() + Budget;
  auto Next = State_.DrainingServers_.begin();
  while (Next != State_.DrainingServers_.end() && Decisions.size() < End) {
    const ServerEntry &Server = State_.Servers_.at(*Next);
    if (!Server.Info_.Draining_ || Server.Tasks_.empty()) {
      Next = State_.DrainingServers_.erase(Next);
      continue;
    }
    ++Next;
    for (RunningTask *Task : Server.Tasks_) {
      if (Decisions.size() >= End)
        return;
      if (Now < Task->PendingUntil_)
        continue;
      auto Result =
          makeTaskDecision(DecisionKind::Evict, ReasonCode::ServerLeaving,
                           Task->Info_, Task->Reservation_);
      Result.Attempt_ = Task->Attempt_;
      Result.Server_ = Server.Info_.Server_;
      Result.Text_ = "task " + Task->Info_.Task_.toString() +
                     " is evicted from " + Server.Info_.Server_.value() +
                     ", which is draining";
      Task->PendingUntil_ = Now + EvictionTimeout;
      Decisions.push_back(std::move(Result));
    }
  }
}
