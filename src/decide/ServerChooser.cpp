//===- ServerChooser.cpp - Which backend server gets a request ----------===//

#include "tulipweir/decide/ServerChooser.h"

#include <algorithm>
#include <cassert>
#include <cmath>

using namespace tulipweir;
using namespace tulipweir::decide;

/// Part of one answer in the mean over all servers.
static constexpr double MeanGain = 0.02;
/// Part of one answer in a server's share of successes.
static constexpr double SuccessGain = 0.1;
/// Keeps the cost of a server that only fails finite.
static constexpr double LeastSuccess = 0.02;
/// Below this share of successes a server is ejected.
static constexpr double EjectSuccess = 0.3;
/// How much "busy, not run" counts as a success.
static constexpr double BusySuccess = 0.5;

static double toMicros(Duration Value) {
  return std::chrono::duration<double, std::micro>(Value).count();
}

static double successOf(RequestResult Result) {
  if (Result == RequestResult::Served)
    return 1;
  return Result == RequestResult::Busy ? BusySuccess : 0;
}

ServerChooser::ServerChooser(const ChooserSettings &Settings,
                             std::uint64_t Seed)
    : Settings_(Settings), Random_(Seed) {}

void ServerChooser::setServers(const std::vector<GrantedServer> &Servers,
                               TimePoint Now) {
  std::vector<Entry> Kept;
  std::unordered_map<BackendServerId, std::size_t> Positions;
  for (const GrantedServer &Granted : Servers) {
    if (!Positions.emplace(Granted.Server_, Kept.size()).second)
      continue;
    const auto Found = Positions_.find(Granted.Server_);
    Entry Value;
    if (Found != Positions_.end())
      Value = std::move(Entries_[Found->second]);
    Value.Server_ = Granted.Server_;
    Value.Slots_ = Granted.Slots_;
    Kept.push_back(std::move(Value));
  }
  for (const auto &[Id, Position] : Positions_) {
    if (Positions.contains(Id) || Entries_[Position].InFlight_ == 0)
      continue;
    Entries_[Position].Slots_ = 0;
    Positions.emplace(Id, Kept.size());
    Kept.push_back(std::move(Entries_[Position]));
  }
  Entries_ = std::move(Kept);
  Positions_ = std::move(Positions);
  Open_.clear();
  Ejected_.clear();
  FreeSlots_ = TotalSlots_ = Granted_ = 0;
  for (std::size_t I = 0; I < Entries_.size(); ++I) {
    Entry &Value = Entries_[I];
    Value.Place_ = NoPlace;
    Value.CountedFree_ = 0;
    TotalSlots_ += Value.Slots_;
    Granted_ += Value.Slots_ > 0 ? 1 : 0;
    if (Value.Health_ == Health::Ejected)
      Ejected_.push_back(I);
    refreshOpen(I);
  }
  NextProbe_ = Ejected_.empty() ? TimePoint::max() : Now;
}

void ServerChooser::noteStarted(const BackendServerId &Server) {
  const auto Found = Positions_.find(Server);
  if (Found == Positions_.end())
    return;
  ++Entries_[Found->second].InFlight_;
  refreshOpen(Found->second);
}

void ServerChooser::noteEnded(const BackendServerId &Server,
                              RequestResult Result, Duration Latency,
                              TimePoint Now) {
  const auto Found = Positions_.find(Server);
  if (Found == Positions_.end())
    return;
  Entry &Value = Entries_[Found->second];
  assert(Value.InFlight_ > 0 && "ended more often than started");
  --Value.InFlight_;
  learn(Value, Result, Latency, Now);
  updateHealth(Value, Result, Now);
  refreshOpen(Found->second);
}

void ServerChooser::noteReleased(const BackendServerId &Server) {
  const auto Found = Positions_.find(Server);
  if (Found == Positions_.end())
    return;
  Entry &Value = Entries_[Found->second];
  assert(Value.InFlight_ > 0 && "released more often than started");
  --Value.InFlight_;
  refreshOpen(Found->second);
}

std::optional<BackendServerId>
ServerChooser::choose(TimePoint Now,
                      const std::optional<BackendServerId> &Except) {
  if (Now >= NextProbe_)
    startProbes(Now);
  const auto Skipped = Except ? Positions_.find(*Except) : Positions_.end();
  std::size_t Count = Open_.size();
  // The excepted one is moved last, and the draw stops short of it.
  if (Skipped != Positions_.end() &&
      Entries_[Skipped->second].Place_ != NoPlace) {
    const std::size_t From = Entries_[Skipped->second].Place_;
    std::swap(Open_[From], Open_.back());
    Entries_[Open_[From]].Place_ = From;
    Entries_[Open_.back()].Place_ = Count - 1;
    --Count;
  }
  if (Count == 0)
    return std::nullopt;
  const std::size_t First = Random_() % Count;
  if (Count == 1)
    return Entries_[Open_[First]].Server_;
  // Two different ones: the second draw skips the first.
  const std::size_t Second = (First + 1 + Random_() % (Count - 1)) % Count;
  const Entry &A = Entries_[Open_[First]];
  const Entry &B = Entries_[Open_[Second]];
  return costOf(A, Now) <= costOf(B, Now) ? A.Server_ : B.Server_;
}

Duration ServerChooser::meanLatency() const {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::micro>(MeanLatency_));
}

std::vector<ChooserServerView> ServerChooser::listServers() const {
  std::vector<ChooserServerView> Views;
  Views.reserve(Entries_.size());
  for (const Entry &Value : Entries_)
    Views.push_back({Value.Server_, Value.Slots_, Value.InFlight_,
                     Value.Latency_, Value.Success_,
                     Value.Health_ == Health::Ejected});
  return Views;
}

std::size_t ServerChooser::limitOf(const Entry &Value) {
  if (Value.Health_ == Health::Ejected)
    return 0;
  const std::size_t Slots = Value.Slots_;
  return Value.Health_ == Health::Probing ? std::min<std::size_t>(Slots, 1)
                                          : Slots;
}

double ServerChooser::costOf(const Entry &Value, TimePoint Now) const {
  const double Fill = static_cast<double>(Value.InFlight_ + 1) /
                      static_cast<double>(Value.Slots_);
  const double Mean = std::max(MeanLatency_, 1.0);
  if (Value.Answers_ == 0)
    return Fill * Mean;
  // What was measured long ago fades towards what is usual.
  const double Age =
      toMicros(std::max(Now, Value.AnsweredAt_) - Value.AnsweredAt_);
  const double Weight = std::exp2(-Age / toMicros(Settings_.ForgetTime_));
  const double Known = Value.Latency_ > 0 ? Value.Latency_ : Mean;
  const double Latency = Mean + (Known - Mean) * Weight;
  const double Success =
      std::max(LeastSuccess, 1 + (Value.Success_ - 1) * Weight);
  return Fill * Latency / (Success * Success);
}

bool ServerChooser::isBad(const Entry &Value) const {
  if (Value.FailuresInRow_ >= Settings_.FailuresToEject_)
    return true;
  if (Value.Answers_ < Settings_.MinAnswers_)
    return false;
  return Value.Success_ < EjectSuccess ||
         Value.Latency_ > Settings_.LatencyOutlier_ * MeanLatency_;
}

bool ServerChooser::mayEject() const {
  const auto Most = static_cast<std::size_t>(Settings_.MaxEjectedPart_ *
                                             static_cast<double>(Granted_));
  return Ejected_.size() < Most;
}

void ServerChooser::learn(Entry &Value, RequestResult Result, Duration Latency,
                          TimePoint Now) {
  const double Micros = std::max(1.0, toMicros(Latency));
  ++Value.Answers_;
  Value.AnsweredAt_ = Now;
  Value.Success_ += SuccessGain * (successOf(Result) - Value.Success_);
  if (Result == RequestResult::Busy)
    return;
  const double Before = Value.Latency_ > 0 ? Value.Latency_ : Micros;
  // A failure that comes fast is no sign of speed.
  if (Result == RequestResult::Failed && Micros < Before)
    return;
  Value.Latency_ = Before + Settings_.LatencyGain_ * (Micros - Before);
  if (Result != RequestResult::Served)
    return;
  MeanLatency_ = MeanLatency_ > 0
                     ? MeanLatency_ + MeanGain * (Micros - MeanLatency_)
                     : Micros;
}

void ServerChooser::updateHealth(Entry &Value, RequestResult Result,
                                 TimePoint Now) {
  const bool Failed = Result == RequestResult::Failed;
  Value.FailuresInRow_ = Failed ? Value.FailuresInRow_ + 1 : 0;
  if (Value.Health_ == Health::Ejected)
    return;
  const bool Probing = Value.Health_ == Health::Probing;
  if ((Probing && Failed) || isBad(Value)) {
    if (mayEject())
      eject(Value, Now);
    return;
  }
  if (Probing && Result == RequestResult::Served)
    Value.Health_ = Health::Good;
}

void ServerChooser::eject(Entry &Value, TimePoint Now) {
  const bool Relapse = Value.Health_ == Health::Probing;
  const Duration Longer = Relapse ? Value.EjectTime_ * 2 : Settings_.EjectTime_;
  Value.EjectTime_ = std::min(Longer, Settings_.MaxEjectTime_);
  Value.Health_ = Health::Ejected;
  Value.EjectedUntil_ = Now + Value.EjectTime_;
  Ejected_.push_back(Positions_.at(Value.Server_));
  NextProbe_ = std::min(NextProbe_, Value.EjectedUntil_);
}

void ServerChooser::startProbes(TimePoint Now) {
  std::vector<std::size_t> Left;
  NextProbe_ = TimePoint::max();
  for (const std::size_t Position : Ejected_) {
    Entry &Value = Entries_[Position];
    if (Now < Value.EjectedUntil_) {
      NextProbe_ = std::min(NextProbe_, Value.EjectedUntil_);
      Left.push_back(Position);
      continue;
    }
    // What it did before the ejection says nothing about how it is now.
    Value.Health_ = Health::Probing;
    Value.FailuresInRow_ = 0;
    Value.Answers_ = 0;
    Value.Latency_ = 0;
    Value.Success_ = 1;
    refreshOpen(Position);
  }
  Ejected_ = std::move(Left);
}

void ServerChooser::refreshOpen(std::size_t Position) {
  Entry &Value = Entries_[Position];
  const std::size_t Limit = limitOf(Value);
  const std::size_t Free =
      Limit > Value.InFlight_ ? Limit - Value.InFlight_ : 0;
  FreeSlots_ = FreeSlots_ - Value.CountedFree_ + Free;
  Value.CountedFree_ = Free;
  const bool IsOpen = Value.Place_ != NoPlace;
  if (Free > 0 && !IsOpen) {
    Value.Place_ = Open_.size();
    Open_.push_back(Position);
  } else if (Free == 0 && IsOpen) {
    Open_[Value.Place_] = Open_.back();
    Entries_[Open_.back()].Place_ = Value.Place_;
    Open_.pop_back();
    Value.Place_ = NoPlace;
  }
}
