//===- JobProgress.h - Attempt numbers across data centres -----*- C++ -*-===//
//
// A data centre whose assignment expired cannot report the attempts it made.
// So each assignment numbers its attempts from its own range, and an attempt
// number of a task is unique in the fleet.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_JOBPROGRESS_H
#define TULIPWEIR_SRC_CONTROL_JOBPROGRESS_H

#include "tulipweir/core/Error.h"
#include "tulipweir/datacentre/Commands.h"

#include <cstdint>
#include <string>

namespace tulipweir::control {

/// Size of the range of attempt numbers of one assignment.
inline constexpr std::uint64_t AttemptsPerAssignment = 1'000'000;

/// Returns the progress with which a job is adopted: the released progress,
/// with every attempt number raised to at least the start of the assignment's
/// range. Released may be empty. Returns Malformed if it does not match the
/// job.
Outcome<std::string> makeAdoptedProgress(const datacentre::JobSpec &Spec,
                                         const std::string &Released,
                                         std::uint64_t Assignment);

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_JOBPROGRESS_H
