//===- Explainer.h - Why a task stands where it stands ---------*- C++ -*-===//
//
// Builds the answer to an operator's question about one task from the
// planner's state; changes nothing.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_EXPLAINER_H
#define TULIPWEIR_SRC_DECIDE_EXPLAINER_H

#include "decide/Placer.h"
#include "decide/PlannerState.h"

namespace tulipweir::decide {

/// Explains one task; nullopt if the planner does not know it.
std::optional<Explanation> explainTask(const PlannerState &State,
                                       const Placer &Placement,
                                       const TaskId &Task, TimePoint Now);

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_EXPLAINER_H
