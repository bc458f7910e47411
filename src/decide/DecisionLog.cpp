//===- DecisionLog.cpp - The latest decision about each task ------------===//

#include "decide/DecisionLog.h"

using namespace tulipweir;
using namespace tulipweir::decide;

void DecisionLog::remember(const Decision &Value) {
  if (!Value.Task_)
    return;
  const TaskId &Task = *Value.Task_;
  if (!Decisions_.contains(Task))
    Order_.push_back(Task);
  Decisions_[Task] = Value;
  if (Order_.size() <= MaxTasks)
    return;
  Decisions_.erase(Order_.front());
  Order_.pop_front();
}

const Decision *DecisionLog::find(const TaskId &Task) const {
  const auto Found = Decisions_.find(Task);
  return Found == Decisions_.end() ? nullptr : &Found->second;
}
