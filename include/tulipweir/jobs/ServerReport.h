//===- ServerReport.h - A backend server's heartbeat and orders *- C++ -*-===//
//
// What a backend server that runs tasks tells, and what it is told to do.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_SERVERREPORT_H
#define TULIPWEIR_JOBS_SERVERREPORT_H

#include "tulipweir/jobs/Commands.h"

#include <optional>

namespace tulipweir::jobs {

/// A run that is going on.
struct RunningTask {
  TaskKey Task_;
  std::uint64_t Run_ = 0;
  std::string Checkpoint_;
  std::uint64_t Percent_ =
      0; ///< Of its work; of a long-running one, readiness.
  /// Tail of its response times, in ms, for a task that serves; the processors
  /// it uses, in thousandths, for any other. Rough, over the last half second.
  std::uint64_t Measure_ = 0;
  bool operator==(const RunningTask &) const = default;
};

/// A run that has ended, kept by the server until we took note of it.
struct EndedTask {
  std::uint64_t Number_ = 0; ///< Rises by one in each incarnation.
  TaskEnd End_;
  bool operator==(const EndedTask &) const = default;
};

struct ServerReport {
  ServerFacts Facts_;
  bool IsDraining_ = false;
  std::uint64_t RemainingMs_ = 0; ///< Least time left while draining.
  std::uint64_t Sequence_ = 0;    ///< Rises; a lower one came late.
  std::vector<RunningTask> Running_;
  std::vector<EndedTask> Ended_;
  /// How long it has waited at our processes since the server sent it, at
  /// least; the server's lease counts from the sending.
  std::uint64_t WaitedMs_ = 0;
  bool operator==(const ServerReport &) const = default;
};

struct StartOrder {
  TaskKey Task_;
  std::uint64_t Run_ = 0;
  std::string Payload_;
  std::string Checkpoint_;
  std::string Ticket_; ///< From the advice service; empty where none is needed.
  bool operator==(const StartOrder &) const = default;
};

struct StopOrder {
  TaskKey Task_;
  std::uint64_t Run_ = 0;
  bool operator==(const StopOrder &) const = default;
};

/// How fast a task may work.
struct PaceOrder {
  TaskKey Task_;
  std::uint64_t Run_ = 0;
  std::uint64_t Percent_ = 100;
  bool operator==(const PaceOrder &) const = default;
};

struct ServerOrders {
  /// Counted by the server from the sending of its report; 0 extends nothing.
  std::uint64_t LeaseMs_ = 0;
  std::uint64_t FencingToken_ = 0;
  std::uint64_t EndsNoted_ = 0;    ///< Ended tasks up to this number are noted.
  std::uint64_t NextReportMs_ = 0; ///< 0: as the server does by itself.
  std::vector<StartOrder> Starts_;
  std::vector<StopOrder> Stops_;
  std::vector<PaceOrder> Paces_;
  /// The control that takes the server's later reports; empty for the one that
  /// answers.
  std::string ReportTo_;
  bool operator==(const ServerOrders &) const = default;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_SERVERREPORT_H
