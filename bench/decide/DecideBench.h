//===- DecideBench.h - Benchmarks of the planner ---------------*- C++ -*-===//
//
// The benchmarks that bench_decide runs, each in its own file.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_BENCH_DECIDE_DECIDEBENCH_H
#define TULIPWEIR_BENCH_DECIDE_DECIDEBENCH_H

namespace tulipweir::decide {

/// Prints one bound and returns whether it is met. Relation is "<=" or ">=".
bool checkBound(const char *Name, double Value, const char *Relation,
                double Bound);

/// Each benchmark returns whether all its bounds are met.
bool measurePolicy();
bool measurePlacement();

} // namespace tulipweir::decide

#endif // TULIPWEIR_BENCH_DECIDE_DECIDEBENCH_H
