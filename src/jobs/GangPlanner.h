//===- GangPlanner.h - Places for all tasks of a gang ----------*- C++ -*-===//

#ifndef TULIPWEIR_SRC_JOBS_GANGPLANNER_H
#define TULIPWEIR_SRC_JOBS_GANGPLANNER_H

#include "tulipweir/jobs/JobRegistry.h"

#include <functional>
#include <vector>

namespace tulipweir::jobs {

/// Starts of all tasks of a gang that waits whole, over the servers that
/// MayUse allows, or none if there is no room for all. Racks where all fit are
/// preferred, the data's rack first; a step that has to stay on one rack gets
/// several only if MaySpread. Pure.
std::vector<TaskStart>
planGangStarts(const JobRegistry &Book, const ReadyStep &Ready, bool MaySpread,
               const std::function<bool(const ServerRecord &Server)> &MayUse);

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_GANGPLANNER_H
