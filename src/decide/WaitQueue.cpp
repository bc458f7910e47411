//===- WaitQueue.cpp - Tasks that wait, in the order to be tried --------===//

#include "decide/WaitQueue.h"

#include <algorithm>
#include <cassert>

using namespace tulipweir;
using namespace tulipweir::decide;

/// Parked groups looked at, and woken, when room comes free.
static constexpr std::size_t MaxLookedAt = 64;
static constexpr std::size_t MaxWoken = 8;

/// Urgent work is tried again soon: each try looks at further servers.
static constexpr Duration UrgentBackoff = std::chrono::milliseconds(250);

static Duration firstBackoff(ReasonCode Reason) {
  using std::chrono::seconds;
  return Reason == ReasonCode::NeverFits ? seconds(5) : seconds(1);
}

static Duration longestBackoff(ReasonCode Reason) {
  using std::chrono::seconds;
  return Reason == ReasonCode::NeverFits ? seconds(120) : seconds(8);
}

bool GroupKey::operator<(const GroupKey &Other) const {
  const auto TieOf = [](const GroupKey &Key) {
    return std::tie(Key.Job_, Key.Priority_, Key.Declared_.MilliCpus_,
                    Key.Declared_.MemoryMib_, Key.Declared_.Accelerators_);
  };
  return TieOf(*this) < TieOf(Other);
}

WaitQueue::WaitQueue(const Policy &Settings, Handicap PutOff)
    : UrgentPriority_(Settings.UrgentPriority_),
      AgeingStep_(Settings.AgeingStep_), PutOff_(std::move(PutOff)) {}

GroupKey WaitQueue::keyOf(const TaskInfo &Task) {
  return {Task.Task_.Job_, Task.Priority_, Task.Declared_};
}

QueuePosition WaitQueue::positionOf(const GroupKey &Key,
                                    const Group &Value) const {
  QueuePosition Position;
  Position.Tier_ = Key.Priority_ >= UrgentPriority_ ? 0 : 1;
  // Far more steps than an hour each would leave the range of the clock.
  constexpr std::uint32_t MostSteps = 100000;
  const auto &[Since, Index] = *Value.Tasks_.begin();
  const WaitingTask *First = find(TaskId{Key.Job_, Index});
  Position.VirtualStart_ = Since + PutOff_(First->Info_) -
                           AgeingStep_ * std::min(Key.Priority_, MostSteps);
  Position.Group_ = Key;
  return Position;
}

void WaitQueue::setPolicy(const Policy &Settings) {
  UrgentPriority_ = Settings.UrgentPriority_;
  AgeingStep_ = Settings.AgeingStep_;
  Ready_.clear();
  ParkedOrder_.clear();
  ParkedTimes_.clear();
  for (auto &[Key, Value] : Groups_) {
    Value.Parked_ = false;
    index(Key, Value);
  }
}

void WaitQueue::index(const GroupKey &Key, Group &Value) {
  Value.Position_ = positionOf(Key, Value);
  if (!Value.Parked_) {
    Ready_.insert(Value.Position_);
    return;
  }
  ParkedOrder_.insert(Value.Position_);
  ParkedTimes_.insert({Value.State_.RetryAt_, Key});
}

void WaitQueue::unindex(Group &Value) {
  if (!Value.Parked_) {
    Ready_.erase(Value.Position_);
    return;
  }
  ParkedOrder_.erase(Value.Position_);
  ParkedTimes_.erase({Value.State_.RetryAt_, Value.Position_.Group_});
}

void WaitQueue::add(const TaskInfo &Task, TimePoint Since) {
  const auto Known = Tasks_.find(Task.Task_);
  if (Known != Tasks_.end()) {
    Since = Known->second.Since_;
    remove(Task.Task_);
  }
  Tasks_.emplace(Task.Task_, WaitingTask{Task, Since});
  const GroupKey Key = keyOf(Task);
  Group &Value = Groups_[Key];
  if (!Value.Tasks_.empty())
    unindex(Value);
  Value.Tasks_.insert({Since, Task.Task_.Index_});
  index(Key, Value);
}

void WaitQueue::remove(const TaskId &Task) {
  const auto Known = Tasks_.find(Task);
  if (Known == Tasks_.end())
    return;
  const GroupKey Key = keyOf(Known->second.Info_);
  const auto Found = Groups_.find(Key);
  assert(Found != Groups_.end() && "a waiting task has no group");
  Group &Value = Found->second;
  unindex(Value);
  Value.Tasks_.erase({Known->second.Since_, Task.Index_});
  Tasks_.erase(Known);
  if (Value.Tasks_.empty())
    Groups_.erase(Found);
  else
    index(Key, Value);
}

bool WaitQueue::park(const TaskId &Task, ReasonCode Reason, TimePoint Now) {
  const auto Known = Tasks_.find(Task);
  assert(Known != Tasks_.end() && "parked a task that does not wait");
  const GroupKey Key = keyOf(Known->second.Info_);
  Group &Value = Groups_.at(Key);
  unindex(Value);
  ParkedState &State = Value.State_;
  const bool Changed =
      State.Backoff_ == Duration::zero() || State.Reason_ != Reason;
  State.Backoff_ = Changed
                       ? firstBackoff(Reason)
                       : std::min(State.Backoff_ * 2, longestBackoff(Reason));
  if (Value.Position_.Tier_ == 0 && Reason != ReasonCode::NeverFits)
    State.Backoff_ = UrgentBackoff;
  State.Reason_ = Reason;
  State.RetryAt_ = Now + State.Backoff_;
  Value.Parked_ = true;
  index(Key, Value);
  return Changed;
}

void WaitQueue::wake(Group &Value) {
  const GroupKey Key = Value.Position_.Group_;
  unindex(Value);
  Value.Parked_ = false;
  index(Key, Value);
}

void WaitQueue::wakeDue(TimePoint Now, std::size_t Most) {
  for (std::size_t I = 0; I < Most && !ParkedTimes_.empty(); ++I) {
    const auto First = *ParkedTimes_.begin();
    if (First.first > Now)
      return;
    wake(Groups_.at(First.second));
  }
}

void WaitQueue::wakeFitting(const Resources &Room) {
  std::vector<GroupKey> Woken;
  std::size_t LookedAt = 0;
  for (const QueuePosition &Position : ParkedOrder_) {
    if (++LookedAt > MaxLookedAt || Woken.size() >= MaxWoken)
      break;
    // A learned reservation may be smaller than what was declared.
    constexpr std::int64_t LearnedPart = 5;
    const Resources &Declared = Position.Group_.Declared_;
    const Resources Least{Declared.MilliCpus_ / LearnedPart,
                          Declared.MemoryMib_ / LearnedPart,
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
  std::size_t LookedAt = 0;
  for (const QueuePosition &Position : ParkedOrder_) {
    if (++LookedAt > MaxLookedAt || Woken.size() >= MaxWoken)
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
  const Group &Value = Groups_.at(Key);
  return find(TaskId{Key.Job_, Value.Tasks_.begin()->second});
}

const WaitingTask *WaitQueue::find(const TaskId &Task) const {
  const auto Found = Tasks_.find(Task);
  return Found == Tasks_.end() ? nullptr : &Found->second;
}

std::optional<ParkedState> WaitQueue::parkedState(const TaskId &Task) const {
  const WaitingTask *Known = find(Task);
  if (!Known)
    return std::nullopt;
  const Group &Value = Groups_.at(keyOf(Known->Info_));
  if (!Value.Parked_)
    return std::nullopt;
  return Value.State_;
}
