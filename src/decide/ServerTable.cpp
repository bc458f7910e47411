//===- ServerTable.cpp - Backend servers and their resources -------------===//

#include "decide/ServerTable.h"

#include <algorithm>
#include <cassert>

using namespace tulipweir;
using namespace tulipweir::decide;

ServiceState &ServerEntry::getOrCreateService(ServiceIndex Service) {
  for (ServiceState &State : Services_)
    if (State.Service_ == Service)
      return State;
  Services_.push_back({});
  Services_.back().Service_ = Service;
  return Services_.back();
}

ServerIndex ServerTable::intern(const BackendServerId &Server) {
  const auto It = Positions_.find(Server);
  if (It != Positions_.end())
    return It->second;
  ServerIndex Position = size();
  if (FreeIndexes_.empty()) {
    Entries_.push_back(std::make_unique<ServerEntry>());
  } else {
    Position = FreeIndexes_.back();
    FreeIndexes_.pop_back();
    *Entries_[Position] = ServerEntry();
  }
  Entries_[Position]->Info_.Server_ = Server;
  Positions_.emplace(Server, Position);
  return Position;
}

std::optional<ServerIndex>
ServerTable::find(const BackendServerId &Server) const {
  const auto It = Positions_.find(Server);
  if (It == Positions_.end())
    return std::nullopt;
  return It->second;
}

void ServerTable::upsert(const ServerInfo &Info, std::uint32_t Rack) {
  const ServerIndex Position = intern(Info.Server_);
  ServerEntry &Entry = at(Position);
  Entry.Info_ = Info;
  Entry.Rack_ = Rack;
  Entry.Present_ = true;
  updateIndexes(Position);
}

void ServerTable::remove(const BackendServerId &Server) {
  const auto Position = find(Server);
  if (!Position)
    return;
  at(*Position).Present_ = false;
  updateIndexes(*Position);
}

void ServerTable::addTask(RunningTask &Task, TimePoint Now) {
  ServerEntry &Entry = at(Task.Server_);
  Task.IndexInServer_ = Entry.Tasks_.size();
  Entry.Tasks_.push_back(&Task);
  Entry.Reserved_ = Entry.Reserved_ + Task.Reservation_;
  Entry.MeasuredUsage_ = Entry.MeasuredUsage_ + Task.Usage_;
  Entry.History_.recordChange(
      Task.Class_,
      computeLoad(Task.Server_, Task.Reservation_, Task.ThrottlePercent_), Now);
  updateIndexes(Task.Server_);
}

void ServerTable::removeTask(RunningTask &Task, TimePoint Now) {
  ServerEntry &Entry = at(Task.Server_);
  assert(Entry.Tasks_[Task.IndexInServer_] == &Task && "task lists disagree");
  Entry.Tasks_[Task.IndexInServer_] = Entry.Tasks_.back();
  Entry.Tasks_[Task.IndexInServer_]->IndexInServer_ = Task.IndexInServer_;
  Entry.Tasks_.pop_back();
  Entry.Reserved_ = Entry.Reserved_ - Task.Reservation_;
  Entry.MeasuredUsage_ = Entry.MeasuredUsage_ - Task.Usage_;
  Entry.ThrottledCount_ -= Task.ThrottlePercent_ < 100 ? 1 : 0;
  Entry.UnmeasuredCount_ -= Task.Unmeasured_ ? 1 : 0;
  Entry.History_.recordChange(
      Task.Class_,
      -computeLoad(Task.Server_, Task.Reservation_, Task.ThrottlePercent_),
      Now);
  updateIndexes(Task.Server_);
}

void ServerTable::resizeTask(RunningTask &Task, const Resources &Reservation,
                             TimePoint Now) {
  ServerEntry &Entry = at(Task.Server_);
  const double Before =
      computeLoad(Task.Server_, Task.Reservation_, Task.ThrottlePercent_);
  Entry.Reserved_ = Entry.Reserved_ - Task.Reservation_ + Reservation;
  Task.Reservation_ = Reservation;
  const double After =
      computeLoad(Task.Server_, Task.Reservation_, Task.ThrottlePercent_);
  Entry.History_.recordChange(Task.Class_, After - Before, Now);
  updateIndexes(Task.Server_);
}

void ServerTable::throttleTask(RunningTask &Task, std::uint32_t Percent,
                               TimePoint Now) {
  ServerEntry &Entry = at(Task.Server_);
  const double Before =
      computeLoad(Task.Server_, Task.Reservation_, Task.ThrottlePercent_);
  const double After = computeLoad(Task.Server_, Task.Reservation_, Percent);
  Entry.ThrottledCount_ -= Task.ThrottlePercent_ < 100 ? 1 : 0;
  Entry.ThrottledCount_ += Percent < 100 ? 1 : 0;
  Task.ThrottlePercent_ = Percent;
  Task.ThrottledAt_ = Now;
  Entry.History_.recordChange(Task.Class_, After - Before, Now);
}

void ServerTable::updateUsage(RunningTask &Task, const Resources &Usage) {
  ServerEntry &Entry = at(Task.Server_);
  Entry.MeasuredUsage_ = Entry.MeasuredUsage_ - Task.Usage_ + Usage;
  Task.Usage_ = Usage;
}

void ServerTable::setUnmeasured(RunningTask &Task, bool IsUnmeasured) {
  ServerEntry &Entry = at(Task.Server_);
  Entry.UnmeasuredCount_ -= Task.Unmeasured_ ? 1 : 0;
  Entry.UnmeasuredCount_ += IsUnmeasured ? 1 : 0;
  Task.Unmeasured_ = IsUnmeasured;
}

void ServerTable::hold(ServerIndex Server, const Resources &Amount) {
  ServerEntry &Entry = at(Server);
  Entry.Held_ = Entry.Held_ + Amount;
  ++Entry.HoldCount_;
  updateIndexes(Server);
}

void ServerTable::release(ServerIndex Server, const Resources &Amount) {
  ServerEntry &Entry = at(Server);
  assert(Entry.HoldCount_ > 0 && "released more often than held");
  Entry.Held_ = Entry.Held_ - Amount;
  --Entry.HoldCount_;
  updateIndexes(Server);
}

void ServerTable::setQuarantine(ServerIndex Server, bool Quarantined,
                                bool ProbeOnly) {
  ServerEntry &Entry = at(Server);
  Entry.Quarantined_ = Quarantined;
  Entry.ProbeOnly_ = ProbeOnly;
  updateIndexes(Server);
}

double ServerTable::computeLoad(ServerIndex Server,
                                const Resources &Reservation,
                                std::uint32_t ThrottlePercent) const {
  const auto Processors =
      std::max<std::int64_t>(1, at(Server).Info_.Capacity_.MilliCpus_);
  return static_cast<double>(Reservation.MilliCpus_) /
         static_cast<double>(Processors) * ThrottlePercent / 100;
}

void ServerTable::updateIndexes(ServerIndex Server) {
  const ServerEntry &Entry = at(Server);
  const bool IsStaying = Entry.Present_ && !Entry.Info_.Draining_;
  const bool AcceptsTasks = IsStaying && !Entry.Quarantined_;
  const bool IsBusy = !Entry.Tasks_.empty() || Entry.HoldCount_ > 0;
  const bool IsAvailable = AcceptsTasks && !(Entry.ProbeOnly_ && IsBusy);
  Room_.set(Server, IsAvailable ? Entry.room() : ResourceTree::Unavailable);
  Limits_.set(Server, AcceptsTasks ? Entry.limit() : ResourceTree::Unavailable);
  AllLimits_.set(Server, IsStaying ? Entry.limit() : ResourceTree::Unavailable);
  if (Entry.Present_ || IsBusy)
    return;
  Positions_.erase(Entry.Info_.Server_);
  FreeIndexes_.push_back(Server);
}
