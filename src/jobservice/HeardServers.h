//===- HeardServers.h - When servers last reported here ---------*- C++ -*-===//
//
// Remembers for longer than any lease when this member last received a report
// of each server, and when a leader had it record one. Kept by the process, not
// by the replica, so it outlives changes of leader and a disk failure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_HEARDSERVERS_H
#define TULIPWEIR_SRC_JOBSERVICE_HEARDSERVERS_H

#include "tulipweir/core/Time.h"
#include "tulipweir/jobs/LeaseMessages.h"

#include <string>
#include <unordered_map>

namespace tulipweir::jobservice {

/// Not thread-safe.
class HeardServers {
public:
  /// The memory begins now. Time must outlive it.
  explicit HeardServers(const Clock &Time)
      : Time_(Time), MemorySince_(Time.now()) {}

  // Commands.

  /// Records that a report of the server was received now.
  void record(const std::string &ServerId);

  // Queries.

  /// Returns the answer to a leader's question about leases.
  jobs::LeaseQueryReply makeReply() const;
  /// Returns the time from which on every report is remembered or too old to
  /// matter.
  TimePoint getMemorySince() const { return MemorySince_; }
  const std::unordered_map<std::string, TimePoint> &times() const {
    return HeardAt_;
  }

private:
  void removeOld(TimePoint Now);

  const Clock &Time_;
  const TimePoint MemorySince_;
  TimePoint NextCleanup_{};
  std::unordered_map<std::string, TimePoint> HeardAt_; ///< By server ID.
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_HEARDSERVERS_H
