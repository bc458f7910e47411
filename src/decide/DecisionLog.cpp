//===- DecisionLog.cpp - The latest decision about each task ------------===//

#include "decide/DecisionLog.h"

using namespace tulipweir;
using namespace tulipweir::decide;

void DecisionLog::record(const Decision &D) {
  if (!D.Task_)
    return;
  const TaskId &Task = *D.Task_;
  if (!Decisions_.contains(Task))
    Order_.push_back(Task);
  Decisions_[Task] = D;
  if (Order_.size() <= MaxTasks)
    return;
  Decisions_.erase(Order_.front());
  Order_.pop_front();
}

const Decision *DecisionLog::find(const TaskId &Task) const {
  const auto It = Decisions_.find(Task);
  return It == Decisions_.end() ? nullptr : &It->second;
}
