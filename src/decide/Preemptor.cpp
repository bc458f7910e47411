//===- Preemptor.cpp - Room for urgent work -----------------------------===//

#include "decide/Preemptor.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::decide;

/// Servers, and tasks on each, that one search looks at.
static constexpr std::size_t MaxServers = 32;
static constexpr std::size_t MaxTasks = 128;

Duration decide::estimateWorkLost(const RunningTask &Task, TimePoint Now) {
  const TimePoint Since = std::max(Task.UsageAt_, Task.PlacedAt_);
  const Duration Later = std::max(Duration::zero(), Duration(Now - Since));
  return Task.WorkAtRisk_ + Later * Task.ThrottlePercent_ / 100;
}

/// Whether the task holds any of what Room lacks for Needed.
static bool helps(const RunningTask &Task, const Resources &Needed,
                  const Resources &Room) {
  const Resources &Holds = Task.Reservation_;
  return (Needed.MilliCpus_ > Room.MilliCpus_ && Holds.MilliCpus_ > 0) ||
         (Needed.MemoryMib_ > Room.MemoryMib_ && Holds.MemoryMib_ > 0) ||
         (Needed.Accelerators_ > Room.Accelerators_ && Holds.Accelerators_ > 0);
}

/// Takes back victims that turn out not to be needed, dearest first.
static void spareNeedless(std::vector<RunningTask *> &Victims, Resources Room,
                          const Resources &Needed) {
  for (std::size_t I = Victims.size(); I-- > 0;) {
    const Resources Without = Room - Victims[I]->Reservation_;
    if (!Needed.fitsIn(Without))
      continue;
    Room = Without;
    Victims.erase(Victims.begin() + static_cast<std::ptrdiff_t>(I));
  }
}

std::optional<Preemption> Preemptor::tryServer(ServerIndex Server,
                                               const Resources &Needed,
                                               std::uint32_t Priority,
                                               TimePoint Now) {
  const ServerEntry &Entry = State_.Servers_.at(Server);
  if (Entry.ProbeOnly_)
    return std::nullopt;
  const std::uint32_t Below =
      std::min(Priority, State_.Policy_.UrgentPriority_);
  std::vector<std::pair<Duration, RunningTask *>> Costs;
  for (RunningTask *Task : Entry.Tasks_) {
    if (Costs.size() >= MaxTasks)
      break;
    if (Task->Info_.Priority_ < Below && Now >= Task->PendingUntil_)
      Costs.emplace_back(estimateWorkLost(*Task, Now), Task);
  }
  std::sort(Costs.begin(), Costs.end(), [](const auto &A, const auto &B) {
    return std::pair(A.first, A.second->Info_.Task_) <
           std::pair(B.first, B.second->Info_.Task_);
  });
  Resources Room = Entry.room();
  Preemption Found;
  Found.Server_ = Server;
  for (const auto &[Cost, Task] : Costs) {
    if (Needed.fitsIn(Room))
      break;
    if (!helps(*Task, Needed, Room))
      continue;
    Room = Room + Task->Reservation_;
    Found.Victims_.push_back(Task);
  }
  if (!Needed.fitsIn(Room) || Found.Victims_.empty())
    return std::nullopt;
  spareNeedless(Found.Victims_, Room, Needed);
  for (const RunningTask *Task : Found.Victims_)
    Found.WorkLost_ += estimateWorkLost(*Task, Now);
  return Found;
}

std::optional<Preemption> Preemptor::find(const Resources &Needed,
                                          std::uint32_t Priority,
                                          TimePoint Now) {
  std::optional<Preemption> Best;
  std::optional<ServerIndex> First;
  for (std::size_t I = 0; I < MaxServers; ++I) {
    const auto Server = State_.Servers_.limits().findFrom(Cursor_, Needed);
    if (!Server || Server == First)
      break;
    if (!First)
      First = Server;
    Cursor_ = *Server + 1;
    const auto Found = tryServer(*Server, Needed, Priority, Now);
    if (!Found)
      continue;
    const bool IsBetter =
        !Best || std::pair(Found->WorkLost_, Found->Victims_.size()) <
                     std::pair(Best->WorkLost_, Best->Victims_.size());
    if (IsBetter)
      Best = Found;
  }
  return Best;
}
