//===- JobProgress.h - Attempts numbered over data centres -----*- C++ -*-===//
//
// A data centre whose assignment expired says nothing of the attempts it made.
// So each assignment numbers its attempts from a range of its own, and a
// task's attempt means the same one everywhere.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_JOBPROGRESS_H
#define TULIPWEIR_SRC_CONTROL_JOBPROGRESS_H

#include "tulipweir/core/Error.h"
#include "tulipweir/datacentre/Commands.h"

#include <cstdint>
#include <string>

namespace tulipweir::control {

/// Attempts that one assignment of a job may number.
inline constexpr std::uint64_t AttemptsPerAssignment = 1'000'000;

/// The progress to adopt a job with: what was passed on, with every attempt's
/// number at least at the beginning of the assignment's range. Passed may be
/// empty. Fails with Malformed if it does not fit the job.
Outcome<std::string> makeAdoptedProgress(const datacentre::JobSpec &Spec,
                                         const std::string &Passed,
                                         std::uint64_t Assignment);

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_JOBPROGRESS_H
