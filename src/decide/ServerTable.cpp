//===- ServerTable.cpp - Backend servers and what they hold -------------===//

#include "decide/ServerTable.h"

#include <algorithm>
#include <cassert>

using namespace tulipweir;
using namespace tulipweir::decide;

ServiceState &ServerEntry::serviceAt(ServiceIndex Service) {
  for (ServiceState &Known : Services_)
    if (Known.Service_ == Service)
      return Known;
  Services_.push_back({});
  Services_.back().Service_ = Service;
  return Services_.back();
}

ServerIndex ServerTable::intern(const BackendServerId &Server) {
  const auto Found = Positions_.find(Server);
  if (Found != Positions_.end())
    return Found->second;
  ServerIndex Position = size();
  if (Unused_.empty()) {
    Entries_.push_back(std::make_unique<ServerEntry>());
  } else {
    Position = Unused_.back();
    Unused_.pop_back();
    *Entries_[Position] = ServerEntry();
  }
  Entries_[Position]->Info_.Server_ = Server;
  Positions_.emplace(Server, Position);
  return Position;
}

std::optional<ServerIndex>
ServerTable::find(const BackendServerId &Server) const {
  const auto Found = Positions_.find(Server);
  if (Found == Positions_.end())
    return std::nullopt;
  return Found->second;
}

void ServerTable::upsert(const ServerInfo &Info, std::uint32_t Rack) {
  const ServerIndex Position = intern(Info.Server_);
  ServerEntry &Entry = at(Position);
  Entry.Info_ = Info;
  Entry.Rack_ = Rack;
  Entry.Present_ = true;
  refresh(Position);
}

void ServerTable::remove(const BackendServerId &Server) {
  const auto Found = find(Server);
  if (!Found)
    return;
  at(*Found).Present_ = false;
  refresh(*Found);
}

void ServerTable::addTask(RunningTask &Task, TimePoint Now) {
  ServerEntry &Entry = at(Task.Server_);
  Task.PlaceInServer_ = Entry.Tasks_.size();
  Entry.Tasks_.push_back(&Task);
  Entry.Reserved_ = Entry.Reserved_ + Task.Reservation_;
  Entry.Measured_ = Entry.Measured_ + Task.Usage_;
  Entry.History_.change(
      Task.Class_,
      loadOf(Task.Server_, Task.Reservation_, Task.ThrottlePercent_), Now);
  refresh(Task.Server_);
}

void ServerTable::removeTask(RunningTask &Task, TimePoint Now) {
  ServerEntry &Entry = at(Task.Server_);
  assert(Entry.Tasks_[Task.PlaceInServer_] == &Task && "task lists disagree");
  Entry.Tasks_[Task.PlaceInServer_] = Entry.Tasks_.back();
  Entry.Tasks_[Task.PlaceInServer_]->PlaceInServer_ = Task.PlaceInServer_;
  Entry.Tasks_.pop_back();
  Entry.Reserved_ = Entry.Reserved_ - Task.Reservation_;
  Entry.Measured_ = Entry.Measured_ - Task.Usage_;
  Entry.Throttled_ -= Task.ThrottlePercent_ < 100 ? 1 : 0;
  Entry.Unproven_ -= Task.Unproven_ ? 1 : 0;
  Entry.History_.change(
      Task.Class_,
      -loadOf(Task.Server_, Task.Reservation_, Task.ThrottlePercent_), Now);
  refresh(Task.Server_);
}

void ServerTable::resizeTask(RunningTask &Task, const Resources &Reservation,
                             TimePoint Now) {
  ServerEntry &Entry = at(Task.Server_);
  const double Before =
      loadOf(Task.Server_, Task.Reservation_, Task.ThrottlePercent_);
  Entry.Reserved_ = Entry.Reserved_ - Task.Reservation_ + Reservation;
  Task.Reservation_ = Reservation;
  const double After =
      loadOf(Task.Server_, Task.Reservation_, Task.ThrottlePercent_);
  Entry.History_.change(Task.Class_, After - Before, Now);
  refresh(Task.Server_);
}

void ServerTable::throttleTask(RunningTask &Task, std::uint32_t Percent,
                               TimePoint Now) {
  ServerEntry &Entry = at(Task.Server_);
  const double Before =
      loadOf(Task.Server_, Task.Reservation_, Task.ThrottlePercent_);
  const double After = loadOf(Task.Server_, Task.Reservation_, Percent);
  Entry.Throttled_ -= Task.ThrottlePercent_ < 100 ? 1 : 0;
  Entry.Throttled_ += Percent < 100 ? 1 : 0;
  Task.ThrottlePercent_ = Percent;
  Task.ThrottledAt_ = Now;
  Entry.History_.change(Task.Class_, After - Before, Now);
}

void ServerTable::measureTask(RunningTask &Task, const Resources &Usage) {
  ServerEntry &Entry = at(Task.Server_);
  Entry.Measured_ = Entry.Measured_ - Task.Usage_ + Usage;
  Task.Usage_ = Usage;
}

void ServerTable::setUnproven(RunningTask &Task, bool IsUnproven) {
  ServerEntry &Entry = at(Task.Server_);
  Entry.Unproven_ -= Task.Unproven_ ? 1 : 0;
  Entry.Unproven_ += IsUnproven ? 1 : 0;
  Task.Unproven_ = IsUnproven;
}

void ServerTable::hold(ServerIndex Server, const Resources &Amount) {
  ServerEntry &Entry = at(Server);
  Entry.Held_ = Entry.Held_ + Amount;
  ++Entry.Holds_;
  refresh(Server);
}

void ServerTable::release(ServerIndex Server, const Resources &Amount) {
  ServerEntry &Entry = at(Server);
  assert(Entry.Holds_ > 0 && "released more often than held");
  Entry.Held_ = Entry.Held_ - Amount;
  --Entry.Holds_;
  refresh(Server);
}

void ServerTable::setQuarantine(ServerIndex Server, bool Quarantined,
                                bool ProbeOnly) {
  ServerEntry &Entry = at(Server);
  Entry.Quarantined_ = Quarantined;
  Entry.ProbeOnly_ = ProbeOnly;
  refresh(Server);
}

double ServerTable::loadOf(ServerIndex Server, const Resources &Reservation,
                           std::uint32_t ThrottlePercent) const {
  const auto Processors =
      std::max<std::int64_t>(1, at(Server).Info_.Capacity_.MilliCpus_);
  return static_cast<double>(Reservation.MilliCpus_) /
         static_cast<double>(Processors) * ThrottlePercent / 100;
}

void ServerTable::refresh(ServerIndex Server) {
  const ServerEntry &Entry = at(Server);
  const bool Staying = Entry.Present_ && !Entry.Info_.Draining_;
  const bool Takes = Staying && !Entry.Quarantined_;
  const bool Busy = !Entry.Tasks_.empty() || Entry.Holds_ > 0;
  const bool Open = Takes && !(Entry.ProbeOnly_ && Busy);
  Room_.set(Server, Open ? Entry.room() : RoomTree::Closed);
  Limits_.set(Server, Takes ? Entry.limit() : RoomTree::Closed);
  AllLimits_.set(Server, Staying ? Entry.limit() : RoomTree::Closed);
  if (Entry.Present_ || Busy)
    return;
  Positions_.erase(Entry.Info_.Server_);
  Unused_.push_back(Server);
}
