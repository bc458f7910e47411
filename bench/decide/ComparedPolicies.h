//===- ComparedPolicies.h - What ours is measured against ------*- C++ -*-===//
//
// First-fit by declared sizes with a reactive guard, an oracle that knows the
// true sizes and effects, and the planner itself.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_BENCH_DECIDE_COMPAREDPOLICIES_H
#define TULIPWEIR_BENCH_DECIDE_COMPAREDPOLICIES_H

#include "SimulatedWorkload.h"

#include <memory>

namespace tulipweir::decide {

std::unique_ptr<ComparedPolicy> makePlannerPolicy(const Policy &Settings,
                                                  std::uint64_t Seed);

/// Places each waiting task, in the order of arrival, on the first server with
/// room for its declared size. When three reports in a row of a server stand
/// over the target, the task there with the largest declared processors is
/// evicted, and the count starts again. Tasks that failed or were evicted are
/// placed again at once.
std::unique_ptr<ComparedPolicy> makeFirstFit(const Policy &Settings);

/// Knows true sizes, effects, loads and failing servers, without lag, and
/// reserves exactly what tasks use. Goes through the classes from the one that
/// slows services least per processor to the worst, however long others wait,
/// and puts each task on the server with the least true slowdown, as long as
/// the p99 there stays within the target at the top of the next wave. Needs no
/// guard and no eviction.
std::unique_ptr<ComparedPolicy> makeOracle(const SimulatedWorkload &Workload);

} // namespace tulipweir::decide

#endif // TULIPWEIR_BENCH_DECIDE_COMPAREDPOLICIES_H
