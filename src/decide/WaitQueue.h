//===- WaitQueue.h - Tasks that wait, in the order to be tried -*- C++ -*-===//
//
// Tasks of one job that want the same amount form a group; a group that cannot
// be placed is parked as a whole until its retry time, or until room came free
// that may help, and holds up nobody else. Urgent groups come first. The others
// are ordered by (waiting since - priority x ageing step), which never needs to
// be sorted again while time passes: a task overtakes one of higher priority
// exactly when it has waited one ageing step longer per step of priority. Tasks
// of classes that slow services much start with a bounded handicap, so that
// the room under the tail targets goes to those that get most done in it.
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

/// Where a group stands in the order; smaller goes first.
struct QueuePosition {
  std::uint32_t Tier_ = 1; ///< 0: urgent.
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
  /// By how much a task's start in the order is put off; bounded.
  using OrderPenalty = std::function<Duration(const TaskInfo &)>;

  WaitQueue(const Policy &Settings, OrderPenalty ComputePenalty);

  // Commands.
  void setPolicy(const Policy &Settings);
  /// Adds a task, or changes what is known of one; it keeps its old Since.
  void add(const TaskInfo &Task, TimePoint Since);
  void remove(const TaskId &Task);
  /// Parks the group of the task; returns whether its reason is a new one.
  bool park(const TaskId &Task, ReasonCode Reason, TimePoint Now);
  /// Makes groups whose retry time came ready again, Most at most.
  void wakeDue(TimePoint Now, std::size_t Limit);
  /// Makes parked groups that fit in Room ready, first ones first.
  void wakeFitting(const Resources &Room);
  /// Makes groups that are parked for Reason ready, a bounded number.
  void wakeReason(ReasonCode Reason);

  // Queries.
  /// The task to try next, or nullptr.
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
