//===- GangPlanner.h - Placement of all tasks of a gang --------*- C++ -*-===//

#ifndef TULIPWEIR_SRC_JOBS_GANGPLANNER_H
#define TULIPWEIR_SRC_JOBS_GANGPLANNER_H

#include "tulipweir/jobs/JobRegistry.h"

#include <functional>
#include <vector>

namespace tulipweir::jobs {

/// Returns the starts of all tasks of a gang of which no task runs yet, on the
/// servers that MayUse allows, or nothing if they do not all fit. Racks where
/// all of them fit are preferred, the data's rack first; a step that has to
/// stay on one rack gets several racks only if MaySpread. Pure.
std::vector<TaskStart>
planGangStarts(const JobRegistry &Registry, const ReadyStep &Ready,
               bool MaySpread,
               const std::function<bool(const ServerRecord &Server)> &MayUse);

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_GANGPLANNER_H
