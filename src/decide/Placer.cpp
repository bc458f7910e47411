//===- Placer.cpp - Filter, score and pick ------------------------------===//

#include "decide/Placer.h"

#include "decide/Text.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::decide;

/// Servers drawn for one task, and shown in its decision.
static constexpr std::size_t Drawn = 8;
static constexpr std::size_t Shown = 5;
/// Tasks of unknown size that may run at a time beside a service: declared
/// sizes are off by several times, and samples come late.
static constexpr std::uint32_t MaxUnproven = 2;
/// How long a server counts as strained after its guard acted.
static constexpr Duration StrainTime = std::chrono::seconds(30);

const Placer::Filter Placer::Filters[] = {
    {"the task failed or was evicted here", ReasonCode::BackingOff,
     &Placer::isAvoided},
    {"it waits for measured sizes of the tasks that started here",
     ReasonCode::TailAtRisk, &Placer::isUnproven},
    {"a service's tail is over its target", ReasonCode::TailAtRisk,
     &Placer::isTailOver},
    {"the tail would get over its target", ReasonCode::TailAtRisk,
     &Placer::isTailAtRisk},
};

const Placer::ScorePart Placer::ScoreParts[] = {
    {"tail", &Policy::TailWeight_, &Placer::rateTail},
    {"packing", &Policy::ThroughputWeight_, &Placer::ratePacking},
    {"safety", &Policy::EvictionWeight_, &Placer::rateSafety},
    {"spread", &Policy::SpreadWeight_, &Placer::rateSpread},
};

Placer::Placer(const PlannerState &State, std::uint64_t Seed)
    : State_(State), Tail_(State), Random_(Seed) {}

Resources Placer::reserveFor(const TaskInfo &Task) const {
  // Interning is a command; a class that is not known yet has no samples.
  const auto Class = State_.Classes_.find(Task.Class_);
  if (!Class)
    return Task.Declared_;
  return State_.Sizes_.reserveFor(*Class, Task.Declared_, State_.Policy_);
}

ReasonCode Placer::whyNoRoom(const Resources &Needed) const {
  if (!State_.Servers_.allLimits().findFrom(0, Needed))
    return ReasonCode::NeverFits;
  if (!State_.Servers_.limits().findFrom(0, Needed))
    return ReasonCode::AllQuarantined;
  return ReasonCode::NoRoom;
}

std::vector<ServerIndex> Placer::drawCandidates(const Resources &Needed) {
  std::vector<ServerIndex> Servers;
  Servers.reserve(Drawn);
  const RoomTree &Room = State_.Servers_.room();
  const ServerIndex Count = std::max<ServerIndex>(1, State_.Servers_.size());
  for (std::size_t I = 0; I < Drawn; ++I) {
    const auto From = static_cast<ServerIndex>(Random_() % Count);
    const auto Found = Room.findFrom(From, Needed);
    if (!Found)
      return Servers;
    if (std::find(Servers.begin(), Servers.end(), *Found) == Servers.end())
      Servers.push_back(*Found);
  }
  // Near a full house the draws meet the same few; walk on for the others.
  const ServerIndex Start = Servers.back();
  ServerIndex Next = Start;
  for (std::size_t I = 0; I < Drawn && Servers.size() < Drawn; ++I) {
    Next = *Room.findFrom(Next + 1, Needed);
    if (Next == Start)
      break;
    if (std::find(Servers.begin(), Servers.end(), Next) == Servers.end())
      Servers.push_back(Next);
  }
  return Servers;
}

Candidate Placer::judge(const Match &Value, ReasonCode &Reason) const {
  Candidate Result;
  Result.Server_ = Value.Server_.Info_.Server_;
  for (const Filter &Each : Filters) {
    if (!(this->*Each.Forbids_)(Value))
      continue;
    Result.Note_ = Each.Name_;
    Reason = Each.Reason_;
    return Result;
  }
  Result.Allowed_ = true;
  double Weights = 0;
  for (const ScorePart &Part : ScoreParts) {
    const double Weight = State_.Policy_.*Part.Weight_;
    const double Rate = (this->*Part.Rate_)(Value);
    Result.Score_ += Weight * Rate;
    Weights += Weight;
    Result.Note_ += Result.Note_.empty() ? "" : ", ";
    Result.Note_ += Part.Name_;
    Result.Note_ += ' ';
    Result.Note_ += describe(Rate);
  }
  Result.Score_ /= std::max(Weights, 1.0);
  return Result;
}

PlacementChoice Placer::choose(const TaskInfo &Task, TimePoint Now) {
  PlacementChoice Choice;
  Choice.Reservation_ = reserveFor(Task);
  const auto Quota = State_.quotaOf(Task.Team_);
  if (Quota &&
      !(State_.heldBy(Task.Team_) + Choice.Reservation_).fitsIn(*Quota)) {
    Choice.Reason_ = ReasonCode::QuotaReached;
    return Choice;
  }
  const auto Servers = drawCandidates(Choice.Reservation_);
  if (Servers.empty()) {
    Choice.Reason_ = whyNoRoom(Choice.Reservation_);
    return Choice;
  }
  const auto Class = State_.Classes_.find(Task.Class_);
  double Best = -1;
  for (const ServerIndex Server : Servers) {
    const ServerEntry &Entry = State_.Servers_.at(Server);
    const ClassLoad Load{
        Class.value_or(Interner<JobClassId>::MaxNames),
        State_.Servers_.loadOf(Server, Choice.Reservation_, 100)};
    const Match Value{
        Task,
        Choice.Reservation_,
        Entry,
        Load,
        Tail_.pressureOn(Entry, &Load, LoadExpectation::Peak, Now),
        Now};
    ReasonCode Reason = ReasonCode::BestScore;
    Choice.Candidates_.push_back(judge(Value, Reason));
    if (Reason != ReasonCode::BestScore && !Choice.Server_)
      Choice.Reason_ = Reason;
    const Candidate &Judged = Choice.Candidates_.back();
    if (!Judged.Allowed_ || Judged.Score_ <= Best)
      continue;
    Best = Judged.Score_;
    Choice.Server_ = Server;
    Choice.Reason_ = ReasonCode::BestScore;
  }
  std::stable_sort(Choice.Candidates_.begin(), Choice.Candidates_.end(),
                   [](const Candidate &A, const Candidate &B) {
                     return std::pair(A.Allowed_, A.Score_) >
                            std::pair(B.Allowed_, B.Score_);
                   });
  if (Choice.Candidates_.size() > Shown)
    Choice.Candidates_.resize(Shown);
  return Choice;
}

bool Placer::isAvoided(const Match &Value) const {
  const TaskMemory *Known = State_.findMemory(Value.Task_.Task_);
  return Known && Known->Avoid_ == Value.Server_.Info_.Server_ &&
         Value.Now_ < Known->AvoidUntil_;
}

bool Placer::isUnproven(const Match &Value) const {
  const ServerEntry &Server = Value.Server_;
  const bool Serves =
      !Server.Services_.empty() || Server.Info_.ServiceShare_ != Resources();
  const bool IsUrgent = Value.Task_.Priority_ >= State_.Policy_.UrgentPriority_;
  if (!Serves || IsUrgent || State_.Sizes_.isKnown(Value.Load_.Class_))
    return false;
  return Server.Unproven_ + Server.Holds_ >= MaxUnproven;
}

bool Placer::isTailOver(const Match &Value) const {
  return std::any_of(
      Value.Server_.Services_.begin(), Value.Server_.Services_.end(),
      [](const ServiceState &Service) { return Service.OverReports_ > 0; });
}

bool Placer::isTailAtRisk(const Match &Value) const {
  // Urgent work is not kept waiting by a prediction; the guard answers for
  // what it does to the services, at the cost of less urgent tasks.
  return Value.Task_.Priority_ < State_.Policy_.UrgentPriority_ &&
         Value.Pressure_.HasService_ &&
         Value.Pressure_.Value_ > Tail_.ceiling(Value.Pressure_.Confidence_);
}

double Placer::rateTail(const Match &Value) const {
  return 1 - std::min(1.0, Value.Pressure_.Value_ / 2);
}

double Placer::ratePacking(const Match &Value) const {
  const Resources Limit = Value.Server_.limit();
  const Resources Left = Value.Server_.room() - Value.Needed_;
  const auto FreePart = [](std::int64_t Free, std::int64_t All) {
    return All > 0 ? static_cast<double>(Free) / static_cast<double>(All) : 0;
  };
  const double Processors = FreePart(Left.MilliCpus_, Limit.MilliCpus_);
  const double Memory = FreePart(Left.MemoryMib_, Limit.MemoryMib_);
  // Full is good; full in one dimension with the other left over is not.
  double Rate = 1 - (Processors + Memory) / 2;
  Rate -= std::abs(Processors - Memory) / 2;
  const bool WastesAccelerators =
      Left.Accelerators_ > 0 && Value.Needed_.Accelerators_ == 0;
  return std::max(0.0, WastesAccelerators ? Rate / 4 : Rate);
}

double Placer::rateSafety(const Match &Value) const {
  const ServerEntry &Server = Value.Server_;
  double Rate = 1;
  if (Value.Now_ - Server.GuardedAt_ < StrainTime)
    Rate -= 0.4;
  if (!Server.Measured_.fitsIn(Server.Reserved_))
    Rate -= 0.2;
  constexpr double PerFailure = 0.2;
  Rate -= PerFailure * State_.Health_.failuresOn(Server.Info_.Server_);
  // Tasks of a class whose size is not known yet are spread out.
  const bool SameClassHere = std::any_of(
      Server.History_.now().begin(), Server.History_.now().end(),
      [&](const ClassLoad &L) { return L.Class_ == Value.Load_.Class_; });
  if (SameClassHere && !State_.Sizes_.isKnown(Value.Load_.Class_))
    Rate -= 0.4;
  return std::max(0.0, Rate);
}

double Placer::rateSpread(const Match &Value) const {
  const auto [All, Here] =
      State_.Spread_.countInRack(Value.Task_.Task_.Job_, Value.Server_.Rack_);
  return All == 0 ? 1 : 1 - static_cast<double>(Here) / All;
}
