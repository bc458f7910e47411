//===- ServerChooser.cpp - Load balancing over backend servers -----------===//

#include "tulipweir/decide/ServerChooser.h"

#include <algorithm>
#include <cassert>
#include <cmath>

using namespace tulipweir;
using namespace tulipweir::decide;

/// Weight of one answer in the mean latency over all servers.
static constexpr double MeanLatencySmoothing = 0.02;
/// Weight of one answer in a server's success rate.
static constexpr double SuccessSmoothing = 0.1;
/// Keeps the cost of a server that always fails finite.
static constexpr double MinSuccessRate = 0.02;
/// A server with a lower success rate is ejected.
static constexpr double EjectionSuccessRate = 0.3;
/// How much "busy, not run" counts as a success.
static constexpr double BusySuccess = 0.5;

static double toMicros(Duration Time) {
  return std::chrono::duration<double, std::micro>(Time).count();
}

static double getSuccessScore(RequestResult Result) {
  if (Result == RequestResult::Served)
    return 1;
  return Result == RequestResult::Busy ? BusySuccess : 0;
}

ServerChooser::ServerChooser(const ChooserSettings &Settings,
                             std::uint64_t Seed)
    : Settings_(Settings), Random_(Seed) {}

void ServerChooser::setServers(const std::vector<GrantedServer> &Servers,
                               TimePoint Now) {
  std::vector<ServerState> Kept;
  std::unordered_map<BackendServerId, std::size_t> Positions;
  for (const GrantedServer &Granted : Servers) {
    if (!Positions.emplace(Granted.Server_, Kept.size()).second)
      continue;
    const auto It = Positions_.find(Granted.Server_);
    ServerState State;
    if (It != Positions_.end())
      State = std::move(States_[It->second]);
    State.Server_ = Granted.Server_;
    State.Slots_ = Granted.Slots_;
    Kept.push_back(std::move(State));
  }
  for (const auto &[Id, Position] : Positions_) {
    if (Positions.contains(Id) || States_[Position].InFlight_ == 0)
      continue;
    States_[Position].Slots_ = 0;
    Positions.emplace(Id, Kept.size());
    Kept.push_back(std::move(States_[Position]));
  }
  States_ = std::move(Kept);
  Positions_ = std::move(Positions);
  Available_.clear();
  Ejected_.clear();
  FreeSlots_ = TotalSlots_ = GrantedCount_ = 0;
  for (std::size_t I = 0; I < States_.size(); ++I) {
    ServerState &State = States_[I];
    State.AvailableIndex_ = NoIndex;
    State.CountedFreeSlots_ = 0;
    TotalSlots_ += State.Slots_;
    GrantedCount_ += State.Slots_ > 0 ? 1 : 0;
    if (State.Health_ == Health::Ejected)
      Ejected_.push_back(I);
    updateAvailability(I);
  }
  NextProbe_ = Ejected_.empty() ? TimePoint::max() : Now;
}

void ServerChooser::recordStart(const BackendServerId &Server) {
  const auto It = Positions_.find(Server);
  if (It == Positions_.end())
    return;
  ++States_[It->second].InFlight_;
  updateAvailability(It->second);
}

void ServerChooser::recordEnd(const BackendServerId &Server,
                              RequestResult Result, Duration Latency,
                              TimePoint Now) {
  const auto It = Positions_.find(Server);
  if (It == Positions_.end())
    return;
  ServerState &State = States_[It->second];
  assert(State.InFlight_ > 0 && "ended more often than started");
  --State.InFlight_;
  updateStatistics(State, Result, Latency, Now);
  updateHealth(State, Result, Now);
  updateAvailability(It->second);
}

void ServerChooser::releaseSlot(const BackendServerId &Server) {
  const auto It = Positions_.find(Server);
  if (It == Positions_.end())
    return;
  ServerState &State = States_[It->second];
  assert(State.InFlight_ > 0 && "released more often than started");
  --State.InFlight_;
  updateAvailability(It->second);
}

std::optional<BackendServerId>
ServerChooser::choose(TimePoint Now,
                      const std::optional<BackendServerId> &Excluded) {
  if (Now >= NextProbe_)
    startProbes(Now);
  const auto ExcludedIt =
      Excluded ? Positions_.find(*Excluded) : Positions_.end();
  std::size_t Count = Available_.size();
  // Moves the excluded server to the end, outside the range of the draw.
  if (ExcludedIt != Positions_.end() &&
      States_[ExcludedIt->second].AvailableIndex_ != NoIndex) {
    const std::size_t From = States_[ExcludedIt->second].AvailableIndex_;
    std::swap(Available_[From], Available_.back());
    States_[Available_[From]].AvailableIndex_ = From;
    States_[Available_.back()].AvailableIndex_ = Count - 1;
    --Count;
  }
  if (Count == 0)
    return std::nullopt;
  const std::size_t First = Random_() % Count;
  if (Count == 1)
    return States_[Available_[First]].Server_;
  // Draws two different servers: the second draw skips the first.
  const std::size_t Second = (First + 1 + Random_() % (Count - 1)) % Count;
  const ServerState &A = States_[Available_[First]];
  const ServerState &B = States_[Available_[Second]];
  return computeCost(A, Now) <= computeCost(B, Now) ? A.Server_ : B.Server_;
}

Duration ServerChooser::meanLatency() const {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::micro>(MeanLatency_));
}

std::vector<ChooserServerView> ServerChooser::listServers() const {
  std::vector<ChooserServerView> Views;
  Views.reserve(States_.size());
  for (const ServerState &State : States_)
    Views.push_back({State.Server_, State.Slots_, State.InFlight_,
                     State.Latency_, State.SuccessRate_,
                     State.Health_ == Health::Ejected});
  return Views;
}

std::size_t ServerChooser::getSlotLimit(const ServerState &State) {
  if (State.Health_ == Health::Ejected)
    return 0;
  const std::size_t Slots = State.Slots_;
  return State.Health_ == Health::Probing ? std::min<std::size_t>(Slots, 1)
                                          : Slots;
}

double ServerChooser::computeCost(const ServerState &State,
                                  TimePoint Now) const {
  const double Fill = static_cast<double>(State.InFlight_ + 1) /
                      static_cast<double>(State.Slots_);
  const double Mean = std::max(MeanLatency_, 1.0);
  if (State.Answers_ == 0)
    return Fill * Mean;
  // Old measurements decay towards the mean of all servers.
  const double Age =
      toMicros(std::max(Now, State.AnsweredAt_) - State.AnsweredAt_);
  const double Weight = std::exp2(-Age / toMicros(Settings_.LatencyHalfLife_));
  const double Observed = State.Latency_ > 0 ? State.Latency_ : Mean;
  const double Latency = Mean + (Observed - Mean) * Weight;
  const double Success =
      std::max(MinSuccessRate, 1 + (State.SuccessRate_ - 1) * Weight);
  return Fill * Latency / (Success * Success);
}

bool ServerChooser::isOutlier(const ServerState &State) const {
  if (State.FailuresInRow_ >= Settings_.FailuresToEject_)
    return true;
  if (State.Answers_ < Settings_.MinAnswers_)
    return false;
  return State.SuccessRate_ < EjectionSuccessRate ||
         State.Latency_ > Settings_.LatencyOutlierFactor_ * MeanLatency_;
}

bool ServerChooser::canEject() const {
  const auto MaxEjected = static_cast<std::size_t>(
      Settings_.MaxEjectedRatio_ * static_cast<double>(GrantedCount_));
  return Ejected_.size() < MaxEjected;
}

void ServerChooser::updateStatistics(ServerState &State, RequestResult Result,
                                     Duration Latency, TimePoint Now) {
  const double Micros = std::max(1.0, toMicros(Latency));
  ++State.Answers_;
  State.AnsweredAt_ = Now;
  State.SuccessRate_ +=
      SuccessSmoothing * (getSuccessScore(Result) - State.SuccessRate_);
  if (Result == RequestResult::Busy)
    return;
  const double Before = State.Latency_ > 0 ? State.Latency_ : Micros;
  // A fast failure does not count as a low latency.
  if (Result == RequestResult::Failed && Micros < Before)
    return;
  State.Latency_ = Before + Settings_.LatencySmoothing_ * (Micros - Before);
  if (Result != RequestResult::Served)
    return;
  MeanLatency_ = MeanLatency_ > 0 ? MeanLatency_ + MeanLatencySmoothing *
                                                       (Micros - MeanLatency_)
                                  : Micros;
}

void ServerChooser::updateHealth(ServerState &State, RequestResult Result,
                                 TimePoint Now) {
  const bool Failed = Result == RequestResult::Failed;
  State.FailuresInRow_ = Failed ? State.FailuresInRow_ + 1 : 0;
  if (State.Health_ == Health::Ejected)
    return;
  const bool Probing = State.Health_ == Health::Probing;
  if ((Probing && Failed) || isOutlier(State)) {
    if (canEject())
      eject(State, Now);
    return;
  }
  if (Probing && Result == RequestResult::Served)
    State.Health_ = Health::Good;
}

void ServerChooser::eject(ServerState &State, TimePoint Now) {
  const bool Relapse = State.Health_ == Health::Probing;
  const Duration Longer = Relapse ? State.EjectTime_ * 2 : Settings_.EjectTime_;
  State.EjectTime_ = std::min(Longer, Settings_.MaxEjectTime_);
  State.Health_ = Health::Ejected;
  State.EjectedUntil_ = Now + State.EjectTime_;
  Ejected_.push_back(Positions_.at(State.Server_));
  NextProbe_ = std::min(NextProbe_, State.EjectedUntil_);
}

void ServerChooser::startProbes(TimePoint Now) {
  std::vector<std::size_t> StillEjected;
  NextProbe_ = TimePoint::max();
  for (const std::size_t Position : Ejected_) {
    ServerState &State = States_[Position];
    if (Now < State.EjectedUntil_) {
      NextProbe_ = std::min(NextProbe_, State.EjectedUntil_);
      StillEjected.push_back(Position);
      continue;
    }
    // Statistics from before the ejection say nothing about the current state.
    State.Health_ = Health::Probing;
    State.FailuresInRow_ = 0;
    State.Answers_ = 0;
    State.Latency_ = 0;
    State.SuccessRate_ = 1;
    updateAvailability(Position);
  }
  Ejected_ = std::move(StillEjected);
}

void ServerChooser::updateAvailability(std::size_t Position) {
  ServerState &State = States_[Position];
  const std::size_t Limit = getSlotLimit(State);
  const std::size_t Free =
      Limit > State.InFlight_ ? Limit - State.InFlight_ : 0;
  FreeSlots_ = FreeSlots_ - State.CountedFreeSlots_ + Free;
  State.CountedFreeSlots_ = Free;
  const bool IsListed = State.AvailableIndex_ != NoIndex;
  if (Free > 0 && !IsListed) {
    State.AvailableIndex_ = Available_.size();
    Available_.push_back(Position);
  } else if (Free == 0 && IsListed) {
    Available_[State.AvailableIndex_] = Available_.back();
    States_[Available_.back()].AvailableIndex_ = State.AvailableIndex_;
    Available_.pop_back();
    State.AvailableIndex_ = NoIndex;
  }
}
