//===- PaceGuard.h - Filling work beside work that serves ------*- C++ -*-===//
//
// Filling tasks lengthen the response times of tasks that serve beside them, by
// amounts that nobody declares and that change within seconds. The guard sets a
// pace for the filling tasks of a server from the tails that its serving tasks
// report: down by half when one is over its target, up in small steps while all
// are well below theirs. Tasks known to disturb are slowed first, the others
// only if that does not help. It waits for a report that can show the effect of
// its last change before it makes the next one. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_PACEGUARD_H
#define TULIPWEIR_SRC_JOBS_PACEGUARD_H

#include "tulipweir/core/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace tulipweir::jobs {

/// What one report says of a server where something serves.
struct TailReading {
  std::uint64_t TailPercent_ = 0; ///< The worst tail, of its target.
  bool HasDisturbing_ = false;    ///< Filling tasks known to lengthen it.
  bool HasOthers_ = false;        ///< Other filling tasks.
};

/// Percent of their speed.
struct FillingPace {
  std::uint64_t Disturbing_ = 100;
  std::uint64_t Others_ = 100;
  bool operator==(const FillingPace &) const = default;
};

/// Not thread-safe.
class PaceGuard {
public:
  // Commands.

  void reset() { Servers_.clear(); }
  /// Nothing serves there, or the server is gone.
  void forget(const std::string &ServerId) { Servers_.erase(ServerId); }
  void note(const std::string &ServerId, const TailReading &Reading,
            TimePoint Now);

  // Queries.

  FillingPace getPace(const std::string &ServerId) const;
  /// Whether the server has to be told the pace: it is not the full one, or was
  /// not a moment ago.
  bool isToBeTold(const std::string &ServerId, TimePoint Now) const;

private:
  struct Level {
    FillingPace Pace_;
    TimePoint ChangedAt_{};
  };
  std::map<std::string, Level> Servers_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_PACEGUARD_H
