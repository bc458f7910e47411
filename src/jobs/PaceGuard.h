//===- PaceGuard.h - Filling work beside work that serves ------*- C++ -*-===//
//
// Filling tasks lengthen the response times of tasks that serve beside them, by
// amounts that nobody declares and that change within seconds. The guard sets a
// pace for all filling tasks of a server from the tails that its serving tasks
// report: down by half at once when one is over its target, up in small steps
// while all are well below theirs. It waits for a report that can show the
// effect of its last change before it makes the next one. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_PACEGUARD_H
#define TULIPWEIR_SRC_JOBS_PACEGUARD_H

#include "tulipweir/core/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace tulipweir::jobs {

/// Not thread-safe.
class PaceGuard {
public:
  // Commands.

  void reset() { Servers_.clear(); }
  void forget(const std::string &ServerId) { Servers_.erase(ServerId); }
  /// Takes in a report: the worst tail of the server's serving tasks as percent
  /// of its target (0 where nothing serves), and whether anything fills there.
  void note(const std::string &ServerId, std::uint64_t TailPercent,
            bool HasFilling, TimePoint Now);

  // Queries.

  /// The share of their speed that filling tasks may work at, in percent.
  std::uint64_t getPace(const std::string &ServerId) const;
  /// Whether the server has to be told the pace: it is not the full one, or was
  /// not a moment ago.
  bool isToBeTold(const std::string &ServerId, TimePoint Now) const;
  /// For how long the pace has been at zero.
  Duration getStandstill(const std::string &ServerId, TimePoint Now) const;

private:
  struct Level {
    std::uint64_t Percent_ = 100;
    TimePoint ChangedAt_{};
    TimePoint ZeroSince_{};
  };
  std::map<std::string, Level> Servers_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_PACEGUARD_H
