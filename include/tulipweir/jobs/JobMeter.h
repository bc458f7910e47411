//===- JobMeter.h - What a leader counts and times -------------*- C++ -*-===//
//
// The leader's decisions as figures. The program turns them into metrics; tests
// that don't look use NoJobMeter.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_JOBMETER_H
#define TULIPWEIR_JOBS_JOBMETER_H

#include "tulipweir/core/Time.h"

#include <cstdint>
#include <string_view>

namespace tulipweir::jobs {

enum class JobTimer : std::uint8_t {
  Acknowledge,  ///< From a submission's arrival to its commit.
  FirstStart,   ///< From the acceptance to the first start.
  Finish,       ///< From the acceptance to the end.
  Stop,         ///< From a job's end to the answer that stops its runs.
  LeaseRenewal, ///< From one extension of a server's lease to the next.
  Heartbeat,    ///< From a report's arrival to its answer.
};

enum class JobCounter : std::uint8_t {
  JobsAccepted,
  JobsRefused,
  JobsCompleted,
  JobsFailed,
  JobsCancelled,
  TasksStarted,
  StartsRefused, ///< By the state machine or by the server.
  TasksMoved,    ///< Stopped to go on elsewhere.
  TasksLapsed,   ///< Given up with their server.
  ServersGone,
  EvacuationsBegun,
  EvacuationsEnded,
  ExpiredServersKept,   ///< Leases that ran out while another member heard the
                        ///< server.
  ReportsAnsweredEarly, ///< Before what came of them was committed.
  CrashesSuspected,     ///< Of servers, that some task may have caused.
  TasksSuspected,       ///< To be isolated after such a crash.
  JobsGivenUp,          ///< Since a task crashed its servers.
  // Reports answered without a lease.
  ReportsLate,       ///< A later report of the server was answered before.
  ReportsSuperseded, ///< A later one came while this one was handled.
  ReportsWithAddressConflict, ///< Another incarnation holds its address.
  ReportsRelayedWithoutLease, ///< By a relay, for whatever reason.
  ReportsExpired,             ///< Not handled, as they waited too long here.
  LeadershipTransfers, ///< Of leadership, as this VM was slow and another was
                       ///< not.
};

/// Thread-safe and never blocking.
class JobMeter {
public:
  virtual ~JobMeter() = default;
  virtual void add(JobCounter What, std::uint64_t By) = 0;
  virtual void record(JobTimer What, Duration Took) = 0;
};

class NoJobMeter final : public JobMeter {
public:
  void add(JobCounter, std::uint64_t) override {}
  void record(JobTimer, Duration) override {}
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_JOBMETER_H
