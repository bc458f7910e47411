//===- ServerHealth.h - Servers that fail, stall or crawl ------*- C++ -*-===//
//
// Tells sick servers from sick jobs by what ends on them. A server is put into
// quarantine when runs of several different jobs failed or stalled there one
// after another with none done between, or when runs of several jobs took many
// times as long there as runs of the same steps did elsewhere; what was
// declared is too far off to compare with. One poisonous job never does that.
// After its time a server is on probation: one task at a time, until one is
// done. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_SERVERHEALTH_H
#define TULIPWEIR_SRC_JOBS_SERVERHEALTH_H

#include "tulipweir/core/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace tulipweir::jobs {

enum class HealthState : std::uint8_t { Healthy, Probation, Quarantined };

/// Not thread-safe.
class ServerHealth {
public:
  // Commands.

  void reset();
  void forget(const std::string &ServerId) { Servers_.erase(ServerId); }
  /// A run of the step was done in Took; zero if that says nothing. True if
  /// that put the server into quarantine.
  bool recordCompletion(const std::string &ServerId, const std::string &Job,
                        std::uint64_t Step, Duration RunTime, TimePoint Now);
  /// A run failed or made no progress. True if that put the server into
  /// quarantine.
  bool recordFailure(const std::string &ServerId, const std::string &Job,
                     TimePoint Now);

  // Queries.

  HealthState getHealthState(const std::string &ServerId, TimePoint Now) const;

private:
  struct Record {
    std::uint64_t Failures_ = 0;  ///< Since the last run that was done.
    std::set<std::string> Jobs_;  ///< Of these.
    double SmoothedLogRatio_ = 0; ///< Smoothed logarithm of took over usual.
    std::uint64_t Samples_ = 0;
    std::set<std::string> SlowJobs_; ///< Whose runs were slow here, in a row.
    std::uint64_t QuarantineCount_ = 0; ///< In a row.
    bool IsOnProbation_ = false;
    TimePoint Until_{}; ///< Of the quarantine.
  };
  /// The runs of one step, by server: sums of logarithms of what they took.
  struct StepTimes {
    double Sum_ = 0;
    std::uint64_t Count_ = 0;
    std::map<std::string, std::pair<double, std::uint64_t>> ByServer_;
  };
  using StepKey = std::pair<std::string, std::uint64_t>;

  void startQuarantine(Record &Health, TimePoint Now);
  std::optional<double> compareElsewhere(const std::string &ServerId,
                                         const StepKey &Step,
                                         double LogRunTime);

  std::map<std::string, Record> Servers_;
  std::map<StepKey, StepTimes> Steps_;
  std::deque<StepKey> StepOrder_; ///< Of Steps_, the oldest first.
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_SERVERHEALTH_H
