//===- DecideBench.cpp - Benchmarks of the planner -----------------------===//
//
// Usage: bench_decide policy|placement. Prints the figures and, for each
// bound, whether it is met or missed; the last line is "NAME: figure=value ...
// bounds=met|missed". Exits with 1 when a bound is missed.
//
//===----------------------------------------------------------------------===//

#include "DecideBench.h"

#include <cstdio>
#include <string>

using namespace tulipweir;
using namespace tulipweir::decide;

bool decide::checkBound(const char *Name, double Value, const char *Relation,
                        double Bound) {
  const bool IsMost = std::string(Relation) == "<=";
  const bool Met = IsMost ? Value <= Bound : Value >= Bound;
  std::printf("bound %s: %.3f %s %.3f %s\n", Name, Value, Relation, Bound,
              Met ? "met" : "missed");
  return Met;
}

int main(int Count, char **Arguments) {
  const std::string Name = Count == 2 ? Arguments[1] : "";
  if (Name == "policy")
    return measurePolicy() ? 0 : 1;
  if (Name == "placement")
    return measurePlacement() ? 0 : 1;
  std::fprintf(stderr, "usage: %s policy|placement\n", Arguments[0]);
  return 2;
}
