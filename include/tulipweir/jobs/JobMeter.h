//===- JobMeter.h - Counters and timers of a leader -------------*- C++ -*-===//
//
// The program turns them into metrics. Tests that do not need them use
// NoJobMeter.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_JOBMETER_H
#define TULIPWEIR_JOBS_JOBMETER_H

#include "tulipweir/core/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace tulipweir::jobs {

/// Durations that a leader records.
enum class JobTimer : std::uint8_t {
  Acknowledge, ///< From a submission's arrival to its commit.
  FirstStart,  ///< From the acceptance to the first start.
  Finish,      ///< From the acceptance to the end.
  Stop, ///< From a job's end to the answer that first stops its runs on a
        ///< server.
  LeaseRenewal, ///< From one extension of a server's lease to the next.
  Heartbeat,    ///< From a report's arrival to its answer.
  // From the last report of a long-running task's run to the next placement of
  // the task:
  Absence,        ///< All of it.
  AbsenceLease,   ///< Until the lease of the server expired.
  AbsenceRemoval, ///< From then until the end of the run was committed.
  AbsenceWait,    ///< From then until the task was placed.
  YieldAbsence,   ///< From the stop of a task that yielded to its next start.
  ReturnTime,     ///< The time after which a rejected caller shall return.
  // The parts of a task's time outside its run:
  StartPlan,   ///< From when its step was ready until its start was planned.
  StartCommit, ///< From then until the start was committed.
  EndCommit,   ///< From the receipt of its end until that was committed.
  /// For how long on end the fleet had room for two tasks of an overdue
  /// long-running step.
  BesideRoom,
};

/// Events that a leader counts.
enum class JobCounter : std::uint8_t {
  JobsAccepted,
  JobsRefused,
  JobsCompleted,
  JobsFailed,
  JobsCancelled,
  TasksStarted,
  StartsRefused, ///< Refused by the state machine or by the server.
  TasksMoved,    ///< Stopped in order to continue on another server.
  TasksLapsed,   ///< Given up as their server left or its lease expired.
  ServersGone,
  ServersGoneUnconfirmed, ///< Removed after their lease had expired, without
                          ///< the answer of a relay.
  EvacuationsBegun,
  EvacuationsEnded,
  ExpiredServersKept,   ///< Servers that were kept although their lease had
                        ///< expired, as another member had heard them.
  ReportsAnsweredEarly, ///< Answered before their changes were committed.
  CrashesSuspected,     ///< Crashes of servers that a task may have caused.
  TasksSuspected,       ///< Tasks to be isolated after such a crash.
  JobsGivenUp,          ///< Failed as one of their tasks crashed its servers.
  WaitsBesideRoom,  ///< Seconds of long-running steps that waited while servers
                    ///< had room for them; at most eight steps are counted.
  ServersRestarted, ///< Servers that started again under their id.
  // Reports that got no lease:
  ReportsLate, ///< A later report of the server was handled before.
  ReportsOfEndedIncarnations, ///< Sent by an incarnation that has ended.
  ReportsSuperseded, ///< A later report arrived while this one was handled.
  ReportsWithAddressConflict, ///< Another incarnation holds the address.
  ReportsRelayedWithoutLease, ///< Answered without a lease by a relay, for any
                              ///< reason.
  ReportsExpired, ///< Not handled, as they had waited too long at the leader.
  LeadershipTransfers, ///< Transfers from a slow VM to a faster one.
  TasksYielded,  ///< Long-running tasks stopped in favour of bounded work.
  TasksReturned, ///< Of them, those that started again.
  // Jobs that the admission rejected, also counted as refused:
  JobsRejectedTooLate,     ///< They would have ended too late to be of use.
  JobsRejectedLastingFull, ///< Long-running work without room.
  JobsReturned, ///< Accepted when their callers returned as they were told.
  // Plans for a server on which an overdue long-running task fits:
  PlansTakingRoom,  ///< They start bounded tasks there instead.
  PlansLeavingRoom, ///< They leave it free.
  PlanRecordsRead,  ///< Records of steps and tasks that plans have read.
  OrderStepsRead,   ///< Waiting steps that updates of their order have read.
};

/// The kinds of work on which a leader spends its time.
enum class LeaderWork : std::uint8_t {
  Idle,      ///< Waiting, or work that is not measured.
  Reports,   ///< Handling of reports, without the kinds below.
  Learning,  ///< Learning from reports, and the paces of filling tasks.
  Plans,     ///< Plans of starts.
  Answers,   ///< Orders in the answers to reports.
  Commits,   ///< Handling of committed starts and ends.
  Surveys,   ///< Periodic looks at all servers and waiting steps.
  Admission, ///< Clients' calls, and forecasts for them.
  Leases,    ///< Expired leases and their servers.
  Telemetry, ///< Explanations of waits in the log.
};
inline constexpr std::size_t LeaderWorkCount = 10;

inline constexpr std::string_view getName(LeaderWork Work) {
  constexpr std::array<std::string_view, LeaderWorkCount> Names = {
      "idle",    "reports", "learning",  "plans",  "answers",
      "commits", "surveys", "admission", "leases", "telemetry"};
  return Names.at(static_cast<std::size_t>(Work));
}

/// Receives the leader's counters and timers. Implementations are thread-safe
/// and never block.
class JobMeter {
public:
  virtual ~JobMeter() = default;
  virtual void add(JobCounter Counter, std::uint64_t Increment) = 0;
  virtual void record(JobTimer Timer, Duration Elapsed) = 0;
  /// Records the time from the acceptance of a job to its first start, by the
  /// key of its queue.
  virtual void recordFirstStart(const std::string &, Duration) {}
  /// Adds time that the leader has spent on this kind of work.
  virtual void addWork(LeaderWork, Duration) {}
};

class NoJobMeter final : public JobMeter {
public:
  void add(JobCounter, std::uint64_t) override {}
  void record(JobTimer, Duration) override {}
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_JOBMETER_H
