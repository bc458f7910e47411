//===- ReportAges.h - Recognizes reports that arrive too late ---*- C++ -*-===//
//
// A report may be delayed for seconds, and its sender may have crashed since.
// Such a report must neither extend a lease nor register a server again, as
// nothing that is ordered in its answer takes effect.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_REPORTAGES_H
#define TULIPWEIR_SRC_JOBS_REPORTAGES_H

#include "jobs/SendTimeBound.h"
#include "tulipweir/jobs/ServerReport.h"

#include <string>
#include <unordered_map>

namespace tulipweir::jobs {

/// Compares reports with earlier ones of their servers, also of servers that
/// were removed meanwhile. Decides only who gets an answer without a lease, so
/// a wrong clock of a server cannot end a lease early. Not thread-safe.
class ReportAges {
public:
  /// Servers' clocks are at most DriftPercent slow.
  explicit ReportAges(std::uint64_t DriftPercent)
      : DriftPercent_(DriftPercent) {}

  /// Records a report that a control received at ReceivedAt, by the leader or
  /// on its way to it. Returns whether its server no longer waits for the
  /// answer.
  bool isTooLate(const ServerReport &Report, TimePoint ReceivedAt);

private:
  struct Server {
    SendTimeBound Sent_;
    std::uint64_t LastSequence_ = 0;
    std::uint64_t LastClockMs_ = 0;
    TimePoint LastReceivedAt_{};
    Duration LastDelay_{}; ///< Zero if the last report was not too late.
  };

  void removeOld(TimePoint Now);

  const std::uint64_t DriftPercent_;
  std::unordered_map<std::string, Server> Servers_; ///< By server ID.
  TimePoint NextCleanup_{};
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_REPORTAGES_H
