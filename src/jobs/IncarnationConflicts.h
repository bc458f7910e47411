//===- IncarnationConflicts.h - Conflicts over an address -------*- C++ -*-===//
//
// A report of an unknown incarnation, at an address where another incarnation
// was heard recently, comes either from a server that crashed and restarted or
// is a delayed report of an earlier incarnation. A restarted server keeps
// reporting while the other incarnation is silent.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_INCARNATIONCONFLICTS_H
#define TULIPWEIR_SRC_JOBS_INCARNATIONCONFLICTS_H

#include "tulipweir/core/Time.h"

#include <map>
#include <string>

namespace tulipweir::jobs {

/// Decides when an incarnation may replace the one that is registered at its
/// address. Not thread-safe.
class IncarnationConflicts {
public:
  void reset() { Claims_.clear(); }

  /// Records a report of the incarnation Id, which claims an address whose
  /// registered incarnation was last heard at OccupantHeard. Returns true if
  /// the claim begins now: the caller then has the relays flush their reports
  /// of the registered incarnation.
  bool recordClaim(const std::string &Id, TimePoint OccupantHeard,
                   TimePoint Now);
  /// Records that all relays have flushed their reports for the claim that
  /// began at Begin.
  void recordFlush(const std::string &Id, TimePoint Begin);

  /// Whether the incarnation Id has proved to be the newer one.
  bool mayTakeOver(const std::string &Id, TimePoint Now) const;

  void forget(const std::string &Id) { Claims_.erase(Id); }

private:
  struct Claim {
    /// Since when it has reported while the other one is silent.
    TimePoint Begin_;
    bool IsFlushed_ = false;
  };
  std::map<std::string, Claim> Claims_; ///< Keyed by incarnation.
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_INCARNATIONCONFLICTS_H
