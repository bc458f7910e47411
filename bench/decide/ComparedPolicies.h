//===- ComparedPolicies.h - Policies to compare ----------------*- C++ -*-===//
//
// The planner itself, first-fit by declared sizes with a reactive guard, and
// an oracle that knows the true sizes and effects.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_BENCH_DECIDE_COMPAREDPOLICIES_H
#define TULIPWEIR_BENCH_DECIDE_COMPAREDPOLICIES_H

#include "SimulatedWorkload.h"

#include <memory>

namespace tulipweir::decide {

std::unique_ptr<ComparedPolicy> makePlannerPolicy(const Policy &Settings,
                                                  std::uint64_t Seed);

/// Creates a policy that places each waiting task, in order of arrival, on the
/// first server with room for its declared size. After three reports in a row
/// of a server over the target, it evicts the task there with the largest
/// declared processor share and restarts the count. Tasks that failed or were
/// evicted are placed again at once.
std::unique_ptr<ComparedPolicy> makeFirstFit(const Policy &Settings);

/// Creates a policy that knows the true sizes, effects, loads and failing
/// servers without lag and reserves exactly what tasks use. It goes through the
/// classes from the one that slows services least per processor to the one that
/// slows them most, regardless of waiting time, and places each task on the
/// server with the least true slowdown, as long as the p99 there stays within
/// the target at the top of the next load wave. It needs no guard and no
/// eviction.
std::unique_ptr<ComparedPolicy> makeOracle(const SimulatedWorkload &Workload);

} // namespace tulipweir::decide

#endif // TULIPWEIR_BENCH_DECIDE_COMPAREDPOLICIES_H
