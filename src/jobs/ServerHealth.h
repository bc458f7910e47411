//===- ServerHealth.h - Servers that fail, stall or crawl ------*- C++ -*-===//
//
// Tells sick servers from sick jobs by what ends on them. A server is put into
// quarantine when runs of several different jobs failed or stalled there one
// after another with none done between, or when runs there take many times as
// long, against their estimates, as everywhere else. One poisonous job never
// does that. After its time a server is on probation: one task at a time, until
// one is done. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_SERVERHEALTH_H
#define TULIPWEIR_SRC_JOBS_SERVERHEALTH_H

#include "tulipweir/core/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace tulipweir::jobs {

enum class Fitness : std::uint8_t { Sound, Probation, Quarantined };

/// Not thread-safe.
class ServerHealth {
public:
  // Commands.

  void reset();
  void forget(const std::string &ServerId) { Servers_.erase(ServerId); }
  /// A run was done in Took; EstimateMs is what was declared, 0 if nothing.
  void noteDone(const std::string &ServerId, Duration Took,
                std::uint64_t EstimateMs, TimePoint Now);
  /// A run failed or made no progress. True if that put the server into
  /// quarantine.
  bool noteFailed(const std::string &ServerId, const std::string &Job,
                  TimePoint Now);

  // Queries.

  Fitness getFitness(const std::string &ServerId, TimePoint Now) const;

private:
  struct Record {
    std::uint64_t Failures_ = 0; ///< Since the last run that was done.
    std::set<std::string> Jobs_; ///< Of these.
    double Slowness_ = 0;        ///< Smoothed logarithm of took over estimate.
    std::uint64_t Samples_ = 0;
    std::uint64_t Sentences_ = 0; ///< In a row.
    bool IsOnProbation_ = false;
    TimePoint Until_{}; ///< Of the quarantine.
  };
  void sentence(Record &Own, TimePoint Now);

  std::map<std::string, Record> Servers_;
  double Usual_ = 0; ///< The same as Slowness_, of all servers.
  std::uint64_t UsualSamples_ = 0;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_SERVERHEALTH_H
