//===- ServerHealth.h - Detection of faulty servers -------------*- C++ -*-===//
//
// Tells faulty servers from faulty jobs by the runs that end on them. A server
// is quarantined when runs of several jobs failed or stalled there in a row,
// without a completed one between, or when runs of several jobs took many
// times as long there as runs of the same steps on other servers. Only what is
// certain counts: the shortest time that a run can have taken here, against the
// longest that runs can have taken elsewhere. Declared run times are too
// inaccurate to compare with. A single faulty job never causes a quarantine.
// After its quarantine a server is on probation: it gets one task at a time
// until one is completed. The class has no clock and does no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_SERVERHEALTH_H
#define TULIPWEIR_SRC_JOBS_SERVERHEALTH_H

#include "jobs/RunTimeBounds.h"
#include "tulipweir/core/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace tulipweir::jobs {

/// Whether a server gets tasks: all, one at a time, or none.
enum class HealthState : std::uint8_t { Healthy, Probation, Quarantined };

/// Not thread-safe.
class ServerHealth {
public:
  // Commands.

  void reset();
  void forget(const std::string &ServerId) { Servers_.erase(ServerId); }
  /// Records that a run of the step was completed in RunTime; nothing is
  /// certain in it if the time cannot be compared. Returns true if that puts
  /// the server into quarantine.
  bool recordCompletion(const std::string &ServerId, const std::string &Job,
                        std::uint64_t Step, const RunTimeBounds &RunTime,
                        TimePoint Now);
  /// Records that a run failed or stalled. Returns true if that puts the server
  /// into quarantine.
  bool recordFailure(const std::string &ServerId, const std::string &Job,
                     TimePoint Now);

  // Queries.

  /// Returns whether the last quarantine of the server was for slow runs, not
  /// for failures.
  bool wasSlow(const std::string &ServerId) const;
  HealthState getHealthState(const std::string &ServerId, TimePoint Now) const;

private:
  struct Record {
    std::uint64_t Failures_ = 0; ///< Failures since the last completed run.
    std::set<std::string> Jobs_; ///< The jobs of these failures.
    /// The jobs of the runs that were slow here since one that was not.
    std::set<std::string> SlowJobs_;
    std::uint64_t QuarantineCount_ = 0; ///< Quarantines in a row.
    bool IsOnProbation_ = false;
    TimePoint Until_{};   ///< The end of the quarantine.
    bool IsSlow_ = false; ///< The quarantine was for slow runs.
  };
  /// The sums of the logarithms of the longest run times of one step, in total
  /// and by server.
  struct StepTimes {
    double Sum_ = 0;
    std::uint64_t Count_ = 0;
    std::map<std::string, std::pair<double, std::uint64_t>> ByServer_;
  };
  using StepKey = std::pair<std::string, std::uint64_t>;

  void startQuarantine(Record &Health, bool IsSlow, TimePoint Now);
  std::optional<double> findTellingLogRatio(const std::string &ServerId,
                                            const StepKey &Step,
                                            const RunTimeBounds &RunTime);

  std::unordered_map<std::string, Record> Servers_;
  std::map<StepKey, StepTimes> Steps_;
  std::deque<StepKey> StepOrder_; ///< The keys of Steps_, the oldest first.
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_SERVERHEALTH_H
