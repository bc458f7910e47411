//===- PlacementBench.cpp - Cost per decision ---------------------------===//

#include "DecideBench.h"

#include "tulipweir/decide/Planner.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <map>

using namespace tulipweir;
using namespace tulipweir::decide;

static constexpr std::array<int, 3> ServerCounts = {48, 300, 1200};
static constexpr int RunningTasks = 20000;
static constexpr int TasksPerJob = 100;
static constexpr int PlannerDecisions = 20000;
static constexpr int NaiveDecisions = 300;
static constexpr std::size_t Batch = 64;
static constexpr TimePoint Start{std::chrono::hours(1)};

static double getSecondsSince(std::chrono::steady_clock::time_point Begin) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Begin)
      .count();
}

static ServerInfo makeServer(int I, int Count) {
  ServerInfo Info;
  Info.Server_ = BackendServerId("vm-" + std::to_string(I));
  Info.Rack_ = RackId("rack-" + std::to_string(I / 8));
  // The running tasks fill about half of the servers at each count.
  const std::int64_t Milli = 32000LL * 1200 / Count;
  Info.Capacity_ = Resources::makeFor(Milli, 125000LL * 1200 / Count);
  return Info;
}

static TaskInfo makeTask(int I) {
  TaskInfo Info;
  const int Job = I / TasksPerJob;
  Info.Task_ = {JobId("job-" + std::to_string(Job)),
                static_cast<std::uint32_t>(I % TasksPerJob)};
  Info.NextAttempt_ = AttemptNumber(1);
  Info.Team_ = TeamId("team-" + std::to_string(Job % 190));
  Info.Class_ = JobClassId("class-" + std::to_string(Job % 40));
  Info.Declared_ = Resources::makeFor(500 + 100 * (Job % 10), 2000);
  return Info;
}

namespace {
/// Recomputes all sums for each decision by scanning all tasks, and scores
/// every server with the same terms: packing and spread over racks.
class NaivePlanner {
public:
  void upsertServer(const ServerInfo &Info) { Servers_.push_back(Info); }
  void recordPlacement(const TaskInfo &Task, const BackendServerId &Server) {
    Placed_[Task.Task_] = {Task, Server};
  }
  std::optional<BackendServerId> place(const TaskInfo &Task) {
    std::map<BackendServerId, Resources> Used;
    std::map<BackendServerId, int> JobTasks;
    for (const auto &[Id, Placement] : Placed_) {
      auto &Sum = Used[Placement.second];
      Sum = Sum + Placement.first.Declared_;
      JobTasks[Placement.second] += Id.Job_ == Task.Task_.Job_ ? 1 : 0;
    }
    std::optional<BackendServerId> Best;
    double BestScore = -1e9;
    for (const ServerInfo &Info : Servers_) {
      const Resources Remaining =
          Info.Capacity_ - Used[Info.Server_] - Task.Declared_;
      if (!Remaining.isValid())
        continue;
      const double Score = 1 -
                           static_cast<double>(Remaining.MilliCpus_) /
                               static_cast<double>(Info.Capacity_.MilliCpus_) -
                           0.1 * JobTasks[Info.Server_];
      if (Score <= BestScore)
        continue;
      BestScore = Score;
      Best = Info.Server_;
    }
    return Best;
  }

private:
  std::vector<ServerInfo> Servers_;
  std::map<TaskId, std::pair<TaskInfo, BackendServerId>> Placed_;
};

struct Cost {
  double PlannerMicros_ = 0;
  double NaiveMicros_ = 0;
};
} // namespace

/// Sends one service report for each server, so that the planner also computes
/// predictions.
static void reportServices(Planner &Indexed, int Count) {
  for (int I = 0; I < Count; ++I) {
    ServiceSample Sample;
    Sample.Server_ = BackendServerId("vm-" + std::to_string(I));
    Sample.Service_ = ServiceId("booking");
    Sample.Requests_ = 500;
    Sample.P99_ = std::chrono::milliseconds(20);
    Sample.LoadPercent_ = 50;
    Sample.SampledAt_ = Start + std::chrono::seconds(1);
    Indexed.addServiceSample(Sample);
  }
}

/// Sends one usage sample for each running task, so that the sizes of all
/// classes are known.
static void reportUsage(Planner &Indexed) {
  for (int I = 0; I < RunningTasks; ++I) {
    const TaskInfo Task = makeTask(I);
    UsageSample Sample;
    Sample.Task_ = Task.Task_;
    Sample.Attempt_ = AttemptNumber(1);
    Sample.Usage_ = Task.Declared_;
    Sample.SampledAt_ = Start + std::chrono::seconds(1);
    Indexed.addUsageSample(Sample);
  }
}

/// Decides and commits placements; returns the microseconds per placement.
static double measurePlanner(Planner &Indexed) {
  for (int I = 0; I < PlannerDecisions; ++I)
    Indexed.addWaiting(makeTask(RunningTasks + I), Start);
  TimePoint Now = Start + std::chrono::seconds(2);
  int Placed = 0;
  double Seconds = 0;
  while (Placed < PlannerDecisions) {
    Now += std::chrono::milliseconds(100);
    const auto Begin = std::chrono::steady_clock::now();
    const auto Decisions = Indexed.decide(Now, Batch);
    for (const Decision &D : Decisions) {
      if (D.Kind_ != DecisionKind::Place)
        continue;
      const int Index =
          std::stoi(D.Task_->Job_.value().substr(4)) * TasksPerJob +
          static_cast<int>(D.Task_->Index_);
      Indexed.recordPlacement(makeTask(Index), D.Attempt_, *D.Server_,
                              D.Reservation_, Now);
      ++Placed;
    }
    Seconds += getSecondsSince(Begin);
    if (Decisions.empty() && Now > Start + std::chrono::hours(1))
      break;
  }
  std::printf("  ours placed %d of %d\n", Placed, PlannerDecisions);
  return Seconds / std::max(1, Placed) * 1e6;
}

static Cost measureAt(int Count) {
  Policy Settings;
  Settings.Targets_ = {{ServiceId("booking"), std::chrono::milliseconds(100)}};
  Planner Indexed(Settings, 1);
  NaivePlanner Naive;
  for (int I = 0; I < Count; ++I) {
    Indexed.upsertServer(makeServer(I, Count));
    Naive.upsertServer(makeServer(I, Count));
  }
  for (int I = 0; I < RunningTasks; ++I) {
    const BackendServerId Server("vm-" + std::to_string(I % Count));
    const TaskInfo Task = makeTask(I);
    Indexed.recordPlacement(Task, AttemptNumber(1), Server, Task.Declared_,
                            Start);
    Naive.recordPlacement(Task, Server);
  }
  reportServices(Indexed, Count);
  reportUsage(Indexed);
  Cost Result;
  const auto Begin = std::chrono::steady_clock::now();
  for (int I = 0; I < NaiveDecisions; ++I) {
    const TaskInfo Task = makeTask(RunningTasks + I);
    if (const auto Server = Naive.place(Task))
      Naive.recordPlacement(Task, *Server);
  }
  Result.NaiveMicros_ = getSecondsSince(Begin) / NaiveDecisions * 1e6;
  Result.PlannerMicros_ = measurePlanner(Indexed);
  std::printf("%4d servers, %d running tasks: ours %.2f us (%.0f/s), naive "
              "%.1f us (%.0f/s), %.1fx\n",
              Count, RunningTasks, Result.PlannerMicros_,
              1e6 / Result.PlannerMicros_, Result.NaiveMicros_,
              1e6 / Result.NaiveMicros_,
              Result.NaiveMicros_ / Result.PlannerMicros_);
  return Result;
}

bool decide::measurePlacement() {
  std::map<int, Cost> Costs;
  for (const int Count : ServerCounts)
    Costs[Count] = measureAt(Count);
  const Cost &Few = Costs[ServerCounts.front()];
  const Cost &Many = Costs[ServerCounts.back()];
  const double Ratio = Many.NaiveMicros_ / Many.PlannerMicros_;
  const double Growth = Many.PlannerMicros_ / Few.PlannerMicros_;
  bool Met = checkBound("times faster than naive at 1200", Ratio, ">=", 20);
  Met &= checkBound("cost growth from 48 to 1200", Growth, "<=", 2);
  std::printf("placement: ours_us=%.2f naive_us=%.1f ratio=%.1f growth=%.2f "
              "decisions_per_s=%.0f bounds=%s\n",
              Many.PlannerMicros_, Many.NaiveMicros_, Ratio, Growth,
              1e6 / Many.PlannerMicros_, Met ? "met" : "missed");
  return Met;
}
