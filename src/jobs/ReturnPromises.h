//===- ReturnPromises.h - Rejected callers that may return ------*- C++ -*-===//
//
// Remembers the callers that were told when to return, so that they go before
// new ones then, and when they tried first. Soft state, bounded: the oldest is
// forgotten first. Deterministic: no clock, no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_RETURNPROMISES_H
#define TULIPWEIR_SRC_JOBS_RETURNPROMISES_H

#include "jobs/JobDemand.h"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace tulipweir::jobs {

/// A rejected caller, by the id of its job.
struct ReturnPromise {
  TimePoint FirstTry_{};
  TimePoint Limit_{};    ///< Its callers need the job by then.
  TimePoint OpensAt_{};  ///< When it was told to return.
  TimePoint ClosesAt_{}; ///< Work is reserved for it until then.
  std::size_t DataCentre_ = 0;
  bool operator==(const ReturnPromise &) const = default;

  bool isOpen(TimePoint Now) const;
};

/// Not thread-safe.
class ReturnPromises {
public:
  static constexpr std::size_t MaxPromises = 512;

  // Commands.

  void reset();
  void put(const std::string &Id, const ReturnPromise &Promise,
           const JobDemand &Demand);
  void remove(const std::string &Id);
  /// Removes what has no effect any more.
  void prune(TimePoint Now);

  // Queries.

  const ReturnPromise *find(const std::string &Id) const;
  std::size_t size() const { return Promises_.size(); }
  /// Returns the reserved work that goes before a job, by class of its demand,
  /// as far as its callers return by Until: that of better priorities, and that
  /// of its own in the data centres for which Counts is set. Its own
  /// reservation does not count.
  std::vector<double> sum(const std::string &Id, const JobDemand &Demand,
                          TimePoint Until, const std::vector<bool> &Counts,
                          TimePoint Now) const;

private:
  struct Entry {
    ReturnPromise Promise_;
    std::uint64_t Number_ = 0;
  };
  /// The work of one class that is reserved for a promise.
  struct Reservation {
    std::uint64_t Number_ = 0; ///< Of the promise.
    std::uint64_t Priority_ = 0;
    std::size_t Class_ = 0;
    std::size_t DataCentre_ = 0;
    double Work_ = 0;
    TimePoint OpensAt_{};
    TimePoint ClosesAt_{};
  };

  std::unordered_map<std::string, Entry> Promises_;
  std::vector<Reservation> Reservations_;
  /// Ids with the numbers of their promises, the oldest first.
  std::deque<std::pair<std::uint64_t, std::string>> Order_;
  std::uint64_t LastNumber_ = 0;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_RETURNPROMISES_H
