//===- WaitQueue.h - Order of waiting tasks --------------------*- C++ -*-===//
//
// Tasks of one job with the same priority and declared size form a group. A
// group that cannot be placed is parked as a whole until its retry time, or
// until free room may help, and does not block other groups. Urgent groups
// come first. The others are ordered by (waiting since - priority x ageing
// step), which does not change over time: a task overtakes one of higher
// priority exactly when it has waited one ageing step longer per step of
// priority. Tasks of classes that slow services start with a bounded penalty,
// so that the room under the p99 targets goes to tasks that use it best.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_WAITQUEUE_H
#define TULIPWEIR_SRC_DECIDE_WAITQUEUE_H

#include "tulipweir/decide/Planner.h"

#include <functional>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>

namespace tulipweir::decide {

struct WaitingTask {
  TaskInfo Info_;
  TimePoint Since_;
};

struct GroupKey {
  JobId Job_;
  std::uint32_t Priority_ = 0;
  Resources Declared_;
  bool operator==(const GroupKey &) const = default;
  bool operator<(const GroupKey &Other) const;
};

/// The position of a group in the queue order; smaller goes first.
struct QueuePosition {
  std::uint32_t Tier_ = 1; ///< 0 for urgent groups.
  TimePoint VirtualStart_;
  GroupKey Group_;
  bool operator==(const QueuePosition &) const = default;
  bool operator<(const QueuePosition &Other) const {
    return std::tie(Tier_, VirtualStart_, Group_) <
           std::tie(Other.Tier_, Other.VirtualStart_, Other.Group_);
  }
};

struct ParkedState {
  ReasonCode Reason_ = ReasonCode::NoRoom;
  TimePoint RetryAt_;
  Duration Backoff_{};
};

class WaitQueue {
public:
  /// Returns the bounded delay of a task in the queue order.
  using OrderPenalty = std::function<Duration(const TaskInfo &)>;

  WaitQueue(const Policy &Settings, OrderPenalty ComputePenalty);

  // Commands.
  void setPolicy(const Policy &Settings);
  /// Adds a task, or replaces a known one, which keeps its old Since.
  void add(const TaskInfo &Task, TimePoint Since);
  void remove(const TaskId &Task);
  /// Parks the group of the task; returns whether the reason is new.
  bool park(const TaskId &Task, ReasonCode Reason, TimePoint Now);
  /// Wakes at most Limit groups whose retry time has come.
  void wakeDue(TimePoint Now, std::size_t Limit);
  /// Wakes parked groups that fit in Room, in queue order; a bounded number.
  void wakeFitting(const Resources &Room);
  /// Wakes groups that are parked for Reason; a bounded number.
  void wakeReason(ReasonCode Reason);

  // Queries.
  /// Returns the task to try next, or nullptr.
  const WaitingTask *first() const;
  const WaitingTask *find(const TaskId &Task) const;
  std::optional<ParkedState> findParkedState(const TaskId &Task) const;
  std::size_t size() const { return Tasks_.size(); }

private:
  struct Group {
    std::set<std::pair<TimePoint, std::uint32_t>> Tasks_;
    QueuePosition Position_;
    bool Parked_ = false;
    ParkedState State_;
  };
  using Groups = std::map<GroupKey, Group>;

  static GroupKey makeKey(const TaskInfo &Task);
  QueuePosition computePosition(const GroupKey &Key, const Group &Entry) const;
  void addToIndexes(const GroupKey &Key, Group &Entry);
  void removeFromIndexes(Group &Entry);
  void wake(Group &Entry);

  std::uint32_t UrgentPriority_;
  Duration AgeingStep_;
  OrderPenalty ComputePenalty_;
  std::unordered_map<TaskId, WaitingTask> Tasks_;
  Groups Groups_;
  std::set<QueuePosition> Ready_;
  std::set<QueuePosition> ParkedOrder_;
  std::set<std::pair<TimePoint, GroupKey>> ParkedTimes_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_WAITQUEUE_H
