//===- PlacementRound.h - Placement of waiting tasks -----------*- C++ -*-===//
//
// Takes waiting tasks in queue order and decides for each: place it; make room
// for it, by evictions for an urgent task or by claiming a server for a task
// that found no room for long; or hold it with a reason and park its group.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_PLACEMENTROUND_H
#define TULIPWEIR_SRC_DECIDE_PLACEMENTROUND_H

#include "decide/Placer.h"
#include "decide/PlannerState.h"
#include "decide/Preemptor.h"

namespace tulipweir::decide {

class PlacementRound {
public:
  PlacementRound(PlannerState &State, std::uint64_t Seed);

  /// Appends at most Budget decisions for urgent tasks, or for all tasks.
  void placeUrgent(TimePoint Now, std::size_t Budget,
                   std::vector<Decision> &Decisions);
  void placeAll(TimePoint Now, std::size_t Budget,
                std::vector<Decision> &Decisions);
  /// Appends placements of tasks whose claimed room is free now.
  void placeClaimedTasks(TimePoint Now, std::size_t Budget,
                         std::vector<Decision> &Decisions);
  /// Appends evictions from servers that are draining.
  void evictFromDraining(TimePoint Now, std::size_t Budget,
                         std::vector<Decision> &Decisions);

private:
  bool isUrgent(const TaskInfo &Task) const;
  void placeWaiting(bool UrgentOnly, TimePoint Now, std::size_t Budget,
                    std::vector<Decision> &Decisions);
  /// Returns false if the budget is too small to continue.
  bool tryPlace(const WaitingTask &Waiting, TimePoint Now, std::size_t Budget,
                std::vector<Decision> &Decisions);
  void place(const TaskInfo &Task, PlacementChoice Choice, TimePoint Now,
             std::vector<Decision> &Decisions);
  bool tryPreempt(const TaskInfo &Task, const Resources &Needed, TimePoint Now,
                  std::size_t Budget, std::vector<Decision> &Decisions);
  bool tryClaimServer(const WaitingTask &Waiting, const Resources &Needed,
                      TimePoint Now, std::vector<Decision> &Decisions);
  void parkTask(const TaskInfo &Task, const PlacementChoice &Choice,
                TimePoint Now, std::vector<Decision> &Decisions);

  PlannerState &State_;
  Placer Placer_;
  Preemptor Preemptor_;
  std::mt19937_64 Random_;
};

/// Describes why a task of this team and size waits, with figures.
std::string describeObstacle(const PlannerState &State, const TaskInfo &Task,
                             const Resources &Needed, ReasonCode Reason);

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_PLACEMENTROUND_H
