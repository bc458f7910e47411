//===- Newcomers.h - Lives that claim a taken address ----------*- C++ -*-===//
//
// A report from an unknown life at an address where another life was heard
// lately is either a server that crashed and came back, or a report of a life
// before that one which was held up on its way. The first goes on reporting
// while the life at its address stays silent; the second does not.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_NEWCOMERS_H
#define TULIPWEIR_SRC_JOBS_NEWCOMERS_H

#include "tulipweir/core/Time.h"

#include <map>
#include <string>

namespace tulipweir::jobs {

/// Not thread-safe.
class Newcomers {
public:
  void reset() { Claims_.clear(); }

  /// Takes note of a report of the life Id, which claims an address whose
  /// present life was last heard at OccupantHeard. True if the claim begins:
  /// what others keep of the present life's reports is to be waited for.
  bool note(const std::string &Id, TimePoint OccupantHeard, TimePoint Now);
  /// Nobody keeps any for the claim that began then.
  void noteFlushed(const std::string &Id, TimePoint Begin);

  /// Whether the life Id has proved to be the newer one.
  bool mayTakeOver(const std::string &Id, TimePoint Now) const;

  void forget(const std::string &Id) { Claims_.erase(Id); }

private:
  struct Claim {
    TimePoint Begin_; ///< Since when it reports while the other one is silent.
    bool IsFlushed_ = false;
  };
  std::map<std::string, Claim> Claims_; ///< By life.
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_NEWCOMERS_H
