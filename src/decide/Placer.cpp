//===- Placer.cpp - Filters and scores servers ---------------------------===//

#include "decide/Placer.h"

#include "decide/Text.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::decide;

/// Servers sampled for one task, and candidates shown in its decision.
static constexpr std::size_t MaxSampledServers = 8;
static constexpr std::size_t MaxShownCandidates = 5;
/// Tasks of unknown size that may run at a time beside a service: declared
/// sizes are off by several times, and samples arrive late.
static constexpr std::uint32_t MaxUnmeasured = 2;
/// How long the score of a server is reduced after its guard acted.
static constexpr Duration GuardActionMemory = std::chrono::seconds(30);

const Placer::Filter Placer::Filters[] = {
    {"the task failed or was evicted here", ReasonCode::BackingOff,
     &Placer::isAvoided},
    {"tasks that started here have no measured size yet",
     ReasonCode::TailAtRisk, &Placer::hasTooManyUnmeasured},
    {"a service's p99 is over its target", ReasonCode::TailAtRisk,
     &Placer::isTailOver},
    {"a service's p99 would exceed its target", ReasonCode::TailAtRisk,
     &Placer::isTailAtRisk},
};

const Placer::ScoreTerm Placer::ScoreTerms[] = {
    {"tail", &Policy::TailWeight_, &Placer::scoreTail},
    {"packing", &Policy::ThroughputWeight_, &Placer::scorePacking},
    {"safety", &Policy::EvictionWeight_, &Placer::scoreSafety},
    {"spread", &Policy::SpreadWeight_, &Placer::scoreSpread},
};

Placer::Placer(const PlannerState &State, std::uint64_t Seed)
    : State_(State), TailModel_(State), Random_(Seed) {}

Resources Placer::computeReservation(const TaskInfo &Task) const {
  // Only commands intern a class; a class without an index has no samples.
  const auto Class = State_.Classes_.find(Task.Class_);
  if (!Class)
    return Task.Declared_;
  return State_.Sizes_.computeReservation(*Class, Task.Declared_,
                                          State_.Policy_);
}

ReasonCode Placer::findRejectionReason(const Resources &Needed) const {
  if (!State_.Servers_.allLimits().findFrom(0, Needed))
    return ReasonCode::NeverFits;
  if (!State_.Servers_.limits().findFrom(0, Needed))
    return ReasonCode::AllQuarantined;
  return ReasonCode::NoRoom;
}

std::vector<ServerIndex> Placer::sampleServers(const Resources &Needed) {
  std::vector<ServerIndex> Servers;
  Servers.reserve(MaxSampledServers);
  const ResourceTree &Room = State_.Servers_.room();
  const ServerIndex Count = std::max<ServerIndex>(1, State_.Servers_.size());
  for (std::size_t I = 0; I < MaxSampledServers; ++I) {
    const auto From = static_cast<ServerIndex>(Random_() % Count);
    const auto Server = Room.findFrom(From, Needed);
    if (!Server)
      return Servers;
    if (std::find(Servers.begin(), Servers.end(), *Server) == Servers.end())
      Servers.push_back(*Server);
  }
  // When few servers have room, the random samples repeat, so the scan
  // continues in index order.
  const ServerIndex Start = Servers.back();
  ServerIndex Next = Start;
  for (std::size_t I = 0;
       I < MaxSampledServers && Servers.size() < MaxSampledServers; ++I) {
    Next = *Room.findFrom(Next + 1, Needed);
    if (Next == Start)
      break;
    if (std::find(Servers.begin(), Servers.end(), Next) == Servers.end())
      Servers.push_back(Next);
  }
  return Servers;
}

Candidate Placer::evaluateCandidate(const PlacementContext &Context,
                                    ReasonCode &Reason) const {
  Candidate Result;
  Result.Server_ = Context.Server_.Info_.Server_;
  for (const Filter &Rule : Filters) {
    if (!(this->*Rule.Rejects_)(Context))
      continue;
    Result.Note_ = Rule.Name_;
    Reason = Rule.Reason_;
    return Result;
  }
  Result.Allowed_ = true;
  double Weights = 0;
  for (const ScoreTerm &Term : ScoreTerms) {
    const double Weight = State_.Policy_.*Term.Weight_;
    const double Rate = (this->*Term.Compute_)(Context);
    Result.Score_ += Weight * Rate;
    Weights += Weight;
    Result.Note_ += Result.Note_.empty() ? "" : ", ";
    Result.Note_ += Term.Name_;
    Result.Note_ += ' ';
    Result.Note_ += describe(Rate);
  }
  Result.Score_ /= std::max(Weights, 1.0);
  return Result;
}

PlacementChoice Placer::choose(const TaskInfo &Task, TimePoint Now) {
  PlacementChoice Choice;
  Choice.Reservation_ = computeReservation(Task);
  const auto Quota = State_.findQuota(Task.Team_);
  if (Quota &&
      !(State_.getTeamUsage(Task.Team_) + Choice.Reservation_).fitsIn(*Quota)) {
    Choice.Reason_ = ReasonCode::QuotaReached;
    return Choice;
  }
  const auto Servers = sampleServers(Choice.Reservation_);
  if (Servers.empty()) {
    Choice.Reason_ = findRejectionReason(Choice.Reservation_);
    return Choice;
  }
  const auto Class = State_.Classes_.find(Task.Class_);
  double Best = -1;
  for (const ServerIndex Server : Servers) {
    const ServerEntry &Entry = State_.Servers_.at(Server);
    const ClassLoad Load{
        Class.value_or(Interner<JobClassId>::MaxNames),
        State_.Servers_.computeLoad(Server, Choice.Reservation_, 100)};
    const PlacementContext Context{
        Task,
        Choice.Reservation_,
        Entry,
        Load,
        TailModel_.predictPressure(Entry, &Load, LoadExpectation::Peak, Now),
        Now};
    ReasonCode Reason = ReasonCode::BestScore;
    Choice.Candidates_.push_back(evaluateCandidate(Context, Reason));
    if (Reason != ReasonCode::BestScore && !Choice.Server_)
      Choice.Reason_ = Reason;
    const Candidate &Evaluated = Choice.Candidates_.back();
    if (!Evaluated.Allowed_ || Evaluated.Score_ <= Best)
      continue;
    Best = Evaluated.Score_;
    Choice.Server_ = Server;
    Choice.Reason_ = ReasonCode::BestScore;
  }
  std::stable_sort(Choice.Candidates_.begin(), Choice.Candidates_.end(),
                   [](const Candidate &A, const Candidate &B) {
                     return std::pair(A.Allowed_, A.Score_) >
                            std::pair(B.Allowed_, B.Score_);
                   });
  if (Choice.Candidates_.size() > MaxShownCandidates)
    Choice.Candidates_.resize(MaxShownCandidates);
  return Choice;
}

bool Placer::isAvoided(const PlacementContext &Context) const {
  const TaskRecord *Record = State_.findRecord(Context.Task_.Task_);
  return Record && Record->AvoidedServer_ == Context.Server_.Info_.Server_ &&
         Context.Now_ < Record->AvoidUntil_;
}

bool Placer::hasTooManyUnmeasured(const PlacementContext &Context) const {
  const ServerEntry &Server = Context.Server_;
  const bool Serves =
      !Server.Services_.empty() || Server.Info_.ServiceShare_ != Resources();
  const bool IsUrgent =
      Context.Task_.Priority_ >= State_.Policy_.UrgentPriority_;
  if (!Serves || IsUrgent || State_.Sizes_.isKnown(Context.Load_.Class_))
    return false;
  return Server.UnmeasuredCount_ + Server.HoldCount_ >= MaxUnmeasured;
}

bool Placer::isTailOver(const PlacementContext &Context) const {
  return std::any_of(
      Context.Server_.Services_.begin(), Context.Server_.Services_.end(),
      [](const ServiceState &Service) { return Service.OverReports_ > 0; });
}

bool Placer::isTailAtRisk(const PlacementContext &Context) const {
  // A prediction does not keep urgent tasks waiting. The guard protects the
  // services by throttling or evicting less urgent tasks.
  return Context.Task_.Priority_ < State_.Policy_.UrgentPriority_ &&
         Context.Pressure_.HasService_ &&
         Context.Pressure_.Value_ >
             TailModel_.getPressureLimit(Context.Pressure_.Confidence_);
}

double Placer::scoreTail(const PlacementContext &Context) const {
  return 1 - std::min(1.0, Context.Pressure_.Value_ / 2);
}

double Placer::scorePacking(const PlacementContext &Context) const {
  const Resources Limit = Context.Server_.limit();
  const Resources Remaining = Context.Server_.room() - Context.Needed_;
  const auto FreePart = [](std::int64_t Free, std::int64_t All) {
    return All > 0 ? static_cast<double>(Free) / static_cast<double>(All) : 0;
  };
  const double Processors = FreePart(Remaining.MilliCpus_, Limit.MilliCpus_);
  const double Memory = FreePart(Remaining.MemoryMib_, Limit.MemoryMib_);
  // A full server scores high, unless one dimension is full and the other
  // unused.
  double Rate = 1 - (Processors + Memory) / 2;
  Rate -= std::abs(Processors - Memory) / 2;
  const bool WastesAccelerators =
      Remaining.Accelerators_ > 0 && Context.Needed_.Accelerators_ == 0;
  return std::max(0.0, WastesAccelerators ? Rate / 4 : Rate);
}

double Placer::scoreSafety(const PlacementContext &Context) const {
  const ServerEntry &Server = Context.Server_;
  double Rate = 1;
  if (Context.Now_ - Server.GuardActedAt_ < GuardActionMemory)
    Rate -= 0.4;
  if (!Server.MeasuredUsage_.fitsIn(Server.Reserved_))
    Rate -= 0.2;
  constexpr double PerFailure = 0.2;
  Rate -= PerFailure * State_.Health_.countFailedJobs(Server.Info_.Server_);
  // Spreads tasks of a class whose size is not known yet.
  const bool SameClassHere = std::any_of(
      Server.History_.currentLoads().begin(),
      Server.History_.currentLoads().end(),
      [&](const ClassLoad &L) { return L.Class_ == Context.Load_.Class_; });
  if (SameClassHere && !State_.Sizes_.isKnown(Context.Load_.Class_))
    Rate -= 0.4;
  return std::max(0.0, Rate);
}

double Placer::scoreSpread(const PlacementContext &Context) const {
  const auto [All, Here] = State_.Spread_.countInRack(Context.Task_.Task_.Job_,
                                                      Context.Server_.Rack_);
  return All == 0 ? 1 : 1 - static_cast<double>(Here) / All;
}
