//===- Explainer.h - Explains the state of a task --------------*- C++ -*-===//
//
// Answers an operator's query about one task from the planner's state, which
// it does not change.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_EXPLAINER_H
#define TULIPWEIR_SRC_DECIDE_EXPLAINER_H

#include "decide/Placer.h"
#include "decide/PlannerState.h"

namespace tulipweir::decide {

/// Explains one task; returns nullopt if the planner does not know it.
std::optional<Explanation> explainTask(const PlannerState &State,
                                       const Placer &Placement,
                                       const TaskId &Task, TimePoint Now);

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_EXPLAINER_H
