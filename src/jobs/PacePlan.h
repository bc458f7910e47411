//===- PacePlan.h - Planned speed of filling tasks -------------*- C++ -*-===//
//
// Computes paces at which no tail is expected to reach its target, from the
// load of the serving tasks on a server and the interference weights of the
// image pairs there. The image with the heaviest weight is slowed down first,
// as that costs the least work for the same reduction of a tail. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_PACEPLAN_H
#define TULIPWEIR_SRC_JOBS_PACEPLAN_H

#include "jobs/InterferenceModel.h"
#include "jobs/PaceController.h"

#include <map>
#include <string>

namespace tulipweir::jobs {

/// Baselines holds, by serving image, the logarithm of the longest tail under
/// its own load over its target. RequestedShares holds, by filling image, the
/// share of the server's processors that its tasks would use at full speed.
/// AvailableShare is the share of the processors that is available to all
/// filling tasks; if they use more, every tail grows many times over.
ImagePaces planPaces(const InterferenceModel &Interference,
                     const std::map<std::string, double> &Baselines,
                     const FillingUse &RequestedShares, double AvailableShare);

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_PACEPLAN_H
