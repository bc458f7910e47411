//===- PaceGuard.h - Filling work beside work that serves ------*- C++ -*-===//
//
// Some filling tasks lengthen the response times of tasks that serve beside
// them. Nobody declares which; measured, a pair of images either does so or not
// at all, and one that does shows little until it uses about a tenth of a
// server's processors, beyond which the tail grows many times over. So those
// known to disturb share a budget of processors, smaller the nearer a tail is
// to its target, and the others work at full speed unless a tail stays over its
// target although nothing that disturbs is left. Pure.
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
  /// What filling tasks that are known to disturb ask for, as a share of the
  /// server's processors.
  double Disturbing_ = 0;
  bool HasOthers_ = false; ///< Other filling tasks.
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
  /// The share of the server's processors that disturbing tasks may use.
  double getBudget(const std::string &ServerId) const;
  /// Whether the server has to be told the pace: it is not the full one, or was
  /// not a moment ago.
  bool isToBeTold(const std::string &ServerId, TimePoint Now) const;

private:
  struct Level {
    FillingPace Pace_;
    double Trust_ = 1; ///< The part of the usual budget that is given out.
    std::uint64_t TailPercent_ = 0; ///< As last reported.
    double Smoothed_ = 0; ///< Of the tail: one report is a rough figure.
    TimePoint CorrectedAt_{};
    TimePoint GoodUntil_{}; ///< When a tail was last below its target.
    TimePoint ChangedAt_{};
  };
  static void correct(Level &Own, const TailReading &Reading, TimePoint Now);
  static double getBudget(const Level &Own);

  std::map<std::string, Level> Servers_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_PACEGUARD_H
