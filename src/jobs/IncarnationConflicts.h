//===- IncarnationConflicts.h - Two incarnations, one address --*- C++ -*-===//
//
// A report of an unknown incarnation, at an address where another one was heard
// lately, comes from a server that crashed and restarted, or is a delayed
// report of an earlier incarnation. The former keeps reporting while the other
// one is silent; the latter does not.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_INCARNATIONCONFLICTS_H
#define TULIPWEIR_SRC_JOBS_INCARNATIONCONFLICTS_H

#include "tulipweir/core/Time.h"

#include <map>
#include <string>

namespace tulipweir::jobs {

/// Not thread-safe.
class IncarnationConflicts {
public:
  void reset() { Claims_.clear(); }

  /// Takes note of a report of the incarnation Id, which claims an address
  /// whose present incarnation was last heard at OccupantHeard. True if the
  /// claim begins: what others keep of the present incarnation's reports is to
  /// be waited for.
  bool recordClaim(const std::string &Id, TimePoint OccupantHeard,
                   TimePoint Now);
  /// All relays have flushed their reports for the claim that began then.
  void recordFlush(const std::string &Id, TimePoint Begin);

  /// Whether the incarnation Id has proved to be the newer one.
  bool mayTakeOver(const std::string &Id, TimePoint Now) const;

  void forget(const std::string &Id) { Claims_.erase(Id); }

private:
  struct Claim {
    TimePoint Begin_; ///< Since when it reports while the other one is silent.
    bool IsFlushed_ = false;
  };
  std::map<std::string, Claim> Claims_; ///< By incarnation.
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_INCARNATIONCONFLICTS_H
