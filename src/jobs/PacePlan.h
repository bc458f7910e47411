//===- PacePlan.h - How fast filling tasks may work ------------*- C++ -*-===//
//
// From the loads of what serves on a server and the weights of the pairs there:
// the paces at which no tail is expected to reach its target. What disturbs
// most is slowed first, for it costs the least work for each part of a tail
// that is won. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_PACEPLAN_H
#define TULIPWEIR_SRC_JOBS_PACEPLAN_H

#include "jobs/PaceController.h"
#include "jobs/InterferenceModel.h"

#include <map>
#include <string>

namespace tulipweir::jobs {

/// Bases: by serving image, the logarithm of the longest tail by its own load
/// over its target. Asked: by filling image, the share of the server's
/// processors that its tasks would use at full speed. LeftShare: what is left
/// of these for all that fills; beyond that every tail grows many times over.
ImagePaces planPaces(const TailEffects &Effects,
                     const std::map<std::string, double> &Bases,
                     const FillingUse &Asked, double LeftShare);

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_PACEPLAN_H
