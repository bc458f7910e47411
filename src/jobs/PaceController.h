//===- PaceController.h - Filling work beside work that serves ------*- C++ -*-===//
//
// How fast filling tasks work on each server. A plan comes from what is known
// of pairs and loads (planPaces); this keeps it, follows only changes that are
// worth an order, and guards against what the plan does not know: a tail that
// stays over its target all the same slows everything that fills beside it, in
// two steps, until it is well again. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_PACECONTROLLER_H
#define TULIPWEIR_SRC_JOBS_PACECONTROLLER_H

#include "tulipweir/core/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace tulipweir::jobs {

/// By filling image, the percent of their speed at which its tasks may work;
/// the full speed for those that are not named.
using ImagePaces = std::map<std::string, std::uint64_t>;

/// What one report says of a server where something serves.
struct TailReading {
  std::uint64_t TailPercent_ = 0; ///< The worst tail, of its target.
  bool HasFilling_ = false;       ///< Something fills there that may work.
};

/// Not thread-safe.
class PaceGuard {
public:
  static constexpr std::uint64_t FullPace = 100;

  // Commands.

  void reset() { Servers_.clear(); }
  /// Nothing serves there, or the server is gone.
  void forget(const std::string &ServerId) { Servers_.erase(ServerId); }
  void note(const std::string &ServerId, const TailReading &Reading,
            const ImagePaces &Planned, TimePoint Now);

  // Queries.

  std::uint64_t getPace(const std::string &ServerId,
                        const std::string &Image) const;
  /// What the guard leaves to all that fills on the server; the full speed
  /// while no tail stays over its target.
  std::uint64_t getGuarded(const std::string &ServerId) const;
  /// The least pace of any image there.
  std::uint64_t getLeast(const std::string &ServerId) const;
  /// Whether a pace has changed a moment ago, or the guard holds something
  /// back: the server is better heard sooner than usual.
  bool isMoving(const std::string &ServerId, TimePoint Now) const;
  /// Whether the server has to be told paces: some are not the full one, or
  /// were not a moment ago.
  bool isToBeTold(const std::string &ServerId, TimePoint Now) const;

private:
  struct Level {
    ImagePaces Planned_;
    std::uint64_t Guarded_ = FullPace;
    double Smoothed_ = 0; ///< Of the tail: one report is a rough figure.
    TimePoint CorrectedAt_{};
    TimePoint GoodUntil_{}; ///< When a tail was last below its target.
    TimePoint ChangedAt_{};
  };
  static void correct(Level &Own, const TailReading &Reading, TimePoint Now);
  static bool follow(Level &Own, const ImagePaces &Planned);

  std::map<std::string, Level> Servers_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_PACECONTROLLER_H
