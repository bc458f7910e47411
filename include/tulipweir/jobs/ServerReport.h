//===- ServerReport.h - A server's heartbeat and orders ---------*- C++ -*-===//
//
// The report that a backend server with tasks sends as its heartbeat, and the
// orders in the answer.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_SERVERREPORT_H
#define TULIPWEIR_JOBS_SERVERREPORT_H

#include "tulipweir/jobs/Commands.h"

#include <optional>

namespace tulipweir::jobs {

/// A run in progress.
struct RunningTask {
  TaskKey Task_;
  std::uint64_t Run_ = 0;
  std::string Checkpoint_;
  /// Progress of its work; of a long-running task, its readiness.
  std::uint64_t Percent_ = 0;
  /// For a serving task its tail latency in ms, for any other its processor
  /// usage in thousandths of a processor; an estimate over the last half
  /// second.
  std::uint64_t Measure_ = 0;
  bool operator==(const RunningTask &) const = default;
};

/// A run that has ended. The server reports it until the leader acknowledges
/// it.
struct EndedTask {
  std::uint64_t Number_ = 0; ///< Sequence number of the end, which rises by one
                             ///< in each incarnation.
  TaskEnd End_;
  bool operator==(const EndedTask &) const = default;
};

/// The heartbeat of a server.
struct ServerReport {
  ServerFacts Facts_;
  bool IsDraining_ = false;
  std::uint64_t RemainingMs_ = 0; ///< The least time left to a draining server.
  /// Rises with each report; a lower one has arrived late.
  std::uint64_t Sequence_ = 0;
  std::vector<RunningTask> Running_;
  std::vector<EndedTask> Ended_;
  /// A lower bound of the time since the server sent the report, as far as it
  /// was spent in the control's processes. The server's lease counts from the
  /// sending.
  std::uint64_t WaitedMs_ = 0;
  /// The server's steady clock when it sent the report; 0 if unknown.
  std::uint64_t ServerClockMs_ = 0;
  bool operator==(const ServerReport &) const = default;
};

/// Starts a run.
struct StartOrder {
  TaskKey Task_;
  std::uint64_t Run_ = 0;
  std::string Payload_;
  std::string Checkpoint_;
  /// Issued by the advice service; empty if none is needed.
  std::string Ticket_;
  bool operator==(const StartOrder &) const = default;
};

/// Stops a run.
struct StopOrder {
  TaskKey Task_;
  std::uint64_t Run_ = 0;
  bool operator==(const StopOrder &) const = default;
};

/// Limits how fast a task may work.
struct PaceOrder {
  TaskKey Task_;
  std::uint64_t Run_ = 0;
  std::uint64_t Percent_ = 100;
  bool operator==(const PaceOrder &) const = default;
};

/// The answer to a report.
struct ServerOrders {
  /// The lease, which the server counts from the sending of its report; 0 does
  /// not extend it.
  std::uint64_t LeaseMs_ = 0;
  std::uint64_t FencingToken_ = 0;
  /// The ended tasks up to this number are acknowledged.
  std::uint64_t EndsNoted_ = 0;
  /// The time to the next report; 0 leaves it to the server.
  std::uint64_t NextReportMs_ = 0;
  std::vector<StartOrder> Starts_;
  std::vector<StopOrder> Stops_;
  std::vector<PaceOrder> Paces_;
  /// The control that takes the server's later reports; empty for the control
  /// that sends the answer.
  std::string ReportTo_;
  bool operator==(const ServerOrders &) const = default;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_SERVERREPORT_H
