//===- CrashHistory.h - When servers crashed lately ------------*- C++ -*-===//
//
// Tells servers that crash by themselves from those that go with many others at
// one moment. Kept by the leader only. Deterministic: no clock, no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_CRASHHISTORY_H
#define TULIPWEIR_SRC_JOBS_CRASHHISTORY_H

#include "jobs/LiveServerTable.h"
#include "tulipweir/core/Time.h"

#include <cstddef>
#include <deque>
#include <string>

namespace tulipweir::jobs {

/// Not thread-safe.
class CrashHistory {
public:
  // Commands.

  void reset() { LastHeard_.clear(); }
  /// A server that crashed was last heard then.
  void note(TimePoint LastHeard);

  // Queries.

  /// Whether the server fell silent together with many others.
  bool isAmongMany(const LiveServerTable &Board, const std::string &Server,
                   TimePoint Now) const;

private:
  std::deque<TimePoint> LastHeard_; ///< Of servers that crashed.
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_CRASHHISTORY_H
