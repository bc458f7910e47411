//===- EmulatedServer.h - A server's side of the protocol -------*- C++ -*-===//
//
// A backend server of an emulated fleet: what it runs, what it reports, and how
// it follows the answers. The fleet carries its reports and decides how long
// runs take.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_JOBSERVICE_EMULATEDSERVER_H
#define TULIPWEIR_TESTS_JOBSERVICE_EMULATEDSERVER_H

#include "tulipweir/core/Time.h"
#include "tulipweir/jobs/IncarnationId.h"
#include "tulipweir/jobs/ServerReport.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tulipweir::jobservice::test {

struct EmulatedServer {
  struct Run {
    std::uint64_t Number_ = 0;
    TimePoint EndsAt_{};
    bool IsLongRunning_ = false;
  };
  /// Runs that ended together.
  struct EndedRuns {
    std::size_t Count_ = 0;
    bool HasLeaseExpired_ = false; ///< Otherwise they are done.
  };

  // Commands.

  /// Returns its next report, which is sent now from the place of this number.
  jobs::ServerReport makeReport(std::size_t Place, TimePoint Now);
  /// Ends all runs if the lease has expired, else those that are done.
  EndedRuns endDueRuns(TimePoint Now);
  void endRun(const jobs::TaskKey &Task, jobs::RunOutcome How, TimePoint Now);
  /// Forgets the ends that the answer acknowledges and plans the next report.
  void acknowledge(const jobs::ServerOrders &Orders, TimePoint Now);
  /// Extends the lease, which counts from the sending of the report.
  void extendLease(Duration Lease);
  void stop(const jobs::StopOrder &Stop, TimePoint Now);
  /// Returns whether the order starts a run. A run that is not higher than one
  /// that it was told to start or stop is rejected.
  bool accepts(const jobs::StartOrder &Start);

  // Queries.

  std::string getIncarnation() const {
    return jobs::IncarnationId::make(Id_, BornMs_).toString();
  }
  /// Returns whether it still waits for the answer to the report.
  bool awaitsAnswer(std::uint64_t Sequence, TimePoint Now) const;

  /// It drops answers that take longer.
  static constexpr Duration ReportTimeout = std::chrono::seconds(1);

  std::string Id_;
  /// The time of day at its start; 0 if it reports none, and no clock either.
  std::uint64_t BornMs_ = 0;
  TimePoint StartedAt_{};
  std::map<jobs::TaskKey, Run> Running_;
  /// The highest run number of each task that it was told to start or stop.
  std::map<jobs::TaskKey, std::uint64_t> HighestRunNumbers_;
  std::vector<jobs::EndedTask> Ended_;
  std::uint64_t LastEnd_ = 0;
  std::uint64_t Sequence_ = 0;
  bool IsWaiting_ = false;
  bool IsGone_ = false;
  bool HasLease_ = false;
  TimePoint SentAt_{};
  TimePoint NextReport_{};
  TimePoint LeaseEnd_{};
};

} // namespace tulipweir::jobservice::test

#endif // TULIPWEIR_TESTS_JOBSERVICE_EMULATEDSERVER_H
