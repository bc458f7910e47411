//===- CrashHistory.h - Recent server crashes ------------------*- C++ -*-===//
//
// Distinguishes servers that crash on their own from correlated crashes of
// many servers. Kept only by the leader. Deterministic: no clock, no I/O.
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

  void reset() { LastHeardTimes_.clear(); }
  /// Adds a crashed server, by the time it was last heard from.
  void recordCrash(TimePoint LastHeard);

  // Queries.

  /// Returns whether the server fell silent at the same time as many others.
  /// Others count that have been silent for MinSilence.
  bool isCorrelated(const LiveServerTable &LiveServers,
                    const std::string &Server, TimePoint Now,
                    Duration MinSilence) const;

private:
  std::deque<TimePoint> LastHeardTimes_; ///< Per crashed server, oldest first.
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_CRASHHISTORY_H
