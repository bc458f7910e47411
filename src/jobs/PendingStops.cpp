#include "jobs/PendingStops.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// The limit of a list, which bounds the size of a reply.
static constexpr std::size_t MaxListed = 128;

static bool awaitsStops(const JobRecord *Job) {
  return Job && isEnded(Job->State_) && Job->Placements_ > 0;
}

void PendingStops::observe(const JobRegistry &Registry, TimePoint Now) {
  std::erase_if(EndedSince_, [&Registry](const auto &Entry) {
    return !awaitsStops(Registry.findJob(Entry.first));
  });
  for (const auto &[Id, Job] : Registry.jobs())
    if (awaitsStops(&Job))
      EndedSince_.try_emplace(Id, Now);
}

void PendingStops::reset(const JobRegistry &Registry, TimePoint Now) {
  Servers_.clear();
  observe(Registry, Now);
  for (const auto &[Id, Server] : Registry.servers())
    for (const auto &[Task, Run] : Server.Placed_) {
      const JobRecord *Job = Registry.findJob(Task.Job_);
      if (Job && !isEnded(Job->State_))
        continue;
      const auto Ended = EndedSince_.find(Task.Job_);
      const TimePoint Since = Ended == EndedSince_.end() ? Now : Ended->second;
      PendingStop &Stop =
          Servers_.try_emplace(Id, PendingStop{Since}).first->second;
      Stop.Since_ = std::min(Stop.Since_, Since);
    }
}

void PendingStops::add(const JobRecord &Job, TimePoint Now) {
  if (awaitsStops(&Job))
    EndedSince_.try_emplace(Job.Spec_.Id_, Now);
  for (const OccurrenceRecord &Occurrence : Job.OpenOccurrences_)
    for (const StepRecord &Step : Occurrence.Steps_)
      for (const TaskRecord &Task : Step.Tasks_)
        for (const Placement &Placed : Task.Placements_)
          Servers_.try_emplace(Placed.Server_, PendingStop{Now});
}

std::optional<Duration> PendingStops::recordAnswer(const std::string &Server,
                                                   bool HasStops,
                                                   TimePoint Now) {
  const auto It = Servers_.find(Server);
  if (It == Servers_.end())
    return std::nullopt;
  if (!HasStops) {
    Servers_.erase(It);
    return std::nullopt;
  }
  if (std::exchange(It->second.IsSent_, true))
    return std::nullopt;
  return Now - It->second.Since_;
}

std::vector<ServerAwaitingStop> PendingStops::list(TimePoint Now) const {
  std::vector<ServerAwaitingStop> Result;
  for (const auto &[Server, Stop] : Servers_)
    Result.push_back(
        {Server, static_cast<std::uint64_t>(
                     std::chrono::duration_cast<std::chrono::milliseconds>(
                         Now - Stop.Since_)
                         .count())});
  std::sort(Result.begin(), Result.end(), [](const auto &A, const auto &B) {
    return std::tie(B.WaitedMs_, A.Server_) < std::tie(A.WaitedMs_, B.Server_);
  });
  if (Result.size() > MaxListed)
    Result.resize(MaxListed);
  return Result;
}
