//===- Preemptor.cpp - Evictions that make room for urgent tasks ---------===//

#include "decide/Preemptor.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::decide;

/// Servers that one search considers, and tasks on each.
static constexpr std::size_t MaxServers = 32;
static constexpr std::size_t MaxTasks = 128;

Duration decide::estimateWorkLost(const RunningTask &Task, TimePoint Now) {
  const TimePoint Since = std::max(Task.UsageAt_, Task.PlacedAt_);
  const Duration Elapsed = std::max(Duration::zero(), Duration(Now - Since));
  return Task.WorkAtRisk_ + Elapsed * Task.ThrottlePercent_ / 100;
}

/// Returns whether the task holds any resource that Room lacks for Needed.
static bool freesNeeded(const RunningTask &Task, const Resources &Needed,
                        const Resources &Room) {
  const Resources &Held = Task.Reservation_;
  return (Needed.MilliCpus_ > Room.MilliCpus_ && Held.MilliCpus_ > 0) ||
         (Needed.MemoryMib_ > Room.MemoryMib_ && Held.MemoryMib_ > 0) ||
         (Needed.Accelerators_ > Room.Accelerators_ && Held.Accelerators_ > 0);
}

/// Removes victims that turn out to be unnecessary, the most expensive first.
static void removeUnneededVictims(std::vector<RunningTask *> &Victims,
                                  Resources Room, const Resources &Needed) {
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
  const std::uint32_t PriorityLimit =
      std::min(Priority, State_.Policy_.UrgentPriority_);
  std::vector<std::pair<Duration, RunningTask *>> Costs;
  for (RunningTask *Task : Entry.Tasks_) {
    if (Costs.size() >= MaxTasks)
      break;
    if (Task->Info_.Priority_ < PriorityLimit && Now >= Task->PendingUntil_)
      Costs.emplace_back(estimateWorkLost(*Task, Now), Task);
  }
  std::sort(Costs.begin(), Costs.end(), [](const auto &A, const auto &B) {
    return std::pair(A.first, A.second->Info_.Task_) <
           std::pair(B.first, B.second->Info_.Task_);
  });
  Resources Room = Entry.room();
  Preemption Plan;
  Plan.Server_ = Server;
  for (const auto &[Cost, Task] : Costs) {
    if (Needed.fitsIn(Room))
      break;
    if (!freesNeeded(*Task, Needed, Room))
      continue;
    Room = Room + Task->Reservation_;
    Plan.Victims_.push_back(Task);
  }
  if (!Needed.fitsIn(Room) || Plan.Victims_.empty())
    return std::nullopt;
  removeUnneededVictims(Plan.Victims_, Room, Needed);
  for (const RunningTask *Task : Plan.Victims_)
    Plan.WorkLost_ += estimateWorkLost(*Task, Now);
  return Plan;
}

std::optional<Preemption> Preemptor::findCheapest(const Resources &Needed,
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
    const auto Plan = tryServer(*Server, Needed, Priority, Now);
    if (!Plan)
      continue;
    const bool IsBetter =
        !Best || std::pair(Plan->WorkLost_, Plan->Victims_.size()) <
                     std::pair(Best->WorkLost_, Best->Victims_.size());
    if (IsBetter)
      Best = Plan;
  }
  return Best;
}
