//===- CallerShares.h - Accepted work by callers' data centre ---*- C++ -*-===//
//
// Demand moves between data centres. Where not all of it can be accepted, the
// data centre with the least accepted work goes first (max-min fairness).
// Deterministic: no clock, no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_CALLERSHARES_H
#define TULIPWEIR_SRC_JOBS_CALLERSHARES_H

#include "tulipweir/core/AdmissionRules.h"

#include <map>
#include <string>
#include <vector>

namespace tulipweir::jobs {

/// Not thread-safe.
class CallerShares {
public:
  // Commands.

  void reset();
  /// Returns the index of a data centre; all beyond a bound share one.
  std::size_t findIndex(const std::string &DataCentre);
  /// Adds accepted work of a priority, in processor seconds.
  void record(std::uint64_t Priority, std::size_t DataCentre, double Work,
              TimePoint Now);

  // Queries.

  /// Returns the work that was accepted lately at a priority, by index of the
  /// data centre.
  std::vector<double> list(std::uint64_t Priority, TimePoint Now) const;
  /// Returns whether the first of two amounts is clearly the smaller one.
  static bool isLess(double Work, double Other);

private:
  std::map<std::string, std::size_t> Indexes_;
  std::map<std::uint64_t, std::vector<DrainRate>> ByPriority_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_CALLERSHARES_H
