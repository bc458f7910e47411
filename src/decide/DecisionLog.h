//===- DecisionLog.h - The latest decision about each task -----*- C++ -*-===//
//
// A bounded log for explain(); the oldest tasks are dropped first.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_DECISIONLOG_H
#define TULIPWEIR_SRC_DECIDE_DECISIONLOG_H

#include "tulipweir/decide/Decision.h"

#include <deque>
#include <unordered_map>

namespace tulipweir::decide {

class DecisionLog {
public:
  static constexpr std::size_t MaxTasks = 4096;

  /// Stores a decision about a task; ignores other decisions.
  void record(const Decision &D);
  const Decision *find(const TaskId &Task) const;

private:
  std::unordered_map<TaskId, Decision> Decisions_;
  std::deque<TaskId> Order_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_DECISIONLOG_H
