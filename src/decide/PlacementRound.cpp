//===- PlacementRound.cpp - From the queue to placements ----------------===//

#include "decide/PlacementRound.h"

#include "decide/Text.h"

#include <algorithm>
#include <limits>

using namespace tulipweir;
using namespace tulipweir::decide;

/// How long the effect of a placement, and of the evictions that make room for
/// one, is awaited before it is decided again.
static constexpr Duration PlaceTime = std::chrono::seconds(5);
static constexpr Duration EvictTime = std::chrono::seconds(10);
static constexpr Duration ClaimTime = std::chrono::seconds(20);
/// How long a server stays set aside for a task without evictions.
static constexpr Duration SetAsideTime = std::chrono::minutes(10);
/// A task that found no room for this many ageing steps gets one set aside.
static constexpr int StepsToSetAside = 2;
/// Servers set aside at a time: these, and one more per so many servers.
static constexpr std::size_t MinSetAside = 2;
static constexpr std::size_t ServersPerSetAside = 32;
/// Servers compared when one is set aside.
static constexpr std::size_t SetAsideDraws = 8;

PlacementRound::PlacementRound(PlannerState &State, std::uint64_t Seed)
    : State_(State), Placer_(State, Seed), Preemptor_(State),
      Random_(Seed + 1) {}

bool PlacementRound::isUrgent(const TaskInfo &Task) const {
  return Task.Priority_ >= State_.Policy_.UrgentPriority_;
}

void PlacementRound::placeUrgent(TimePoint Now, std::size_t Budget,
                                 std::vector<Decision> &Decisions) {
  placeWhile(true, Now, Budget, Decisions);
}

void PlacementRound::placeAll(TimePoint Now, std::size_t Budget,
                              std::vector<Decision> &Decisions) {
  placeWhile(false, Now, Budget, Decisions);
}

void PlacementRound::placeWhile(bool UrgentOnly, TimePoint Now,
                                std::size_t Budget,
                                std::vector<Decision> &Decisions) {
  const std::size_t End = Decisions.size() + Budget;
  // A group that is parked again for the same reason makes no decision.
  std::size_t Looks = Budget * 2;
  while (Decisions.size() < End && Looks-- > 0) {
    const WaitingTask *Waits = State_.Queue_.first();
    if (!Waits || (UrgentOnly && !isUrgent(Waits->Info_)))
      return;
    if (!tryTask(*Waits, Now, End - Decisions.size(), Decisions))
      return;
  }
}

bool PlacementRound::tryTask(const WaitingTask &Waits, TimePoint Now,
                             std::size_t Budget,
                             std::vector<Decision> &Decisions) {
  const TaskInfo Task = Waits.Info_;
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
    if (trySetAside(Waits, Choice.Reservation_, Now, Decisions))
      return true;
  }
  hold(Task, Choice, Now, Decisions);
  return true;
}

static Decision makeTaskDecision(DecisionKind Kind, ReasonCode Reason,
                                 const TaskInfo &Task,
                                 const Resources &Reservation) {
  Decision Value;
  Value.Kind_ = Kind;
  Value.Reason_ = Reason;
  Value.Task_ = Task.Task_;
  Value.Attempt_ = Task.NextAttempt_;
  Value.Reservation_ = Reservation;
  return Value;
}

void PlacementRound::place(const TaskInfo &Task, PlacementChoice Choice,
                           TimePoint Now, std::vector<Decision> &Decisions) {
  auto Value = makeTaskDecision(DecisionKind::Place, ReasonCode::BestScore,
                                Task, Choice.Reservation_);
  const ServerEntry &Server = State_.Servers_.at(*Choice.Server_);
  Value.Server_ = Server.Info_.Server_;
  Value.Candidates_ = std::move(Choice.Candidates_);
  const Candidate &Best = Value.Candidates_.front();
  Value.Text_ = "task " + Task.Task_.toString() + " starts on " +
                Server.Info_.Server_.value() + " with " +
                describe(Choice.Reservation_) + " reserved (declared " +
                describe(Task.Declared_) + "): score " + describe(Best.Score_) +
                " is the best of " + std::to_string(Value.Candidates_.size()) +
                " shown (" + Best.Note_ + ")";
  State_.propose(Task.Task_, *Choice.Server_, Choice.Reservation_,
                 Now + PlaceTime, false);
  Decisions.push_back(std::move(Value));
}

bool PlacementRound::tryPreempt(const TaskInfo &Task, const Resources &Needed,
                                TimePoint Now, std::size_t Budget,
                                std::vector<Decision> &Decisions) {
  const auto Found = Preemptor_.find(Needed, Task.Priority_, Now);
  if (!Found)
    return true;
  if (Found->Victims_.size() > Budget)
    return !Decisions.empty() ? false : true;
  const ServerEntry &Server = State_.Servers_.at(Found->Server_);
  for (RunningTask *Victim : Found->Victims_) {
    auto Value = makeTaskDecision(DecisionKind::Evict, ReasonCode::UrgentWork,
                                  Victim->Info_, Victim->Reservation_);
    Value.Attempt_ = Victim->Attempt_;
    Value.Server_ = Server.Info_.Server_;
    Value.ThrottlePercent_ = Victim->ThrottlePercent_;
    Value.Text_ = "task " + Victim->Info_.Task_.toString() + " (priority " +
                  std::to_string(Victim->Info_.Priority_) +
                  ") is evicted from " + Server.Info_.Server_.value() +
                  " to make room for urgent task " + Task.Task_.toString() +
                  " (priority " + std::to_string(Task.Priority_) +
                  "); this loses " + describe(estimateWorkLost(*Victim, Now)) +
                  " of work";
    Victim->PendingUntil_ = Now + EvictTime;
    Decisions.push_back(std::move(Value));
  }
  State_.propose(Task.Task_, Found->Server_, Needed, Now + ClaimTime, true);
  return true;
}

/// The smallest part of Needed, over the dimensions, that Room has.
static double fittingPart(const Resources &Needed, const Resources &Room) {
  const auto PartOf = [](std::int64_t Wanted, std::int64_t Free) {
    if (Wanted <= 0)
      return 1.0;
    return static_cast<double>(Free) / static_cast<double>(Wanted);
  };
  return std::min({PartOf(Needed.MilliCpus_, Room.MilliCpus_),
                   PartOf(Needed.MemoryMib_, Room.MemoryMib_),
                   PartOf(Needed.Accelerators_, Room.Accelerators_)});
}

bool PlacementRound::trySetAside(const WaitingTask &Waits,
                                 const Resources &Needed, TimePoint Now,
                                 std::vector<Decision> &Decisions) {
  const Duration Patience = State_.Policy_.AgeingStep_ * StepsToSetAside;
  const std::size_t Most =
      MinSetAside + State_.Servers_.size() / ServersPerSetAside;
  if (Now - Waits.Since_ < Patience || State_.claims() >= Most)
    return false;
  std::optional<ServerIndex> Best;
  double BestPart = -std::numeric_limits<double>::infinity();
  for (std::size_t I = 0; I < SetAsideDraws; ++I) {
    const auto From =
        static_cast<ServerIndex>(Random_() % State_.Servers_.size());
    const auto Server = State_.Servers_.limits().findFrom(From, Needed);
    if (!Server || State_.Servers_.at(*Server).ProbeOnly_)
      continue;
    const double Part = fittingPart(Needed, State_.Servers_.at(*Server).room());
    if (Part <= BestPart)
      continue;
    Best = Server;
    BestPart = Part;
  }
  if (!Best)
    return false;
  const TaskInfo Task = Waits.Info_;
  auto Value =
      makeTaskDecision(DecisionKind::Hold, ReasonCode::NoRoom, Task, Needed);
  Value.Server_ = State_.Servers_.at(*Best).Info_.Server_;
  Value.Text_ = "task " + Task.Task_.toString() + " has waited " +
                describe(Duration(Now - Waits.Since_)) + " for " +
                describe(Needed) + "; " + Value.Server_->value() +
                " is set aside for it and takes nothing else until it fits";
  State_.propose(Task.Task_, *Best, Needed, Now + SetAsideTime, true);
  Decisions.push_back(std::move(Value));
  return true;
}

std::string decide::describeObstacle(const PlannerState &State,
                                     const TaskInfo &Task,
                                     const Resources &Needed,
                                     ReasonCode Reason) {
  if (Reason == ReasonCode::QuotaReached)
    return "team " + Task.Team_.value() + " holds " +
           describe(State.heldBy(Task.Team_)) + " of its quota of " +
           describe(State.quotaOf(Task.Team_).value_or(Resources())) +
           ", and the task needs " + describe(Needed);
  if (Reason == ReasonCode::NeverFits)
    return "no server known could hold it even when empty; the most that any "
           "gives is " +
           describe(State.Servers_.allLimits().largest()) + ", lacking " +
           describeShortage(Needed, State.Servers_.allLimits().largest());
  if (Reason == ReasonCode::AllQuarantined)
    return "every server that could hold it is quarantined";
  if (Reason == ReasonCode::TailAtRisk)
    return "on every server with room that was looked at, a service would get "
           "over its tail target";
  if (Reason == ReasonCode::BackingOff)
    return "it failed or was evicted on the servers with room, and avoids "
           "them for a while";
  return "no server has " + describe(Needed) + " free; short of " +
         describeShortage(Needed, State.Servers_.room().largest());
}

void PlacementRound::hold(const TaskInfo &Task, const PlacementChoice &Choice,
                          TimePoint Now, std::vector<Decision> &Decisions) {
  if (!State_.Queue_.park(Task.Task_, Choice.Reason_, Now))
    return;
  auto Value = makeTaskDecision(DecisionKind::Hold, Choice.Reason_, Task,
                                Choice.Reservation_);
  Value.Candidates_ = Choice.Candidates_;
  Value.Text_ =
      "task " + Task.Task_.toString() + " waits: " +
      describeObstacle(State_, Task, Choice.Reservation_, Choice.Reason_);
  Decisions.push_back(std::move(Value));
}

void PlacementRound::settleClaims(TimePoint Now, std::size_t Budget,
                                  std::vector<Decision> &Decisions) {
  const std::size_t End = Decisions.size() + Budget;
  while (!State_.ClaimsToCheck_.empty() && Decisions.size() < End) {
    const ServerIndex Index = *State_.ClaimsToCheck_.begin();
    State_.ClaimsToCheck_.erase(State_.ClaimsToCheck_.begin());
    const ServerEntry &Server = State_.Servers_.at(Index);
    if (!Server.takesWork())
      continue;
    // The claim itself is among what is held, so the room it needs is free
    // once nothing is missing any more.
    const auto Claims = Server.Claims_;
    for (const TaskId &Id : Claims) {
      const Proposal Claim = *State_.findProposal(Id);
      const Resources Room = Server.room() + Claim.Reservation_;
      if (!Claim.Reservation_.fitsIn(Room) || Decisions.size() >= End)
        continue;
      State_.settleClaim(Id, Now + PlaceTime);
      auto Value = makeTaskDecision(DecisionKind::Place, ReasonCode::BestScore,
                                    Claim.Task_.Info_, Claim.Reservation_);
      Value.Server_ = Server.Info_.Server_;
      Value.Candidates_ = {
          Candidate{Server.Info_.Server_, true, 1, "was cleared for it"}};
      Value.Text_ = "task " + Id.toString() + " starts on " +
                    Server.Info_.Server_.value() + " with " +
                    describe(Claim.Reservation_) +
                    " reserved, which was cleared for it";
      Decisions.push_back(std::move(Value));
    }
  }
}

void PlacementRound::emptyLeaving(TimePoint Now, std::size_t Budget,
                                  std::vector<Decision> &Decisions) {
  const std::size_t End = Decisions.size() + Budget;
  auto Next = State_.Leaving_.begin();
  while (Next != State_.Leaving_.end() && Decisions.size() < End) {
    const ServerEntry &Server = State_.Servers_.at(*Next);
    if (!Server.Info_.Draining_ || Server.Tasks_.empty()) {
      Next = State_.Leaving_.erase(Next);
      continue;
    }
    ++Next;
    for (RunningTask *Task : Server.Tasks_) {
      if (Decisions.size() >= End)
        return;
      if (Now < Task->PendingUntil_)
        continue;
      auto Value =
          makeTaskDecision(DecisionKind::Evict, ReasonCode::ServerLeaving,
                           Task->Info_, Task->Reservation_);
      Value.Attempt_ = Task->Attempt_;
      Value.Server_ = Server.Info_.Server_;
      Value.Text_ = "task " + Task->Info_.Task_.toString() +
                    " is moved away from " + Server.Info_.Server_.value() +
                    ", which is leaving";
      Task->PendingUntil_ = Now + EvictTime;
      Decisions.push_back(std::move(Value));
    }
  }
}
