//===- ProposedTasks.h - Tasks with a start that is not decided -*- C++ -*-===//
//
// Tasks whose start was proposed but not applied or refused yet. While commits
// are slow these are most of the waiting tasks, and each plan passes over them.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_PROPOSEDTASKS_H
#define TULIPWEIR_SRC_JOBS_PROPOSEDTASKS_H

#include "tulipweir/jobs/Advisor.h"
#include "tulipweir/jobs/Commands.h"

#include <set>
#include <unordered_map>

namespace tulipweir::jobs {

/// Not thread-safe.
class ProposedTasks {
public:
  /// The indices of a step's tasks.
  using Indices = std::set<std::uint64_t>;

  // Commands.

  void clear() { Steps_.clear(); }
  void insert(const TaskKey &Task) {
    Steps_[getStep(Task)].insert(Task.Index_);
  }
  void erase(const TaskKey &Task) {
    const auto It = Steps_.find(getStep(Task));
    if (It == Steps_.end())
      return;
    It->second.erase(Task.Index_);
    if (It->second.empty())
      Steps_.erase(It);
  }

  // Queries.

  bool contains(const TaskKey &Task) const {
    const Indices *Step = findStep(Task);
    return Step && Step->count(Task.Index_) != 0;
  }
  /// Returns the proposed tasks of the step that the task belongs to; nullptr
  /// if there are none.
  const Indices *findStep(const TaskKey &Task) const {
    const auto It = Steps_.find(getStep(Task));
    return It == Steps_.end() ? nullptr : &It->second;
  }

private:
  static StepKey getStep(const TaskKey &Task) {
    return {Task.Job_, Task.Occurrence_, Task.Step_};
  }

  std::unordered_map<StepKey, Indices, StepKeyHash> Steps_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_PROPOSEDTASKS_H
