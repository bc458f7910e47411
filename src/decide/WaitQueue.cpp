//===- WaitQueue.cpp - Order of waiting tasks ----------------------------===//

#include "decide/WaitQueue.h"

#include <algorithm>
#include <cassert>

using namespace tulipweir;
using namespace tulipweir::decide;

/// Parked groups that are scanned, and woken, when room becomes free.
static constexpr std::size_t MaxScanned = 64;
static constexpr std::size_t MaxWoken = 8;

/// Urgent tasks are retried soon, because each try considers further servers.
static constexpr Duration UrgentBackoff = std::chrono::milliseconds(250);

static Duration getInitialBackoff(ReasonCode Reason) {
  using std::chrono::seconds;
  return Reason == ReasonCode::NeverFits ? seconds(5) : seconds(1);
}

static Duration getMaxBackoff(ReasonCode Reason) {
  using std::chrono::seconds;
  return Reason == ReasonCode::NeverFits ? seconds(120) : seconds(8);
}

bool GroupKey::operator<(const GroupKey &Other) const {
  const auto MakeTie = [](const GroupKey &Key) {
    return std::tie(Key.Job_, Key.Priority_, Key.Declared_.MilliCpus_,
                    Key.Declared_.MemoryMib_, Key.Declared_.Accelerators_);
  };
  return MakeTie(*this) < MakeTie(Other);
}

WaitQueue::WaitQueue(const Policy &Settings, OrderPenalty ComputePenalty)
    : UrgentPriority_(Settings.UrgentPriority_),
      AgeingStep_(Settings.AgeingStep_),
      ComputePenalty_(std::move(ComputePenalty)) {}

GroupKey WaitQueue::makeKey(const TaskInfo &Task) {
  return {Task.Task_.Job_, Task.Priority_, Task.Declared_};
}

QueuePosition WaitQueue::computePosition(const GroupKey &Key,
                                         const Group &Entry) const {
  QueuePosition Position;
  Position.Tier_ = Key.Priority_ >= UrgentPriority_ ? 0 : 1;
  // Many more steps of up to one hour each would exceed the range of the clock.
  constexpr std::uint32_t MaxSteps = 100000;
  const auto &[Since, Index] = *Entry.Tasks_.begin();
  const WaitingTask *First = find(TaskId{Key.Job_, Index});
  Position.VirtualStart_ = Since + ComputePenalty_(First->Info_) -
                           AgeingStep_ * std::min(Key.Priority_, MaxSteps);
  Position.Group_ = Key;
  return Position;
}

void WaitQueue::setPolicy(const Policy &Settings) {
  UrgentPriority_ = Settings.UrgentPriority_;
  AgeingStep_ = Settings.AgeingStep_;
  Ready_.clear();
  ParkedOrder_.clear();
  ParkedTimes_.clear();
  for (auto &[Key, Entry] : Groups_) {
    Entry.Parked_ = false;
    addToIndexes(Key, Entry);
  }
}

void WaitQueue::addToIndexes(const GroupKey &Key, Group &Entry) {
  Entry.Position_ = computePosition(Key, Entry);
  if (!Entry.Parked_) {
    Ready_.insert(Entry.Position_);
    return;
  }
  ParkedOrder_.insert(Entry.Position_);
  ParkedTimes_.insert({Entry.State_.RetryAt_, Key});
}

void WaitQueue::removeFromIndexes(Group &Entry) {
  if (!Entry.Parked_) {
    Ready_.erase(Entry.Position_);
    return;
  }
  ParkedOrder_.erase(Entry.Position_);
  ParkedTimes_.erase({Entry.State_.RetryAt_, Entry.Position_.Group_});
}

void WaitQueue::add(const TaskInfo &Task, TimePoint Since) {
  const auto TaskIt = Tasks_.find(Task.Task_);
  if (TaskIt != Tasks_.end()) {
    Since = TaskIt->second.Since_;
    remove(Task.Task_);
  }
  Tasks_.emplace(Task.Task_, WaitingTask{Task, Since});
  const GroupKey Key = makeKey(Task);
  Group &Entry = Groups_[Key];
  if (!Entry.Tasks_.empty())
    removeFromIndexes(Entry);
  Entry.Tasks_.insert({Since, Task.Task_.Index_});
  addToIndexes(Key, Entry);
}

void WaitQueue::remove(const TaskId &Task) {
  const auto TaskIt = Tasks_.find(Task);
  if (TaskIt == Tasks_.end())
    return;
  const GroupKey Key = makeKey(TaskIt->second.Info_);
  const auto GroupIt = Groups_.find(Key);
  assert(GroupIt != Groups_.end() && "a waiting task has no group");
  Group &Entry = GroupIt->second;
  removeFromIndexes(Entry);
  Entry.Tasks_.erase({TaskIt->second.Since_, Task.Index_});
  Tasks_.erase(TaskIt);
  if (Entry.Tasks_.empty())
    Groups_.erase(GroupIt);
  else
    addToIndexes(Key, Entry);
}

bool WaitQueue::park(const TaskId &Task, ReasonCode Reason, TimePoint Now) {
  const auto TaskIt = Tasks_.find(Task);
  assert(TaskIt != Tasks_.end() && "parked a task that does not wait");
  const GroupKey Key = makeKey(TaskIt->second.Info_);
  Group &Entry = Groups_.at(Key);
  removeFromIndexes(Entry);
  ParkedState &State = Entry.State_;
  const bool Changed =
      State.Backoff_ == Duration::zero() || State.Reason_ != Reason;
  State.Backoff_ = Changed
                       ? getInitialBackoff(Reason)
                       : std::min(State.Backoff_ * 2, getMaxBackoff(Reason));
  if (Entry.Position_.Tier_ == 0 && Reason != ReasonCode::NeverFits)
    State.Backoff_ = UrgentBackoff;
  State.Reason_ = Reason;
  State.RetryAt_ = Now + State.Backoff_;
  Entry.Parked_ = true;
  addToIndexes(Key, Entry);
  return Changed;
}

void WaitQueue::wake(Group &Entry) {
  const GroupKey Key = Entry.Position_.Group_;
  removeFromIndexes(Entry);
  Entry.Parked_ = false;
  addToIndexes(Key, Entry);
}

void WaitQueue::wakeDue(TimePoint Now, std::size_t Limit) {
  for (std::size_t I = 0; I < Limit && !ParkedTimes_.empty(); ++I) {
    const auto First = *ParkedTimes_.begin();
    if (First.first > Now)
      return;
    wake(Groups_.at(First.second));
  }
}

void WaitQueue::wakeFitting(const Resources &Room) {
  std::vector<GroupKey> Woken;
  std::size_t Scanned = 0;
  for (const QueuePosition &Position : ParkedOrder_) {
    if (++Scanned > MaxScanned || Woken.size() >= MaxWoken)
      break;
    // A learned reservation may be smaller than the declared size.
    constexpr std::int64_t MaxLearnedShrink = 5;
    const Resources &Declared = Position.Group_.Declared_;
    const Resources Least{Declared.MilliCpus_ / MaxLearnedShrink,
                          Declared.MemoryMib_ / MaxLearnedShrink,
                          Declared.Accelerators_};
    const ReasonCode Reason = Groups_.at(Position.Group_).State_.Reason_;
    const bool WaitsForRoom =
        Reason == ReasonCode::NoRoom || Reason == ReasonCode::TailAtRisk;
    if (WaitsForRoom && Least.fitsIn(Room))
      Woken.push_back(Position.Group_);
  }
  for (const GroupKey &Key : Woken)
    wake(Groups_.at(Key));
}

void WaitQueue::wakeReason(ReasonCode Reason) {
  std::vector<GroupKey> Woken;
  std::size_t Scanned = 0;
  for (const QueuePosition &Position : ParkedOrder_) {
    if (++Scanned > MaxScanned || Woken.size() >= MaxWoken)
      break;
    if (Groups_.at(Position.Group_).State_.Reason_ == Reason)
      Woken.push_back(Position.Group_);
  }
  for (const GroupKey &Key : Woken)
    wake(Groups_.at(Key));
}

const WaitingTask *WaitQueue::first() const {
  if (Ready_.empty())
    return nullptr;
  const GroupKey &Key = Ready_.begin()->Group_;
  const Group &Entry = Groups_.at(Key);
  return find(TaskId{Key.Job_, Entry.Tasks_.begin()->second});
}

const WaitingTask *WaitQueue::find(const TaskId &Task) const {
  const auto It = Tasks_.find(Task);
  return It == Tasks_.end() ? nullptr : &It->second;
}

std::optional<ParkedState>
WaitQueue::findParkedState(const TaskId &Task) const {
  const WaitingTask *Waiting = find(Task);
  if (!Waiting)
    return std::nullopt;
  const Group &Entry = Groups_.at(makeKey(Waiting->Info_));
  if (!Entry.Parked_)
    return std::nullopt;
  return Entry.State_;
}
